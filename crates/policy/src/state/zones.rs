//! Which zones attempts do not reach.

use crate::interface::ZoneId;
use crate::statistics::as_share;
use std::collections::BTreeMap;

/// Weight of an attempt in the share of a zone's attempts that find no connection.
const ZONE_WEIGHT: f64 = 0.2;

/// The share of attempts into each zone that found no connection. The links of a whole zone may be cut, which is found
/// much later server by server. Peers elsewhere may still reach them, so only what is seen here counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneReachability(BTreeMap<ZoneId, f64>);

impl ZoneReachability {
    /// Records whether an attempt found a connection.
    pub fn record(&mut self, zone: ZoneId, unreachable: bool) {
        let share = self.0.entry(zone).or_default();
        *share += (as_share(unreachable) - *share) * ZONE_WEIGHT;
    }

    /// The share for one zone, 0 to 1.
    pub fn unreachable_share(&self, zone: ZoneId) -> f64 {
        self.0.get(&zone).copied().unwrap_or(0.0)
    }
}
