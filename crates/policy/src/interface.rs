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
pub struct GatewayId(pub u32);

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
pub struct CellId(pub u64);

/// Number of an attempt of one request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptNo(pub u32);

/// Which servers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// Those in the zone of the first attempt's server.
    Zone,
    /// Those in its cell.
    Cell,
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: safe to repeat.
    Safe,
    /// Dropped inside `group`, for `window` after the first attempt that may have run was sent.
    Keyed {
        /// Where repeats are dropped.
        group: Group,
        /// How long they are dropped.
        window: Micros,
    },
    /// Harm: it must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub aim: Micros,
    /// Share of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// Worth of one request.
    pub worth: f64,
    /// What a repeat does.
    pub effect: Effect,
}

/// A hard ceiling on what all gateways pass on for one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Units a second.
    pub rate: f64,
    /// Most units at once.
    pub depth: f64,
}

/// A plan: the quota of each of its customers, over all gateways together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0 for no limit by rate.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be out at once; `None` for no limit.
    pub at_once: Option<u32>,
    /// What the plan's worth counts, times the class's.
    pub price: f64,
    /// Share of the worth earned by what goes beyond the quota.
    pub over_worth: f64,
    /// Share of the worth that a try sent beyond the quota costs.
    pub over_cost: f64,
    /// The hard ceiling, if the plan has one.
    pub ceiling: Option<Ceiling>,
}

/// How changes of the list of servers reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// By themselves.
    Pushed,
    /// After [`Action::Follow`].
    Followed,
}

/// Figures of the rules on drains and cold servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// A server starts at this share of its capacity or above.
    pub cold_from: f64,
    /// It is warm after this span.
    pub cold_for: Micros,
    /// Work above this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this span makes it fall.
    pub fall_window: Micros,
}

/// What the site allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// Attempts for one request.
    pub attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Peers may be told.
    pub messages: bool,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This gateway.
    pub me: GatewayId,
    /// How many gateways there are.
    pub gateways: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Customers' plans.
    pub plans: Vec<Plan>,
    /// Figures of the rules.
    pub rules: Rules,
    /// What is allowed.
    pub allowed: Allowed,
    /// Price of an attempt that crosses zones, a request.
    pub cross_zone: f64,
    /// How list changes come.
    pub discovery: Discovery,
    /// Shortest span between two rounds of events.
    pub period: Micros,
    /// Messages from peers that a gateway takes in a second.
    pub peer_messages_per_s: f64,
    /// Units of the largest request.
    pub most_units: f64,
    /// A server closes a connection that has stood idle for so long.
    pub conn_idle: Micros,
    /// Whether each keeper of a customer's quota holds a part of its own, so that two that do not hear each other never grant more
    /// than the whole. The same at all gateways.
    pub fenced: bool,
    /// Whether asks are put again only within a budget of words.
    pub spare_words: bool,
    /// Whether of a long list of servers each is sent to by some gateways alone. The same at all gateways.
    pub working_set: bool,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// There is no plan.
    NoPlans,
    /// There is no gateway, or this one's number is not among them.
    BadGateway,
    /// A figure is negative or not a number.
    BadFigure,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => f.write_str("settings name no class"),
            Self::NoPlans => f.write_str("settings name no plan"),
            Self::BadGateway => f.write_str("this gateway's number is not among the gateways"),
            Self::BadFigure => f.write_str("settings hold a figure that is negative or no number"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Its process runs.
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It was removed.
    #[default]
    Gone,
}

/// One server on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Which.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its standing.
    pub standing: Standing,
    /// Rough size against the others; above 0.
    pub size: f64,
    /// When it last started; `None` for long ago.
    pub started: Option<Micros>,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list; who is not on it is gone.
    Complete,
    /// Only what changed.
    Changes,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen: never ran.
    Full,
    /// No answer in time; it may have run, or still may.
    TimedOut,
    /// No connection: never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What an attempt of one process of a gateway is to another: two processes are one gateway while the second takes over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TwinOut {
    /// The request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// To whom.
    pub server: ServerId,
    /// Whose.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// Since when only the back end holds it up.
    pub due: Micros,
    /// When it was sent.
    pub sent: Micros,
    /// Attempts that were out at the server then, with this one.
    pub places: f64,
    /// The terms of its try, if it is the first one of it: then it takes its units.
    #[serde(default)]
    pub first: Option<TwinTerms>,
}

/// What a try draws, and on which store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TwinTerms {
    /// Its plan.
    pub plan: PlanId,
    /// What it counts.
    pub units: f64,
    /// The customer's set of gateways: the first, and how many.
    pub set: (GatewayId, u32),
}

/// What processes of one gateway tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Twin {
    /// An attempt has begun.
    Out(TwinOut),
    /// It has ended.
    In {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
}

/// What a gateway is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    Servers {
        /// How to read it.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// The list could not be had, or is no longer followed; the old one stands.
    ListFailed,
    /// A client's try has come in.
    Request {
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
        first: GatewayId,
        /// How many gateways the customer's tries come through.
        spread: u32,
        /// How long the client waits for this try.
        patience: Micros,
        /// Whether it has come whole. Of one that has not, the rest goes to a server as it comes, once;
        /// [`Event::Whole`] follows, and till then `patience` is what its coming may take.
        whole: bool,
    },
    /// The last byte of a request has come; it is held back until this is handled, and goes to the server of the attempt
    /// that is out, if the request is open then.
    Whole {
        /// The request.
        id: RequestId,
        /// How long the client waits from now on.
        patience: Micros,
    },
    /// A streamed answer has begun: the attempt belongs to the client now.
    Started {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended. Each sent attempt gets exactly one of these.
    Ended {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
        /// How.
        outcome: Outcome,
        /// The request is closed: nothing more is owed.
        closed: bool,
    },
    /// Nobody waits for this request any more.
    Abandoned {
        /// The request.
        id: RequestId,
    },
    /// A wake-up that was asked for.
    Woke {
        /// As given.
        token: u64,
    },
    /// A message from a peer.
    Peer {
        /// Who sent it.
        from: GatewayId,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// Another process of this gateway has told something.
    Twin {
        /// Over which link.
        link: u32,
        /// What.
        twin: Twin,
    },
    /// Who else is this gateway now.
    Twins {
        /// A link that has ended: what was out there is no more.
        ended: Option<u32>,
        /// Whether attempts have to be told.
        shared: bool,
        /// Whether another process speaks to peers in this one's stead.
        hushed: bool,
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
        time_out: Option<Micros>,
    },
    /// Final answer: refused, and trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// Advice on when.
        retry_in: Option<Micros>,
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
        attempt: AttemptNo,
    },
    /// A message to every peer.
    TellAll {
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A message to one peer.
    Tell {
        /// To whom.
        to: GatewayId,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// A word to the other processes of this gateway.
    Twin(Twin),
    /// Wake me.
    Wake {
        /// After this long.
        after: Micros,
        /// Comes back as given.
        token: u64,
    },
    /// Follow changes of the list.
    Follow,
    /// A line for the log.
    Log(String),
}
