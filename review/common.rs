//! What the cases of the review share: a discovery service, starting and ending nodes, HTTP/1.1 over plain sockets, and
//! the record of a run. Uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A case that could not run ends with this code.
pub const COULD_NOT_RUN: i32 = 2;

/// The lines of `record.txt`, each with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {}: {error}", path.display());
            std::process::exit(COULD_NOT_RUN);
        });
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:11.3} ms  {text}");
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A small random number generator (SplitMix64), one per thread.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
}

/// FNV-1a.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---- HTTP/1.1 --------------------------------------------------------------------------------------------------

/// The first line of a message and its headers, names in lower case.
#[derive(Debug)]
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.trim_end().to_owned();
    let mut headers = HashMap::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(Head {
                first_line,
                headers,
            }));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// The time in the settings (`ceilings.connIdleUs`) after which an app server closes an idle connection at the latest.
pub const CONNECTION_IDLE: Duration = Duration::from_secs(15);

/// Waits for the next request on an app server's connection. The connection counts as idle until the first byte of the
/// request, and is closed (`None`) once it has been so for `idle`; `None` sets no limit. From the first byte on there is none.
pub fn next_request(
    reader: &mut BufReader<TcpStream>,
    idle: Option<Duration>,
) -> io::Result<Option<Head>> {
    reader.get_ref().set_read_timeout(idle)?;
    match reader.fill_buf() {
        Ok([]) => return Ok(None),
        Ok(_) => {}
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            return Ok(None);
        }
        Err(error) => return Err(error),
    }
    reader.get_ref().set_read_timeout(None)?;
    read_head(reader)
}

/// Reads a body as its head frames it. An error means that the body did not come whole.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ended());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let from = body.len();
            body.resize(from + size, 0);
            reader.read_exact(&mut body[from..])?;
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(ended());
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let size = head.header("content-length").parse().unwrap_or(0);
    body.resize(size, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

pub fn write_response(stream: &mut TcpStream, status: &str, extra: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{extra}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---- Discovery -------------------------------------------------------------------------------------------------

/// An app server in the list.
#[derive(Clone)]
pub struct Host {
    pub host: String,
    pub dial: SocketAddr,
    pub site: &'static str,
    pub block: u32,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"std-2c","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.host, self.dial, self.site, self.block, self.health, self.born_ms
        )
    }
}

struct ListState {
    seq: u64,
    hosts: Vec<Host>,
    /// For each version, the entries that it changed.
    changes: Vec<(u64, Vec<Host>)>,
}

/// The discovery service: answers at once, and tells each change on every open watch as it comes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        hosts.join(",")
    )
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery binds");
        let address = listener.local_addr().expect("discovery's address");
        let state = ListState {
            seq: 1,
            hosts,
            changes: Vec::new(),
        };
        let discovery = Discovery {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        discovery
    }

    /// Changes entries, by host, and tells them.
    pub fn change(&self, changed: &[Host]) {
        let (state, told) = &*self.state;
        let mut state = state.lock().unwrap();
        state.seq += 1;
        for host in changed {
            state.hosts.retain(|other| other.host != host.host);
            if host.health != "gone" {
                state.hosts.push(host.clone());
            }
        }
        let seq = state.seq;
        state.changes.push((seq, changed.to_vec()));
        told.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let path = head.path().to_owned();
            if path.contains("watch=1") {
                return self.watch(&mut writer, &path);
            }
            let body = {
                let state = self.state.0.lock().unwrap();
                list_json(state.seq, true, &state.hosts)
            };
            write_response(&mut writer, "200 OK", "Content-Type: application/json\r\n", body.as_bytes())?;
        }
        Ok(())
    }

    fn watch(&self, writer: &mut TcpStream, path: &str) -> io::Result<()> {
        let from: u64 = path
            .split("from=")
            .nth(1)
            .and_then(|from| from.split('&').next()?.parse().ok())
            .unwrap_or(0);
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = from;
        let mut first = true;
        loop {
            let (state, changed) = &*self.state;
            let mut state = state.lock().unwrap();
            let mut lines = String::new();
            if first && (from == 0 || from > state.seq) {
                lines = list_json(state.seq, true, &state.hosts) + "\n";
                told = state.seq;
            }
            for (seq, hosts) in state.changes.iter().filter(|(seq, _)| *seq > told) {
                lines += &(list_json(*seq, false, hosts) + "\n");
            }
            told = state.seq;
            if lines.is_empty() && !first {
                let before = state.seq;
                let waited = changed
                    .wait_timeout_while(state, Duration::from_secs(2), |state| state.seq == before)
                    .unwrap();
                state = waited.0;
                if state.seq != before {
                    continue;
                }
                lines = "\n".to_owned();
            }
            drop(state);
            first = false;
            if !lines.is_empty() {
                write!(writer, "{:x}\r\n{lines}\r\n", lines.len())?;
            }
        }
    }
}

// ---- Nodes -----------------------------------------------------------------------------------------------------

/// A class of requests in the settings.
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    /// `read_like`, `idempotency_key` or `non_idempotent`.
    pub repeat: &'static str,
    /// `all`, `zone` or `cell`.
    pub group: &'static str,
    pub window_ms: u64,
    pub worth: f64,
}

/// The settings of a small deployment, with the figures of the example on the protocol page but for the classes, the
/// number of nodes and the plans, whose rates are raised so that quotas play no part.
pub fn settings(nodes: usize, me: usize, classes: &[Class]) -> String {
    let classes: Vec<String> = classes
        .iter()
        .map(|class| {
            format!(
                r#"{{"aimUs":{},"deadlineUs":{},"group":"{}","lateValue":0.2,"name":"{}","repeat":"{}","streamed":false,"windowUs":{},"worth":{}}}"#,
                class.aim_ms * 1000,
                class.deadline_ms * 1000,
                class.group,
                class.name,
                class.repeat,
                class.window_ms * 1000,
                class.worth
            )
        })
        .collect();
    format!(
        r#"{{"balancers":{nodes},
"ceilings":{{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"maxRetryAfterUs":500000,"maxStreams":100,"mayTell":true,"mostHeld":20000,"probes":true,"retryAfter":true,"secondCopies":false,"sendCap":6}},
"classes":[{}],
"clientHabits":{{"marksRetry":true}},
"deductions":{{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.0,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.01,"waste":0.03}},
"discovery":"automatic",
"extra":{{"callPrice":0.01,"countLimitUs":80000,"hasCounter":false,"maxUnits":1,"peerInPerS":60.0,"postPaid":false,"usePeriodUs":0}},
"goal":{{"whole":0.55,"worstClass":0.0,"worstTenant":0.25,"worstWindow":0.2}},
"kindOfService":"gate","kinds":["std-2c"],"layer":0,"me":{me},
"packages":[{{"atOnce":0,"capRate":0.0,"capSlack":0.0,"name":"cosecha","neverOverDepth":0.0,"overWorth":0.0,"overrunCost":0.8,"price":1.8,"rate":1000.0,"storeSize":2000.0}}],
"periodUs":2000,
"report":{{"fields":["concurrent","depth"],"source":"on_probe"}},
"rules":{{"askWithinUs":10000000,"coldFrom":0.21,"coldUs":17000000,"drainGraceUs":250000,"fallMultiple":3.0,"graceToAnswerUs":8000,"overloadForUs":1000000}},
"tiers":["tablero-fleet"],"weights":"off","zone":"sala-sur","zones":["sala-norte","sala-sur"]}}"#,
        classes.join(",")
    )
}

/// A port that was free a moment ago.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("a free port")
        .port()
}

/// A process of a node. Dropping it ends the process.
pub struct Node {
    pub child: Child,
    pub listen: SocketAddr,
    pub log: PathBuf,
}

/// How a node is started.
pub struct Start<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub name: &'a str,
    pub settings: String,
    pub discovery: SocketAddr,
    pub known: String,
    /// Addresses for datagrams, one for each node; empty for none.
    pub peers: Vec<SocketAddr>,
    pub me: usize,
    pub operator: Option<PathBuf>,
}

/// The `run` command of the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    text.lines()
        .find_map(|line| {
            let value = line.strip_prefix("run")?.trim_start().strip_prefix('=')?;
            Some(value.trim().trim_matches('"').to_owned())
        })
        .unwrap_or_else(|| {
            eprintln!("deploy/balancer.toml has no run command");
            std::process::exit(COULD_NOT_RUN);
        })
}

impl Node {
    pub fn start(start: &Start<'_>, listen: SocketAddr) -> Node {
        let peers: Vec<String> = start.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let peers = match start.peers.get(start.me) {
            Some(own) => format!(r#""peer_listen":"{own}","peers":[{}],"#, peers.join(",")),
            None => String::new(),
        };
        let config = format!(
            r#"{{"name":"{}","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},{peers}
"known":{},
"settings":{}}}"#,
            start.name, start.discovery, start.known, start.settings
        );
        let config_file = start.folder.join(format!("{}.json", start.name));
        std::fs::write(&config_file, config).expect("the configuration is written");
        let private = start.folder.join(format!("tmp-{}", start.name));
        std::fs::create_dir_all(&private).expect("a private folder");
        let log = start.folder.join(format!("{}.log", start.name));
        let output = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the log opens");
        let mut command = run_command(start.root);
        if let Some(operator) = &start.operator {
            command += &format!(" --operator {}", operator.display());
        }
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(start.root)
            .env("LB_NAME", start.name)
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", start.discovery.to_string())
            .env("LB_CONFIG", &config_file)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("the log's second handle"))
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("the node does not start: {error}");
                std::process::exit(COULD_NOT_RUN);
            });
        Node { child, listen, log }
    }

    /// Waits until the node has answered `/-/ready` with 200.
    pub fn wait_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return false;
            }
            if ready(self.listen) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.child.id(), signal);
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a signal to a process that this run has started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two integers; the process is a child that has not been waited for.
    unsafe {
        kill(pid as i32, signal);
    }
}

pub fn ready(address: SocketAddr) -> bool {
    let asked = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")?;
        let head = read_head(&mut BufReader::new(stream))?;
        Ok(head.map_or(0, |head| head.status()))
    };
    asked().is_ok_and(|status| status == 200)
}

/// The folders of a case: the repository's root, the case's own, and a temporary one.
pub fn folders() -> (PathBuf, PathBuf, PathBuf) {
    let variable = |name: &str| {
        std::env::var(name).unwrap_or_else(|_| {
            eprintln!("{name} is not set: start the case by run.sh");
            std::process::exit(COULD_NOT_RUN);
        })
    };
    (
        variable("CASE_ROOT").into(),
        variable("CASE_FOLDER").into(),
        variable("CASE_TMP").into(),
    )
}

/// Whether the run includes the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ports for datagrams that were free a moment ago, as addresses.
pub fn peer_addresses(nodes: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> = (0..nodes)
        .map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port for datagrams"))
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().expect("its address"))
        .collect()
}

/// Starts a fleet of nodes that may send each other datagrams, and waits until all are ready.
pub fn start_fleet(
    nodes: usize,
    root: &Path,
    temporary: &Path,
    classes: &[Class],
    discovery: &Discovery,
    hosts: &[Host],
    record: &Record,
) -> Vec<Node> {
    let peers = peer_addresses(nodes);
    let mut fleet: Vec<Node> = (0..nodes)
        .map(|me| {
            let name = format!("n{me}");
            let start = Start {
                root,
                folder: temporary,
                name: &name,
                settings: settings(nodes, me, classes),
                discovery: discovery.address,
                known: list_json(1, true, hosts),
                peers: peers.clone(),
                me,
                operator: None,
            };
            Node::start(&start, SocketAddr::from(([127, 0, 0, 1], free_port())))
        })
        .collect();
    if !fleet.iter_mut().all(Node::wait_ready) {
        record.say("a node was not ready in 15 s");
        drop(fleet);
        std::process::exit(COULD_NOT_RUN);
    }
    fleet
}
