//! Distribution of subsets over a long list, changes of the list, and that each node computes the same nodes for a
//! server.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_subsetting::{
    SlowStartGroup, Subset, FULL_LIST_MAX_SERVERS, SLOW_START_GROUP_SIZE, TARGET_SUBSET_SIZE,
};

/// Returns server numbers that are evenly distributed, like hashes of names.
fn servers(count: usize) -> Vec<u64> {
    let mut random = fastrand::Rng::with_seed(1);
    (0..count).map(|_| random.u64(..)).collect()
}

fn subset(node: u32, node_count: u32, server_count: usize) -> Subset {
    let mut subset = Subset::new(node, node_count);
    subset.resize(server_count);
    subset
}

/// The distribution of a fleet's load and subset sizes.
struct Distribution {
    /// Load of the busiest server as a multiple of the mean, if each node distributes the same load evenly over
    /// its subset.
    max_load_ratio: f64,
    smallest_subset: usize,
    largest_subset: usize,
}

fn distribution(node_count: u32, servers: &[u64]) -> Distribution {
    let subset = subset(0, node_count, servers.len());
    let nodes_of = |server: u64| {
        (0..subset.nodes_per_server()).map(move |rank| subset.node_at_rank(server, rank) as usize)
    };
    let mut sizes = vec![0_usize; node_count as usize];
    servers
        .iter()
        .flat_map(|server| nodes_of(*server))
        .for_each(|node| sizes[node] += 1);
    let load = |server: &u64| {
        nodes_of(*server)
            .map(|node| 1.0 / sizes[node] as f64)
            .sum::<f64>()
    };
    let mean = f64::from(node_count) / servers.len() as f64;
    Distribution {
        max_load_ratio: servers.iter().map(load).fold(0.0, f64::max) / mean,
        smallest_subset: sizes.iter().copied().min().unwrap_or(0),
        largest_subset: sizes.iter().copied().max().unwrap_or(0),
    }
}

#[test]
fn each_node_sends_to_all_servers_of_a_short_list() {
    for node_count in [1, 3, 300, 2_700] {
        for node in [0, node_count / 2, node_count - 1] {
            let subset = subset(node, node_count, FULL_LIST_MAX_SERVERS);
            assert!(
                subset.is_complete()
                    && servers(FULL_LIST_MAX_SERVERS)
                        .iter()
                        .all(|server| subset.contains(*server))
            );
            assert_eq!(
                subset.slow_start_group(7),
                SlowStartGroup {
                    size: node_count,
                    rank: node
                },
                "all nodes share a server's slow start in order of their numbers"
            );
        }
    }
}

#[test]
fn each_server_of_a_long_list_has_the_same_number_of_nodes() {
    for (node_count, server_count) in [(30, 5_000), (300, 4_000), (2_700, 3_000)] {
        let subsets: Vec<Subset> = (0..node_count)
            .map(|node| subset(node, node_count, server_count))
            .collect();
        let nodes_per_server = subsets[0].nodes_per_server();
        let group_size = SLOW_START_GROUP_SIZE.min(node_count);
        assert!(nodes_per_server >= group_size);
        for server in servers(server_count) {
            let nodes: Vec<u32> = (0..node_count)
                .filter(|node| subsets[*node as usize].contains(server))
                .collect();
            assert_eq!(nodes.len(), nodes_per_server as usize);
            // Each node can compute all nodes of a server.
            let mut computed: Vec<u32> = (0..nodes_per_server)
                .map(|rank| subsets[0].node_at_rank(server, rank))
                .collect();
            computed.sort_unstable();
            assert_eq!(nodes, computed);
            // The first nodes share the server's slow start, each with a different rank.
            let mut ranks: Vec<u32> = subsets
                .iter()
                .map(|subset| subset.slow_start_group(server))
                .filter(|group| group.rank < group.size)
                .map(|group| group.rank)
                .collect();
            ranks.sort_unstable();
            assert_eq!(ranks, (0..group_size).collect::<Vec<_>>());
        }
    }
}

#[test]
fn load_is_evenly_distributed_over_servers_with_30_300_and_2700_nodes() {
    // With few nodes, subsets are large and of similar size; with many, differences between a server's nodes average
    // out.
    for (node_count, server_count, bound) in [
        (30, 40_000, 1.05),
        (300, 40_000, 1.10),
        (2_700, 40_000, 1.10),
    ] {
        let distribution = distribution(node_count, &servers(server_count));
        assert!(
            distribution.max_load_ratio < bound,
            "{node_count} nodes: the busiest server has {} times the mean load",
            distribution.max_load_ratio
        );
        assert!(
            distribution.smallest_subset >= TARGET_SUBSET_SIZE * 3 / 4,
            "{node_count} nodes: the smallest subset has {} servers",
            distribution.smallest_subset
        );
        let nodes_per_server = subset(0, node_count, server_count).nodes_per_server();
        let mean = server_count * nodes_per_server as usize / node_count as usize;
        assert!(
            distribution.largest_subset < mean * 13 / 10,
            "{node_count} nodes: the largest subset has {} servers, the mean is {mean}",
            distribution.largest_subset
        );
    }
}

/// A small part of all servers is added or removed. No other server is added to or removed from a subset.
#[test]
fn adding_or_removing_servers_does_not_reassign_the_others() {
    let (server_count, node_count) = (40_000, 2_700);
    let servers = servers(server_count);
    for node in 0..20 {
        let mut subset = subset(node, node_count, server_count);
        let members = |subset: &Subset| -> Vec<bool> {
            servers
                .iter()
                .map(|server| subset.contains(*server))
                .collect()
        };
        let before = members(&subset);
        for count in [
            server_count - 1,
            server_count + 1,
            server_count - 400,
            server_count + 400,
            server_count,
        ] {
            assert!(
                !subset.resize(count),
                "a list of {count} servers changes the subset"
            );
        }
        assert_eq!(before, members(&subset));
    }
}

/// A zone with a third of all servers fails. Each node keeps most of its subset. After a resize to the shorter list,
/// the subset has its target size again and still contains all of its remaining servers.
#[test]
fn a_zone_failure_leaves_most_of_each_subset_and_a_resize_refills_it() {
    let (server_count, node_count) = (40_000, 2_700);
    let servers = servers(server_count);
    let remaining: Vec<u64> = servers
        .iter()
        .copied()
        .enumerate()
        .filter(|(index, _)| index % 3 != 0)
        .map(|(_, server)| server)
        .collect();
    let members = |subset: &Subset, list: &[u64]| -> Vec<u64> {
        list.iter()
            .copied()
            .filter(|server| subset.contains(*server))
            .collect()
    };
    for node in (0..node_count).step_by(27) {
        let mut subset = subset(node, node_count, server_count);
        let before = members(&subset, &servers);
        let kept = members(&subset, &remaining);
        assert!(
            kept.len() * 10 > before.len() * 5,
            "{} of {} servers remain in the subset",
            kept.len(),
            before.len()
        );
        subset.resize(remaining.len());
        let after = members(&subset, &remaining);
        assert!(
            after.len() >= TARGET_SUBSET_SIZE * 3 / 4,
            "the refilled subset has {} servers",
            after.len()
        );
        assert!(
            kept.iter().all(|server| after.contains(server)),
            "the remaining servers stay in the subset"
        );
    }
}

/// The length of a list alternates by one server. No subset changes.
#[test]
fn a_list_whose_length_alternates_by_one_changes_no_subset() {
    for node_count in [30, 300, 2_700] {
        for server_count in [600, 5_000, 33_333, 40_000] {
            let mut subset = subset(0, node_count, server_count);
            let changes = (0..100)
                .filter(|round| subset.resize(server_count + round % 2))
                .count();
            assert_eq!(
                changes, 0,
                "the subset of {node_count} nodes and {server_count} servers has changed"
            );
        }
    }
}

/// A fleet with at most [`SLOW_START_GROUP_SIZE`] nodes needs all of them for each server.
#[test]
fn three_nodes_send_to_all_servers_of_a_long_list() {
    let subset = subset(1, 3, 40_000);
    assert!(subset.is_complete());
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// The rank of a node in a server's order, and the node at a rank, are computed by inverse functions.
    #[test]
    fn the_node_at_a_nodes_rank_is_that_node(
        server: u64, node_count in 9_u32..5_000, node in 0_u32..5_000,
    ) {
        let node = node % node_count;
        let subset = subset(node, node_count, 100_000);
        let group = subset.slow_start_group(server);
        if !subset.is_complete() {
            prop_assert_eq!(subset.node_at_rank(server, group.rank), node);
        }
    }
}
