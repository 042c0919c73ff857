use super::*;

#[test]
fn mean_is_unbiased_from_the_first_sample_on() {
    let mut mean = DecayingMean::default();
    assert!(!mean.is_known());
    for _ in 0..6 {
        mean.add(12.0, 0.05);
        assert!(
            mean.is_known() && (mean.value() - 12.0).abs() < 1e-9,
            "mean of equal samples of 12: {}",
            mean.value()
        );
    }
}

#[test]
fn first_samples_have_equal_weights_and_old_ones_decay() {
    let mut mean = DecayingMean::default();
    (1..=10).for_each(|sample| mean.add(f64::from(sample), 0.05));
    assert!(
        (mean.value() - 5.5).abs() < 1e-9,
        "mean of 1 to 10: {}",
        mean.value()
    );
    (0..200).for_each(|_| mean.add(2.0, 0.05));
    assert!(
        (mean.value() - 2.0).abs() < 0.01,
        "mean after 200 samples of 2: {}",
        mean.value()
    );
}

#[test]
fn first_sample_after_a_restore_has_its_final_weight() {
    let mut mean = DecayingMean::known(8.0);
    mean.add(0.0, 0.05);
    assert!(
        (mean.value() - 7.6).abs() < 1e-9,
        "mean after a sample of 0 with weight 0.05: {}",
        mean.value()
    );
}
