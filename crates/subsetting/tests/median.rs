//! Compares the incrementally updated median with that of a sorted list.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_subsetting::Median;
use std::collections::BTreeMap;

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    #[test]
    fn the_median_equals_that_of_a_sorted_list(steps in prop::collection::vec((0_u64..40, 0_u32..50), 1..200)) {
        let (mut median, mut values) = (Median::default(), BTreeMap::new());
        for (key, value) in steps {
            if let Some(old) = values.remove(&key) {
                median.remove(old, key);
            }
            if value > 0 {
                values.insert(key, f64::from(value));
                median.add(f64::from(value), key);
            }
            let mut sorted: Vec<f64> = values.values().copied().collect();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(median.get(), sorted.get(sorted.len() / 2).copied());
            prop_assert_eq!(median.len(), values.len());
        }
    }
}
