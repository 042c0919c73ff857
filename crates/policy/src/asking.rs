//! Who lets a try of a wide fleet go: one of its customer's homes, what one of them has lent, or, where none is heard, what
//! they granted lately. What a home keeps and what is lent is in `saffronpaddle_quota`; who is a home is in `homes`.

use crate::control::NEWCOMER;
use crate::counts::Counter;
use crate::homes::Homes;
use crate::interface::{Action, CustomerId, Micros, NodeId, RequestId};
use crate::message::{self, Ask, Message};
use crate::state::{Home, Out, PolicyEngine};
use saffronpaddle_quota::{
    GrantDecision, GrantResponse, InitialTokens, Lease, QuotaShard, ReportedFill, GRANT_LIFETIME,
    LEASE_DURATION,
};

const HOMES: u32 = 2; // the most homes that one try hears "short" from, and that one waits for in vain
const PUT_MOST: u32 = 4; // times that an ask is put to a home: a lost datagram must not look like a dead one
const MUTE_FOR: Micros = 4_000_000; // µs for which a home that did not answer is passed over; a word from it ends that
const DEAF: u32 = 5; // asks in vain, with nothing heard from anybody since, from which this gateway is cut off
const PROBE_EVERY: Micros = 200_000; // µs between asks that try that out
const LIVELY: Micros = 1_500_000; // µs since it spoke for which a gateway is not taken for dead
const BORROWS_MOST: usize = 256; // asks of homes for what their stand-bys hold that are open at a time

impl PolicyEngine {
    // Exception to the design, where counts to all come too seldom (`HOMES_FROM`): a store that hardly sees
    // its customer knows nothing. A few of the customer's gateways, found by hash, keep it in parts; a try
    // asks one before it is first sent on, and another if that is short or silent. Danger: hundreds of
    // gateways, each with its own burst. It costs a round trip. With all silent the own store decides.

    /// Asks a home for a try: at first any part's, then that of the next part or who stands by.
    pub(crate) fn ask(&mut self, now: Micros, id: RequestId, out: &mut Out) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(store) = self.stores.get(&request.customer) else {
            return;
        };
        let (customer, set) = (request.customer, (store.first, store.spread as u32));
        let homes = Homes::of(&self.settings.plans[request.plan.0], set.1);
        let asking = &request.asking;
        let start = match (asking.short + asking.missed, asking.short) {
            (0, _) => self.random.u32(0..homes.parts),
            (_, short) => (asking.home.0 + short.min(1)) % homes.parts,
        };
        let keeper = |number| homes.keeper(customer, set, number, self.settings.node_count);
        let speaks = |number: &u32| {
            self.mute
                .get(&keeper(*number))
                .is_none_or(|until| *until <= now)
        };
        // Danger: every try waits in vain where no peer is heard at all. One now and then finds out when that is over.
        let deaf = self.deaf >= DEAF && now < self.next_probe;
        let number = homes
            .in_turn(start)
            .find(|number| (!deaf || keeper(*number) == self.settings.node) && speaks(number));
        let Some(number) = number else {
            return self.alone(now, id, out);
        };
        self.next_probe = now + PROBE_EVERY;
        let to = keeper(number);
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        self.asks.insert(serial, id.clone());
        self.requests
            .entry(id.clone())
            .and_modify(|request| request.asking.ask(now, serial, (number, to)));
        self.put(now, &id, out);
    }

    /// Puts the ask that is open to its home, for the first time or again: a build of yesterday, which lends nothing, knows the
    /// second alone.
    fn put(&mut self, now: Micros, id: &RequestId, out: &mut Out) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(store) = self.stores.get(&request.customer) else {
            return;
        };
        let Some((serial, _)) = request.asking.open else {
            return;
        };
        let (customer, plan, units, (number, to)) = (
            request.customer,
            request.plan,
            request.units,
            request.asking.home,
        );
        let (first, spread, home) = (store.first, store.spread as u32, number as u8);
        let fill = store.memory.reported_fill(now);
        let beside = Some((self.up_s(now), fill.map(|fill| (fill.ratio, fill.age))));
        let newest = request.asking.put != 2 || self.newer[to.0 as usize];
        let wish = (self.settings.partition_safe && newest)
            .then(|| store.memory.lease_demand(now, number, units));
        let ask = Ask {
            serial,
            customer,
            plan,
            first,
            spread,
            home,
            units,
            beside,
            wish,
        };
        self.counts.add(Counter::GrantRequests);
        if to == self.settings.node {
            let said = self
                .grant(now, to, &Ask { wish: None, ..ask }, out)
                .map(|(said, _)| said);
            let nothing = GrantResponse {
                decision: GrantDecision::OverQuota,
                sampling_probability: 1.0,
                retry_after: 0,
                fill_ratio: 0.0,
            };
            self.answered(now, serial, (said.unwrap_or(nothing), None), out);
        } else {
            let news = self.news_if_due(now);
            out.push(Action::SendToPeer {
                to,
                bytes: message::write(&Message::Ask(ask, news)),
            });
        }
    }

    /// s for which this gateway is up, as they are told.
    fn up_s(&self, now: Micros) -> u8 {
        (now.saturating_sub(self.born) / 1_000_000).min(u64::from(u8::MAX)) as u8
    }

    /// As a home: whether a try fits this part of its customer's store, ceiling and places, and what is lent beside.
    pub(crate) fn grant(
        &mut self,
        now: Micros,
        from: NodeId,
        ask: &Ask,
        out: &mut Out,
    ) -> Option<(GrantResponse, Option<Lease>)> {
        let plan = self.settings.plans.get(ask.plan.0)?;
        let spread = ask.spread.clamp(1, self.settings.node_count);
        let homes = Homes::of(plan, spread);
        let number = u32::from(ask.home);
        let home = homes.keeper(
            ask.customer,
            (ask.first, spread),
            number,
            self.settings.node_count,
        );
        if home != self.settings.node || number >= homes.keepers {
            return None;
        }
        self.counts.add(Counter::GrantRequestsReceived);
        let terms = homes.terms(
            plan,
            number,
            self.settings.max_request_units,
            self.settings.partition_safe,
        );
        let up = now.saturating_sub(self.born);
        // Danger: a gateway that was restarted, and grants anew what its last life has granted. Who asks is older then.
        let (age, told) = ask.beside.unwrap_or_default();
        self.newcomer |= u64::from(age) * 1_000_000 > up + NEWCOMER;
        let start = match told {
            // Danger: two stores for one quota, as a home's answers are lost now and then.
            _ if number >= homes.parts => InitialTokens::AccruedSince {
                units: ask.units,
                elapsed: 0,
            },
            _ if !self.newcomer => InitialTokens::Full,
            Some((ratio, age)) if age > up => InitialTokens::Reported(ReportedFill { ratio, age }),
            _ => InitialTokens::AccruedSince {
                units: ask.units,
                elapsed: up,
            },
        };
        let fresh = || Home {
            keeper: QuotaShard::open(now, start, up, &terms),
            ..Home::default()
        };
        let home = self.homes.entry(ask.customer).or_insert_with(fresh);
        (home.plan, home.spread, home.number) = (ask.plan, spread, number);
        let asks = saffronpaddle_quota::GrantRequest {
            requester: from.0,
            serial: ask.serial,
            units: ask.units,
        };
        // A home that borrows of who stands by asks for no units.
        let (said, try_units, lends) = if ask.units > 0.0 {
            let said = home
                .keeper
                .request_grant(now, asks, &terms, self.latency as Micros);
            (said, ask.units, home.keeper.is_uncontended(now))
        } else {
            (
                home.keeper.status(now, &terms),
                self.settings.max_request_units,
                true,
            )
        };
        let wish = ask.wish.filter(|_| lends);
        let lease =
            wish.and_then(|wish| home.keeper.issue_lease(now, asks, &wish, &terms, try_units));
        if lease.is_some() {
            self.counts.add(Counter::LeasesIssued);
        }
        match said.decision {
            GrantDecision::Granted => {}
            GrantDecision::OverQuota => self.counts.add(Counter::GrantsDeniedOverQuota),
            GrantDecision::TooManyInFlight => self.counts.add(Counter::GrantsDeniedInFlight),
            GrantDecision::OverHardLimit => self.counts.add(Counter::GrantsDeniedHardLimit),
        }
        if self.settings.partition_safe && number < homes.parts && said.fill_ratio < 0.5 {
            self.borrow_beside(now, ask, homes, out);
        }
        Some((said, lease))
    }

    pub(crate) fn answered(
        &mut self,
        now: Micros,
        serial: u16,
        (said, lease): (GrantResponse, Option<Lease>),
        out: &mut Out,
    ) {
        if let Some((customer, asked)) = self.borrows.remove(&serial) {
            let home = self.homes.get_mut(&customer).zip(lease);
            return home
                .into_iter()
                .for_each(|(home, lease)| home.keeper.lease_received(now, asked, lease));
        }
        let Some(id) = self.asks.remove(&serial) else {
            return self.counts.add(Counter::GrantResponsesLate);
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.asking.open.is_none_or(|asked| asked.0 != serial) {
            return;
        }
        request.asking.open = None;
        match request.asking.put {
            1 => self.rto.sample(now.saturating_sub(request.asking.since)),
            _ => self.rto.back_off(),
        }
        let Some(store) = self.stores.get_mut(&request.customer) else {
            return;
        };
        if let Some(lease) = lease {
            store
                .memory
                .lease_received(now, request.asking.since, request.asking.home.0, lease);
        }
        if said.decision == GrantDecision::Granted {
            store.memory.record_response(now, &said, true);
            store.memory.record_grant(now, request.units);
            self.counts.add(Counter::GrantsReceived);
            (request.asking.granted_until, request.due) =
                (request.asking.since.saturating_add(GRANT_LIFETIME), now);
            request.asking.granted = Some((request.asking.home.1, serial));
            return self.waiting.push(id);
        }
        request.asking.short += 1;
        let parts = Homes::of(&self.settings.plans[request.plan.0], store.spread as u32).parts;
        let last = request.asking.short >= HOMES.min(parts) || said.sampling_probability < 1.0;
        store.memory.record_response(now, &said, last);
        let places = self.settings.plans[request.plan.0].max_in_flight.is_some();
        if !places && store.memory.take_from_lease(now, request.units, true) {
            return self.goes(now, id, Counter::AdmittedByLease);
        }
        if !last {
            return self.ask(now, id, out);
        }
        self.finish(now, &id, Counter::RejectedOverQuota, out);
    }

    /// A try not yet sent on: its home was silent, its customer's limit full, or its grant has run out.
    pub(crate) fn unanswered(&mut self, now: Micros, id: RequestId, out: &mut Out) {
        let words_a_second = self.words_a_second();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (plan, customer) = (&self.settings.plans[request.plan.0], request.customer);
        if let Some(granted) = request.asking.granted {
            // Danger: a ceiling passed by grants that are used late. It must be granted anew.
            if plan.hard_limit.is_none() || now <= request.asking.granted_until {
                return;
            }
            request.asking.granted = None;
            self.counts.add(Counter::GrantsExpired);
            self.waiting.retain(|other| *other != id);
            self.give_back(granted, customer, out);
        } else if let Some((serial, at)) = request.asking.open {
            if now <= at.saturating_add(self.rto.wait()) {
                return;
            }
            let puts = if request.asking.missed == 0 {
                PUT_MOST
            } else {
                1
            };
            let again = request.asking.put < puts
                && now <= request.asking.since.saturating_add(GRANT_LIFETIME);
            if again && self.settings.retransmission_budget && !self.words.may(now, words_a_second)
            {
                // It waits for its answer, or for words.
                return;
            }
            self.counts.add(Counter::GrantRequestTimeouts);
            self.deaf += 1;
            if again {
                request.asking.put_again(now);
                return self.put(now, &id, out);
            }
            if request.asking.put < puts {
                self.counts.add(Counter::GrantRequestsGivenUp);
            }
            (request.asking.missed, request.asking.open) = (request.asking.missed + 1, None);
            self.asks.remove(&serial);
            // Danger: a busy home whose answers are lost now and then, taken for dead, and its quota granted twice.
            let home = request.asking.home.1;
            let until = now.saturating_add(MUTE_FOR);
            if now > self.lately[home.0 as usize].saturating_add(LIVELY) {
                self.mute.insert(home, until);
            }
            if request.asking.missed >= HOMES {
                return self.alone(now, id, out);
            }
        }
        self.ask(now, id, out);
    }

    /// No home is heard: what is lent here goes first, and then what homes granted here lately decides. A ceiling is kept by leases
    /// alone.
    fn alone(&mut self, now: Micros, id: RequestId, out: &mut Out) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (units, ceiling) = (
            request.units,
            self.settings.plans[request.plan.0].hard_limit.is_some(),
        );
        let Some(store) = self.stores.get_mut(&request.customer) else {
            return;
        };
        if store.memory.take_from_lease(now, units, true) {
            self.goes(now, id, Counter::AdmittedByLease);
        } else if !self.settings.partition_safe
            && !ceiling
            && store.memory.admit_without_owner(now, units)
        {
            self.goes(now, id, Counter::AdmittedWithoutOwner);
        } else {
            self.finish(now, &id, Counter::RejectedNoOwner, out);
        }
    }

    /// A try goes by a right that is held here. Its number is its own: the last one may hold a place that is given back with it.
    pub(crate) fn goes(&mut self, now: Micros, id: RequestId, by: Counter) {
        self.counts.add(by);
        self.serial = self.serial.wrapping_add(1);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        (request.asking.granted, request.due) = (Some((self.settings.node, self.serial)), now);
        request.asking.granted_until = now.saturating_add(GRANT_LIFETIME);
        self.waiting.push(id);
    }

    /// A home whose part runs low borrows that of who stands by. Danger: two that each grant the whole while they do not hear each
    /// other: here each has its own, and one lends it.
    fn borrow_beside(&mut self, now: Micros, ask: &Ask, homes: Homes, out: &mut Out) {
        let Some(home) = self.homes.get_mut(&ask.customer) else {
            return;
        };
        let number = u32::from(ask.home) + homes.parts;
        if number >= homes.keepers || !home.keeper.should_request_lease(now) {
            return;
        }
        let to = homes.keeper(
            ask.customer,
            (ask.first, ask.spread),
            number,
            self.settings.node_count,
        );
        self.serial = self.serial.wrapping_add(1);
        // What was asked before and never answered is forgotten; it lends nothing here any more.
        self.borrows.retain(|_, (_, at)| *at + LEASE_DURATION > now);
        if to == self.settings.node || self.borrows.len() >= BORROWS_MOST {
            return;
        }
        self.borrows.insert(self.serial, (ask.customer, now));
        let wish = Some(home.keeper.lease_demand(now));
        let (serial, beside) = (self.serial, Some((self.up_s(now), None)));
        let ask = Ask {
            serial,
            home: number as u8,
            units: 0.0,
            beside,
            wish,
            ..*ask
        };
        out.push(Action::SendToPeer {
            to,
            bytes: message::write(&Message::Ask(ask, None)),
        });
    }

    /// Gives back the place that a home held for a try.
    pub(crate) fn give_back(
        &mut self,
        (home, serial): (NodeId, u16),
        customer: CustomerId,
        out: &mut Out,
    ) {
        if home == self.settings.node {
            self.homes
                .get_mut(&customer)
                .into_iter()
                .for_each(|kept| kept.keeper.release(home.0, serial));
        } else if self
            .plan_of(customer)
            .is_some_and(|plan| plan.max_in_flight.is_some())
        {
            out.push(Action::SendToPeer {
                to: home,
                bytes: message::write(&Message::Done(serial, customer)),
            });
        }
    }
}
