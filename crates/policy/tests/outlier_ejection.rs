//! Servers that fail or are silent are left, and no others.

mod common;

use common::settings::{settings, IDEMPOTENT, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::interface::*;

/// A server accepts a request and answers nothing. The attempt is cancelled and reported, and the request retried at another
/// server.
#[test]
fn silent_server_is_left_and_its_idempotent_request_retried_elsewhere() {
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let id = node.request(IDEMPOTENT, UNLIMITED, 7, 3 * SECOND);
    let server = node.in_flight[0].server;
    let actions = node.advance(700 * MILLISECOND);
    assert!(actions.contains(&Action::Cancel {
        id: id.clone(),
        attempt: AttemptNumber(0)
    }));
    assert!(node
        .actions
        .iter()
        .any(|action| matches!(action, Action::Report(_))));
    node.end_attempt(&id, Outcome::Cancelled);
    assert_ne!(node.in_flight[0].server, server, "sent elsewhere");
}

/// A server hangs and takes no connection, so that its health probes fail like links that are cut. That must not keep
/// requests away from the healthy server of its zone.
#[test]
fn failed_probes_of_one_server_do_not_count_against_its_zone() {
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let mut at_healthy_neighbour = 0;
    for number in 0..600 {
        // From now on it takes no connection.
        let refuses_connections = number >= 300;
        let id = node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
        node.advance(10 * MILLISECOND);
        while let Some(server) = node.server_of(&id) {
            let outcome = match server.0 {
                0 if refuses_connections => Outcome::Unreachable,
                0 => {
                    // Silent until the attempt is cancelled and the server ejected.
                    node.advance(900 * MILLISECOND);
                    Outcome::Cancelled
                }
                _ => Outcome::Ok,
            };
            node.end_attempt(&id, outcome);
            at_healthy_neighbour += u32::from(refuses_connections && server.0 == 2);
        }
        node.advance(40 * MILLISECOND);
    }
    assert!(
        at_healthy_neighbour > 60,
        "{at_healthy_neighbour} of 300 went to the healthy server of that zone"
    );
}
