use super::*;

/// A fleet whose gateways each see one sample in `every` seconds and speak `words` times a second to a random
/// one: after `seconds` of samples of 3, then `later` of samples of 1, the worst distance of a gateway from 1.
fn farthest(gateways: usize, every: f64, words: usize, later: usize) -> f64 {
    let mut random = fastrand::Rng::with_seed(5);
    let mut pools = vec![Pooled::default(); gateways];
    for tick in 0..2 * (20 + later) {
        let sample = if tick < 40 { 3.0 } else { 1.0 };
        for place in 0..gateways {
            pools[place].fade(0.5 / LATENCY_FADES_IN);
            if random.f64() < 0.5 / every {
                pools[place].add((sample, 1.0));
            }
            for _ in 0..words / 2 {
                let (from, told) = (random.usize(0..gateways), pools[place]);
                pools[from].mix(Pooled::told(told.mean().unwrap_or(0.0), told.weight()));
            }
        }
    }
    pools
        .iter()
        .map(|pool| (pool.mean().unwrap_or(9.0) - 1.0).abs())
        .fold(0.0, f64::max)
}

#[test]
fn a_fleet_that_sees_little_forgets_a_jam_in_seconds() {
    for gateways in [3, 30, 100, 1000] {
        let far = farthest(gateways, 2.0, 16, 8);
        assert!(far < 0.25, "{gateways} gateways: {far}");
    }
}

#[test]
fn nothing_is_known_once_nothing_was_seen_for_long() {
    let mut pool = Pooled::of(2.0, 5.0);
    pool.fade(20.0);
    assert_eq!(pool.mean(), None);
}

#[test]
fn a_weight_keeps_its_size_on_the_way() {
    for count in [0.05, 0.3, 1.0, 4.0, 12.0] {
        let told = Pooled::told(1.5, Pooled::of(1.5, count).weight());
        assert!((told.count / count - 1.0).abs() < 0.1, "{count}: {told:?}");
    }
}
