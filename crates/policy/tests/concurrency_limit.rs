//! The concurrency limit of the lowest class: the rule bases of its fuzzy controller, and the condition that creates
//! it.

mod common;

use common::settings::{settings, NON_IDEMPOTENT, TWO_IN_FLIGHT, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::concurrency_limit::infer_step;
use saffronpaddle_policy::interface::*;

/// Returns the output of the change rule.
fn change_of(error: f64, change: f64) -> f64 {
    infer_step(error, change).change
}

/// Returns the output of the gain rule.
fn gain_of(error: f64, change: f64) -> f64 {
    infer_step(error, change).gain
}

/// Input values over the full range from -1 to 1.
fn steps() -> impl Iterator<Item = f64> {
    (-12..=12).map(|step| f64::from(step) / 12.0)
}

#[test]
fn change_rule_has_the_entry_printed_in_the_paper_and_is_odd_and_monotonic() {
    assert!(
        (change_of(1.0 / 3.0, 2.0 / 3.0) + 1.0).abs() < 1e-9,
        "(positive small, positive medium) must give negative large"
    );
    assert!(change_of(0.0, 0.0).abs() < 1e-9);
    for error in steps() {
        for change in steps() {
            let expected = change_of(error, change);
            assert!(
                (expected + change_of(-error, -change)).abs() < 1e-9,
                "not an odd function at error {error} and change {change}"
            );
            assert!(change_of((error + 1.0 / 3.0).min(1.0), change) <= expected + 1e-9);
            assert!(change_of(error, (change + 1.0 / 3.0).min(1.0)) <= expected + 1e-9);
        }
    }
    assert_eq!(change_of(9.0, 9.0), change_of(1.0, 1.0));
}

#[test]
fn gain_is_large_when_leaving_the_set_point_small_when_returning_and_zero_at_rest() {
    assert!(gain_of(0.0, 0.0).abs() < 1e-9);
    assert!(gain_of(-1.0, -1.0) > 0.9 && gain_of(-1.0, 1.0) < 0.3);
    assert!(
        gain_of(0.0, -1.0) > 0.9,
        "the gain must be large when a disturbance begins"
    );
    assert!(
        gain_of(1.0 / 3.0, -1.0 / 3.0) < 0.2,
        "the gain must be small when a small error decreases"
    );
    for error in steps() {
        for change in steps() {
            let gain = gain_of(error, change);
            assert!((0.0..=1.0).contains(&gain));
            assert!((gain - gain_of(-error, -change)).abs() < 1e-9);
        }
    }
}

/// Requests that hang and miss their latency objective have to create the concurrency limit. Requests that are late
/// only because their customer has reached its own limit on attempts in flight must not, as the back end is not
/// overloaded.
#[test]
fn missed_objectives_start_the_limit_and_a_customer_at_its_own_limit_does_not() {
    let limit_starts = |plan: usize| {
        let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 4);
        for _ in 0..40 {
            node.request(NON_IDEMPOTENT, plan, 7, 5 * SECOND);
        }
        for _ in 0..16 {
            node.advance(150 * MILLISECOND);
            // Attempts of the customer with its own limit get responses soon; those of the other customer hang.
            if plan == TWO_IN_FLIGHT {
                node.answer_all();
            }
        }
        node.has_started_limit()
    };
    assert!(limit_starts(UNLIMITED), "hanging requests create no limit");
    assert!(
        !limit_starts(TWO_IN_FLIGHT),
        "a customer at its own limit creates a limit"
    );
}
