//! The signals by which a process is asked to stop or to reload.
//!
//! A signal handler sets a flag, which is what carries the request. The runtime's own handler then wakes this module with
//! a byte through a socket, and passes over an error of that write. So the flags are also looked at now and then: a
//! request whose wake-up is lost is found late, but is found.

use crate::error::NodeError;
use crate::event_loop;
use crate::lifecycle_runner::ProcessSignal;
use signal_hook::flag;
use std::os::raw::c_int;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};

/// Interval at which the flags are looked at without a wake-up. A process has half a second for what it accepts after
/// SIGTERM.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// One kind of signal.
struct Source {
    meaning: ProcessSignal,
    /// Set by the signal handler.
    is_raised: Arc<AtomicBool>,
    /// Wakes this module after the flag is set, unless the wake-up is lost.
    wake_ups: Signal,
}

impl Source {
    /// Installs the handlers of a signal. The one that sets the flag runs first.
    fn install(kind: SignalKind, meaning: ProcessSignal) -> Result<Source, NodeError> {
        let is_raised = Arc::new(AtomicBool::new(false));
        let number: c_int = kind.as_raw_value();
        flag::register(number, Arc::clone(&is_raised)).map_err(NodeError::Signals)?;
        let wake_ups = signal(kind).map_err(NodeError::Signals)?;
        Ok(Source {
            meaning,
            is_raised,
            wake_ups,
        })
    }
}

/// Installs the signal handlers and returns the requests that signals stand for.
///
/// # Errors
/// A handler cannot be installed.
pub fn install() -> Result<mpsc::UnboundedReceiver<ProcessSignal>, NodeError> {
    let (sender, receiver) = mpsc::unbounded_channel();
    event_loop::observe_stops().map_err(NodeError::Signals)?;
    let mut stop = Source::install(SignalKind::terminate(), ProcessSignal::Stop)?;
    // Without a handler, SIGHUP ends the process.
    let mut reload = Source::install(SignalKind::hangup(), ProcessSignal::Reload)?;
    tokio::task::spawn_local(async move {
        let mut look = interval(LOOK_INTERVAL);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = stop.wake_ups.recv() => {}
                _ = reload.wake_ups.recv() => {}
                _ = look.tick() => {}
            }
            for source in [&stop, &reload] {
                let raised = source.is_raised.swap(false, Ordering::SeqCst);
                if raised && sender.send(source.meaning).is_err() {
                    return;
                }
            }
        }
    });
    Ok(receiver)
}
