//! What a home keeps of a customer's quota: one part of its store and of its ceiling, and places under its limit on attempts
//! at once.
//!
//! A part never grants more than its store holds: each grant takes its units off before the word goes out, an ask that is put
//! again under its number takes none, and a word that is lost or late gives nothing back. What is granted and never used is
//! lost to the customer, not to the quota. So the parts together grant `burst + rate * t` at the most, whatever words are lost,
//! late or doubled. Beyond that goes only what a home grants that has lost its state (see [`InitialTokens`]) and what who stands by grants
//! while a home that is alive is not heard.

use crate::lease::{
    ActiveLease, Lease, LeaseDemand, LeaseIssuer, CALM_FOR, LEASE_DURATION, OF_CEILING, OF_STORE,
};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// µs in which an ask may be put again, and in which its grant holds under a ceiling.
pub const GRANT_LIFETIME: Micros = 240_000;
/// Asks that a home wants, as a multiple of what it can grant.
const WANTED: f64 = 2.0;
/// Factor by which each ask too many thins them out, and the share of tries that may ask again, a second.
const THIN: f64 = 0.97;
const THICKEN: f64 = 0.5;
/// The longest that anybody is told to stay away, µs: what is given back meanwhile would lie idle for so long.
const WAIT_MOST: f64 = 2e6;
/// How many times as long as an attempt is out as a rule its place is held, if no word comes that it has ended. Danger: a place
/// held far too long as its return was lost, one in five where homes are busy; and one given out twice, while a slow attempt
/// that holds it is still out.
const PLACE_LASTS: u64 = 3;
/// µs between asks of a home for what its stand-by holds, which go without being put again.
const BORROWS_EVERY: Micros = 400_000;
/// Asks whose numbers are kept, at the most. Guards memory against a peer that asks without end; it grants no more then.
const GRANTED_MOST: usize = 4_096;

/// The terms of one part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardLimits {
    /// Units a second; 0 for no limit by rate.
    pub rate: f64,
    /// Most units that it holds.
    pub capacity: f64,
    /// Attempts that may be out at once; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// Units a second, and most units, of the hard ceiling.
    pub hard_limit: Option<(f64, f64)>,
}

/// With what a part begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InitialTokens {
    /// Full: this gateway is as old as the fleet, so nothing was taken before.
    Full,
    /// Somebody else may have granted all there was, so long ago: no more is there than one try's units and what has come in
    /// since. So begins who stands by, and a home whose gateway was restarted.
    AccruedSince(f64, Micros),
    /// A home whose gateway was restarted, where who asks was told so long ago how much of its depth the part held.
    Reported(f64, Micros),
}

/// A try that asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantRequest {
    /// Who asks.
    pub requester: u32,
    /// Under which number.
    pub serial: u16,
    /// What it counts.
    pub units: f64,
}

/// What a home says of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantDecision {
    /// It may go.
    Granted,
    /// The part of the store is short.
    #[serde(rename = "Short")]
    OverQuota,
    /// As many attempts are out as may be.
    #[serde(rename = "Full")]
    TooManyInFlight,
    /// The ceiling is near.
    #[serde(rename = "Over")]
    OverHardLimit,
}

/// What goes back to who asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantResponse {
    /// Whether it may go.
    pub decision: GrantDecision,
    /// What share of the customer's tries may ask.
    pub sampling_probability: f64,
    /// µs in which no ask can be granted.
    pub retry_after: Micros,
    /// How much of its depth the part holds, 0 to 1.
    pub fill_ratio: f64,
}

/// One part of a customer's quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaShard {
    #[serde(rename = "level")]
    tokens: f64,
    ceiling: f64,
    filled: Micros,
    used: Micros,
    /// Asks let go, until they can't be put again.
    granted: Vec<(u32, u16, Micros)>,
    /// Who holds a place, and until when.
    places: Vec<(u32, u16, Micros)>,
    /// Units asked for in about a second.
    asked: f64,
    chance: f64,
    /// When it last refused somebody for want of units, or was opened.
    short_at: Micros,
    /// What is lent, and of the ceiling what an earlier life may have lent.
    lender: LeaseIssuer,
    before: LeaseIssuer,
    /// What this home has borrowed of who stands by, and when it last asked for that. Its next process asks anew.
    #[serde(skip)]
    borrowed_lease: Option<ActiveLease>,
    #[serde(skip)]
    borrows_at: Micros,
}

impl QuotaShard {
    /// A part as it begins. Its ceiling holds what has come in while this gateway was up: what was granted before may have used
    /// it up.
    pub fn open(now: Micros, start: InitialTokens, up: Micros, terms: &ShardLimits) -> QuotaShard {
        let since = |span: Micros| span as f64 / 1e6;
        let level = match start {
            InitialTokens::Full => terms.capacity,
            InitialTokens::AccruedSince(units, ago) => units + terms.rate * since(ago),
            InitialTokens::Reported(level, ago) => {
                level.clamp(0.0, 1.0) * terms.capacity + terms.rate * since(ago)
            }
        };
        let level = level.min(terms.capacity);
        let mut keeper = QuotaShard {
            tokens: level,
            filled: now,
            used: now,
            chance: 1.0,
            short_at: now,
            ..QuotaShard::default()
        };
        let Some(ceiling) = terms.hard_limit else {
            return keeper;
        };
        // Danger: a ceiling passed by what the last life of this gateway lent, and this one fills as well.
        let born = now.saturating_sub(up);
        keeper
            .before
            .reserve_unknown(ceiling, born.saturating_add(LEASE_DURATION));
        keeper.fill_ceiling(born, now, terms);
        keeper
    }

    /// Fills up to now.
    pub fn fill(&mut self, now: Micros, terms: &ShardLimits) {
        let (from, span) = (self.filled, now.saturating_sub(self.filled) as f64 / 1e6);
        self.filled = self.filled.max(now);
        let (lent, room) = self.lender.issued_between(from, now, true);
        self.tokens = (self.tokens + terms.rate * span - lent).min(terms.capacity - room);
        self.fill_ceiling(from, now, terms);
        self.lender.remove_expired(now);
        self.before.remove_expired(now);
    }

    fn fill_ceiling(&mut self, from: Micros, now: Micros, terms: &ShardLimits) {
        if let Some((rate, depth)) = terms.hard_limit {
            let span = now.saturating_sub(from) as f64 / 1e6;
            let ((lent, room), (before, before_room)) = (
                self.lender.issued_between(from, now, false),
                self.before.issued_between(from, now, false),
            );
            // What borrowers tell of is part of what the last life may have lent.
            let (lent, room) = (lent.max(before), room.max(before_room));
            self.ceiling = (self.ceiling + rate * span - lent).min(depth - room);
        }
    }

    /// Lends to who has just asked, and notes what it still holds. `units`: those of a try. Where attempts at once are limited only of
    /// the ceiling is lent: places are this home's to give, and what is lent is for who does not hear it.
    pub fn issue_lease(
        &mut self,
        now: Micros,
        ask: GrantRequest,
        wish: &LeaseDemand,
        terms: &ShardLimits,
        units: f64,
    ) -> Option<Lease> {
        // Who asks for no units is the home of the part, which has the places.
        let home = ask.units <= 0.0;
        let of_store = terms.max_in_flight.is_none() || home;
        self.lender
            .record_reported_lease(now, ask.requester, wish, of_store);
        let (most, most_hard) = if home {
            (1.0, 1.0)
        } else {
            (OF_STORE, OF_CEILING)
        };
        let store = (terms.rate > 0.0 && of_store).then_some((
            terms.rate * most,
            terms.capacity * most,
            self.tokens,
        ));
        let hard = |(rate, depth)| (rate * most_hard, depth * most_hard, self.ceiling);
        let ceiling = terms.hard_limit.map(hard);
        let part = match (store, ceiling) {
            (Some(a), Some(b)) => (a.0.min(b.0), a.1.min(b.1), a.2.min(b.2)),
            (one, other) => one.or(other)?,
        };
        let (lease, fresh) = self.lender.issue(
            now,
            (ask.requester, ask.serial),
            wish,
            part,
            (units, of_store, home),
        )?;
        if fresh {
            self.tokens -= lease.initial_tokens;
            self.ceiling -= lease.initial_tokens;
        }
        Some(lease)
    }

    /// Whether it has refused nobody for want of units for a while: then what it lends is no rate that somebody else waits for.
    pub fn is_uncontended(&self, now: Micros) -> bool {
        now >= self.short_at.saturating_add(CALM_FOR)
    }

    /// How the part stands, with nothing asked of it.
    pub fn status(&mut self, now: Micros, terms: &ShardLimits) -> GrantResponse {
        self.fill(now, terms);
        self.used = now;
        self.say(GrantDecision::Granted, 0.0, terms)
    }

    /// What this home would borrow of who stands by: all that it can have.
    pub fn lease_demand(&self, now: Micros) -> LeaseDemand {
        LeaseDemand {
            rate: f64::from(u8::MAX),
            current: self.borrowed_lease.and_then(|held| held.report(now)),
        }
    }

    /// Whether it is time to borrow of who stands by; it counts as asked then.
    pub fn should_request_lease(&mut self, now: Micros) -> bool {
        let due = self
            .borrowed_lease
            .is_none_or(|held| held.needs_renewal(now));
        let wants = due && now >= self.borrows_at.saturating_add(BORROWS_EVERY);
        self.borrows_at = if wants { now } else { self.borrows_at };
        wants
    }

    /// Who stands by has lent this, asked at that time.
    pub fn lease_received(&mut self, now: Micros, asked: Micros, lease: Lease) {
        self.borrowed_lease = Some(ActiveLease::renewed(
            self.borrowed_lease,
            now,
            asked,
            0,
            lease,
        ));
    }

    /// Whether a try may go. `lasts`: how long an attempt is out, as a rule; its place falls free by itself after a multiple of
    /// that.
    pub fn request_grant(
        &mut self,
        now: Micros,
        ask: GrantRequest,
        terms: &ShardLimits,
        lasts: Micros,
    ) -> GrantResponse {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.fill(now, terms);
        self.used = now;
        // Danger: an ask that is put again, as its answer was lost, and takes its units twice.
        self.granted.retain(|granted| granted.2 > now);
        if self
            .granted
            .iter()
            .any(|granted| (granted.0, granted.1) == (ask.requester, ask.serial))
        {
            return self.say(GrantDecision::Granted, 0.0, terms);
        }
        // Danger: a customer far over its quota whose asks drown its homes. A share of its tries asks.
        self.asked = self.asked * (-span).exp() + ask.units;
        let wanted = (WANTED * terms.rate).max(1.0);
        // A unit of the stand-by's is of its store and of its ceiling.
        let lacks = |keeper: &QuotaShard| {
            let over = terms.hard_limit.is_some() && keeper.ceiling < ask.units;
            (terms.rate > 0.0 && keeper.tokens < ask.units, over)
        };
        let (mut short, mut over) = lacks(self);
        if (short || over)
            && self
                .borrowed_lease
                .as_mut()
                .is_some_and(|held| held.take(now, ask.units))
        {
            self.tokens += ask.units;
            self.ceiling += ask.units;
            (short, over) = lacks(self);
        }
        let pressed = short && self.asked > wanted;
        self.chance = if pressed {
            self.chance * THIN
        } else {
            (self.chance + THICKEN * span).min(1.0)
        };
        self.places.retain(|place| place.2 > now);
        let full = terms
            .max_in_flight
            .is_some_and(|most| self.places.len() >= most as usize);
        self.short_at = if short || over { now } else { self.short_at };
        let borrowed = self.borrowed_lease.map_or(0.0, |held| held.rate(now));
        if short {
            let rate = (terms.rate + borrowed).max(f64::EPSILON);
            return self.say(
                GrantDecision::OverQuota,
                (ask.units - self.tokens) / rate,
                terms,
            );
        }
        if over {
            let rate = terms.hard_limit.map_or(0.0, |ceiling| ceiling.0) + borrowed;
            return self.say(
                GrantDecision::OverHardLimit,
                (ask.units - self.ceiling) / rate.max(f64::EPSILON),
                terms,
            );
        }
        if full || self.granted.len() >= GRANTED_MOST {
            // One of those that are out ends about every so often.
            let next = lasts as f64 / 1e6 / self.places.len().max(1) as f64;
            return self.say(GrantDecision::TooManyInFlight, next / 2.0, terms);
        }
        self.tokens -= ask.units;
        self.ceiling -= ask.units;
        self.granted.push((
            ask.requester,
            ask.serial,
            now.saturating_add(GRANT_LIFETIME),
        ));
        if terms.max_in_flight.is_some() {
            self.places.push((
                ask.requester,
                ask.serial,
                now.saturating_add(lasts.saturating_mul(PLACE_LASTS)),
            ));
        }
        self.say(GrantDecision::Granted, 0.0, terms)
    }

    fn say(&self, verdict: GrantDecision, wait_s: f64, terms: &ShardLimits) -> GrantResponse {
        let wait = (wait_s * 1e6).clamp(0.0, WAIT_MOST) as Micros;
        let level = (self.tokens / terms.capacity.max(f64::EPSILON)).clamp(0.0, 1.0);
        GrantResponse {
            decision: verdict,
            sampling_probability: self.chance,
            retry_after: wait,
            fill_ratio: level,
        }
    }

    /// The attempt of an ask has ended: its place is free.
    pub fn release(&mut self, from: u32, serial: u16) {
        self.places
            .retain(|place| (place.0, place.1) != (from, serial));
    }

    /// Whether nothing would be gained or given by dropping it: unused for so long, and full.
    pub fn is_idle(&mut self, now: Micros, terms: &ShardLimits, unused_for: Micros) -> bool {
        if now.saturating_sub(self.used) < unused_for {
            return false;
        }
        self.fill(now, terms);
        self.places.retain(|place| place.2 > now);
        let refilled =
            (terms.rate <= 0.0 || self.tokens >= terms.capacity) && self.lender.is_empty();
        let ceiling = terms
            .hard_limit
            .is_none_or(|(_, depth)| self.ceiling >= depth);
        refilled && ceiling && self.places.is_empty()
    }

    /// Units that it holds.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
