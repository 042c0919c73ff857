//! Bounds how late this thread's event loop reads data that the kernel has received, from the loop's sleeps and
//! completed iterations.
//!
//! A thread that is preempted, or stopped by SIGSTOP, between the call that polls the kernel and the hook that runs after
//! it seems to have slept. Its bytes may have been there before, so such a time does not count as a sleep: a sleep blocks
//! the thread, which the kernel counts as a voluntary context switch, and the end of a stop raises SIGCONT.

use nix::sys::resource::{getrusage, UsageWho};
use saffronpaddle_connection_eviction::{time_unread, ReceiveTimeBound};
use signal_hook::consts::SIGCONT;
use signal_hook::flag;
use std::cell::{Cell, RefCell};
use std::io;
use std::os::raw::c_long;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

/// Interval of the sweep of clients' connections, and so the longest sleep that the event loop asks for.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// A longer sleep than this means that the loop was kept from running, because it always asks to be woken for its next
/// sweep.
const MAX_SLEEP: Duration = SWEEP_INTERVAL.saturating_add(Duration::from_millis(10));
/// Time for which the process was kept from running from which on the log reports it.
const MIN_REPORTED_GAP: Duration = Duration::from_millis(500);

/// Set by the handler of SIGCONT: the process was stopped since the flag was last cleared.
static WAS_STOPPED: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

thread_local! {
    /// When the observation of the loop's sleeps began; `None` for a loop that is not observed.
    static OBSERVED_SINCE: Cell<Option<Instant>> = const { Cell::new(None) };
    /// The bound that follows from the sleeps and iterations observed so far.
    static RECEIVE_TIME_BOUND: Cell<ReceiveTimeBound> = const { Cell::new(ReceiveTimeBound::NEW) };
    /// Voluntary context switches of the thread before its present sleep; `None` if the kernel does not tell.
    static SWITCHES_BEFORE_SLEEP: Cell<Option<c_long>> = const { Cell::new(None) };
    /// Notified when the loop may be late and an iteration is to be measured.
    static MEASUREMENT_REQUESTED: Rc<Notify> = Rc::default();
    /// Called before and after each sleep of the loop.
    static ITERATION_CHECK: RefCell<Option<IterationCheck>> = const { RefCell::new(None) };
}

/// A check that the event loop makes in each iteration.
type IterationCheck = Rc<dyn Fn()>;

/// Has the loop call `check` before and after each of its sleeps. It replaces an earlier check.
pub fn set_iteration_check(check: IterationCheck) {
    ITERATION_CHECK.set(Some(check));
}

fn run_iteration_check() {
    let check = ITERATION_CHECK.with_borrow(Clone::clone);
    check.iter().for_each(|check| check());
}

fn update_bound<T>(update: impl FnOnce(&mut ReceiveTimeBound, Duration) -> T) -> T {
    let observed_since = OBSERVED_SINCE.get().unwrap_or_else(|| {
        let now = Instant::now();
        OBSERVED_SINCE.set(Some(now));
        now
    });
    let mut bound = RECEIVE_TIME_BOUND.get();
    let result = update(&mut bound, observed_since.elapsed());
    RECEIVE_TIME_BOUND.set(bound);
    result
}

/// Number of times that this thread has given up its core to wait; `None` if the kernel does not tell.
fn voluntary_switches() -> Option<c_long> {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).ok()?;
    Some(usage.voluntary_context_switches())
}

/// Records that the loop goes to sleep.
fn on_sleep() {
    run_iteration_check();
    update_bound(ReceiveTimeBound::on_sleep);
    SWITCHES_BEFORE_SLEEP.set(voluntary_switches());
}

/// Whether the thread has waited for an event since it went to sleep, as far as the kernel tells.
fn has_waited() -> bool {
    let was_stopped = WAS_STOPPED.swap(false, Ordering::Relaxed);
    let blocked = SWITCHES_BEFORE_SLEEP
        .get()
        .zip(voluntary_switches())
        .is_none_or(|(before, now)| now > before);
    blocked && !was_stopped
}

/// Records that the loop wakes up, and logs a gap in which the process did not run.
fn on_wake() {
    let has_waited = has_waited();
    let gap = update_bound(|bound, now| {
        let gap = bound.overslept(now, MAX_SLEEP);
        if has_waited {
            bound.on_wake(now, MAX_SLEEP);
        } else {
            bound.on_wake_without_wait();
        }
        gap
    });
    if gap >= MIN_REPORTED_GAP {
        warn!(
            gap_ms = gap.as_millis() as u64,
            "event loop: the process was kept from running"
        );
    }
    run_iteration_check();
}

/// Observes the sleeps of a runtime's event loop, at the cost of two reads of the clock and of the context
/// switches per sleep.
pub fn observe_parking(runtime: &mut Builder) -> &mut Builder {
    // From now on: a process that is held up before its loop first sleeps has read nothing.
    OBSERVED_SINCE.set(Some(Instant::now()));
    runtime.on_thread_park(on_sleep);
    runtime.on_thread_unpark(on_wake)
}

/// Installs a handler of SIGCONT, by which the loop learns that the process was stopped.
///
/// # Errors
/// The handler cannot be installed.
pub fn observe_stops() -> io::Result<()> {
    flag::register(SIGCONT, Arc::clone(&WAS_STOPPED)).map(drop)
}

/// Returns a time after which the kernel received everything that this loop reads now; `None` for a loop that is not
/// observed. Requests the measurement of an iteration if the loop may be late.
pub fn arrived_after() -> Option<Instant> {
    let observed_since = OBSERVED_SINCE.get()?;
    let earliest = observed_since + RECEIVE_TIME_BOUND.get().earliest();
    if !time_unread(
        earliest.duration_since(observed_since),
        observed_since.elapsed(),
    )
    .is_zero()
    {
        MEASUREMENT_REQUESTED.with(|requested| requested.notify_one());
    }
    Some(earliest)
}

/// Returns when the observation of this loop began; `None` for a loop that is not observed.
pub fn observed_since() -> Option<Instant> {
    OBSERVED_SINCE.get()
}

/// Returns how long what this loop reads now may have been in the kernel; zero if that is negligible, or for a loop that
/// is not observed.
pub fn unread_time() -> Duration {
    arrived_after().map_or(Duration::ZERO, |earliest| {
        time_unread(Duration::ZERO, earliest.elapsed())
    })
}

/// Measures an iteration of the loop whenever one is requested. Runs until it is dropped. Without it, a busy loop,
/// which seldom sleeps, would treat everything that it reads as old. Tasks run in the order in which they are woken, and a
/// task that yields is woken after every task for which the kernel had reported an event by then.
pub async fn measure_iterations() {
    let requested = MEASUREMENT_REQUESTED.with(Rc::clone);
    loop {
        requested.notified().await;
        let mut iteration_start = Duration::ZERO;
        update_bound(|_, now| iteration_start = now);
        tokio::task::yield_now().await;
        update_bound(|bound, _| bound.on_iteration_completed(iteration_start));
    }
}
