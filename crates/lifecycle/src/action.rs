//! The actions that the state machine returns to the I/O layer, and the events that it reports for the log.

use std::fmt;
use std::time::Duration;

/// A message to the service manager (`sd_notify(3)`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManagerMessage {
    /// `READY=1`: start-up or a reload is complete.
    Ready,
    /// `RELOADING=1` with `MONOTONIC_USEC=`.
    Reloading,
    /// `STOPPING=1`.
    Stopping,
    /// `STATUS=` with a human-readable line.
    Status(String),
    /// `EXTEND_TIMEOUT_USEC=`: the manager must not kill the process within this time from now.
    ExtendTimeout(Duration),
}

/// A task for the I/O layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the service manager.
    NotifyManager(ManagerMessage),
    /// Reload the configuration, then send [`Event::Reloaded`](crate::Event::Reloaded).
    ReadConfiguration,
    /// Send `Connection: close` with every response from now on.
    CloseAfterResponses,
    /// Close connections that are idle now or become idle later. New connections are still accepted; each serves one
    /// request.
    CloseIdle,
    /// Keep connections open between requests again: revokes [`Action::CloseAfterResponses`] and [`Action::CloseIdle`].
    KeepOpen,
    /// Pause accepting connections, because another process of this node accepts them. Open connections are still
    /// served.
    PauseAccepting,
    /// Resume accepting connections: the other process has exited.
    ResumeAccepting,
    /// Close all idle connections, and the listener unless it outlives the process (see
    /// [`SharedListener`](crate::SharedListener)). Send [`Event::ConnectionsClosed`](crate::Event::ConnectionsClosed)
    /// once the remaining connections have closed.
    StopAccepting,
    /// Exit the process, even if connections are still open.
    Exit,
    /// Write a line to the log.
    Report(LifecycleEvent),
}

/// An event for the log. `Display` writes the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The state or the reasons for not being ready have changed.
    StatusChanged {
        /// The new status line, see [`Lifecycle::status`](crate::Lifecycle::status).
        status: String,
    },
    /// An operator started lame-duck mode: responses close their connections, so that clients reconnect elsewhere.
    LameDuckStarted,
    /// An operator ended lame-duck mode.
    LameDuckEnded,
    /// A reload was rejected because the node is stopping.
    ReloadRejected,
    /// A reload failed; the previous configuration remains in force.
    ReloadFailed,
    /// A reload did not complete within [`Limits::reload_timeout`](crate::Limits::reload_timeout).
    ReloadTimedOut,
    /// Connections were still open at the shutdown deadline and are dropped.
    CloseTimedOut,
}

impl fmt::Display for LifecycleEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LifecycleEvent::StatusChanged { status } => return write!(f, "life cycle: {status}"),
            LifecycleEvent::LameDuckStarted => {
                "lame duck: closing client connections after their responses"
            }
            LifecycleEvent::LameDuckEnded => {
                "lame duck ended: keeping client connections open again"
            }
            LifecycleEvent::ReloadRejected => "no reload: the node is stopping",
            LifecycleEvent::ReloadFailed => {
                "reload failed: the previous configuration remains in force"
            }
            LifecycleEvent::ReloadTimedOut => {
                "reload timed out: it did not complete within reload.within_ms"
            }
            LifecycleEvent::CloseTimedOut => {
                "closing: shutdown deadline reached, dropping open connections"
            }
        })
    }
}
