//! Parts of a quota that are lent: a keeper gives who asks a rate, room and units of its own for a while, to be used without
//! a word, so that a gateway that hears nobody goes on with its part and no more.
//!
//! **What holds.** A part's units are in one place each: the keeper's level, or one borrower's. While a lease stands the keeper
//! fills at its rate less what it has lent, up to its depth less the room that it has lent; the borrower fills at what was lent up to that room.
//! So the sum of all levels never passes what one store of the whole would hold, whoever hears whom.
//!
//! **The old holder's part ends before the new one's begins.** A borrower counts the life of a lease from when it *asked*, less
//! [`CLOCK_DRIFT_DIVISOR`]; the keeper from when it *answered*, whole. The ask left before it came, so the borrower's end is the earlier
//! one, with clocks that need not agree and may run [`CLOCK_DRIFT_DIVISOR`] apart. A word that is late only shortens the borrower's part; one that is
//! doubled is answered as before and lends nothing more; one that is lost leaves the keeper with less for a lease's life.
//!
//! What is lent and not used by its end lapses: it is lost to the customer, not to the quota.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How long a lease lasts, µs. Danger of longer: rate that lies idle where a customer's traffic has moved on. Of shorter: a
/// cut-off gateway that has nothing left before its peers are back.
pub const LEASE_DURATION: Micros = 6_000_000;
/// How far apart clocks may run: a part in so many.
pub const CLOCK_DRIFT_DIVISOR: Micros = 100;
/// A borrower asks anew once less than this is left of its lease, µs.
const RENEWED: Micros = 2_000_000;
/// Most of a part's rate and depth that is lent at a time, of a store; the rest serves those that have borrowed nothing.
pub(crate) const OF_STORE: f64 = 0.75;
/// The same of a ceiling. Danger of more: a keeper that has just started must take all of it for lent until a lease's life is over.
pub(crate) const OF_CEILING: f64 = 0.35;
/// Room in a lease, s of its rate, where one try's units are not more.
const ROOM: f64 = 1.0;
/// What a borrower wants, as a multiple of what it was granted lately: its pace swings.
const WANTED: f64 = 1.25;
/// Leases of one part at a time. Guards memory.
const LEASES_MOST: usize = 64;
/// Units a second under which a gateway borrows nothing: what it would be lent lapses before its next try.
const LEAST_PACE: f64 = 0.4;
/// µs for which a part must have refused nobody to lend to who asks. Danger: a customer that wants all of its quota, whose rate lies idle
/// at gateways that its tries have left (seen: four tenths of all quotas unused, 24 gateways at half as much again).
pub(crate) const CALM_FOR: Micros = 10_000_000;
/// Less than this is no lease, units a second.
const LEAST: f64 = 0.05;

/// A lease as it is told: units a second, the most units that it may gather, and units that come with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Units a second.
    pub rate: f64,
    /// Most units at once.
    #[serde(rename = "room")]
    pub capacity: f64,
    /// Units from the first moment.
    #[serde(rename = "units")]
    pub initial_tokens: f64,
}

/// What who asks says of leases.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseDemand {
    /// Units a second that it would use.
    pub rate: f64,
    /// What it still holds of this keeper's: the rate, the room, and for how long.
    pub current: Option<(f64, f64, Micros)>,
}

/// A lease at the keeper.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct IssuedLease {
    from: u32,
    serial: u16,
    /// Builds before read it under this name when a node is upgraded in place.
    #[serde(rename = "loan")]
    lease: Lease,
    until: Micros,
    /// Whether it is of the store too, or of the ceiling alone.
    of_store: bool,
}

/// What a keeper has lent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseIssuer {
    lent: Vec<IssuedLease>,
}

impl LeaseIssuer {
    /// Units that borrowers have taken in between two moments, and the room that is lent at the second: of the store, or of the
    /// ceiling.
    pub fn issued_between(&self, from: Micros, to: Micros, of_store: bool) -> (f64, f64) {
        let of = || self.lent.iter().filter(|lent| lent.of_store || !of_store);
        let units = |lent: &IssuedLease| {
            lent.lease.rate * lent.until.min(to).saturating_sub(from) as f64 / 1e6
        };
        let stands = of().filter(|lent| lent.until > to);
        (
            of().map(units).sum(),
            stands.map(|lent| lent.lease.capacity).sum(),
        )
    }

    /// Drops what has ended.
    pub fn remove_expired(&mut self, now: Micros) {
        self.lent.retain(|lent| lent.until > now);
    }

    /// Whether nothing is lent.
    pub fn is_empty(&self) -> bool {
        self.lent.is_empty()
    }

    /// Notes a lease that who asks still holds and that is not known here. Danger: a keeper that was restarted and fills at a rate
    /// that its last life has lent.
    pub fn record_reported_lease(
        &mut self,
        now: Micros,
        from: u32,
        wish: &LeaseDemand,
        of_store: bool,
    ) {
        let Some((rate, room, left)) = wish.current else {
            return;
        };
        let known = self
            .lent
            .iter()
            .any(|lent| lent.from == from && lent.until > now);
        if known || self.lent.len() >= LEASES_MOST {
            return;
        }
        let until = now.saturating_add(left.min(LEASE_DURATION));
        self.lent.push(IssuedLease {
            from,
            serial: 0,
            lease: Lease {
                rate,
                capacity: room,
                initial_tokens: 0.0,
            },
            until,
            of_store,
        });
    }

    /// A ceiling of which nobody knows what an earlier life of this keeper has lent, until then: as much as may have been.
    pub fn reserve_unknown(&mut self, (rate, depth): (f64, f64), until: Micros) {
        let lease = Lease {
            rate: rate * OF_CEILING,
            capacity: depth * OF_CEILING,
            initial_tokens: 0.0,
        };
        self.lent.push(IssuedLease {
            from: u32::MAX,
            serial: 0,
            lease,
            until,
            of_store: false,
        });
    }

    /// Lends to who asks under this number, of what may be lent of a rate and a depth, where so many units are held. The same ask again is
    /// answered as before; whether it is a new one. `all`: to another keeper, which uses all that may be lent.
    pub fn issue(
        &mut self,
        now: Micros,
        (from, serial): (u32, u16),
        wish: &LeaseDemand,
        (rate, depth, level): (f64, f64, f64),
        (try_units, of_store, all): (f64, bool, bool),
    ) -> Option<(Lease, bool)> {
        self.remove_expired(now);
        let mine = |lent: &&IssuedLease| lent.from == from;
        if let Some(again) = self
            .lent
            .iter()
            .filter(mine)
            .find(|lent| lent.serial == serial)
        {
            return Some((again.lease, false));
        }
        if wish.rate < LEAST_PACE {
            return None;
        }
        // The next lease follows the last without a step: it is the same one, with a later end. A borrower that wants half of it or less
        // lets it lapse.
        if let Some(last) = self
            .lent
            .iter_mut()
            .find(|lent| lent.from == from && lent.of_store == of_store)
        {
            if last.until > now + RENEWED + LEASE_DURATION / 10
                || wish.rate * WANTED < last.lease.rate / 2.0
            {
                return None;
            }
            (last.serial, last.until) = (serial, now.saturating_add(LEASE_DURATION));
            last.lease.initial_tokens = 0.0;
            return Some((last.lease, false));
        }
        if self.lent.len() >= LEASES_MOST {
            return None;
        }
        let lent =
            |of: fn(&Lease) -> f64| self.lent.iter().map(|lent| of(&lent.lease)).sum::<f64>();
        let (free_rate, free_depth) = (
            rate - lent(|lease| lease.rate),
            depth - lent(|lease| lease.capacity),
        );
        let wanted = (wish.rate * WANTED).min(free_rate);
        if wanted < LEAST || free_depth < try_units {
            return None;
        }
        let most = if all {
            free_depth
        } else {
            (wanted * ROOM).max(try_units).min(free_depth)
        };
        // A whole try's units from the first moment, where the part can spare them: a gateway is cut off without a warning.
        let units = if of_store && level >= 2.0 * try_units {
            try_units
        } else {
            0.0
        };
        let lease = Lease {
            rate: wanted,
            capacity: most,
            initial_tokens: units,
        };
        self.lent.push(IssuedLease {
            from,
            serial,
            lease,
            until: now.saturating_add(LEASE_DURATION),
            of_store,
        });
        Some((lease, true))
    }
}

/// A lease at who has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActiveLease {
    /// Which of the customer's keepers lent it.
    pub issuer: u32,
    lease: Lease,
    level: f64,
    filled: Micros,
    until: Micros,
}

impl ActiveLease {
    /// What came of an ask that was first put then, behind one that may still have units.
    pub fn renewed(
        last: Option<ActiveLease>,
        now: Micros,
        asked: Micros,
        keeper: u32,
        lease: Lease,
    ) -> ActiveLease {
        let left = match last {
            Some(mut last) if last.issuer == keeper && !last.is_expired(now) => {
                last.take(now, 0.0);
                last.level
            }
            _ => 0.0,
        };
        // It fills from now on: its keeper had lent it before the word left.
        let until = asked.saturating_add(LEASE_DURATION - LEASE_DURATION / CLOCK_DRIFT_DIVISOR);
        ActiveLease {
            issuer: keeper,
            lease,
            level: (lease.initial_tokens + left).min(lease.capacity),
            filled: now,
            until,
        }
    }

    /// Whether it has ended.
    pub fn is_expired(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Whether it is time to ask for the next one.
    pub fn needs_renewal(&self, now: Micros) -> bool {
        now.saturating_add(RENEWED) >= self.until
    }

    /// Takes so many units, if they are there.
    pub fn take(&mut self, now: Micros, units: f64) -> bool {
        if self.is_expired(now) {
            return false;
        }
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = self.filled.max(now);
        self.level = (self.level + self.lease.rate * span).min(self.lease.capacity);
        let takes = self.level >= units;
        self.level -= if takes { units } else { 0.0 };
        takes
    }

    /// Units a second that it brings.
    pub fn rate(&self, now: Micros) -> f64 {
        if self.is_expired(now) {
            0.0
        } else {
            self.lease.rate
        }
    }

    /// What its keeper is told of it: the rate, the room, and for how long.
    pub fn report(&self, now: Micros) -> Option<(f64, f64, Micros)> {
        (!self.is_expired(now)).then(|| (self.lease.rate, self.lease.capacity, self.until - now))
    }
}
