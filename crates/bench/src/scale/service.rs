//! The list service of a scale run, in the platform's protocol. It formats the full list once for all watches, so
//! that its own CPU time is small compared with that of thousands of nodes. Unlike the test double, it records
//! nothing on each node.

use anyhow::Result;
use saffronpaddle_hollow::MAX_LIST_BYTES;
use saffronpaddle_test_doubles::wire::HttpConnection;
use saffronpaddle_test_doubles::World;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{interval_at, Instant};

/// Interval of the heartbeats, which are empty lines. Each watch has a random phase: the agents of thousands of
/// machines do not send them all at the same time either.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A server's entry on the list.
#[derive(Clone, Debug)]
struct Server {
    dial: SocketAddr,
    site: String,
    block: usize,
    health: &'static str,
}

/// The list with its history.
#[derive(Default)]
struct List {
    seq: u64,
    servers: Vec<Server>,
    /// Whether the optional fields are left out, because the list would be longer than a node accepts.
    omit_optional_fields: bool,
    /// Servers that changed with each version, from version 2 on.
    changed: Vec<Vec<usize>>,
    /// Text of the full list, and its version.
    full_text: Option<(u64, Arc<str>)>,
}

impl List {
    /// The JSON entry of a server.
    fn host(&self, at: usize) -> String {
        let Server {
            dial,
            site,
            block,
            health,
        } = &self.servers[at];
        let optional = if self.omit_optional_fields {
            ""
        } else {
            r#","class":"k","share":1.0,"born_ms":0"#
        };
        format!(
            r#"{{"host":"s-{at}","dial":"{dial}","site":"{site}","block":{block},"health":"{health}"{optional}}}"#
        )
    }

    fn text(&self, whole: bool, hosts: impl Iterator<Item = usize>) -> String {
        let hosts: Vec<String> = hosts.map(|at| self.host(at)).collect();
        format!(
            r#"{{"seq":{},"whole":{whole},"hosts":[{}]}}"#,
            self.seq,
            hosts.join(",")
        )
    }

    /// The version and the text for a watch that has version `from`: the changes since then, or the full list.
    fn text_since(&mut self, from: Option<u64>) -> (u64, Arc<str>) {
        let Some(from) = from.filter(|from| (1..=self.seq).contains(from)) else {
            let seq = self.seq;
            let cached = self.full_text.take().filter(|(version, _)| *version == seq);
            let current =
                cached.unwrap_or_else(|| (seq, self.text(true, 0..self.servers.len()).into()));
            return self.full_text.insert(current).clone();
        };
        let changed = self
            .changed
            .iter()
            .skip(from as usize - 1)
            .flatten()
            .copied();
        let changed: BTreeSet<usize> = changed.collect();
        (self.seq, self.text(false, changed.into_iter()).into())
    }
}

/// A list service that serves watches until the process ends.
pub struct ListService {
    world: Arc<World>,
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    /// Bytes of the full list with all of the platform's fields, and as it is sent.
    pub list_sizes: (usize, usize),
}

impl ListService {
    /// Starts a service with `server_count` servers on its list, which have the zones and dial addresses in turn.
    pub async fn start(
        world: Arc<World>,
        server_count: usize,
        zones: &[String],
        dials: &[SocketAddr],
    ) -> Result<(Arc<ListService>, SocketAddr)> {
        let server = |at: usize| Server {
            dial: dials[at % dials.len()],
            site: zones[at % zones.len()].clone(),
            block: at / 3,
            health: "ready",
        };
        let servers = (0..server_count).map(server).collect();
        let mut list = List {
            seq: 1,
            servers,
            ..List::default()
        };
        let full_size = list.text_since(None).1.len();
        list.omit_optional_fields = full_size > MAX_LIST_BYTES;
        list.full_text = None;
        let list_sizes = (full_size, list.text_since(None).1.len());
        let list = Mutex::new(list);
        let service = Arc::new(ListService {
            world,
            list,
            seq: watch::channel(1).0,
            list_sizes,
        });
        let listener =
            TcpListener::bind(saffronpaddle_test_doubles::ports::reserve_address()?).await?;
        let address = listener.local_addr()?;
        let accepting = Arc::clone(&service);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let accepting = Arc::clone(&accepting);
                // The node handles the error of a watch.
                tokio::spawn(
                    async move { accepting.serve(HttpConnection::new(stream)).await.ok() },
                );
            }
        });
        Ok((service, address))
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Switches these servers between ready and draining in one new version. Returns the version.
    pub fn toggle_health(&self, servers: impl Iterator<Item = usize>) -> u64 {
        let seq = {
            let mut list = self.list();
            list.seq += 1;
            let servers: Vec<usize> = servers.collect();
            for at in &servers {
                let health = &mut list.servers[*at].health;
                *health = if *health == "ready" {
                    "draining"
                } else {
                    "ready"
                };
            }
            list.changed.push(servers);
            list.seq
        };
        self.seq.send_replace(seq);
        seq
    }

    /// Serves one watch until its connection ends.
    async fn serve(&self, mut connection: HttpConnection) -> std::io::Result<()> {
        let Some(request) = connection.read_message(&self.world).await? else {
            return Ok(());
        };
        let from = request
            .target()
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("from="));
        let mut from: Option<u64> = from.and_then(|from| from.parse().ok());
        let mut seq = self.seq.subscribe();
        let stream = &mut connection.stream;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut first = true;
        let mut heartbeats = interval_at(
            Instant::now() + HEARTBEAT_INTERVAL.mul_f64(fastrand::f64()),
            HEARTBEAT_INTERVAL,
        );
        loop {
            let version = *seq.borrow_and_update();
            if std::mem::take(&mut first) || from != Some(version) {
                let (version, text) = self.list().text_since(from);
                stream
                    .write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())
                    .await?;
                from = Some(version);
            }
            tokio::select! {
                _ = heartbeats.tick() => stream.write_all(b"1\r\n\n\r\n").await?,
                changed = seq.changed() => if changed.is_err() { return Ok(()) },
            }
        }
    }
}
