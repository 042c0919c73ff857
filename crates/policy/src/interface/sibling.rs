//! What two processes of one node tell each other during a hot restart: while both serve, they count as one node. The
//! names in JSON are those that earlier builds write.

use super::{AttemptNumber, ClassId, CustomerId, Micros, NodeId, PlanId, RequestId, ServerId};
use serde::{Deserialize, Serialize};

/// An attempt that one process of a node has begun, as the others see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiblingAttempt {
    /// The request.
    #[serde(rename = "id")]
    pub request: RequestId,
    /// Which attempt of it.
    pub attempt: AttemptNumber,
    /// The server.
    pub server: ServerId,
    /// The request's customer.
    pub customer: CustomerId,
    /// The request's class.
    pub class: ClassId,
    /// Since when only the back end holds the request up, µs.
    #[serde(rename = "due")]
    pub queued_since: Micros,
    /// When the attempt was dispatched, µs.
    #[serde(rename = "sent")]
    pub sent_at: Micros,
    /// Attempts that were in flight at the server then, with this one.
    #[serde(rename = "places")]
    pub in_flight: f64,
    /// What the request draws on its customer's quota, with its first attempt only.
    #[serde(default, rename = "first")]
    pub charge: Option<QuotaCharge>,
}

/// What a request draws, and on which quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCharge {
    /// The customer's plan.
    pub plan: PlanId,
    /// Units.
    pub units: f64,
    /// The customer's subset of nodes: the first, and how many.
    #[serde(rename = "set")]
    pub subset: (NodeId, u32),
}

/// A message between two processes of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SiblingMessage {
    /// An attempt has begun.
    #[serde(rename = "out")]
    AttemptStarted(SiblingAttempt),
    /// It has ended.
    #[serde(rename = "in")]
    AttemptEnded {
        /// The request.
        #[serde(rename = "id")]
        request: RequestId,
        /// Which attempt of it.
        attempt: AttemptNumber,
    },
}
