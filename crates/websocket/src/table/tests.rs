use super::*;

/// Microseconds in a millisecond.
const MS: Micros = 1_000;

fn limits() -> Limits {
    Limits {
        per_node: 20_000,
        per_customer: 6,
        per_server: 20_000,
        opens_per_s: 100_000.0,
        ping_after: 1_000 * MS,
        silent_after: 3_000 * MS,
        idle_timeout: 70 * MS,
        max_age: 200 * MS,
        drain_within: 200 * MS,
        close_within: 1_000 * MS,
        reconnects_per_s: 100.0,
        restart: false,
    }
}

/// Guards against memory that grows without bound: after random events, the count must be right, and no state may be
/// left once all sockets have ended.
#[test]
fn no_state_is_left_of_ended_sockets() {
    let mut random = fastrand::Rng::with_seed(3);
    let mut sockets = Sockets::new(limits(), 0);
    let (mut now, mut open) = (0, Vec::new());
    for _ in 0..30_000 {
        now += random.u64(..3 * MS);
        match random.u8(..8) {
            0 | 1 => open.extend(sockets.admit(now, CustomerId(random.u64(..9)), 1)),
            2 | 3 => {
                _ = random
                    .choice(&open)
                    .map(|id| sockets.on_opened(now, *id, ServerId(random.u64(..3))));
            }
            4 => {
                _ = random
                    .choice(&open)
                    .map(|id| sockets.on_received(now, *id, Side::Client, random.bool()));
            }
            5 if !open.is_empty() => sockets.on_ended(open.swap_remove(random.usize(..open.len()))),
            6 => _ = sockets.on_server_status(now, ServerId(random.u64(..3)), random.bool()),
            _ => _ = sockets.tick(now),
        }
        assert_eq!(sockets.count(), open.len());
    }
    open.into_iter().for_each(|id| sockets.on_ended(id));
    sockets.tick(now + 10_000 * MS);
    assert_eq!((sockets.count(), sockets.next_alarm()), (0, None));
    assert!(
        sockets.by_customer.is_empty()
            && sockets.by_server.is_empty()
            && sockets.unavailable.is_empty()
    );
}
