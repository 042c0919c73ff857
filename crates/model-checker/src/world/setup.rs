//! The bounds of a world.

use saffronpaddle_exchange::Limits;
use saffronpaddle_policy::idempotency::ServerLocation;
use saffronpaddle_policy::interface::{
    Endpoint, EndpointStatus, Idempotency, Micros, RequestId, ServerId,
};

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointChange {
    /// A server drains.
    Drain(u8),
    /// It is ready again, or for the first time.
    Return(u8),
    /// The first server moves to an address that nobody had, and its old address passes to the second.
    Move(u8, u8),
}

/// Whether servers send a response twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateResponses {
    /// Never.
    Never,
    /// Only within the exchange's reuse delay after the response.
    Prompt,
    /// At any time after it.
    AnyTime,
}

/// The bounds of a world.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it is for.
    pub about: &'static str,
    /// The idempotency of each request; all are of one customer.
    pub requests: Vec<Idempotency>,
    /// All requests have the same id, one after the other.
    pub shared_id: bool,
    /// The servers.
    pub servers: Vec<ServerLocation>,
    /// How the endpoint list changes, in this order.
    pub endpoint_changes: Vec<EndpointChange>,
    /// Attempts that the policy may ask for, for each request.
    pub max_sends: u8,
    /// The limits of the exchange.
    pub limits: Limits,
    /// Time between a request's arrival and its deadline, ticks.
    pub timeout_ticks: u64,
    /// After so many ticks the clock goes on only where nothing else happens.
    pub horizon_ticks: u64,
    /// Length of a tick of the clock, µs.
    pub tick: Micros,
    /// Whether servers send a response twice.
    pub duplicate_responses: DuplicateResponses,
    /// Responses carry their request's id, and the I/O layer compares it.
    pub responses_carry_id: bool,
    /// Servers and connections fail: resets, refused connects, local shortages.
    pub faults: bool,
    /// Clients may leave before they are answered.
    pub clients_leave: bool,
    /// The node may be told to drain.
    pub node_stops: bool,
    /// A shutdown may be announced at any time; all requests are answered so many ticks later.
    pub shutdown_ticks: Option<u64>,
    /// The policy may cancel at any time, and send with a timeout of one tick.
    pub policy_cancels: bool,
    /// The policy may reject and fail requests at any time.
    pub policy_rejects: bool,
    /// The requests are upgrades.
    pub upgrades: bool,
    /// Request bodies stream: the last byte of a request comes later than its head, or never.
    pub streaming_bodies: bool,
    /// Servers may give streaming responses.
    pub streaming_responses: bool,
    /// The event loop may be late: the clock goes on though the exchange's timer is due.
    pub late_timers: bool,
}

impl Setup {
    /// Time between a request's arrival and its deadline, µs.
    pub(super) fn timeout(&self) -> Micros {
        self.timeout_ticks * self.tick
    }

    /// The idempotency of a request.
    pub(super) fn idempotency(&self, request: u8) -> Idempotency {
        self.requests[usize::from(request)]
    }

    /// The id of a request.
    pub(super) fn request_id(&self, request: u8) -> RequestId {
        RequestId(if self.shared_id {
            "r".into()
        } else {
            format!("r{request}").into()
        })
    }

    /// A server's entry in the endpoint list.
    pub(super) fn endpoint(&self, server: usize, ready: bool) -> Endpoint {
        let location = self.servers[server];
        Endpoint {
            server: ServerId(server as u64),
            zone: location.zone,
            domain: location.domain,
            status: if ready {
                EndpointStatus::Ready
            } else {
                EndpointStatus::Draining
            },
            size: 1.0,
            started_at: None,
        }
    }
}

/// The class of requests of an idempotency, by its index in the settings of the real policy.
pub(crate) fn class_of(idempotency: Idempotency) -> usize {
    match idempotency {
        Idempotency::Idempotent => 0,
        Idempotency::WithKey { .. } => 1,
        Idempotency::NonIdempotent => 2,
    }
}
