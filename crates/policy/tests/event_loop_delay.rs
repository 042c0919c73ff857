//! A node whose event loop is late, as on a busy machine: what it did not wait for a server is no latency of a server.

mod common;

use common::settings::{settings, NON_IDEMPOTENT, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::interface::*;

/// Servers of the node.
const SERVERS: u64 = 40;
/// Interval of the requests.
const REQUEST_INTERVAL: Micros = 10 * MILLISECOND;
/// Time for which requests arrive.
const LOAD: Micros = 12 * SECOND;

/// Sends requests to servers that answer after `at_server`, by a node whose event loop handles each event, the connection
/// of an attempt, its answer and the timers, `event_delay` late. Returns whether the limit on the lowest class starts, as
/// it does for servers that miss the objective of 800 ms.
fn limit_starts(at_server: Micros, event_delay: Micros) -> bool {
    let mut node = TestNode::with_servers(1, settings(0, 1), 1_700_000_000 * SECOND, SERVERS);
    node.engine.set_event_delay(event_delay);
    let started_at = node.now;
    let mut connecting: Vec<(Micros, RequestId)> = Vec::new();
    let mut connected: Vec<(Micros, RequestId)> = Vec::new();
    while node.now < started_at + LOAD {
        let id = node.request(NON_IDEMPOTENT, UNLIMITED, 7, 5 * SECOND);
        connecting.push((node.now, id));
        let now = node.now;
        for (at, id) in connecting.extract_if(.., |(at, _)| *at + event_delay <= now) {
            node.engine
                .attempt_delayed(&id, AttemptNumber(0), event_delay);
            connected.push((at, id));
        }
        let answered_after = event_delay + at_server + event_delay;
        for (_, id) in connected.extract_if(.., |(at, _)| *at + answered_after <= now) {
            node.answer_if_in_flight(&id);
        }
        node.advance(REQUEST_INTERVAL);
    }
    node.has_started_limit()
}

/// Guards against a node that is late itself, takes that for an overload of idle servers, and rejects requests.
#[test]
fn a_late_event_loop_does_not_count_as_an_overload_of_the_servers() {
    for event_delay_ms in [0, 5, 100, 400, 700, 1_500] {
        assert!(
            !limit_starts(100 * MILLISECOND, event_delay_ms * MILLISECOND),
            "a limit with events {event_delay_ms} ms late"
        );
    }
}

/// Guards against a node that excuses servers with its own lateness: they are overloaded, whether or not it is late.
#[test]
fn an_overload_of_the_servers_counts_although_the_event_loop_is_late() {
    for event_delay_ms in [0, 5, 100, 400, 700, 1_500] {
        assert!(
            limit_starts(1_200 * MILLISECOND, event_delay_ms * MILLISECOND),
            "no limit with events {event_delay_ms} ms late"
        );
    }
}
