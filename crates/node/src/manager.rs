//! The service manager: its notify socket (`sd_notify(3)`), and the watchdog that it asks to be fed.
//!
//! The protocol's words come from the `sd-notify` crate. Its own sending blocks while the manager's socket is full and
//! knows no abstract sockets, so the datagrams are sent here.

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

/// `WatchStatuses` that may wait for a manager whose socket is full. Guards memory against one that never reads.
const MAX_QUEUED_MESSAGES: usize = 16;

/// The way to the manager; where there is none, all words are dropped.
pub struct Manager {
    socket: Option<(UnixDatagram, SocketAddr)>,
    /// `WatchStatuses` that the socket had no room for, in their order. A status or a sign of life never waits.
    queued: RefCell<VecDeque<String>>,
    /// Whether the log has been told that the manager can't be reached.
    unreachable_logged: Cell<bool>,
    /// How often it wants a sign of life.
    watchdog: Option<Duration>,
}

impl Manager {
    /// Nobody to be told.
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
        // Danger: a manager that does not read stops a node that waits to tell it something.
        socket.set_nonblocking(true)?;
        Ok(Manager {
            socket: Some((socket, to)),
            watchdog,
            ..Manager::none()
        })
    }

    /// How often the manager wants a sign of life; `None` for never.
    pub fn watchdog(&self) -> Option<Duration> {
        self.watchdog.filter(|_| self.socket.is_some())
    }

    /// Tells it a word of the life cycle.
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

    /// A sign of life.
    pub fn send_heartbeat(&self) {
        self.send(NotifyState::Watchdog.to_string(), false);
    }

    /// Whether words wait for room; they go out with [`Manager::retry`].
    pub fn has_queued(&self) -> bool {
        !self.queued.borrow().is_empty()
    }

    /// Sends what waits, as far as there is room.
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
            // Missing or gone: it may come back under the same address, and until then nobody need know.
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
