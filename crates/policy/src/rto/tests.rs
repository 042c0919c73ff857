use super::*;

#[test]
fn the_wait_follows_the_way_and_covers_its_spread() {
    for way in [12_000, 40_000, 90_000u64] {
        let mut rto = Rto::default();
        let mut random = fastrand::Rng::with_seed(1);
        let mut early = 0;
        for _ in 0..500 {
            let took = way + random.u64(0..way / 3);
            if took > rto.wait() {
                early += 1;
                rto.back_off();
            } else {
                rto.sample(took);
            }
        }
        assert!(early <= 5, "{way}: put again {early} times for nothing");
        assert!(
            rto.wait() as f64 <= (way as f64 * 2.2).max(BOUNDS.0),
            "{way}: {}",
            rto.wait()
        );
    }
}
