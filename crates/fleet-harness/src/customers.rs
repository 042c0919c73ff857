//! The customers of a run: the nodes that they send requests to, and their rates. A seed draws the same customers for
//! real instances and for virtual time.

use crate::scenario::Scenario;
use saffronpaddle_test_doubles::load::Customer;
use saffronpaddle_test_doubles::settings::Fleet;

/// Demand of a usual customer as a share of its quota.
const USUAL_QUOTA_SHARE: f64 = 0.7;
/// Demand of every fifth customer as a share of its quota, which it exceeds.
const GREEDY_QUOTA_SHARE: f64 = 1.6;

/// Draws the customers of a scenario. The hot customer, if there is one, is the last.
pub fn customers(scenario: &Scenario, fleet: &Fleet, seed: u64) -> Vec<Customer> {
    let mut random = fastrand::Rng::with_seed(seed);
    let quota_share = |index: usize| {
        if index % 5 == 4 {
            GREEDY_QUOTA_SHARE
        } else {
            USUAL_QUOTA_SHARE
        }
    };
    let plan = |index: usize| index % fleet.plans.len();
    let all = 0..scenario.customers;
    let demand_at_quota_shares: f64 = all
        .clone()
        .map(|index| fleet.plans[plan(index)].rate * quota_share(index))
        .sum();
    let (fewest, most) = scenario.nodes_per_customer;
    let customer = |index: usize| {
        let quota_rate = fleet.plans[plan(index)].rate;
        let rate = match scenario.quota_factor {
            0.0 => quota_rate * quota_share(index) / demand_at_quota_shares * scenario.rate,
            factor => quota_rate * factor,
        };
        Customer {
            id: random.u64(1..1 << 33),
            plan: plan(index),
            first_node: random.usize(..scenario.instances),
            node_count: random.usize(fewest..=most).min(scenario.instances),
            rate,
        }
    };
    let mut all: Vec<Customer> = all.map(customer).collect();
    if scenario.hot_share > 0.0 {
        let others: f64 = all.iter().map(|customer| customer.rate).sum();
        let largest = |a: &usize, b: &usize| fleet.plans[*a].rate.total_cmp(&fleet.plans[*b].rate);
        all.push(Customer {
            id: random.u64(1..1 << 33),
            plan: (0..fleet.plans.len()).max_by(largest).unwrap_or(0),
            first_node: random.usize(..scenario.instances),
            node_count: scenario.instances,
            rate: others * scenario.hot_share / (1.0 - scenario.hot_share),
        });
    }
    all
}
