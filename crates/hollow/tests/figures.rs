//! The spans of time that hollow nodes measure.

use saffronpaddle_hollow::figures::Spans;

#[test]
fn spans_of_two_processes_are_one_distribution() {
    let (mut one, mut other) = (Spans::default(), Spans::default());
    (1..=500).for_each(|span| one.add(span));
    (501..=1_000).for_each(|span| other.add(span));
    let mut all = Spans::default();
    all.merge(&one.pairs());
    all.merge(&other.pairs());
    assert_eq!(all.many(), 1_000);
    assert_eq!(
        (all.at(0.5), all.at(0.99), all.at(1.0)),
        (Some(500.0), Some(990.0), Some(1_000.0))
    );
}

#[test]
fn no_spans_have_no_quantile() {
    assert_eq!(Spans::default().at(0.5), None);
}
