//! Interface of the policy engine: settings, events and actions.
//!
//! This module contains types only; the policies are in the other modules of this crate. All times are in µs of one
//! monotonic clock, which the embedding process reads.

mod action;
mod endpoint;
mod event;
mod ids;
mod settings;
mod sibling;
mod time;

pub use action::{Action, Diagnostic};
pub use endpoint::{Endpoint, EndpointStatus, EndpointUpdate};
pub use event::{Event, Outcome};
pub use ids::{
    AttemptNumber, ClassId, CustomerId, DeduplicationDomainId, NodeId, PlanId, RequestId, ServerId,
    ZoneId,
};
pub use settings::{
    Class, DeduplicationScope, DiscoveryMode, HardLimit, Idempotency, Permissions, Plan, Settings,
    SettingsError, SlowStartRules,
};
pub use sibling::{QuotaCharge, SiblingAttempt, SiblingMessage};
pub use time::{Micros, MILLISECOND, SECOND};
