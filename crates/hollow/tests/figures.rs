//! Duration histograms of hollow nodes.

use saffronpaddle_hollow::figures::DurationHistogram;

#[test]
fn merged_histograms_of_two_processes_give_quantiles_over_both() {
    let (mut one, mut other) = (DurationHistogram::default(), DurationHistogram::default());
    (1..=500).for_each(|duration| one.record(duration));
    (501..=1_000).for_each(|duration| other.record(duration));
    let mut all = DurationHistogram::default();
    all.merge(&one.buckets());
    all.merge(&other.buckets());
    assert_eq!(all.count(), 1_000);
    assert_eq!(
        (all.quantile(0.5), all.quantile(0.99), all.quantile(1.0)),
        (Some(500.0), Some(990.0), Some(1_000.0))
    );
}

#[test]
fn an_empty_histogram_has_no_quantile() {
    assert_eq!(DurationHistogram::default().quantile(0.5), None);
}
