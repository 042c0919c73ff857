//! Discovery: one list of app servers, and an agent for each edge node that writes it as a watch. What an agent has
//! written counts as told, and the ledger notes when.

use crate::wire::Wire;
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
const SIGN_OF_LIFE: Duration = Duration::from_secs(2);

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
        self.json().to_string()
    }

    fn json(&self) -> serde_json::Value {
        json!({
            "host": self.host, "dial": self.dial.to_string(), "site": self.site, "class": "k",
            "block": self.block, "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        })
    }
}

#[derive(Debug, Default)]
struct List {
    seq: u64,
    /// With the version of the last change.
    entries: BTreeMap<String, (u64, Entry)>,
}

impl List {
    fn since(&self, from: Option<u64>) -> (String, Vec<Entry>) {
        let whole = from.is_none();
        let changed = |at: u64, entry: &Entry| match from {
            Some(from) => at > from,
            None => entry.health != "gone",
        };
        let entries = self.entries.values().filter(|(at, entry)| changed(*at, entry));
        let entries: Vec<Entry> = entries.map(|(_, entry)| entry.clone()).collect();
        let hosts: Vec<_> = entries.iter().map(Entry::json).collect();
        (json!({"seq": self.seq, "whole": whole, "hosts": hosts}).to_string(), entries)
    }
}

/// Discovery, with its agents.
#[derive(Debug)]
pub struct Discovery {
    world: Arc<World>,
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    silent: watch::Sender<bool>,
    lateness: Mutex<Duration>,
}

impl Discovery {
    /// An empty list.
    pub fn new(world: Arc<World>) -> Arc<Discovery> {
        Arc::new(Discovery {
            world,
            list: Mutex::default(),
            seq: watch::channel(0).0,
            silent: watch::channel(false).0,
            lateness: Mutex::default(),
        })
    }

    /// Changes entries, all in one version.
    pub fn change(&self, entries: Vec<Entry>) {
        let seq = {
            let mut list = lock(&self.list);
            list.seq += 1;
            let seq = list.seq;
            list.entries.extend(entries.into_iter().map(|entry| (entry.host.clone(), (seq, entry))));
            seq
        };
        self.seq.send_replace(seq);
    }

    /// An entry as it stands.
    pub fn entry(&self, host: &str) -> Option<Entry> {
        lock(&self.list).entries.get(host).map(|(_, entry)| entry.clone())
    }

    /// The whole list in discovery's form, as a configuration's `known`.
    pub fn known(&self) -> String {
        lock(&self.list).since(None).0
    }

    /// Writes nothing to anybody, or does so again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Each change is written so much later, by each agent.
    pub fn set_lateness(&self, lateness: Duration) {
        *lock(&self.lateness) = lateness;
    }

    /// Starts the agent of one node; the address is where that node finds discovery.
    ///
    /// # Errors
    /// No port could be had.
    pub async fn agent(self: &Arc<Self>, node: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
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
        let mut wire = Wire::new(stream);
        let Some(request) = wire.message(&self.world).await? else { return Ok(()) };
        let mut from = request.target().split(['?', '&']).find_map(|part| part.strip_prefix("from="));
        let mut from: Option<u64> = from.take().and_then(|from| from.parse().ok());
        let (mut seq, mut silent) = (self.seq.subscribe(), self.silent.subscribe());
        // The other side writes nothing more; its end is seen by the next write.
        silent.wait_for(|silent| !silent).await.map_err(std::io::Error::other)?;
        let stream = &mut wire.stream;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        // The first line comes in any case: it tells that nothing has changed.
        let mut first = true;
        loop {
            seq.borrow_and_update();
            let (text, entries) = lock(&self.list).since(from);
            let version = lock(&self.list).seq;
            if std::mem::take(&mut first) || from != Some(version) {
                let line = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
                stream.write_all(line.as_bytes()).await?;
                let now = self.world.now();
                let mut ledger = self.world.ledger();
                entries.iter().for_each(|entry| ledger.told(now, node, &entry.host, entry.health == "ready"));
                from = Some(version);
            }
            let changed = tokio::time::timeout(SIGN_OF_LIFE, seq.changed()).await.is_ok();
            silent.wait_for(|silent| !silent).await.map_err(std::io::Error::other)?;
            if changed {
                let lateness = *lock(&self.lateness);
                tokio::time::sleep(lateness).await;
            } else {
                stream.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }
}
