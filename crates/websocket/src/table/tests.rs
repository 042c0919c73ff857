use super::*;

const MS: Micros = 1_000;
const ONE: ServerId = ServerId(1);
const OTHER: ServerId = ServerId(2);

fn limits() -> Limits {
    Limits {
        per_node: 20_000,
        per_customer: 6,
        per_server: 20_000,
        opens_per_s: 100_000.0,
        ping_after: 1_000 * MS,
        silent_after: 3_000 * MS,
        idle_for: 0,
        life_for: 0,
        drain_within: 200 * MS,
        close_within: 1_000 * MS,
        back_per_s: 100.0,
        restart: false,
    }
}

fn with(limits: Limits, count: u64) -> Sockets {
    let mut sockets = Sockets::new(limits, 0);
    for customer in 0..count {
        let id = sockets.admit(0, CustomerId(customer), 1).expect("room");
        assert!(sockets.opened(0, id, ONE).is_empty());
    }
    sockets
}

/// Ticks until nothing is due by then: each command with its time.
fn until(sockets: &mut Sockets, mut now: Micros, end: Micros) -> Vec<(Micros, Command)> {
    let mut all = Vec::new();
    while let Some(at) = sockets.next_alarm().filter(|at| *at <= end) {
        now = now.max(at);
        all.extend(sockets.tick(now).into_iter().map(|command| (now, command)));
    }
    all
}

fn closed(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|command| matches!(command, Command::Drain(..)))
        .count()
}

#[test]
fn a_drain_of_thousands_is_paced_inside_its_span_and_spares_who_takes_them() {
    let mut sockets = with(limits(), 10_000);
    let other = sockets.admit(0, CustomerId(99_999), 1).expect("room");
    assert!(sockets.opened(0, other, OTHER).is_empty());
    let now = 500 * MS;
    let first = sockets.told(now, ONE, false);
    assert!(
        closed(&first) > 0 && closed(&first) < 1_000,
        "the first at once, not all: {}",
        closed(&first)
    );
    let later = until(&mut sockets, now, now + 150 * MS);
    let closes: Vec<_> = later
        .iter()
        .filter(|(_, command)| matches!(command, Command::Drain(..)))
        .collect();
    assert_eq!(closed(&first) + closes.len(), 10_000);
    let last = closes.iter().map(|(at, _)| *at).max().expect("some");
    assert!(
        last <= now + 110 * MS,
        "the last after {} ms",
        (last - now) / MS
    );
    let most = closes
        .chunk_by(|one, next| one.0 == next.0)
        .map(<[_]>::len)
        .max()
        .expect("some");
    assert!(most < 400, "{most} at once");
    // What is left is cut, all of it, at the end of the span and not before.
    let cuts = until(&mut sockets, now + 150 * MS, now + 300 * MS);
    assert_eq!(cuts.len(), 10_000);
    assert!(cuts
        .iter()
        .all(|(at, command)| *at == now + 200 * MS && matches!(command, Command::Cut(_))));
    // Those who come back are told to do so at a pace.
    let Some((_, Command::Drain(_, 1001, advice, _))) = closes.last() else {
        panic!("a close")
    };
    let wait: f64 = advice
        .strip_prefix("retry-after=")
        .and_then(|text| text.parse().ok())
        .expect("advice");
    assert!(
        (wait - 100.0).abs() < 2.0,
        "10,000 at 100 a second: {advice}"
    );
}

#[test]
fn an_upgrade_that_a_draining_server_answers_closes_at_once() {
    let mut sockets = with(limits(), 0);
    let id = sockets.admit(0, CustomerId(1), 1).expect("room");
    assert!(sockets.told(10, ONE, false).is_empty());
    let closes = sockets.opened(20, id, ONE);
    assert!(
        matches!(closes[..], [Command::Drain(_, 1001, _, at)] if at == 20 + 200 * MS),
        "{closes:?}"
    );
    sockets.ended(id);
    // It is back, and nothing is kept of the drain.
    assert!(sockets.told(30, ONE, true).is_empty());
    let id = sockets.admit(40, CustomerId(1), 1).expect("room");
    assert!(sockets.opened(50, id, ONE).is_empty());
}

#[test]
fn a_customers_bound_is_split_over_its_nodes_and_given_back() {
    let mut sockets = Sockets::new(limits(), 0);
    let three: Vec<_> = (0..3)
        .map(|_| sockets.admit(0, CustomerId(1), 2).expect("its share"))
        .collect();
    assert!(
        sockets.admit(0, CustomerId(1), 2).is_err(),
        "three of six at one of two nodes"
    );
    assert!(
        sockets.admit(0, CustomerId(2), 2).is_ok(),
        "another customer, the same address or not"
    );
    sockets.ended(three[0]);
    assert!(sockets.admit(0, CustomerId(1), 2).is_ok());
    // Where there are more nodes than sockets each has one.
    assert!(sockets.admit(0, CustomerId(3), 9).is_ok());
    assert!(sockets.admit(0, CustomerId(3), 9).is_err());
}

#[test]
fn nodes_and_servers_have_bounds_of_their_own() {
    let mut sockets = Sockets::new(
        Limits {
            per_node: 2,
            per_server: 1,
            ..limits()
        },
        0,
    );
    let one = sockets.admit(0, CustomerId(1), 1).expect("room");
    let two = sockets.admit(0, CustomerId(2), 1).expect("room");
    assert!(sockets.admit(0, CustomerId(3), 1).is_err());
    assert!(sockets.opened(1, one, ONE).is_empty());
    assert!(matches!(
        sockets.opened(2, two, ONE)[..],
        [Command::Close(_, 1013, _)]
    ));
    sockets.ended(one);
    sockets.ended(two);
    assert_eq!(
        (sockets.count(), sockets.next_alarm()),
        (0, None),
        "nothing is kept"
    );
}

#[test]
fn upgrades_are_let_in_at_a_pace_with_advice() {
    let mut sockets = Sockets::new(
        Limits {
            opens_per_s: 10.0,
            ..limits()
        },
        0,
    );
    let all = (0..100)
        .filter(|customer| sockets.admit(0, CustomerId(*customer), 1).is_ok())
        .count();
    assert_eq!(all, 10);
    let shut = sockets.admit(0, CustomerId(200), 1).expect_err("too many");
    assert_eq!(shut.retry_in, 100 * MS);
    assert!(sockets.admit(100 * MS + 1, CustomerId(200), 1).is_ok());
}

#[test]
fn the_silent_are_asked_then_closed_then_cut() {
    let mut sockets = with(limits(), 1);
    let id = SocketId(0);
    sockets.heard(900 * MS, id, Side::Client, true);
    let first = until(&mut sockets, 0, 1_000 * MS);
    assert_eq!(first, [(1_000 * MS, Command::Ping(id, Side::Server))]);
    sockets.heard(1_010 * MS, id, Side::Server, false);
    // Both were heard: each is asked a second after that, and the server answers.
    let again = until(&mut sockets, 1_010 * MS, 2_010 * MS);
    assert_eq!(again.len(), 2, "{again:?}");
    sockets.heard(2_020 * MS, id, Side::Server, false);
    let end = until(&mut sockets, 2_020 * MS, 3_900 * MS);
    assert!(
        matches!(end.last(), Some((at, Command::Close(..))) if *at == 3_900 * MS),
        "{end:?}"
    );
    let cut = until(&mut sockets, 3_900 * MS, 10_000 * MS);
    assert_eq!(cut, [(4_900 * MS, Command::Cut(id))]);
}

#[test]
fn idle_and_old_sockets_close() {
    let bounds = Limits {
        idle_for: 500 * MS,
        life_for: 2_000 * MS,
        ping_after: 9_000 * MS,
        silent_after: 10_000 * MS,
        ..limits()
    };
    let mut sockets = with(bounds, 1);
    sockets.heard(400 * MS, SocketId(0), Side::Server, false);
    let idle = until(&mut sockets, 0, 600 * MS);
    assert!(
        matches!(idle[..], [(at, Command::Close(..))] if at == 500 * MS),
        "{idle:?}"
    );
    let mut sockets = with(
        Limits {
            idle_for: 0,
            ..limits()
        },
        1,
    );
    assert!(until(&mut sockets, 0, 900 * MS).is_empty());
}

#[test]
fn a_stop_closes_all_and_lets_nobody_in() {
    let mut sockets = with(limits(), 50);
    let out = sockets.admit(0, CustomerId(777), 1).expect("room");
    let mut closes = sockets.stop(10);
    closes.extend(
        until(&mut sockets, 10, 150 * MS)
            .into_iter()
            .map(|(_, command)| command),
    );
    assert_eq!(closed(&closes), 50);
    assert!(sockets.admit(20, CustomerId(1_000), 1).is_err());
    assert!(
        matches!(sockets.opened(30, out, ONE)[..], [Command::Drain(..)]),
        "an upgrade that was out"
    );
}

/// Anything in any order: counts never go wrong, and when all have ended nothing is kept.
#[test]
fn nothing_is_kept_of_sockets_that_are_over() {
    let mut random = fastrand::Rng::with_seed(3);
    let mut sockets = Sockets::new(
        Limits {
            idle_for: 70 * MS,
            life_for: 200 * MS,
            ..limits()
        },
        0,
    );
    let (mut now, mut known) = (0, Vec::new());
    for _ in 0..30_000 {
        now += random.u64(..3 * MS);
        match random.u8(..8) {
            0 | 1 => known.extend(sockets.admit(now, CustomerId(random.u64(..9)), 1)),
            2 | 3 => {
                _ = random
                    .choice(&known)
                    .map(|id| sockets.opened(now, *id, ServerId(random.u64(..3))));
            }
            4 => {
                _ = random
                    .choice(&known)
                    .map(|id| sockets.heard(now, *id, Side::Client, random.bool()));
            }
            5 if !known.is_empty() => sockets.ended(known.swap_remove(random.usize(..known.len()))),
            6 => _ = sockets.told(now, ServerId(random.u64(..3)), random.bool()),
            _ => _ = sockets.tick(now),
        }
        assert_eq!(sockets.count(), known.len());
    }
    known.into_iter().for_each(|id| sockets.ended(id));
    sockets.tick(now + 10_000 * MS);
    assert_eq!((sockets.count(), sockets.next_alarm()), (0, None));
    assert!(
        sockets.by_customer.is_empty() && sockets.by_server.is_empty() && sockets.away.is_empty()
    );
}
