//! Discovery: one list of app servers, and one agent per edge node that serves it as a watch. What an agent has
//! written counts as delivered to the node, and the oracle records when.

use crate::health_report::{write_list, ListedServer};
use crate::wire::HttpConnection;
use crate::{lock, World};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval of the empty lines that are sent as heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A service that sheds load rejects calls that would have to wait for longer than this.
pub const MAX_QUEUE_DELAY: Duration = Duration::from_secs(10);

/// Capacity and availability of the list service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLimits {
    /// Calls answered per second, one after the other; 0 for no limit. A call takes up its time even if the caller
    /// has left.
    pub calls_per_s: f64,
    /// Bytes of lists written per second; 0 for no limit.
    pub bytes_per_s: f64,
    /// Whether callers are rejected with 503 and `Retry-After` once the queue is long; otherwise all are accepted.
    pub sheds_load: bool,
    /// Whether connections are reset.
    pub down: bool,
}

/// State of a list service that has lost data and is available again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreMode {
    /// The list of its first version, regardless of later changes.
    FirstVersion,
    /// No entries, and version numbers that start again.
    Empty,
    /// The current list, with version numbers that start again.
    Renumbered,
}

/// Statistics of the calls to the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallStats {
    /// When each call arrived, since the start of the run.
    pub times: Vec<Duration>,
    /// By node: when the first line was written to it.
    pub first_answers: BTreeMap<usize, Duration>,
    /// Bytes of lists written.
    pub list_bytes: u64,
    /// Watches that are open.
    pub open_watches: usize,
    /// Most watches that were open at once.
    pub max_open_watches: usize,
    /// Calls that were rejected.
    pub rejected: u64,
}

/// A server's entry on the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name of the server.
    pub host: String,
    /// Address on which the server listens.
    pub dial: SocketAddr,
    /// Zone of the server.
    pub site: String,
    /// Group of servers that drops repeats of an idempotency key together.
    pub block: u64,
    /// `ready`, `draining` or `gone`.
    pub health: &'static str,
    /// Unix time in milliseconds at which the server started; 0 for long ago.
    pub born_ms: u64,
}

impl Entry {
    /// The value under the server's etcd key.
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

/// The list of app servers in one version.
#[derive(Clone, Debug, Default)]
struct List {
    seq: u64,
    /// Entries by host, each with the version in which it last changed.
    entries: BTreeMap<String, (u64, Entry)>,
}

impl List {
    /// The text for a watch of a node that has version `from`, and the entries in it: those that changed since, or all of
    /// the list for `None`.
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

/// The discovery service with its agents.
#[derive(Debug)]
pub struct Discovery {
    world: Arc<World>,
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    /// Whether nothing is written to watches.
    silent: watch::Sender<bool>,
    /// Delay with which agents write a change.
    delay: Mutex<Duration>,
    limits: Mutex<ServiceLimits>,
    /// Time until which the service is busy with calls that it accepted.
    busy_until: Mutex<Duration>,
    call_stats: Mutex<CallStats>,
    /// The list in its first version.
    first_list: Mutex<Option<List>>,
    /// Addresses at which a node reaches a host, if they differ from the entry's.
    dials: Mutex<Dials>,
}

/// These entries as they inform a node.
fn listed_servers(entries: &[Entry]) -> Vec<ListedServer> {
    let listed = |entry: &Entry| ListedServer {
        name: entry.host.clone(),
        ready: entry.health == "ready",
        start: Some(entry.born_ms),
    };
    entries.iter().map(listed).collect()
}

/// Addresses by node and host.
type Dials = BTreeMap<(usize, String), SocketAddr>;

impl Discovery {
    /// Creates a service with an empty list.
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

    /// Changes the limits of the service.
    pub fn set_limits(&self, change: impl FnOnce(&mut ServiceLimits)) {
        change(&mut lock(&self.limits));
    }

    /// Statistics of all calls so far.
    pub fn call_stats(&self) -> CallStats {
        lock(&self.call_stats).clone()
    }

    /// Brings the service back after a loss of data. All open watches get the new list.
    pub fn restore(&self, mode: RestoreMode) {
        let seq = {
            let (mut list, first) = (lock(&self.list), lock(&self.first_list).clone());
            match mode {
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

    /// Waits until the service has processed a call of this many bytes. An error if it rejects the call, with the
    /// time that the caller would have to wait.
    async fn wait_for_capacity(&self, bytes: usize) -> Result<(), Duration> {
        let ServiceLimits {
            calls_per_s,
            bytes_per_s,
            sheds_load,
            ..
        } = lock(&self.limits).clone();
        let seconds_for = |amount: f64, per_second: f64| {
            if per_second > 0.0 {
                amount / per_second
            } else {
                0.0
            }
        };
        let service_time = Duration::from_secs_f64(
            seconds_for(1.0, calls_per_s) + seconds_for(bytes as f64, bytes_per_s),
        );
        let (now, until) = {
            let (now, mut busy) = (self.world.now(), lock(&self.busy_until));
            let queue_delay = busy.saturating_sub(now);
            if sheds_load && queue_delay > MAX_QUEUE_DELAY {
                return Err(queue_delay);
            }
            *busy = now.max(*busy) + service_time;
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

    /// The current entry of a host.
    pub fn entry(&self, host: &str) -> Option<Entry> {
        lock(&self.list)
            .entries
            .get(host)
            .map(|(_, entry)| entry.clone())
    }

    /// The complete list in discovery's format, as a configuration's `known` holds it.
    pub fn full_list(&self) -> String {
        self.full_list_for(usize::MAX)
    }

    /// The same as one node receives it, with the addresses of [`Discovery::redirect`].
    pub fn full_list_for(&self, node: usize) -> String {
        lock(&self.list)
            .changes_since(None, node, &lock(&self.dials))
            .0
    }

    /// Lets a node reach a host at another address than its entry's.
    pub fn redirect(&self, node: usize, host: &str, dial: SocketAddr) {
        lock(&self.dials).insert((node, host.to_owned()), dial);
    }

    /// Stops or resumes writing to all watches.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Sets the delay with which each agent writes a change.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.delay) = delay;
    }

    /// Starts the agent of one node and returns the address at which that node reaches discovery.
    ///
    /// # Errors
    /// No address is available.
    pub async fn start_agent(self: &Arc<Self>, node: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(crate::ports::reserve_address()?).await?;
        let address = listener.local_addr()?;
        let discovery = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let discovery = Arc::clone(&discovery);
                    // The node handles a connection that fails.
                    tokio::spawn(async move { discovery.serve(node, stream).await.ok() });
                }
            }
        });
        Ok(address)
    }

    /// Serves one watch until its connection ends.
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
        silent
            .wait_for(|silent| !silent)
            .await
            .map_err(std::io::Error::other)?;
        let bytes = {
            let list = lock(&self.list);
            // A version that is unknown here is answered with the complete list.
            from = from.filter(|from| *from <= list.seq);
            list.changes_since(from, node, &lock(&self.dials)).0.len()
        };
        if let Err(queue_delay) = self.wait_for_capacity(bytes).await {
            lock(&self.call_stats).rejected += 1;
            let after = format!("Retry-After: {}\r\n", queue_delay.as_secs().max(1));
            return connection
                .write(&crate::wire::response("503 Busy", &after, ""))
                .await;
        }
        let _open = OpenWatch::begin(&self.call_stats);
        connection
            .write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        // The first line is always written: if the list is unchanged, it confirms that to the node.
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
                let servers = listed_servers(&entries);
                write_list(&self.world, node, servers, &mut connection, line.as_bytes()).await?;
                let now = self.world.now();
                let mut calls = lock(&self.call_stats);
                calls.list_bytes += text.len() as u64;
                calls.first_answers.entry(node).or_insert(now);
                from = Some(version);
            }
            let changed = tokio::time::timeout(HEARTBEAT_INTERVAL, seq.changed())
                .await
                .is_ok();
            silent
                .wait_for(|silent| !silent)
                .await
                .map_err(std::io::Error::other)?;
            if changed {
                let delay = *lock(&self.delay);
                tokio::time::sleep(delay).await;
            } else {
                connection.write(b"1\r\n\n\r\n").await?;
            }
        }
    }
}

/// Counts a watch while it is open.
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
