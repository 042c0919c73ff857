//! Random worlds for random walks, too large for an exhaustive search.

use super::{base, server};
use crate::world::{DuplicateResponses, EndpointChange, Setup};
use fastrand::Rng;
use saffronpaddle_exchange::Limits;
use saffronpaddle_policy::interface::{DeduplicationScope, Idempotency};

/// Combined with the seed by XOR, so that a walk and its world don't draw the same random numbers.
const SEED_MASK: u64 = 0x5eed;
/// Number of requests in a world.
const REQUESTS: usize = 12;
/// Number of servers in a world.
const SERVERS: usize = 6;
/// Number of changes of the endpoint list in a world.
const ENDPOINT_CHANGES: usize = 30;

/// Returns a world with twelve requests of random idempotency, six servers and a frequently changing endpoint list,
/// all determined by the seed.
pub fn random(seed: u64) -> Setup {
    let mut random = Rng::with_seed(seed ^ SEED_MASK);
    let requests: Vec<Idempotency> = (0..REQUESTS)
        .map(|_| random_idempotency(&mut random))
        .collect();
    let endpoint_changes = random_changes(&mut random);
    Setup {
        requests,
        servers: vec![
            server(0, 0),
            server(0, 0),
            server(0, 1),
            server(1, 2),
            server(1, 2),
            server(1, 3),
        ],
        endpoint_changes,
        max_sends: 8,
        limits: Limits {
            max_connections: 5,
            max_idle_per_server: 2,
            idle_timeout: 9,
            reuse_delay: 2,
            connect_timeout: 4,
            answer_grace: 1,
            max_attempts: 12,
        },
        timeout_ticks: 25,
        horizon_ticks: 400,
        duplicate_responses: DuplicateResponses::Prompt,
        faults: true,
        clients_leave: true,
        policy_cancels: true,
        ..base(
            "wide",
            "twelve requests of random idempotency, six servers, a frequently changing endpoint list",
        )
    }
}

fn random_idempotency(random: &mut Rng) -> Idempotency {
    let scopes = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Domain,
    ];
    match random.u8(..3) {
        0 => Idempotency::Idempotent,
        1 => Idempotency::NonIdempotent,
        _ => Idempotency::WithKey {
            scope: scopes[random.usize(..scopes.len())],
            window: random.u64(1..12),
        },
    }
}

fn random_changes(random: &mut Rng) -> Vec<EndpointChange> {
    let mut ready = [true; SERVERS];
    let mut changes = Vec::with_capacity(ENDPOINT_CHANGES);
    for _ in 0..ENDPOINT_CHANGES {
        let index = random.usize(..SERVERS);
        let server = index as u8;
        if random.u8(..3) == 0 {
            changes.push(EndpointChange::Move(server, (server + 1) % SERVERS as u8));
            continue;
        }
        ready[index] = !ready[index];
        changes.push(if ready[index] {
            EndpointChange::Return(server)
        } else {
            EndpointChange::Drain(server)
        });
    }
    changes
}
