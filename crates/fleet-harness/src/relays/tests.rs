use super::*;

fn relay_plan(steps: &str) -> RelayPlan {
    let text = format!("name = \"w\"\ninstances = 6\nservers = 4\n[[side]]\nname = \"a\"\nhas = \"n0-n2,s0\"\n[[side]]\nname = \"b\"\nhas = \"n3-n5,s1\"\n{steps}");
    RelayPlan::for_scenario(&Scenario::parse(&text, 1).expect("the scenario is valid"))
}

#[test]
fn a_run_without_faults_on_connections_needs_no_relay() {
    assert!(relay_plan("[[step]]\ndo = \"peers\"\nloss = 0.3\n")
        .server_relays()
        .is_empty());
    assert!(!relay_plan("").affects(End::Node(0), End::List));
}

#[test]
fn nodes_of_one_side_share_a_relay_and_the_other_side_needs_none() {
    let split = relay_plan("[[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 1000\n");
    assert_eq!(
        split.server_relays(),
        [(vec![3, 4, 5], 0), (vec![0, 1, 2], 1)]
    );
    let healing =
        relay_plan("[[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 1000\nheal_gap_ms = 100\n");
    assert_eq!(
        healing.server_relays().len(),
        6,
        "nodes that heal one by one do not share a relay"
    );
    let list = relay_plan(
        "[[step]]\ndo = \"link\"\nfrom = \"n1\"\nto = \"list\"\nstalled = true\nfor_ms = 9\n",
    );
    assert!(list.affects(End::Node(1), End::List) && !list.affects(End::Node(0), End::List));
}
