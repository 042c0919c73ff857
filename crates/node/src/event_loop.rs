//! Bounds how late this thread's event loop reads what the kernel has received, from its sleeps and completed rounds.

use saffronpaddle_connection_eviction::{rested, ReceiveTimeBound};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How often the loop is woken at least, for the sweep of clients' connections.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The loop always asks to be woken for its next sweep. If it sleeps this long it was kept from running.
const LONGEST: Duration = SWEEP_INTERVAL.saturating_add(Duration::from_millis(10));

thread_local! {
    /// Since when the loop's sleeps are observed; nothing is known of a loop that is not.
    static BEGAN: Cell<Option<Instant>> = const { Cell::new(None) };
    /// The sleeps and rounds that were observed.
    static SLEEPS: Cell<ReceiveTimeBound> = const { Cell::new(ReceiveTimeBound::NEW) };
    /// Notified when a round is to be confirmed.
    static PROVE: Rc<Notify> = Rc::default();
}

fn with(change: impl FnOnce(&mut ReceiveTimeBound, Duration)) {
    let began = BEGAN.get().unwrap_or_else(|| {
        let now = Instant::now();
        BEGAN.set(Some(now));
        now
    });
    let mut rounds = SLEEPS.get();
    change(&mut rounds, began.elapsed());
    SLEEPS.set(rounds);
}

/// Observes a loop's sleeps. It costs two reads of the clock for each.
pub fn observe_parking(runtime: &mut Builder) -> &mut Builder {
    runtime.on_thread_park(|| with(ReceiveTimeBound::on_sleep));
    runtime.on_thread_unpark(|| with(|rounds, now| rounds.on_wake(now, LONGEST)))
}

/// A time before which what this loop reads now had not reached the kernel; `None` for a loop that is not observed.
pub fn arrived_after() -> Option<Instant> {
    let began = BEGAN.get()?;
    let since = began + SLEEPS.get().earliest();
    if !rested(since.duration_since(began), began.elapsed()).is_zero() {
        PROVE.with(|prove| prove.notify_one());
    }
    Some(since)
}

/// Confirms rounds of the loop when it looks late, for ever. A busy loop sleeps seldom, and would take everything that
/// it reads for old. Tasks run in the order in which they are woken, and a task that yields is woken behind all that
/// the kernel had reported by then.
pub async fn confirm_iterations() {
    let prove = PROVE.with(Rc::clone);
    loop {
        prove.notified().await;
        let mut then = Duration::ZERO;
        with(|_, now| then = now);
        tokio::task::yield_now().await;
        with(|rounds, _| rounds.on_round_completed(then));
    }
}
