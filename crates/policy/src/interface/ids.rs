//! Identifiers. Each is a newtype, so that one kind cannot be passed in place of another.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A client's request at this node. Ids are never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub Arc<str>);

/// Number of an attempt of one request, from 0 in the order of dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptNumber(pub u32);

macro_rules! numeric_id {
    ($(#[$doc:meta])+ $name:ident($number:ty)) => {
        $(#[$doc])+
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub struct $name(pub $number);
    };
}

numeric_id! {
    /// A server of the shared back end.
    ServerId(u64)
}

numeric_id! {
    /// A customer, to which a quota applies.
    CustomerId(u64)
}

numeric_id! {
    /// A node of the fleet, numbered from 0.
    NodeId(u32)
}

numeric_id! {
    /// Index of a class in [`Settings::classes`](super::Settings::classes).
    ClassId(usize)
}

numeric_id! {
    /// Index of a plan in [`Settings::plans`](super::Settings::plans).
    PlanId(usize)
}

numeric_id! {
    /// An availability zone. The embedding process assigns the numbers; the engine only compares them for equality.
    ZoneId(u32)
}

numeric_id! {
    /// A group of servers that share their records of idempotency keys.
    DeduplicationDomainId(u64)
}
