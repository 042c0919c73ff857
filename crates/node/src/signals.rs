//! The signals by which a process is asked to stop or to reload.
//!
//! A signal handler sets a flag, which is what carries the request. The runtime's own handler then wakes the event loop with
//! a byte through a socket, and passes over an error of that write. So the flags are checked before and after each sleep of
//! the loop, which a signal interrupts, and at an interval.

use crate::error::NodeError;
use crate::event_loop;
use signal_hook::flag;
use std::os::raw::c_int;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// What a signal asks the process to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: answer accepted requests, then exit.
    Stop {
        /// The earliest time at which the signal can have been sent.
        sent_after: Instant,
    },
    /// SIGHUP: reload the configuration.
    Reload,
}

impl ProcessSignal {
    /// A request to stop that is found now. A delayed event loop finds it late.
    pub fn stop() -> ProcessSignal {
        let sent_after = event_loop::arrived_after().unwrap_or_else(Instant::now);
        ProcessSignal::Stop { sent_after }
    }
}

/// Interval at which the flags are checked where the event loop has nothing else to do.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// One kind of signal.
struct Source {
    /// Returns the request that a signal found now stands for.
    request: fn() -> ProcessSignal,
    /// Set by the signal handler.
    is_raised: Arc<AtomicBool>,
}

impl Source {
    /// Installs the handlers of a signal. The one that sets the flag runs first. Returns also the source of wake-ups.
    fn install(
        kind: SignalKind,
        request: fn() -> ProcessSignal,
    ) -> Result<(Source, Signal), NodeError> {
        let is_raised = Arc::new(AtomicBool::new(false));
        let number: c_int = kind.as_raw_value();
        flag::register(number, Arc::clone(&is_raised)).map_err(NodeError::Signals)?;
        let wake_ups = signal(kind).map_err(NodeError::Signals)?;
        Ok((Source { request, is_raised }, wake_ups))
    }

    /// The request of a signal that was received since the last call.
    fn take(&self) -> Option<ProcessSignal> {
        let raised = self.is_raised.swap(false, Ordering::SeqCst);
        raised.then(self.request)
    }
}

/// Installs the signal handlers and returns the requests that signals stand for.
///
/// # Errors
/// A handler cannot be installed.
pub fn install() -> Result<mpsc::UnboundedReceiver<ProcessSignal>, NodeError> {
    let (sender, receiver) = mpsc::unbounded_channel();
    event_loop::observe_stops().map_err(NodeError::Signals)?;
    let (stop, mut stop_wake_ups) = Source::install(SignalKind::terminate(), ProcessSignal::stop)?;
    // Without a handler, SIGHUP ends the process.
    let (reload, mut reload_wake_ups) =
        Source::install(SignalKind::hangup(), || ProcessSignal::Reload)?;
    let check = Rc::new(move || {
        for request in [&stop, &reload].into_iter().filter_map(Source::take) {
            // Sending fails once the process exits.
            let _ = sender.send(request);
        }
    });
    event_loop::set_iteration_check(Rc::clone(&check) as _);
    tokio::task::spawn_local(async move {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = stop_wake_ups.recv() => {}
                _ = reload_wake_ups.recv() => {}
                _ = checks.tick() => {}
            }
            check();
        }
    });
    Ok(receiver)
}
