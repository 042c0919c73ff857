//! Reachability of zones.

use crate::interface::ZoneId;
use crate::statistics::as_share;
use std::collections::BTreeMap;

/// Weight of the latest attempt in the share of a zone's attempts that cannot connect.
const ZONE_WEIGHT: f64 = 0.2;

/// The share of attempts into each zone that could not connect. If the links to an entire zone fail, this detects it
/// much earlier than the statistics of each server. Peers elsewhere may still reach the zone, so only attempts of this
/// node count.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneReachability(BTreeMap<ZoneId, f64>);

impl ZoneReachability {
    /// Records whether an attempt into a zone could not connect.
    pub fn record(&mut self, zone: ZoneId, unreachable: bool) {
        let share = self.0.entry(zone).or_default();
        *share += (as_share(unreachable) - *share) * ZONE_WEIGHT;
    }

    /// The share of attempts into a zone that could not connect, 0 to 1.
    pub fn unreachable_share(&self, zone: ZoneId) -> f64 {
        self.0.get(&zone).copied().unwrap_or(0.0)
    }
}
