//! A small stand for the module: settings, and a keeper of the rules that knows nothing of its insides.
#![allow(dead_code)]

use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::Gateway;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub const SAFE: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const UNSAFE: ClassId = ClassId(2);
pub const KEYED_ALL: ClassId = ClassId(3);

pub fn settings(me: u32, gateways: u32) -> Settings {
    let class = |worth, effect| Class {
        aim: 800 * MS,
        late_value: 0.2,
        worth,
        effect,
    };
    let keyed = |group| Effect::Keyed {
        group,
        window: 500 * MS,
    };
    let plan = Plan {
        rate: 1.0,
        burst: 4.0,
        at_once: None,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 0.5,
        ceiling: None,
    };
    let ceiling = Some(Ceiling {
        rate: 8.0,
        depth: 12.0,
    });
    Settings {
        me: GatewayId(me),
        gateways,
        zone: ZoneId(0),
        classes: vec![
            class(1.0, Effect::Safe),
            class(2.0, keyed(Group::Cell)),
            class(9.0, Effect::Unsafe),
            class(3.0, keyed(Group::All)),
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
                ceiling,
                ..plan.clone()
            },
            Plan {
                rate: 1000.0,
                burst: 1000.0,
                at_once: Some(2),
                ..plan
            },
        ],
        rules: Rules {
            cold_from: 0.2,
            cold_for: 10 * S,
            fall_multiple: 3.0,
            fall_window: S,
        },
        allowed: Allowed {
            attempts: 3,
            cancel: true,
            messages: true,
        },
        cross_zone: 0.0,
        discovery: Discovery::Pushed,
        period: 2 * MS,
        peer_messages_per_s: 60.0,
        most_units: 1.0,
        conn_idle: 15_000_000,
        fenced: false,
        spare_words: false,
        working_set: true,
    }
}

pub fn entry(server: u64) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: ZoneId((server % 2) as u32),
        cell: CellId(server % 2),
        standing: Standing::Ready,
        size: 1.0,
        started: None,
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
    pub gateway: Gateway,
    pub settings: Settings,
    pub wakes: Vec<(Micros, u64)>,
    pub list: BTreeMap<ServerId, ServerEntry>,
    pub out: Vec<(RequestId, AttemptNo, ServerId)>,
    told: BTreeMap<RequestId, Told>,
    pub log: Vec<Action>,
    next: u64,
}

impl Stand {
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Self {
        let gateway = Gateway::new(seed, settings.clone(), now).expect("sound settings");
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
        stand.servers(ListKind::Complete, (0..servers).map(entry).collect());
        stand
    }

    pub fn servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Complete {
            self.list.clear();
        }
        for entry in &entries {
            self.list.insert(entry.server, *entry);
        }
        self.event(Event::Servers { kind, entries });
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
            (customer, GatewayId(0), self.settings.gateways),
            patience,
        )
    }

    /// The same of a customer with a set of its own.
    pub fn request_of(
        &mut self,
        class: ClassId,
        plan: usize,
        (customer, first, spread): (u64, GatewayId, u32),
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
        self.event(Event::Request {
            id: id.clone(),
            class,
            plan: PlanId(plan),
            customer: CustomerId(customer),
            units: 1.0,
            first,
            spread,
            patience,
            whole: true,
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
            Outcome::Full | Outcome::Unreachable | Outcome::NotSent
        ) {
            told.ran.get_or_insert((server.0 % 2, self.now));
        }
        let closed = outcome == Outcome::Ok || !told.open;
        if outcome == Outcome::Ok {
            told.open = false;
        }
        self.event(Event::Ended {
            id,
            attempt,
            outcome,
            closed,
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
                actions.extend(self.event(Event::Woke { token }));
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
        let effect = |told: &Told, settings: &Settings| settings.classes[told.class].effect;
        match action {
            Action::Send { id, server, .. } => {
                let told = self.told.get_mut(id).expect("rule: a known request");
                assert!(told.open, "rule 1: sent after its answer");
                assert!(!told.out, "rule 2: two attempts at once");
                let most = self.settings.allowed.attempts;
                assert!(
                    told.sent - told.unsent < most && told.sent < 2 * most,
                    "too many attempts"
                );
                assert_eq!(
                    self.list[server].standing,
                    Standing::Ready,
                    "rule 3: sent to a draining server"
                );
                match (told.ran, effect(told, &self.settings)) {
                    (None, _) | (_, Effect::Safe) => {}
                    (Some(_), Effect::Unsafe) => panic!("rule 2: unsafe sent again"),
                    (Some((cell, _)), Effect::Keyed { group, .. }) => {
                        assert!(
                            group == Group::All || cell == server.0 % 2,
                            "rule 2: left its group"
                        );
                    }
                }
                self.out.push((id.clone(), AttemptNo(told.sent), *server));
                (told.out, told.sent) = (true, told.sent + 1);
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                let told = self.told.get_mut(id).expect("rule: a known request");
                assert!(told.open, "rule 1: a second answer");
                told.open = false;
                let refused = matches!(action, Action::Refuse { .. });
                let maybe = told.ran.is_some() || told.out;
                let all = |effect| {
                    matches!(
                        effect,
                        Effect::Keyed {
                            group: Group::All,
                            ..
                        }
                    )
                };
                let effect = effect(told, &self.settings);
                assert!(
                    !refused || !maybe || effect == Effect::Safe || all(effect),
                    "rule 2: refused"
                );
            }
            Action::Wake { after, token } => self.wakes.push((self.now + after, *token)),
            Action::TellAll { bytes } | Action::Tell { bytes, .. } => {
                assert!(bytes.len() <= 256, "message too long");
            }
            Action::Cancel { .. } | Action::Follow | Action::Twin(_) | Action::Log(_) => {}
        }
    }

    pub fn abandon(&mut self, id: &RequestId) {
        self.told.get_mut(id).expect("known").open = false;
        self.event(Event::Abandoned { id: id.clone() });
    }
}

pub fn sends(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Send { .. }))
        .count()
}
