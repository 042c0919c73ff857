//! How crowded the servers are by what a whole fleet has out, of which each gateway has next to nothing.
//!
//! Danger that it guards against: servers that fall away at once, drained or lost with their hall. Those left take the
//! whole load, jam and lose efficiency; the latencies of what is answered tell of it only when the jam is there, and it
//! outlasts its cause. What is out and who may take it are known at once: the one is pooled over the fleet, the other
//! is on the list. By Little's law what is out over what is served a second is the time that it takes, so a server that
//! is known to serve so many a second bears what it serves in a part of the shortest aim, however large it is.

use crate::pooled::{Pooled, OUT_FADES_IN};

/// Part of the shortest aim in which what a fleet has out at a server should be served.
const FIT: f64 = 0.5;
/// Attempts that all gateways may always have out at a server that is warm: what it serves is seen late.
const FLOOR: f64 = 4.0;

/// What is out, and who may take it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowding {
    /// What gateways have out, each.
    pub out: Pooled,
    /// How many warm servers those are worth that may take anything now.
    fit: f64,
    /// How many servers are ready.
    ready: f64,
}

impl Crowding {
    /// Takes in how many servers are ready, and how many warm ones those of them are worth that are not out.
    pub fn servers(&mut self, ready: f64, fit: f64) {
        (self.ready, self.fit) = (ready, fit);
    }

    /// Takes in what is out at this gateway, a span in s after it did so last.
    pub fn tick(&mut self, span: f64, out: f64) {
        self.out.fade(span / OUT_FADES_IN);
        self.out.add((out, 1.0));
    }

    /// What all gateways have out, as a multiple of what those servers bear. `served` is what a gateway is answered a
    /// second, `aim` the shortest, in s.
    pub fn now(&self, gateways: f64, served: f64, aim: f64) -> f64 {
        let out = self.out.mean().unwrap_or(0.0) * gateways;
        let each = served * gateways / self.ready.max(1.0) * aim * FIT;
        out / (each.max(FLOOR) * self.fit).max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn of(out: f64, fit: f64) -> Crowding {
        let mut crowding = Crowding::default();
        crowding.servers(60.0, fit);
        (0..20).for_each(|_| crowding.tick(0.5, out));
        crowding
    }

    #[test]
    fn servers_that_fall_away_are_told_at_once_whatever_the_size_of_the_fleet() {
        for gateways in [30.0, 100.0, 1000.0] {
            // 120 out in all at 60 servers, which is easy; at 20 it is not.
            let mut crowding = of(120.0 / gateways, 60.0);
            assert!(crowding.now(gateways, 450.0 / gateways, 0.6) < 0.6);
            crowding.servers(20.0, 20.0);
            assert!(crowding.now(gateways, 450.0 / gateways, 0.6) > 0.85);
            crowding.servers(20.0, 12.0);
            assert!(crowding.now(gateways, 450.0 / gateways, 0.6) > 1.4);
        }
    }

    #[test]
    fn large_servers_bear_what_they_are_known_to_serve() {
        // 60 servers that each serve 100 a second have 1,200 out at a latency of 200 ms: a third of the aim.
        assert!(of(12.0, 60.0).now(100.0, 60.0, 0.6) < 0.7);
        assert!(of(48.0, 60.0).now(100.0, 60.0, 0.6) > 2.0);
    }
}
