//! Compatibility of the encoded messages. The two processes of a hot restart may run different builds, so lines from
//! builds older than this test must still be decoded, and messages must be encoded to exactly the same lines.

use saffronpaddle_hot_restart::*;
use saffronpaddle_policy::interface::*;
use serde_json::Value;

/// The encoded [`messages`], one per line.
const LINES: &str = include_str!("fixtures/lines.jsonl");
/// State of the policy engine of a node of a large fleet, encoded by a build older than this test.
const STATE: &str = include_str!("../../policy/tests/fixtures/state_large_fleet.json");

/// A message of each kind.
fn messages() -> Vec<Message> {
    let state = TransferredState {
        version: VERSION,
        name: "n0".to_owned(),
        policy: saffronpaddle_policy::StateSnapshot::default(),
        list: Some(serde_json::json!({"hosts": [1, 2]})),
        finished_ids: Vec::new(),
    };
    let started = SiblingAttempt {
        request: RequestId("rq".into()),
        attempt: AttemptNumber(0),
        server: ServerId(8),
        customer: CustomerId(9),
        class: ClassId(1),
        queued_since: 10,
        sent_at: 11,
        in_flight: 2.0,
        charge: Some(QuotaCharge {
            plan: PlanId(2),
            units: 1.5,
            subset: (NodeId(4), 3),
        }),
    };
    vec![
        Message::Hello(Hello {
            version: VERSION,
            name: "n0".to_owned(),
        }),
        Message::State(Box::new(state)),
        Message::Serving,
        Message::Sibling(SiblingMessage::AttemptStarted(started)),
        Message::Sibling(SiblingMessage::AttemptEnded {
            request: RequestId("rq".into()),
            attempt: AttemptNumber(0),
        }),
        Message::Peer {
            from: NodeId(7),
            bytes: vec![2, 0, 255],
        },
    ]
}

#[test]
fn every_message_is_encoded_as_in_the_fixture() {
    let encoded: String = messages().iter().map(encode).collect();
    assert_eq!(
        encoded, LINES,
        "the encoded messages differ from the fixture:\n{encoded}"
    );
}

#[test]
fn every_line_of_the_fixture_is_decoded() {
    let decoded: Vec<Option<Message>> = LINES.lines().map(|line| decode(line.as_bytes())).collect();
    assert_eq!(
        decoded,
        messages().into_iter().map(Some).collect::<Vec<_>>()
    );
}

/// A line with a complete state from an older build must be decoded without loss.
#[test]
fn a_line_with_a_complete_state_is_decoded() {
    let policy_state: Value = serde_json::from_str(STATE).expect("the fixture is JSON");
    let line = serde_json::json!({"state": {"version": 1, "name": "n0", "module": policy_state}});
    let Some(Message::State(state)) = decode(line.to_string().as_bytes()) else {
        panic!("the line is not decoded as a state")
    };
    assert_eq!(
        serde_json::to_value(&state.policy).expect("a state can be encoded"),
        policy_state
    );
    assert_eq!((state.version, state.list), (1, None));
}

/// A newer build may send fields and messages that this build does not know.
#[test]
fn unknown_fields_are_ignored_and_unknown_messages_are_not_decoded() {
    let hello = br#"{"hello":{"version":1,"name":"n0","colour":"red"}}"#;
    assert_eq!(decode(hello), Some(messages().swap_remove(0)));
    assert_eq!(decode(br#"{"farewell":{}}"#), None);
}
