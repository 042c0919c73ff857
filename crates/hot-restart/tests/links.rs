//! Links between processes: handshakes, timeouts, malformed lines, and the recipients of messages.

mod support;

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_hot_restart::*;
use saffronpaddle_policy::interface::*;
use std::time::Duration;
use support::{hello, state, Process, START};

const NODE: &str = "n0";

fn open_link(role: Role) -> Link {
    Link::new(Duration::ZERO, role, NODE, &mut Vec::new())
}

fn receive(link: &mut Link, message: Option<Message>) -> Vec<LinkAction> {
    let mut out = Vec::new();
    link.on_message(message, &mut out);
    out
}

/// If the response to its greeting is not the state of its node, a child must end the link, so that it starts without
/// a state.
#[test]
fn a_child_ends_its_link_on_any_response_but_a_state_of_its_node() {
    let cases = [
        (None, CloseReason::Malformed),
        (Some(state("n1", VERSION)), CloseReason::OtherNode),
        (Some(state(NODE, VERSION + 1)), CloseReason::NewerVersion),
        (Some(Message::Serving), CloseReason::Malformed),
        (Some(hello(NODE, VERSION)), CloseReason::Malformed),
    ];
    for (message, reason) in cases {
        let mut link = open_link(Role::Child);
        assert_eq!(receive(&mut link, message), [LinkAction::Close(reason)]);
        assert!(
            receive(&mut link, Some(state(NODE, VERSION))).is_empty(),
            "an ended link ignores messages"
        );
    }
    // The link to a parent that stalls times out.
    let (mut link, mut out) = (open_link(Role::Child), Vec::new());
    let before_timeout = Link::STATE_TIMEOUT
        .checked_sub(Duration::from_millis(1))
        .expect("the timeout is longer than 1 ms");
    link.tick(before_timeout, &mut out);
    assert!(
        out.is_empty(),
        "the link waits for the state until its timeout"
    );
    link.tick(Link::STATE_TIMEOUT, &mut out);
    assert_eq!(out, [LinkAction::Close(CloseReason::TimedOut)]);
    // An older parent accepts the greeting of a newer child.
    let mut link = open_link(Role::Parent);
    assert_eq!(
        receive(&mut link, Some(hello(NODE, VERSION + 1))),
        [LinkAction::SendState]
    );
    assert!(link.is_live() && !link.has_successor());
    assert_eq!(
        receive(&mut link, Some(Message::Serving)),
        [LinkAction::ChildServing]
    );
    assert!(link.has_successor() && receive(&mut link, Some(Message::Serving)).is_empty());
}

#[test]
fn attempts_go_to_all_other_processes_and_peer_datagrams_to_parents_only() {
    // A process that has a parent and a child.
    let mut middle = ProcessGroup::new(NODE);
    let (parent, _) = middle
        .add_link(Duration::ZERO, Role::Child)
        .expect("the group has room for a link");
    let (child, _) = middle
        .add_link(Duration::ZERO, Role::Parent)
        .expect("the group has room for a link");
    let attempt_ended = Message::Sibling(SiblingMessage::AttemptEnded {
        request: RequestId("a".into()),
        attempt: AttemptNumber(0),
    });
    assert!(
        middle.recipients(&attempt_ended, None).is_empty(),
        "links get no messages before their handshakes"
    );
    assert!(!middle.has_live_link() && !middle.has_no_child());
    middle.update_link(parent, |link, out| {
        link.on_message(Some(state(NODE, VERSION)), out);
    });
    middle.update_link(child, |link, out| {
        link.on_message(Some(hello(NODE, VERSION)), out);
    });
    assert_eq!(middle.recipients(&attempt_ended, None), [parent, child]);
    assert_eq!(middle.recipients(&attempt_ended, Some(parent)), [child]);
    assert_eq!(middle.recipients(&attempt_ended, Some(child)), [parent]);
    let peer_datagram = Message::Peer {
        from: NodeId(1),
        bytes: vec![1],
    };
    assert_eq!(middle.recipients(&peer_datagram, Some(child)), [parent]);
    middle.update_link(child, Link::on_disconnect);
    assert!(
        middle.has_live_link() && middle.has_no_child(),
        "only the link to the parent is left"
    );
    // The number of links is limited, so the loop ends.
    while middle.add_link(Duration::ZERO, Role::Parent).is_some() {}
    assert!(
        middle.add_link(Duration::ZERO, Role::Parent).is_none(),
        "a group that is full stays full"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// Arbitrary bytes in place of a message end the link and have no other effect.
    #[test]
    fn malformed_lines_end_the_link(bytes in prop::collection::vec(any::<u8>(), 0..300), handshake_complete: bool) {
        let mut link = open_link(Role::Parent);
        if handshake_complete {
            receive(&mut link, Some(hello(NODE, VERSION)));
        }
        if decode(&bytes).is_none() {
            let expected = vec![LinkAction::Close(CloseReason::Malformed)];
            prop_assert_eq!(receive(&mut link, decode(&bytes)), expected);
        }
    }

    /// A state that is truncated or has one changed byte is either restored or rejected as a whole, and the policy
    /// engine still handles requests afterwards.
    #[test]
    fn a_corrupted_state_is_rejected_or_restored(offset in 0usize..10_000, byte: u8, truncate: bool) {
        let mut line = encode(&state(NODE, VERSION)).into_bytes();
        let offset = offset % line.len();
        if truncate { line.truncate(offset) } else { line[offset] = byte }
        let mut link = open_link(Role::Child);
        for action in receive(&mut link, decode(&line)) {
            if let LinkAction::Restore(state) = action {
                let mut process = Process::new(START);
                process.engine.restore(state.policy, 0);
                process.request(START + 100_000, 1);
            }
        }
    }
}
