//! Messages between nodes, and their layout in a datagram. Their contents are determined in `grants`, `gossip`, `peers`
//! and `slow_start`.
//!
//! A datagram consists of a version byte, a kind byte and the fields of that kind, little-endian, at most [`MAX_BYTES`]
//! long. Kinds 6 and 7 are grant requests and responses, 9 and 10 the same with leases. Kinds 4 and 5 are those of an
//! earlier build; this build answers such requests, but does not send any. Kinds 1 and 2 are no longer decoded. A build
//! ignores kinds that it does not know, so nodes of different builds can run in one fleet.

mod decode;
mod encode;

pub(crate) use decode::decode;
pub(crate) use encode::encode;

use crate::gossip_average::GossipAverage;
use crate::interface::{ClassId, CustomerId, Micros, PlanId, MILLISECOND};
use crate::shard_owners::NodeSubset;
use saffronpaddle_quota::{GrantDecision, GrantResponse, Lease, LeaseDemand, ReportedFill};
use saffronpaddle_slow_start::TransferredPermit;

/// Version of the layout, the first byte.
const VERSION: u8 = 2;
/// Maximum length of a datagram.
const MAX_BYTES: usize = 256;
/// Bytes of version and kind.
const HEADER_BYTES: usize = 2;
/// Bytes of a customer's id.
const CUSTOMER_BYTES: usize = 5;
/// Bytes of a customer's usage: its id and its counter.
const USAGE_BYTES: usize = CUSTOMER_BYTES + 2;
/// Bytes of an observation of a server in a payload; one that would exceed [`MAX_BYTES`] is left out.
const OBSERVATION_BYTES: usize = 6;

/// Fixed-point steps per quota unit, per latency objective, per attempt in flight and per response per second.
const STEPS_PER_UNIT: f64 = 16.0;
/// Step of a server's wait per attempt, µs.
const WAIT_STEP: f64 = 8_000.0;
/// Step of an observation's age.
const AGE_STEP: Micros = 32 * MILLISECOND;
/// Steps per unit per second of a lease's rate. With coarser steps, rounding would leave a part of each lease unused.
const LEASE_RATE_STEPS: f64 = 512.0;
/// Steps per unit of a lease's capacity.
const LEASE_CAPACITY_STEPS: f64 = 8.0;
/// Step of the age of a reported fill, and of the remaining time of a lease.
const REPORT_AGE_STEP: Micros = 64 * MILLISECOND;
/// Step of the time until a request can be granted again.
const RETRY_AFTER_STEP: Micros = 8 * MILLISECOND;
/// Steps of a share between 0 and 1 that is encoded in a separate byte.
const SHARE_STEPS: f64 = 255.0;
/// Steps of a fault rate between 0 and 1, which shares its byte with the class.
const FAULT_RATE_STEPS: u8 = 31;
/// Number of classes that a payload can contain.
const MAX_CLASSES: usize = 8;
/// Decisions, indexed by their numbers in messages.
const DECISIONS: [GrantDecision; 4] = [
    GrantDecision::Granted,
    GrantDecision::OverQuota,
    GrantDecision::TooManyInFlight,
    GrantDecision::OverHardLimit,
];

/// Number of customers whose usage fits into one report; the report's other field is the incarnation, 4 bytes.
pub(crate) const MAX_USAGES: usize = (MAX_BYTES - HEADER_BYTES - 4) / USAGE_BYTES;

/// Numbers of the kinds of messages.
mod kind {
    /// [`super::PeerMessage::UsageReport`].
    pub const USAGE_REPORT: u8 = 0;
    /// [`super::PeerMessage::PermitRelease`].
    pub const PERMIT_RELEASE: u8 = 3;
    /// [`super::PeerMessage::GrantRequest`] of an earlier build, without [`super::RequesterState`].
    pub const LEGACY_GRANT_REQUEST: u8 = 4;
    /// [`super::PeerMessage::LegacyGrantResponse`].
    pub const LEGACY_GRANT_RESPONSE: u8 = 5;
    /// [`super::PeerMessage::GrantRequest`] without a lease demand.
    pub const GRANT_REQUEST: u8 = 6;
    /// [`super::PeerMessage::GrantResponse`] without a lease field.
    pub const GRANT_RESPONSE: u8 = 7;
    /// [`super::PeerMessage::PermitTransfer`].
    pub const PERMIT_TRANSFER: u8 = 8;
    /// [`super::PeerMessage::GrantRequest`] with a lease demand.
    pub const GRANT_REQUEST_WITH_LEASE: u8 = 9;
    /// [`super::PeerMessage::GrantResponse`] with a lease field, which may deny a lease.
    pub const GRANT_RESPONSE_WITH_LEASE: u8 = 10;
}

/// Statistics of a node on one server for one class.
pub(crate) struct Observation {
    pub short_server_id: u16,
    pub class: ClassId,
    pub fault_rate: f64,
    /// Gossip average of recent faults across the fleet.
    pub fleet_faults: GossipAverage,
    /// Wait per attempt in flight at the server, µs.
    pub wait_per_attempt: f64,
    /// Time since the node last observed the server.
    pub age: Micros,
}

/// Statistics that grant requests and responses carry along.
#[derive(Default)]
pub(crate) struct GossipPayload {
    /// Responses per second, mean per node.
    pub service_rate: f64,
    /// Latency of each class as a multiple of its objective.
    pub normalized_latencies: Vec<GossipAverage>,
    /// Attempts in flight, mean per node.
    pub in_flight: GossipAverage,
    pub observations: Vec<Observation>,
}

/// Usage of one customer at a node: a running counter of the units forwarded, in eighths of a unit.
#[derive(Clone, Copy)]
pub(crate) struct CustomerUsage {
    pub customer: CustomerId,
    pub counter: u16,
}

/// Usage of the customers that a node has served recently.
pub(crate) struct UsageReport {
    /// When the node started, ms modulo 2^32.
    pub incarnation: u32,
    pub usages: Vec<CustomerUsage>,
}

/// State of the requester, by which an owner detects its own restart and initializes the shard.
#[derive(Clone, Copy)]
pub(crate) struct RequesterState {
    /// Uptime in seconds, at most 255.
    pub uptime_s: u8,
    /// Fill of the shard that an owner last reported to the requester.
    pub reported_fill: Option<ReportedFill>,
}

/// Asks an owner of a customer's quota to grant a request.
#[derive(Clone, Copy)]
pub(crate) struct GrantRequestMessage {
    pub serial: u16,
    pub customer: CustomerId,
    pub plan: PlanId,
    pub subset: NodeSubset,
    /// Number of the addressed owner among the customer's owners.
    pub owner: u8,
    /// Units that the request needs; 0 in a request for a lease only.
    pub units: f64,
    /// `None` from an earlier build.
    pub requester: Option<RequesterState>,
    /// `None` from an earlier build, and where leases are disabled.
    pub lease_demand: Option<LeaseDemand>,
}

/// The lease field of an owner's response.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum LeaseOffer {
    /// The field is absent, as the requester did not ask for a lease.
    NotAsked,
    /// The requester asked for a lease, and the owner issued none.
    Denied,
    /// The owner issued a lease.
    Issued(Lease),
}

impl LeaseOffer {
    /// Returns the lease if one was issued.
    pub fn lease(self) -> Option<Lease> {
        match self {
            LeaseOffer::Issued(lease) => Some(lease),
            LeaseOffer::NotAsked | LeaseOffer::Denied => None,
        }
    }
}

/// A message between two nodes.
pub(crate) enum PeerMessage {
    UsageReport(UsageReport),
    GrantRequest {
        request: GrantRequestMessage,
        payload: Option<GossipPayload>,
    },
    GrantResponse {
        serial: u16,
        response: GrantResponse,
        lease: LeaseOffer,
        payload: Option<GossipPayload>,
    },
    /// Response to a grant request of an earlier build.
    LegacyGrantResponse {
        serial: u16,
        response: GrantResponse,
        payload: GossipPayload,
    },
    /// Releases an owner's in-flight permit after the attempt that held it has ended.
    PermitRelease {
        serial: u16,
        customer: CustomerId,
    },
    /// Transfers a permit for one attempt at a server in slow start. Builds that do not know this kind ignore it.
    PermitTransfer {
        short_server_id: u16,
        permit: TransferredPermit,
    },
}

#[cfg(test)]
mod tests;
