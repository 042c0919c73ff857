//! Ejection of servers that fail or do not respond, and of no others.

mod common;

use common::settings::{settings, IDEMPOTENT, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::interface::*;

/// A server accepts a request and sends no response. The attempt is cancelled and reported, and the request is retried
/// at another server.
#[test]
fn attempt_at_silent_server_is_cancelled_and_retried_at_another_server() {
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let id = node.request(IDEMPOTENT, UNLIMITED, 7, 3 * SECOND);
    let server = node.in_flight[0].server;
    let actions = node.advance(700 * MILLISECOND);
    assert!(
        actions.contains(&Action::Cancel {
            id: id.clone(),
            attempt: AttemptNumber(0)
        }),
        "the attempt must be cancelled"
    );
    let is_report = |action: &Action| matches!(action, Action::Report(_));
    assert!(
        node.actions.iter().any(is_report),
        "the silent server must be reported"
    );
    node.end_attempt(&id, Outcome::Cancelled);
    assert_ne!(
        node.in_flight[0].server, server,
        "must be retried at another server"
    );
}

/// A server hangs and accepts no connections, so that its health probes fail as over a broken network link. That must
/// not keep requests away from the healthy server in the same zone.
#[test]
fn failed_probes_of_one_server_do_not_count_against_its_zone() {
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let mut at_healthy_server = 0;
    for number in 0..600 {
        // Server 0 accepts no connections from request 300 on.
        let refuses_connections = number >= 300;
        let id = node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
        node.advance(10 * MILLISECOND);
        while let Some(server) = node.server_of(&id) {
            let outcome = match server.0 {
                0 if refuses_connections => Outcome::Unreachable,
                0 => {
                    // No response until the attempt is cancelled and the server ejected.
                    node.advance(900 * MILLISECOND);
                    Outcome::Cancelled
                }
                _ => Outcome::Ok,
            };
            node.end_attempt(&id, outcome);
            at_healthy_server += u32::from(refuses_connections && server.0 == 2);
        }
        node.advance(40 * MILLISECOND);
    }
    assert!(
        at_healthy_server > 60,
        "only {at_healthy_server} of 300 requests went to the healthy server of that zone"
    );
}
