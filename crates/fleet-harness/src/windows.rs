//! Counts of a run for each second and side, from the oracle's records.

use crate::link_ends::Side;
use saffronpaddle_test_doubles::links::End;
use saffronpaddle_test_doubles::oracle::{Answer, Oracle};
use serde_json::{json, Value};
use std::time::Duration;

/// Counts of one second, or of several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowCounts {
    /// Requests whose last byte was sent in this time.
    pub requests: u64,
    /// Of `requests`, those that were served.
    pub served: u64,
    /// Of `requests`, those that were refused.
    pub refused: u64,
    /// Of `requests`, those that failed.
    pub failed: u64,
    /// Of `refused`, those for which at least half of what limits the customer (quota and ceiling) was unused.
    pub refused_within_limits: u64,
    /// Units of requests that reached a server for the first time in this time.
    pub units: f64,
    /// Of `units`, those beyond their customers' quotas.
    pub units_beyond_quota: f64,
    /// Seconds of work, on a warm server, of the requests that were served.
    pub served_work: f64,
}

impl WindowCounts {
    /// Adds two counts.
    #[must_use]
    pub fn plus(self, other: &WindowCounts) -> WindowCounts {
        WindowCounts {
            requests: self.requests + other.requests,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            refused_within_limits: self.refused_within_limits + other.refused_within_limits,
            units: self.units + other.units,
            units_beyond_quota: self.units_beyond_quota + other.units_beyond_quota,
            served_work: self.served_work + other.served_work,
        }
    }
}

/// The counts of one side, second by second from the start of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct SideWindows {
    /// Name of the side; `all` is the entire fleet.
    pub side: String,
    /// Counts by the second since the start of the load.
    pub seconds: Vec<WindowCounts>,
}

impl SideWindows {
    /// The counts as JSON; `figures` names the columns.
    pub fn json(&self) -> Value {
        let second = |counts: &WindowCounts| {
            json!([
                counts.requests,
                counts.served,
                counts.refused,
                counts.failed,
                counts.refused_within_limits,
                counts.units,
                counts.units_beyond_quota,
                counts.served_work
            ])
        };
        json!({
            "side": self.side,
            "figures": ["tries", "served", "refused", "failed", "refused_with_room", "units", "beyond", "served_work_s"],
            "seconds": self.seconds.iter().map(second).collect::<Vec<_>>(),
        })
    }

    /// The counts of the second in which a time since the start of the load lies; `None` for a time before it.
    fn second_at(&mut self, since: Option<Duration>) -> Option<&mut WindowCounts> {
        let second = since?.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, WindowCounts::default());
        }
        self.seconds.get_mut(second)
    }
}

/// Counts the requests of a run by second, for the entire fleet and for each side.
pub fn tally_seconds(oracle: &Oracle, sides: &[Side], load_start: Duration) -> Vec<SideWindows> {
    let side_names = std::iter::once("all").chain(sides.iter().map(|side| &*side.name));
    let mut all: Vec<SideWindows> = side_names
        .map(|side| SideWindows {
            side: side.to_owned(),
            seconds: Vec::new(),
        })
        .collect();
    for request in oracle.requests() {
        let belongs =
            |index: usize| index == 0 || sides[index - 1].ends.contains(&End::Node(request.node));
        for (_, windows) in all
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| belongs(*index))
        {
            if let Some(counts) = windows.second_at(request.sent_at.checked_sub(load_start)) {
                counts.requests += 1;
                match request.answer {
                    Some(Answer::Served) => {
                        (counts.served, counts.served_work) =
                            (counts.served + 1, counts.served_work + request.work);
                    }
                    Some(Answer::Refused) => {
                        (counts.refused, counts.refused_within_limits) = (
                            counts.refused + 1,
                            counts.refused_within_limits + u64::from(request.refused_within_limits),
                        );
                    }
                    Some(Answer::Failed) => counts.failed += 1,
                    None => {}
                }
            }
            let sent = request
                .first_attempt
                .and_then(|(at, beyond)| Some((at.checked_sub(load_start)?, beyond)));
            if let Some((at, beyond)) = sent {
                if let Some(counts) = windows.second_at(Some(at)) {
                    (counts.units, counts.units_beyond_quota) = (
                        counts.units + request.units,
                        counts.units_beyond_quota + beyond,
                    );
                }
            }
        }
    }
    all
}

/// The counts as a text table. `with-room` is [`WindowCounts::refused_within_limits`].
pub fn table(all: &[SideWindows]) -> String {
    let mut text =
        String::from("side      second  tries served refused failed with-room  units beyond\n");
    for windows in all {
        for (second, counts) in windows.seconds.iter().enumerate() {
            text.push_str(&format!(
                "{:<10}{second:>6}{:>7}{:>7}{:>8}{:>7}{:>10}{:>7.0}{:>7.0}\n",
                windows.side,
                counts.requests,
                counts.served,
                counts.refused,
                counts.failed,
                counts.refused_within_limits,
                counts.units,
                counts.units_beyond_quota
            ));
        }
    }
    text
}
