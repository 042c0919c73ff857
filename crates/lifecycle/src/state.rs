//! The states of a node's life cycle.

/// The state of an edge node. The order is that of a node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Not ready yet: a condition of readiness does not hold.
    Starting,
    /// Takes work. Readiness may be lost and regained in this state, see [`Lifecycle::ready`](crate::Lifecycle::ready).
    Ready,
    /// Reads its configuration again, and takes work as before.
    Reloading,
    /// Told to stop. Not ready, but new work is still taken and served, as clients and front ends notice late.
    Draining,
    /// Accepts nothing new; work in flight is finished.
    Closing,
    /// The process exits.
    Gone,
}

impl State {
    /// The state's name in the log and in `STATUS=`.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::Reloading => "reloading",
            State::Draining => "draining",
            State::Closing => "closing",
            State::Gone => "gone",
        }
    }
}
