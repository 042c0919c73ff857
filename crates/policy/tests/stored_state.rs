//! The state that a process hands to its successor, and what two processes of one node tell each other. The successor
//! may be of another build: what the build before this test wrote must be read, and written under the same names.

mod common;

use common::{entry, settings, Stand, KEYED_ALL, MS, S, SAFE};
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::{PolicyEngine, StateSnapshot};
use saffronpaddle_quota::{
    GrantRequest, HardLimit, InitialTokens, LeaseDemand, LeaseReport, QuotaShard, RejectionCache,
    ShardLimits,
};
use saffronpaddle_slow_start::{
    AttemptResult, BaselineLatency, SlowStartBudget, SlowStartLimits, TransferredPermit,
};
use serde_json::Value;

const NARROW: &str = include_str!("fixtures/state_narrow.json");
const WIDE: &str = include_str!("fixtures/state_wide.json");
const SHARD: &str = include_str!("fixtures/shard.json");
const RIGHTS: &str = include_str!("fixtures/slow_start.json");
const TWINS: &str = include_str!("fixtures/twins.jsonl");

/// What a node knows after some seconds of service: attempts out, failures, a cold server, customers with ceilings.
fn busy(settings: Settings) -> Stand {
    let (me, gateways) = (settings.node, settings.node_count);
    let mut stand = Stand::with_servers(11, settings, 5 * S, 4);
    let cold = Endpoint {
        started_at: Some(stand.now),
        ..entry(9)
    };
    stand.servers(EndpointUpdate::Delta, vec![cold]);
    for round in 0..40_u64 {
        let class = if round % 3 == 0 { KEYED_ALL } else { SAFE };
        let plan = usize::try_from(round % 4).expect("small");
        let spread = if round % 5 == 0 { 1 } else { gateways };
        stand.request_of(class, plan, (round % 7, me, spread), 3 * S);
        stand.pass(90 * MS);
        if round % 2 == 0 && !stand.out.is_empty() {
            let id = stand.out[0].0.clone();
            let outcome = if round % 8 == 0 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            stand.end(&id, outcome);
        }
        if round % 10 == 3 && gateways > 1 {
            let peer = NodeId((me.0 + 1) % gateways);
            stand.event(Event::PeerMessage {
                from: peer,
                bytes: vec![2, 0, 9, 0, 0, 0, 1, 0, 0, 0, 0, 8, 0],
            });
        }
    }
    stand
}

/// Numbers as they are, so that a fixture's text says all.
fn state(settings: &Settings) -> Value {
    serde_json::to_value(busy(settings.clone()).gateway.snapshot()).expect("it is JSON")
}

fn cases() -> [(&'static str, Settings, &'static str); 2] {
    let wide = Settings {
        partition_safe: true,
        ..settings(1, 300)
    };
    [("narrow", settings(0, 3), NARROW), ("wide", wide, WIDE)]
}

#[test]
fn a_state_has_the_names_and_values_of_the_fixture() {
    for (name, settings, fixture) in cases() {
        let now = state(&settings);
        let then: Value = serde_json::from_str(fixture).expect("a fixture of JSON");
        assert!(now == then, "{name}:\n{now:#}");
    }
}

#[test]
fn a_state_of_the_build_before_is_read_whole_and_kept_on() {
    for (name, settings, fixture) in cases() {
        let then: Value = serde_json::from_str(fixture).expect("a fixture of JSON");
        let kept: StateSnapshot = serde_json::from_str(fixture).expect("the state is read");
        assert_eq!(
            serde_json::to_value(&kept).expect("it is JSON"),
            then,
            "{name}: nothing is passed over"
        );
        let sizes = (
            then["stores"].as_array().map(Vec::len),
            then["servers"].as_array().map(Vec::len),
        );
        assert_eq!(
            (Some(kept.size().customers), Some(kept.size().servers)),
            sizes,
            "{name}"
        );
        let mut gateway = PolicyEngine::new(11, settings.clone(), 20 * S).expect("sound settings");
        gateway.restore(kept, 1);
        let after = serde_json::to_value(gateway.snapshot()).expect("it is JSON");
        for field in [
            "born", "newcomer", "stores", "parts", "latency", "typical", "aims", "retries", "out",
        ] {
            assert_eq!(after[field], then[field], "{name}: {field}");
        }
    }
}

#[test]
fn what_two_processes_tell_each_other_has_the_form_of_the_fixture() {
    let terms = QuotaCharge {
        plan: PlanId(2),
        units: 1.5,
        set: (NodeId(4), 3),
    };
    let out = |first| {
        SiblingMessage::AttemptStarted(SiblingAttempt {
            request: RequestId("rq".into()),
            attempt: AttemptNumber(1),
            server: ServerId(8),
            customer: CustomerId(9),
            class: ClassId(0),
            queued_since: 10,
            sent_at: 11,
            in_flight: 2.0,
            charge: first,
        })
    };
    let end = SiblingMessage::AttemptEnded {
        request: RequestId("rq".into()),
        attempt: AttemptNumber(1),
    };
    let told = [out(None), out(Some(terms)), end];
    let text: String = told
        .iter()
        .map(|twin| serde_json::to_string(twin).expect("it is JSON") + "\n")
        .collect();
    assert_eq!(text, TWINS, "\n{text}");
    let read: Vec<SiblingMessage> = TWINS
        .lines()
        .map(|line| serde_json::from_str(line).expect("it is read"))
        .collect();
    assert_eq!(read, told);
    // A build before told nothing of a first attempt's terms.
    let older = TWINS
        .lines()
        .next()
        .expect("a line")
        .replace(",\"first\":null", "");
    assert_eq!(
        serde_json::from_str::<SiblingMessage>(&older).expect("it is read"),
        told[0]
    );
}

/// A shard that has granted, lent and given out places, and what a node remembers of it.
#[test]
fn a_shard_with_leases_and_what_is_remembered_of_it_have_the_form_of_the_fixture() {
    let terms = ShardLimits {
        rate: 8.0,
        capacity: 16.0,
        max_in_flight: Some(3),
        hard_limit: Some(HardLimit {
            rate: 10.0,
            capacity: 20.0,
        }),
    };
    let mut shard = QuotaShard::open(
        5 * S,
        InitialTokens::AccruedSince {
            units: 8.0,
            elapsed: S,
        },
        S,
        &terms,
    );
    let ask = |serial| GrantRequest {
        requester: 4,
        serial,
        units: 1.0,
    };
    let said = shard.request_grant(5 * S + MS, ask(1), &terms, 100 * MS);
    shard.request_grant(5 * S + 2 * MS, ask(2), &terms, 100 * MS);
    let wish = LeaseDemand {
        rate: 1.0,
        current: Some(LeaseReport {
            rate: 0.5,
            capacity: 1.0,
            remaining: S,
        }),
    };
    shard.issue_lease(5 * S + 3 * MS, ask(3), &wish, &terms, 1.0);
    let none_held = LeaseDemand {
        current: None,
        ..wish
    };
    let home = GrantRequest {
        requester: 9,
        serial: 7,
        units: 0.0,
    };
    shard.issue_lease(5 * S + 4 * MS, home, &none_held, &terms, 1.0);
    let mut memory = RejectionCache::default();
    memory.record_response(5 * S, &said, true);
    memory.record_grant(5 * S, 1.0);
    memory.admit_without_owner(6 * S, 1.0);
    let written = serde_json::json!({"shard": shard, "memory": memory});
    let fixture: Value = serde_json::from_str(SHARD).expect("a fixture of JSON");
    assert!(written == fixture, "\n{written:#}");
    assert_eq!(
        serde_json::from_value::<QuotaShard>(fixture["shard"].clone()).expect("it is read"),
        shard
    );
    assert_eq!(
        serde_json::from_value::<RejectionCache>(fixture["memory"].clone()).expect("it is read"),
        memory
    );
}

/// Rights to send to a cold server that were earned, given away and taken.
#[test]
fn rights_to_a_cold_server_have_the_form_of_the_fixture() {
    let rules = SlowStartLimits {
        node_count: 3,
        node: 1,
        up_since: 0,
        overload_multiple: 3.0,
        overload_window: S,
    };
    let mut budget = SlowStartBudget::default();
    budget.on_server_start(5 * S, 10 * S);
    budget.on_server_start(6 * S, 10 * S);
    budget.consume(8 * S, 4, &rules);
    let answer = AttemptResult {
        served: true,
        latency: 40 * MS,
        latency_objective: 400 * MS,
        capacity_fraction: 0.3,
        random_fraction: 0.9,
    };
    let mut natural = BaselineLatency::default();
    budget.record_result(8 * S, 1, answer, &mut natural, &rules);
    let gift = TransferredPermit {
        server_started_at: 6 * S,
        expires_at: 8 * S + 500 * MS,
        sequence: 3,
    };
    budget.receive(8 * S + MS, 2, gift, &rules);
    budget.transfer_unused(8 * S + 2 * MS, 4, &rules);
    let written = serde_json::json!({"budget": budget, "natural": natural});
    let fixture: Value = serde_json::from_str(RIGHTS).expect("a fixture of JSON");
    assert!(written == fixture, "\n{written:#}");
    assert_eq!(
        serde_json::from_value::<SlowStartBudget>(fixture["budget"].clone()).expect("it is read"),
        budget
    );
}
