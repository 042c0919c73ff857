//! The customers of a run: whose tries come through which nodes, and how many. A seed draws the same for real instances and
//! for a fleet in virtual time.

use crate::scenario::Scenario;
use saffronpaddle_test_doubles::load::Customer;
use saffronpaddle_test_doubles::settings::Fleet;

/// Share of its quota that a usual customer uses, and that of each fifth one, which is beyond its quota.
const USUAL: f64 = 0.7;
const GREEDY: f64 = 1.6;

/// All of them, the hot one last.
pub fn customers(scenario: &Scenario, fleet: &Fleet, seed: u64) -> Vec<Customer> {
    let mut random = fastrand::Rng::with_seed(seed);
    let usual = |place: usize| if place % 5 == 4 { GREEDY } else { USUAL };
    let plan = |place: usize| place % fleet.plans.len();
    let all = 0..scenario.customers;
    let whole: f64 = all
        .clone()
        .map(|place| fleet.plans[plan(place)].rate * usual(place))
        .sum();
    let (least, most) = scenario.spread;
    let customer = |place: usize| {
        let own = fleet.plans[plan(place)].rate;
        let rate = match scenario.times_quota {
            0.0 => own * usual(place) / whole * scenario.rate,
            times => own * times,
        };
        Customer {
            id: random.u64(1..1 << 33),
            plan: plan(place),
            first_node: random.usize(..scenario.instances),
            node_count: random.usize(least..=most).min(scenario.instances),
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
