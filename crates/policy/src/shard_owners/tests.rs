use super::*;
use std::collections::BTreeSet;

#[test]
fn owners_are_different_nodes_and_each_is_asked_once() {
    let plan = |rate| Plan {
        rate,
        burst: 4.0 * rate,
        max_in_flight: None,
        priority_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.0,
        hard_limit: None,
    };
    for (rate, subset_size, shards) in [
        (0.6, 50, 1),
        (8.0, 3, 1),
        (16.0, 60, 2),
        (40.0, 3, 3),
        (5.0, 1, 1),
    ] {
        let owners = ShardOwners::of(&plan(rate), subset_size);
        assert_eq!(
            owners.shards, shards,
            "{rate} units per second, {subset_size} nodes"
        );
        for start in 0..shards {
            let mut order: Vec<u32> = owners.in_order(start).collect();
            assert_eq!(order[0], start, "the primary owner is asked first");
            order.sort_unstable();
            assert_eq!(order, (0..owners.owners).collect::<Vec<_>>());
        }
        let subset = NodeSubset {
            first: NodeId(90),
            size: subset_size,
        };
        let node = |owner| owners.node(CustomerId(77), subset, owner, 100);
        let nodes: BTreeSet<_> = (0..owners.owners).map(node).collect();
        assert_eq!(
            nodes.len(),
            owners.owners as usize,
            "each owner is a different node"
        );
    }
}
