//! The worlds whose states are all visited, the planted faults that must be found in them, walks through random worlds
//! and fleets in virtual time.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_exchange::Bug;
use saffronpaddle_model_checker::fleet::{self, FleetSetup};
use saffronpaddle_model_checker::search::{search, Limits};
use saffronpaddle_model_checker::world::{AnyPolicy, Property, Step, World};
use saffronpaddle_model_checker::{chart, planted, setups, walk};
use saffronpaddle_policy::interface::{DeduplicationScope, Idempotency};

/// Threads of a search.
const THREADS: usize = 4;
/// States that each world has at the least: a smaller one has lost its events.
const MIN_STATES: usize = 10_000;

/// In every state that a small world can come to, the exchange keeps its properties, whatever the policy does.
#[test]
fn every_small_world_is_visited_completely_and_keeps_its_properties() {
    for setup in setups::small() {
        let found = search(&setup, AnyPolicy, None, Limits::default(), THREADS);
        if let Some((trace, violation)) = &found.violation {
            panic!(
                "{}\n{}",
                setup.name,
                chart::draw(&setup, AnyPolicy, None, trace, violation)
            );
        }
        assert!(found.complete, "{}", setup.name);
        assert!(
            found.states > MIN_STATES,
            "{}: {} states",
            setup.name,
            found.states
        );
    }
}

/// A checker that finds nothing may be blind. So each fault that the exchange can be built with must be found, and the
/// steps that show it must break nothing without the fault.
#[test]
fn every_planted_fault_is_found_with_its_trace() {
    for bug in Bug::ALL {
        let (setup, found) = planted::hunt(bug, THREADS).expect("a world for each fault");
        let Some((trace, violation)) = found.violation else {
            panic!("{bug:?} is not found in {}", setup.name)
        };
        let drawn = chart::draw(&setup, AnyPolicy, Some(bug), &trace, &violation);
        assert!(drawn.contains("broken: "), "{drawn}");
        let mut without_fault = World::new(&setup, AnyPolicy, None);
        for step in &trace {
            let possible = without_fault.possible_steps(&setup).contains(step)
                || without_fault.step_if_left_alone(&setup) == Some(*step);
            if !possible {
                break;
            }
            assert_eq!(
                without_fault.take(&setup, *step),
                Ok(()),
                "{bug:?}: {step:?} violates a property without the fault too"
            );
        }
    }
}

/// A server sends a response twice, and the duplicate arrives after the next request was written on the connection. Where
/// responses carry no request id, nothing tells the two apart: the known gap, which README names.
#[test]
fn a_late_duplicate_passes_for_a_response_where_responses_carry_no_id() {
    let found = search(
        &setups::late_copies(),
        AnyPolicy,
        None,
        Limits::default(),
        THREADS,
    );
    let (trace, violation) = found.violation.expect("the gap");
    assert_eq!(violation.property, Property::OwnAnswer);
    assert!(trace.contains(&Step::ServerRepeats(0)));
}

/// The exchange keeps its properties with the policy engine that nodes run, in all states up to a depth.
#[test]
fn the_real_policy_keeps_the_properties_to_a_depth() {
    let keyed = Idempotency::WithKey {
        scope: DeduplicationScope::Domain,
        window: 0,
    };
    for idempotency in [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent] {
        let setup = setups::real(idempotency);
        let policy = setups::real_policy(&setup).expect("settings that make sense");
        let found = search(
            &setup,
            policy.clone(),
            None,
            Limits {
                depth: 9,
                ..Limits::default()
            },
            THREADS,
        );
        if let Some((trace, violation)) = &found.violation {
            panic!(
                "{}\n{}",
                setup.name,
                chart::draw(&setup, policy, None, trace, violation)
            );
        }
        assert!(
            found.states > MIN_STATES,
            "{}: {} states",
            setup.name,
            found.states
        );
    }
}

/// Worlds that are too large for all of their states to be visited are walked through at random.
#[test]
fn random_walks_through_a_large_world_violate_no_property() {
    for seed in 0..60 {
        let found = walk::walk(&setups::random(seed), AnyPolicy, seed, 3_000);
        let violation = found
            .violation
            .map(|(trace, violation)| format!("{violation} after {} steps", trace.len()));
        assert_eq!(
            violation, None,
            "saffronpaddle-model-checker walk --seed {seed} --walks 1 --steps 3000"
        );
    }
}

/// Random walks could miss what they pass. Each of these planted faults shows within a few seeds.
#[test]
fn random_walks_find_planted_faults() {
    for bug in [
        Bug::UnsafeResent,
        Bug::CancelWithoutClose,
        Bug::SlotLost,
        Bug::AddressNotCompared,
    ] {
        let found = (0..40).any(|seed| {
            walk::walk_with(&setups::random(seed), AnyPolicy, Some(bug), seed, 3_000)
                .violation
                .is_some()
        });
        assert!(found, "{bug:?}");
    }
}

/// Three nodes with the real policy inside, six servers that fail, drain and move, lost datagrams, a node that is
/// killed: the ledger finds no rule broken, and nothing is kept.
#[test]
fn nodes_in_virtual_time_keep_the_rules() {
    for seed in 1..=4 {
        let fleet_run = fleet::run(&FleetSetup::usual(seed)).expect("settings that make sense");
        let again = format!("saffronpaddle-model-checker nodes --seed {seed} --runs 1");
        assert_eq!(fleet_run.verdict.breaches, [], "{again}");
        assert_eq!(
            (fleet_run.inconsistencies, fleet_run.kept),
            (Vec::new(), 0),
            "{again}"
        );
        assert!(
            fleet_run.verdict.served > fleet_run.verdict.requests / 4,
            "{again}: {:?}",
            fleet_run.verdict
        );
        assert!(
            fleet_run.verdict.attempts > fleet_run.verdict.served,
            "{again}: no request was retried"
        );
    }
}

/// A run that breaks a rule is replayed by its seed, so a seed must give the same run each time, and another seed another.
#[test]
fn a_seed_gives_the_same_run_each_time() {
    let short = FleetSetup {
        requests: 500,
        ..FleetSetup::usual(11)
    };
    let runs =
        [fleet::run(&short), fleet::run(&short)].map(|run| run.expect("settings that make sense"));
    assert_eq!(runs[0], runs[1]);
    let other = fleet::run(&FleetSetup { seed: 12, ..short }).expect("settings that make sense");
    assert_ne!(runs[0].commands_hash, other.commands_hash);
}

/// A fleet in which nothing shows proves little. Each of these planted faults shows within a few seeds.
#[test]
fn nodes_in_virtual_time_show_planted_faults() {
    for bug in [Bug::CancelWithoutClose, Bug::SlotLost, Bug::EndNeverTold] {
        let found = (1..=6).any(|seed| {
            let fleet_run = fleet::run(&FleetSetup {
                bug: Some(bug),
                ..FleetSetup::usual(seed)
            })
            .expect("settings that make sense");
            !fleet_run.verdict.breaches.is_empty()
                || !fleet_run.inconsistencies.is_empty()
                || fleet_run.kept > 0
        });
        assert!(found, "{bug:?}");
    }
}

proptest::proptest! {
    // A case costs as much as five of others.
    #![proptest_config(ProptestConfig {
        cases: (ProptestConfig::default().cases / 5).max(48),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("proptest-regressions"))),
        ..ProptestConfig::default()
    })]

    /// Any choices in a large world: where they break something, proptest looks for fewer of them that still do.
    #[test]
    fn any_choices_in_a_large_world_violate_no_property(
        seed in 0_u64..1_000_000, choices in proptest::collection::vec(proptest::prelude::any::<u16>(), 0..600),
    ) {
        let setup = setups::random(seed);
        let mut world = World::new(&setup, AnyPolicy, None);
        for choice in choices {
            let steps = world.possible_steps(&setup);
            let Some(step) = steps.get(usize::from(choice) % steps.len().max(1)).copied() else { break };
            proptest::prop_assert_eq!(world.take(&setup, step), Ok(()), "{:?}", step);
        }
        let mut left = 20_000;
        while let Some(step) = world.step_if_left_alone(&setup).filter(|_| left > 0) {
            left -= 1;
            proptest::prop_assert_eq!(world.take(&setup, step), Ok(()), "{:?}", step);
        }
        proptest::prop_assert_eq!(world.verify_end(), Ok(()));
    }
}
