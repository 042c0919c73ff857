//! Over any order of events, what was taken is what has ended and what is open; and what is told says so.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_admin::{Line, Metrics, RequestCounters, RequestEnd, LINE_MOST};

fn told(text: &str, name: &str) -> u64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name))
        .unwrap_or_else(|| panic!("{name}: {text}"));
    line.trim().parse().expect("a number")
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    #[test]
    fn taken_is_what_has_ended_and_what_is_open(steps in prop::collection::vec((0usize..3, 0u8..6), 0..200)) {
        let names = ["a", "b", "c"].map(str::to_owned);
        let mut tally = RequestCounters::default();
        let mut open = [0u64; 3];
        for (class, what) in steps {
            let end = match what {
                0 => Some(RequestEnd::Fulfilled),
                1 => Some(RequestEnd::Throttled),
                2 => Some(RequestEnd::Faulted),
                3 => Some(RequestEnd::Gone),
                _ => None,
            };
            match end {
                Some(end) if open[class] > 0 => {
                    open[class] -= 1;
                    tally.ended(class, end);
                }
                Some(_) => {}
                None => {
                    open[class] += 1;
                    tally.taken(class);
                }
            }
            for (place, counts) in tally.classes.iter().enumerate() {
                prop_assert_eq!(counts.open(), open[place]);
            }
            let text = Metrics { names: &names, tally: tally.clone(), ..Metrics::default() }.exposition();
            prop_assert_eq!(told(&text, "lb_open_requests"), open.iter().sum::<u64>());
            let ended: u64 = ["fulfilled", "throttled", "faulted"].iter().flat_map(|kind| {
                names.iter().map(|name| told(&text, &format!("lb_{kind}{{priority=\"{name}\"}}"))).collect::<Vec<_>>()
            }).sum();
            let gone: u64 = tally.classes.iter().map(|counts| counts.gone).sum();
            let taken: u64 = tally.classes.iter().map(|counts| counts.taken).sum();
            prop_assert_eq!(taken, ended + gone + open.iter().sum::<u64>());
        }
    }

    /// However a line is cut, it is the same call; and nothing that a caller writes is kept beyond the bound.
    #[test]
    fn a_line_means_the_same_however_it_is_cut(text in "[A-Z\r\n ]{0,80}", cuts in prop::collection::vec(1usize..9, 1..80)) {
        let whole = Line::default().take(text.as_bytes());
        let (mut line, mut rest, mut told) = (Line::default(), text.as_bytes(), None);
        for cut in cuts.iter().cycle() {
            if rest.is_empty() || told.is_some() {
                break;
            }
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            (told, rest) = (line.take(piece), left);
        }
        prop_assert_eq!(told, whole);
        prop_assert!(text.len() <= 80 && LINE_MOST < 80);
    }
}
