//! The lines of a hand-over. The two processes may be of different builds, so each line of the build before this test
//! must be read, and written letter by letter the same.

use saffronpaddle_hot_restart::*;
use saffronpaddle_policy::interface::*;
use serde_json::Value;

const LINES: &str = include_str!("fixtures/lines.jsonl");
const STATE: &str = include_str!("../../policy/tests/fixtures/state_wide.json");

fn words() -> Vec<Message> {
    let state = TransferredState {
        version: VERSION,
        name: "n0".to_owned(),
        policy: saffronpaddle_policy::StateSnapshot::default(),
        list: Some(serde_json::json!({"hosts": [1, 2]})),
    };
    let begun = SiblingAttempt {
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
        Message::Sibling(SiblingMessage::AttemptStarted(begun)),
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
fn every_line_is_written_as_the_fixture_has_it() {
    let written: String = words().iter().map(write).collect();
    assert_eq!(written, LINES, "\n{written}");
}

#[test]
fn every_line_of_the_fixture_is_read() {
    let read: Vec<Option<Message>> = LINES.lines().map(|line| read(line.as_bytes())).collect();
    assert_eq!(read, words().into_iter().map(Some).collect::<Vec<_>>());
}

/// The line that carries a state of the build before is understood, with all that was kept in it.
#[test]
fn a_line_with_a_whole_state_is_read() {
    let module: Value = serde_json::from_str(STATE).expect("a fixture of JSON");
    let line = serde_json::json!({"state": {"version": 1, "name": "n0", "module": module}});
    let Some(Message::State(state)) = read(line.to_string().as_bytes()) else {
        panic!("it is a state")
    };
    assert_eq!(
        serde_json::to_value(&state.policy).expect("it is JSON"),
        module
    );
    assert_eq!((state.version, state.list), (1, None));
}

/// A newer build may say more in a line, and lines of kinds that this one does not know.
#[test]
fn fields_that_are_not_known_are_passed_over_and_unknown_lines_are_told_apart() {
    let hello = br#"{"hello":{"version":1,"name":"n0","colour":"red"}}"#;
    assert_eq!(read(hello), Some(words().swap_remove(0)));
    assert_eq!(read(br#"{"farewell":{}}"#), None);
}
