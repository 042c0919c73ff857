//! Timers of the sockets: pings, timeouts and cuts.

use super::drain::GOING_AWAY;
use super::{Command, Limits, Socket, SocketId, Sockets};
use crate::frames::Side;
use saffronpaddle_policy::interface::Micros;

/// Maximum number of cuts per tick. Each cut closes two file descriptors; more of them at once would delay requests.
const MAX_CUTS_PER_TICK: usize = 128;

impl Sockets {
    /// Returns the time at which [`Sockets::tick`] is due; `None` if nothing is scheduled.
    pub fn next_alarm(&self) -> Option<Micros> {
        let alarm = self.alarms.first().map(|(at, _)| *at);
        alarm.into_iter().chain(self.next_batch_at()).min()
    }

    /// Handles all due alarms and the due batch of a drain. Returns the resulting commands.
    pub fn tick(&mut self, now: Micros) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.next_batch_at().is_some_and(|at| now >= at) {
            self.drain_batch(now, &mut commands);
        }
        let mut cuts = 0;
        while let Some((at, id)) = self.alarms.first().copied() {
            if at > now || cuts == MAX_CUTS_PER_TICK {
                break;
            }
            let socket = self.by_id.get(&id);
            cuts += usize::from(socket.is_some_and(|socket| socket.cut_at.is_some()));
            self.on_alarm(now, id, &mut commands);
        }
        commands
    }

    /// Handles a socket's due alarm. Bytes received since the alarm was set may have made it obsolete.
    fn on_alarm(&mut self, now: Micros, id: SocketId, commands: &mut Vec<Command>) {
        let Some(socket) = self.by_id.get_mut(&id) else {
            return;
        };
        if let Some(cut_at) = socket.cut_at {
            if now >= cut_at {
                // The command must be issued only once.
                socket.cut_at = Some(Micros::MAX);
                commands.push(Command::Cut(id));
            }
            return self.set_alarm(id);
        }
        if socket.has_timed_out(now, &self.limits) {
            return commands.push(self.close(now, id, GOING_AWAY));
        }
        for side in [Side::Client, Side::Server] {
            if socket.needs_ping(now, side, &self.limits) {
                socket.ping_sent[side as usize] = true;
                commands.push(Command::Ping(id, side));
            }
        }
        self.set_alarm(id);
    }

    /// Sets a socket's alarm to the next time at which something is due.
    pub(super) fn set_alarm(&mut self, id: SocketId) {
        let Some(socket) = self.by_id.get_mut(&id) else {
            return;
        };
        let at = socket.next_alarm(&self.limits);
        self.alarms.remove(&(socket.alarm_at, id));
        socket.alarm_at = at;
        if at < Micros::MAX {
            self.alarms.insert((at, id));
        }
    }
}

impl Socket {
    /// Whether a side has been silent for too long, or the socket has been idle or open for too long.
    fn has_timed_out(&self, now: Micros, limits: &Limits) -> bool {
        let silent = self
            .last_received_at
            .iter()
            .any(|at| now >= at.saturating_add(limits.silent_after));
        let idle =
            limits.idle_timeout > 0 && now >= self.last_data_at.saturating_add(limits.idle_timeout);
        let old = limits.max_age > 0 && now >= self.opened_at.saturating_add(limits.max_age);
        silent || idle || old
    }

    fn needs_ping(&self, now: Micros, side: Side, limits: &Limits) -> bool {
        let last_received_at = self.last_received_at[side as usize];
        let silent = now >= last_received_at.saturating_add(limits.ping_after);
        silent && !self.ping_sent[side as usize]
    }

    fn next_alarm(&self, limits: &Limits) -> Micros {
        if let Some(cut_at) = self.cut_at {
            return cut_at;
        }
        if self.server.is_none() {
            return Micros::MAX;
        }
        let after = |since: Micros, span: Micros| match span {
            0 => Micros::MAX,
            span => since + span,
        };
        let silence = |side: Side| {
            let timeout = if self.ping_sent[side as usize] {
                limits.silent_after
            } else {
                limits.ping_after
            };
            self.last_received_at[side as usize] + timeout
        };
        silence(Side::Client)
            .min(silence(Side::Server))
            .min(after(self.last_data_at, limits.idle_timeout))
            .min(after(self.opened_at, limits.max_age))
    }
}
