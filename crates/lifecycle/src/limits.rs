//! The timeouts and conditions of a life cycle.

use crate::readiness::Conditions;
use crate::shutdown::{kill_after, EXIT_BEFORE_KILL};
use std::time::Duration;

/// How long new work is taken after the signal to stop. A front end polls readiness every 0.1 s and sends new connections
/// for up to 0.4 s after a poll.
const DEFAULT_LEAVE_FOR: Duration = Duration::from_millis(600);
/// How long a reload may take by default.
const DEFAULT_RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// What a life cycle is bound by. The operator file sets all of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The conditions of readiness.
    pub readiness: Conditions,
    /// How long new work is still taken after the signal to stop. Without it, clients whose front end has not noticed the
    /// stop yet would be rejected.
    pub leave_for: Duration,
    /// How long work in flight may take after that. It bounds the stop where a client never reads its answer.
    pub finish_within: Duration,
    /// A reload that takes longer has failed. It bounds a reload from a file system that hangs.
    pub reload_within: Duration,
}

impl Limits {
    /// The limits of a node without an operator file: it is ready as soon as it listens, and exits before the platform
    /// kills it. `longest_deadline` is the longest deadline of a request in the settings.
    pub fn immediate(longest_deadline: Duration) -> Limits {
        let total = kill_after(longest_deadline).saturating_sub(EXIT_BEFORE_KILL);
        Limits {
            readiness: Conditions::none(),
            leave_for: DEFAULT_LEAVE_FOR.min(total),
            finish_within: total.saturating_sub(DEFAULT_LEAVE_FOR),
            reload_within: DEFAULT_RELOAD_TIMEOUT,
        }
    }
}
