//! Messages between two processes of one node during a hot restart, by which they share limits as one node while both
//! serve. The names in JSON are those that earlier builds write.

use super::{AttemptNumber, ClassId, CustomerId, Micros, NodeId, PlanId, RequestId, ServerId};
use serde::{Deserialize, Serialize};

/// An attempt that one process of a node has started and announces to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the ids need no explanation")]
pub struct SiblingAttempt {
    #[serde(rename = "id")]
    pub request: RequestId,
    pub attempt: AttemptNumber,
    pub server: ServerId,
    pub customer: CustomerId,
    pub class: ClassId,
    /// Time from which the request has waited only for the back end, µs.
    #[serde(rename = "due")]
    pub queued_since: Micros,
    /// When the attempt was dispatched, µs.
    #[serde(rename = "sent")]
    pub sent_at: Micros,
    /// Attempts in flight at the server when this one was dispatched, including this one.
    #[serde(rename = "places")]
    pub in_flight: f64,
    /// Charge to the customer's quota; `None` for attempts after the first.
    #[serde(default, rename = "first")]
    pub charge: Option<QuotaCharge>,
}

/// The charge of a request to its customer's quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCharge {
    /// Plan that defines the quota.
    pub plan: PlanId,
    /// Units charged.
    pub units: f64,
    /// The customer's subset of nodes: the first node and the number of nodes.
    #[serde(rename = "set")]
    pub subset: (NodeId, u32),
}

/// A message between two processes of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the ids need no explanation")]
pub enum SiblingMessage {
    /// An attempt has been dispatched.
    #[serde(rename = "out")]
    AttemptStarted(SiblingAttempt),
    /// An attempt that was announced before has ended.
    #[serde(rename = "in")]
    AttemptEnded {
        #[serde(rename = "id")]
        request: RequestId,
        attempt: AttemptNumber,
    },
}
