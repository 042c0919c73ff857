//! Tenants of a fleet of hollow nodes: their demands, plans and subsets of nodes.

use saffronpaddle_hollow::tenants::{plans, Tenants};

#[test]
fn demands_follow_zipfs_law_and_add_up_to_the_rate_of_all_nodes() {
    let tenants = Tenants::new(1_000, 1.0, (30, 10.0), 0);
    let all: f64 = (0..tenants.count()).map(|rank| tenants.demand(rank)).sum();
    assert!((all - 300.0).abs() < 1e-6, "{all}");
    assert!((tenants.demand(0) / tenants.demand(9) - 10.0).abs() < 1e-6);
}

#[test]
fn only_tenants_of_every_fifth_rank_exceed_their_quota() {
    let tenants = Tenants::new(10_000, 0.9, (30, 40.0), 0);
    let rate = |rank: usize| plans()[tenants.tenant(rank).plan].0;
    assert!((0..tenants.count())
        .filter(|rank| rank % 5 != 4)
        .all(|rank| tenants.demand(rank) <= rate(rank)));
    assert!((0..tenants.count()).any(|rank| tenants.demand(rank) > rate(rank)));
}

#[test]
fn a_sampler_returns_only_tenants_whose_subset_contains_the_node() {
    let tenants = Tenants::new(500, 0.9, (50, 10.0), 4);
    for node in [0, 7, 49] {
        let sampler = tenants.sampler(node);
        for step in 0..=100 {
            let tenant = tenants.tenant(sampler.rank(f64::from(step) / 100.0));
            assert!(
                (node + 50 - tenant.subset_first) % 50 < tenant.subset_size,
                "{tenant:?} at {node}"
            );
        }
    }
}

#[test]
fn a_tenant_with_large_demand_has_more_than_the_minimum_nodes() {
    let tenants = Tenants::new(500, 1.1, (50, 10.0), 4);
    assert!(tenants.tenant(0).subset_size > 4);
    assert_eq!(tenants.tenant(499).subset_size, 4);
}

#[test]
fn a_minimum_subset_size_of_zero_gives_all_nodes_all_tenants() {
    let tenants = Tenants::new(500, 0.9, (50, 10.0), 0);
    assert_eq!(tenants.sampler(3).count(), 500);
    assert_eq!(
        (
            tenants.tenant(499).subset_first,
            tenants.tenant(499).subset_size
        ),
        (0, 50)
    );
}
