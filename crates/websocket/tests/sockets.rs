//! Limits on sockets, their timeouts, and how they close.

use saffronpaddle_policy::interface::{CustomerId, Micros, ServerId};
use saffronpaddle_websocket::frames::Side;
use saffronpaddle_websocket::table::{Command, Limits, SocketId, Sockets};

/// Microseconds in a millisecond.
const MS: Micros = 1_000;
/// The server of most sockets.
const SERVER: ServerId = ServerId(1);
const OTHER_SERVER: ServerId = ServerId(2);

fn limits() -> Limits {
    Limits {
        per_node: 20_000,
        per_customer: 6,
        per_server: 20_000,
        opens_per_s: 100_000.0,
        ping_after: 1_000 * MS,
        silent_after: 3_000 * MS,
        idle_timeout: 0,
        max_age: 0,
        drain_within: 200 * MS,
        close_within: 1_000 * MS,
        reconnects_per_s: 100.0,
        restart: false,
    }
}

/// Opens one socket each for `count` customers, all at [`SERVER`].
fn open_sockets(limits: Limits, count: u64) -> Sockets {
    let mut sockets = Sockets::new(limits, 0);
    for customer in 0..count {
        let id = sockets.admit(0, CustomerId(customer), 1).expect("admitted");
        assert!(sockets.on_opened(0, id, SERVER).is_empty());
    }
    sockets
}

/// Ticks from `now` until nothing is due before or at `end`. Returns each command with its time.
fn run_until(sockets: &mut Sockets, mut now: Micros, end: Micros) -> Vec<(Micros, Command)> {
    let mut all = Vec::new();
    while let Some(at) = sockets.next_alarm().filter(|at| *at <= end) {
        now = now.max(at);
        all.extend(sockets.tick(now).into_iter().map(|command| (now, command)));
    }
    all
}

fn drain_commands(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|command| matches!(command, Command::Drain(..)))
        .count()
}

#[test]
fn a_drain_of_thousands_closes_in_batches_within_its_time_limit_and_spreads_reconnects() {
    let mut sockets = open_sockets(limits(), 10_000);
    let other = sockets.admit(0, CustomerId(99_999), 1).expect("admitted");
    assert!(sockets.on_opened(0, other, OTHER_SERVER).is_empty());
    let now = 500 * MS;
    let first = sockets.on_server_status(now, SERVER, false);
    assert!(
        drain_commands(&first) > 0 && drain_commands(&first) < 1_000,
        "some sockets close immediately, but not all: {}",
        drain_commands(&first)
    );
    let later = run_until(&mut sockets, now, now + 150 * MS);
    let closes: Vec<_> = later
        .iter()
        .filter(|(_, command)| matches!(command, Command::Drain(..)))
        .collect();
    assert_eq!(drain_commands(&first) + closes.len(), 10_000);
    let last = closes.iter().map(|(at, _)| *at).max().expect("not empty");
    assert!(
        last <= now + 110 * MS,
        "the last close frame is sent after {} ms",
        (last - now) / MS
    );
    let most = closes
        .chunk_by(|one, next| one.0 == next.0)
        .map(<[_]>::len)
        .max()
        .expect("not empty");
    assert!(most < 400, "a batch of {most} sockets");
    // All sockets that have not ended are cut at the end of the drain's time limit and not before.
    let cuts = run_until(&mut sockets, now + 150 * MS, now + 300 * MS);
    assert_eq!(cuts.len(), 10_000);
    assert!(cuts
        .iter()
        .all(|(at, command)| *at == now + 200 * MS && matches!(command, Command::Cut(_))));
    // Clients are asked to reconnect one after the other.
    let Some((_, Command::Drain(_, 1001, advice, _))) = closes.last() else {
        panic!("the last command is a drain with the code 1001")
    };
    let wait: f64 = advice
        .strip_prefix("retry-after=")
        .and_then(|text| text.parse().ok())
        .expect("the delay is a number");
    assert!(
        (wait - 100.0).abs() < 2.0,
        "the last of 10,000 clients, at 100 reconnects per second: {advice}"
    );
}

#[test]
fn a_socket_that_opens_at_a_draining_server_closes_immediately() {
    let mut sockets = open_sockets(limits(), 0);
    let id = sockets.admit(0, CustomerId(1), 1).expect("admitted");
    assert!(sockets.on_server_status(10, SERVER, false).is_empty());
    let closes = sockets.on_opened(20, id, SERVER);
    assert!(
        matches!(closes[..], [Command::Drain(_, 1001, _, at)] if at == 20 + 200 * MS),
        "the socket is drained within 200 ms: {closes:?}"
    );
    sockets.on_ended(id);
    // The server is ready again, and no state of the drain is left.
    assert!(sockets.on_server_status(30, SERVER, true).is_empty());
    let id = sockets.admit(40, CustomerId(1), 1).expect("admitted");
    assert!(sockets.on_opened(50, id, SERVER).is_empty());
}

#[test]
fn a_customers_limit_is_divided_over_its_nodes_and_ended_sockets_free_it() {
    let mut sockets = Sockets::new(limits(), 0);
    let three: Vec<_> = (0..3)
        .map(|_| sockets.admit(0, CustomerId(1), 2).expect("admitted"))
        .collect();
    assert!(
        sockets.admit(0, CustomerId(1), 2).is_err(),
        "one of two nodes may open three of six sockets"
    );
    assert!(
        sockets.admit(0, CustomerId(2), 2).is_ok(),
        "the limit of another customer is not used up"
    );
    sockets.on_ended(three[0]);
    assert!(sockets.admit(0, CustomerId(1), 2).is_ok());
    // With more nodes than sockets, each node may open one.
    assert!(sockets.admit(0, CustomerId(3), 9).is_ok());
    assert!(sockets.admit(0, CustomerId(3), 9).is_err());
}

#[test]
fn sockets_are_limited_per_node_and_per_server() {
    let mut sockets = Sockets::new(
        Limits {
            per_node: 2,
            per_server: 1,
            ..limits()
        },
        0,
    );
    let one = sockets.admit(0, CustomerId(1), 1).expect("admitted");
    let two = sockets.admit(0, CustomerId(2), 1).expect("admitted");
    assert!(sockets.admit(0, CustomerId(3), 1).is_err());
    assert!(sockets.on_opened(1, one, SERVER).is_empty());
    assert!(matches!(
        sockets.on_opened(2, two, SERVER)[..],
        [Command::Close(_, 1013, _)]
    ));
    sockets.on_ended(one);
    sockets.on_ended(two);
    assert_eq!(
        (sockets.count(), sockets.next_alarm()),
        (0, None),
        "no state is left"
    );
}

#[test]
fn upgrades_are_admitted_at_a_rate_and_rejected_with_retry_after() {
    let mut sockets = Sockets::new(
        Limits {
            opens_per_s: 10.0,
            ..limits()
        },
        0,
    );
    let admitted = (0..100)
        .filter(|customer| sockets.admit(0, CustomerId(*customer), 1).is_ok())
        .count();
    assert_eq!(admitted, 10);
    let rejected = sockets
        .admit(0, CustomerId(200), 1)
        .expect_err("the rate is exceeded");
    assert_eq!(rejected.retry_in, 100 * MS);
    assert!(sockets.admit(100 * MS + 1, CustomerId(200), 1).is_ok());
}

#[test]
fn a_silent_side_is_pinged_then_the_socket_is_closed_then_cut() {
    let mut sockets = open_sockets(limits(), 1);
    let id = SocketId(0);
    sockets.on_received(900 * MS, id, Side::Client, true);
    let first = run_until(&mut sockets, 0, 1_000 * MS);
    assert_eq!(first, [(1_000 * MS, Command::Ping(id, Side::Server))]);
    sockets.on_received(1_010 * MS, id, Side::Server, false);
    // Both sides have sent bytes. Each is pinged a second later, and only the server answers.
    let again = run_until(&mut sockets, 1_010 * MS, 2_010 * MS);
    assert_eq!(again.len(), 2, "each side is pinged once: {again:?}");
    sockets.on_received(2_020 * MS, id, Side::Server, false);
    let end = run_until(&mut sockets, 2_020 * MS, 3_900 * MS);
    assert!(
        matches!(end.last(), Some((at, Command::Close(..))) if *at == 3_900 * MS),
        "the socket is closed 3 s after the client's last bytes: {end:?}"
    );
    let cut = run_until(&mut sockets, 3_900 * MS, 10_000 * MS);
    assert_eq!(cut, [(4_900 * MS, Command::Cut(id))]);
}

#[test]
fn idle_sockets_close_and_0_disables_the_limit() {
    let bounds = Limits {
        idle_timeout: 500 * MS,
        max_age: 2_000 * MS,
        ping_after: 9_000 * MS,
        silent_after: 10_000 * MS,
        ..limits()
    };
    let mut sockets = open_sockets(bounds, 1);
    sockets.on_received(400 * MS, SocketId(0), Side::Server, false);
    let idle = run_until(&mut sockets, 0, 600 * MS);
    assert!(
        matches!(idle[..], [(at, Command::Close(..))] if at == 500 * MS),
        "the socket is closed after its idle timeout only: {idle:?}"
    );
    let mut sockets = open_sockets(
        Limits {
            idle_timeout: 0,
            ..limits()
        },
        1,
    );
    assert!(run_until(&mut sockets, 0, 900 * MS).is_empty());
}

#[test]
fn a_stop_closes_all_sockets_and_rejects_upgrades() {
    let mut sockets = open_sockets(limits(), 50);
    let pending = sockets.admit(0, CustomerId(777), 1).expect("admitted");
    let mut closes = sockets.stop(10);
    closes.extend(
        run_until(&mut sockets, 10, 150 * MS)
            .into_iter()
            .map(|(_, command)| command),
    );
    assert_eq!(drain_commands(&closes), 50);
    assert!(sockets.admit(20, CustomerId(1_000), 1).is_err());
    assert!(
        matches!(
            sockets.on_opened(30, pending, SERVER)[..],
            [Command::Drain(..)]
        ),
        "a pending upgrade"
    );
}
