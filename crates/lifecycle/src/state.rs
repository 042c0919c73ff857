//! The states of a node's life cycle.

/// The state of an edge node. The variants are ordered as a node passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Not ready yet: the node does not listen, or a readiness condition fails.
    Starting,
    /// Accepts requests. The node may stop being ready and become ready again without leaving this state, see
    /// [`Lifecycle::ready`](crate::Lifecycle::ready).
    Ready,
    /// Reloads its configuration and accepts requests as before.
    Reloading,
    /// A stop was requested. The node is not ready but still accepts and serves requests, because clients and front
    /// ends notice the change with a delay.
    Draining,
    /// Accepts no connections; requests in flight are completed.
    Closing,
    /// The process is about to exit.
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
