use super::*;

/// Controller periods per second.
const PERIODS_PER_S: usize = 2;
/// Seconds for which samples are high.
const HIGH_FOR_S: usize = 20;

/// Simulates a fleet whose nodes each get one sample in `sample_interval_s` seconds on average and send
/// `messages_per_s` messages to random nodes. Samples are 3 for [`HIGH_FOR_S`] and then 1 for `low_for_s`. Returns the
/// largest difference of a node's average from 1 at the end.
fn largest_error(
    nodes: usize,
    sample_interval_s: f64,
    messages_per_s: usize,
    low_for_s: usize,
) -> f64 {
    let mut random = fastrand::Rng::with_seed(5);
    let mut averages = vec![GossipAverage::default(); nodes];
    for period in 0..PERIODS_PER_S * (HIGH_FOR_S + low_for_s) {
        let sample = if period < PERIODS_PER_S * HIGH_FOR_S {
            3.0
        } else {
            1.0
        };
        for node in 0..nodes {
            averages[node].decay(0.5 / LATENCY_DECAY_S);
            if random.f64() < 0.5 / sample_interval_s {
                averages[node].add(sample, 1.0);
            }
            for _ in 0..messages_per_s / PERIODS_PER_S {
                let (to, sent) = (random.usize(0..nodes), averages[node]);
                averages[to].mix(GossipAverage::decoded(
                    sent.mean().unwrap_or(0.0),
                    sent.encoded_count(),
                ));
            }
        }
    }
    averages
        .iter()
        .map(|average| (average.mean().unwrap_or(9.0) - 1.0).abs())
        .fold(0.0, f64::max)
}

/// After an overload the latencies of a fleet with few requests are low again. A node has few samples of its own and
/// would go on shedding load if its average did not follow within seconds.
#[test]
fn average_of_a_fleet_with_few_samples_follows_a_change_within_seconds() {
    for nodes in [3, 30, 100, 1000] {
        let error = largest_error(nodes, 2.0, 16, 8);
        assert!(
            error < 0.25,
            "{nodes} nodes: the average of a node differs by {error} from 1"
        );
    }
}

#[test]
fn average_is_unknown_after_a_long_time_without_samples() {
    let mut average = GossipAverage::of(2.0, 5.0);
    average.decay(20.0);
    assert_eq!(average.mean(), None);
}

#[test]
fn encoded_sample_count_is_accurate_within_a_tenth() {
    for count in [0.05, 0.3, 1.0, 4.0, 12.0] {
        let received = GossipAverage::decoded(1.5, GossipAverage::of(1.5, count).encoded_count());
        assert!(
            (received.count / count - 1.0).abs() < 0.1,
            "a count of {count} was decoded as {received:?}"
        );
    }
}
