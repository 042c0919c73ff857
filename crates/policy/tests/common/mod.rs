//! A small stand for the module: settings, and a keeper of the rules that knows nothing of its insides.
#![allow(dead_code)]

use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::PolicyEngine;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub const SAFE: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const UNSAFE: ClassId = ClassId(2);
pub const KEYED_ALL: ClassId = ClassId(3);

pub fn settings(me: u32, gateways: u32) -> Settings {
    let class = |worth, effect| Class {
        latency_objective: 800 * MS,
        late_value: 0.2,
        priority_weight: worth,
        idempotency: effect,
    };
    let keyed = |group| Idempotency::WithKey {
        scope: group,
        window: 500 * MS,
    };
    let plan = Plan {
        rate: 1.0,
        burst: 4.0,
        max_in_flight: None,
        priority_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.5,
        hard_limit: None,
    };
    let ceiling = Some(HardLimit {
        rate: 8.0,
        capacity: 12.0,
    });
    Settings {
        node: NodeId(me),
        node_count: gateways,
        zone: ZoneId(0),
        classes: vec![
            class(1.0, Idempotency::Idempotent),
            class(2.0, keyed(DeduplicationScope::Domain)),
            class(9.0, Idempotency::NonIdempotent),
            class(3.0, keyed(DeduplicationScope::All)),
        ],
        plans: vec![
            plan.clone(),
            Plan {
                rate: 0.0,
                ..plan.clone()
            },
            Plan {
                rate: 1000.0,
                burst: 1000.0,
                hard_limit: ceiling,
                ..plan.clone()
            },
            Plan {
                rate: 1000.0,
                burst: 1000.0,
                max_in_flight: Some(2),
                ..plan
            },
        ],
        slow_start: SlowStartRules {
            initial_capacity: 0.2,
            warm_up_period: 10 * S,
            overload_multiple: 3.0,
            overload_window: S,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancellation: true,
            peer_messages: true,
        },
        cross_zone_cost: 0.0,
        discovery: DiscoveryMode::Pushed,
        event_interval: 2 * MS,
        peer_messages_per_s: 60.0,
        max_request_units: 1.0,
        server_idle_timeout: 15_000_000,
        partition_safe: false,
        retransmission_budget: false,
        subsetting: true,
    }
}

pub fn entry(server: u64) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId((server % 2) as u32),
        domain: DeduplicationDomainId(server % 2),
        status: EndpointStatus::Ready,
        size: 1.0,
        started_at: None,
    }
}

#[derive(Default)]
struct Told {
    class: usize,
    deadline: Micros,
    open: bool,
    sent: u32,
    /// Of these, attempts of which no byte was written.
    unsent: u32,
    out: bool,
    ran: Option<(u64, Micros)>,
}

/// One gateway with its own watch on rules 1 to 3.
pub struct Stand {
    pub now: Micros,
    pub gateway: PolicyEngine,
    pub settings: Settings,
    pub wakes: Vec<(Micros, u64)>,
    pub list: BTreeMap<ServerId, Endpoint>,
    pub out: Vec<(RequestId, AttemptNumber, ServerId)>,
    told: BTreeMap<RequestId, Told>,
    pub log: Vec<Action>,
    next: u64,
}

impl Stand {
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Self {
        let gateway = PolicyEngine::new(seed, settings.clone(), now).expect("sound settings");
        Stand {
            now,
            gateway,
            settings,
            wakes: Vec::new(),
            list: BTreeMap::new(),
            out: Vec::new(),
            told: BTreeMap::new(),
            log: Vec::new(),
            next: 0,
        }
    }

    pub fn with_servers(seed: u64, settings: Settings, now: Micros, servers: u64) -> Self {
        let mut stand = Stand::new(seed, settings, now);
        stand.servers(EndpointUpdate::Snapshot, (0..servers).map(entry).collect());
        stand
    }

    pub fn servers(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) {
        if kind == EndpointUpdate::Snapshot {
            self.list.clear();
        }
        for entry in &entries {
            self.list.insert(entry.server, *entry);
        }
        self.event(Event::EndpointsChanged {
            update: kind,
            endpoints: entries,
        });
    }

    pub fn request(
        &mut self,
        class: ClassId,
        plan: usize,
        customer: u64,
        patience: Micros,
    ) -> RequestId {
        self.request_of(
            class,
            plan,
            (customer, NodeId(0), self.settings.node_count),
            patience,
        )
    }

    /// The same of a customer with a set of its own.
    pub fn request_of(
        &mut self,
        class: ClassId,
        plan: usize,
        (customer, first, spread): (u64, NodeId, u32),
        patience: Micros,
    ) -> RequestId {
        self.next += 1;
        let id = RequestId(format!("r{}", self.next).into());
        let told = Told {
            class: class.0,
            deadline: self.now + patience,
            open: true,
            ..Told::default()
        };
        self.told.insert(id.clone(), told);
        self.event(Event::RequestArrived {
            id: id.clone(),
            class,
            plan: PlanId(plan),
            customer: CustomerId(customer),
            units: 1.0,
            first,
            spread,
            timeout: patience,
            complete: true,
        });
        id
    }

    pub fn end(&mut self, id: &RequestId, outcome: Outcome) -> Vec<Action> {
        let place = self
            .out
            .iter()
            .position(|(out, _, _)| out == id)
            .expect("an attempt is out");
        let (id, attempt, server) = self.out.remove(place);
        let told = self.told.get_mut(&id).expect("known");
        told.out = false;
        told.unsent += u32::from(outcome == Outcome::NotSent);
        if !matches!(
            outcome,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent
        ) {
            told.ran.get_or_insert((server.0 % 2, self.now));
        }
        let closed = outcome == Outcome::Ok || !told.open;
        if outcome == Outcome::Ok {
            told.open = false;
        }
        self.event(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            request_closed: closed,
        })
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            self.watch(action);
        }
        self.log.extend(actions.iter().cloned());
        actions
    }

    /// Lets time pass in steps, with every wake-up that was asked for.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += 2 * MS;
            let due: Vec<_> = self
                .wakes
                .iter()
                .copied()
                .filter(|(at, _)| *at <= self.now)
                .collect();
            self.wakes.retain(|(at, _)| *at > self.now);
            for (_, token) in due {
                actions.extend(self.event(Event::TimerFired { token }));
            }
            for (id, told) in &self.told {
                assert!(
                    !told.open || self.now <= told.deadline + 8 * MS,
                    "rule 1: {id:?} had no answer"
                );
            }
        }
        actions
    }

    fn watch(&mut self, action: &Action) {
        let effect = |told: &Told, settings: &Settings| settings.classes[told.class].idempotency;
        match action {
            Action::Send { id, server, .. } => {
                let told = self.told.get_mut(id).expect("rule: a known request");
                assert!(told.open, "rule 1: sent after its answer");
                assert!(!told.out, "rule 2: two attempts at once");
                let most = self.settings.permissions.max_attempts;
                assert!(
                    told.sent - told.unsent < most && told.sent < 2 * most,
                    "too many attempts"
                );
                assert_eq!(
                    self.list[server].status,
                    EndpointStatus::Ready,
                    "rule 3: sent to a draining server"
                );
                match (told.ran, effect(told, &self.settings)) {
                    (None, _) | (_, Idempotency::Idempotent) => {}
                    (Some(_), Idempotency::NonIdempotent) => panic!("rule 2: unsafe sent again"),
                    (Some((cell, _)), Idempotency::WithKey { scope: group, .. }) => {
                        assert!(
                            group == DeduplicationScope::All || cell == server.0 % 2,
                            "rule 2: left its group"
                        );
                    }
                }
                self.out
                    .push((id.clone(), AttemptNumber(told.sent), *server));
                (told.out, told.sent) = (true, told.sent + 1);
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let told = self.told.get_mut(id).expect("rule: a known request");
                assert!(told.open, "rule 1: a second answer");
                told.open = false;
                let refused = matches!(action, Action::Reject { .. });
                let maybe = told.ran.is_some() || told.out;
                let all = |effect| {
                    matches!(
                        effect,
                        Idempotency::WithKey {
                            scope: DeduplicationScope::All,
                            ..
                        }
                    )
                };
                let effect = effect(told, &self.settings);
                assert!(
                    !refused || !maybe || effect == Idempotency::Idempotent || all(effect),
                    "rule 2: refused"
                );
            }
            Action::SetTimer { after, token } => self.wakes.push((self.now + after, *token)),
            Action::Broadcast { bytes } | Action::SendToPeer { bytes, .. } => {
                assert!(bytes.len() <= 256, "message too long");
            }
            Action::Cancel { .. }
            | Action::Subscribe
            | Action::SendToSiblings(_)
            | Action::Report(_) => {}
        }
    }

    pub fn abandon(&mut self, id: &RequestId) {
        self.told.get_mut(id).expect("known").open = false;
        self.event(Event::RequestAbandoned { id: id.clone() });
    }
}

pub fn sends(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Send { .. }))
        .count()
}
