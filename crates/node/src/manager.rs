//! The service manager: its notify socket (`sd_notify(3)`), and the watchdog that expects heartbeats.
//!
//! The protocol's messages come from the `sd-notify` crate. Its own sending blocks while the manager's socket is full
//! and knows no abstract sockets, so the datagrams are sent here.

use saffronpaddle_lifecycle::ManagerMessage;
use sd_notify::NotifyState;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::ffi::OsStr;
use std::io::{self, ErrorKind};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};
use std::time::Duration;
use tracing::warn;

/// Messages that may be queued for a manager whose socket is full. It bounds memory where a manager never reads.
const MAX_QUEUED_MESSAGES: usize = 16;

/// The service manager; where there is none, all messages are dropped.
pub struct Manager {
    socket: Option<(UnixDatagram, SocketAddr)>,
    /// Messages that the socket had no room for, in their order. A status or a heartbeat is never queued.
    queued: RefCell<VecDeque<String>>,
    /// Whether it was logged that the manager cannot be reached.
    unreachable_logged: Cell<bool>,
    /// Within which time it expects a heartbeat.
    watchdog: Option<Duration>,
}

impl Manager {
    /// No manager.
    pub fn none() -> Manager {
        Manager {
            socket: None,
            queued: RefCell::default(),
            unreachable_logged: Cell::new(false),
            watchdog: None,
        }
    }

    /// The manager at a socket: a path, or `@` and an abstract name, as `NOTIFY_SOCKET` has it.
    ///
    /// # Errors
    /// An address that is neither, or no socket to send from. That the manager is not there is no error: it may come.
    pub fn at(address: &OsStr, watchdog: Option<Duration>) -> io::Result<Manager> {
        let to = match address.as_bytes() {
            [b'@', name @ ..] => SocketAddr::from_abstract_name(name)?,
            [b'/', ..] => SocketAddr::from_pathname(address)?,
            _ => {
                return Err(io::Error::new(
                    ErrorKind::InvalidInput,
                    "neither a path nor an abstract name",
                ))
            }
        };
        let socket = UnixDatagram::unbound()?;
        // A manager that does not read would otherwise block the node.
        socket.set_nonblocking(true)?;
        Ok(Manager {
            socket: Some((socket, to)),
            watchdog,
            ..Manager::none()
        })
    }

    /// Within which time the manager expects a heartbeat; `None` for never.
    pub fn watchdog(&self) -> Option<Duration> {
        self.watchdog.filter(|_| self.socket.is_some())
    }

    /// Sends a message of the life cycle.
    pub fn notify(&self, message: &ManagerMessage) {
        let text = match message {
            ManagerMessage::Ready => NotifyState::Ready.to_string(),
            ManagerMessage::Reloading => match NotifyState::monotonic_usec_now() {
                Ok(now) => format!("{}\n{now}", NotifyState::Reloading),
                Err(_) => NotifyState::Reloading.to_string(),
            },
            ManagerMessage::Stopping => NotifyState::Stopping.to_string(),
            ManagerMessage::Status(line) => NotifyState::Status(line).to_string(),
            ManagerMessage::ExtendTimeout(span) => {
                let micros = u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
                NotifyState::ExtendTimeoutUsec(micros).to_string()
            }
        };
        self.send(text, !matches!(message, ManagerMessage::Status(_)));
    }

    /// Sends a heartbeat.
    pub fn send_heartbeat(&self) {
        self.send(NotifyState::Watchdog.to_string(), false);
    }

    /// Whether messages are queued; they go out with [`Manager::retry`].
    pub fn has_queued(&self) -> bool {
        !self.queued.borrow().is_empty()
    }

    /// Sends what is queued, as far as there is room.
    pub fn retry(&self) {
        let mut queued = self.queued.borrow_mut();
        while let Some(text) = queued.front() {
            if self.send_now(text).is_err_and(|error| is_full(&error)) {
                return;
            }
            queued.pop_front();
        }
    }

    fn send(&self, text: String, must: bool) {
        self.retry();
        let full = self.has_queued() || self.send_now(&text).is_err_and(|error| is_full(&error));
        if !full || !must {
            return;
        }
        let mut queued = self.queued.borrow_mut();
        if queued.len() >= MAX_QUEUED_MESSAGES {
            queued.pop_front();
        }
        queued.push_back(text);
    }

    fn send_now(&self, text: &str) -> io::Result<()> {
        let Some((socket, to)) = &self.socket else {
            return Ok(());
        };
        let sent = socket.send_to_addr(text.as_bytes(), to);
        match &sent {
            Ok(_) => self.unreachable_logged.set(false),
            Err(error) if is_full(error) => {}
            // Missing or gone: it may return under the same address, and one line of the log is enough until then.
            Err(error) if !self.unreachable_logged.replace(true) => {
                warn!("the service manager can't be told: {error}");
            }
            Err(_) => {}
        }
        sent.map(|_| ())
    }
}

fn is_full(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock
}

#[cfg(test)]
mod tests;
