//! What is known of the nodes of the fleet, and how many messages they may send each other.

use crate::interface::{Micros, NodeId, Settings, SECOND};
use crate::token_bucket::kept_back_s;

/// How much older a peer must be for this node to count as restarted; and for how long after its start a restarted node
/// begins customers' buckets with its even share only. Both are the time in which peers' reports show what was used.
pub(crate) const RESTART_WINDOW: Micros = 4 * SECOND;
/// Share of a peer's intake of messages that all nodes together may fill.
const INTAKE_SHARE: f64 = 0.7;
/// A time in which a peer was silent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Silence {
    /// Its last report before.
    pub since: Micros,
    /// For how many seconds its even share was kept back.
    pub kept_back_s: f64,
}

/// What is known of the nodes of the fleet, by their numbers.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    /// When each last sent a usage report; this node is never silent.
    pub last_report_at: Vec<Micros>,
    /// The last silence of each.
    silences: Vec<Silence>,
    /// When each last sent anything.
    pub last_received_at: Vec<Micros>,
    /// When a gossip payload of each was last taken in.
    pub last_payload_at: Vec<Micros>,
    /// Whether each is known to speak of leases.
    pub supports_leases: Vec<bool>,
    pub next_report_at: Micros,
    pub next_payload_at: Micros,
}

impl PeerTable {
    /// A table of so many nodes; `node` is this one.
    pub fn new(now: Micros, node: NodeId, node_count: u32, large_fleet: bool) -> Self {
        let nodes = node_count as usize;
        // In a large fleet peers do not report unasked, so silence is no sign.
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

    /// A peer has sent a usage report; the result is its last silence.
    pub fn record_report(&mut self, now: Micros, from: NodeId) -> Silence {
        let peer = from.0 as usize;
        let last_report = std::mem::replace(&mut self.last_report_at[peer], now);
        let kept_back_s = kept_back_s(now, last_report);
        if kept_back_s > 0.0 {
            self.silences[peer] = Silence {
                since: last_report,
                kept_back_s,
            };
        }
        self.silences[peer]
    }
}

/// Messages per second that one node may send, so that all of them together keep to a share of each one's intake.
pub(crate) fn messages_per_s(settings: &Settings) -> f64 {
    settings.peer_messages_per_s * INTAKE_SHARE
}

/// Time between usage reports to all peers that their intake allows, µs; 0 without peers, infinite without messages.
pub(crate) fn usage_report_interval(settings: &Settings) -> f64 {
    let messages = if settings.permissions.peer_messages {
        messages_per_s(settings)
    } else {
        0.0
    };
    1e6 * f64::from(settings.node_count.saturating_sub(1)) / messages
}
