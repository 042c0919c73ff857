//! The bounds of a world: its requests and servers, and the kinds of steps that are possible.

use saffronpaddle_exchange::Limits;
use saffronpaddle_policy::idempotency::ServerLocation;
use saffronpaddle_policy::interface::{
    Endpoint, EndpointStatus, Idempotency, Micros, RequestId, ServerId,
};

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointChange {
    /// The server drains.
    Drain(u8),
    /// The server becomes ready, for the first time or again.
    Return(u8),
    /// The first server moves to an unused address, and its former address is assigned to the second server.
    Move(u8, u8),
}

/// When servers may send a response twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateResponses {
    /// No duplicates are sent.
    Never,
    /// Duplicates are sent only within the exchange's reuse delay after the response.
    Prompt,
    /// Duplicates are sent at any time after the response.
    AnyTime,
}

/// The bounds of a world, and the kinds of steps that are possible in it.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The name of the world on the command line.
    pub name: &'static str,
    /// A description of the world, for the output.
    pub description: &'static str,
    /// The idempotency of each request. All requests belong to one customer.
    pub requests: Vec<Idempotency>,
    /// All requests use the same id, one after the other.
    pub shared_id: bool,
    /// The location of each server.
    pub servers: Vec<ServerLocation>,
    /// Changes of the endpoint list, in the order in which they occur.
    pub endpoint_changes: Vec<EndpointChange>,
    /// Most attempts per request that the policy may ask for.
    pub max_sends: u8,
    /// The limits of the exchange.
    pub limits: Limits,
    /// Time between a request's arrival and its deadline, ticks.
    pub timeout_ticks: u64,
    /// Number of ticks after which the clock advances only by default steps.
    pub horizon_ticks: u64,
    /// Duration of a clock tick, µs.
    pub tick: Micros,
    /// When servers may send a response twice.
    pub duplicate_responses: DuplicateResponses,
    /// Responses carry the id of their request, and the I/O layer verifies it.
    pub responses_carry_id: bool,
    /// Connections may be reset, and connects may be refused or fail for lack of local resources.
    pub faults: bool,
    /// Clients may disconnect before they are answered.
    pub clients_leave: bool,
    /// A drain of the node may be requested.
    pub node_drains: bool,
    /// A shutdown may be announced at any time, with a deadline this many ticks later; `None` if there is no shutdown.
    pub shutdown_ticks: Option<u64>,
    /// The policy may cancel attempts at any time, and send requests with a timeout of one tick.
    pub policy_cancels: bool,
    /// The policy may reject and fail requests at any time.
    pub policy_rejects: bool,
    /// The requests ask for an upgrade to another protocol.
    pub upgrades: bool,
    /// Request bodies are streamed: the last byte of a request arrives later than its head, or never.
    pub streaming_bodies: bool,
    /// Servers may give streaming responses.
    pub streaming_responses: bool,
    /// The event loop may be delayed: the clock may advance while the exchange's timer is due.
    pub late_timers: bool,
}

impl Setup {
    /// Returns the time between a request's arrival and its deadline, µs.
    pub(super) fn timeout(&self) -> Micros {
        self.timeout_ticks * self.tick
    }

    /// Returns the idempotency of a request.
    pub(super) fn idempotency(&self, request: u8) -> Idempotency {
        self.requests[usize::from(request)]
    }

    /// Returns the id that the client sends with a request; all requests have the same one if `shared_id` is set.
    pub(super) fn request_id(&self, request: u8) -> RequestId {
        RequestId(if self.shared_id {
            "r".into()
        } else {
            format!("r{request}").into()
        })
    }

    /// Returns the endpoint list entry of a server.
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

/// Returns the class of requests with an idempotency, as an index into the settings of the real policy.
pub(crate) fn class_of(idempotency: Idempotency) -> usize {
    match idempotency {
        Idempotency::Idempotent => 0,
        Idempotency::WithKey { .. } => 1,
        Idempotency::NonIdempotent => 2,
    }
}
