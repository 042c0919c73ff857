//! What follows the end of an attempt.

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
/// Every outcome of an attempt but a response.
const FAILURES: [Outcome; 7] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// Every outcome for every class: what may follow at once.
#[test]
fn every_outcome_is_followed_by_what_the_idempotency_of_the_class_allows() {
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
                assert_eq!(actions, [Action::Fail { id }], "{outcome:?}");
                continue;
            }
            assert_eq!(
                count_sends(&actions),
                1,
                "{class:?} {outcome:?}: sent again"
            );
            if class == KEYED_IN_DOMAIN && !not_executed {
                assert_eq!(
                    domain_of(node.in_flight[0].server),
                    domain_of(server),
                    "in its deduplication domain"
                );
            }
        }
    }
}

/// A server begins to drain between its selection and the first byte, so that the attempt is not sent. That must not use up
/// one of the request's attempts. A request whose attempts are not sent again and again must come to an end all the same.
#[test]
fn attempt_of_which_nothing_was_sent_does_not_use_up_an_attempt() {
    for class in CLASSES {
        let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
        let id = node.request(class, UNLIMITED, 7, 2 * SECOND);
        for _ in 0..node.settings.permissions.max_attempts {
            assert_eq!(
                count_sends(&node.end_attempt(&id, Outcome::NotSent)),
                1,
                "{class:?}"
            );
        }
        for _ in 1..node.settings.permissions.max_attempts {
            assert_eq!(
                count_sends(&node.end_attempt(&id, Outcome::Unreachable)),
                1,
                "{class:?}: all of its own are left"
            );
        }
        assert_eq!(
            count_sends(&node.end_attempt(&id, Outcome::Unreachable)),
            0,
            "{class:?}"
        );
    }
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let id = node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
    let retries = (0..100)
        .take_while(|_| count_sends(&node.end_attempt(&id, Outcome::NotSent)) == 1)
        .count();
    assert!(
        retries < 2 * node.settings.permissions.max_attempts as usize,
        "{retries}"
    );
}

/// An attempt fails after the time in which servers recognize its key. A retry might execute it twice, and so might its
/// client after a rejection: the request has to fail.
#[test]
fn keyed_request_outside_its_window_fails_and_is_not_rejected() {
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
    let id = node.request(KEYED_IN_DOMAIN, UNLIMITED, 7, 2 * SECOND);
    node.now += 600 * MILLISECOND;
    let actions = node.end_attempt(&id, Outcome::Error);
    assert_eq!(count_sends(&actions), 0);
    let later = node.advance(2 * SECOND);
    assert!(later.contains(&Action::Fail { id }));
}
