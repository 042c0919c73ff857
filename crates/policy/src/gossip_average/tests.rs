use super::*;

/// A fleet whose nodes each see one sample in `every` seconds and send `messages` times a second to a random
/// one: after `seconds` of samples of 3, then `later` of samples of 1, the worst distance of a node from 1.
fn farthest(nodes: usize, every: f64, messages: usize, later: usize) -> f64 {
    let mut random = fastrand::Rng::with_seed(5);
    let mut pools = vec![GossipAverage::default(); nodes];
    for tick in 0..2 * (20 + later) {
        let sample = if tick < 40 { 3.0 } else { 1.0 };
        for place in 0..nodes {
            pools[place].decay(0.5 / LATENCY_DECAY_S);
            if random.f64() < 0.5 / every {
                pools[place].add(sample, 1.0);
            }
            for _ in 0..messages / 2 {
                let (to, sent) = (random.usize(0..nodes), pools[place]);
                pools[to].mix(GossipAverage::decoded(
                    sent.mean().unwrap_or(0.0),
                    sent.encoded_count(),
                ));
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
    for nodes in [3, 30, 100, 1000] {
        let far = farthest(nodes, 2.0, 16, 8);
        assert!(far < 0.25, "{nodes} nodes: {far}");
    }
}

#[test]
fn nothing_is_known_once_nothing_was_seen_for_long() {
    let mut pool = GossipAverage::of(2.0, 5.0);
    pool.decay(20.0);
    assert_eq!(pool.mean(), None);
}

#[test]
fn a_weight_keeps_its_size_on_the_way() {
    for count in [0.05, 0.3, 1.0, 4.0, 12.0] {
        let told = GossipAverage::decoded(1.5, GossipAverage::of(1.5, count).encoded_count());
        assert!((told.count / count - 1.0).abs() < 0.1, "{count}: {told:?}");
    }
}
