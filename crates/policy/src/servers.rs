//! The servers that a gateway knows, with the sums over them that decisions ask for. Nothing is decided here.
//!
//! Danger that it guards against: a walk over 40,000 servers at each tick, outcome, rumour and change of the list. All
//! sums follow what changes, server by server: each is changed through [`Edit`], which takes it out of the sums and puts
//! it back. A list of more than [`WHOLE`] servers is not all sent to (see `saffronpaddle-subsetting`): only servers that this
//! gateway holds are in those sums, and keep what is known of them.

use crate::interface::{
    ClassId, Endpoint, EndpointStatus, EndpointUpdate, Micros, NodeId, ServerId, SlowStartRules,
};
use crate::message;
use crate::state::Server;
use saffronpaddle_subsetting::{Median, SlowStartGroup, Subset, FULL_LIST_MAX, TARGET_SIZE};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicU64, Ordering};

/// A share as a whole number, so that sums of many do not drift.
const SHARE_STEPS: f64 = (1_u64 << 44) as f64;
/// So many that are sent to from here are still more than a few. Guards against a walk for each that comes or goes there.
const MANY_STILL: usize = FULL_LIST_MAX * 3 / 4;
/// How many short names there are.
const NAMES: usize = 1 << 16;

/// All servers that are listed, or have attempts out.
#[derive(Clone, Debug)]
pub(crate) struct Servers {
    all: BTreeMap<ServerId, Server>,
    set: Subset,
    /// Whether a long list is not sent to as a whole.
    works: bool,
    /// Whether the list is longer than is sent to as a whole; then in order all that are sent to from here, and how many
    /// listed servers have each short name.
    long: bool,
    held: Vec<ServerId>,
    named: Vec<u16>,
    /// Servers by the short names of rumours.
    names: BTreeMap<u16, ServerId>,
    sums: Sums,
}

/// A count of looks at servers. Gateways are looked at from several threads by who explores their states, so it is no `Cell`.
#[derive(Debug, Default)]
struct Looks(AtomicU64);

impl Looks {
    fn add(&self, looks: u64) {
        self.0.store(self.get() + looks, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Clone for Looks {
    fn clone(&self) -> Looks {
        Looks(AtomicU64::new(self.get()))
    }
}

/// Sums over servers.
#[derive(Clone, Debug)]
struct Sums {
    classes: usize,
    /// How many are listed, how many of these get nothing new or little, and how many are ready.
    listed: usize,
    avoided: usize,
    ready: usize,
    /// Of those held here: how many are ready; of these, by class, how many are out, and the shares that fail; their waits.
    held: usize,
    out: Vec<usize>,
    failing: Vec<u64>,
    /// Kept where they are too many to be walked over at a tick.
    waits: Median,
    many: bool,
    /// Held here, and started not long ago; with evidence that may still count; gone, but not forgotten.
    young: BTreeSet<ServerId>,
    lately: BTreeSet<ServerId>,
    leaving: BTreeSet<ServerId>,
    /// How many servers have been looked at, so that a test can tell a walk.
    looked_at: Looks,
}

impl Sums {
    fn looked(&self, at: usize) {
        self.looked_at.add(at as u64);
    }

    fn enter(&mut self, server: &Server) {
        self.looked(1);
        let listed = server.entry.status != EndpointStatus::Removed;
        let out = server.health.iter().any(|health| health.trial.is_some());
        self.listed += usize::from(listed);
        self.avoided += usize::from(listed && (!server.ready() || out));
        if !listed {
            self.leaving.insert(server.entry.server);
        }
        if !server.ready() {
            return;
        }
        self.ready += 1;
        if !server.held {
            return;
        }
        self.held += 1;
        for (class, health) in server.health.iter().enumerate() {
            self.out[class] += usize::from(health.trial.is_some());
            self.failing[class] += steps(health.failing);
        }
    }

    fn leave(&mut self, server: &Server) {
        let listed = server.entry.status != EndpointStatus::Removed;
        let out = server.health.iter().any(|health| health.trial.is_some());
        self.listed -= usize::from(listed);
        self.avoided -= usize::from(listed && (!server.ready() || out));
        if !listed {
            self.leaving.remove(&server.entry.server);
        }
        if !server.ready() {
            return;
        }
        self.ready -= 1;
        if !server.held {
            return;
        }
        self.held -= 1;
        for (class, health) in server.health.iter().enumerate() {
            self.out[class] -= usize::from(health.trial.is_some());
            self.failing[class] -= steps(health.failing);
        }
    }

    /// Takes a server's wait, as it was and as it is, out of the median and into it.
    fn wait(&mut self, server: ServerId, before: Option<f64>, after: Option<f64>) {
        if self.many && before != after {
            before
                .into_iter()
                .for_each(|wait| self.waits.remove(wait, server.0));
            after
                .into_iter()
                .for_each(|wait| self.waits.add(wait, server.0));
        }
    }

    /// Changes a server, outside and inside of the sums.
    fn change(&mut self, server: &mut Server, change: impl FnOnce(&mut Server)) {
        let before = waits(server);
        self.leave(server);
        change(server);
        self.enter(server);
        self.wait(server.entry.server, before, waits(server));
    }
}

/// The wait of a server, if it counts.
fn waits(server: &Server) -> Option<f64> {
    (server.ready() && server.held && server.wait > 0.0).then_some(server.wait)
}

fn steps(share: f64) -> u64 {
    (share * SHARE_STEPS) as u64
}

/// A server that is being changed; it comes back into the sums when this goes.
pub(crate) struct Edit<'a> {
    sums: &'a mut Sums,
    server: &'a mut Server,
    before: Option<f64>,
}

impl Deref for Edit<'_> {
    type Target = Server;

    fn deref(&self) -> &Server {
        self.server
    }
}

impl DerefMut for Edit<'_> {
    fn deref_mut(&mut self) -> &mut Server {
        self.server
    }
}

impl Drop for Edit<'_> {
    fn drop(&mut self) {
        if self.server.held {
            self.sums.lately.insert(self.server.entry.server);
        } else if self.server.open == 0 {
            // Guards memory: what is not sent to from here any more needs nothing known of it.
            self.server.forget();
        }
        self.sums.enter(self.server);
        self.sums
            .wait(self.server.entry.server, self.before, waits(self.server));
    }
}

impl Servers {
    /// None, at a gateway of so many that has so many classes; whether a long list is not to be sent to as a whole.
    pub fn new((me, gateways): (NodeId, u32), classes: usize, works: bool) -> Servers {
        let sums = Sums {
            classes,
            listed: 0,
            avoided: 0,
            ready: 0,
            held: 0,
            out: vec![0; classes],
            failing: vec![0; classes],
            waits: Median::default(),
            many: false,
            young: BTreeSet::new(),
            lately: BTreeSet::new(),
            leaving: BTreeSet::new(),
            looked_at: Looks::default(),
        };
        Servers {
            all: BTreeMap::new(),
            set: Subset::new(me.0, gateways),
            works,
            long: false,
            held: Vec::new(),
            named: Vec::new(),
            names: BTreeMap::new(),
            sums,
        }
    }

    /// What another process of this gateway knew, in place of what is here.
    pub fn resume(&mut self, known: impl Iterator<Item = Server>, now: Micros, lately: Micros) {
        for server in known {
            let (id, server) = (
                server.entry.server,
                Server {
                    held: true,
                    ..server
                },
            );
            self.sums.enter(&server);
            self.sums.wait(id, None, waits(&server));
            self.sums.lately.insert(id);
            self.names.insert(message::short(id), id);
            self.all.insert(id, server);
        }
        self.hold(now, lately);
    }

    /// Takes news of the list in as one pass; what is young for `lately` µs after its start. One that started anew is
    /// unknown again.
    pub fn list(
        &mut self,
        now: Micros,
        kind: EndpointUpdate,
        entries: Vec<Endpoint>,
        rules: &SlowStartRules,
        lately: Micros,
    ) {
        if kind == EndpointUpdate::Snapshot {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (_, server) in self.all.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                self.sums.change(server, |server| {
                    server.entry.status = EndpointStatus::Removed;
                });
            }
        }
        if self.all.is_empty() {
            // All at one stroke: a map that grows one by one has room for half as many again.
            let new = entries
                .iter()
                .map(|entry| (entry.server, Server::unknown(*entry, now)));
            self.all = new.collect();
            self.all.values().for_each(|server| self.sums.enter(server));
        }
        let mut came = false;
        for entry in entries {
            let id = entry.server;
            if let Some(server) = self.all.get_mut(&id) {
                self.sums.change(server, |server| {
                    server.follow(entry, now, rules.warm_up_period);
                });
            } else {
                let held = !self.long || self.set.contains(id.0);
                if self.long {
                    self.named[usize::from(message::short(id))] += 1;
                    self.held.extend(held.then_some(id));
                    came |= held;
                }
                let server = Server {
                    held,
                    ..Server::unknown(entry, now)
                };
                self.sums.enter(&server);
                self.all.insert(id, server);
            }
            if !self.long || self.set.contains(id.0) {
                let young = entry
                    .started_at
                    .is_some_and(|started| now < started.saturating_add(lately));
                self.sums.young.extend(young.then_some(id));
                self.names.insert(message::short(id), id);
            }
        }
        if came {
            self.held.sort_unstable();
        }
        let moved = self.works && self.set.resize(self.sums.ready);
        let many = if self.sums.many {
            self.held.len() >= MANY_STILL
        } else {
            self.held.len() > FULL_LIST_MAX
        };
        if moved
            || self.long != (self.works && self.sums.ready > FULL_LIST_MAX)
            || many != self.sums.many
        {
            self.hold(now, lately);
        }
    }

    /// Looks anew which servers are held here: a walk over all, where the length of the list has changed much.
    fn hold(&mut self, now: Micros, lately: Micros) {
        if self.works {
            self.set.resize(self.sums.ready);
        }
        self.long = self.works && self.sums.ready > FULL_LIST_MAX;
        let many = std::mem::take(&mut self.sums.many);
        self.named = if self.long {
            vec![0; NAMES]
        } else {
            Vec::new()
        };
        (self.held, self.names) = (Vec::new(), BTreeMap::new());
        self.sums.looked(self.all.len());
        for (id, server) in &mut self.all {
            let held = !self.long || self.set.contains(id.0);
            if held != server.held {
                self.sums.lately.extend(held.then_some(*id));
                self.sums.change(server, |server| {
                    server.held = held;
                    if !held && server.open == 0 {
                        server.forget();
                    }
                });
            }
            if held {
                self.names.insert(message::short(*id), *id);
                self.sums
                    .young
                    .extend(server.is_young(now, lately).then_some(*id));
            }
            if self.long {
                self.named[usize::from(message::short(*id))] += 1;
                self.held.extend(held.then_some(*id));
            }
        }
        self.sums.waits = Median::default();
        self.sums.many = self.held.len() > FULL_LIST_MAX || many && self.held.len() >= MANY_STILL;
        // Of few none is kept in order.
        self.all
            .iter()
            .for_each(|(id, server)| self.sums.wait(*id, None, waits(server)));
        let held = |id: &ServerId| self.all.get(id).is_some_and(|server| server.held);
        self.sums.young.retain(held);
        self.sums.lately.retain(held);
    }

    /// How many are kept in mind.
    pub fn len(&self) -> usize {
        self.all.len() + self.names.len()
    }

    /// How many are listed, and how many of these get nothing new at present, or nothing of some class but a trial now and
    /// then.
    pub fn rotation(&self) -> (usize, usize) {
        (self.sums.listed, self.sums.avoided)
    }

    /// How many are ready on the whole list, and how many of them are sent to from here.
    pub fn ready(&self) -> (f64, f64) {
        (self.sums.ready as f64, self.sums.held as f64)
    }

    /// How many gateways send to each.
    pub fn cover(&self) -> f64 {
        f64::from(self.set.nodes_per_server())
    }

    /// How many gateways share what is earned by nobody at a server, and which of them this is, if it is one.
    pub fn carers(&self, server: ServerId) -> SlowStartGroup {
        self.set.slow_start_group(server.0)
    }

    /// The gateway at a place among them.
    pub fn carer(&self, server: ServerId, place: u32) -> NodeId {
        NodeId(self.set.slow_start_member(server.0, place))
    }

    /// How many servers have been looked at since the start.
    pub fn looked_at(&self) -> u64 {
        self.sums.looked_at.get()
    }

    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.all.get(&id)
    }

    /// A server to be changed.
    pub fn edit(&mut self, id: ServerId) -> Option<Edit<'_>> {
        let (sums, server) = (&mut self.sums, self.all.get_mut(&id)?);
        let before = waits(server);
        sums.leave(server);
        server.learns(sums.classes);
        Some(Edit {
            sums,
            server,
            before,
        })
    }

    /// The server that is meant by a short name; none where several of a long list are.
    pub fn named(&self, name: u16) -> Option<ServerId> {
        let shared = self
            .named
            .get(usize::from(name))
            .is_some_and(|count| *count > 1);
        self.names.get(&name).copied().filter(|_| !shared)
    }

    /// Those sent to from here that are ready and that one attempt is chosen from, in order: all, or of very many some in a
    /// row from a drawn place on.
    pub fn choice(&self, draw: impl FnOnce(usize) -> usize) -> Vec<&Server> {
        if !self.long {
            self.sums.looked(self.all.len());
            return self.all.values().filter(|server| server.ready()).collect();
        }
        let (first, count) = if self.sums.many {
            (draw(self.held.len()), TARGET_SIZE)
        } else {
            (0, self.held.len())
        };
        self.sums.looked(count);
        let row = self.held[first..]
            .iter()
            .chain(&self.held[..first])
            .take(count);
        row.filter_map(|id| self.all.get(id))
            .filter(|server| server.ready())
            .collect()
    }

    /// Those with evidence that may still count, in order.
    pub fn lately(&self) -> impl Iterator<Item = &Server> {
        self.sums
            .lately
            .iter()
            .filter_map(|id| self.all.get(id))
            .inspect(|_| self.sums.looked(1))
    }

    /// Those that started not long ago, in order.
    pub fn young(&self) -> impl Iterator<Item = &Server> {
        self.sums
            .young
            .iter()
            .filter_map(|id| self.all.get(id))
            .inspect(|_| self.sums.looked(1))
    }

    /// Takes each that is judged anew at a tick: all that are sent to, or of very many those with evidence.
    fn each_judged(&mut self, mut take: impl FnMut(&mut Sums, &mut Server)) {
        let (all, sums) = (&mut self.all, &mut self.sums);
        if !self.long {
            all.values_mut().for_each(|server| take(sums, server));
            return;
        }
        let lately = if sums.many {
            sums.lately.iter().copied().collect()
        } else {
            Vec::new()
        };
        for id in if sums.many { &lately } else { &self.held } {
            all.get_mut(id)
                .into_iter()
                .for_each(|server| take(sums, server));
        }
    }

    /// Lets evidence on those that are judged fade, by so many of the spans in which it does.
    pub fn fade(&mut self, spans: f64) {
        self.each_judged(|sums, server| {
            sums.looked(1);
            server
                .health
                .iter_mut()
                .for_each(|health| health.pool.fade(spans));
        });
    }

    /// Judges them anew.
    pub fn judge(&mut self, mut judge: impl FnMut(&mut Server)) {
        self.each_judged(|sums, server| {
            let classes = sums.classes;
            sums.change(server, |server| {
                server.learns(classes);
                judge(server);
            });
        });
    }

    /// How many attempts are out at a server, to be changed.
    pub fn open(&mut self, id: ServerId) -> Option<&mut u32> {
        self.all.get_mut(&id).map(|server| &mut server.open)
    }

    /// Takes each that may hold rights to send to it while it is cold, in order: all that are ready and whose start is known,
    /// or of a long list the young. How it fares is not to be changed there.
    pub fn each_with_rights(&mut self, mut take: impl FnMut(&Subset, &mut Server)) {
        let (all, set, sums) = (&mut self.all, &self.set, &self.sums);
        let mut ready = |server: &mut Server| {
            sums.looked(1);
            if server.ready() && server.entry.started_at.is_some() {
                take(set, server);
            }
        };
        if !self.long {
            return all.values_mut().for_each(ready);
        }
        sums.young
            .iter()
            .for_each(|id| all.get_mut(id).into_iter().for_each(&mut ready));
    }

    /// Takes each of the young, in order. How it fares is not to be changed there.
    pub fn each_young(&mut self, mut take: impl FnMut(&mut Server)) {
        let (all, sums) = (&mut self.all, &self.sums);
        sums.looked(sums.young.len());
        sums.young
            .iter()
            .for_each(|id| all.get_mut(id).into_iter().for_each(&mut take));
    }

    /// How many are sent to from here, and how many of these are not out for a class.
    pub fn in_health(&self, class: ClassId) -> (f64, f64) {
        let ready = self.sums.held;
        (ready as f64, (ready - self.sums.out[class.0]) as f64)
    }

    /// The mean share of them that fails.
    pub fn mean_failing(&self, class: ClassId) -> f64 {
        self.sums.failing[class.0] as f64 / SHARE_STEPS / self.sums.held.max(1) as f64
    }

    /// The median wait of those that have shown one.
    pub fn median_wait(&self) -> Option<f64> {
        if self.sums.many {
            return self.sums.waits.get();
        }
        let mut waits: Vec<f64> = self.choice(|_| 0).into_iter().filter_map(waits).collect();
        let middle = waits.len() / 2;
        (!waits.is_empty()).then(|| *waits.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// Forgets those that are gone, and of whom nothing is out; those that are no longer young or of which no evidence
    /// counts are passed over from now on.
    pub fn tidy(&mut self, now: Micros, lately: Micros, counts: impl Fn(&Server) -> bool) {
        let (all, sums) = (&mut self.all, &mut self.sums);
        let idle = |id: &ServerId| all.get(id).is_none_or(|server| server.open == 0);
        let gone: Vec<ServerId> = sums.leaving.iter().copied().filter(idle).collect();
        for id in &gone {
            let Some(server) = all.remove(id) else {
                continue;
            };
            sums.leave(&server);
            sums.wait(*id, waits(&server), None);
            let name = message::short(*id);
            if self.names.get(&name) == Some(id) {
                self.names.remove(&name);
            }
            self.named
                .get_mut(usize::from(name))
                .into_iter()
                .for_each(|count| *count -= 1);
        }
        if !gone.is_empty() {
            self.held.retain(|id| all.contains_key(id));
        }
        let is = |id: &ServerId, of: &dyn Fn(&Server) -> bool| all.get(id).is_some_and(of);
        let (mut warm, mut quiet) = (Vec::new(), Vec::new());
        sums.young.retain(|id| {
            let kept = is(id, &|server| server.is_young(now, lately));
            warm.extend((!kept).then_some(*id));
            kept
        });
        sums.lately.retain(|id| {
            let kept = is(id, &counts);
            quiet.extend((!kept).then_some(*id));
            kept
        });
        sums.looked(sums.young.len() + sums.lately.len() + quiet.len());
        for id in warm.into_iter().filter(|_| self.long) {
            all.entry(id).and_modify(|server| server.budget = None);
        }
        if sums.many {
            for id in quiet {
                let Some(server) = all.get_mut(&id) else {
                    continue;
                };
                sums.change(server, |server| server.health = Vec::new());
            }
        }
    }

    /// All that is worth keeping for the next process.
    pub fn kept(&self) -> impl Iterator<Item = &Server> {
        self.all
            .values()
            .filter(|server| server.held || server.open > 0)
    }
}

#[cfg(test)]
mod tests;
