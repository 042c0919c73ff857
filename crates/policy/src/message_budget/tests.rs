use super::*;

#[test]
fn required_messages_and_retransmissions_together_stay_within_the_budget() {
    let mut budget = MessageBudget::default();
    let (mut retransmitted, mut required) = (0, 0);
    for tick in 0..1000_u64 {
        let now = 1_000_000 + tick * 10_000;
        // Thirty required messages per second, and as many retransmissions as the budget allows.
        if tick % 10 < 3 {
            budget.record(now, 1.0, 42.0);
            required += 1;
        }
        for _ in 0..3 {
            if budget.allows(now, 42.0) {
                budget.record(now, 1.0, 42.0);
                retransmitted += 1;
            }
        }
    }
    assert!(
        f64::from(required + retransmitted) <= 42.0 * 10.5,
        "{required} required messages and {retransmitted} retransmissions in 10 s exceed 42 per second"
    );
    assert!(
        retransmitted >= 100,
        "retransmissions leave some of the budget unused: {retransmitted} in 10 s"
    );
}

/// A burst of responses overdraws the budget by far. Retransmissions must be allowed again soon after it.
#[test]
fn overdraft_is_bounded() {
    let mut budget = MessageBudget::default();
    budget.record(1_000_000, 10_000.0, 42.0);
    assert!(!budget.allows(1_500_000, 42.0));
    assert!(
        budget.allows(2_100_000, 42.0),
        "retransmissions are allowed again 1.1 s later"
    );
}
