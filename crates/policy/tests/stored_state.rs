//! Formats of the state that a process passes to its child at a hot restart, and of the messages between sibling
//! processes of one node. The child may be of another build, so the output of the build before this test was added must
//! be readable, and the names must stay the same.

mod common;

use common::settings::{endpoint, settings, IDEMPOTENT, KEYED_EVERYWHERE};
use common::test_node::{TestCustomer, TestNode};
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::{PolicyEngine, StateSnapshot};
use saffronpaddle_quota::{
    GrantRequest, GrantResponse, HardLimit, InitialTokens, LeaseDemand, LeaseReport, QuotaShard,
    RejectionCache, ShardLimits,
};
use saffronpaddle_slow_start::{
    AttemptResult, BaselineLatency, SlowStartBudget, SlowStartLimits, TransferredPermit,
};
use serde_json::Value;

/// State of a node of a small fleet.
const SMALL_FLEET_STATE: &str = include_str!("fixtures/state_small_fleet.json");
/// State of a node of a large fleet.
const LARGE_FLEET_STATE: &str = include_str!("fixtures/state_large_fleet.json");
/// A shard, and the rejection cache of a requester.
const SHARD: &str = include_str!("fixtures/shard.json");
/// A slow-start budget with permits, and a baseline latency.
const SLOW_START: &str = include_str!("fixtures/slow_start.json");
/// Messages between sibling processes, one per line.
const SIBLING_MESSAGES: &str = include_str!("fixtures/sibling_messages.jsonl");

/// A node after some seconds of service, with attempts in flight, failures, a server in slow start and customers with
/// hard limits.
fn busy_node(settings: Settings) -> TestNode {
    let this_node = settings.node;
    let node_count = settings.node_count;
    let mut node = TestNode::with_servers(11, settings, 5 * SECOND, 4);
    let starting = Endpoint {
        started_at: Some(node.now),
        ..endpoint(9)
    };
    node.update_endpoints(EndpointUpdate::Delta, vec![starting]);
    for round in 0..40_u64 {
        let class = if round % 3 == 0 {
            KEYED_EVERYWHERE
        } else {
            IDEMPOTENT
        };
        let plan = usize::try_from(round % 4).expect("a plan number is below 4");
        let customer = TestCustomer {
            id: round % 7,
            first: this_node,
            subset_size: if round % 5 == 0 { 1 } else { node_count },
        };
        node.request_of(class, plan, customer, 3 * SECOND);
        node.advance(90 * MILLISECOND);
        if round % 2 == 0 && !node.in_flight.is_empty() {
            let id = node.in_flight[0].id.clone();
            let outcome = if round % 8 == 0 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            node.end_attempt(&id, outcome);
        }
        if round % 10 == 3 && node_count > 1 {
            let peer = NodeId((this_node.0 + 1) % node_count);
            node.receive(peer, vec![2, 0, 9, 0, 0, 0, 1, 0, 0, 0, 0, 8, 0]);
        }
    }
    node
}

/// The state of a busy node as JSON.
fn state(settings: &Settings) -> Value {
    serde_json::to_value(busy_node(settings.clone()).engine.snapshot())
        .expect("plain data can be serialized")
}

/// The name, settings and fixture of each state.
fn cases() -> [(&'static str, Settings, &'static str); 2] {
    let large_fleet = Settings {
        partition_safe: true,
        ..settings(1, 300)
    };
    [
        ("small fleet", settings(0, 3), SMALL_FLEET_STATE),
        ("large fleet", large_fleet, LARGE_FLEET_STATE),
    ]
}

#[test]
fn state_has_the_names_and_values_of_the_fixture() {
    for (name, settings, fixture) in cases() {
        let written = state(&settings);
        let expected: Value = serde_json::from_str(fixture).expect("the fixture is JSON");
        assert!(
            written == expected,
            "{name}: the written state differs from the fixture:\n{written:#}"
        );
    }
}

#[test]
fn state_of_the_previous_build_is_read_completely_and_written_again() {
    for (name, settings, fixture) in cases() {
        let fixture_json: Value = serde_json::from_str(fixture).expect("the fixture is JSON");
        let state: StateSnapshot =
            serde_json::from_str(fixture).expect("the fixture is a stored state");
        assert_eq!(
            serde_json::to_value(&state).expect("plain data can be serialized"),
            fixture_json,
            "{name}: a field of the fixture is ignored or written differently"
        );
        let sizes = (
            fixture_json["stores"].as_array().map(Vec::len),
            fixture_json["servers"].as_array().map(Vec::len),
        );
        assert_eq!(
            (Some(state.size().customers), Some(state.size().servers)),
            sizes,
            "{name}: customers and servers"
        );
        let mut engine =
            PolicyEngine::new(11, settings.clone(), 20 * SECOND).expect("the settings are valid");
        engine.restore(state, 1);
        let written =
            serde_json::to_value(engine.snapshot()).expect("plain data can be serialized");
        for field in [
            "born", "newcomer", "stores", "parts", "latency", "typical", "aims", "retries", "out",
        ] {
            assert_eq!(
                written[field], fixture_json[field],
                "{name}: field {field} is not restored"
            );
        }
    }
}

#[test]
fn messages_between_sibling_processes_have_the_form_of_the_fixture() {
    let charge = QuotaCharge {
        plan: PlanId(2),
        units: 1.5,
        subset: (NodeId(4), 3),
    };
    let started = |charge| {
        SiblingMessage::AttemptStarted(SiblingAttempt {
            request: RequestId("rq".into()),
            attempt: AttemptNumber(1),
            server: ServerId(8),
            customer: CustomerId(9),
            class: ClassId(0),
            queued_since: 10,
            sent_at: 11,
            in_flight: 2.0,
            charge,
        })
    };
    let ended = SiblingMessage::AttemptEnded {
        request: RequestId("rq".into()),
        attempt: AttemptNumber(1),
    };
    let messages = [started(None), started(Some(charge)), ended];
    let written: String = messages
        .iter()
        .map(|message| serde_json::to_string(message).expect("plain data can be serialized") + "\n")
        .collect();
    assert_eq!(
        written, SIBLING_MESSAGES,
        "the messages differ from the fixture:\n{written}"
    );
    let read: Vec<SiblingMessage> = SIBLING_MESSAGES
        .lines()
        .map(|line| serde_json::from_str(line).expect("the fixture can be read"))
        .collect();
    assert_eq!(read, messages);
    // An earlier build does not send the charge of a first attempt.
    let older = SIBLING_MESSAGES
        .lines()
        .next()
        .expect("the fixture has a line")
        .replace(",\"first\":null", "");
    assert_eq!(
        serde_json::from_str::<SiblingMessage>(&older).expect("the fixture can be read"),
        messages[0]
    );
}

/// Shard limits with every limit set.
fn shard_limits() -> ShardLimits {
    ShardLimits {
        rate: 8.0,
        capacity: 16.0,
        max_in_flight: Some(3),
        hard_limit: Some(HardLimit {
            rate: 10.0,
            capacity: 20.0,
        }),
    }
}

/// A shard that has granted requests with in-flight permits and issued leases, and its response to the first request.
fn shard_with_leases() -> (QuotaShard, GrantResponse) {
    let limits = shard_limits();
    let mut shard = QuotaShard::open(
        5 * SECOND,
        InitialTokens::AccruedSince {
            units: 8.0,
            elapsed: SECOND,
        },
        SECOND,
        &limits,
    );
    let grant_request = |serial| GrantRequest {
        requester: 4,
        serial,
        units: 1.0,
    };
    let first_response = shard.decide_grant(
        5 * SECOND + MILLISECOND,
        grant_request(1),
        &limits,
        100 * MILLISECOND,
    );
    shard.decide_grant(
        5 * SECOND + 2 * MILLISECOND,
        grant_request(2),
        &limits,
        100 * MILLISECOND,
    );
    let demand = LeaseDemand {
        rate: 1.0,
        current: Some(LeaseReport {
            rate: 0.5,
            capacity: 1.0,
            remaining: SECOND,
        }),
    };
    shard.issue_lease(
        5 * SECOND + 3 * MILLISECOND,
        grant_request(3),
        &demand,
        &limits,
        1.0,
    );
    let first_demand = LeaseDemand {
        current: None,
        ..demand
    };
    let request_for_lease_only = GrantRequest {
        requester: 9,
        serial: 7,
        units: 0.0,
    };
    shard.issue_lease(
        5 * SECOND + 4 * MILLISECOND,
        request_for_lease_only,
        &first_demand,
        &limits,
        1.0,
    );
    (shard, first_response)
}

#[test]
fn shard_with_leases_and_rejection_cache_have_the_form_of_the_fixture() {
    let (shard, response) = shard_with_leases();
    let mut rejection_cache = RejectionCache::default();
    rejection_cache.record_response(5 * SECOND, &response, true);
    rejection_cache.record_grant(5 * SECOND, 1.0);
    rejection_cache.admit_without_owner(6 * SECOND, 1.0);
    let written = serde_json::json!({"shard": shard, "memory": rejection_cache});
    let fixture: Value = serde_json::from_str(SHARD).expect("the fixture is JSON");
    assert!(
        written == fixture,
        "the written state differs from the fixture:\n{written:#}"
    );
    assert_eq!(
        serde_json::from_value::<QuotaShard>(fixture["shard"].clone())
            .expect("the fixture can be read"),
        shard
    );
    assert_eq!(
        serde_json::from_value::<RejectionCache>(fixture["memory"].clone())
            .expect("the fixture can be read"),
        rejection_cache
    );
}

/// The budget contains permits that were earned, received and transferred.
#[test]
fn slow_start_permits_have_the_form_of_the_fixture() {
    let limits = SlowStartLimits {
        node_count: 3,
        node: 1,
        process_started_at: 0,
        overload_multiple: 3.0,
        overload_window: SECOND,
    };
    let mut budget = SlowStartBudget::default();
    budget.on_server_start(5 * SECOND, 10 * SECOND);
    budget.on_server_start(6 * SECOND, 10 * SECOND);
    budget.take_permit(8 * SECOND, 4, &limits);
    let result = AttemptResult {
        served: true,
        latency: 40 * MILLISECOND,
        latency_objective: 400 * MILLISECOND,
        capacity_fraction: 0.3,
        random_fraction: 0.9,
    };
    let mut baseline = BaselineLatency::default();
    budget.record_result(8 * SECOND, 1, result, &mut baseline, &limits);
    let permit = TransferredPermit {
        server_started_at: 6 * SECOND,
        expires_at: 8 * SECOND + 500 * MILLISECOND,
        sequence: 3,
    };
    budget.receive_transfer(8 * SECOND + MILLISECOND, 2, permit, &limits);
    budget.transfer_unused(8 * SECOND + 2 * MILLISECOND, 4, &limits);
    let written = serde_json::json!({"budget": budget, "natural": baseline});
    let fixture: Value = serde_json::from_str(SLOW_START).expect("the fixture is JSON");
    assert!(
        written == fixture,
        "the written state differs from the fixture:\n{written:#}"
    );
    assert_eq!(
        serde_json::from_value::<SlowStartBudget>(fixture["budget"].clone())
            .expect("the fixture can be read"),
        budget
    );
}
