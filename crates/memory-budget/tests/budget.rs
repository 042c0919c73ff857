//! The sum over all holders under random draws, and the order in which holders are restricted.

use proptest::prelude::*;
use saffronpaddle_memory_budget::{Holder, MemoryBudget};

const LIMIT: u64 = 32 << 20;

fn any_holder() -> impl Strategy<Value = Holder> {
    proptest::sample::select(Holder::ALL.to_vec())
}

proptest! {
    /// Whatever is drawn and released in whatever order, the sum stays within the capacity, and within the mark of whoever
    /// drew last.
    #[test]
    fn the_sum_of_random_draws_stays_within_the_marks(
        steps in proptest::collection::vec((any_holder(), 1_u64..200_000, any::<bool>()), 1..500)
    ) {
        let mut budget = MemoryBudget::new(LIMIT);
        let mut drawn = Vec::new();
        for (holder, bytes, draws) in steps {
            if draws {
                if budget.try_draw(holder, bytes) {
                    drawn.push((holder, bytes));
                    let mark = budget.capacity() / 100 * holder.mark_percent();
                    prop_assert!(budget.used() <= mark);
                }
            } else if let Some((holder, bytes)) = drawn.pop() {
                budget.release(holder, bytes);
            }
            let sum: u64 = drawn.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.used(), sum);
            prop_assert!(sum <= budget.capacity());
        }
    }

    /// Holders that come later in the order find room wherever earlier ones do.
    #[test]
    fn a_holder_is_never_restricted_before_an_earlier_one(
        used in 0_u64..LIMIT, bytes in 1_u64..200_000, one in any_holder(), other in any_holder()
    ) {
        let mut budget = MemoryBudget::new(LIMIT);
        budget.draw(Holder::ClientConnection, used);
        let (earlier, later) = (one.min(other), one.max(other));
        prop_assert!(!budget.has_room(earlier, bytes) || budget.has_room(later, bytes));
    }
}

#[test]
fn a_crowd_of_incomplete_requests_leaves_room_for_new_ones() {
    let mut budget = MemoryBudget::new(LIMIT);
    for holder in [Holder::ReadAhead, Holder::RequestHead, Holder::RequestBody] {
        while budget.try_draw(holder, 16 * 1024) {}
        assert!(budget.denied(holder) == 1 && budget.has_room(Holder::Request, 64 * 1024));
    }
}

#[test]
fn a_smaller_limit_denies_draws_and_keeps_what_is_held() {
    let mut budget = MemoryBudget::new(LIMIT);
    let half = budget.capacity() / 2;
    assert!(budget.try_draw(Holder::Request, half));
    budget.set_limit(LIMIT / 2);
    assert_eq!(
        (budget.used(), budget.has_room(Holder::Request, 1)),
        (half, false)
    );
    budget.release(Holder::Request, half);
    assert!(budget.has_room(Holder::Request, 1));
}

#[test]
fn the_largest_holder_is_named() {
    let mut budget = MemoryBudget::new(LIMIT);
    budget.draw(Holder::Response, 10);
    budget.draw(Holder::RequestHead, 20);
    assert_eq!(budget.largest_holder().name(), "request_heads");
}

#[test]
fn a_new_maximum_of_resident_memory_bounds_what_is_drawn_from_then_on() {
    let mut budget = MemoryBudget::new(LIMIT);
    let nominal = budget.capacity();
    let used = nominal / 100 * 70;
    assert!(budget.try_draw(Holder::Request, used));
    budget.observe_resident(LIMIT / 100 * 50);
    assert_eq!(budget.capacity(), nominal);
    budget.observe_resident(LIMIT / 100 * 95);
    assert_eq!(budget.capacity(), used);
    assert!(budget.is_short() && !budget.has_room(Holder::Request, 1));
    // What was released is reused by the allocator, so it can be drawn again.
    budget.release(Holder::Request, used);
    budget.observe_resident(LIMIT / 100 * 94);
    assert!(budget.has_room(Holder::Request, used / 2));
}

/// Guards against a process that lets connections go for good after a crowd has left.
#[test]
fn memory_is_not_short_once_a_crowd_has_left() {
    let mut budget = MemoryBudget::new(LIMIT);
    let used = budget.capacity() / 100 * 80;
    budget.draw(Holder::Request, used);
    budget.observe_resident(LIMIT / 100 * 90);
    assert!(budget.is_short());
    budget.release(Holder::Request, used);
    assert!(!budget.is_short() && budget.max_idle_bytes() > 0);
}
