use super::*;

/// A caller sends bytes without a line end. It gets an error, and what is kept of the bytes is bounded.
#[test]
fn a_line_without_end_is_rejected_and_takes_bounded_memory() {
    let mut line = Line::default();
    let result = (0..LINE_MOST + 2).find_map(|_| line.take(b"A"));
    assert_eq!(result, Some(Err(CallError::TooLong)));
    assert!(line.received.len() <= LINE_MOST + 1);
}
