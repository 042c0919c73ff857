//! The engine as a whole: validation of settings, determinism, and memory use.

mod common;

use common::settings::{endpoint, settings, IDEMPOTENT, METERED, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::PolicyEngine;

/// Servers return under new ids, and many customers send one request only. If their state were kept, memory would grow
/// without bound.
#[test]
fn state_of_removed_servers_and_idle_customers_is_removed() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    for number in 0..300 {
        let removed = Endpoint {
            status: EndpointStatus::Removed,
            ..endpoint(number)
        };
        node.update_endpoints(EndpointUpdate::Delta, vec![removed, endpoint(4 + number)]);
        node.request(IDEMPOTENT, (number % 4) as usize, 1000 + number, 2 * SECOND);
        node.answer_all();
        node.advance(20 * MILLISECOND);
    }
    node.advance(90 * SECOND);
    assert!(
        node.engine.tracked_entries() <= 8,
        "{} entries are kept in memory",
        node.engine.tracked_entries()
    );
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut node = TestNode::with_servers(11, settings(0, 2), SECOND, 5);
        for step in 0..300u64 {
            node.request(ClassId((step % 4) as usize), UNLIMITED, step % 5, SECOND);
            node.advance(10 * MILLISECOND);
            if step % 2 == 0 {
                let outcome = if step % 3 == 0 {
                    Outcome::Error
                } else {
                    Outcome::Ok
                };
                if let Some(first) = node.in_flight.first().cloned() {
                    node.end_attempt(&first.id, outcome);
                }
            }
        }
        node.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_are_rejected() {
    let error_with = |change: &dyn Fn(&mut Settings)| {
        let mut settings = settings(0, 1);
        change(&mut settings);
        PolicyEngine::new(1, settings, 0).err()
    };
    assert_eq!(error_with(&|_| {}), None);
    assert_eq!(
        error_with(&|settings| settings.classes.clear()),
        Some(SettingsError::NoClasses)
    );
    assert_eq!(
        error_with(&|settings| settings.plans.clear()),
        Some(SettingsError::NoPlans)
    );
    assert_eq!(
        error_with(&|settings| settings.node = NodeId(4)),
        Some(SettingsError::UnknownNode)
    );
    assert_eq!(
        error_with(&|settings| settings.plans[METERED].rate = -1.0),
        Some(SettingsError::InvalidNumber)
    );
    assert_eq!(
        error_with(&|settings| settings.classes[0].priority_weight = f64::NAN),
        Some(SettingsError::InvalidNumber)
    );
}
