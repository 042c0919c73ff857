//! Which links of a run need a relay for connections, and which nodes may share one.
//!
//! A relay for each node and server would be tens of thousands in a large fleet. But a scenario says beforehand what will
//! befall which links: where no step touches one it needs none, and nodes that no step tells apart share theirs.

use crate::scenario::{Deed, Scenario};
use saffronpaddle_standins::links::{End, Which};
use std::collections::BTreeMap;

/// What one rule does to a node's link with a server: there, back, and who it is where nodes heal one by one.
type Sign = (bool, bool, Option<usize>);

/// The links that a scenario's steps touch.
#[derive(Clone, Debug)]
pub struct Ways {
    /// Each step's links, and whether its nodes heal one by one.
    rules: Vec<(Which, bool)>,
    counts: (usize, usize),
}

impl Ways {
    /// Those of a scenario.
    pub fn of(scenario: &Scenario) -> Ways {
        let rule = |deed: &Deed| match deed {
            Deed::Link(which, _, _, heal_gap) => Some((which.clone(), !heal_gap.is_zero())),
            _ => None,
        };
        let rules = scenario.steps.iter().filter_map(|step| rule(&step.deed)).collect();
        Ways { rules, counts: (scenario.instances, scenario.servers) }
    }

    /// Whether a step touches the link between two ends, one way or the other.
    pub fn touches(&self, one: End, other: End) -> bool {
        self.rules.iter().any(|(which, _)| which.has(one, other) || which.has(other, one))
    }

    /// The relays to app servers: nodes that share one, and the server.
    pub fn servers(&self) -> Vec<(Vec<usize>, usize)> {
        let mut relays = Vec::new();
        for server in 0..self.counts.1 {
            let far = End::Server(server);
            let mut alike: BTreeMap<Vec<Sign>, Vec<usize>> = BTreeMap::new();
            for node in (0..self.counts.0).filter(|node| self.touches(End::Node(*node), far)) {
                let near = End::Node(node);
                let sign = |(which, alone): &(Which, bool)| -> Sign {
                    (which.has(near, far), which.has(far, near), alone.then_some(node))
                };
                alike.entry(self.rules.iter().map(sign).collect()).or_default().push(node);
            }
            relays.extend(alike.into_values().map(|nodes| (nodes, server)));
        }
        relays
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ways(steps: &str) -> Ways {
        let text = format!("name = \"w\"\ninstances = 6\nservers = 4\n[[side]]\nname = \"a\"\nhas = \"n0-n2,s0\"\n[[side]]\nname = \"b\"\nhas = \"n3-n5,s1\"\n{steps}");
        Ways::of(&Scenario::parse(&text, 1).expect("a good scenario"))
    }

    #[test]
    fn a_run_without_faults_on_connections_needs_no_relay() {
        assert!(ways("[[step]]\ndo = \"peers\"\nloss = 0.3\n").servers().is_empty());
        assert!(!ways("").touches(End::Node(0), End::List));
    }

    #[test]
    fn nodes_of_one_side_share_a_relay_and_the_other_side_needs_none() {
        let split = ways("[[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 1000\n");
        assert_eq!(split.servers(), [(vec![3, 4, 5], 0), (vec![0, 1, 2], 1)]);
        let healing = ways("[[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 1000\nheal_gap_ms = 100\n");
        assert_eq!(healing.servers().len(), 6, "who heals one by one shares none");
        let list =
            ways("[[step]]\ndo = \"link\"\nfrom = \"n1\"\nto = \"list\"\nstalled = true\nfor_ms = 9\n");
        assert!(list.touches(End::Node(1), End::List) && !list.touches(End::Node(0), End::List));
    }
}
