//! Which connections time out, and which are evicted.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_connection_eviction::{ConnectionState, EvictionCount, EvictionPressure, Limits};
use std::time::Duration;

/// One millisecond.
const MS: Duration = Duration::from_millis(1);
/// The limits of all tests.
const LIMITS: Limits = Limits::USUAL;
/// A connection that was accepted at time zero and has sent nothing.
const SILENT: ConnectionState = ConnectionState {
    accepted_at: Duration::ZERO,
    last_active_at: Duration::ZERO,
    head_started_at: None,
    busy: false,
    awaits_body: false,
    has_requested: false,
};
/// The connection limit during a flood.
const CONNECTION_LIMIT: usize = 80;
/// The time between two connections of a flood.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);

#[test]
fn a_head_times_out_from_its_first_byte_and_an_idle_connection_from_its_last() {
    assert!(!LIMITS.has_timed_out(2199 * MS, &SILENT) && LIMITS.has_timed_out(2200 * MS, &SILENT));
    // The connection was idle for long and then started a head: the head's timeout runs from its first byte.
    let sending = ConnectionState {
        last_active_at: 2100 * MS,
        head_started_at: Some(2100 * MS),
        has_requested: true,
        ..SILENT
    };
    assert!(
        !LIMITS.has_timed_out(5099 * MS, &sending) && LIMITS.has_timed_out(5100 * MS, &sending)
    );
    // Further bytes do not extend the timeout of a head.
    let trickling = ConnectionState {
        last_active_at: 5099 * MS,
        ..sending
    };
    assert!(LIMITS.has_timed_out(5100 * MS, &trickling));
    let busy = ConnectionState {
        busy: true,
        ..trickling
    };
    assert!(!LIMITS.has_timed_out(60_000 * MS, &busy));
}

/// A client of the node.
struct Client {
    /// The client sends its request head slowly but completely, and is not part of the flood.
    slow: bool,
    connection: ConnectionState,
}

/// The outcomes of slow clients.
#[derive(Default)]
struct SlowClients {
    /// Clients that have sent a complete head.
    completed: usize,
    /// Clients whose connection was closed before that.
    closed: usize,
}

/// Lets slow clients send: a piece every 200 ms, until the head is complete after 2 s.
fn send_pieces(clients: &mut Vec<Client>, now: Duration, slow_clients: &mut SlowClients) {
    clients.retain_mut(|client| {
        if !client.slow {
            return true;
        }
        let connection = &mut client.connection;
        let age = now.checked_sub(connection.accepted_at).unwrap();
        if age.as_millis().is_multiple_of(200) {
            connection.last_active_at = now;
            connection.head_started_at.get_or_insert(now);
        }
        let completed = age >= 2000 * MS;
        slow_clients.completed += usize::from(completed);
        !completed
    });
}

/// Returns the client that connects at a step. Of 200 clients per second, 10 are slow; of the others, about half stop
/// after some bytes and half send nothing.
fn arrival(step: u32, now: Duration) -> Client {
    Client {
        slow: step.is_multiple_of(20),
        connection: ConnectionState {
            accepted_at: now,
            last_active_at: now,
            head_started_at: step.is_multiple_of(2).then_some(now),
            ..SILENT
        },
    }
}

fn connections(clients: &[Client]) -> impl Iterator<Item = &ConnectionState> {
    clients.iter().map(|client| &client.connection)
}

/// A flood of thousands of connections arrives, none of which completes its request head. Slow clients must not be
/// evicted in their place.
#[test]
fn a_flood_that_stops_sending_evicts_no_slow_client() {
    let mut clients: Vec<Client> = Vec::new();
    let mut slow_clients = SlowClients::default();
    for step in 0..10_000 {
        let now = ARRIVAL_INTERVAL * step;
        send_pieces(&mut clients, now, &mut slow_clients);
        clients.retain(|client| {
            let timed_out = LIMITS.has_timed_out(now, &client.connection);
            slow_clients.closed += usize::from(client.slow && timed_out);
            !timed_out
        });
        if clients.len() >= CONNECTION_LIMIT {
            let index = first_eviction(now, connections(&clients)).expect("no client is busy");
            slow_clients.closed += usize::from(clients.remove(index).slow);
        }
        clients.push(arrival(step, now));
    }
    let SlowClients { completed, closed } = slow_clients;
    assert!(
        closed == 0 && completed > 400,
        "slow clients: {closed} closed, {completed} completed"
    );
}

/// The same flood, with several connections evicted at once, and a burst of 300 silent connections every second.
#[test]
fn a_flood_that_is_evicted_in_batches_evicts_no_slow_client() {
    let mut clients: Vec<Client> = Vec::new();
    let mut pressure = EvictionPressure::default();
    let mut slow_clients = SlowClients::default();
    let mut batches = 0;
    for step in 0..2000 {
        let now = ARRIVAL_INTERVAL * step;
        send_pieces(&mut clients, now, &mut slow_clients);
        let burst = if step % 200 == 100 { 300 } else { 0 };
        let silent = (0..burst).map(|_| Client {
            slow: false,
            connection: ConnectionState {
                accepted_at: now,
                last_active_at: now,
                ..SILENT
            },
        });
        for client in silent.chain([arrival(step, now)]) {
            pressure.record_accepted(now);
            let count = pressure.evictions(now, CONNECTION_LIMIT, clients.len(), 0);
            let evictions = LIMITS.choose_evictions(now, connections(&clients), count);
            batches += usize::from(evictions.len() > 1);
            let mut index = 0;
            clients.retain(|client| {
                let closed = evictions.contains(&index);
                index += 1;
                slow_clients.closed += usize::from(client.slow && closed);
                !closed
            });
            assert!(clients.len() < CONNECTION_LIMIT);
            clients.push(client);
        }
    }
    // All 80 slow clients that connected at least 2 s before the end.
    let SlowClients { completed, closed } = slow_clients;
    assert!(
        closed == 0 && completed == 80 && batches > 50,
        "slow clients: {closed} closed, {completed} completed; {batches} evictions of several connections at once"
    );
}

/// Returns the connection that is evicted if one eviction is required.
fn first_eviction<'a>(
    now: Duration,
    connections: impl IntoIterator<Item = &'a ConnectionState>,
) -> Option<usize> {
    let one = EvictionCount {
        required: 1,
        allowed: 0,
    };
    let evictions = LIMITS.choose_evictions(now, connections, one);
    assert!(evictions.len() <= 1);
    evictions.first().copied()
}

/// How long a connection counts as silent.
fn silence(now: Duration, connection: &ConnectionState) -> Duration {
    let silence = now.saturating_sub(connection.last_active_at);
    let never_sent = !connection.has_requested && connection.head_started_at.is_none();
    if never_sent {
        silence + LIMITS.unused_connection_penalty
    } else {
        silence
    }
}

/// Guards against clients that stop in the middle of a body and hold the connections that others wait for.
#[test]
fn a_client_that_has_stopped_in_a_body_is_evicted_and_one_that_sends_is_not() {
    let body = ConnectionState {
        awaits_body: true,
        has_requested: true,
        ..SILENT
    };
    let sent_lately = ConnectionState {
        last_active_at: 4100 * MS,
        ..body
    };
    let connected_lately = ConnectionState {
        accepted_at: 4900 * MS,
        last_active_at: 4900 * MS,
        ..SILENT
    };
    let evictions = |required| {
        let count = EvictionCount {
            required,
            allowed: 0,
        };
        LIMITS.choose_evictions(5000 * MS, [&sent_lately, &body, &connected_lately], count)
    };
    assert_eq!(evictions(1), [2], "a client that has begun is kept longer");
    assert_eq!(evictions(3), [2, 1]);
    assert!(!LIMITS.has_timed_out(60_000 * MS, &body));
}

fn any_connection() -> impl Strategy<Value = ConnectionState> {
    let fields = (0u32..5000, any::<bool>(), any::<bool>(), any::<bool>());
    fields.prop_map(|(last_active, head_started, busy, has_requested)| {
        let last_active_at = last_active * MS;
        ConnectionState {
            accepted_at: Duration::ZERO,
            last_active_at,
            head_started_at: head_started.then_some(last_active_at),
            busy,
            awaits_body: false,
            has_requested,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// The required number of connections is evicted, if enough of them are not busy. Proactive evictions are limited
    /// to a quarter of the limit and never affect a possible slow client. Once all evicted connections have closed, the
    /// number of open connections is within the limit.
    #[test]
    fn required_evictions_are_made_and_proactive_ones_never_affect_slow_clients(
        connections in prop::collection::vec(any_connection(), 0..60),
        limit in 1usize..60, accepted in 0usize..200, closing in 0usize..60,
    ) {
        let now = 5000 * MS;
        let mut pressure = EvictionPressure::default();
        (0..accepted).for_each(|_| pressure.record_accepted(now));
        let closing = closing.min(connections.iter().filter(|connection| connection.busy).count());
        let count = pressure.evictions(now, limit, connections.len(), closing);
        let excess = (connections.len() + 1).saturating_sub(limit);
        prop_assert_eq!(count.required, excess.saturating_sub(closing));
        prop_assert!(excess > 0 || count.allowed == 0);
        let total = count.required + count.allowed;
        prop_assert!(count.allowed == 0 || total + closing <= excess.max(limit / 4));
        let evictions = LIMITS.choose_evictions(now, &connections, count);
        let not_busy = connections.iter().filter(|connection| !connection.busy).count();
        prop_assert!(evictions.len() >= count.required.min(not_busy) && evictions.len() <= total);
        let mut distinct = evictions.clone();
        distinct.sort_unstable();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), evictions.len());
        prop_assert!(evictions.iter().all(|index| !connections[*index].busy));
        for index in evictions.iter().skip(count.required) {
            prop_assert!(silence(now, &connections[*index]) >= LIMITS.slow_client_max_silence);
        }
        // No connection is kept that has been silent for longer than an evicted one.
        let longest_kept = connections
            .iter()
            .enumerate()
            .filter(|(index, connection)| !connection.busy && !evictions.contains(index))
            .map(|(_, connection)| silence(now, connection))
            .max()
            .unwrap_or_default();
        prop_assert!(evictions.iter().all(|index| silence(now, &connections[*index]) >= longest_kept));
    }

    #[test]
    fn busy_connections_are_never_evicted_and_one_is_evicted_if_any_is_not_busy(
        connections in prop::collection::vec(any_connection(), 0..30),
    ) {
        let eviction = first_eviction(5000 * MS, &connections);
        prop_assert_eq!(eviction.is_some(), connections.iter().any(|connection| !connection.busy));
        prop_assert!(eviction.is_none_or(|index| !connections[index].busy));
    }
}
