//! Which lines are parsed as commands, and that the result does not depend on how a line is split.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_admin::{AdminCommand, CommandError, Line, MAX_LINE_BYTES};

fn parse(text: impl AsRef<[u8]>) -> Option<Result<AdminCommand, CommandError>> {
    Line::default().receive(text.as_ref())
}

#[test]
fn commands_match_exactly_with_any_line_end() {
    for command in AdminCommand::ALL {
        let name = command.name();
        assert_eq!(parse(format!("{name}\n")), Some(Ok(command)));
        assert_eq!(parse(format!("{name} \r\n")), Some(Ok(command)));
        assert_eq!(parse(format!("{name}\nINFO\n")), Some(Ok(command)));
    }
    let names = AdminCommand::ALL.map(AdminCommand::name);
    assert_eq!(names, ["PING", "INFO", "LAMEDUCK", "REJOIN"]);
    for other in [
        "\n",
        "ping\n",
        "PINGS\n",
        "LAMEDUCK now\n",
        "\0\n",
        "\u{ff}\n",
        "GET / HTTP/1.1\r\n",
    ] {
        assert_eq!(parse(other), Some(Err(CommandError::Unknown)), "{other:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// A line gives the same result when it is received in pieces of any size.
    #[test]
    fn a_line_gives_the_same_result_in_pieces_of_any_size(
        text in "[A-Z\r\n ]{0,80}",
        piece_sizes in prop::collection::vec(1usize..9, 1..80),
    ) {
        let expected = parse(&text);
        let mut line = Line::default();
        let mut rest = text.as_bytes();
        let mut result = None;
        for size in piece_sizes.iter().cycle() {
            if rest.is_empty() || result.is_some() {
                break;
            }
            let (piece, unsent) = rest.split_at((*size).min(rest.len()));
            result = line.receive(piece);
            rest = unsent;
        }
        prop_assert_eq!(result, expected);
        // The longest generated lines exceed the limit.
        prop_assert!(text.len() <= 80 && MAX_LINE_BYTES < 80);
    }
}
