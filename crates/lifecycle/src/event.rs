//! The inputs of the state machine.

use crate::readiness::HealthSample;
use crate::time::Time;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The listener is bound: connections are accepted or queue in its backlog.
    Listening,
    /// The current measurements for the readiness conditions. The next ones are due after
    /// [`Lifecycle::next_sample_in`](crate::Lifecycle::next_sample_in).
    Observed(HealthSample),
    /// The signal to stop (SIGTERM).
    Stop {
        /// Lower bound of the time at which the signal was sent. A process that was suspended reads the signal late.
        since: Time,
    },
    /// The signal to reload the configuration (SIGHUP).
    Reload,
    /// A reload requested by [`Action::ReadConfiguration`](crate::Action::ReadConfiguration) has completed or failed.
    Reloaded {
        /// Whether the new configuration is in force.
        applied: bool,
    },
    /// The admin command `LAMEDUCK`: the node is not ready and closes its connections, but the process keeps running.
    Lameduck,
    /// The admin command `REJOIN`: ends lame-duck mode.
    Rejoin,
    /// Whether another process of this node now accepts connections from the same listener.
    SuccessorPresent(bool),
    /// All downstream connections have closed.
    ConnectionsClosed,
    /// The time of [`Lifecycle::deadline`](crate::Lifecycle::deadline) may have been reached.
    Tick,
}
