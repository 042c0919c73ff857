//! The list service of a scale run, in the platform's protocol. It writes each list once for all watches, so that its own work
//! stays small beside that of thousands of nodes; what a stand-in notes of each node is left out.

use anyhow::Result;
use saffronpaddle_hollow::LIST_MOST;
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

/// An empty line comes this often, for each watch from a time of its own on. Danger: signs for all nodes of a loop at one
/// stroke, as the agents of thousands of machines do not give them.
const SIGN_OF_LIFE: Duration = Duration::from_secs(2);

/// A server on the list.
#[derive(Clone, Debug)]
struct Server {
    dial: SocketAddr,
    site: String,
    block: usize,
    health: &'static str,
}

#[derive(Default)]
struct List {
    seq: u64,
    servers: Vec<Server>,
    /// Whether fields that may be left out are: with them it would be longer than what a node takes.
    short: bool,
    /// Which servers changed with each version from 2 on.
    changed: Vec<Vec<usize>>,
    /// The whole list's text, and of which version it is.
    whole: Option<(u64, Arc<str>)>,
}

impl List {
    fn host(&self, at: usize) -> String {
        let Server {
            dial,
            site,
            block,
            health,
        } = &self.servers[at];
        let more = if self.short {
            ""
        } else {
            r#","class":"k","share":1.0,"born_ms":0"#
        };
        format!(
            r#"{{"host":"s-{at}","dial":"{dial}","site":"{site}","block":{block},"health":"{health}"{more}}}"#
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

    fn since(&mut self, from: Option<u64>) -> (u64, Arc<str>) {
        let Some(from) = from.filter(|from| (1..=self.seq).contains(from)) else {
            let seq = self.seq;
            let fresh = self.whole.take().filter(|(of, _)| *of == seq);
            let kept =
                fresh.unwrap_or_else(|| (seq, self.text(true, 0..self.servers.len()).into()));
            return self.whole.insert(kept).clone();
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

pub struct Service {
    world: Arc<World>,
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    /// Bytes of the whole list with all of the platform's fields, and as it is written.
    pub texts: (usize, usize),
}

impl Service {
    /// A service with so many servers on its list, in these zones, found at these addresses in turn.
    pub async fn start(
        world: Arc<World>,
        many: usize,
        zones: &[String],
        dials: &[SocketAddr],
    ) -> Result<(Arc<Service>, SocketAddr)> {
        let server = |at: usize| Server {
            dial: dials[at % dials.len()],
            site: zones[at % zones.len()].clone(),
            block: at / 3,
            health: "ready",
        };
        let servers = (0..many).map(server).collect();
        let mut list = List {
            seq: 1,
            servers,
            ..List::default()
        };
        let full = list.since(None).1.len();
        list.short = full > LIST_MOST;
        list.whole = None;
        let texts = (full, list.since(None).1.len());
        let list = Mutex::new(list);
        let service = Arc::new(Service {
            world,
            list,
            seq: watch::channel(1).0,
            texts,
        });
        let listener =
            TcpListener::bind(saffronpaddle_test_doubles::ports::reserve_address()?).await?;
        let address = listener.local_addr()?;
        let serving = Arc::clone(&service);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = Arc::clone(&serving);
                // How it ended is the node's concern.
                tokio::spawn(async move { serving.serve(HttpConnection::new(stream)).await.ok() });
            }
        });
        Ok((service, address))
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes these servers in one version, which is returned: who was ready drains, and who drained is ready.
    pub fn change(&self, servers: impl Iterator<Item = usize>) -> u64 {
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

    async fn serve(&self, mut wire: HttpConnection) -> std::io::Result<()> {
        let Some(request) = wire.read_message(&self.world).await? else {
            return Ok(());
        };
        let from = request
            .target()
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("from="));
        let mut from: Option<u64> = from.and_then(|from| from.parse().ok());
        let mut seq = self.seq.subscribe();
        let stream = &mut wire.stream;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut first = true;
        let mut signs = interval_at(
            Instant::now() + SIGN_OF_LIFE.mul_f64(fastrand::f64()),
            SIGN_OF_LIFE,
        );
        loop {
            let version = *seq.borrow_and_update();
            if std::mem::take(&mut first) || from != Some(version) {
                let (version, text) = self.list().since(from);
                stream
                    .write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())
                    .await?;
                from = Some(version);
            }
            tokio::select! {
                _ = signs.tick() => stream.write_all(b"1\r\n\n\r\n").await?,
                changed = seq.changed() => if changed.is_err() { return Ok(()) },
            }
        }
    }
}
