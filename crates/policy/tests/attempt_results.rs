//! Actions after the end of an attempt: retry, rejection or failure.

mod common;

use common::settings::{
    domain_of, settings, IDEMPOTENT, KEYED_EVERYWHERE, KEYED_IN_DOMAIN, NON_IDEMPOTENT, UNLIMITED,
};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;

/// One class of each idempotency.
const CLASSES: [ClassId; 4] = [
    IDEMPOTENT,
    KEYED_IN_DOMAIN,
    NON_IDEMPOTENT,
    KEYED_EVERYWHERE,
];
/// All outcomes of an attempt except a response.
const FAILURES: [Outcome; 7] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
];

#[test]
fn failed_attempt_is_retried_only_as_the_idempotency_of_its_class_allows() {
    for class in CLASSES {
        for outcome in FAILURES {
            let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
            let id = node.request(class, UNLIMITED, 7, 2 * SECOND);
            let server = node.in_flight[0].server;
            let actions = node.end_attempt(&id, outcome);
            let not_executed = matches!(
                outcome,
                Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent
            );
            if class == NON_IDEMPOTENT && !not_executed {
                assert_eq!(
                    actions,
                    [Action::Fail { id }],
                    "{outcome:?}: a non-idempotent request must fail"
                );
                continue;
            }
            assert_eq!(
                count_sends(&actions),
                1,
                "{class:?} {outcome:?}: must be retried"
            );
            if class == KEYED_IN_DOMAIN && !not_executed {
                assert_eq!(
                    domain_of(node.in_flight[0].server),
                    domain_of(server),
                    "must be retried in its deduplication domain"
                );
            }
        }
    }
}

/// A server begins to drain between its selection and the first byte, so that the attempt is not sent. Such an attempt
/// must not count against the limit on attempts. The number of unsent attempts must have a limit nevertheless.
#[test]
fn unsent_attempt_does_not_count_against_the_limit_on_attempts() {
    for class in CLASSES {
        let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
        let id = node.request(class, UNLIMITED, 7, 2 * SECOND);
        for _ in 0..node.settings.permissions.max_attempts {
            assert_eq!(
                count_sends(&node.end_attempt(&id, Outcome::NotSent)),
                1,
                "{class:?}: an unsent attempt must be followed by another"
            );
        }
        for _ in 1..node.settings.permissions.max_attempts {
            assert_eq!(
                count_sends(&node.end_attempt(&id, Outcome::Unreachable)),
                1,
                "{class:?}: unsent attempts must not count"
            );
        }
        assert_eq!(
            count_sends(&node.end_attempt(&id, Outcome::Unreachable)),
            0,
            "{class:?}: the limit on attempts is reached"
        );
    }
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let id = node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
    let retries = (0..100)
        .take_while(|_| count_sends(&node.end_attempt(&id, Outcome::NotSent)) == 1)
        .count();
    assert!(
        retries < 2 * node.settings.permissions.max_attempts as usize,
        "{retries} retries of an attempt that is never sent"
    );
}

/// An attempt fails after the deduplication window of its key. A retry might execute the request a second time, and so
/// might the client's retry after a rejection, so the request has to fail.
#[test]
fn keyed_request_fails_instead_of_being_rejected_after_its_deduplication_window() {
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let id = node.request(KEYED_IN_DOMAIN, UNLIMITED, 7, 2 * SECOND);
    node.now += 600 * MILLISECOND;
    let actions = node.end_attempt(&id, Outcome::Error);
    assert_eq!(
        count_sends(&actions),
        0,
        "must not be retried after the window"
    );
    let later = node.advance(2 * SECOND);
    assert!(
        later.contains(&Action::Fail { id }),
        "must fail by its deadline"
    );
}
