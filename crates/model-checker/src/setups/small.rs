//! Small worlds: all of their states are visited in seconds.

use super::{base, limits, server, KEYED};
use crate::world::{DuplicateResponses, EndpointChange, Setup};
use saffronpaddle_policy::interface::Idempotency;

/// The worlds of CI, in the order in which they are visited.
pub fn small() -> Vec<Setup> {
    let mut worlds = retry_worlds();
    worlds.extend(connection_worlds());
    worlds.extend(shutdown_worlds());
    worlds.extend(streaming_worlds());
    worlds
}

/// One request or two whose attempts are retried, and the endpoint list.
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
                "one keyed request, two attempts, all faults, a module that does anything",
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
                "one unsafe request, two attempts, all faults, a module that does anything",
            )
        },
        Setup {
            endpoint_changes: vec![EndpointChange::Drain(0), EndpointChange::Move(1, 0)],
            timeout_ticks: 2,
            horizon_ticks: 3,
            ..base(
                "list",
                "a drain, then a move whose old address passes to the other server",
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
                "three attempts of a keyed request within and past its window",
            )
        },
    ]
}

/// Connections that are reused, replaced and limited.
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
                "two requests on one server that says answers twice, right behind one another",
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
                "a server that says answers twice at any time, and says whose they are",
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
            ..base("one-id", "two requests of one id, one after the other")
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
                "two requests, two servers and room for one connection",
            )
        },
    ]
}

/// A node that drains or a process that ends.
fn shutdown_worlds() -> Vec<Setup> {
    vec![
        Setup {
            requests: vec![Idempotency::Idempotent],
            max_sends: 2,
            node_stops: true,
            policy_rejects: false,
            faults: true,
            timeout_ticks: 2,
            horizon_ticks: 3,
            ..base(
                "stop",
                "the node is told to leave at any time, between two attempts too",
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
                "the process is told at any time that it ends before its clients stop waiting",
            )
        },
        Setup {
            upgrades: true,
            endpoint_changes: vec![EndpointChange::Drain(0)],
            faults: true,
            clients_leave: true,
            node_stops: true,
            policy_rejects: false,
            timeout_ticks: 2,
            horizon_ticks: 2,
            ..base(
                "upgrade",
                "an upgrade, whose connection leaves the exchange; a drain, a stop, all faults",
            )
        },
    ]
}

/// Streaming bodies and responses, and late timers.
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
                "a body that goes by as it comes: early answers, resets, a drain and refusals in the middle",
            )
        },
        Setup {
            streaming_responses: true,
            endpoint_changes: vec![EndpointChange::Drain(0)],
            faults: true,
            clients_leave: true,
            node_stops: true,
            policy_cancels: true,
            timeout_ticks: 2,
            horizon_ticks: 2,
            limits: limits(1),
            ..base(
                "passing",
                "an answer that goes by: a reset, a drain, a stop and a client that goes, in the middle",
            )
        },
        Setup {
            late_timers: true,
            policy_cancels: true,
            clients_leave: true,
            timeout_ticks: 2,
            horizon_ticks: 4,
            ..base("late", "a loop that comes late: the clock goes on though an alarm is due")
        },
    ]
}

/// The known gap: where responses carry no id, a late duplicate of a response passes for the next response.
pub fn late_copies() -> Setup {
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
            "a server that says answers twice at any time, and not whose they are",
        )
    }
}
