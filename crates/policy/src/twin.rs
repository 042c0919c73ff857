//! What a gateway keeps in mind, as its next process takes it over. Plain data; nothing is decided here.

use crate::interface::{AttemptNumber, CustomerId, Micros, RequestId, SiblingAttempt};
use crate::mean::Mean;
use crate::state::{Attempt, Fuzzy, Home, PolicyEngine, Server, Stage, Store};
use serde::{Deserialize, Serialize};

/// All that a gateway knows and has promised, but for its open requests: these stay with the process that took them.
/// What a build does not know yet has its default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StateSnapshot {
    born: Micros,
    newcomer: bool,
    stores: Vec<(CustomerId, Store)>,
    servers: Vec<Server>,
    /// Danger: builds before had `homes`, whose stores are no parts: read as such, all of the state would be lost.
    #[serde(rename = "parts")]
    homes: Vec<(CustomerId, Home)>,
    fuzzy: Fuzzy,
    spoke: Vec<Micros>,
    latency: f64,
    typical: f64,
    low_out: f64,
    all_out: f64,
    aims: Vec<f64>,
    served: f64,
    retries: f64,
    /// Attempts that are out.
    out: Vec<SiblingAttempt>,
}

impl StateSnapshot {
    /// How many customers and servers it holds.
    pub fn size(&self) -> (usize, usize) {
        (self.stores.len(), self.servers.len())
    }
}

impl PolicyEngine {
    /// All that the next process of this gateway has to know.
    pub fn snapshot(&self) -> StateSnapshot {
        let held = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == Stage::Working);
        let own = held.map(|((id, number), attempt)| attempt.told(id, *number));
        let abroad = self
            .abroad
            .iter()
            .map(|((id, number), (_, attempt))| attempt.told(id, *number));
        StateSnapshot {
            born: self.born,
            newcomer: self.newcomer,
            stores: self
                .stores
                .iter()
                .map(|(customer, store)| (*customer, store.clone()))
                .collect(),
            servers: self
                .servers
                .kept()
                .map(|server| server.whole(self.settings.classes.len()))
                .collect(),
            homes: self
                .homes
                .iter()
                .map(|(customer, store)| (*customer, store.clone()))
                .collect(),
            fuzzy: self.fuzzy.clone(),
            spoke: self.spoke.clone(),
            latency: self.latency,
            typical: self.typical,
            low_out: self.low_out,
            all_out: self.all_out,
            aims: self.aims.clone(),
            served: self.served.now(),
            retries: self.retries,
            out: own.chain(abroad).collect(),
        }
    }

    /// Goes on from what another process of this gateway kept, at the start of this one. What does not fit the settings is
    /// passed over. Attempts that are out there are `link`'s.
    pub fn restore(&mut self, kept: StateSnapshot, link: u32) {
        let (classes, plans) = (self.settings.classes.len(), self.settings.plans.len());
        let fits = |(_, store): &(CustomerId, Store)| store.plan.0 < plans && store.spread >= 1.0;
        let now = self.born;
        (self.born, self.newcomer) = (now.min(kept.born), kept.newcomer);
        self.stores = kept.stores.into_iter().filter(fits).collect();
        let kept_here = |(_, home): &(CustomerId, Home)| home.plan.0 < plans && home.spread >= 1;
        self.homes = kept.homes.into_iter().filter(kept_here).collect();
        let known = kept
            .servers
            .into_iter()
            .filter(|server| server.health.len() == classes);
        let lately = self.young_for();
        self.servers.resume(known, now, lately);
        if kept.fuzzy.seen.len() == classes && kept.aims.len() == classes {
            (self.fuzzy, self.aims) = (
                Fuzzy {
                    seen: vec![(0.0, 0.0); classes],
                    ..kept.fuzzy
                },
                kept.aims,
            );
        }
        if kept.spoke.len() == self.spoke.len() {
            self.spoke = kept.spoke;
        }
        let sound = |value: f64| value.is_finite() && value > 0.0;
        if sound(kept.latency) && sound(kept.typical) {
            (self.latency, self.typical) = (kept.latency, kept.typical);
        }
        (self.low_out, self.all_out) = (kept.low_out, kept.all_out);
        (self.served, self.retries) = (Mean::known(kept.served), kept.retries);
        self.abroad = kept.out.into_iter().map(|out| out.attempt(link)).collect();
    }
}

impl SiblingAttempt {
    pub(crate) fn attempt(self, link: u32) -> ((RequestId, AttemptNumber), (u32, Attempt)) {
        let SiblingAttempt {
            request: id,
            attempt,
            server,
            customer,
            class,
            queued_since: due,
            sent_at: sent,
            in_flight: places,
            ..
        } = self;
        let stage = Stage::Working;
        (
            (id, attempt),
            (
                link,
                Attempt {
                    server,
                    customer,
                    class,
                    due,
                    sent,
                    places,
                    stage,
                },
            ),
        )
    }
}

impl Attempt {
    /// How it is told to another process. The terms of its try are told with a first attempt alone.
    pub(crate) fn told(&self, id: &RequestId, number: AttemptNumber) -> SiblingAttempt {
        let Attempt {
            server,
            customer,
            class,
            due,
            sent,
            places,
            ..
        } = self.clone();
        SiblingAttempt {
            request: id.clone(),
            attempt: number,
            server,
            customer,
            class,
            queued_since: due,
            sent_at: sent,
            in_flight: places,
            charge: None,
        }
    }
}
