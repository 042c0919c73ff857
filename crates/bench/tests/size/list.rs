//! The list service of a fleet of hundreds of nodes, in the platform's protocol. It formats each text once for all
//! watches with the same version, and reports to the oracle what it has sent to each process of the program.

use saffronpaddle_test_doubles::health_report::{write_list, ListedServer};
use saffronpaddle_test_doubles::wire::HttpConnection;
use saffronpaddle_test_doubles::World;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Interval of the empty lines that are sent as heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A server that is or was on the list.
#[derive(Clone, Debug)]
pub struct Server {
    /// Address on which the server listens.
    pub dial: SocketAddr,
    /// Zone of the server.
    pub site: &'static str,
    /// Group of servers that drops repeats of an idempotency key together.
    pub block: u64,
    /// `ready`, `draining` or `gone`.
    pub health: &'static str,
    /// Unix time at which the server started, ms; 0 to leave it out.
    pub born_ms: u64,
    /// Whether an app server listens there to which processes of the program may send. Only these are reported to the
    /// oracle.
    pub is_running: bool,
}

/// The text for all watches that have the same version.
#[derive(Clone)]
struct Text {
    from: Option<u64>,
    body: Arc<str>,
    /// The servers whose health it determines.
    servers: Arc<Vec<usize>>,
}

#[derive(Default)]
struct List {
    seq: u64,
    servers: Vec<Server>,
    /// Servers that changed with each version, from version 2 on.
    changed: Vec<Vec<usize>>,
    /// Texts of the current version.
    texts: Vec<Text>,
    /// The full list wrongly lacks all servers from this index on.
    truncated_at: Option<usize>,
    /// Watches with an earlier version get the full list.
    full_list_before: u64,
}

impl List {
    /// The JSON entry of a server.
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

    /// Whether the server is on the list and ready.
    fn is_ready(&self, at: usize) -> bool {
        self.servers[at].health == "ready" && self.truncated_at.is_none_or(|length| at < length)
    }

    /// Those of these servers that run, as the list shows them.
    fn running_servers(&self, servers: &[usize]) -> Vec<ListedServer> {
        let running = servers.iter().filter(|at| self.servers[**at].is_running);
        running
            .map(|at| ListedServer {
                name: format!("s-{at}"),
                ready: self.is_ready(*at),
                start: None,
            })
            .collect()
    }

    /// The version and the text for a watch that has version `from`.
    fn text_since(&mut self, from: Option<u64>) -> (u64, Text) {
        let from = from.filter(|from| (self.full_list_before.max(1)..=self.seq).contains(from));
        if let Some(text) = self.texts.iter().find(|text| text.from == from) {
            return (self.seq, text.clone());
        }
        let listed: Vec<usize> = match from {
            None => {
                let length = self.truncated_at.unwrap_or(self.servers.len());
                (0..length)
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
        let hosts: Vec<String> = listed.iter().map(|at| self.host(*at)).collect();
        let text = format!(
            r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#,
            self.seq,
            from.is_none(),
            hosts.join(",")
        );
        // A full list determines the health of all servers, also of those that it lacks.
        let servers = if from.is_none() {
            (0..self.servers.len()).collect()
        } else {
            listed
        };
        let text = Text {
            from,
            body: text.into(),
            servers: Arc::new(servers),
        };
        self.texts.push(text.clone());
        (self.seq, text)
    }
}

/// A list service that serves watches until the test ends.
pub struct ListService {
    world: Arc<World>,
    list: Mutex<List>,
    seq: watch::Sender<u64>,
    /// Version that was sent last to each process of the program.
    sent_versions: Mutex<Vec<u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ListService {
    /// A service with these servers on its list, for `real` processes of the program.
    pub fn new(world: Arc<World>, servers: Vec<Server>, real: usize) -> Arc<ListService> {
        let list = Mutex::new(List {
            seq: 1,
            servers,
            ..List::default()
        });
        Arc::new(ListService {
            world,
            list,
            seq: watch::channel(1).0,
            sent_versions: Mutex::new(vec![0; real]),
        })
    }

    /// Opens an address of the service: for one process of the program, or for all hollow nodes.
    pub async fn open(self: &Arc<Self>, node: Option<usize>) -> SocketAddr {
        let listener = TcpListener::bind(
            saffronpaddle_test_doubles::ports::reserve_address().expect("an address is free"),
        );
        let listener = listener.await.expect("the address can be bound");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let service = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let service = Arc::clone(&service);
                // The node handles the error of a watch.
                tokio::spawn(
                    async move { service.serve(node, HttpConnection::new(stream)).await.ok() },
                );
            }
        });
        address
    }

    /// Changes these servers in one new version. Returns the version.
    pub fn change(&self, servers: &[usize], change: impl Fn(&mut Server)) -> u64 {
        self.publish(|list| {
            servers.iter().for_each(|at| change(&mut list.servers[*at]));
            list.changed.push(servers.to_vec());
        })
    }

    /// Sends the full list to all watches, without the servers from index `length` on, or complete again for `None`.
    /// Returns the version.
    pub fn truncate(&self, length: Option<usize>) -> u64 {
        self.publish(|list| {
            list.truncated_at = length;
            list.changed.push(Vec::new());
            list.full_list_before = list.seq;
        })
    }

    /// Applies a change to the list as a new version, which it returns, and wakes the watches.
    fn publish(&self, change: impl FnOnce(&mut List)) -> u64 {
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

    /// Whether this version or a later one was sent to all of these processes of the program.
    pub fn was_sent(&self, seq: u64, nodes: impl Iterator<Item = usize>) -> bool {
        let versions = lock(&self.sent_versions);
        nodes.into_iter().all(|node| versions[node] >= seq)
    }

    /// Forgets what was sent to a process of the program that has ended.
    pub fn forget(&self, node: usize) {
        lock(&self.sent_versions)[node] = 0;
    }

    /// Serves one watch until its connection ends.
    async fn serve(
        &self,
        node: Option<usize>,
        mut connection: HttpConnection,
    ) -> std::io::Result<()> {
        let Some(request) = connection.read_message(&self.world).await? else {
            return Ok(());
        };
        let from = request
            .target()
            .split(['?', '&'])
            .find_map(|part| part.strip_prefix("from="));
        let mut from: Option<u64> = from.and_then(|from| from.parse().ok());
        let mut seq = self.seq.subscribe();
        connection
            .write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut first = true;
        loop {
            let version = *seq.borrow_and_update();
            if std::mem::take(&mut first) || from != Some(version) {
                let (version, body, running) = {
                    let mut list = lock(&self.list);
                    let (version, Text { body, servers, .. }) = list.text_since(from);
                    (version, body, list.running_servers(&servers))
                };
                let line = format!("{:x}\r\n{body}\n\r\n", body.len() + 1);
                let line = line.as_bytes();
                if let Some(node) = node {
                    write_list(&self.world, node, running, &mut connection, line).await?;
                    lock(&self.sent_versions)[node] = version;
                } else {
                    connection.write(line).await?;
                }
                from = Some(version);
            }
            if tokio::time::timeout(HEARTBEAT_INTERVAL, seq.changed())
                .await
                .is_err()
            {
                connection.write(b"1\r\n\n\r\n").await?;
            }
        }
    }
}
