//! The list service of a fleet of hundreds, in the platform's protocol: each text is written once for all who ask for the same, and what is
//! written to a real node is told to the ledger.

use saffronpaddle_test_doubles::wire::HttpConnection;
use saffronpaddle_test_doubles::World;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// While nothing changes, an empty line comes this often.
const SIGN_OF_LIFE: Duration = Duration::from_secs(2);

/// A server on the list, or one that was there.
#[derive(Clone, Debug)]
pub struct Server {
    pub dial: SocketAddr,
    pub site: &'static str,
    pub block: u64,
    /// `ready`, `draining` or `gone`.
    pub health: &'static str,
    pub born_ms: u64,
    /// Whether real nodes may send to it, so that the ledger is told of it.
    pub stands: bool,
}

/// What is written to all who have the same version.
#[derive(Clone)]
struct Text {
    from: Option<u64>,
    body: Arc<str>,
    /// The servers in it.
    named: Arc<Vec<usize>>,
}

#[derive(Default)]
struct List {
    seq: u64,
    servers: Vec<Server>,
    /// Which servers changed with each version from 2 on.
    changed: Vec<Vec<usize>>,
    /// Texts of the present version.
    texts: Vec<Text>,
    /// The whole list lacks all servers from this one on, by mistake.
    cut: Option<usize>,
    /// Versions before this one are answered with the whole list.
    whole_since: u64,
}

impl List {
    fn host(&self, at: usize) -> String {
        let Server {
            dial,
            site,
            block,
            health,
            born_ms,
            ..
        } = &self.servers[at];
        let born = if *born_ms > 0 {
            format!(r#","born_ms":{born_ms}"#)
        } else {
            String::new()
        };
        format!(
            r#"{{"host":"s-{at}","dial":"{dial}","site":"{site}","block":{block},"health":"{health}"{born}}}"#
        )
    }

    /// Whether it is on the list and ready.
    fn ready(&self, at: usize) -> bool {
        self.servers[at].health == "ready" && self.cut.is_none_or(|cut| at < cut)
    }

    fn since(&mut self, from: Option<u64>) -> (u64, Text) {
        let from = from.filter(|from| (self.whole_since.max(1)..=self.seq).contains(from));
        if let Some(text) = self.texts.iter().find(|text| text.from == from) {
            return (self.seq, text.clone());
        }
        let on: Vec<usize> = match from {
            None => {
                let most = self.cut.unwrap_or(self.servers.len());
                (0..most)
                    .filter(|at| self.servers[*at].health != "gone")
                    .collect()
            }
            Some(from) => {
                let changed = self
                    .changed
                    .iter()
                    .skip(from as usize - 1)
                    .flatten()
                    .copied();
                changed.collect::<BTreeSet<usize>>().into_iter().collect()
            }
        };
        let hosts: Vec<String> = on.iter().map(|at| self.host(*at)).collect();
        let text = format!(
            r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#,
            self.seq,
            from.is_none(),
            hosts.join(",")
        );
        // Of a whole list the ledger is told of all, those that are left out as well.
        let named = if from.is_none() {
            (0..self.servers.len()).collect()
        } else {
            on
        };
        let text = Text {
            from,
            body: text.into(),
            named: Arc::new(named),
        };
        self.texts.push(text.clone());
        (self.seq, text)
    }
}

pub struct Service {
    world: Arc<World>,
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    /// Version that was written last to each real node.
    written: Mutex<Vec<u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    pub fn new(world: Arc<World>, servers: Vec<Server>, real: usize) -> Arc<Service> {
        let list = Mutex::new(List {
            seq: 1,
            servers,
            ..List::default()
        });
        Arc::new(Service {
            world,
            list,
            seq: watch::channel(1).0,
            written: Mutex::new(vec![0; real]),
        })
    }

    /// An address of it: for one real node, or for all hollow ones.
    pub async fn open(self: &Arc<Self>, node: Option<usize>) -> SocketAddr {
        let listener = TcpListener::bind(
            saffronpaddle_test_doubles::ports::reserve_address().expect("an address"),
        );
        let listener = listener.await.expect("it can be had");
        let address = listener.local_addr().expect("it has one");
        let service = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let service = Arc::clone(&service);
                // How it ended is the node's concern.
                tokio::spawn(
                    async move { service.serve(node, HttpConnection::new(stream)).await.ok() },
                );
            }
        });
        address
    }

    /// Changes these servers in one version, which is returned.
    pub fn change(&self, servers: &[usize], change: impl Fn(&mut Server)) -> u64 {
        self.anew(|list| {
            servers.iter().for_each(|at| change(&mut list.servers[*at]));
            list.changed.push(servers.to_vec());
        })
    }

    /// From now on all are written a whole list, which lacks all servers from this one on; or the right one again.
    pub fn cut(&self, from: Option<usize>) -> u64 {
        self.anew(|list| {
            list.cut = from;
            list.changed.push(Vec::new());
            list.whole_since = list.seq;
        })
    }

    fn anew(&self, change: impl FnOnce(&mut List)) -> u64 {
        let seq = {
            let mut list = lock(&self.list);
            list.seq += 1;
            list.texts.clear();
            change(&mut list);
            list.seq
        };
        self.seq.send_replace(seq);
        seq
    }

    /// Whether all of these real nodes were written this version or a later one.
    pub fn reached(&self, seq: u64, nodes: impl Iterator<Item = usize>) -> bool {
        let written = lock(&self.written);
        nodes.into_iter().all(|node| written[node] >= seq)
    }

    /// A real node's process has ended: what was written to it counts for nothing.
    pub fn forget(&self, node: usize) {
        lock(&self.written)[node] = 0;
    }

    async fn serve(&self, node: Option<usize>, mut wire: HttpConnection) -> std::io::Result<()> {
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
        loop {
            let version = *seq.borrow_and_update();
            if std::mem::take(&mut first) || from != Some(version) {
                let (version, Text { body, named, .. }) = lock(&self.list).since(from);
                stream
                    .write_all(format!("{:x}\r\n{body}\n\r\n", body.len() + 1).as_bytes())
                    .await?;
                if let Some(node) = node {
                    self.tell(node, version, &named);
                }
                from = Some(version);
            }
            if tokio::time::timeout(SIGN_OF_LIFE, seq.changed())
                .await
                .is_err()
            {
                stream.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }

    /// Tells the ledger what a real node was written.
    fn tell(&self, node: usize, version: u64, named: &[usize]) {
        let told: Vec<(usize, bool)> = {
            let list = lock(&self.list);
            named
                .iter()
                .filter(|at| list.servers[**at].stands)
                .map(|at| (*at, list.ready(*at)))
                .collect()
        };
        let (now, mut ledger) = (self.world.now(), self.world.oracle());
        told.into_iter()
            .for_each(|(at, ready)| ledger.health_delivered(now, node, &format!("s-{at}"), ready));
        lock(&self.written)[node] = version;
    }
}
