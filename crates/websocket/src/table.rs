//! How many sockets there may be, how long each may be open and silent, and how sockets close when a server drains or the
//! node stops.
//!
//! An open socket counts for its customer at this node only: the limit over all nodes is divided by the number of the
//! customer's nodes, so that no node has to know the sockets of another. A client that comes back through another node is
//! not rejected because of its own lost connection, and sockets of a node that was killed count nowhere.

mod admission;
mod alarms;
mod drain;
mod limits;
#[cfg(test)]
mod tests;

pub use admission::Shut;
pub use limits::Limits;

use crate::frames::Side;
use admission::TokenBucket;
use drain::PendingDrain;
use saffronpaddle_policy::interface::{CustomerId, Micros, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Close code "try again later" (RFC 6455's registry).
const TRY_AGAIN_LATER: u16 = 1013;

/// Identifies a socket of this node. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// What the I/O layer has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Close a socket on both sides with this code and reason, at frame boundaries. From now on nothing of the client's is
    /// forwarded to the server but the rest of a frame.
    Close(SocketId, u16, String),
    /// The same because a server drains or the node stops: no byte may be written to the server after this time. Once both
    /// sides have their close frames, the rest waits for [`Command::Cut`], so that the event loop gets to other sockets.
    Drain(SocketId, u16, String, Micros),
    /// Send a ping to a side.
    Ping(SocketId, Side),
    /// Close the connections of a socket. No byte may reach the server after that.
    Cut(SocketId),
}

/// A socket, or an upgrade that has no response yet.
#[derive(Clone, Debug)]
struct Socket {
    customer: CustomerId,
    /// `None` while the upgrade is pending.
    server: Option<ServerId>,
    opened_at: Micros,
    /// When bytes were last received, by [`Side`].
    last_received_at: [Micros; 2],
    /// Whether a ping was sent since then, by [`Side`].
    ping_sent: [bool; 2],
    /// When data was last forwarded, either way.
    last_data_at: Micros,
    /// When its connections are closed, once the socket closes.
    cut_at: Option<Micros>,
    /// When its next alarm is due; [`Micros::MAX`] for none.
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
    /// Servers that drain or are gone, for as long as pending upgrades may be on their way to them.
    unavailable: BTreeSet<ServerId>,
    alarms: BTreeSet<(Micros, SocketId)>,
    /// Sockets that have to be told to close.
    draining: VecDeque<PendingDrain>,
    /// When sockets were last told to close.
    last_drain_at: Micros,
    upgrade_tokens: TokenBucket,
    stopped: bool,
    next_id: u64,
}

impl Sockets {
    /// No sockets yet.
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

    /// How many sockets there are, pending upgrades among them.
    pub fn count(&self) -> usize {
        self.by_id.len()
    }

    /// A server has answered an upgrade with status 101. The commands are to be carried out at once: a socket to a server
    /// that drains by now is closed again, and so is one too many.
    pub fn opened(&mut self, now: Micros, id: SocketId, server: ServerId) -> Vec<Command> {
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

    /// Bytes of a side were received; `data` if they were more than control frames.
    pub fn on_received(&mut self, now: Micros, id: SocketId, side: Side, data: bool) {
        if let Some(socket) = self.by_id.get_mut(&id) {
            socket.last_received_at[side as usize] = now;
            socket.ping_sent[side as usize] = false;
            if data {
                socket.last_data_at = now;
            }
        }
    }

    /// A closing handshake has started, on whichever side. The socket is cut if it takes too long.
    pub fn closes(&mut self, now: Micros, id: SocketId) {
        let socket = self.by_id.get(&id);
        if socket.is_some_and(|socket| socket.cut_at.is_none()) {
            self.cut_by(id, now.saturating_add(self.limits.close_within));
        }
    }

    /// A socket has ended, or an upgrade has failed.
    pub fn ended(&mut self, id: SocketId) {
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

    /// An upgrade is no longer pending. If none is, no socket can open to a server that is unavailable.
    fn end_pending_upgrade(&mut self) {
        self.pending_upgrades -= 1;
        if self.pending_upgrades == 0 {
            self.unavailable.clear();
        }
    }

    /// Closes a socket by a handshake that may take the usual time.
    fn close(&mut self, now: Micros, id: SocketId, code: u16) -> Command {
        self.cut_by(id, now.saturating_add(self.limits.close_within));
        Command::Close(id, code, self.retry_after(0))
    }

    /// Sets when a socket that closes is cut.
    fn cut_by(&mut self, id: SocketId, at: Micros) {
        if let Some(socket) = self.by_id.get_mut(&id) {
            socket.cut_at = Some(at);
        }
        self.set_alarm(id);
    }
}
