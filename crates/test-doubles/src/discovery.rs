//! Discovery: one list of app servers, and an agent for each edge node that writes it as a watch. What an agent has
//! written counts as told, and the ledger notes when.

use crate::wire::HttpConnection;
use crate::{lock, World};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// While nothing changes, an empty line comes this often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A caller that would wait for longer than this is turned away, if the service does that at all.
pub const MAX_QUEUE_DELAY: Duration = Duration::from_secs(10);

/// What the service can bear, and how it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLimits {
    /// Calls that it answers a second, one after the other; 0 for any number. It works on what it took though the caller
    /// has left.
    pub calls_per_s: f64,
    /// Bytes of lists that it writes a second; 0 for any number.
    pub bytes_per_s: f64,
    /// Whether it turns callers away with 503 and `Retry-After` once its line is long; else it takes them all.
    pub sheds_load: bool,
    /// Connections are reset.
    pub down: bool,
}

/// How a list service comes back that has lost something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreMode {
    /// With the list of its first version, whatever has changed since.
    FirstVersion,
    /// With no entries, and its numbers begun anew.
    Empty,
    /// With its list, and its numbers begun anew.
    Renumbered,
}

/// What was asked of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallStats {
    /// When each call came, since the run's beginning.
    pub times: Vec<Duration>,
    /// When the first line was written to each node for the first time.
    pub first_answers: BTreeMap<usize, Duration>,
    /// Bytes of lists that were written.
    pub list_bytes: u64,
    /// Watches that are open, and the most that were.
    pub open_watches: usize,
    /// See there.
    pub max_open_watches: usize,
    /// Callers that were turned away.
    pub rejected: u64,
}

/// What the list says of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its hall.
    pub site: String,
    /// The group that drops repeats.
    pub block: u64,
    /// `ready`, `draining` or `gone`.
    pub health: &'static str,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    pub born_ms: u64,
}

impl Entry {
    /// As it is written under an etcd key.
    pub fn value(&self) -> String {
        self.json(self.dial).to_string()
    }

    fn json(&self, dial: SocketAddr) -> serde_json::Value {
        json!({
            "host": self.host, "dial": dial.to_string(), "site": self.site, "class": "k",
            "block": self.block, "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        })
    }
}

#[derive(Clone, Debug, Default)]
struct List {
    seq: u64,
    /// With the version of the last change.
    entries: BTreeMap<String, (u64, Entry)>,
}

impl List {
    fn changes_since(&self, from: Option<u64>, node: usize, dials: &Dials) -> (String, Vec<Entry>) {
        let whole = from.is_none();
        let changed = |at: u64, entry: &Entry| match from {
            Some(from) => at > from,
            None => entry.health != "gone",
        };
        let entries = self
            .entries
            .values()
            .filter(|(at, entry)| changed(*at, entry));
        let entries: Vec<Entry> = entries.map(|(_, entry)| entry.clone()).collect();
        let dial = |entry: &Entry| {
            dials
                .get(&(node, entry.host.clone()))
                .copied()
                .unwrap_or(entry.dial)
        };
        let hosts: Vec<_> = entries
            .iter()
            .map(|entry| entry.json(dial(entry)))
            .collect();
        (
            json!({"seq": self.seq, "whole": whole, "hosts": hosts}).to_string(),
            entries,
        )
    }
}

/// Discovery, with its agents.
#[derive(Debug)]
pub struct Discovery {
    world: Arc<World>,
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    silent: watch::Sender<bool>,
    delay: Mutex<Duration>,
    limits: Mutex<ServiceLimits>,
    /// Until when the service works on what it has taken.
    busy_until: Mutex<Duration>,
    call_stats: Mutex<CallStats>,
    first_list: Mutex<Option<List>>,
    /// Where a node finds a host, if not where it listens.
    dials: Mutex<Dials>,
}

/// Addresses that differ from one node to the next.
type Dials = BTreeMap<(usize, String), SocketAddr>;

impl Discovery {
    /// An empty list.
    pub fn new(world: Arc<World>) -> Arc<Discovery> {
        Arc::new(Discovery {
            world,
            list: Mutex::default(),
            seq: watch::channel(0).0,
            silent: watch::channel(false).0,
            delay: Mutex::default(),
            limits: Mutex::default(),
            busy_until: Mutex::default(),
            call_stats: Mutex::default(),
            first_list: Mutex::default(),
            dials: Mutex::default(),
        })
    }

    /// Changes what the service bears.
    pub fn set_limits(&self, change: impl FnOnce(&mut ServiceLimits)) {
        change(&mut lock(&self.limits));
    }

    /// What was asked of it.
    pub fn call_stats(&self) -> CallStats {
        lock(&self.call_stats).clone()
    }

    /// It has lost something, and is back without. All watches that are open are told.
    pub fn restore(&self, back: RestoreMode) {
        let seq = {
            let (mut list, first) = (lock(&self.list), lock(&self.first_list).clone());
            match back {
                RestoreMode::FirstVersion => *list = first.unwrap_or_default(),
                RestoreMode::Empty => *list = List::default(),
                RestoreMode::Renumbered => {
                    list.seq = 1;
                    list.entries.values_mut().for_each(|(at, _)| *at = 1);
                }
            }
            list.seq
        };
        self.seq.send_replace(seq);
    }

    /// Waits until the service has worked on a call of so many bytes; whether it answers.
    async fn wait_for_capacity(&self, bytes: usize) -> Result<(), Duration> {
        let ServiceLimits {
            calls_per_s,
            bytes_per_s,
            sheds_load: turns_away,
            ..
        } = lock(&self.limits).clone();
        let share = |of: f64, a_second: f64| if a_second > 0.0 { of / a_second } else { 0.0 };
        let takes =
            Duration::from_secs_f64(share(1.0, calls_per_s) + share(bytes as f64, bytes_per_s));
        let (now, until) = {
            let (now, mut busy) = (self.world.now(), lock(&self.busy_until));
            let line = busy.saturating_sub(now);
            if turns_away && line > MAX_QUEUE_DELAY {
                return Err(line);
            }
            *busy = now.max(*busy) + takes;
            (now, *busy)
        };
        tokio::time::sleep(until.saturating_sub(now)).await;
        Ok(())
    }

    /// Changes entries, all in one version.
    pub fn change(&self, entries: Vec<Entry>) {
        let seq = {
            let mut list = lock(&self.list);
            list.seq += 1;
            let seq = list.seq;
            list.entries.extend(
                entries
                    .into_iter()
                    .map(|entry| (entry.host.clone(), (seq, entry))),
            );
            lock(&self.first_list).get_or_insert_with(|| list.clone());
            seq
        };
        self.seq.send_replace(seq);
    }

    /// An entry as it stands.
    pub fn entry(&self, host: &str) -> Option<Entry> {
        lock(&self.list)
            .entries
            .get(host)
            .map(|(_, entry)| entry.clone())
    }

    /// The whole list in discovery's form, as a configuration's `known`.
    pub fn full_list(&self) -> String {
        self.full_list_for(usize::MAX)
    }

    /// The same as one node is told it.
    pub fn full_list_for(&self, node: usize) -> String {
        lock(&self.list)
            .changes_since(None, node, &lock(&self.dials))
            .0
    }

    /// A node finds a host elsewhere than others.
    pub fn redirect(&self, node: usize, host: &str, dial: SocketAddr) {
        lock(&self.dials).insert((node, host.to_owned()), dial);
    }

    /// Writes nothing to anybody, or does so again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Each change is written so much later, by each agent.
    pub fn set_delay(&self, lateness: Duration) {
        *lock(&self.delay) = lateness;
    }

    /// Starts the agent of one node; the address is where that node finds discovery.
    ///
    /// # Errors
    /// No port could be had.
    pub async fn start_agent(self: &Arc<Self>, node: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(crate::ports::reserve_address()?).await?;
        let address = listener.local_addr()?;
        let discovery = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let discovery = Arc::clone(&discovery);
                    // How it ended is the node's concern.
                    tokio::spawn(async move { discovery.serve(node, stream).await.ok() });
                }
            }
        });
        Ok(address)
    }

    async fn serve(&self, node: usize, stream: TcpStream) -> std::io::Result<()> {
        let mut connection = HttpConnection::new(stream);
        if lock(&self.limits).down {
            return connection.stream.set_zero_linger();
        }
        let Some(request) = connection.read_message(&self.world).await? else {
            return Ok(());
        };
        lock(&self.call_stats).times.push(self.world.now());
        let mut from = request
            .target()
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("from="));
        let mut from: Option<u64> = from.take().and_then(|from| from.parse().ok());
        let (mut seq, mut silent) = (self.seq.subscribe(), self.silent.subscribe());
        // The other side writes nothing more; its end is seen by the next write.
        silent
            .wait_for(|silent| !silent)
            .await
            .map_err(std::io::Error::other)?;
        let bytes = {
            let list = lock(&self.list);
            // A version that is not known here is answered with the whole list.
            from = from.filter(|from| *from <= list.seq);
            list.changes_since(from, node, &lock(&self.dials)).0.len()
        };
        if let Err(line) = self.wait_for_capacity(bytes).await {
            lock(&self.call_stats).rejected += 1;
            let after = format!("Retry-After: {}\r\n", line.as_secs().max(1));
            return connection
                .write(&crate::wire::response("503 Busy", &after, ""))
                .await;
        }
        let _open = OpenWatch::begin(&self.call_stats);
        let stream = &mut connection.stream;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        // The first line comes in any case: it tells that nothing has changed.
        let mut first = true;
        loop {
            seq.borrow_and_update();
            if lock(&self.limits).down {
                return connection.stream.set_zero_linger();
            }
            let (text, entries, version) = {
                let list = lock(&self.list);
                from = from.filter(|from| *from <= list.seq);
                let (text, entries) = list.changes_since(from, node, &lock(&self.dials));
                (text, entries, list.seq)
            };
            if std::mem::take(&mut first) || from != Some(version) {
                let line = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
                stream.write_all(line.as_bytes()).await?;
                let now = self.world.now();
                {
                    let mut calls = lock(&self.call_stats);
                    calls.list_bytes += text.len() as u64;
                    calls.first_answers.entry(node).or_insert(now);
                }
                let mut oracle = self.world.oracle();
                entries.iter().for_each(|entry| {
                    oracle.health_delivered(now, node, &entry.host, entry.health == "ready");
                });
                from = Some(version);
            }
            let changed = tokio::time::timeout(KEEPALIVE_INTERVAL, seq.changed())
                .await
                .is_ok();
            silent
                .wait_for(|silent| !silent)
                .await
                .map_err(std::io::Error::other)?;
            if changed {
                let lateness = *lock(&self.delay);
                tokio::time::sleep(lateness).await;
            } else {
                stream.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }
}

/// A watch that is open.
struct OpenWatch<'a>(&'a Mutex<CallStats>);

impl OpenWatch<'_> {
    fn begin(calls: &Mutex<CallStats>) -> OpenWatch<'_> {
        {
            let mut calls = lock(calls);
            calls.open_watches += 1;
            calls.max_open_watches = calls.max_open_watches.max(calls.open_watches);
        }
        OpenWatch(calls)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        lock(self.0).open_watches -= 1;
    }
}
