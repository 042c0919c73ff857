//! The list service in virtual time, and what each node's follower does; when it calls is decided by `saffronpaddle_endpoints`,
//! as in a process.

use super::{Virtual, START, WAY};
use crate::scenario::{Scenario, GROUP};
use saffronpaddle_endpoints::{EmptyListProtection, PollBackoff, PollLimits};
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, EndpointUpdate, Micros, ServerId, ZoneId,
};
use saffronpaddle_test_doubles::discovery::{
    CallStats, RestoreMode, ServiceLimits, MAX_QUEUE_DELAY,
};
use saffronpaddle_test_doubles::links::End;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

/// A watch that says nothing for so long is left, and a call without terms that is not answered, µs.
const SILENT_FOR: Micros = 3_000_000;
/// While nothing changes, a sign of life comes this often, µs.
const SIGN_OF_LIFE: Micros = 2_000_000;
/// Bytes of a list's entry, and of the rest of a line, for the service's line.
const BYTES: (usize, usize) = (150, 40);
/// A server that no longer exists; the lists of yesterday have some.
const GONE: u64 = 1 << 40;

/// What comes about between a node and the list service. The number is the call's: what belongs to an earlier one is void.
#[derive(Debug)]
pub(super) enum Comes {
    Call,
    Answered(u64),
    Told(u64),
    Sign(u64),
    Ended(u64, Option<Duration>),
}

/// A server on a line of a watch: its number, its health, when it started.
type Line = (usize, &'static str, Option<Micros>);

/// The list, each entry with the version of its last change.
#[derive(Clone, Default)]
struct List {
    seq: u64,
    entries: Vec<(u64, &'static str, Option<Micros>)>,
    /// The entries by the version of their last change. Guards against a walk over a long list for each node and change.
    by_version: BTreeSet<(u64, usize)>,
}

impl List {
    /// So many servers, all ready.
    fn whole(servers: usize, born: Option<Micros>) -> List {
        let entries = vec![(1, "ready", born); servers];
        List {
            seq: 1,
            entries,
            by_version: (0..servers).map(|at| (1, at)).collect(),
        }
    }

    fn write(&mut self, at: usize, health: &'static str) {
        self.seq += 1;
        let Some(entry) = self.entries.get_mut(at) else {
            return;
        };
        self.by_version.remove(&(entry.0, at));
        self.by_version.insert((self.seq, at));
        (entry.0, entry.1) = (self.seq, health);
    }

    /// Numbered anew, as if all had been written at one stroke.
    fn renumber(&mut self) {
        self.seq = 1;
        self.entries.iter_mut().for_each(|entry| entry.0 = 1);
        self.by_version = (0..self.entries.len()).map(|at| (1, at)).collect();
    }

    /// The places of the entries that changed after a version, in order.
    fn changed(&self, from: u64) -> Vec<usize> {
        let later = (Bound::Excluded((from, usize::MAX)), Bound::Unbounded);
        let mut changed: Vec<usize> = self.by_version.range(later).map(|(_, at)| *at).collect();
        changed.sort_unstable();
        changed
    }
}

pub(super) struct Service {
    list: List,
    first: List,
    pub bears: ServiceLimits,
    pub silent: bool,
    busy: Micros,
    pub calls: CallStats,
}

impl Service {
    pub fn of(scenario: &Scenario) -> Service {
        let (calls_per_s, bytes_per_s) = scenario.list_bears;
        let born = scenario.cold.then_some(START);
        let list = List::whole(scenario.servers, born);
        let bears = ServiceLimits {
            calls_per_s,
            bytes_per_s,
            sheds_load: scenario.list_turns_away,
            down: false,
        };
        let first = list.clone();
        Service {
            list,
            first,
            bears,
            silent: false,
            busy: 0,
            calls: CallStats::default(),
        }
    }

    pub fn back(&mut self, back: RestoreMode) {
        match back {
            RestoreMode::FirstVersion => self.list = self.first.clone(),
            RestoreMode::Empty => self.list = List::default(),
            RestoreMode::Renumbered => self.list.renumber(),
        }
    }

    /// A server has started then.
    pub fn born(&mut self, at: usize, now: Micros) {
        if let Some(entry) = self.list.entries.get_mut(at) {
            entry.2 = Some(now);
        }
    }

    /// The entries since a version, and whether they are the whole list.
    fn since(&self, from: Option<u64>) -> (bool, Vec<Line>) {
        let from = from.filter(|from| *from <= self.list.seq);
        let line =
            |(at, entry): (usize, &(u64, &'static str, Option<Micros>))| (at, entry.1, entry.2);
        let all = &self.list.entries;
        let entries = match from {
            Some(from) => self
                .list
                .changed(from)
                .into_iter()
                .map(|at| line((at, &all[at])))
                .collect(),
            None => all
                .iter()
                .enumerate()
                .filter(|(_, entry)| entry.1 != "gone")
                .map(line)
                .collect(),
        };
        (from.is_none(), entries)
    }
}

/// One node's follower.
pub(super) struct Follower {
    seq: Option<u64>,
    /// The number of the call that is out or answered, and whether it was answered.
    call: u64,
    watches: bool,
    pace: PollBackoff,
    doubt: EmptyListProtection,
}

impl Follower {
    pub fn new(nodes: u32, terms: Option<&PollLimits>) -> Follower {
        // Without terms the address is the agent of the node's machine.
        let pace = terms.map_or_else(PollBackoff::for_agent, |terms| {
            PollBackoff::with_limits(nodes, terms)
        });
        Follower {
            seq: None,
            call: 0,
            watches: false,
            pace,
            doubt: EmptyListProtection::default(),
        }
    }
}

impl Virtual {
    /// What a node's configuration holds: the list as it is, or one of yesterday.
    pub(super) fn knows(&mut self, at: usize, stale: bool) {
        let (_, entries) = self.service.since(None);
        let known = |(place, (server, health, born)): (usize, Line)| {
            let entry = entry(server, health, born);
            match stale {
                true if place % 2 == 1 => Endpoint {
                    server: ServerId(GONE + place as u64),
                    ..entry
                },
                true => Endpoint {
                    started_at: None,
                    ..entry
                },
                false => entry,
            }
        };
        let entries = entries.into_iter().enumerate().map(known).collect();
        self.nodes[at].follower.seq = Some(if stale { 0 } else { self.service.list.seq });
        self.listed(at, EndpointUpdate::Snapshot, entries);
    }

    /// An entry is written.
    pub(super) fn write(&mut self, server: usize, health: &'static str) {
        self.service.list.write(server, health);
        self.push();
    }

    /// All open watches are told of what has changed, as late as the service is.
    pub(super) fn push(&mut self) {
        let late = self.scenario.lateness.as_micros() as Micros;
        self.tell_watches(late, Comes::Told);
    }

    /// Something comes to each node whose watch is open.
    fn tell_watches(&mut self, after: Micros, comes: impl Fn(u64) -> Comes) {
        for at in 0..self.nodes.len() {
            if self.nodes[at].follower.watches {
                let (way, call) = (self.way(), self.nodes[at].follower.call);
                self.list_later(at, after + way, comes(call));
            }
        }
    }

    /// A node's watch is open no more, if it was.
    pub(super) fn unwatch(&mut self, at: usize) {
        if std::mem::take(&mut self.nodes[at].follower.watches) {
            self.service.calls.open_watches -= 1;
        }
    }

    /// All watches end at one stroke.
    pub(super) fn end_watches(&mut self) {
        self.tell_watches(0, |call| Comes::Ended(call, None));
    }

    fn list_later(&mut self, at: usize, after: Micros, comes: Comes) {
        let life = self.nodes[at].life;
        self.later(after, super::Comes::List(at, life, comes));
    }

    /// Whether words of the service come through to a node.
    fn hears_list(&self, at: usize) -> bool {
        let fault = self.links.fault_between(End::List, End::Node(at));
        !self.service.silent && !fault.stalled && !fault.reset
    }

    pub(super) fn list(&mut self, at: usize, comes: Comes) {
        let call = self.nodes[at].follower.call;
        match comes {
            Comes::Call => self.calls(at),
            Comes::Answered(of) if of == call => {
                self.nodes[at].follower.watches = true;
                self.service.calls.open_watches += 1;
                self.service.calls.max_open_watches = self
                    .service
                    .calls
                    .max_open_watches
                    .max(self.service.calls.open_watches);
                self.told(at);
                self.list_later(at, SIGN_OF_LIFE, Comes::Sign(call));
            }
            Comes::Told(of) if of == call && self.nodes[at].follower.watches => {
                if self.hears_list(at) {
                    self.told(at);
                }
            }
            Comes::Sign(of) if of == call && self.nodes[at].follower.watches => {
                // A list in doubt is asked for again when it is to be settled.
                let terms = self.terms.as_ref();
                let doubt = terms.and_then(|terms| {
                    self.nodes[at]
                        .follower
                        .doubt
                        .poll_again_after(terms.empty_after)
                });
                let settled = doubt.is_some_and(|at| at <= self.since());
                if !self.hears_list(at) || settled {
                    let after = if settled {
                        0
                    } else {
                        SILENT_FOR - SIGN_OF_LIFE
                    };
                    self.list_later(at, after, Comes::Ended(call, None));
                } else {
                    self.list_later(at, SIGN_OF_LIFE, Comes::Sign(call));
                }
            }
            Comes::Ended(of, after) if of == call => {
                let draw = self.random.f64();
                let watched = self.nodes[at].follower.watches;
                self.unwatch(at);
                let follower = &mut self.nodes[at].follower;
                follower.call += 1;
                let pause = match after {
                    Some(after) => follower.pace.after_response(after, draw),
                    None if watched => follower.pace.after_watch_end(draw),
                    None => follower.pace.after_failure(draw),
                };
                self.list_later(at, pause.as_micros() as Micros, Comes::Call);
            }
            Comes::Answered(_) | Comes::Told(_) | Comes::Sign(_) | Comes::Ended(..) => {}
        }
    }

    fn calls(&mut self, at: usize) {
        let call = self.nodes[at].follower.call;
        // Of an agent's calls that go out beside one another the first that is answered counts: one, given up that often, stands for them.
        let every = self.nodes[at]
            .follower
            .pace
            .hedged()
            .map(|hedged| hedged.every);
        let answers = self
            .terms
            .as_ref()
            .map(|terms| terms.answer_within)
            .or(every);
        let answers = answers.map_or(SILENT_FOR, |span| span.as_micros() as Micros);
        let way = self.random.u64(WAY);
        let there = self.links.fault_between(End::Node(at), End::List);
        if self.service.bears.down || there.reset {
            return self.list_later(at, way, Comes::Ended(call, None));
        }
        if there.stalled || there.drops_connects || !self.hears_list(at) {
            return self.list_later(at, answers, Comes::Ended(call, None));
        }
        let since = self.since();
        self.service.calls.times.push(since);
        let ServiceLimits {
            calls_per_s,
            bytes_per_s,
            sheds_load: turns_away,
            ..
        } = self.service.bears;
        let (_, entries) = self.service.since(self.nodes[at].follower.seq);
        let bytes = entries.len() * BYTES.0 + BYTES.1;
        let share = |of: f64, a_second: f64| if a_second > 0.0 { of / a_second } else { 0.0 };
        let takes = share(1.0, calls_per_s) + share(bytes as f64, bytes_per_s);
        let line = self.service.busy.saturating_sub(self.now);
        if turns_away && u128::from(line) > MAX_QUEUE_DELAY.as_micros() {
            self.service.calls.rejected += 1;
            let after = Duration::from_secs((line / 1_000_000).max(1));
            return self.list_later(at, way, Comes::Ended(call, Some(after)));
        }
        // It works on what it took though the caller has left.
        self.service.busy = self.service.busy.max(self.now) + (takes * 1e6) as Micros;
        let after = self.service.busy - self.now + 2 * way;
        if after > answers {
            self.list_later(at, answers, Comes::Ended(call, None));
        } else {
            self.list_later(at, after, Comes::Answered(call));
        }
    }

    /// A line of the watch: what has changed since the last.
    fn told(&mut self, at: usize) {
        let from = self.nodes[at].follower.seq;
        let (whole, entries) = self.service.since(from);
        let since = self.since();
        self.service.calls.first_answers.entry(at).or_insert(since);
        self.service.calls.list_bytes += (entries.len() * BYTES.0 + BYTES.1) as u64;
        for (server, health, _) in &entries {
            self.ledger
                .health_delivered(since, at, &format!("s-{server}"), *health == "ready");
        }
        if let Some(terms) = self.terms.as_ref().filter(|_| whole) {
            let known = self.nodes[at].gateway.endpoint_counts().0;
            if !self.nodes[at].follower.doubt.accepts(
                since,
                entries.len(),
                known,
                terms.empty_after,
            ) {
                return;
            }
        }
        self.nodes[at].follower.seq = Some(self.service.list.seq);
        let entries = entries
            .into_iter()
            .map(|(server, health, born)| entry(server, health, born))
            .collect();
        self.listed(
            at,
            if whole {
                EndpointUpdate::Snapshot
            } else {
                EndpointUpdate::Delta
            },
            entries,
        );
    }
}

fn entry(server: usize, health: &str, born: Option<Micros>) -> Endpoint {
    Endpoint {
        server: ServerId(server as u64),
        zone: ZoneId((server % 2) as u32),
        domain: DeduplicationDomainId((server / GROUP) as u64),
        status: match health {
            "ready" => EndpointStatus::Ready,
            "draining" => EndpointStatus::Draining,
            _ => EndpointStatus::Removed,
        },
        size: 1.0,
        started_at: born,
    }
}
