//! Servers that warm up: how much of what waits may go to them, and what is refused meanwhile.
//!
//! While warm servers tell what one can do, or have told it before all of them were replaced, each gateway earns sends by
//! that (`credit`). Where it has seen hardly any warm one, as when a whole fleet starts, it does not know: then it goes by
//! `saffronpaddle_slow_start`.

use crate::control::{ADVICE, TICK};
use crate::counts::Counter;
use crate::interface::{
    Action, Micros, NodeId, Outcome, RequestId, ServerId, Settings, SlowStartRules,
};
use crate::message::{self, Message};
use crate::state::{Attempt, Out, PolicyEngine, Server};
use saffronpaddle_slow_start::{
    AttemptResult, SlowStartLimits as Warming, TransferredPermit, IDLE_BEFORE_TRANSFER,
};
use saffronpaddle_subsetting::SlowStartGroup;

const COLD_BLIND: f64 = 1.5; // sends a second of all gateways to a cold server while no warm one tells more
const COLD_SAVED: f64 = 1.5; // sends to it that one gateway saves up, and for how many that is safe
const COLD_KEEPERS: f64 = 6.0;
const COLD_KEPT: f64 = 0.5; // share of what is saved that is kept for another tick by more: few requests come by
const COLD_SAFE: f64 = 0.4; // part of the fall multiple that is used, of what warm servers are seen to do
/// Share of the ready servers that must be warm, or what they do tells too little of the others: all answers are set beside
/// the warm ones alone, so that twice what one does is the most that is believed of it.
const WARM_FEW: f64 = 0.5;
/// Where fewer are warm in a fleet that has seen them, the most that one of these is believed to do, in times of what it did.
const PACE_MOST: f64 = 2.5;
/// Times that it takes to warm up, since a server's start, for which it is sent only what rights allow where requests
/// wait without end.
const PRESSED_FOR: u64 = 4;
/// s for which what cold servers take is worth waiting: half of the time that clients have.
const WORTH_WAITING: f64 = 1.5;
/// Requests that may wait in any case.
const MAY_WAIT: f64 = 2.0;
/// Longest that a refused client is told to wait while servers are cold, µs.
const ADVICE_MOST: f64 = 2e6;
/// Weight of a tick in the sends a second to cold servers.
const RATE_WEIGHT: f64 = 0.5;
/// Between two rights that are given away, µs: each is a word, and peers take in only so many.
const GIFTS_EVERY: Micros = 100_000;

/// What binds the fleet at a cold server: turns are those of the gateways that surely send to it, of whom this is one if its place
/// is below their count. Danger: turns of gateways that never send to a server of a long list, so that it is sent nothing.
fn rules(settings: &Settings, up_since: Micros, group: SlowStartGroup) -> Warming {
    let SlowStartRules {
        overload_multiple: fall_multiple,
        overload_window: fall_window,
        ..
    } = settings.slow_start;
    Warming {
        node_count: group.size,
        node: group.rank,
        up_since,
        overload_multiple: fall_multiple,
        overload_window: fall_window,
    }
}

impl Server {
    /// An attempt goes to it while it is cold.
    pub(crate) fn warm_up(&mut self, rules: &Warming, blind: bool, now: Micros) {
        let number = self.entry.server.0;
        if !blind || !self.budget().consume(now, number, rules) {
            self.cold_credit -= 1.0;
        }
    }
}

impl PolicyEngine {
    /// What binds the fleet at a cold server.
    pub(crate) fn warming(&self, server: ServerId) -> Warming {
        rules(&self.settings, self.born, self.servers.carers(server))
    }

    /// For how long after its start a server may be sent only what is known to be safe, µs.
    pub(crate) fn young_for(&self) -> Micros {
        self.settings
            .slow_start
            .warm_up_period
            .max(1)
            .saturating_mul(PRESSED_FOR)
    }

    /// Whether a server is sent only what is known to be safe: it is cold, or warm but not yet seen to serve all that waits.
    /// Danger: a fleet whose servers become warm at one stroke, and that sends all that has waited at that moment.
    pub(crate) fn is_warming(&self, server: &Server, now: Micros) -> bool {
        let lately =
            |started: Micros| now < started + PRESSED_FOR * self.settings.slow_start.warm_up_period;
        server.warmth(&self.settings.slow_start, now) < 1.0
            || self.blind && server.entry.started_at.is_some_and(lately)
    }

    /// Whether a cold server may be sent one more from here.
    pub(crate) fn may_warm(&self, server: &Server, now: Micros) -> bool {
        if self.blind {
            let (number, rules) = (server.entry.server, self.warming(server.entry.server));
            match &server.budget {
                Some(budget) => budget.permits(now, number.0, &rules),
                None => server.rights().permits(now, number.0, &rules),
            }
        } else {
            server.cold_credit >= 1.0
        }
    }

    /// Ready servers that started not long ago, of those sent to from here.
    pub(crate) fn fresh(&self) -> impl Iterator<Item = &Server> {
        self.servers.young().filter(|server| server.ready())
    }

    /// How many ready servers are warm, of those sent to from here.
    fn warm(&self, now: Micros) -> f64 {
        let cold = self
            .fresh()
            .filter(|server| server.warmth(&self.settings.slow_start, now) < 1.0);
        self.servers.ready().1 - cold.count() as f64
    }

    /// What one warm server does a second for this gateway, where so many are warm now. Danger: answers of the last seconds set
    /// beside the few that are left of those that gave them: cold servers pushed over by as many times what one can do.
    fn does(&self, warm: f64) -> f64 {
        self.served.now() / self.warmed.now().max(warm)
    }

    /// Takes in a tick: how many warm servers gave the answers that were counted in it.
    pub(crate) fn count_warm(&mut self, now: Micros, weight: f64) {
        let warm = self.warm(now);
        self.warmed.add(warm, weight);
    }

    /// Notes whether warm servers tell enough.
    pub(crate) fn look_for_warm(&mut self, now: Micros) {
        let warm = self.warm(now);
        let lately = self.fresh().any(|server| self.is_warming(server, now));
        let ready = self.servers.ready().1;
        let few = ready > 0.0 && warm < WARM_FEW * ready;
        self.pace = if few || ready == 0.0 {
            self.pace
        } else {
            self.does(warm)
        };
        // Danger: a fleet in service, all of whose servers are replaced, that forgets what such servers can do.
        let told = self.pace > COLD_BLIND / self.servers.cover();
        // Once they are warm, it ends with the first look at which nothing waits.
        self.blind = few && !told || self.blind && lately && !self.waiting.is_empty();
    }

    /// What the end of an attempt tells of a cold server.
    pub(crate) fn earn(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome) {
        if !self.blind {
            return;
        }
        let rules = self.warming(attempt.server);
        let Some(mut server) = self.servers.edit(attempt.server) else {
            return;
        };
        let warmth = server.warmth(&self.settings.slow_start, attempt.sent);
        // What was sent to an earlier life proves nothing of this one.
        if server
            .entry
            .started_at
            .is_none_or(|started| attempt.sent < started)
        {
            return;
        }
        let answer = AttemptResult {
            served: outcome == Outcome::Ok,
            latency: now.saturating_sub(attempt.sent),
            latency_objective: self.settings.classes[attempt.class.0].latency_objective,
            capacity_fraction: warmth,
            random_fraction: self.random.f64(),
        };
        server
            .budget()
            .record_result(now, attempt.class.0, answer, &mut self.natural, &rules);
        self.spare_at = self.spare_at.min(now.saturating_add(IDLE_BEFORE_TRANSFER));
    }

    /// A right that another gateway could not use.
    pub(crate) fn given(
        &mut self,
        now: Micros,
        from: NodeId,
        server: u16,
        gift: TransferredPermit,
    ) {
        let Some(id) = self.servers.named(server) else {
            return;
        };
        let rules = self.warming(id);
        if self
            .servers
            .edit(id)
            .is_some_and(|mut server| server.budget().receive(now, from.0, gift, &rules))
        {
            self.counts.add(Counter::PermitsReceived);
            self.spare_at = self.spare_at.min(now.saturating_add(IDLE_BEFORE_TRANSFER));
        }
    }

    /// Refuses what can't be sent in time, the least worth first, and gives away rights that nobody here can use.
    pub(crate) fn while_cold(&mut self, now: Micros, out: &mut Out) {
        self.spare_at = Micros::MAX;
        if !self.blind {
            return;
        }
        let most = (MAY_WAIT + self.cold_rate * WORTH_WAITING) as usize;
        // Danger: a line of requests that all fail at the end of their time, where refusing most at once serves the rest.
        if self.waiting.len() > most {
            let value = |id: &RequestId| {
                self.requests
                    .get(id)
                    .map_or(0.0, |request| self.value(request, now))
            };
            let mut waiting: Vec<(f64, RequestId)> = self
                .waiting
                .iter()
                .map(|id| (value(id), id.clone()))
                .collect();
            waiting.sort_by(|a, b| b.0.total_cmp(&a.0));
            let excess: Vec<_> = waiting.into_iter().skip(most).collect();
            for (_, id) in excess {
                self.finish(now, &id, Counter::RejectedBySlowStart, out);
            }
        }
        if !self.waiting.is_empty()
            || !self.settings.permissions.peer_messages
            || self.settings.node_count < 2
        {
            return;
        }
        let (settings, up_since, due) = (&self.settings, self.born, now >= self.next_gift);
        let (mut gift, mut held) = (None, false);
        self.servers.each_with_rights(|set, server| {
            let id = server.entry.server;
            if gift.is_none() && due {
                let spare = server.budget().transfer_unused(
                    now,
                    id.0,
                    &rules(settings, up_since, set.slow_start_group(id.0)),
                );
                gift = spare.map(|gift| (id, gift));
            }
            held |= server.budget().earned_permits(now) > 0;
        });
        if held {
            self.spare_at = now.saturating_add(IDLE_BEFORE_TRANSFER);
        }
        if let Some((server, gift)) = gift {
            self.next_gift = now.saturating_add(GIFTS_EVERY);
            let group = self.servers.carers(server);
            let to = self.servers.carer(
                server,
                group.rank % group.size + self.random.u32(1..group.size),
            );
            self.counts.add(Counter::PermitsTransferred);
            let gift = Message::Gift(message::short(server), gift);
            out.push(Action::SendToPeer {
                to,
                bytes: message::write(&gift),
            });
        }
    }

    /// When a refused client may come back while servers are cold: once what waits here will have gone.
    pub(crate) fn cold_advice(&self) -> Option<Micros> {
        let after = (self.waiting.len() as f64 + 1.0) / self.cold_rate.max(1e-3) * 1e6;
        self.blind
            .then_some(after.clamp(ADVICE.1 as f64, ADVICE_MOST) as Micros)
    }

    /// Danger: a cold server pushed over. Gateways earn sends to it, a share of what warm ones do; what falls
    /// below one a tick is a chance, and many gateways save nothing up.
    pub(crate) fn credit(&mut self, now: Micros) {
        let span = TICK as f64 / 1e6;
        self.cold_rate += (self.cold_sent / span - self.cold_rate) * RATE_WEIGHT;
        self.cold_sent = 0.0;
        let rules = self.settings.slow_start;
        let warm = self.warm(now);
        let gateways = self.servers.cover();
        // What one warm server does for this gateway; where none is, what one did. Danger: a few that have just become warm
        // taken for the ones that do what all do together.
        let does = if warm > 0.0 {
            self.does(warm)
        } else {
            self.pace
        };
        let known = does.min(self.pace * PACE_MOST) * COLD_SAFE * rules.overload_multiple;
        let rate = known.max(COLD_BLIND / gateways) * span;
        let kept = (COLD_KEEPERS / gateways).clamp(COLD_KEPT, 1.0);
        let random = &mut self.random;
        self.servers.each_young(|server| {
            if server.warmth(&rules, now) >= 1.0 {
                return;
            }
            let earned = rate * server.warmth(&rules, now) + random.f64();
            let (gained, saved) = (earned.floor(), server.cold_credit.max(0.0) * kept);
            // Few gateways keep all that they have saved, and parts of a send too.
            let credit = if kept < 1.0 {
                (earned + saved).floor()
            } else {
                gained + saved
            };
            server.cold_credit = credit.min(gained.max(COLD_SAVED));
        });
    }
}
