//! The table of a node's sockets: limits on their number and on how long each may be open and silent, and how they
//! close when a server drains or the node stops.
//!
//! A socket counts towards its customer's limit at this node only. The limit over all nodes is divided by the number of
//! the customer's nodes, so that no node has to know the sockets of another. So a client that reconnects through
//! another node is not rejected because of its own lost connection, and the sockets of a node that was killed are not
//! counted anywhere.

mod admission;
mod alarms;
mod drain;
mod limits;
#[cfg(test)]
mod tests;

pub use admission::AdmissionError;
pub use limits::Limits;

use crate::frames::Side;
use admission::TokenBucket;
use drain::PendingDrain;
use saffronpaddle_policy::interface::{CustomerId, Micros, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Close code "try again later" (RFC 6455's registry).
const TRY_AGAIN_LATER: u16 = 1013;

/// Identifies a socket of this node. IDs are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// An instruction to the I/O layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send a close frame with this code and reason to both sides, at frame boundaries. Of the client's bytes, only the
    /// rest of the current frame is still forwarded to the server.
    Close(SocketId, u16, String),
    /// As [`Command::Close`], because a server drains or the node stops. No byte may be written to the server after the
    /// given time. Once both sides have received their close frames, the connections are left open until
    /// [`Command::Cut`], so that the event loop can serve other sockets.
    Drain(SocketId, u16, String, Micros),
    /// Send a ping to a side.
    Ping(SocketId, Side),
    /// Close both connections of a socket. No byte may reach the server after that.
    Cut(SocketId),
}

/// An open socket, or an upgrade that has no response yet.
#[derive(Clone, Debug)]
struct Socket {
    customer: CustomerId,
    /// `None` while the upgrade is pending.
    server: Option<ServerId>,
    opened_at: Micros,
    /// When bytes were last received, by [`Side`].
    last_received_at: [Micros; 2],
    /// Whether a ping was sent since bytes were last received, by [`Side`].
    ping_sent: [bool; 2],
    /// When data was last forwarded, in either direction.
    last_data_at: Micros,
    /// When its connections are closed at the latest; `None` until the closing handshake starts.
    cut_at: Option<Micros>,
    /// When its alarm is due; [`Micros::MAX`] if none is set.
    alarm_at: Micros,
}

impl Socket {
    fn pending(customer: CustomerId, now: Micros) -> Socket {
        Socket {
            customer,
            server: None,
            opened_at: now,
            last_received_at: [now; 2],
            ping_sent: [false; 2],
            last_data_at: now,
            cut_at: None,
            alarm_at: Micros::MAX,
        }
    }
}

/// All sockets of a node.
#[derive(Clone, Debug)]
pub struct Sockets {
    limits: Limits,
    by_id: HashMap<SocketId, Socket>,
    by_customer: HashMap<CustomerId, u32>,
    by_server: BTreeMap<ServerId, BTreeSet<SocketId>>,
    pending_upgrades: usize,
    /// Servers that are draining or removed. Kept while upgrades are pending, because these may still open at such a
    /// server.
    unavailable: BTreeSet<ServerId>,
    alarms: BTreeSet<(Micros, SocketId)>,
    /// Sockets for which [`Command::Drain`] has not been issued yet.
    draining: VecDeque<PendingDrain>,
    /// When the last batch of [`Command::Drain`] was issued.
    last_drain_at: Micros,
    upgrade_tokens: TokenBucket,
    stopped: bool,
    next_id: u64,
}

impl Sockets {
    /// Creates an empty table.
    pub fn new(limits: Limits, now: Micros) -> Sockets {
        Sockets {
            upgrade_tokens: TokenBucket::new(limits.opens_per_s, now),
            limits,
            by_id: HashMap::new(),
            by_customer: HashMap::new(),
            by_server: BTreeMap::new(),
            pending_upgrades: 0,
            unavailable: BTreeSet::new(),
            alarms: BTreeSet::new(),
            draining: VecDeque::new(),
            last_drain_at: 0,
            stopped: false,
            next_id: 0,
        }
    }

    /// Returns the number of sockets, including pending upgrades.
    pub fn count(&self) -> usize {
        self.by_id.len()
    }

    /// Records that a server has answered an upgrade with status 101.
    ///
    /// The returned commands must be executed immediately. They close the socket if its server has started to drain in
    /// the meantime, if the node stops, or if the server's limit is exceeded.
    pub fn on_opened(&mut self, now: Micros, id: SocketId, server: ServerId) -> Vec<Command> {
        let Some(socket) = self.by_id.get_mut(&id) else {
            return vec![Command::Cut(id)];
        };
        if socket.server.is_some() {
            return Vec::new();
        }
        socket.server = Some(server);
        socket.opened_at = now;
        socket.last_received_at = [now; 2];
        socket.last_data_at = now;
        let at_server = self.by_server.entry(server).or_default();
        at_server.insert(id);
        let too_many = at_server.len() > self.limits.per_server;
        self.set_alarm(id);
        let unavailable = self.unavailable.contains(&server);
        self.end_pending_upgrade();
        if unavailable || self.stopped {
            return vec![self.drain_at_once(now, id)];
        }
        if too_many {
            return vec![self.close(now, id, TRY_AGAIN_LATER)];
        }
        Vec::new()
    }

    /// Records that bytes were received from a side. `data` indicates whether they included parts of data frames.
    pub fn on_received(&mut self, now: Micros, id: SocketId, side: Side, data: bool) {
        if let Some(socket) = self.by_id.get_mut(&id) {
            socket.last_received_at[side as usize] = now;
            socket.ping_sent[side as usize] = false;
            if data {
                socket.last_data_at = now;
            }
        }
    }

    /// Records that either side has started the closing handshake. The socket is cut if the handshake takes too long.
    pub fn on_close_started(&mut self, now: Micros, id: SocketId) {
        let socket = self.by_id.get(&id);
        if socket.is_some_and(|socket| socket.cut_at.is_none()) {
            self.cut_by(id, now.saturating_add(self.limits.close_within));
        }
    }

    /// Removes a socket whose connections are closed, or an upgrade that has failed.
    pub fn on_ended(&mut self, id: SocketId) {
        let Some(socket) = self.by_id.remove(&id) else {
            return;
        };
        self.alarms.remove(&(socket.alarm_at, id));
        if let Some(count) = self.by_customer.get_mut(&socket.customer) {
            *count -= 1;
            if *count == 0 {
                self.by_customer.remove(&socket.customer);
            }
        }
        let Some(server) = socket.server else {
            return self.end_pending_upgrade();
        };
        if let Some(at_server) = self.by_server.get_mut(&server) {
            at_server.remove(&id);
            if at_server.is_empty() {
                self.by_server.remove(&server);
            }
        }
    }

    /// Counts down the pending upgrades. When none is left, sockets can no longer open at an unavailable server, so
    /// the set of these is cleared.
    fn end_pending_upgrade(&mut self) {
        self.pending_upgrades -= 1;
        if self.pending_upgrades == 0 {
            self.unavailable.clear();
        }
    }

    /// Starts the closing handshake of a socket, with the usual time limit.
    fn close(&mut self, now: Micros, id: SocketId, code: u16) -> Command {
        self.cut_by(id, now.saturating_add(self.limits.close_within));
        Command::Close(id, code, self.retry_after(0))
    }

    /// Sets the time at which a closing socket is cut.
    fn cut_by(&mut self, id: SocketId, at: Micros) {
        if let Some(socket) = self.by_id.get_mut(&id) {
            socket.cut_at = Some(at);
        }
        self.set_alarm(id);
    }
}
