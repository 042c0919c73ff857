//! What a checker asks of the tables.

use super::Exchange;
use crate::table::{Alarms, Stage, State};
use crate::{Bugs, ConnectionId, Policy};
use saffronpaddle_policy::interface::Outcome;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// Writes all that its future hangs on into a hash, connections by their order and not by their numbers, so that
    /// two states that differ in history only are one.
    pub fn digest(&self, hasher: &mut impl Hasher) {
        let mut links: Vec<_> = self.links.keys().copied().collect();
        links.sort();
        let rank = |link: ConnectionId| links.binary_search(&link).unwrap_or(usize::MAX);
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by_key(|(id, _)| *id);
        for (id, row) in rows {
            (
                id,
                row.deadline,
                row.process_end,
                row.cut_short,
                row.open,
                row.attempts,
                row.ran,
                row.alarm,
            )
                .hash(hasher);
            (row.whole, row.spent, row.passing).hash(hasher);
            let Some(out) = &row.out else { continue };
            (out.number, out.server, out.until, out.limit, out.began).hash(hasher);
            match out.stage {
                Stage::Waiting(link) => (0, rank(link), None::<Outcome>).hash(hasher),
                Stage::On(link) => (1, rank(link), None::<Outcome>).hash(hasher),
                Stage::Ending(link, outcome) => (2, rank(link), Some(outcome)).hash(hasher),
            }
        }
        for link in &links {
            let row = &self.links[link];
            (row.server, row.dial, row.state, row.used, row.gone, &row.of).hash(hasher);
        }
        let mut places: Vec<_> = self.places.iter().collect();
        places.sort_by_key(|(server, _)| **server);
        for (server, place) in places {
            let idle: Vec<usize> = place.idle.iter().map(|link| rank(*link)).collect();
            (server, place.dial, place.zone, place.cell, idle).hash(hasher);
        }
        (self.stopped, self.answer_by, self.next_ticket).hash(hasher);
    }

    /// What is wrong between the tables, which say the same in several ways.
    ///
    /// # Errors
    /// The first disagreement, in words.
    pub fn consistent(&self) -> Result<(), &'static str> {
        let said = |yes: bool, what| if yes { Ok(()) } else { Err(what) };
        let alarms: Alarms = self
            .rows
            .iter()
            .filter_map(|(id, row)| Some((row.alarm?, id.clone())))
            .collect();
        said(
            alarms == self.alarms,
            "the order of alarms is not that of the rows",
        )?;
        let due = self
            .rows
            .values()
            .all(|row| row.alarm == row.due(self.bounds.answer_grace));
        said(due, "an alarm is not set as its row needs")?;
        let owed = self.rows.values().all(|row| row.open || row.out.is_some());
        said(owed, "a row is kept though nothing is owed")?;
        let idle = self.links.iter().filter_map(|(link, row)| match row.state {
            State::Idle(since) => Some((since, *link)),
            _ => None,
        });
        said(
            idle.collect::<BTreeSet<_>>() == self.idle,
            "the order of idle connections is not theirs",
        )?;
        let at: BTreeSet<ConnectionId> = self
            .places
            .values()
            .flat_map(|place| place.idle.iter().copied())
            .collect();
        let same = at == self.idle.iter().map(|(_, link)| *link).collect();
        said(
            same,
            "a server's idle connections are not those that are idle",
        )?;
        let led = self.idle.iter().all(|(_, link)| self.leads(*link));
        said(led, "a connection is kept that leads nowhere")?;
        said(
            self.links.len() <= self.bounds.max_connections,
            "there are more connections than may be",
        )
    }
}
