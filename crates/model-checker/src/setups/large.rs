//! Larger worlds, whose exhaustive search takes minutes and gigabytes of memory.

use super::{base, KEYED};
use crate::world::{EndpointChange, Setup};
use saffronpaddle_policy::interface::Idempotency;

/// Returns the larger worlds, in the order in which they are visited.
pub fn large() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![KEYED],
            max_sends: 3,
            endpoint_changes: vec![EndpointChange::Drain(0), EndpointChange::Move(1, 0)],
            faults: true,
            clients_leave: true,
            ..base(
                "three",
                "three attempts of a keyed request; a drain, an address change, all faults",
            )
        },
        Setup {
            requests: vec![KEYED, Idempotency::Idempotent],
            max_sends: 2,
            horizon_ticks: 3,
            endpoint_changes: vec![EndpointChange::Drain(0)],
            ..base(
                "pair",
                "two requests of one customer, two attempts each; a drain",
            )
        },
        Setup {
            requests: vec![Idempotency::NonIdempotent, Idempotency::Idempotent],
            max_sends: 1,
            faults: true,
            clients_leave: true,
            node_drains: true,
            horizon_ticks: 3,
            ..base(
                "pair-faults",
                "two requests, one attempt each; all faults, the node drains",
            )
        },
    ]
}
