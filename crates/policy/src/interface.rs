//! What goes into and comes out of the decision module: settings, events and actions.
//!
//! Types only. Every decision is in [`crate::control`].

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A time or a span, in microseconds.
pub type Micros = u64;

/// A client's request at this gateway. Ids are never used twice.
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

/// A gateway's number, from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u32);

/// Place of a class in [`Settings::classes`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClassId(pub usize);

/// Place of a plan in [`Settings::plans`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PlanId(pub usize);

/// A zone (hall, building), numbered by whoever embeds the module; only equality counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ZoneId(pub u32);

/// A group of servers that share what they know of repeated keys.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DeduplicationDomainId(pub u64);

/// Number of an attempt of one request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptNumber(pub u32);

/// Which servers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// Those in the zone of the first attempt's server.
    Zone,
    /// Those in its cell.
    Domain,
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: safe to repeat.
    Idempotent,
    /// Dropped inside `group`, for `window` after the first attempt that may have run was sent.
    WithKey {
        /// Where repeats are dropped.
        scope: DeduplicationScope,
        /// How long they are dropped.
        window: Micros,
    },
    /// Harm: it must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub latency_objective: Micros,
    /// Share of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// Worth of one request.
    pub priority_weight: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
}

/// A hard ceiling on what all gateways pass on for one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardLimit {
    /// Units a second.
    pub rate: f64,
    /// Most units at once.
    pub capacity: f64,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0 for no limit by rate.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be out at once; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// What the plan's worth counts, times the class's.
    pub priority_weight: f64,
    /// Share of the worth earned by what goes beyond the quota.
    pub over_quota_value: f64,
    /// Share of the worth that a try sent beyond the quota costs.
    pub over_quota_cost: f64,
    /// The hard ceiling, if the plan has one.
    pub hard_limit: Option<HardLimit>,
}

/// How changes of the list of servers reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// By themselves.
    Pushed,
    /// After [`Action::Follow`].
    Subscribed,
}

/// Figures of the rules on drains and cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// A server starts at this share of its capacity or above.
    pub initial_capacity: f64,
    /// It is warm after this span.
    pub warm_up_period: Micros,
    /// Work above this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this span makes it fall.
    pub overload_window: Micros,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Peers may be told.
    pub peer_messages: bool,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub node: NodeId,
    /// How many gateways there are.
    pub node_count: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Customers' plans.
    pub plans: Vec<Plan>,
    /// Figures of the rules.
    pub slow_start: SlowStartRules,
    /// What is allowed.
    pub permissions: Permissions,
    /// Price of an attempt that crosses zones, a request.
    pub cross_zone_cost: f64,
    /// How list changes come.
    pub discovery: DiscoveryMode,
    /// Shortest span between two rounds of events.
    pub event_interval: Micros,
    /// Messages from peers that a gateway takes in a second.
    pub peer_messages_per_s: f64,
    /// Units of the largest request.
    pub max_request_units: f64,
    /// A server closes a connection that has stood idle for so long.
    pub server_idle_timeout: Micros,
    /// Whether each keeper of a customer's quota holds a part of its own, so that two that do not hear each other never grant more
    /// than the whole. The same at all gateways.
    pub partition_safe: bool,
    /// Whether asks are put again only within a budget of words.
    pub retransmission_budget: bool,
    /// Whether of a long list of servers each is sent to by some gateways alone. The same at all gateways.
    pub subsetting: bool,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// There is no plan.
    NoPlans,
    /// There is no gateway, or this one's number is not among them.
    UnknownNode,
    /// A figure is negative or not a number.
    InvalidNumber,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => f.write_str("settings name no class"),
            Self::NoPlans => f.write_str("settings name no plan"),
            Self::UnknownNode => f.write_str("this gateway's number is not among the gateways"),
            Self::InvalidNumber => {
                f.write_str("settings hold a figure that is negative or no number")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// Its process runs.
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It was removed.
    #[default]
    #[serde(rename = "Gone")]
    Removed,
}

/// One server on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Which.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    #[serde(rename = "cell")]
    pub domain: DeduplicationDomainId,
    /// Its standing.
    #[serde(rename = "standing")]
    pub status: EndpointStatus,
    /// Rough size against the others; above 0.
    pub size: f64,
    /// When it last started; `None` for long ago.
    #[serde(rename = "started")]
    pub started_at: Option<Micros>,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The whole list; who is not on it is gone.
    Snapshot,
    /// Only what changed.
    Delta,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen: never ran.
    Rejected,
    /// No answer in time; it may have run, or still may.
    TimedOut,
    /// No connection: never ran.
    Unreachable,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What an attempt of one process of a gateway is to another: two processes are one gateway while the second takes over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiblingAttempt {
    /// The request.
    #[serde(rename = "id")]
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNumber,
    /// To whom.
    pub server: ServerId,
    /// Whose.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// Since when only the back end holds it up.
    #[serde(rename = "due")]
    pub queued_since: Micros,
    /// When it was sent.
    #[serde(rename = "sent")]
    pub sent_at: Micros,
    /// Attempts that were out at the server then, with this one.
    #[serde(rename = "places")]
    pub in_flight: f64,
    /// The terms of its try, if it is the first one of it: then it takes its units.
    #[serde(default, rename = "first")]
    pub charge: Option<QuotaCharge>,
}

/// What a try draws, and on which store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaCharge {
    /// Its plan.
    pub plan: PlanId,
    /// What it counts.
    pub units: f64,
    /// The customer's set of gateways: the first, and how many.
    pub set: (NodeId, u32),
}

/// What processes of one gateway tell each other.
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
        /// Which attempt.
        attempt: AttemptNumber,
    },
}

/// What a gateway is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointsChanged {
        /// How to read it.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// The list could not be had, or is no longer followed; the old one stands.
    EndpointsUnavailable,
    /// A client's try has come in.
    RequestArrived {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its customer's plan.
        plan: PlanId,
        /// Its customer.
        customer: CustomerId,
        /// What it counts.
        units: f64,
        /// First of the customer's gateways; the others follow, counted round.
        first: NodeId,
        /// How many gateways the customer's tries come through.
        spread: u32,
        /// How long the client waits for this try.
        timeout: Micros,
        /// Whether it has come whole. Of one that has not, the rest goes to a server as it comes, once;
        /// [`Event::Whole`] follows, and till then `patience` is what its coming may take.
        complete: bool,
    },
    /// The last byte of a request has come; it is held back until this is handled, and goes to the server of the attempt
    /// that is out, if the request is open then.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// How long the client waits from now on.
        timeout: Micros,
    },
    /// A streamed answer has begun: the attempt belongs to the client now.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended. Each sent attempt gets exactly one of these.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// How.
        outcome: Outcome,
        /// The request is closed: nothing more is owed.
        request_closed: bool,
    },
    /// Nobody waits for this request any more.
    RequestAbandoned {
        /// The request.
        id: RequestId,
    },
    /// A wake-up that was asked for.
    TimerFired {
        /// As given.
        token: u64,
    },
    /// A message from a peer.
    PeerMessage {
        /// Who sent it.
        from: NodeId,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// Another process of this gateway has told something.
    SiblingMessage {
        /// Over which link.
        link: u32,
        /// What.
        message: SiblingMessage,
    },
    /// Who else is this gateway now.
    SiblingsChanged {
        /// A link that has ended: what was out there is no more.
        ended_link: Option<u32>,
        /// Whether attempts have to be told.
        share_attempts: bool,
        /// Whether another process speaks to peers in this one's stead.
        peer_messages_delegated: bool,
    },
}

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass the request on. Attempts are numbered from 0 in the order sent.
    Send {
        /// The request.
        id: RequestId,
        /// To whom.
        server: ServerId,
        /// Give the attempt up after this; `None` for when the client does.
        timeout: Option<Micros>,
    },
    /// Final answer: refused, and trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Advice on when.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// A message to every peer.
    Broadcast {
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A message to one peer.
    SendToPeer {
        /// To whom.
        to: NodeId,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A word to the other processes of this gateway.
    SendToSiblings(SiblingMessage),
    /// Wake me.
    SetTimer {
        /// After this long.
        after: Micros,
        /// Comes back as given.
        token: u64,
    },
    /// Follow changes of the list.
    Subscribe,
    /// A line for the log.
    Log(String),
}
