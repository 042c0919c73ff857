//! Closes the sockets of a draining server or of a node that stops.
//!
//! Thousands of sockets may have to close. Closing all of them at once would block the event loop, and all their
//! clients would reconnect at the same time. So the close frames are sent in batches within a part of the drain's time
//! limit, and each one informs its client when to reconnect.

use super::{Command, SocketId, Sockets};
use saffronpaddle_policy::interface::{Micros, ServerId};

/// Time between two batches, in microseconds.
pub(super) const BATCH_INTERVAL: Micros = 2_000;
/// Minimum number of sockets in a batch, if that many are left.
const MIN_BATCH: usize = 32;
/// Fraction of a drain's time limit in which the close frames are sent; the rest is left for the closing handshakes.
const NOTIFY_FRACTION: f64 = 0.5;
/// Delay after which the first client may reconnect, in seconds.
const FIRST_RETRY_S: f64 = 0.1;
/// Minimum rate at which clients are asked to reconnect, per second.
const MIN_RECONNECT_RATE_PER_S: f64 = 0.001;

/// Close code "going away" (RFC 6455, section 7.4.1).
pub(super) const GOING_AWAY: u16 = 1001;
/// Close code "service restart" (RFC 6455's registry).
const SERVICE_RESTART: u16 = 1012;

/// A socket for which [`Command::Drain`] has not been issued yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingDrain {
    id: SocketId,
    /// When the socket is cut.
    cut_at: Micros,
    /// The position of its client in the order in which clients reconnect, from 0.
    position: usize,
}

impl Sockets {
    /// Applies a change of the endpoint list: a server is ready, or it is not because it drains, was removed or has
    /// another address. The sockets of a server that is not ready close, the first of them immediately and all within
    /// the time limit of a drain.
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

    /// Closes all sockets and rejects further upgrades, because the node stops.
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
        for (position, id) in ids.into_iter().enumerate() {
            let Some(socket) = self.by_id.get(&id) else {
                continue;
            };
            if let Some(cut_at) = socket.cut_at {
                // The socket is already closing; it is cut no later than the others.
                self.cut_by(id, cut_at.min(drained_by));
                continue;
            }
            self.cut_by(id, drained_by);
            self.draining.push_back(PendingDrain {
                id,
                cut_at: drained_by,
                position,
            });
        }
    }

    /// Closes a socket that has just opened at a draining server.
    pub(super) fn drain_at_once(&mut self, now: Micros, id: SocketId) -> Command {
        let cut_at = now.saturating_add(self.limits.drain_within);
        self.cut_by(id, cut_at);
        self.drain_command(PendingDrain {
            id,
            cut_at,
            position: 0,
        })
    }

    /// Returns the time at which the next batch is due; `None` if no socket waits to be drained.
    pub(super) fn next_batch_at(&self) -> Option<Micros> {
        if self.draining.is_empty() {
            return None;
        }
        Some(self.last_drain_at.saturating_add(BATCH_INTERVAL))
    }

    /// Issues the drain commands of one batch. The batch is large enough for all close frames to be sent in time.
    pub(super) fn drain_batch(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.last_drain_at = now;
        let handshake_time = (self.limits.drain_within as f64 * (1.0 - NOTIFY_FRACTION)) as Micros;
        let notified_by = self
            .draining
            .back()
            .map_or(now, |last| last.cut_at.saturating_sub(handshake_time));
        let batches_left = (notified_by.saturating_sub(now) / BATCH_INTERVAL).max(1) as usize;
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
        let reason = self.retry_after(pending.position);
        Command::Drain(pending.id, code, reason, pending.cut_at)
    }

    /// Returns the reason of a close frame: the delay after which the client at this position may reconnect.
    pub(super) fn retry_after(&self, position: usize) -> String {
        let rate_per_s = self.limits.reconnects_per_s.max(MIN_RECONNECT_RATE_PER_S);
        let seconds = FIRST_RETRY_S + position as f64 / rate_per_s;
        format!("retry-after={seconds:.3}")
    }
}
