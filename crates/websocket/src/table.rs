//! How many sockets there may be, how long each may stand and be silent, and how they go when a server drains or the node
//! leaves.
//!
//! An open socket counts for its customer at this node. The bound over all nodes together is split over the customer's
//! nodes, so no node has to know of another's sockets: a client that comes back through another node is not shut out by
//! its own ghost, and one that a killed node leaves behind counts nowhere at once.

use saffronpaddle_policy::interface::{CustomerId, Micros, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::frames::Side;

/// Closes are handed out this often while there are any, µs.
const PACE: Micros = 2_000;
/// Fewest closes that are handed out at once.
const PACE_LEAST: usize = 32;
/// Cuts that are handed out at once. Guards requests: each takes the loop two closes of descriptors.
const CUTS_AT_ONCE: usize = 128;
/// All closes of a drain are handed out within this share of its span; the rest is for closing handshakes.
const HANDED_OUT_WITHIN: f64 = 0.5;

/// A socket of this node. Numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// What bounds sockets. Spans are in µs.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Sockets of this node, upgrades that are out among them. Guards descriptors and memory that requests need.
    pub per_node: usize,
    /// Sockets of one customer, over all of its nodes together.
    pub per_customer: u32,
    /// Sockets of this node at one server.
    pub per_server: usize,
    /// Upgrades that are let in a second, and at once. Guards servers when all clients of another come back together.
    pub opens_per_s: f64,
    /// One side that has been silent for so long is sent a ping.
    pub ping_after: Micros,
    /// One that has been silent for so long is taken for gone. More than `ping_after`.
    pub silent_after: Micros,
    /// A socket without data, either way, for so long is closed; 0: never.
    pub idle_for: Micros,
    /// No socket stands longer; 0: for ever.
    pub life_for: Micros,
    /// From the word that a server drains to the last byte that may reach it.
    pub drain_within: Micros,
    /// How long a closing handshake may take otherwise.
    pub close_within: Micros,
    /// Sockets that are told to come back in a second: the later ones are told to wait longer.
    pub back_per_s: f64,
    /// Whether a drain is told as 1012 (service restart) in place of 1001 (going away).
    pub restart: bool,
}

/// Why an upgrade is not let in, and when it may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shut {
    /// In words.
    pub why: &'static str,
    /// µs.
    pub retry_in: Micros,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Close a socket on both sides with this code and reason, at frame boundaries. Nothing of the client's goes on to the
    /// server from now on but the rest of a frame.
    Close(SocketId, u16, String),
    /// The same as a server drains or the node leaves: not a byte may be written to the server from this time on. Once both
    /// sides have been told, the rest waits for the cut: the loop has others to tell.
    Drain(SocketId, u16, String, Micros),
    /// Ask a side for a sign of life.
    Ping(SocketId, Side),
    /// Cut what is left of it. Not a byte may reach the server after that.
    Cut(SocketId),
}

#[derive(Clone, Debug)]
struct Row {
    customer: CustomerId,
    /// `None` while the upgrade is out.
    server: Option<ServerId>,
    opened: Micros,
    /// When each side was last heard.
    heard: [Micros; 2],
    pinged: [bool; 2],
    /// When data last went either way.
    data: Micros,
    /// When it is cut, once it closes.
    cut_at: Option<Micros>,
    due: Micros,
}

/// All sockets of a node.
#[derive(Clone, Debug)]
pub struct Sockets {
    limits: Limits,
    rows: HashMap<SocketId, Row>,
    by_customer: HashMap<CustomerId, u32>,
    by_server: BTreeMap<ServerId, BTreeSet<SocketId>>,
    /// Upgrades that are out.
    pending: usize,
    /// Servers that were told to drain or to be gone, for as long as upgrades that are out may have gone to them.
    away: BTreeSet<ServerId>,
    alarms: BTreeSet<(Micros, SocketId)>,
    /// Sockets whose close is still to be handed out: until when, and the place in the queue of those who come back.
    closing: VecDeque<(SocketId, Micros, usize)>,
    paced: Micros,
    tokens: f64,
    filled: Micros,
    stopped: bool,
    next: u64,
}

impl Sockets {
    /// None yet.
    pub fn new(limits: Limits, now: Micros) -> Sockets {
        Sockets {
            tokens: limits.opens_per_s,
            limits,
            rows: HashMap::new(),
            by_customer: HashMap::new(),
            by_server: BTreeMap::new(),
            pending: 0,
            away: BTreeSet::new(),
            alarms: BTreeSet::new(),
            closing: VecDeque::new(),
            paced: 0,
            filled: now,
            stopped: false,
            next: 0,
        }
    }

    /// How many there are, upgrades that are out among them.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Lets an upgrade in, which counts as a socket from now on; `spread` is the number of the customer's nodes.
    ///
    /// # Errors
    /// It is not let in.
    pub fn admit(
        &mut self,
        now: Micros,
        customer: CustomerId,
        spread: u32,
    ) -> Result<SocketId, Shut> {
        let shut = |why, retry_in| Err(Shut { why, retry_in });
        if self.stopped {
            return shut("the node leaves", 1_000_000);
        }
        if self.rows.len() >= self.limits.per_node {
            return shut("the node has all the sockets that it may have", 5_000_000);
        }
        // Guards the bound over all nodes: their shares together are no more, but where it is less than one each.
        let share = (self.limits.per_customer / spread.max(1)).max(1);
        let held = self.by_customer.get(&customer).copied().unwrap_or(0);
        if held >= share {
            return shut(
                "the customer has all the sockets that it may have",
                5_000_000,
            );
        }
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.tokens =
            (self.tokens + span * self.limits.opens_per_s).min(self.limits.opens_per_s.max(1.0));
        self.filled = now;
        if self.tokens < 1.0 {
            return shut(
                "too many at once",
                ((1.0 - self.tokens) / self.limits.opens_per_s * 1e6) as Micros,
            );
        }
        self.tokens -= 1.0;
        *self.by_customer.entry(customer).or_default() += 1;
        let id = SocketId(self.next);
        self.next += 1;
        let row = Row {
            customer,
            server: None,
            opened: now,
            heard: [now; 2],
            pinged: [false; 2],
            data: now,
            cut_at: None,
            due: Micros::MAX,
        };
        self.rows.insert(id, row);
        self.pending += 1;
        Ok(id)
    }

    /// An upgrade was answered with 101 by this server. What comes back is to be done at once: a socket to a server that
    /// has been told to drain meanwhile closes again, and so does one too many.
    pub fn opened(&mut self, now: Micros, id: SocketId, server: ServerId) -> Vec<Command> {
        let Some(row) = self.rows.get_mut(&id) else {
            return vec![Command::Cut(id)];
        };
        if row.server.is_some() {
            return Vec::new();
        }
        (row.server, row.opened, row.heard, row.data) = (Some(server), now, [now; 2], now);
        let there = self.by_server.entry(server).or_default();
        there.insert(id);
        let many = there.len() > self.limits.per_server;
        self.arm(id);
        let away = self.away.contains(&server);
        self.came_to_something();
        if away || self.stopped {
            let by = now.saturating_add(self.limits.drain_within);
            self.cut_by(id, by);
            return vec![self.drain(id, by, 0)];
        }
        if many {
            return vec![self.close(now, id, 1013)];
        }
        Vec::new()
    }

    /// A side said something; `data` if it was more than a control frame.
    pub fn heard(&mut self, now: Micros, id: SocketId, side: Side, data: bool) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.heard[side as usize] = now;
            row.pinged[side as usize] = false;
            if data {
                row.data = now;
            }
        }
    }

    /// A closing handshake has begun, whoever began it: it is cut if it takes too long.
    pub fn closes(&mut self, now: Micros, id: SocketId) {
        if self.rows.get(&id).is_some_and(|row| row.cut_at.is_none()) {
            self.cut_by(id, now.saturating_add(self.limits.close_within));
        }
    }

    /// A socket is over, or an upgrade came to nothing.
    pub fn ended(&mut self, id: SocketId) {
        let Some(row) = self.rows.remove(&id) else {
            return;
        };
        self.alarms.remove(&(row.due, id));
        if let Some(held) = self.by_customer.get_mut(&row.customer) {
            *held -= 1;
            if *held == 0 {
                self.by_customer.remove(&row.customer);
            }
        }
        let Some(server) = row.server else {
            return self.came_to_something();
        };
        if let Some(there) = self.by_server.get_mut(&server) {
            there.remove(&id);
            if there.is_empty() {
                self.by_server.remove(&server);
            }
        }
    }

    /// An upgrade is not out any more. Where none is, nobody is on the way to a server that is away.
    fn came_to_something(&mut self) {
        self.pending -= 1;
        if self.pending == 0 {
            self.away.clear();
        }
    }

    /// The list says that a server is ready where it was, or that it is not: it drains, is gone or has moved. Its sockets
    /// close, the first at once, all within the span of a drain.
    pub fn told(&mut self, now: Micros, server: ServerId, ready: bool) -> Vec<Command> {
        if ready {
            self.away.remove(&server);
            return Vec::new();
        }
        if self.pending > 0 {
            self.away.insert(server);
        }
        let there: Vec<SocketId> = self
            .by_server
            .get(&server)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        self.go(now, there);
        self.tick(now)
    }

    /// The node leaves: all of its sockets close, and none is let in.
    pub fn stop(&mut self, now: Micros) -> Vec<Command> {
        self.stopped = true;
        let mut all: Vec<SocketId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.server.is_some())
            .map(|(id, _)| *id)
            .collect();
        all.sort();
        self.go(now, all);
        self.tick(now)
    }

    fn gone_code(&self) -> u16 {
        if self.limits.restart {
            1012
        } else {
            1001
        }
    }

    fn go(&mut self, now: Micros, those: Vec<SocketId>) {
        let by = now.saturating_add(self.limits.drain_within);
        for (place, id) in those.into_iter().enumerate() {
            let Some(row) = self.rows.get(&id) else {
                continue;
            };
            // One that closes already is cut no later than this.
            let closes_already = row.cut_at;
            self.cut_by(id, closes_already.map_or(by, |at| at.min(by)));
            if closes_already.is_none() {
                self.closing.push_back((id, by, place));
            }
        }
    }

    /// A socket that closes is cut then.
    fn cut_by(&mut self, id: SocketId, at: Micros) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.cut_at = Some(at);
        }
        self.arm(id);
    }

    fn close(&mut self, now: Micros, id: SocketId, code: u16) -> Command {
        self.cut_by(id, now.saturating_add(self.limits.close_within));
        Command::Close(id, code, self.advice(0))
    }

    /// The close of one at this place of those that go.
    fn drain(&self, id: SocketId, by: Micros, place: usize) -> Command {
        Command::Drain(id, self.gone_code(), self.advice(place), by)
    }

    /// When the one at this place of those that go may come back.
    fn advice(&self, place: usize) -> String {
        format!(
            "retry-after={:.3}",
            0.1 + place as f64 / self.limits.back_per_s.max(0.001)
        )
    }

    /// When [`Sockets::tick`] is due next.
    pub fn next_alarm(&self) -> Option<Micros> {
        let first = self.alarms.first().map(|(at, _)| *at);
        let paced = (!self.closing.is_empty()).then(|| self.paced.saturating_add(PACE));
        first.into_iter().chain(paced).min()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) -> Vec<Command> {
        let mut commands = Vec::new();
        if !self.closing.is_empty() && now >= self.paced.saturating_add(PACE) {
            self.paced = now;
            self.hand_out(now, &mut commands);
        }
        let mut cuts = 0;
        while let Some((at, id)) = self.alarms.first().copied() {
            if at > now || cuts == CUTS_AT_ONCE {
                break;
            }
            cuts += usize::from(self.rows.get(&id).is_some_and(|row| row.cut_at.is_some()));
            self.look(now, id, &mut commands);
        }
        commands
    }

    /// As many closes as it takes to have handed out all of them in time.
    fn hand_out(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let span = (self.limits.drain_within as f64 * (1.0 - HANDED_OUT_WITHIN)) as Micros;
        let last = self
            .closing
            .back()
            .map_or(now, |(_, by, _)| by.saturating_sub(span));
        let rounds = (last.saturating_sub(now) / PACE).max(1) as usize;
        let most = self
            .closing
            .len()
            .div_ceil(rounds)
            .max(PACE_LEAST)
            .min(self.closing.len());
        let now_due: Vec<_> = self
            .closing
            .drain(..most)
            .filter(|(id, ..)| self.rows.contains_key(id))
            .collect();
        commands.extend(
            now_due
                .into_iter()
                .map(|(id, by, place)| self.drain(id, by, place)),
        );
    }

    /// One socket's alarm: what was heard since it was set may have made it needless.
    fn look(&mut self, now: Micros, id: SocketId, commands: &mut Vec<Command>) {
        let limits = &self.limits;
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if let Some(at) = row.cut_at {
            if now >= at {
                // It is told once; what is left of it ends by that.
                row.cut_at = Some(Micros::MAX);
                commands.push(Command::Cut(id));
            }
            return self.arm(id);
        }
        let silent = row
            .heard
            .iter()
            .any(|at| now >= at.saturating_add(limits.silent_after));
        let idle = limits.idle_for > 0 && now >= row.data.saturating_add(limits.idle_for);
        let old = limits.life_for > 0 && now >= row.opened.saturating_add(limits.life_for);
        if silent || idle || old {
            return commands.push(self.close(now, id, 1001));
        }
        for side in [Side::Client, Side::Server] {
            let at = side as usize;
            if now >= row.heard[at].saturating_add(limits.ping_after)
                && !std::mem::replace(&mut row.pinged[at], true)
            {
                commands.push(Command::Ping(id, side));
            }
        }
        self.arm(id);
    }

    fn arm(&mut self, id: SocketId) {
        let limits = &self.limits;
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        let due = match row.cut_at {
            Some(at) => at,
            None if row.server.is_none() => Micros::MAX,
            None => {
                let silence = |at: usize| {
                    row.heard[at]
                        + if row.pinged[at] {
                            limits.silent_after
                        } else {
                            limits.ping_after
                        }
                };
                let idle = if limits.idle_for > 0 {
                    row.data + limits.idle_for
                } else {
                    Micros::MAX
                };
                let old = if limits.life_for > 0 {
                    row.opened + limits.life_for
                } else {
                    Micros::MAX
                };
                silence(0).min(silence(1)).min(idle).min(old)
            }
        };
        self.alarms.remove(&(row.due, id));
        row.due = due;
        if due < Micros::MAX {
            self.alarms.insert((due, id));
        }
    }
}

#[cfg(test)]
mod tests;
