//! Messages between nodes, and how they are laid out in a datagram. What goes into one is decided in `grants`, `gossip`
//! and `slow_start`.
//!
//! A datagram has a version byte, a kind byte and the fields of that kind, little-endian, at most [`MAX_BYTES`]. Kinds 6
//! and 7 are grant requests and responses, 9 and 10 the same with leases; 4 and 5 are those of an earlier build, which
//! are only answered. Kinds 1 and 2 are no longer read. What a build does not know it passes over, so builds of
//! different age run in one fleet.

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
/// Longest datagram.
const MAX_BYTES: usize = 256;
/// Bytes of version and kind.
const HEADER_BYTES: usize = 2;
/// Bytes of a customer's id.
const CUSTOMER_BYTES: usize = 5;
/// Bytes of a customer's usage: its id and its counter.
const USAGE_BYTES: usize = CUSTOMER_BYTES + 2;
/// Bytes of an observation.
const OBSERVATION_BYTES: usize = 6;

/// Steps per unit of quotas, of multiples of a latency objective and of rates per second.
const STEPS_PER_UNIT: f64 = 16.0;
/// Step of a server's wait, µs.
const WAIT_STEP: f64 = 8_000.0;
/// Step of an observation's age.
const AGE_STEP: Micros = 32 * MILLISECOND;
/// Steps per unit a second of a lease's rate. Coarser ones would leave some of each lease idle.
const LEASE_RATE_STEPS: f64 = 512.0;
/// Steps per unit of a lease's capacity.
const LEASE_CAPACITY_STEPS: f64 = 8.0;
/// Step of the time since a shard's fill was reported, and of the time that a lease has left.
const REPORT_AGE_STEP: Micros = 64 * MILLISECOND;
/// Step of the time within which no request can be granted.
const RETRY_AFTER_STEP: Micros = 8 * MILLISECOND;
/// Steps of a share between 0 and 1 that has a byte of its own.
const SHARE_STEPS: f64 = 255.0;
/// Steps of a fault rate, which shares its byte with the class.
const FAULT_RATE_STEPS: u8 = 31;
/// Classes that an observation can name.
const MAX_CLASSES: usize = 8;
/// Decisions by their numbers.
const DECISIONS: [GrantDecision; 4] = [
    GrantDecision::Granted,
    GrantDecision::OverQuota,
    GrantDecision::TooManyInFlight,
    GrantDecision::OverHardLimit,
];

/// Customers whose usage fits into one report.
pub(crate) const MAX_USAGES: usize = (MAX_BYTES - HEADER_BYTES - 4) / USAGE_BYTES;

/// Kinds of messages by their numbers.
mod kind {
    /// [`super::PeerMessage::UsageReport`].
    pub const USAGE_REPORT: u8 = 0;
    /// [`super::PeerMessage::PermitRelease`].
    pub const PERMIT_RELEASE: u8 = 3;
    /// A grant request of an earlier build, without what the requester tells about itself.
    pub const LEGACY_GRANT_REQUEST: u8 = 4;
    /// [`super::PeerMessage::LegacyGrantResponse`].
    pub const LEGACY_GRANT_RESPONSE: u8 = 5;
    /// [`super::PeerMessage::GrantRequest`] without a lease demand.
    pub const GRANT_REQUEST: u8 = 6;
    /// [`super::PeerMessage::GrantResponse`] that says nothing of leases.
    pub const GRANT_RESPONSE: u8 = 7;
    /// [`super::PeerMessage::PermitTransfer`].
    pub const PERMIT_TRANSFER: u8 = 8;
    /// [`super::PeerMessage::GrantRequest`] with a lease demand.
    pub const GRANT_REQUEST_WITH_LEASE: u8 = 9;
    /// [`super::PeerMessage::GrantResponse`] that says whether a lease is issued.
    pub const GRANT_RESPONSE_WITH_LEASE: u8 = 10;
}

/// One server as a node sees it for one class.
pub(crate) struct Observation {
    pub short_server_id: u16,
    pub class: ClassId,
    pub fault_rate: f64,
    /// The faults that the fleet has seen lately.
    pub fleet_faults: GossipAverage,
    pub wait_per_attempt: f64,
    pub age: Micros,
}

/// What rides on grant requests and responses: how the fleet fares, as the sender sees it.
#[derive(Default)]
pub(crate) struct GossipPayload {
    /// Responses per second at one node.
    pub service_rate: f64,
    /// Latency of each class as a multiple of its objective.
    pub normalized_latencies: Vec<GossipAverage>,
    /// Attempts in flight at one node.
    pub in_flight: GossipAverage,
    pub observations: Vec<Observation>,
}

/// What a node forwarded for one customer: a running counter, in eighths of a unit.
#[derive(Clone, Copy)]
pub(crate) struct CustomerUsage {
    pub customer: CustomerId,
    pub counter: u16,
}

/// What a node forwarded lately.
pub(crate) struct UsageReport {
    /// When the node started, ms modulo 2^32.
    pub incarnation: u32,
    pub usages: Vec<CustomerUsage>,
}

/// What a requester tells an owner about itself.
#[derive(Clone, Copy)]
pub(crate) struct RequesterState {
    /// For how long it is up, seconds, at most 255.
    pub uptime_s: u8,
    /// How full an owner has reported the shard to be.
    pub reported_fill: Option<ReportedFill>,
}

/// A request that asks an owner of its customer's quota for a grant.
#[derive(Clone, Copy)]
pub(crate) struct GrantRequestMessage {
    pub serial: u16,
    pub customer: CustomerId,
    pub plan: PlanId,
    pub subset: NodeSubset,
    /// Number of the owner that is meant.
    pub owner: u8,
    pub units: f64,
    /// `None` from an earlier build.
    pub requester: Option<RequesterState>,
    /// `None` from an earlier build, and where leases are off.
    pub lease_demand: Option<LeaseDemand>,
}

/// What an owner says of leases in its response.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum LeaseOffer {
    /// Nothing: the requester did not ask.
    NotAsked,
    /// No lease is issued.
    Denied,
    /// This lease is issued.
    Issued(Lease),
}

impl LeaseOffer {
    /// The lease, if one is issued.
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
    /// The response to a grant request of an earlier build.
    LegacyGrantResponse {
        serial: u16,
        response: GrantResponse,
        payload: GossipPayload,
    },
    /// An attempt has ended that held one of an owner's in-flight permits.
    PermitRelease {
        serial: u16,
        customer: CustomerId,
    },
    /// A permit to send to a server in slow start. Builds that do not know it pass it over.
    PermitTransfer {
        short_server_id: u16,
        permit: TransferredPermit,
    },
}

#[cfg(test)]
mod tests;
