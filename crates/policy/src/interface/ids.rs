//! Identifiers. Each is a newtype, so that none can be passed for another.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A client's request at this node. Ids are never used twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub Arc<str>);

/// A server of the shared back end.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerId(pub u64);

/// A customer, whom a quota binds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CustomerId(pub u64);

/// A node of the fleet, numbered from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u32);

/// Index of a class in [`Settings::classes`](super::Settings::classes).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClassId(pub usize);

/// Index of a plan in [`Settings::plans`](super::Settings::plans).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PlanId(pub usize);

/// An availability zone, numbered by whoever embeds the engine; only equality counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ZoneId(pub u32);

/// A group of servers that share what they know of idempotency keys.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DeduplicationDomainId(pub u64);

/// Number of an attempt of one request, from 0 in the order of dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptNumber(pub u32);
