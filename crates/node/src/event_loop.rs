//! How late this thread's loop reads what has come, as its sleeps and rounds show.

use saffronpaddle_connection_eviction::{rested, IdleSweep};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How often the loop is woken at least, as clients' connections are swept: it sleeps no longer.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The loop always asks to be woken for its next look at the connections; so much later, it was made to stand still.
const LONGEST: Duration = SWEEP_INTERVAL.saturating_add(Duration::from_millis(10));

thread_local! {
    /// Since when the loop is watched; nothing is known of one that is not.
    static BEGAN: Cell<Option<Instant>> = const { Cell::new(None) };
    static SWEEP: Cell<IdleSweep> = const { Cell::new(IdleSweep::NEW) };
    /// A round is to be proved.
    static PROVE: Rc<Notify> = Rc::default();
}

fn with(change: impl FnOnce(&mut IdleSweep, Duration)) {
    let began = BEGAN.get().unwrap_or_else(|| {
        let now = Instant::now();
        BEGAN.set(Some(now));
        now
    });
    let mut rounds = SWEEP.get();
    change(&mut rounds, began.elapsed());
    SWEEP.set(rounds);
}

/// Has a loop's sleeps watched. Costs two looks at the clock for each.
pub fn observe_parking(runtime: &mut Builder) -> &mut Builder {
    runtime.on_thread_park(|| with(IdleSweep::sleeps));
    runtime.on_thread_unpark(|| with(|rounds, now| rounds.wakes(now, LONGEST)))
}

/// What this loop reads now came after this, as far as is known; `None` for a loop that is not watched.
pub fn arrived_after() -> Option<Instant> {
    let began = BEGAN.get()?;
    let since = began + SWEEP.get().since();
    if !rested(since.duration_since(began), began.elapsed()).is_zero() {
        PROVE.with(|prove| prove.notify_one());
    }
    Some(since)
}

/// Proves rounds of the loop when it looks late, for ever. Danger: a loop that has much to do sleeps seldom, and would take all
/// that it reads for old. Tasks run in the order in which they are woken, and who yields is woken behind all that the machine
/// told of then.
pub async fn confirm_rounds() {
    let prove = PROVE.with(Rc::clone);
    loop {
        prove.notified().await;
        let mut then = Duration::ZERO;
        with(|_, now| then = now);
        tokio::task::yield_now().await;
        with(|rounds, _| rounds.passed(then));
    }
}
