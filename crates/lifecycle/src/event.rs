//! What the state machine is told.

use crate::readiness::Facts;
use crate::time::Time;

/// Something that happens to an edge node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The listener is up: connections are accepted or wait in the backlog.
    Listening,
    /// The current values that the conditions of readiness depend on; wanted again after
    /// [`Lifecycle::next_sample_in`](crate::Lifecycle::next_sample_in).
    Observed(Facts),
    /// The signal to stop (SIGTERM).
    Stop {
        /// The signal was sent after this moment: a process that was held up reads it late.
        since: Time,
    },
    /// The signal to read the configuration again (SIGHUP).
    Reload,
    /// The reload that was asked for has ended.
    Reloaded {
        /// Whether the new configuration is in force.
        applied: bool,
    },
    /// Staff want clients sent away (`LAMEDUCK`); the process goes on.
    Lameduck,
    /// Staff want the node back in service (`REJOIN`).
    Rejoin,
    /// Whether another process of this node accepts clients from the same listener.
    SuccessorPresent(bool),
    /// All downstream connections have ended.
    ConnectionsClosed,
    /// Time has passed.
    Tick,
}
