//! A run second by second and side by side, from the ledger's entries.

use crate::ends::Side;
use saffronpaddle_test_doubles::links::End;
use saffronpaddle_test_doubles::oracle::{Answer, Oracle};
use serde_json::{json, Value};
use std::time::Duration;

/// What happened in a second, or in several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Of {
    /// Tries whose last byte was written then.
    pub tries: u64,
    /// Of these, how many ended so.
    pub served: u64,
    /// See there.
    pub refused: u64,
    /// See there.
    pub failed: u64,
    /// Refused while half or more of what binds the customer was unused.
    pub with_room: u64,
    /// Units that came to servers then, and those of them beyond their customers' quotas.
    pub units: f64,
    /// See there.
    pub beyond: f64,
    /// Seconds of work, on a warm server, of the tries that were served.
    pub served_work: f64,
}

impl Of {
    /// The sum.
    #[must_use]
    pub fn and(self, other: &Of) -> Of {
        Of {
            tries: self.tries + other.tries,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            with_room: self.with_room + other.with_room,
            units: self.units + other.units,
            beyond: self.beyond + other.beyond,
            served_work: self.served_work + other.served_work,
        }
    }
}

/// The seconds of one side, counted from when load began.
#[derive(Clone, Debug, PartialEq)]
pub struct Windows {
    /// Its name; `all` is everything.
    pub side: String,
    /// Second by second.
    pub seconds: Vec<Of>,
}

impl Windows {
    /// As JSON.
    pub fn json(&self) -> Value {
        let second = |of: &Of| {
            json!([
                of.tries,
                of.served,
                of.refused,
                of.failed,
                of.with_room,
                of.units,
                of.beyond,
                of.served_work
            ])
        };
        json!({
            "side": self.side,
            "figures": ["tries", "served", "refused", "failed", "refused_with_room", "units", "beyond", "served_work_s"],
            "seconds": self.seconds.iter().map(second).collect::<Vec<_>>(),
        })
    }

    fn at(&mut self, since: Option<Duration>) -> Option<&mut Of> {
        let second = since?.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Of::default());
        }
        self.seconds.get_mut(second)
    }
}

/// Cuts a run into seconds, over all nodes and for each side.
pub fn cut(ledger: &Oracle, sides: &[Side], begun: Duration) -> Vec<Windows> {
    let named = std::iter::once("all").chain(sides.iter().map(|side| &*side.name));
    let mut all: Vec<Windows> = named
        .map(|side| Windows {
            side: side.to_owned(),
            seconds: Vec::new(),
        })
        .collect();
    for seen in ledger.requests() {
        let on = |place: usize| place == 0 || sides[place - 1].ends.contains(&End::Node(seen.node));
        for (_, windows) in all.iter_mut().enumerate().filter(|(place, _)| on(*place)) {
            if let Some(of) = windows.at(seen.sent_at.checked_sub(begun)) {
                of.tries += 1;
                match seen.answer {
                    Some(Answer::Served) => {
                        (of.served, of.served_work) = (of.served + 1, of.served_work + seen.work);
                    }
                    Some(Answer::Refused) => {
                        (of.refused, of.with_room) = (
                            of.refused + 1,
                            of.with_room + u64::from(seen.refused_within_limits),
                        );
                    }
                    Some(Answer::Failed) => of.failed += 1,
                    None => {}
                }
            }
            let sent = seen
                .first_attempt
                .and_then(|(at, beyond)| Some((at.checked_sub(begun)?, beyond)));
            if let Some((at, beyond)) = sent {
                if let Some(of) = windows.at(Some(at)) {
                    (of.units, of.beyond) = (of.units + seen.units, of.beyond + beyond);
                }
            }
        }
    }
    all
}

/// A table for people.
pub fn table(all: &[Windows]) -> String {
    let mut text =
        String::from("side      second  tries served refused failed with-room  units beyond\n");
    for windows in all {
        for (second, of) in windows.seconds.iter().enumerate() {
            text.push_str(&format!(
                "{:<10}{second:>6}{:>7}{:>7}{:>8}{:>7}{:>10}{:>7.0}{:>7.0}\n",
                windows.side,
                of.tries,
                of.served,
                of.refused,
                of.failed,
                of.with_room,
                of.units,
                of.beyond
            ));
        }
    }
    text
}
