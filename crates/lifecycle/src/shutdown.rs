//! The deadlines of a process for which a stop was requested.
//!
//! Admission caps the deadline of each request at [`ShutdownPlan::answer_by`], so that no request outlives the process.

use crate::time::Time;
use std::time::Duration;

/// Upper bound of the deadline that the platform waits for before it kills a process. It waits [`KILL_GRACE`] longer.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long after that deadline the platform kills the process.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// How long before the platform's kill the process exits by itself.
pub(crate) const EXIT_BEFORE_KILL: Duration = Duration::from_millis(50);
/// How long the scheduler may suspend a process between reading its clock and writing a response.
pub const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);
/// Time reserved for writing the final responses.
const WRITE_TIMEOUT: Duration = Duration::from_millis(30);
/// Minimum duration of a shutdown, so that a process that reads the signal very late still sends its responses.
const MIN_SHUTDOWN: Duration = Duration::from_millis(250);

/// Returns the earliest time after SIGTERM at which the platform kills the process. `longest_deadline` is the longest
/// deadline of a request in the settings.
pub fn kill_after(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE
}

/// When a process for which a stop was requested finishes its responses and exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Every request gets its final response by this time, even if its own deadline is later.
    pub answer_by: Time,
    /// The process exits at this time, even if connections are still open.
    pub exit_by: Time,
}

impl ShutdownPlan {
    /// Returns the plan of a process that reads the signal at `now`. The signal was sent after `since`, and the process
    /// may take `max_duration` from then on.
    pub fn new(now: Time, since: Time, max_duration: Duration) -> ShutdownPlan {
        let sent_at = since.min(now);
        let exit_by = sent_at
            .saturating_add(max_duration)
            .max(now.saturating_add(MIN_SHUTDOWN.min(max_duration)));
        let remaining = exit_by.saturating_sub(now);
        // At most half of the remaining time is reserved for suspension and writing.
        let reserved = (MAX_SCHEDULING_DELAY + WRITE_TIMEOUT).min(remaining / 2);
        ShutdownPlan {
            answer_by: exit_by.saturating_sub(reserved),
            exit_by,
        }
    }

    /// Returns a plan with the earlier `answer_by` and the earlier `exit_by` of the two.
    #[must_use]
    pub fn earlier(self, other: ShutdownPlan) -> ShutdownPlan {
        ShutdownPlan {
            answer_by: self.answer_by.min(other.answer_by),
            exit_by: self.exit_by.min(other.exit_by),
        }
    }
}
