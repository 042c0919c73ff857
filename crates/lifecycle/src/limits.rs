//! The timeouts and readiness conditions of a node.

use crate::readiness::Conditions;
use crate::shutdown::{kill_after, EXIT_BEFORE_KILL};
use std::time::Duration;

/// How long requests are still accepted after the signal to stop. A front end polls readiness every 0.1 s and opens new
/// connections for up to 0.4 s after a poll.
const DEFAULT_DRAIN_DURATION: Duration = Duration::from_millis(600);
/// Default of [`Limits::reload_timeout`].
const DEFAULT_RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeouts and readiness conditions of a node. The operator file can set all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Conditions that must hold for the node to be ready.
    pub readiness: Conditions,
    /// How long requests are still accepted after the signal to stop. Without this delay, clients whose front end has
    /// not noticed the stop yet would be rejected.
    pub drain_duration: Duration,
    /// How long requests in flight may take after `drain_duration`. Bounds the shutdown if a client never reads its
    /// response.
    pub close_timeout: Duration,
    /// Timeout of a reload. Bounds a reload from a file system that hangs.
    pub reload_timeout: Duration,
}

impl Limits {
    /// Returns the limits of a node without an operator file: it is ready as soon as it listens, and exits before the
    /// platform kills it. `longest_deadline` is the longest deadline of a request in the settings.
    pub fn immediate(longest_deadline: Duration) -> Limits {
        let total = kill_after(longest_deadline).saturating_sub(EXIT_BEFORE_KILL);
        Limits {
            readiness: Conditions::none(),
            drain_duration: DEFAULT_DRAIN_DURATION.min(total),
            close_timeout: total.saturating_sub(DEFAULT_DRAIN_DURATION),
            reload_timeout: DEFAULT_RELOAD_TIMEOUT,
        }
    }
}
