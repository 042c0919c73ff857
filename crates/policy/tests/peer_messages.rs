//! Invalid messages of other nodes are ignored.

mod common;

use common::settings::{settings, IDEMPOTENT, METERED, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::interface::*;
use std::collections::BTreeSet;

#[test]
fn malformed_messages_and_unknown_senders_are_ignored() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    for bytes in [vec![], vec![9; 40], vec![1], vec![1; 300], vec![1; 13]] {
        node.receive(NodeId(1), bytes);
    }
    node.receive(NodeId(77), vec![1; 12]);
    let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
    assert_eq!(node.in_flight[0].id, id);
}

/// A faulty peer sends random bytes after the headers of kinds 0 to 5. The node must go on forwarding requests.
#[test]
fn random_messages_of_one_peer_do_not_stop_a_node_of_a_large_fleet() {
    let mut node = TestNode::with_servers(1, settings(0, 300), SECOND, 4);
    let mut random = fastrand::Rng::with_seed(3);
    for kind in 0..6u8 {
        for size in 0..80 {
            let mut bytes = vec![2, kind];
            bytes.extend((0..size).map(|_| random.u8(..)));
            node.receive(NodeId(5), bytes);
        }
    }
    // The messages of one peer, however many, must not eject servers for long.
    let mut used = BTreeSet::new();
    for customer in 0..200 {
        node.request(IDEMPOTENT, UNLIMITED, customer, 2 * SECOND);
        node.advance(400 * MILLISECOND);
        used.extend(node.in_flight.iter().map(|attempt| attempt.server));
        node.answer_all();
    }
    assert!(!used.is_empty(), "no request is forwarded any more");
}

/// A forged gossip payload contains observations of listed servers for a class that does not exist. They must not eject
/// a server.
#[test]
fn observation_of_an_unknown_class_is_ignored() {
    let mut node = TestNode::with_servers(1, settings(0, 300), SECOND, 4);
    for server in 0..4u64 {
        let short_server_id = (server.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 48) as u16;
        let mut bytes = vec![2, 5, 1, 0, 0, 255, 0, 0, 0, 0];
        bytes.extend(short_server_id.to_le_bytes());
        bytes.extend([7 * 32 + 31, 60, 1, 0]);
        node.advance(SECOND);
        node.receive(NodeId(5), bytes);
    }
    assert_eq!(
        node.engine.endpoint_counts(),
        (4, 0),
        "listed servers, and those that receive no attempts"
    );
}
