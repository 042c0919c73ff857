//! How long a process has once it was told to stop, and when all that it has taken must be answered.
//!
//! Admission goes by [`ShutdownPlan::answer_by`]: no request may get more time than the process has.

use crate::time::Time;
use std::time::Duration;

/// The platform counts at most this much of the longest deadline in the settings.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// From the end of the counted deadline to the platform's kill.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How long before the kill a process exits by itself.
pub(crate) const EXIT_BEFORE_KILL: Duration = Duration::from_millis(50);
/// The longest that a process may be held up between reading its clock and writing.
pub const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// How long it takes to write answers once they are made.
const WRITE_TIMEOUT: Duration = Duration::from_millis(30);
/// The least time for a shutdown, so that a process that reads the signal very late still gives its answers.
const MIN_SHUTDOWN: Duration = Duration::from_millis(250);

/// How long after SIGTERM the platform kills a process at the earliest. `longest_deadline` is the longest deadline of a
/// request in the settings.
pub fn kill_after(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE
}

/// When a process that was told to stop answers and exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Every request has its final answer by then, whatever its own deadline.
    pub answer_by: Time,
    /// The process exits then, whatever is still open.
    pub exit_by: Time,
}

impl ShutdownPlan {
    /// The plan of a process that reads at `now` a signal sent after `since`, and has `longest` to stop from then.
    pub fn new(now: Time, since: Time, longest: Duration) -> ShutdownPlan {
        let sent = since.min(now);
        let exit_by = sent
            .saturating_add(longest)
            .max(now.saturating_add(MIN_SHUTDOWN.min(longest)));
        let left = exit_by.saturating_sub(now);
        // With little time left, only half of it is reserved for writing.
        let reserved = (MAX_SCHEDULING_DELAY + WRITE_TIMEOUT).min(left / 2);
        ShutdownPlan {
            answer_by: exit_by.saturating_sub(reserved),
            exit_by,
        }
    }

    /// The earlier of each of the two plans' times.
    #[must_use]
    pub fn earlier(self, other: ShutdownPlan) -> ShutdownPlan {
        ShutdownPlan {
            answer_by: self.answer_by.min(other.answer_by),
            exit_by: self.exit_by.min(other.exit_by),
        }
    }
}
