use super::*;

#[test]
fn the_wait_follows_the_round_trip_and_covers_its_spread() {
    for round_trip in [12_000, 40_000, 90_000u64] {
        let mut timeout = RetransmissionTimeout::default();
        let mut random = fastrand::Rng::with_seed(1);
        let mut early = 0;
        for _ in 0..500 {
            let took = round_trip + random.u64(0..round_trip / 3);
            if took > timeout.wait() {
                early += 1;
                timeout.back_off();
            } else {
                timeout.sample(took);
            }
        }
        assert!(
            early <= 5,
            "{round_trip}: retransmitted {early} times for nothing"
        );
        assert!(
            timeout.wait() as f64 <= (round_trip as f64 * 2.2).max(MIN_WAIT),
            "{round_trip}: {}",
            timeout.wait()
        );
    }
}
