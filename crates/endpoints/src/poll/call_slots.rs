//! The times at which a node may call a discovery service that an installation limits.
//!
//! All calls of a fleet share one rate: first calls of processes that start, calls after failures, and calls after the
//! end of a watch. If each kind had a budget of its own, an outage during a fleet's start would add up two of them. So
//! time is divided into rounds in which every node has one slot, in the order of the nodes' numbers, and a node starts
//! all of its calls in its slots.
//!
//! Rounds are counted in Unix time, so that nodes share them whenever they were started. A node whose wall clock is
//! wrong calls in slots of other nodes, as often as in its own.

use crate::poll::limits::PollLimits;
use std::time::Duration;

/// The slots of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSlots {
    limits: PollLimits,
    /// The node's number, and the number of all nodes.
    position: (u32, u32),
    /// Time from a slot of the node to its next one, seconds.
    round_s: f64,
    /// Length of a slot, seconds.
    slot_s: f64,
}

impl CallSlots {
    /// Creates the slots of a node, given by its number and the number of all nodes.
    pub fn new((number, nodes): (u32, u32), limits: &PollLimits) -> CallSlots {
        let nodes = nodes.max(1);
        let slot_s = 1.0 / limits.calls_per_s;
        CallSlots {
            limits: limits.clone(),
            position: (number % nodes, nodes),
            round_s: slot_s * f64::from(nodes),
            slot_s,
        }
    }

    /// Returns the delay from the start of a process at `now`, in Unix time, to its first call. `draw` is a random
    /// number from 0 to 1. Calls outside the slots if a round is longer than a first call may wait.
    pub fn first_call(&self, now: Duration, draw: f64) -> Duration {
        let pause = self.limits.first_call(self.position, draw);
        if self.limits.first_within.as_secs_f64() < self.round_s {
            return pause;
        }
        self.align(now, Duration::ZERO, pause, draw)
    }

    /// Returns the pause until a slot of the node: the last one that begins within `pause` and after `least`, or else the
    /// first one that begins after `least`. `now` is Unix time; `draw`, a random number from 0 to 1, selects the time
    /// within the slot. A slot that has begun is not used again.
    pub fn align(&self, now: Duration, least: Duration, pause: Duration, draw: f64) -> Duration {
        let first_slot_s = f64::from(self.position.0) * self.slot_s;
        let in_round_s = now.as_secs_f64() % self.round_s;
        let rounds_until = |delay: Duration| {
            ((in_round_s + delay.as_secs_f64() - first_slot_s) / self.round_s).floor()
        };
        let round = rounds_until(pause).max(rounds_until(least) + 1.0);
        let start_s = round * self.round_s + first_slot_s - in_round_s;
        Duration::from_secs_f64((start_s + draw.clamp(0.0, 1.0) * self.slot_s).max(0.0))
    }
}
