//! What the state machine asks the I/O layer to do, and what it reports for the log.

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
    /// `STATUS=`, one line for people.
    Status(String),
    /// `EXTEND_TIMEOUT_USEC=`: stopping may take this long from now.
    ExtendTimeout(Duration),
}

/// What the I/O layer has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the service manager.
    NotifyManager(ManagerMessage),
    /// Read the configuration again and answer with [`Event::Reloaded`](crate::Event::Reloaded).
    ReadConfiguration,
    /// Answer every request from now on with `Connection: close`.
    CloseAfterAnswers,
    /// Close connections that are idle now or become idle later. New connections are still accepted; each serves one
    /// request.
    CloseIdle,
    /// Keep connections open again, as before [`Action::CloseAfterAnswers`].
    KeepOpen,
    /// Stop accepting for now, because another process of this node accepts. Open connections are served.
    PauseAccepting,
    /// Accept again: the other process has gone.
    ResumeAccepting,
    /// Stop accepting for good, close idle connections and send
    /// [`Event::ConnectionsClosed`](crate::Event::ConnectionsClosed) once all others have ended.
    StopAccepting,
    /// End the process, whatever is still open.
    Exit,
    /// Write a line to the log.
    Report(LifecycleEvent),
}

/// What has happened, for the log. `Display` gives the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The state or the reasons for not being ready have changed.
    StatusChanged {
        /// The new status line, see [`Lifecycle::status`](crate::Lifecycle::status).
        status: String,
    },
    /// Staff have the node send its clients away.
    LameDuckStarted,
    /// Staff have put the node back in service.
    LameDuckEnded,
    /// A reload was rejected because the node is stopping.
    ReloadRejected,
    /// A reload failed; the old configuration stays in force.
    ReloadFailed,
    /// A reload did not end within its timeout.
    ReloadTimedOut,
    /// Connections did not end within their timeout and are dropped.
    CloseTimedOut,
}

impl fmt::Display for LifecycleEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LifecycleEvent::StatusChanged { status } => return write!(f, "life cycle: {status}"),
            LifecycleEvent::LameDuckStarted => "clients are sent away",
            LifecycleEvent::LameDuckEnded => "back to work",
            LifecycleEvent::ReloadRejected => "no reload: the node is stopping",
            LifecycleEvent::ReloadFailed => "reload: the old configuration stays",
            LifecycleEvent::ReloadTimedOut => "reload: given up, it took too long",
            LifecycleEvent::CloseTimedOut => {
                "closing: the bound is reached, connections are dropped"
            }
        })
    }
}
