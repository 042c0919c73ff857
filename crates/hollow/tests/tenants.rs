//! The customers of a measured fleet and their plans.

use saffronpaddle_hollow::tenants::{plans, Tenants};

#[test]
fn demands_follow_zipfs_law_and_add_up_to_all_tries() {
    let tenants = Tenants::new(1_000, 1.0, (30, 10.0), 0);
    let all: f64 = (0..tenants.many()).map(|place| tenants.demand(place)).sum();
    assert!((all - 300.0).abs() < 1e-6, "{all}");
    assert!((tenants.demand(0) / tenants.demand(9) - 10.0).abs() < 1e-6);
}

#[test]
fn a_usual_tenant_stays_within_its_quota_and_some_of_each_fifth_do_not() {
    let tenants = Tenants::new(10_000, 0.9, (30, 40.0), 0);
    let rate = |place: usize| plans()[tenants.tenant(place).plan].0;
    assert!((0..tenants.many())
        .filter(|place| place % 5 != 4)
        .all(|place| tenants.demand(place) <= rate(place)));
    assert!((0..tenants.many()).any(|place| tenants.demand(place) > rate(place)));
}

#[test]
fn a_draw_for_a_node_only_gives_tenants_whose_set_it_is_in() {
    let tenants = Tenants::new(500, 0.9, (50, 10.0), 4);
    for node in [0, 7, 49] {
        let drawn = tenants.at(node);
        for step in 0..=100 {
            let tenant = tenants.tenant(drawn.draw(f64::from(step) / 100.0));
            assert!(
                (node + 50 - tenant.first) % 50 < tenant.spread,
                "{tenant:?} at {node}"
            );
        }
    }
}

#[test]
fn a_tenant_with_more_than_one_nodes_tries_has_a_larger_set() {
    let tenants = Tenants::new(500, 1.1, (50, 10.0), 4);
    assert!(tenants.tenant(0).spread > 4);
    assert_eq!(tenants.tenant(499).spread, 4);
}

#[test]
fn without_a_least_set_all_nodes_see_all_tenants() {
    let tenants = Tenants::new(500, 0.9, (50, 10.0), 0);
    assert_eq!(tenants.at(3).many(), 500);
    assert_eq!(
        (tenants.tenant(499).first, tenants.tenant(499).spread),
        (0, 50)
    );
}
