//! The section `[list]`: rate limits and timeouts of calls to the platform's service discovery.

use crate::section::Section;
use saffronpaddle_endpoints::PollLimits;

/// Reads the section. Returns `None` unless it sets a rate of calls.
pub(crate) fn read(section: &mut Section) -> Option<PollLimits> {
    let limits = PollLimits {
        calls_per_s: section.float("calls_per_s", 0.0, 0.0..=100_000.0),
        first_within: section.span_ms("first_within_ms", 30_000, 0..=600_000),
        answer_within: section.span_ms("answer_within_ms", 10_000, 100..=120_000),
        empty_after: section.span_ms("empty_after_ms", 30_000, 0..=86_400_000),
    };
    (limits.calls_per_s > 0.0).then_some(limits)
}
