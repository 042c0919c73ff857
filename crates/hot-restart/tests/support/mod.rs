//! A simulated process of a node with its policy engine.
#![allow(dead_code)] // each test binary uses only some of the items

use saffronpaddle_hot_restart::*;
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::PolicyEngine;

/// The capacity of the only plan's hard limit, in units.
pub const HARD_LIMIT_CAPACITY: f64 = 6.0;
/// The refill rate of the only plan's hard limit, in units per second.
pub const HARD_LIMIT_RATE: f64 = 2.0;
/// The time at which tests start.
pub const START: Micros = 1_000_000_000;

fn settings() -> Settings {
    let class = Class {
        latency_objective: 800_000,
        late_value: 0.1,
        streamed: false,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
    };
    let plan = Plan {
        rate: 0.0,
        burst: 0.0,
        max_in_flight: None,
        priority_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.0,
        hard_limit: Some(HardLimit {
            rate: HARD_LIMIT_RATE,
            capacity: HARD_LIMIT_CAPACITY,
        }),
    };
    Settings {
        node: NodeId(0),
        node_count: 2,
        zone: ZoneId(0),
        classes: vec![class],
        plans: vec![plan],
        slow_start: SlowStartRules {
            initial_capacity: 0.3,
            warm_up_period: 1_000_000,
            overload_multiple: 3.0,
            overload_window: 1_000_000,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancellation: true,
            peer_messages: true,
        },
        cross_zone_cost: 0.0,
        discovery: DiscoveryMode::Pushed,
        event_interval: 2_000,
        peer_messages_per_s: 60.0,
        max_request_units: 1.0,
        server_idle_timeout: 15_000_000,
        partition_safe: false,
        retransmission_budget: false,
        subsetting: false,
    }
}

/// A process with one app server, and the actions that its policy engine has returned.
pub struct Process {
    pub engine: PolicyEngine,
    pub attempts_sent: u32,
    pub sibling_messages: Vec<SiblingMessage>,
    pub broadcasts: u32,
}

impl Process {
    pub fn new(now: Micros) -> Process {
        let engine = PolicyEngine::new(7, settings(), now).expect("valid settings");
        let mut process = Process {
            engine,
            attempts_sent: 0,
            sibling_messages: Vec::new(),
            broadcasts: 0,
        };
        let endpoint = Endpoint {
            server: ServerId(1),
            status: EndpointStatus::Ready,
            size: 1.0,
            ..Default::default()
        };
        process.handle(
            now,
            Event::EndpointsChanged {
                update: EndpointUpdate::Snapshot,
                endpoints: vec![endpoint],
            },
        );
        process
    }

    /// Handles an event. Attempts that are sent as a result succeed immediately.
    pub fn handle(&mut self, now: Micros, event: Event) {
        let mut out = Vec::new();
        self.engine.handle(now, event, &mut out);
        let mut sent = Vec::new();
        for action in out {
            match action {
                Action::Send { id, .. } => sent.push(id),
                Action::SendToSiblings(message) => self.sibling_messages.push(message),
                Action::Broadcast { .. } => self.broadcasts += 1,
                _ => {}
            }
        }
        self.attempts_sent += sent.len() as u32;
        for id in sent {
            let attempt_ended = Event::AttemptEnded {
                id,
                attempt: AttemptNumber(0),
                outcome: Outcome::Ok,
                request_closed: true,
            };
            self.handle(now, attempt_ended);
        }
    }

    /// Handles the arrival of a request of one unit, whose identifier contains `number`.
    pub fn request(&mut self, now: Micros, number: u32) {
        self.handle(now, Event::TimerFired { token: 0 });
        self.handle(
            now,
            Event::RequestArrived {
                id: RequestId(format!("r{number}").into()),
                class: ClassId(0),
                plan: PlanId(0),
                customer: CustomerId(9),
                units: 1.0,
                subset_first: NodeId(0),
                subset_size: 1,
                timeout: 60_000,
                complete: true,
            },
        );
    }
}

/// The first message of a parent.
pub fn state(name: &str, version: u32) -> Message {
    Message::State(Box::new(TransferredState {
        version,
        name: name.to_owned(),
        policy: Process::new(START).engine.snapshot(),
        list: None,
        finished_ids: Vec::new(),
    }))
}

/// The first message of a child.
pub fn hello(name: &str, version: u32) -> Message {
    Message::Hello(Hello {
        version,
        name: name.to_owned(),
    })
}
