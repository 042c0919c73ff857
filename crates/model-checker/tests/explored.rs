//! The worlds that are visited whole, the faults that must be found in them, and walks through a large one.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_exchange::Bug;
use saffronpaddle_model_checker::fleet::{run, FleetSetup};
use saffronpaddle_model_checker::search::{search, Limits};
use saffronpaddle_model_checker::world::{AnyPolicy, Property, Step, World};
use saffronpaddle_model_checker::{chart, planted, setups, walk};
use saffronpaddle_policy::interface::{DeduplicationScope, Idempotency};

const THREADS: usize = 4;
/// No world of CI is as small as this: one that is has lost its events.
const FEWEST: usize = 10_000;

#[test]
fn every_small_world_is_visited_whole_and_keeps_its_properties() {
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
            found.states > FEWEST,
            "{}: {} states",
            setup.name,
            found.states
        );
    }
}

#[test]
fn every_planted_fault_is_found_with_its_trace() {
    for bug in Bug::ALL {
        let (setup, found) = planted::hunt(bug, THREADS).expect("a world for each fault");
        let Some((trace, violation)) = found.violation else {
            panic!("{bug:?} is not found in {}", setup.name)
        };
        let drawn = chart::draw(&setup, AnyPolicy, Some(bug), &trace, &violation);
        assert!(drawn.contains("broken: "), "{drawn}");
        // The same steps without the fault break nothing: it is the fault that was found.
        let mut sound = World::new(&setup, AnyPolicy, None);
        for step in &trace {
            let possible = sound.possible_steps(&setup).contains(step)
                || sound.step_if_left_alone(&setup) == Some(*step);
            if !possible {
                break;
            }
            assert_eq!(
                sound.take(&setup, *step),
                Ok(()),
                "{bug:?}: {step:?} breaks the sound machine too"
            );
        }
    }
}

/// What can't be proved, as README says: an answer without its request's id may be a copy of the one before.
#[test]
fn a_copy_that_comes_late_passes_for_an_answer_where_answers_bear_no_id() {
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

#[test]
fn the_decision_module_itself_is_visited_to_a_depth() {
    let keyed = Idempotency::WithKey {
        scope: DeduplicationScope::Domain,
        window: 0,
    };
    for effect in [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent] {
        let setup = setups::real(effect);
        let module = setups::real_policy(&setup).expect("settings that make sense");
        let found = search(
            &setup,
            module.clone(),
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
                chart::draw(&setup, module, None, trace, violation)
            );
        }
        assert!(
            found.states > FEWEST,
            "{}: {} states",
            setup.name,
            found.states
        );
    }
}

#[test]
fn random_walks_through_a_large_world_break_nothing() {
    for seed in 0..60 {
        let found = walk::walk(&setups::random(seed), AnyPolicy, seed, 3_000);
        let broken = found
            .violation
            .map(|(trace, violation)| format!("{violation} after {} steps", trace.len()));
        assert_eq!(
            broken, None,
            "saffronpaddle-model-checker walk --seed {seed} --walks 1 --steps 3000"
        );
    }
}

/// A walk that meets a fault says so: planted in the large world, each of these shows within a few seeds.
#[test]
fn random_walks_find_faults_too() {
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

/// Three nodes with the decision module inside, six servers that fail, drain and move, lost datagrams, a node that is
/// killed: the fleet rig's ledger finds nothing, and nothing is kept.
#[test]
fn whole_nodes_in_virtual_time_keep_the_rules() {
    for seed in 1..=4 {
        let played = run(&FleetSetup::usual(seed)).expect("settings that make sense");
        let again = format!("saffronpaddle-model-checker nodes --seed {seed} --runs 1");
        assert_eq!(played.verdict.breaches, [], "{again}");
        assert_eq!(
            (played.inconsistencies, played.kept),
            (Vec::new(), 0),
            "{again}"
        );
        assert!(
            played.verdict.served > played.verdict.tries / 4,
            "{again}: {:?}",
            played.verdict
        );
        assert!(
            played.verdict.attempts > played.verdict.served,
            "{again}: some were tried again"
        );
    }
}

#[test]
fn a_seed_is_played_the_same_way_each_time() {
    let short = FleetSetup {
        requests: 500,
        ..FleetSetup::usual(11)
    };
    let runs = [run(&short), run(&short)].map(|run| run.expect("settings that make sense"));
    assert_eq!(runs[0], runs[1]);
    let other = run(&FleetSetup { seed: 12, ..short }).expect("settings that make sense");
    assert_ne!(runs[0].commands_hash, other.commands_hash);
}

#[test]
fn whole_nodes_in_virtual_time_show_faults() {
    for bug in [Bug::CancelWithoutClose, Bug::SlotLost, Bug::EndNeverTold] {
        let found = (1..=6).any(|seed| {
            let played = run(&FleetSetup {
                bug: Some(bug),
                ..FleetSetup::usual(seed)
            })
            .expect("settings that make sense");
            !played.verdict.breaches.is_empty()
                || !played.inconsistencies.is_empty()
                || played.kept > 0
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
    fn any_choices_in_a_large_world_break_nothing(
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
