//! Formatting and parsing of the log lines with counters.

use saffronpaddle_admin::CounterLine;

#[test]
fn a_formatted_line_is_parsed_and_other_lines_are_rejected() {
    let line = CounterLine::format(7, 5_000, [("asked", 12), ("granted", 9)].into_iter());
    assert_eq!(line, "counts node=7 at_ms=5000 asked=12 granted=9");
    let parsed = CounterLine::parse(&format!("2026-12-01T08:00:00Z n7: {line}"))
        .expect("a line of counters is parsed");
    assert_eq!((parsed.node, parsed.at_ms), (7, 5_000));
    assert_eq!((parsed.counts["asked"], parsed.counts.len()), (12, 2));
    for other in [
        "",
        "n7: listening on 127.0.0.1:1",
        "counts",
        "counts node=1",
        "counts node=x at_ms=1",
    ] {
        assert_eq!(CounterLine::parse(other), None, "{other:?} is rejected");
    }
    let truncated = "counts node=1 at_ms=5 asked=1 gran";
    assert_eq!(CounterLine::parse(truncated), None);
}
