//! How long a process has once it was told to stop, and when all that it has taken must be answered.
//!
//! Every admission of work goes by [`ShutdownPlan::answer_by`]: work may not be given more time than the process has.

use crate::Time;
use std::time::Duration;

/// The platform waits no longer than this for the longest deadline of the settings.
const LONGEST_DEADLINE_COUNTED: Duration = Duration::from_secs(3);
/// The platform kills so long after the longest deadline that it counts.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// A process ends by itself so long before the kill.
pub(crate) const END_BEFORE_KILL: Duration = Duration::from_millis(50);
/// How long a process may be held up between reading its clock and writing.
pub const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// How long it takes to write answers once they are made.
const WRITE_WITHIN: Duration = Duration::from_millis(30);
/// A process that was held up for long still gives its answers: it takes at least so long.
const SHORTEST: Duration = Duration::from_millis(250);

/// How long after SIGTERM the platform kills a process at the earliest.
pub fn kill_after(longest_deadline: Duration) -> Duration {
    longest_deadline.min(LONGEST_DEADLINE_COUNTED) + KILL_GRACE
}

/// How a process that was told to stop ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// All requests have their final answer by then, whatever time their clients have left.
    pub answer_by: Time,
    /// The process ends then, whatever is still open.
    pub exit_by: Time,
}

impl ShutdownPlan {
    /// The plan of a process that is told at `now` to stop within `longest`; the signal was sent after `since`.
    pub fn new(now: Time, since: Time, longest: Duration) -> ShutdownPlan {
        let sent = since.min(now);
        let ends = sent
            .saturating_add(longest)
            .max(now.saturating_add(SHORTEST.min(longest)));
        let left = ends.saturating_sub(now);
        // A process with little time left can't keep all of it back.
        let kept_back = (MAX_SCHEDULING_DELAY + WRITE_WITHIN).min(left / 2);
        ShutdownPlan {
            answer_by: ends.saturating_sub(kept_back),
            exit_by: ends,
        }
    }

    /// The one of two plans that ends first.
    #[must_use]
    pub fn earlier(self, other: ShutdownPlan) -> ShutdownPlan {
        ShutdownPlan {
            answer_by: self.answer_by.min(other.answer_by),
            exit_by: self.exit_by.min(other.exit_by),
        }
    }
}
