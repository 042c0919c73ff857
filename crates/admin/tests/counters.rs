//! For any sequence of events, the number of received requests equals the ended and open ones, also in the metrics.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_admin::{ClassCounts, Metrics, RequestCounters, RequestEnd};

/// Returns the value of a sample in the text of the metrics.
fn sample(text: &str, name: &str) -> u64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .unwrap_or_else(|| panic!("the metrics have no sample {name}:\n{text}"));
    line.trim()
        .parse()
        .expect("the value of a sample is an integer")
}

/// Sums the samples that count requests that ended with a response.
fn answered(text: &str, class_names: &[String]) -> u64 {
    let mut sum = 0;
    for end in ["fulfilled", "throttled", "faulted"] {
        for class in class_names {
            sum += sample(text, &format!("lb_{end}{{priority=\"{class}\"}}"));
        }
    }
    sum
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Received,
    Ended(RequestEnd),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Received),
        1 => Just(Step::Ended(RequestEnd::Fulfilled)),
        1 => Just(Step::Ended(RequestEnd::Throttled)),
        1 => Just(Step::Ended(RequestEnd::Faulted)),
        1 => Just(Step::Ended(RequestEnd::Disconnected)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    #[test]
    fn received_requests_are_the_sum_of_ended_and_open_ones(
        steps in prop::collection::vec((0usize..3, any_step()), 0..200),
    ) {
        let names = ["a", "b", "c"].map(str::to_owned);
        let mut counters = RequestCounters::default();
        let mut open = [0u64; 3];
        for (class, step) in steps {
            match step {
                Step::Received => {
                    open[class] += 1;
                    counters.record_received(class);
                }
                Step::Ended(end) if open[class] > 0 => {
                    open[class] -= 1;
                    counters.record_end(class, end);
                }
                Step::Ended(_) => {}
            }
            for (class, counts) in counters.classes.iter().enumerate() {
                prop_assert_eq!(counts.open(), open[class]);
            }
            let metrics = Metrics { class_names: &names, request_counters: counters.clone(), ..Metrics::default() };
            let text = metrics.exposition();
            let all_open: u64 = open.iter().sum();
            prop_assert_eq!(sample(&text, "lb_open_requests"), all_open);
            let sum = |count: fn(&ClassCounts) -> u64| counters.classes.iter().map(count).sum::<u64>();
            let disconnected = sum(|counts| counts.disconnected);
            let received = sum(|counts| counts.received);
            prop_assert_eq!(received, answered(&text, &names) + disconnected + all_open);
        }
    }
}
