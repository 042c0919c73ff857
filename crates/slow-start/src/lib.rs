//! How much a whole fleet may send to a server that has just started, while nobody knows what it can do.
//!
//! Two sources of rights to send, neither of which needs a word between gateways, and a way to move them:
//!
//! - **Turns.** From the server's start on, time is cut into turns, and each turn belongs to one gateway, by its number.
//!   Who has the turn may send one request in it, if it has one. However many gateways come up alone, the sum is one
//!   request a turn.
//! - **Answers.** An answer in good time is proof of what the server can do: it brings its gateway up to
//!   [`SlowStartLimits::growth`] rights to send again, which lapse after [`SlowStartLimits::life`].
//!
//! - **Gifts.** A right that finds no use here within [`IDLE_BEFORE_TRANSFER`] goes to another gateway, drawn at random: while servers are
//!   cold nearly each has requests that wait. The giver's part ends before the word leaves, a gift that comes twice counts
//!   once and is not given on, and one that is lost is a right less.
//!
//! **The bound.** Let C be what the server can do a second, which does not fall while it lives. In any span W the fleet
//! sends at most what was earned in W and the life before it: growth x C x (W + life), and a turn's request for each turn
//! that W touches. A lost answer or a gateway that dies takes rights away; no word can double them. Growth and life are
//! chosen so that the first part is at most [`USED_SHARE`] of what makes the server fall (see `docs/design/cold-start.md`).
//!
//! No input or output, and time is an argument.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A time or a span, in microseconds.
pub type Micros = u64;

/// Share of what makes a server fall that answers may bring a fleet to send, in the worst case.
pub const USED_SHARE: f64 = 0.6;
/// Requests a second that all gateways together send in turns. Danger: a server of one core, which bears some seven requests
/// in its first second: turns must leave room for what answers bring (seen at 1.5: 1.09 of what makes one fall).
const TURNS_A_SECOND: f64 = 0.75;
/// Rights that an answer in good time brings until the first that was late, at the most, and after it.
const GROWTH: (f64, f64) = (1.35, 1.2);
/// Rights that an answer brings that took longer than it should, but came within the aim.
const SLOW: f64 = 0.75;
/// An answer is in good time within this share of the aim ...
const GOOD_SHARE: f64 = 0.5;
/// ... or this many times what a request takes on a server of that warmth that nobody waits for, up to this share of it.
const GOOD_TIMES: (f64, f64) = (1.6, 0.9);
/// Weights of a sample in what a request takes where nobody waits: of a quicker one, and of a slower one.
const LEARNS: (f64, f64) = (0.2, 0.02);
/// How long a right stays idle before it is given away, µs: a few ways to a waiting request's turn.
pub const IDLE_BEFORE_TRANSFER: Micros = 20_000;
/// A right is given while it has this much of its life left, µs: less would lapse on the way.
const WORTH_GIVING: Micros = 80_000;
/// Most rights that one gateway holds for one server. Guards memory.
const HELD_MOST: usize = 1000;

/// What binds a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimits {
    /// How many gateways there are, and which one this is.
    pub node_count: u32,
    /// See there.
    pub node: u32,
    /// Since when this gateway's process knows what it has sent: a turn that began before is not its own. Danger: a gateway
    /// that is killed in its turn, and is back in it.
    pub up_since: Micros,
    /// More than this multiple of what a server can do ...
    pub overload_multiple: f64,
    /// ... within this span pushes it over.
    pub overload_window: Micros,
}

impl SlowStartLimits {
    /// Rights that an answer brings at the most. Where little is needed to push a server over, the fleet only keeps up.
    pub fn growth(&self) -> f64 {
        (self.overload_multiple / 2.0).min(GROWTH.0).max(1.0)
    }

    /// How long a right may be used: growth x (window + life) is [`USED_SHARE`] of the multiple x window.
    pub fn permit_lifetime(&self) -> Micros {
        let spans = USED_SHARE * self.overload_multiple / self.growth() - 1.0;
        (spans.clamp(0.02, 1.0) * self.overload_window as f64) as Micros
    }

    /// How long a turn lasts. One that started again soon after its last start is given half as many: it has fallen.
    fn turn_length(fallen: bool) -> Micros {
        let a_second = if fallen {
            TURNS_A_SECOND / 2.0
        } else {
            TURNS_A_SECOND
        };
        (1e6 / a_second) as Micros
    }
}

/// A right on its way to another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferredPermit {
    /// Which life of the server it is for.
    pub server_started_at: Micros,
    /// Until when it may be used, by the clock that all machines read.
    pub expires_at: Micros,
    /// Its number at who gives it.
    pub sequence: u16,
}

/// An answer, or the end of an attempt without one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether the server did the work.
    pub served: bool,
    /// How long it took, and the aim of its class.
    pub latency: Micros,
    /// See there.
    pub latency_objective: Micros,
    /// Share of its capacity that the server has.
    pub capacity_fraction: f64,
    /// Anything from 0 to 1: parts of a right are a chance of a whole one.
    pub random_fraction: f64,
}

/// What a request of each class takes on a warm server that nobody waits for, as far as this gateway has seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BaselineLatency {
    least: Vec<f64>,
}

impl BaselineLatency {
    /// Takes in what one took; what it should take on a server of that warmth.
    fn learn(&mut self, class: usize, answer: &AttemptResult) -> f64 {
        if self.least.len() <= class {
            self.least.resize(class + 1, 0.0);
        }
        let sample = answer.latency as f64 * answer.capacity_fraction;
        let least = &mut self.least[class];
        let weight = if sample < *least { LEARNS.0 } else { LEARNS.1 };
        *least = if *least > 0.0 {
            *least + (sample - *least) * weight
        } else {
            sample
        };
        *least / answer.capacity_fraction.max(0.01)
    }
}

/// One gateway's rights to send to one server that warms up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct SlowStartBudget {
    /// When the server started: rights of another life are void.
    started: Micros,
    /// Whether it had started not long before.
    fallen: bool,
    /// Until when each right may be used, in order.
    rights: VecDeque<Micros>,
    /// The same of those that others gave. They are not given on: a fleet that has no use for them must not fill its own
    /// intake with words.
    gifted: VecDeque<Micros>,
    /// Since when there have been rights that nobody used.
    idle: Option<Micros>,
    /// The number of the last gift, and those that came lately: from whom, and until when they count.
    serial: u16,
    came: VecDeque<(u32, u16, Micros)>,
    /// The last turn that was used here, counted from 1.
    used_turn: u64,
    /// Whether an answer was late since its start: from then on the fleet grows slowly.
    late: bool,
}

impl SlowStartBudget {
    /// The server's start is known; `cold_for` is how long it takes to warm up. All that was held of an earlier life is
    /// void. Danger: a server that fell, pushed over again by rights that its last life earned.
    pub fn on_server_start(&mut self, started: Micros, cold_for: Micros) {
        if started != self.started {
            let fallen = self.started > 0 && started < self.started.saturating_add(2 * cold_for);
            *self = SlowStartBudget {
                started,
                fallen,
                ..SlowStartBudget::default()
            };
        }
    }

    fn turn(&self, now: Micros, server: u64, rules: &SlowStartLimits) -> Option<u64> {
        let length = SlowStartLimits::turn_length(self.fallen);
        let turn = now.checked_sub(self.started)? / length;
        if self.started.saturating_add(turn.saturating_mul(length)) <= rules.up_since {
            return None;
        }
        let whose = (server % u64::from(rules.node_count.max(1)) + turn)
            % u64::from(rules.node_count.max(1));
        (whose == u64::from(rules.node) && turn + 1 > self.used_turn).then_some(turn + 1)
    }

    /// Whether one more may be sent now. `server` is a number that all gateways have for it.
    pub fn permits(&self, now: Micros, server: u64, rules: &SlowStartLimits) -> bool {
        let lives = |rights: &VecDeque<Micros>| rights.back().is_some_and(|until| *until > now);
        lives(&self.gifted) || lives(&self.rights) || self.turn(now, server, rules).is_some()
    }

    /// One is sent: it takes the right that lapses first, or the turn. Whether there was one.
    pub fn consume(&mut self, now: Micros, server: u64, rules: &SlowStartLimits) -> bool {
        self.lapse(now);
        self.idle = None;
        if self
            .gifted
            .pop_front()
            .or_else(|| self.rights.pop_front())
            .is_some()
        {
            return true;
        }
        let turn = self.turn(now, server, rules);
        self.used_turn = turn.unwrap_or(self.used_turn);
        turn.is_some()
    }

    /// An attempt has ended. Danger: a gateway that stood still and reads all its answers at once, which prove nothing
    /// of now: they took longer than the aim, and bring nothing.
    pub fn record_result(
        &mut self,
        now: Micros,
        class: usize,
        answer: AttemptResult,
        natural: &mut BaselineLatency,
        rules: &SlowStartLimits,
    ) {
        let whole = if !answer.served || answer.latency > answer.latency_objective {
            self.late = true;
            0.0
        } else {
            let aim = answer.latency_objective as f64;
            let good = (natural.learn(class, &answer) * GOOD_TIMES.0).min(aim * GOOD_TIMES.1);
            if answer.latency as f64 > good.max(aim * GOOD_SHARE) {
                self.late = true;
                SLOW
            } else if self.late || self.fallen {
                GROWTH.1.min(rules.growth())
            } else {
                rules.growth()
            }
        };
        let rights = (whole + answer.random_fraction.clamp(0.0, 1.0)).floor() as usize;
        self.lapse(now);
        let until = now.saturating_add(rules.permit_lifetime());
        let room = HELD_MOST.saturating_sub(self.rights.len());
        self.rights
            .extend(std::iter::repeat_n(until, rights.min(room)));
    }

    /// A right that nobody here has used for a while, to be given away: it is gone from here. To be asked now and then,
    /// while no request waits.
    pub fn transfer_unused(
        &mut self,
        now: Micros,
        server: u64,
        rules: &SlowStartLimits,
    ) -> Option<TransferredPermit> {
        self.lapse(now);
        let turn = self.turn(now, server, rules);
        if self.rights.is_empty() && turn.is_none() {
            self.idle = None;
            return None;
        }
        if now
            < self
                .idle
                .get_or_insert(now)
                .saturating_add(IDLE_BEFORE_TRANSFER)
        {
            return None;
        }
        let until = match (self.rights.pop_front(), turn) {
            (Some(until), _) => until,
            (None, Some(turn)) => {
                self.used_turn = turn;
                // Its life is the turn's rest.
                self.started
                    .saturating_add(turn.saturating_mul(SlowStartLimits::turn_length(self.fallen)))
            }
            (None, None) => return None,
        };
        self.serial = self.serial.wrapping_add(1);
        let lives = until.saturating_sub(now) >= WORTH_GIVING && rules.node_count > 1;
        lives.then_some(TransferredPermit {
            server_started_at: self.started,
            expires_at: until,
            sequence: self.serial,
        })
    }

    /// Takes a gift. Danger: a word that is doubled, forged or of an earlier life, which would be a right that nobody gave.
    pub fn receive(
        &mut self,
        now: Micros,
        from: u32,
        gift: TransferredPermit,
        rules: &SlowStartLimits,
    ) -> bool {
        self.came.retain(|(_, _, until)| *until > now);
        // Danger: a gateway that was killed and forgot what it took, and is given the same again by a word that was doubled. No gift
        // lives longer than a turn.
        if now
            < rules
                .up_since
                .saturating_add(SlowStartLimits::turn_length(self.fallen))
        {
            return false;
        }
        let until = gift.expires_at.min(
            now.saturating_add(
                rules
                    .permit_lifetime()
                    .max(SlowStartLimits::turn_length(self.fallen)),
            ),
        );
        let known = self
            .came
            .iter()
            .any(|(whose, serial, _)| (*whose, *serial) == (from, gift.sequence));
        if known
            || gift.server_started_at != self.started
            || until <= now
            || self.came.len() >= HELD_MOST
        {
            return false;
        }
        self.came.push_back((from, gift.sequence, until));
        let place = self.gifted.partition_point(|other| *other <= until);
        self.gifted.insert(place, until);
        true
    }

    /// Rights that were earned here and are held now, turns left out.
    pub fn earned_permits(&self, now: Micros) -> usize {
        self.rights.iter().filter(|until| **until > now).count()
    }

    fn lapse(&mut self, now: Micros) {
        for rights in [&mut self.rights, &mut self.gifted] {
            while rights.front().is_some_and(|until| *until <= now) {
                rights.pop_front();
            }
        }
    }
}
