use super::*;

#[test]
fn what_must_be_said_goes_first_and_both_together_keep_to_the_budget() {
    let mut words = Words::default();
    let (mut again, mut said) = (0, 0);
    for tick in 0..1000_u64 {
        let now = 1_000_000 + tick * 10_000;
        // Thirty a second that must be said, and as many again as may be.
        if tick % 10 < 3 {
            words.said(now, 1.0, 42.0);
            said += 1;
        }
        for _ in 0..3 {
            if words.may(now, 42.0) {
                words.said(now, 1.0, 42.0);
                again += 1;
            }
        }
    }
    assert!(
        f64::from(said + again) <= 42.0 * 10.5,
        "{said} and {again} in 10 s"
    );
    assert!(again >= 100, "the rest is used: {again}");
}

#[test]
fn what_is_owed_has_an_end() {
    let mut words = Words::default();
    words.said(1_000_000, 10_000.0, 42.0);
    assert!(!words.may(1_500_000, 42.0));
    assert!(
        words.may(2_100_000, 42.0),
        "a flood of answers silences nobody for long"
    );
}
