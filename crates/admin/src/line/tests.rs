use super::*;

/// A caller that sends bytes without a line end must get an error, and the buffered bytes must be bounded.
#[test]
fn a_line_without_end_is_rejected_and_uses_bounded_memory() {
    let mut line = Line::default();
    let result = (0..MAX_LINE_BYTES + 2).find_map(|_| line.receive(b"A"));
    assert_eq!(result, Some(Err(CommandError::TooLong)));
    assert!(line.received.len() <= MAX_LINE_BYTES + 1);
}
