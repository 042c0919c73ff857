//! How the sockets of a server that drains, or of a node that stops, close.
//!
//! Thousands of sockets may close together. Told to close all at once, they would block the event loop, and their clients
//! would come back all at once. So they are told to close in batches, within a part of the drain's time, and each client
//! is told when to come back.

use super::{Command, SocketId, Sockets};
use saffronpaddle_policy::interface::{Micros, ServerId};

/// Between two batches, in microseconds.
pub(super) const BATCH_INTERVAL: Micros = 2_000;
/// The fewest closes in a batch, if so many are left.
const MIN_BATCH: usize = 32;
/// The part of a drain's time in which all sockets are told to close; the rest is for closing handshakes.
const NOTIFY_FRACTION: f64 = 0.5;
/// When the first client may come back, in seconds.
const FIRST_RETRY_S: f64 = 0.1;
/// The least rate at which clients come back, per second.
const MIN_RETURN_RATE_PER_S: f64 = 0.001;

/// Close code "going away" (RFC 6455, section 7.4.1).
pub(super) const GOING_AWAY: u16 = 1001;
/// Close code "service restart" (RFC 6455's registry).
const SERVICE_RESTART: u16 = 1012;

/// A socket that has to be told to close.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingDrain {
    id: SocketId,
    /// When the socket is cut.
    cut_at: Micros,
    /// The place of its client among those that come back.
    place: usize,
}

impl Sockets {
    /// The list of servers says that a server is ready, or that it is not: it drains, is removed, or has another address.
    /// In the latter case its sockets close, the first at once and all within the time of a drain.
    pub fn on_server_status(&mut self, now: Micros, server: ServerId, ready: bool) -> Vec<Command> {
        if ready {
            self.unavailable.remove(&server);
            return Vec::new();
        }
        if self.pending_upgrades > 0 {
            self.unavailable.insert(server);
        }
        let at_server = self.by_server.get(&server);
        let ids: Vec<SocketId> = at_server.into_iter().flatten().copied().collect();
        self.drain(now, ids);
        self.tick(now)
    }

    /// The node stops: all sockets close, and no upgrade is admitted.
    pub fn stop(&mut self, now: Micros) -> Vec<Command> {
        self.stopped = true;
        let open = self.by_id.iter();
        let open = open.filter(|(_, socket)| socket.server.is_some());
        let mut ids: Vec<SocketId> = open.map(|(id, _)| *id).collect();
        ids.sort();
        self.drain(now, ids);
        self.tick(now)
    }

    fn drain(&mut self, now: Micros, ids: Vec<SocketId>) {
        let drained_by = now.saturating_add(self.limits.drain_within);
        for (place, id) in ids.into_iter().enumerate() {
            let Some(socket) = self.by_id.get(&id) else {
                continue;
            };
            if let Some(cut_at) = socket.cut_at {
                // It closes already, and is cut no later than the others.
                self.cut_by(id, cut_at.min(drained_by));
                continue;
            }
            self.cut_by(id, drained_by);
            self.draining.push_back(PendingDrain {
                id,
                cut_at: drained_by,
                place,
            });
        }
    }

    /// Closes a socket that has opened to a server that drains.
    pub(super) fn drain_at_once(&mut self, now: Micros, id: SocketId) -> Command {
        let cut_at = now.saturating_add(self.limits.drain_within);
        self.cut_by(id, cut_at);
        self.drain_command(PendingDrain {
            id,
            cut_at,
            place: 0,
        })
    }

    /// When the next batch is due, if sockets have to be told to close.
    pub(super) fn next_batch_at(&self) -> Option<Micros> {
        if self.draining.is_empty() {
            return None;
        }
        Some(self.last_drain_at.saturating_add(BATCH_INTERVAL))
    }

    /// Tells a batch of sockets to close: as many as it takes to tell all of them in time.
    pub(super) fn drain_batch(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.last_drain_at = now;
        let handshake_time = (self.limits.drain_within as f64 * (1.0 - NOTIFY_FRACTION)) as Micros;
        let told_by = self
            .draining
            .back()
            .map_or(now, |last| last.cut_at.saturating_sub(handshake_time));
        let batches_left = (told_by.saturating_sub(now) / BATCH_INTERVAL).max(1) as usize;
        let waiting = self.draining.len();
        let batch = waiting.div_ceil(batches_left).max(MIN_BATCH).min(waiting);
        let due: Vec<PendingDrain> = self.draining.drain(..batch).collect();
        for pending in due {
            if self.by_id.contains_key(&pending.id) {
                commands.push(self.drain_command(pending));
            }
        }
    }

    fn drain_command(&self, pending: PendingDrain) -> Command {
        let code = if self.limits.restart {
            SERVICE_RESTART
        } else {
            GOING_AWAY
        };
        let reason = self.retry_after(pending.place);
        Command::Drain(pending.id, code, reason, pending.cut_at)
    }

    /// The reason of a close frame: when the client at this place of those that come back may do so.
    pub(super) fn retry_after(&self, place: usize) -> String {
        let rate_per_s = self.limits.back_per_s.max(MIN_RETURN_RATE_PER_S);
        let seconds = FIRST_RETRY_S + place as f64 / rate_per_s;
        format!("retry-after={seconds:.3}")
    }
}
