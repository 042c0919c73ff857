//! State about the nodes of the fleet, and the rates at which they may send messages to each other.

use crate::interface::{Micros, NodeId, Settings, SECOND};
use crate::token_bucket::share_withheld_s;

/// How much longer than this node a peer must have been up to show that this node was restarted. Also the time after
/// its start during which a restarted node creates customers' buckets with only its even share: by its end, the peers'
/// reports have shown what was used before.
pub(crate) const RESTART_WINDOW: Micros = 4 * SECOND;
/// Share of the rate at which a node can receive messages that all its peers together may use.
const INTAKE_SHARE: f64 = 0.7;

/// A period in which a peer sent no reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Silence {
    /// When the last report before the period was received.
    pub since: Micros,
    /// Seconds for which the peer's even share was withheld.
    pub share_withheld_s: f64,
}

/// State about the nodes of the fleet, indexed by node number.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    /// When the last usage report was received; [`Micros::MAX`] for this node, which is never silent.
    pub last_report_at: Vec<Micros>,
    /// The most recent silence of each node.
    silences: Vec<Silence>,
    /// When the last message of any kind was received.
    pub last_received_at: Vec<Micros>,
    /// When a gossip payload was last applied.
    pub last_payload_at: Vec<Micros>,
    /// Whether a message with a lease field has been received.
    pub supports_leases: Vec<bool>,
    pub next_report_at: Micros,
    pub next_payload_at: Micros,
}

impl PeerTable {
    /// Creates the table of a fleet of `node_count` nodes, of which this is `node`.
    pub fn new(now: Micros, node: NodeId, node_count: u32, large_fleet: bool) -> Self {
        let nodes = node_count as usize;
        // Peers broadcast no reports in a large fleet, so their silence means nothing.
        let mut last_report_at = vec![if large_fleet { Micros::MAX } else { now }; nodes];
        last_report_at[node.0 as usize] = Micros::MAX;
        PeerTable {
            last_report_at,
            silences: vec![Silence::default(); nodes],
            last_received_at: vec![0; nodes],
            last_payload_at: vec![0; nodes],
            supports_leases: vec![false; nodes],
            next_report_at: now,
            next_payload_at: now,
        }
    }

    /// Records that a peer has sent a usage report. Returns its most recent silence.
    pub fn record_report(&mut self, now: Micros, from: NodeId) -> Silence {
        let peer = from.0 as usize;
        let last_report = std::mem::replace(&mut self.last_report_at[peer], now);
        let share_withheld_s = share_withheld_s(now, last_report);
        if share_withheld_s > 0.0 {
            self.silences[peer] = Silence {
                since: last_report,
                share_withheld_s,
            };
        }
        self.silences[peer]
    }
}

/// Messages per second that one node may send, so that all nodes together stay within [`INTAKE_SHARE`] of the rate that
/// each can receive.
pub(crate) fn messages_per_s(settings: &Settings) -> f64 {
    settings.peer_messages_per_s * INTAKE_SHARE
}

/// Shortest interval between usage reports to all peers that their message rate allows, µs. Zero without peers,
/// infinite where messages are not permitted.
pub(crate) fn usage_report_interval(settings: &Settings) -> f64 {
    let messages = if settings.permissions.peer_messages {
        messages_per_s(settings)
    } else {
        0.0
    };
    1e6 * f64::from(settings.node_count.saturating_sub(1)) / messages
}
