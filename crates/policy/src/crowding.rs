//! How crowded the servers are by what a whole fleet has out, of which each gateway has next to nothing.
//!
//! Danger that it guards against: servers that fall away at once, drained or lost with their hall. Those left take the
//! whole load, jam and lose efficiency; the latencies of what is answered tell of it only when the jam is there, and it
//! outlasts its cause. What is out and who may take it are known at once: the one is pooled over the fleet, the other
//! is on the list. By Little's law what is out over what is served a second is the time that it takes, so a server that
//! is known to serve so many a second bears what it serves in a part of the shortest aim, however large it is.

use crate::mean::Mean;
use crate::pooled::{Pooled, OUT_FADES_IN};

/// Part of the shortest aim in which what a fleet has out at a server should be served.
const FIT: f64 = 0.5;
/// Weight of a tick in the mean rate of answers of a wide fleet, and in the mean of the servers that gave them.
pub const SERVED_WEIGHT: f64 = 0.05;
/// Attempts that all gateways may always have out at a server that is warm: what it serves is seen late.
const FLOOR: f64 = 4.0;

/// What is out, and who may take it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowding {
    /// What gateways have out, each.
    pub out: Pooled,
    /// How many warm servers those are worth that may take anything now.
    fit: f64,
    /// The same in the mean over the time in which what is served was counted. Danger: answers of the last seconds set beside the
    /// servers of this moment: those left when others fall away look quick, and those that have just come back slow.
    did: Mean,
}

impl Crowding {
    /// Takes in how many warm servers those are worth that are ready and not out.
    pub fn servers(&mut self, fit: f64) {
        self.fit = fit;
    }

    /// Takes in what is out at this gateway, a span in s after it did so last.
    pub fn tick(&mut self, span: f64, out: f64) {
        self.out.fade(span / OUT_FADES_IN);
        self.out.add((out, 1.0));
        self.did.add(self.fit, SERVED_WEIGHT);
    }

    /// What all gateways have out, as a multiple of what those servers bear. `served` is what a gateway is answered a
    /// second in the mean over ticks, `aim` the shortest, in s.
    pub fn now(&self, gateways: f64, served: f64, aim: f64) -> f64 {
        let out = self.out.mean().unwrap_or(0.0) * gateways;
        let did = if self.did.is_known() {
            self.did.now()
        } else {
            self.fit
        };
        let each = served * gateways / did.max(1.0) * aim * FIT;
        out / (each.max(FLOOR) * self.fit).max(1.0)
    }
}

#[cfg(test)]
mod tests;
