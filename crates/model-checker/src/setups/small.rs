//! Small worlds, whose exhaustive search takes seconds.

use super::{base, limits, server, KEYED};
use crate::world::{DuplicateResponses, EndpointChange, Setup};
use saffronpaddle_policy::interface::Idempotency;

/// Returns the worlds that CI searches, in the order in which they are visited.
pub fn small() -> Vec<Setup> {
    let mut worlds = retry_worlds();
    worlds.extend(connection_worlds());
    worlds.extend(shutdown_worlds());
    worlds.extend(streaming_worlds());
    worlds
}

/// Returns worlds in which requests are retried and the endpoint list changes.
fn retry_worlds() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![KEYED],
            faults: true,
            clients_leave: true,
            policy_cancels: true,
            timeout_ticks: 2,
            horizon_ticks: 3,
            ..base(
                "one-keyed",
                "one keyed request, two attempts; all faults, an arbitrary policy",
            )
        },
        Setup {
            requests: vec![Idempotency::NonIdempotent],
            faults: true,
            clients_leave: true,
            policy_cancels: true,
            timeout_ticks: 2,
            horizon_ticks: 3,
            ..base(
                "one-unsafe",
                "one non-idempotent request, two attempts; all faults, an arbitrary policy",
            )
        },
        Setup {
            endpoint_changes: vec![EndpointChange::Drain(0), EndpointChange::Move(1, 0)],
            timeout_ticks: 2,
            horizon_ticks: 3,
            ..base(
                "list",
                "a drain, then an address change that reassigns the former address to the other server",
            )
        },
        Setup {
            requests: vec![KEYED],
            max_sends: 3,
            horizon_ticks: 6,
            timeout_ticks: 6,
            servers: vec![server(0, 0)],
            limits: limits(1),
            ..base(
                "window",
                "three attempts of a keyed request within and after its deduplication window",
            )
        },
    ]
}

/// Returns worlds in which connections are reused, replaced and limited.
fn connection_worlds() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            max_sends: 1,
            servers: vec![server(0, 0)],
            duplicate_responses: DuplicateResponses::Prompt,
            policy_rejects: false,
            limits: limits(1),
            ..base(
                "copies",
                "two requests to one server that sends duplicate responses within the reuse delay",
            )
        },
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            max_sends: 1,
            servers: vec![server(0, 0)],
            duplicate_responses: DuplicateResponses::AnyTime,
            responses_carry_id: true,
            policy_rejects: false,
            limits: limits(1),
            horizon_ticks: 3,
            ..base(
                "echoed",
                "a server that sends duplicate responses at any time; responses carry the request id",
            )
        },
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            shared_id: true,
            max_sends: 1,
            servers: vec![server(0, 0)],
            timeout_ticks: 2,
            horizon_ticks: 3,
            clients_leave: true,
            ..base("one-id", "two requests with the same id, one after the other")
        },
        Setup {
            requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
            max_sends: 1,
            limits: limits(1),
            faults: true,
            policy_rejects: false,
            timeout_ticks: 2,
            horizon_ticks: 3,
            ..base(
                "one-wire",
                "two requests, two servers and a limit of one connection",
            )
        },
    ]
}

/// Returns worlds in which the node drains or a shutdown is announced.
fn shutdown_worlds() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![Idempotency::Idempotent],
            max_sends: 2,
            node_drains: true,
            policy_rejects: false,
            faults: true,
            timeout_ticks: 2,
            horizon_ticks: 3,
            ..base(
                "stop",
                "the node drains at any time, also between two attempts",
            )
        },
        Setup {
            requests: vec![Idempotency::NonIdempotent, Idempotency::Idempotent],
            max_sends: 1,
            servers: vec![server(0, 0)],
            policy_rejects: false,
            shutdown_ticks: Some(1),
            timeout_ticks: 3,
            horizon_ticks: 3,
            ..base(
                "ending",
                "a shutdown is announced at any time, with a deadline before the clients stop waiting",
            )
        },
        Setup {
            upgrades: true,
            endpoint_changes: vec![EndpointChange::Drain(0)],
            faults: true,
            clients_leave: true,
            node_drains: true,
            policy_rejects: false,
            timeout_ticks: 2,
            horizon_ticks: 2,
            ..base(
                "upgrade",
                "an upgrade, whose connection leaves the exchange; a server and the node drain, all faults",
            )
        },
    ]
}

/// Returns worlds with streaming bodies, streaming responses and late timers.
fn streaming_worlds() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![Idempotency::NonIdempotent],
            streaming_bodies: true,
            endpoint_changes: vec![EndpointChange::Drain(0)],
            faults: true,
            clients_leave: true,
            policy_cancels: true,
            timeout_ticks: 2,
            horizon_ticks: 3,
            limits: limits(1),
            ..base(
                "coming",
                "a streaming body: early responses, resets, a drain and rejections while it is sent",
            )
        },
        Setup {
            streaming_responses: true,
            endpoint_changes: vec![EndpointChange::Drain(0)],
            faults: true,
            clients_leave: true,
            node_drains: true,
            policy_cancels: true,
            timeout_ticks: 2,
            horizon_ticks: 2,
            limits: limits(1),
            ..base(
                "passing",
                "a streaming response: a reset, drains and a client disconnect while it is received",
            )
        },
        Setup {
            late_timers: true,
            policy_cancels: true,
            clients_leave: true,
            timeout_ticks: 2,
            horizon_ticks: 4,
            ..base("late", "a delayed event loop: the clock advances while a timer is due")
        },
    ]
}

/// Returns the world of the known gap: if responses carry no request id, a late duplicate of a response is taken for
/// the response to the next request.
pub fn late_duplicates() -> Setup {
    Setup {
        requests: vec![Idempotency::Idempotent, Idempotency::Idempotent],
        max_sends: 1,
        servers: vec![server(0, 0)],
        duplicate_responses: DuplicateResponses::AnyTime,
        policy_rejects: false,
        limits: limits(1),
        horizon_ticks: 3,
        ..base(
            "late-copies",
            "a server that sends duplicate responses at any time; responses carry no request id",
        )
    }
}
