//! How sets lie over a long list, and that sums are those of a walk.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_subsetting::{Median, Subset, FULL_LIST_MAX, SLOW_START_GROUP, TARGET_SIZE};

/// Servers' numbers, as hashes of names are spread.
fn servers(count: usize) -> Vec<u64> {
    let mut random = fastrand::Rng::with_seed(1);
    (0..count).map(|_| random.u64(..)).collect()
}

fn set(me: u32, gateways: u32, listed: usize) -> Subset {
    let mut set = Subset::new(me, gateways);
    set.resize(listed);
    set
}

/// Times the mean that the busiest server has, where each gateway spreads the same over its set, and the smallest and
/// the largest set.
fn spread(gateways: u32, servers: &[u64]) -> (f64, usize, usize) {
    let set = set(0, gateways, servers.len());
    let holders = |server: u64| {
        (0..set.nodes_per_server()).map(move |place| set.member(server, place) as usize)
    };
    let mut sizes = vec![0_usize; gateways as usize];
    servers
        .iter()
        .flat_map(|server| holders(*server))
        .for_each(|holder| sizes[holder] += 1);
    let load = |server: &u64| {
        holders(*server)
            .map(|holder| 1.0 / sizes[holder] as f64)
            .sum::<f64>()
    };
    let mean = f64::from(gateways) / servers.len() as f64;
    let busiest = servers.iter().map(load).fold(0.0, f64::max) / mean;
    (
        busiest,
        sizes.iter().copied().min().unwrap_or(0),
        sizes.iter().copied().max().unwrap_or(0),
    )
}

#[test]
fn up_to_a_size_each_gateway_sends_to_all_servers() {
    for gateways in [1, 3, 300, 2_700] {
        for me in [0, gateways / 2, gateways - 1] {
            let set = set(me, gateways, FULL_LIST_MAX);
            assert!(
                set.is_complete()
                    && servers(FULL_LIST_MAX)
                        .iter()
                        .all(|server| set.contains(*server))
            );
            assert_eq!(
                set.slow_start_group(7),
                (gateways, me),
                "turns are those of all gateways"
            );
        }
    }
}

#[test]
fn each_server_of_a_long_list_has_as_many_gateways_as_every_other() {
    for (gateways, listed) in [(30, 5_000), (300, 4_000), (2_700, 3_000)] {
        let servers = servers(listed);
        let sets: Vec<Subset> = (0..gateways).map(|me| set(me, gateways, listed)).collect();
        let cover = sets[0].nodes_per_server();
        assert!(cover >= SLOW_START_GROUP.min(gateways));
        for server in servers {
            let holders: Vec<u32> = (0..gateways)
                .filter(|me| sets[*me as usize].contains(server))
                .collect();
            assert_eq!(holders.len(), cover as usize);
            // Each can reckon who the others are.
            let mut named: Vec<u32> = (0..cover)
                .map(|place| sets[0].member(server, place))
                .collect();
            named.sort_unstable();
            assert_eq!(holders, named);
            // Turns are shared by some of them, each at a place of its own.
            let places = sets
                .iter()
                .map(|set| set.slow_start_group(server))
                .filter(|(count, place)| place < count);
            let mut places: Vec<u32> = places.map(|(_, place)| place).collect();
            places.sort_unstable();
            assert_eq!(
                places,
                (0..SLOW_START_GROUP.min(gateways)).collect::<Vec<_>>()
            );
        }
    }
}

#[test]
fn load_is_even_over_the_servers_at_thirty_three_hundred_and_2700_gateways() {
    // With few gateways sets are large and all alike; with many a server's gateways even each other out.
    for (gateways, listed, bound) in [
        (30, 40_000, 1.05),
        (300, 40_000, 1.10),
        (2_700, 40_000, 1.10),
    ] {
        let (busiest, least, most) = spread(gateways, &servers(listed));
        assert!(
            busiest < bound,
            "{gateways} gateways: the busiest server has {busiest} times the mean"
        );
        assert!(
            least >= TARGET_SIZE * 3 / 4,
            "{gateways} gateways: a set of {least}"
        );
        let mean =
            listed * set(0, gateways, listed).nodes_per_server() as usize / gateways as usize;
        assert!(
            most < mean * 13 / 10,
            "{gateways} gateways: a set of {most}, in the mean {mean}"
        );
    }
}

#[test]
fn a_server_that_goes_or_comes_moves_no_other() {
    let (listed, gateways) = (40_000, 2_700);
    let servers = servers(listed);
    for me in 0..20 {
        let mut set = set(me, gateways, listed);
        let before: Vec<bool> = servers.iter().map(|server| set.contains(*server)).collect();
        for count in [listed - 1, listed + 1, listed - 400, listed + 400, listed] {
            assert!(!set.resize(count), "{count} servers move the set");
        }
        assert_eq!(
            before,
            servers
                .iter()
                .map(|server| set.contains(*server))
                .collect::<Vec<_>>()
        );
    }
}

#[test]
fn a_zone_of_a_third_that_goes_leaves_two_thirds_of_each_set_and_it_is_full_again_at_once() {
    let (listed, gateways) = (40_000, 2_700);
    let servers = servers(listed);
    let left: Vec<u64> = servers
        .iter()
        .copied()
        .enumerate()
        .filter(|(at, _)| at % 3 != 0)
        .map(|(_, id)| id)
        .collect();
    for me in (0..gateways).step_by(27) {
        let mut set = set(me, gateways, listed);
        let held = |set: &Subset, of: &[u64]| {
            of.iter()
                .copied()
                .filter(|id| set.contains(*id))
                .collect::<Vec<_>>()
        };
        let (before, stays) = (held(&set, &servers), held(&set, &left));
        assert!(
            stays.len() * 10 > before.len() * 5,
            "{} of {} are left",
            stays.len(),
            before.len()
        );
        set.resize(left.len());
        let after = held(&set, &left);
        assert!(
            after.len() >= TARGET_SIZE * 3 / 4,
            "a set of {}",
            after.len()
        );
        assert!(
            stays.iter().all(|server| after.contains(server)),
            "what is left stays known"
        );
    }
}

#[test]
fn a_list_that_goes_up_and_down_by_one_moves_a_set_once_at_most() {
    for gateways in [30, 300, 2_700] {
        for listed in [600, 5_000, 33_333, 40_000] {
            let mut set = set(0, gateways, listed);
            let moves = (0..100)
                .filter(|round| set.resize(listed + round % 2))
                .count();
            assert_eq!(moves, 0, "{gateways} gateways, {listed} servers");
        }
    }
}

#[test]
fn three_gateways_hold_all_servers_however_many_there_are() {
    let set = set(1, 3, 40_000);
    assert!(set.is_complete());
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    #[test]
    fn a_gateways_place_in_a_servers_order_is_where_the_order_names_it(
        server: u64, gateways in 9_u32..5_000, me in 0_u32..5_000,
    ) {
        let me = me % gateways;
        let set = set(me, gateways, 100_000);
        let (_, place) = set.slow_start_group(server);
        if !set.is_complete() {
            prop_assert_eq!(set.member(server, place), me);
        }
    }

    #[test]
    fn a_median_is_that_of_a_sorted_list(steps in prop::collection::vec((0_u64..40, 0_u32..50), 1..200)) {
        let (mut median, mut known) = (Median::default(), std::collections::BTreeMap::new());
        for (key, number) in steps {
            if let Some(old) = known.remove(&key) {
                median.remove(old, key);
            }
            if number > 0 {
                known.insert(key, f64::from(number));
                median.add(f64::from(number), key);
            }
            let mut sorted: Vec<f64> = known.values().copied().collect();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(median.get(), sorted.get(sorted.len() / 2).copied());
            prop_assert_eq!(median.len(), known.len());
        }
    }
}
