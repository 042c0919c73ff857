//! What a ledger is told of hollow nodes, and the faults that befall them by order.
//!
//! Danger that it guards against: rules that hold at a few processes and are broken by hundreds of nodes beside them, unseen, as
//! sums count no request and no server. Off unless a process is told otherwise ([`Trial`]): a measurement pays for none of it.

use saffronpaddle_exchange::{ConnectionId, FinalAnswer};
use saffronpaddle_node::config::{Health, List};
use saffronpaddle_policy::interface::{Micros, RequestId, ServerId, SlowStartRules};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Entries that wait to be read at the most; those beyond are counted. Guards memory against a reader that has gone.
const NOTES_MOST: usize = 2_000_000;
/// New work may reach a server for so long after a node was told that it is not ready, µs.
const DRAIN_GRACE: Micros = 250_000;

/// What the first line says beside the [`Spec`](crate::Spec), in keys that may be left out.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Trial {
    /// Whether all of this is kept.
    #[serde(default)]
    pub audit: bool,
    /// As `[quotas] fenced` in the operator file.
    #[serde(default)]
    pub fenced: bool,
}

/// What befalls the nodes of a process, until it is told otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Share of the datagrams that are lost on their way to a node.
    pub loss: f64,
    /// Nodes of the whole fleet that hear none but one another, and whom none else hears.
    pub apart: HashSet<u32>,
    /// Servers that answer no attempt that is written to them from now on, and end no connection.
    pub silent: HashSet<String>,
}

/// Something that happened at a hollow node or at an app server that it has drawn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// A try was taken: its number, its node, tenant and class.
    Asked(String, u32, u64, usize),
    /// Its first byte was written to a server, where it takes so many seconds of work once that is warm.
    Arrived(String, String, f64),
    /// A server's work on it, in the group that drops repeats, is done; when it came, µs.
    Ran(String, u64, Micros),
    /// An attempt was answered.
    Over(String),
    /// An attempt's connection was closed.
    Closed(String),
    /// The final answer: served, refused or failed.
    Answered(String, u8),
    /// Its node was restarted.
    Cut(String),
}

/// What has been kept since the last word for it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Audited {
    /// The process's clock, µs.
    pub at: Micros,
    /// In the order in which it happened, each with its time, µs.
    pub notes: Vec<(Micros, Note)>,
    /// Notes that found no room.
    pub lost: u64,
    /// First bytes to servers that their node had been told are not ready, since the process began.
    pub after_drain: u64,
    /// The latest of them, µs after the node was told.
    pub after_drain_most: Micros,
    /// Those that came after more than 250 ms.
    pub late: u64,
    /// Datagrams that were lost by order.
    pub unheard: u64,
}

struct Listed {
    name: String,
    group: u64,
    started: Option<Micros>,
    ready: bool,
    /// The version that said first that it is not ready, and the last that said that it is.
    drained: u64,
    back: u64,
}

/// An attempt that is on a connection.
struct On {
    id: RequestId,
    server: ServerId,
}

/// All of it.
pub struct Audit {
    trial: Trial,
    rules: SlowStartRules,
    /// What befalls the nodes now.
    pub faults: Faults,
    kept: Audited,
    servers: HashMap<ServerId, Listed>,
    seq: u64,
    /// Versions that each node has acted on in its present life, and when.
    told: HashMap<u32, Vec<(u64, Micros)>>,
    on: HashMap<(u32, ConnectionId), On>,
}

impl Audit {
    /// Nothing has happened yet.
    pub fn new(trial: Trial, rules: SlowStartRules) -> Audit {
        let (faults, kept, servers, seq, told, on) = Default::default();
        Audit {
            trial,
            rules,
            faults,
            kept,
            servers,
            seq,
            told,
            on,
        }
    }

    /// What was kept; what is summed goes on.
    pub fn take(&mut self, now: Micros) -> Audited {
        let notes = std::mem::take(&mut self.kept.notes);
        Audited {
            at: now,
            notes,
            ..self.kept
        }
    }

    fn note(&mut self, now: Micros, note: Note) {
        if !self.trial.audit {
        } else if self.kept.notes.len() < NOTES_MOST {
            self.kept.notes.push((now, note));
        } else {
            self.kept.lost += 1;
        }
    }

    /// Whether a datagram gets to a node.
    pub fn hears(&mut self, from: u32, me: u32) -> bool {
        let Faults { loss, apart, .. } = &self.faults;
        let heard = (*loss <= 0.0 || fastrand::f64() >= *loss)
            && apart.contains(&from) == apart.contains(&me);
        self.kept.unheard += u64::from(!heard);
        heard
    }

    /// A try was taken.
    pub fn asked(&mut self, now: Micros, id: &RequestId, me: u32, tenant: u64, class: usize) {
        self.note(now, Note::Asked(id.0.to_string(), me, tenant, class));
    }

    /// A node is about to act on a list.
    pub fn listed(&mut self, now: Micros, me: u32, list: &List, number: impl Fn(&str) -> ServerId) {
        if !self.trial.audit {
            return;
        }
        self.told.entry(me).or_default().push((list.seq, now));
        if list.seq <= self.seq {
            return;
        }
        let seq = list.seq;
        self.seq = seq;
        let mut named = HashSet::new();
        for host in &list.hosts {
            let ready = host.health == Health::Ready;
            let server = number(&host.host);
            if list.whole {
                named.insert(server);
            }
            let listed = self.servers.entry(server).or_insert_with(|| Listed {
                name: host.host.clone(),
                group: host.block,
                started: None,
                ready: true,
                drained: 0,
                back: seq,
            });
            listed.started = (host.born_ms > 0).then_some(host.born_ms.saturating_mul(1000));
            stands(listed, ready, seq);
        }
        if list.whole {
            let missing = self
                .servers
                .iter_mut()
                .filter(|(server, _)| !named.contains(server));
            missing.for_each(|(_, listed)| stands(listed, false, seq));
        }
    }

    /// An attempt is to go out on a connection.
    pub fn sends(&mut self, me: u32, link: ConnectionId, id: &RequestId, server: ServerId) {
        if self.trial.audit {
            self.on.insert(
                (me, link),
                On {
                    id: id.clone(),
                    server,
                },
            );
        }
    }

    /// Its first byte is written, with so much work for a warm server, µs: how much it is there, and none where it is never
    /// answered.
    pub fn written(
        &mut self,
        now: Micros,
        (me, link): (u32, ConnectionId),
        work: Micros,
    ) -> Option<Micros> {
        let on = self.on.get(&(me, link));
        let Some((on, listed)) = on.and_then(|on| Some((on, self.servers.get(&on.server)?))) else {
            return Some(work);
        };
        let versions = self.told.get(&me).map_or(&[][..], Vec::as_slice);
        let knows = versions.last().map_or(0, |(seq, _)| *seq);
        let again = listed.back > listed.drained && knows >= listed.back;
        let drained = listed.drained > 0 && knows >= listed.drained && !again;
        let told = versions
            .iter()
            .find(|(seq, _)| *seq >= listed.drained)
            .map(|(_, at)| *at);
        if let Some(told) = told.filter(|_| drained) {
            let late = now.saturating_sub(told);
            self.kept.after_drain += 1;
            self.kept.after_drain_most = self.kept.after_drain_most.max(late);
            self.kept.late += u64::from(late > DRAIN_GRACE);
        }
        let silent = self.faults.silent.contains(&listed.name);
        let there = work as f64 / warmth(&self.rules, listed.started, now);
        let (id, name, group) = (on.id.0.to_string(), listed.name.clone(), listed.group);
        self.note(now, Note::Arrived(id.clone(), name, work as f64 / 1e6));
        let there = there as Micros;
        if !silent {
            self.note(now + there, Note::Ran(id, group, now));
        }
        (!silent).then_some(there)
    }

    /// An attempt was answered.
    pub fn over(&mut self, now: Micros, me: u32, link: ConnectionId) {
        if let Some(On { id, .. }) = self.on.remove(&(me, link)) {
            self.note(now, Note::Over(id.0.to_string()));
        }
    }

    /// A connection is closed, whatever was on it.
    pub fn closed(&mut self, now: Micros, me: u32, link: ConnectionId) {
        if let Some(On { id, .. }) = self.on.remove(&(me, link)) {
            self.note(now, Note::Closed(id.0.to_string()));
        }
    }

    /// A final answer was given.
    pub fn answered(&mut self, now: Micros, id: &RequestId, verdict: FinalAnswer) {
        let kind = match verdict {
            FinalAnswer::Served => 0,
            FinalAnswer::Rejected(_) => 1,
            FinalAnswer::Failed => 2,
        };
        self.note(now, Note::Answered(id.0.to_string(), kind));
    }

    /// A node ends with all that it holds.
    pub fn ended<'a>(&mut self, now: Micros, me: u32, tries: impl Iterator<Item = &'a RequestId>) {
        self.told.remove(&me);
        self.on.retain(|(other, _), _| *other != me);
        tries.for_each(|id| self.note(now, Note::Cut(id.0.to_string())));
    }
}

fn stands(listed: &mut Listed, ready: bool, seq: u64) {
    match (listed.ready, ready) {
        (true, false) => listed.drained = seq,
        (false, true) => listed.back = seq,
        _ => {}
    }
    listed.ready = ready;
}

/// Share of what a warm server can do that one can do which started then.
fn warmth(rules: &SlowStartRules, started: Option<Micros>, now: Micros) -> f64 {
    let Some(started) = started else { return 1.0 };
    let grown = now.saturating_sub(started) as f64 / rules.warm_up_period.max(1) as f64;
    (rules.initial_capacity + (1.0 - rules.initial_capacity) * grown).min(1.0)
}
