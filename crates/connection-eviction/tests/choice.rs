//! Which connections time out, and which are closed to make room.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_connection_eviction::{ConnectionState, EvictionCount, EvictionPressure, Limits};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const LIMITS: Limits = Limits::USUAL;
/// A connection that was accepted at the start and has sent nothing.
const SILENT: ConnectionState = ConnectionState {
    accepted_at: Duration::ZERO,
    last_active_at: Duration::ZERO,
    head_started_at: None,
    busy: false,
    has_requested: false,
};
/// How many connections a flood competes for.
const CONNECTION_LIMIT: usize = 80;
/// Between two arrivals in a flood.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);

#[test]
fn a_head_times_out_from_its_first_byte_and_an_idle_connection_from_its_last() {
    assert!(!LIMITS.over(2199 * MS, &SILENT) && LIMITS.over(2200 * MS, &SILENT));
    // It was idle for long and then started a head: the head's timeout counts from there.
    let writing = ConnectionState {
        last_active_at: 2100 * MS,
        head_started_at: Some(2100 * MS),
        has_requested: true,
        ..SILENT
    };
    assert!(!LIMITS.over(5099 * MS, &writing) && LIMITS.over(5100 * MS, &writing));
    // Single bytes gain no time.
    let trickling = ConnectionState {
        last_active_at: 5099 * MS,
        ..writing
    };
    assert!(LIMITS.over(5100 * MS, &trickling));
    let busy = ConnectionState {
        busy: true,
        ..trickling
    };
    assert!(!LIMITS.over(60_000 * MS, &busy));
}

/// A connection, and whether its client is slow but goes on sending.
struct Client {
    slow: bool,
    connection: ConnectionState,
}

/// What became of slow clients.
#[derive(Default)]
struct SlowClients {
    /// Have sent a complete head.
    completed: usize,
    /// Were closed before that.
    closed: usize,
}

/// Slow clients send a piece every 200 ms for 2 s, and then have sent a complete head.
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

/// The client that arrives at a step: of 200 a second, half stop after some bytes and half before any, but for 10 a second
/// that are slow.
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

/// A flood of thousands of connections arrives, each of which stops somewhere before the end of its head. Slow clients
/// must not lose their connections to it.
#[test]
fn a_flood_that_stops_sending_closes_no_slow_client() {
    let mut clients: Vec<Client> = Vec::new();
    let mut slow_clients = SlowClients::default();
    for step in 0..10_000 {
        let now = ARRIVAL_INTERVAL * step;
        send_pieces(&mut clients, now, &mut slow_clients);
        clients.retain(|client| {
            let over = LIMITS.over(now, &client.connection);
            slow_clients.closed += usize::from(client.slow && over);
            !over
        });
        if clients.len() >= CONNECTION_LIMIT {
            let place = first_eviction(now, connections(&clients)).expect("one is not busy");
            slow_clients.closed += usize::from(clients.remove(place).slow);
        }
        clients.push(arrival(step, now));
    }
    let SlowClients { completed, closed } = slow_clients;
    assert!(
        closed == 0 && completed > 400,
        "{closed} closed, {completed} completed"
    );
}

/// The same flood, with many connections closed at once, and every second 300 more at a time that send nothing.
#[test]
fn a_flood_that_is_closed_in_batches_closes_no_slow_client() {
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
            pressure.accepted(now);
            let count = pressure.evictions(now, CONNECTION_LIMIT, clients.len(), 0);
            let places = LIMITS.choose_evictions(now, connections(&clients), count);
            batches += usize::from(places.len() > 1);
            let mut place = 0;
            clients.retain(|client| {
                let closed = places.contains(&place);
                place += 1;
                slow_clients.closed += usize::from(client.slow && closed);
                !closed
            });
            assert!(clients.len() < CONNECTION_LIMIT);
            clients.push(client);
        }
    }
    // All 80 that arrived two seconds or more before the end.
    let SlowClients { completed, closed } = slow_clients;
    assert!(
        closed == 0 && completed == 80 && batches > 50,
        "{closed} closed, {completed} completed, {batches} batches"
    );
}

/// The connection that is closed where one has to be.
fn first_eviction<'a>(
    now: Duration,
    connections: impl IntoIterator<Item = &'a ConnectionState>,
) -> Option<usize> {
    let one = EvictionCount {
        required: 1,
        allowed: 0,
    };
    let places = LIMITS.choose_evictions(now, connections, one);
    assert!(places.len() <= 1);
    places.first().copied()
}

/// For how long a connection counts as silent.
fn silence(now: Duration, connection: &ConnectionState) -> Duration {
    let silence = now.saturating_sub(connection.last_active_at);
    let never_sent = !connection.has_requested && connection.head_started_at.is_none();
    if never_sent {
        silence + LIMITS.first_request_timeout
    } else {
        silence
    }
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
            has_requested,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// As many are closed as required, if so many are not busy; ahead of need at most a quarter, and none that may be a
    /// slow client. Once those that were told to close have gone, no more are open than the limit allows.
    #[test]
    fn as_many_are_closed_as_required_and_slow_clients_are_spared_ahead_of_need(
        connections in prop::collection::vec(any_connection(), 0..60),
        limit in 1usize..60, accepted in 0usize..200, closing in 0usize..60,
    ) {
        let now = 5000 * MS;
        let mut pressure = EvictionPressure::default();
        (0..accepted).for_each(|_| pressure.accepted(now));
        let closing = closing.min(connections.iter().filter(|connection| connection.busy).count());
        let count = pressure.evictions(now, limit, connections.len(), closing);
        let excess = (connections.len() + 1).saturating_sub(limit);
        prop_assert_eq!(count.required, excess.saturating_sub(closing));
        prop_assert!(excess > 0 || count.allowed == 0);
        let total = count.required + count.allowed;
        prop_assert!(count.allowed == 0 || total + closing <= excess.max(limit / 4));
        let places = LIMITS.choose_evictions(now, &connections, count);
        let not_busy = connections.iter().filter(|connection| !connection.busy).count();
        prop_assert!(places.len() >= count.required.min(not_busy) && places.len() <= total);
        let mut distinct = places.clone();
        distinct.sort_unstable();
        distinct.dedup();
        prop_assert_eq!(distinct.len(), places.len());
        prop_assert!(places.iter().all(|place| !connections[*place].busy));
        for place in places.iter().skip(count.required) {
            prop_assert!(silence(now, &connections[*place]) >= LIMITS.goes_on);
        }
        // None is kept that has been silent for longer than one that is closed.
        let longest_kept = connections
            .iter()
            .enumerate()
            .filter(|(place, connection)| !connection.busy && !places.contains(place))
            .map(|(_, connection)| silence(now, connection))
            .max()
            .unwrap_or_default();
        prop_assert!(places.iter().all(|place| silence(now, &connections[*place]) >= longest_kept));
    }

    #[test]
    fn busy_connections_are_kept_and_one_is_closed_if_any_can_be(
        connections in prop::collection::vec(any_connection(), 0..30),
    ) {
        let place = first_eviction(5000 * MS, &connections);
        prop_assert_eq!(place.is_some(), connections.iter().any(|connection| !connection.busy));
        prop_assert!(place.is_none_or(|place| !connections[place].busy));
    }
}
