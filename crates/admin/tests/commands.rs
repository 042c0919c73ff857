//! The lines that are commands, and those that are none.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_admin::{Call, CallError, Line, LINE_MOST};

fn parse(text: impl AsRef<[u8]>) -> Option<Result<Call, CallError>> {
    Line::default().take(text.as_ref())
}

#[test]
fn commands_match_exactly_whatever_ends_their_line() {
    for call in Call::ALL {
        let name = call.name();
        assert_eq!(parse(format!("{name}\n")), Some(Ok(call)));
        assert_eq!(parse(format!("{name} \r\n")), Some(Ok(call)));
        assert_eq!(parse(format!("{name}\nINFO\n")), Some(Ok(call)));
    }
    let names = Call::ALL.map(Call::name);
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
        assert_eq!(parse(other), Some(Err(CallError::Unknown)), "{other:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// A line gives the same result however it is cut into pieces.
    #[test]
    fn a_line_means_the_same_however_it_is_cut(text in "[A-Z\r\n ]{0,80}", cuts in prop::collection::vec(1usize..9, 1..80)) {
        let expected = parse(&text);
        let mut line = Line::default();
        let mut rest = text.as_bytes();
        let mut result = None;
        for cut in cuts.iter().cycle() {
            if rest.is_empty() || result.is_some() {
                break;
            }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            result = line.take(piece);
            rest = left;
        }
        prop_assert_eq!(result, expected);
        prop_assert!(text.len() <= 80 && LINE_MOST < 80);
    }
}
