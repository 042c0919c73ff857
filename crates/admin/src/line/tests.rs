use super::*;

#[test]
fn lines_are_calls_to_the_letter_whatever_ends_them() {
    for (name, call) in Call::ALL {
        assert_eq!(
            Line::default().take(format!("{name}\n").as_bytes()),
            Some(Ok(call))
        );
        assert_eq!(
            Line::default().take(format!("{name} \r\n").as_bytes()),
            Some(Ok(call))
        );
        assert_eq!(
            Line::default().take(format!("{name}\nINFO\n").as_bytes()),
            Some(Ok(call))
        );
    }
    for other in [
        "\n",
        "ping\n",
        "PINGS\n",
        "LAMEDUCK now\n",
        "\0\n",
        "\u{ff}\n",
        "GET / HTTP/1.1\r\n",
    ] {
        assert_eq!(
            Line::default().take(other.as_bytes()),
            Some(Err(CallError::Unknown)),
            "{other:?}"
        );
    }
}

#[test]
fn a_line_without_end_is_told_so_and_takes_no_memory() {
    let mut line = Line::default();
    let told = (0..LINE_MOST + 2).find_map(|_| line.take(b"A"));
    assert_eq!(told, Some(Err(CallError::TooLong)));
    assert!(line.held.len() <= LINE_MOST + 1);
}
