//! Decides which links of a run need a relay for connections, and which nodes share one.
//!
//! A relay for each pair of node and server would make tens of thousands in a large fleet. The steps of a scenario are
//! known in advance: a link that no step affects needs no relay, and nodes that all steps treat alike share one.

use crate::scenario::{Scenario, StepAction};
use saffronpaddle_test_doubles::links::{End, LinkSet};
use std::collections::BTreeMap;

/// How a step affects a node's link to a server: the direction to the server, the direction back, and the node's number
/// if the nodes heal one by one.
type LinkEffect = (bool, bool, Option<usize>);

/// The links that a scenario's steps affect.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    /// The links of each step, and whether its ends heal one by one.
    link_faults: Vec<(LinkSet, bool)>,
    /// Numbers of instances and app servers.
    counts: (usize, usize),
}

impl RelayPlan {
    /// Collects the link faults of a scenario's steps.
    pub fn for_scenario(scenario: &Scenario) -> RelayPlan {
        let link_fault = |action: &StepAction| match action {
            StepAction::LinkFault(link_set, _, _, heal_gap) => {
                Some((link_set.clone(), !heal_gap.is_zero()))
            }
            _ => None,
        };
        let link_faults = scenario
            .steps
            .iter()
            .filter_map(|step| link_fault(&step.action))
            .collect();
        RelayPlan {
            link_faults,
            counts: (scenario.instances, scenario.servers),
        }
    }

    /// Whether a step affects the link between two ends in either direction.
    pub fn affects(&self, one: End, other: End) -> bool {
        self.link_faults
            .iter()
            .any(|(link_set, _)| link_set.contains(one, other) || link_set.contains(other, one))
    }

    /// The relays to app servers: the nodes that share the relay, and the server.
    pub fn server_relays(&self) -> Vec<(Vec<usize>, usize)> {
        let mut relays = Vec::new();
        for server in 0..self.counts.1 {
            let far = End::Server(server);
            let mut nodes_by_effects: BTreeMap<Vec<LinkEffect>, Vec<usize>> = BTreeMap::new();
            for node in (0..self.counts.0).filter(|node| self.affects(End::Node(*node), far)) {
                let near = End::Node(node);
                let effect = |(link_set, heals_one_by_one): &(LinkSet, bool)| -> LinkEffect {
                    (
                        link_set.contains(near, far),
                        link_set.contains(far, near),
                        heals_one_by_one.then_some(node),
                    )
                };
                nodes_by_effects
                    .entry(self.link_faults.iter().map(effect).collect())
                    .or_default()
                    .push(node);
            }
            relays.extend(nodes_by_effects.into_values().map(|nodes| (nodes, server)));
        }
        relays
    }
}

#[cfg(test)]
mod tests;
