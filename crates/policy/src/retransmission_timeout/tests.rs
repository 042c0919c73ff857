use super::*;

#[test]
fn timeout_follows_the_round_trip_time_and_covers_its_variation() {
    for round_trip in [12_000, 40_000, 90_000u64] {
        let mut timeout = RetransmissionTimeout::default();
        let mut random = fastrand::Rng::with_seed(1);
        let mut unneeded = 0;
        for _ in 0..500 {
            let response_time = round_trip + random.u64(0..round_trip / 3);
            if response_time > timeout.value() {
                unneeded += 1;
                timeout.back_off();
            } else {
                timeout.sample(response_time);
            }
        }
        assert!(
            unneeded <= 5,
            "round-trip time of {round_trip} µs: {unneeded} unneeded retransmissions"
        );
        assert!(
            timeout.value() as f64 <= (round_trip as f64 * 2.2).max(MIN_TIMEOUT),
            "round-trip time of {round_trip} µs: timeout of {} µs",
            timeout.value()
        );
    }
}
