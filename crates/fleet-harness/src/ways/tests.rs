use super::*;

fn ways(steps: &str) -> Ways {
    let text = format!("name = \"w\"\ninstances = 6\nservers = 4\n[[side]]\nname = \"a\"\nhas = \"n0-n2,s0\"\n[[side]]\nname = \"b\"\nhas = \"n3-n5,s1\"\n{steps}");
    Ways::of(&Scenario::parse(&text, 1).expect("a good scenario"))
}

#[test]
fn a_run_without_faults_on_connections_needs_no_relay() {
    assert!(ways("[[step]]\ndo = \"peers\"\nloss = 0.3\n")
        .servers()
        .is_empty());
    assert!(!ways("").touches(End::Node(0), End::List));
}

#[test]
fn nodes_of_one_side_share_a_relay_and_the_other_side_needs_none() {
    let split = ways("[[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 1000\n");
    assert_eq!(split.servers(), [(vec![3, 4, 5], 0), (vec![0, 1, 2], 1)]);
    let healing =
        ways("[[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 1000\nheal_gap_ms = 100\n");
    assert_eq!(
        healing.servers().len(),
        6,
        "who heals one by one shares none"
    );
    let list =
        ways("[[step]]\ndo = \"link\"\nfrom = \"n1\"\nto = \"list\"\nstalled = true\nfor_ms = 9\n");
    assert!(list.touches(End::Node(1), End::List) && !list.touches(End::Node(0), End::List));
}
