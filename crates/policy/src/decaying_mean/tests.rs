use super::*;

#[test]
fn it_tells_what_is_from_the_first_sample_on() {
    let mut mean = DecayingMean::default();
    assert!(!mean.is_known());
    for _ in 0..6 {
        mean.add(12.0, 0.05);
        assert!(
            mean.is_known() && (mean.value() - 12.0).abs() < 1e-9,
            "{}",
            mean.value()
        );
    }
}

#[test]
fn samples_weigh_alike_at_first_and_are_forgotten_later() {
    let mut mean = DecayingMean::default();
    (1..=10).for_each(|sample| mean.add(f64::from(sample), 0.05));
    assert!((mean.value() - 5.5).abs() < 1e-9, "{}", mean.value());
    (0..200).for_each(|_| mean.add(2.0, 0.05));
    assert!((mean.value() - 2.0).abs() < 0.01, "{}", mean.value());
}

#[test]
fn what_another_process_knew_is_not_thrown_away_for_one_sample() {
    let mut mean = DecayingMean::known(8.0);
    mean.add(0.0, 0.05);
    assert!((mean.value() - 7.6).abs() < 1e-9, "{}", mean.value());
}
