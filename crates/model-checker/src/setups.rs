//! The worlds that are visited: small enough to be visited whole, each for something.

use crate::world::{class, Change, Copies, Real, Setup};
use saffronpaddle_exchange::Limits;
use saffronpaddle_policy::interface::{
    Class, DeduplicationScope, DiscoveryMode, HardLimit, Idempotency, Micros, NodeId, Permissions,
    Plan, Settings, SlowStartRules, ZoneId,
};
use saffronpaddle_policy::PolicyEngine;

/// Keyed, dropped in the cell of the first attempt for two steps.
const KEYED: Idempotency = Idempotency::WithKey {
    scope: DeduplicationScope::Domain,
    window: 2,
};

/// Bounds in steps.
fn bounds(links: usize) -> Limits {
    Limits {
        max_connections: links,
        max_idle_per_server: 2,
        idle_for: 3,
        reuse_delay: 1,
        connect_timeout: 2,
        answer_grace: 1,
        max_attempts: 4,
    }
}

/// One request before two servers in different cells, on two connections, with nothing that fails.
fn base(name: &'static str, about: &'static str) -> Setup {
    Setup {
        name,
        about,
        requests: vec![Idempotency::Idempotent],
        one_id: false,
        servers: vec![(0, 0), (0, 1)],
        changes: Vec::new(),
        sends: 2,
        bounds: bounds(2),
        patience: 3,
        horizon: 4,
        step: 1,
        copies: Copies::None,
        echoed: false,
        faults: false,
        leave: false,
        stop: false,
        ends_after: None,
        wild: false,
        verdicts: true,
        upgrades: false,
        coming: false,
        long: false,
        late: false,
    }
}

/// The worlds of CI: seconds each.
pub fn small() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![KEYED],
            faults: true,
            leave: true,
            wild: true,
            patience: 2,
            horizon: 3,
            ..base("one-keyed", "one keyed request, two attempts, all faults, a module that does anything")
        },
        Setup {
            requests: vec![Idempotency::NonIdempotent],
            faults: true,
            leave: true,
            wild: true,
            patience: 2,
            horizon: 3,
            ..base("one-unsafe", "one unsafe request, two attempts, all faults, a module that does anything")
        },
        Setup {
            changes: vec![Change::Drains(0), Change::Moves(1, 0)],
            patience: 2,
            horizon: 3,
            ..base("list", "a drain, then a move whose old address passes to the other server")
        },
        Setup {
            requests: vec![KEYED],
            sends: 3,
            horizon: 6,
            patience: 6,
            servers: vec![(0, 0)],
            bounds: bounds(1),
            ..base("window", "three attempts of a keyed request within and past its window")
        },
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            sends: 1,
            servers: vec![(0, 0)],
            copies: Copies::Prompt,
            verdicts: false,
            bounds: bounds(1),
            ..base("copies", "two requests on one server that says answers twice, right behind one another")
        },
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            sends: 1,
            servers: vec![(0, 0)],
            copies: Copies::Late,
            echoed: true,
            verdicts: false,
            bounds: bounds(1),
            horizon: 3,
            ..base("echoed", "a server that says answers twice at any time, and says whose they are")
        },
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            one_id: true,
            sends: 1,
            servers: vec![(0, 0)],
            patience: 2,
            horizon: 3,
            leave: true,
            ..base("one-id", "two requests of one id, one after the other")
        },
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            sends: 1,
            bounds: bounds(1),
            faults: true,
            verdicts: false,
            patience: 2,
            horizon: 3,
            ..base("one-wire", "two requests, two servers and room for one connection")
        },
        Setup {
            requests: vec![Idempotency::Idempotent],
            sends: 2,
            stop: true,
            verdicts: false,
            faults: true,
            patience: 2,
            horizon: 3,
            ..base("stop", "the node is told to leave at any time, between two attempts too")
        },
        Setup {
            requests: vec![Idempotency::NonIdempotent, Idempotency::Idempotent],
            sends: 1,
            servers: vec![(0, 0)],
            verdicts: false,
            ends_after: Some(1),
            patience: 3,
            horizon: 3,
            ..base("ending", "the process is told at any time that it ends before its clients stop waiting")
        },
        Setup {
            upgrades: true,
            changes: vec![Change::Drains(0)],
            faults: true,
            leave: true,
            stop: true,
            verdicts: false,
            patience: 2,
            horizon: 2,
            ..base("upgrade", "an upgrade, whose connection leaves the exchange; a drain, a stop, all faults")
        },
        Setup {
            requests: vec![Idempotency::NonIdempotent],
            coming: true,
            changes: vec![Change::Drains(0)],
            faults: true,
            leave: true,
            wild: true,
            patience: 2,
            horizon: 3,
            bounds: bounds(1),
            ..base(
                "coming",
                "a body that goes by as it comes: early answers, resets, a drain and refusals in the middle",
            )
        },
        Setup {
            long: true,
            changes: vec![Change::Drains(0)],
            faults: true,
            leave: true,
            stop: true,
            wild: true,
            patience: 2,
            horizon: 2,
            bounds: bounds(1),
            ..base(
                "passing",
                "an answer that goes by: a reset, a drain, a stop and a client that goes, in the middle",
            )
        },
        Setup {
            late: true,
            wild: true,
            leave: true,
            patience: 2,
            horizon: 4,
            ..base("late", "a loop that comes late: the clock goes on though an alarm is due")
        },
    ]
}

/// Larger ones, by command.
pub fn large() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![KEYED],
            sends: 3,
            changes: vec![Change::Drains(0), Change::Moves(1, 0)],
            faults: true,
            leave: true,
            ..base(
                "three",
                "three attempts of a keyed request, a drain, a move, all faults",
            )
        },
        Setup {
            requests: vec![KEYED, Idempotency::Idempotent],
            sends: 2,
            horizon: 3,
            changes: vec![Change::Drains(0)],
            ..base(
                "pair",
                "two requests of one customer, two attempts each, a drain",
            )
        },
        Setup {
            requests: vec![Idempotency::NonIdempotent, Idempotency::Idempotent],
            sends: 1,
            faults: true,
            leave: true,
            stop: true,
            horizon: 3,
            ..base(
                "pair-faults",
                "two requests, one attempt each, all faults, a stop",
            )
        },
    ]
}

/// The known gap: without an id in answers, a second copy that comes late passes for the next answer.
pub fn late_copies() -> Setup {
    Setup {
        requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
        sends: 1,
        servers: vec![(0, 0)],
        copies: Copies::Late,
        verdicts: false,
        bounds: bounds(1),
        horizon: 3,
        ..base(
            "late-copies",
            "a server that says answers twice at any time, and not whose they are",
        )
    }
}

/// A world with the decision module itself inside: its clock has steps of 50 ms.
pub fn real(effect: Idempotency) -> Setup {
    let ms = 1000;
    let effect = match effect {
        Idempotency::WithKey { scope: group, .. } => Idempotency::WithKey {
            scope: group,
            window: 2_000 * ms,
        },
        other => other,
    };
    let name = ["real-safe", "real-keyed", "real-unsafe"][class(effect)];
    Setup {
        requests: vec![effect],
        changes: vec![Change::Drains(0), Change::Moves(1, 0)],
        bounds: Limits {
            max_connections: 2,
            max_idle_per_server: 2,
            idle_for: 300 * ms,
            reuse_delay: 10 * ms,
            connect_timeout: 100 * ms,
            answer_grace: 2 * ms,
            max_attempts: 32,
        },
        patience: 4,
        horizon: 5,
        step: 50 * ms,
        faults: true,
        leave: true,
        // The clock passes over the module's own last word, and that of the exchange 2 ms later, in one step.
        late: true,
        ..base(
            name,
            "one request with the decision module inside, a drain, a move, all faults",
        )
    }
}

/// The decision module for such worlds: one gateway, one customer far below its quota.
///
/// # Errors
/// The settings make no sense to the module.
pub fn module(setup: &Setup) -> anyhow::Result<Real> {
    let class = |effect| Class {
        latency_objective: 100_000,
        late_value: 0.5,
        priority_weight: 1.0,
        idempotency: effect,
    };
    let window: Micros = 2_000_000;
    let group = setup.requests.iter().find_map(|effect| match effect {
        Idempotency::WithKey { scope: group, .. } => Some(*group),
        _ => None,
    });
    let keyed = Idempotency::WithKey {
        scope: group.unwrap_or(DeduplicationScope::Domain),
        window,
    };
    let settings = Settings {
        node: NodeId(0),
        node_count: 1,
        zone: ZoneId(0),
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan {
            rate: 100.0,
            burst: 100.0,
            max_in_flight: None,
            priority_weight: 1.0,
            over_quota_value: 0.0,
            over_quota_cost: 0.0,
            hard_limit: Some(HardLimit {
                rate: 200.0,
                capacity: 200.0,
            }),
        }],
        slow_start: SlowStartRules {
            initial_capacity: 0.1,
            warm_up_period: 1_000_000,
            overload_multiple: 2.0,
            overload_window: 1_000_000,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancellation: true,
            peer_messages: false,
        },
        cross_zone_cost: 0.0,
        discovery: DiscoveryMode::Pushed,
        event_interval: 1_000,
        peer_messages_per_s: 0.0,
        max_request_units: 1.0,
        server_idle_timeout: 15_000_000,
        partition_safe: false,
        retransmission_budget: false,
        subsetting: false,
    };
    Ok(Real(PolicyEngine::new(1, settings, 1_000_000)?))
}

/// A world far beyond those that can be visited whole, a little different for each seed: a dozen requests of all effects,
/// six servers, a list that keeps changing.
pub fn wide(seed: u64) -> Setup {
    let mut random = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let groups = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Domain,
    ];
    let mut effect = || match random.u8(..3) {
        0 => Idempotency::Idempotent,
        1 => Idempotency::NonIdempotent,
        at => Idempotency::WithKey {
            scope: groups[usize::from(at) + random.usize(..3) - 2],
            window: random.u64(1..12),
        },
    };
    let requests: Vec<Idempotency> = (0..12).map(|_| effect()).collect();
    let mut standing = [true; 6];
    let change = |_| {
        let at = random.usize(..6);
        if random.u8(..3) == 0 {
            return Change::Moves(at as u8, (at as u8 + 1) % 6);
        }
        standing[at] = !standing[at];
        if standing[at] {
            Change::Returns(at as u8)
        } else {
            Change::Drains(at as u8)
        }
    };
    let changes = (0..30).map(change).collect();
    Setup {
        requests,
        servers: vec![(0, 0), (0, 0), (0, 1), (1, 2), (1, 2), (1, 3)],
        changes,
        sends: 8,
        bounds: Limits {
            max_connections: 5,
            max_idle_per_server: 2,
            idle_for: 9,
            reuse_delay: 2,
            connect_timeout: 4,
            answer_grace: 1,
            max_attempts: 12,
        },
        patience: 25,
        horizon: 400,
        copies: Copies::Prompt,
        faults: true,
        leave: true,
        wild: true,
        ..base(
            "wide",
            "twelve requests of all effects, six servers, a list that keeps changing",
        )
    }
}
