//! Which links of a run need a relay for connections, and which nodes may share one.
//!
//! A relay for each node and server would be tens of thousands in a large fleet. But a scenario says beforehand what will
//! befall which links: where no step touches one it needs none, and nodes that no step tells apart share theirs.

use crate::scenario::{Deed, Scenario};
use saffronpaddle_test_doubles::links::{End, LinkSet};
use std::collections::BTreeMap;

/// What one rule does to a node's link with a server: there, back, and who it is where nodes heal one by one.
type Sign = (bool, bool, Option<usize>);

/// The links that a scenario's steps touch.
#[derive(Clone, Debug)]
pub struct Ways {
    /// Each step's links, and whether its nodes heal one by one.
    rules: Vec<(LinkSet, bool)>,
    counts: (usize, usize),
}

impl Ways {
    /// Those of a scenario.
    pub fn of(scenario: &Scenario) -> Ways {
        let rule = |deed: &Deed| match deed {
            Deed::Link(which, _, _, heal_gap) => Some((which.clone(), !heal_gap.is_zero())),
            _ => None,
        };
        let rules = scenario
            .steps
            .iter()
            .filter_map(|step| rule(&step.deed))
            .collect();
        Ways {
            rules,
            counts: (scenario.instances, scenario.servers),
        }
    }

    /// Whether a step touches the link between two ends, one way or the other.
    pub fn touches(&self, one: End, other: End) -> bool {
        self.rules
            .iter()
            .any(|(which, _)| which.contains(one, other) || which.contains(other, one))
    }

    /// The relays to app servers: nodes that share one, and the server.
    pub fn servers(&self) -> Vec<(Vec<usize>, usize)> {
        let mut relays = Vec::new();
        for server in 0..self.counts.1 {
            let far = End::Server(server);
            let mut alike: BTreeMap<Vec<Sign>, Vec<usize>> = BTreeMap::new();
            for node in (0..self.counts.0).filter(|node| self.touches(End::Node(*node), far)) {
                let near = End::Node(node);
                let sign = |(which, alone): &(LinkSet, bool)| -> Sign {
                    (
                        which.contains(near, far),
                        which.contains(far, near),
                        alone.then_some(node),
                    )
                };
                alike
                    .entry(self.rules.iter().map(sign).collect())
                    .or_default()
                    .push(node);
            }
            relays.extend(alike.into_values().map(|nodes| (nodes, server)));
        }
        relays
    }
}

#[cfg(test)]
mod tests;
