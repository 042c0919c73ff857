//! Notifications and watchdog heartbeats to the service manager over its notify socket (`sd_notify(3)`).
//!
//! The `sd-notify` crate formats the messages. This module sends them, because the crate's own functions block while
//! the manager's socket is full and do not support abstract sockets.

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

/// Maximum number of messages queued while the manager's socket is full. It bounds the memory that a manager which
/// never reads can take. The oldest message is dropped for a further one.
const MAX_QUEUED_MESSAGES: usize = 16;

/// The service manager. Without a notify socket all messages are dropped.
pub struct Manager {
    socket: Option<(UnixDatagram, SocketAddr)>,
    /// Messages that the socket had no room for, oldest first. Status lines and heartbeats are never queued.
    queued: RefCell<VecDeque<String>>,
    /// Whether a failure to send has been logged since the last message that was sent.
    unreachable_logged: Cell<bool>,
    /// The watchdog's period; `None` if the manager expects no heartbeats.
    watchdog: Option<Duration>,
}

impl Manager {
    /// A manager that drops all messages.
    pub fn none() -> Manager {
        Manager {
            socket: None,
            queued: RefCell::default(),
            unreachable_logged: Cell::new(false),
            watchdog: None,
        }
    }

    /// The manager at a notify socket. `address` has the format of `NOTIFY_SOCKET`: an absolute path, or `@` and an
    /// abstract name.
    ///
    /// # Errors
    /// The address has another format, or no socket to send from can be opened. A manager that does not listen yet is
    /// not an error.
    pub fn at(address: &OsStr, watchdog: Option<Duration>) -> io::Result<Manager> {
        let destination = match address.as_bytes() {
            [b'@', name @ ..] => SocketAddr::from_abstract_name(name)?,
            [b'/', ..] => SocketAddr::from_pathname(address)?,
            _ => return Err(io::Error::new(
                ErrorKind::InvalidInput,
                "notify socket address is neither an absolute path nor `@` and an abstract name",
            )),
        };
        let socket = UnixDatagram::unbound()?;
        // Otherwise a manager that does not read would block the node.
        socket.set_nonblocking(true)?;
        Ok(Manager {
            socket: Some((socket, destination)),
            watchdog,
            ..Manager::none()
        })
    }

    /// The time within which the manager expects a heartbeat; `None` if it expects none.
    pub fn watchdog(&self) -> Option<Duration> {
        self.watchdog.filter(|_| self.socket.is_some())
    }

    /// Sends a message of the life cycle. Queues it if the socket is full, unless it is a status line.
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

    /// Sends a watchdog heartbeat, or drops it if the socket is full.
    pub fn send_heartbeat(&self) {
        self.send(NotifyState::Watchdog.to_string(), false);
    }

    /// Whether messages are queued. [`Manager::retry`] sends them.
    pub fn has_queued(&self) -> bool {
        !self.queued.borrow().is_empty()
    }

    /// Sends queued messages until the socket is full.
    pub fn retry(&self) {
        let mut queued = self.queued.borrow_mut();
        while let Some(text) = queued.front() {
            if self.send_now(text).is_err_and(|error| is_full(&error)) {
                return;
            }
            queued.pop_front();
        }
    }

    fn send(&self, text: String, queue_if_full: bool) {
        self.retry();
        let socket_full =
            self.has_queued() || self.send_now(&text).is_err_and(|error| is_full(&error));
        if !socket_full || !queue_if_full {
            return;
        }
        let mut queued = self.queued.borrow_mut();
        if queued.len() >= MAX_QUEUED_MESSAGES {
            queued.pop_front();
        }
        queued.push_back(text);
    }

    fn send_now(&self, text: &str) -> io::Result<()> {
        let Some((socket, destination)) = &self.socket else {
            return Ok(());
        };
        let sent = socket.send_to_addr(text.as_bytes(), destination);
        match &sent {
            Ok(_) => self.unreachable_logged.set(false),
            Err(error) if is_full(error) => {}
            // The socket does not exist or no process listens on it. Logged once, as a manager may start again at
            // the same address.
            Err(error) if !self.unreachable_logged.replace(true) => {
                warn!(
                    "cannot send to the service manager's notify socket; not logged again until a message is sent: {error}"
                );
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
