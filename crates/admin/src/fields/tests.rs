use super::*;

#[test]
fn a_line_is_read_as_it_was_written_and_others_are_passed_over() {
    let line = Fields::line(7, 5_000, [("asked", 12), ("granted", 9)].into_iter());
    assert_eq!(line, "counts node=7 at_ms=5000 asked=12 granted=9");
    let read = Fields::read(&format!("2026-12-01T08:00:00Z n7: {line}")).expect("it is one");
    assert_eq!(
        (read.node, read.at_ms, read.of["asked"], read.of.len()),
        (7, 5_000, 12, 2)
    );
    for other in [
        "",
        "n7: listening on 127.0.0.1:1",
        "counts",
        "counts node=1",
        "counts node=x at_ms=1",
    ] {
        assert_eq!(Fields::read(other), None, "{other}");
    }
    assert_eq!(
        Fields::read("counts node=1 at_ms=5 asked=1 gran"),
        None,
        "cut short"
    );
}
