//! What a gateway that asks remembers of a customer's home.

use crate::lease::{Held, Lease, Wish};
use crate::{Micros, Said, Verdict};
use serde::{Deserialize, Serialize};

/// µs in which a gateway forgets what share of the tries may ask.
const THIN_FOR: f64 = 2e6;
/// µs for which it is remembered how full a home was. What it held then is not what it holds now.
const LEVEL_FOR: Micros = 15_000_000;
/// µs over which it is remembered what was granted here: long beside the gaps between a customer's tries, short beside what it
/// takes for its traffic to move to other gateways.
const GRANTS_FOR: f64 = 4e6;
/// What may be let go alone, as a multiple of what homes granted here lately; a home that was half full or more leaves room for
/// a customer that asks for more than it did.
const ALONE: (f64, f64) = (1.0, 1.5);
/// Units that may be saved up for that, s of that rate.
const ALONE_DEPTH: f64 = 1.5;
/// µs for which a customer that was turned away by its home counts as one that wants more than its quota.
const SHORT_FOR: Micros = 5_000_000;

/// What homes have said of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Memory {
    /// The share of tries that may ask, and when that was told.
    chance: f64,
    chance_at: Micros,
    /// Until when no ask can be granted.
    held_until: Micros,
    /// How much of its depth a home held, and when it said so.
    level: f64,
    level_at: Micros,
    /// When a home last said that the store was short.
    short_at: Micros,
    /// Units a second that homes granted here lately, as of when.
    granted: f64,
    granted_at: Micros,
    /// Units that may be let go with no home heard, as of when; `None` before that was ever the case.
    alone: Option<f64>,
    alone_at: Micros,
    /// What a home has lent. Another process of this gateway does not take it over: two would use it.
    #[serde(skip)]
    held: Option<Held>,
}

impl Default for Memory {
    fn default() -> Self {
        Memory {
            chance: 1.0,
            chance_at: 0,
            held_until: 0,
            level: 1.0,
            level_at: 0,
            short_at: 0,
            granted: 0.0,
            granted_at: 0,
            alone: None,
            alone_at: 0,
            held: None,
        }
    }
}

impl Memory {
    /// A home has let so many units go here. Its word ends being alone.
    pub fn granted(&mut self, now: Micros, units: f64) {
        self.went(now, units);
        self.alone = None;
    }

    fn went(&mut self, now: Micros, units: f64) {
        self.granted = self.pace(now) + units * 1e6 / GRANTS_FOR;
        self.granted_at = now;
    }

    /// Units a second that went by homes' words lately.
    fn pace(&self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.granted_at) as f64;
        self.granted * (-span / GRANTS_FOR).exp()
    }

    /// Whether a try of so many units goes by what a home has lent; it takes them then. A lease that is nearly over is only used
    /// where no home will be asked (`late`): the ask brings the next one.
    pub fn lent(&mut self, now: Micros, units: f64, late: bool) -> bool {
        let Some(held) = &mut self.held else {
            return false;
        };
        let takes = (late || !held.is_due(now)) && held.take(now, units);
        if takes {
            self.went(now, units);
        }
        takes
    }

    /// What is to be borrowed of one of the customer's keepers, which is asked for so many units.
    pub fn wish(&self, now: Micros, keeper: u32, units: f64) -> Wish {
        let held = self
            .held
            .filter(|held| held.keeper == keeper)
            .and_then(|held| held.told(now));
        Wish {
            rate: self.pace(now) + units * 1e6 / GRANTS_FOR,
            held,
        }
    }

    /// A keeper has lent this, asked at that time.
    pub fn borrowed(&mut self, now: Micros, asked: Micros, keeper: u32, lease: Lease) {
        self.held = Some(Held::after(self.held, now, asked, keeper, lease));
    }

    /// Whether a try of so many units may go with no home heard; it takes them then.
    ///
    /// Each gateway goes on at the pace at which homes granted units to it. These sum up to what the homes granted in all, which
    /// is no more than `burst + rate * t`, so that a fleet whose gateways hear none of each other lets go, in `t` seconds, at the
    /// most 1.5 times its pace and 1.5 s of it at once, and one try for each gateway that knew nothing of the customer.
    pub fn alone(&mut self, now: Micros, units: f64) -> bool {
        if self.alone.is_none() {
            // Only while homes are heard: once they are not, the pace stays.
            self.granted = self.pace(now);
        }
        let greedy = self.wants_more(now);
        let rate = self.granted
            * if self.level >= 0.5 && !greedy {
                ALONE.1
            } else {
                ALONE.0
            };
        let depth = rate * ALONE_DEPTH;
        let span = now.saturating_sub(self.alone_at) as f64 / 1e6;
        let held = match self.alone {
            Some(held) => (held + rate * span).min(depth.max(1.0)),
            None if greedy => depth,
            None => depth.max(1.0),
        };
        self.alone_at = now;
        let goes = held >= units;
        self.alone = Some(if goes { held - units } else { held });
        goes
    }

    /// A home has said this. `last`: no other part of the quota will be asked for the same try.
    pub fn said(&mut self, now: Micros, said: &Said, last: bool) {
        (self.chance, self.chance_at) = (said.chance.clamp(0.0, 1.0), now);
        (self.level, self.level_at) = (said.level, now);
        match said.verdict {
            Verdict::Granted => self.held_until = 0,
            verdict => {
                self.short_at = if verdict == Verdict::Full {
                    self.short_at
                } else {
                    now
                };
                self.held_until = if last {
                    now.saturating_add(said.wait)
                } else {
                    self.held_until
                };
            }
        }
    }

    /// Whether an ask now would be in vain: nothing can have come in since a home said no.
    pub fn held(&self, now: Micros) -> bool {
        now < self.held_until
    }

    /// The share of tries that may ask now.
    pub fn chance(&self, now: Micros) -> f64 {
        let forgot = (now.saturating_sub(self.chance_at) as f64 / THIN_FOR).min(1.0);
        self.chance + (1.0 - self.chance) * forgot
    }

    /// How much of its depth a home held, and how long ago it said so; `None` once that tells nothing any more.
    pub fn level(&self, now: Micros) -> Option<(f64, Micros)> {
        let ago = now.saturating_sub(self.level_at);
        (self.level_at > 0 && ago < LEVEL_FOR).then_some((self.level, ago))
    }

    /// Whether the customer was lately found to want more than it may.
    pub fn wants_more(&self, now: Micros) -> bool {
        self.short_at > 0 && now.saturating_sub(self.short_at) < SHORT_FOR
    }
}
