//! Which connections a stopping process accepts from a listener that outlives it, as the service manager's does.
//!
//! Rule: what the machine has accepted is served by whichever process lives. The next process may start only once this
//! one has exited, so a process that is about to exit leaves new connections to the next one, and a process that has to
//! wait for an open connection accepts them itself.
//!
//! Inputs: when the process began to close, when it has to have answered all requests, how long its oldest connection
//! has been open. Result: whether to accept connections, and when to decide again.

use crate::time::Time;
use std::time::Duration;

/// How long a connection may be open before the process no longer counts as about to exit. It is about as long as a
/// process takes to start, for which connections wait in any case.
const ABOUT_TO_EXIT: Duration = Duration::from_millis(100);
/// How long before the shutdown deadline the last connections are accepted, so that most of their requests are answered
/// by a server.
const TIME_OF_LAST_REQUESTS: Duration = Duration::from_millis(300);

/// A stopping process with a listener that outlives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedListener {
    /// When the process began to close.
    pub closing_since: Time,
    /// When the process has to have answered all requests.
    pub answer_by: Time,
}

/// What to do with new connections until the next decision, which is also due when a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// Accept them until this time.
    AcceptUntil(Time),
    /// Leave them to the next process, and decide again at this time.
    PauseUntil(Time),
    /// Leave them to the next process.
    Stop,
}

impl SharedListener {
    /// Decides on new connections. `oldest_since` is when the oldest open connection was accepted.
    pub fn acceptance(&self, now: Time, oldest_since: Time) -> Acceptance {
        let accepts_until = self.answer_by.saturating_sub(TIME_OF_LAST_REQUESTS);
        if now >= accepts_until {
            return Acceptance::Stop;
        }
        let held_from = oldest_since.max(self.closing_since) + ABOUT_TO_EXIT;
        if now < held_from {
            Acceptance::PauseUntil(held_from)
        } else {
            Acceptance::AcceptUntil(accepts_until)
        }
    }
}
