//! The section `[ready]`: the readiness conditions.

use crate::section::Section;
use saffronpaddle_lifecycle::readiness::Conditions;

/// A fraction of the memory limit that disables the condition, because memory use cannot exceed it.
const NO_MEMORY_CONDITION: f64 = 1.0;

pub(crate) fn read(section: &mut Section) -> Conditions {
    let free_descriptors = section.number("free_descriptors", 16, 0..=1_000_000);
    Conditions {
        list_timeout: section.span_ms_or_none("list_within_ms", 5_000, 600_000),
        max_list_age: section.span_ms_or_none("list_stale_after_ms", 0, 86_400_000),
        peers_timeout: section.span_ms_or_none("peers_within_ms", 2_000, 600_000),
        min_free_descriptors: (free_descriptors > 0).then_some(free_descriptors),
        max_memory_fraction: Some(section.float("memory_share", 0.95, 0.1..=1.0))
            .filter(|share| *share < NO_MEMORY_CONDITION),
        max_clock_step: section.span_ms_or_none("clock_step_ms", 2_000, 3_600_000),
        max_event_loop_lag: section.span_ms_or_none("lag_ms", 1_000, 60_000),
        failure_delay: section.span_ms("lose_after_ms", 2_000, 0..=600_000),
        recovery_delay: section.span_ms("regain_after_ms", 1_000, 0..=600_000),
    }
}
