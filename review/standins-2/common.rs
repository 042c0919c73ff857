//! Stand-ins for the review's cases: discovery's agent, app servers, clients, and the start of nodes by the deploy file.
//! Only the standard library is used. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is to be played (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudo-random numbers (xorshift64*).
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The record of a run: what was sent, answered and run, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("cannot write {}: {error}", path.display());
            std::process::exit(COULD_NOT_RUN)
        });
        Record {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.started_at).as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }
    /// A line of the record that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

static PORTS: AtomicU64 = AtomicU64::new(0);

/// A port below those that the machine gives to clients' connections, so that none of these takes it before its node does.
fn free_port(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    let offset = u64::from(std::process::id()) * 7919 + unix_ms() / 100;
    for _ in 0..20_000 {
        let number = offset + PORTS.fetch_add(1, Ordering::Relaxed) * 13;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + (number % 20_000) as u16));
        if is_free(address) {
            return address;
        }
    }
    eprintln!("no free port");
    std::process::exit(COULD_NOT_RUN)
}

/// A free TCP port of the loopback address.
pub fn free_tcp() -> SocketAddr {
    free_port(|address| TcpListener::bind(address).is_ok())
}

/// A free UDP port of the loopback address.
pub fn free_udp() -> SocketAddr {
    free_port(|address| UdpSocket::bind(address).is_ok())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------------------------- HTTP

/// A request as a server received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Reads the next request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(first) = read_line(reader)? else {
        return Ok(None);
    };
    let mut parts = first.split(' ');
    let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
    let headers = read_headers(reader)?;
    let mut request = Request {
        method: method.to_owned(),
        path: path.to_owned(),
        headers,
        body: Vec::new(),
    };
    if let Some(length) = request.headers.get("content-length").and_then(|text| text.parse().ok()) {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    } else if request.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            request.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    }
    Ok(Some(request))
}

// ----------------------------------------------------------------------------------------------------------- discovery

#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: String,
    pub block: u64,
    pub health: String,
    pub born_ms: u64,
}

impl Host {
    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"m2\",\"block\":{},\"health\":\"{}\",\"share\":1.0,\"born_ms\":{}}}",
            self.name, self.dial, self.site, self.block, self.health, self.born_ms
        )
    }
}

/// A list in discovery's form.
pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

struct DiscoveryState {
    seq: u64,
    hosts: Vec<Host>,
    /// The changes, each with its version.
    changes: Vec<(u64, Host)>,
    /// The version from which on changes are told; a watch from an earlier one begins with the whole list.
    told_since: u64,
}

/// The agent of discovery on a node's machine: lists are pushed over a watch.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> Discovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = DiscoveryState {
            seq: 1,
            hosts,
            changes: Vec::new(),
            told_since: 0,
        };
        let discovery = Discovery {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || {
                    let _ = this.serve(stream);
                });
            }
        });
        discovery
    }
    pub fn hosts(&self) -> Vec<Host> {
        self.state.0.lock().unwrap().hosts.clone()
    }
    pub fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.seq, true, &state.hosts)
    }
    /// Adds or changes a server.
    pub fn set(&self, host: Host) {
        let mut state = self.state.0.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        state.hosts.retain(|other| other.name != host.name);
        if host.health != "gone" {
            state.hosts.push(host.clone());
        }
        state.changes.push((seq, host));
        self.state.1.notify_all();
    }
    /// Ends the open watches instead of telling a change; the answer to the next calls is the whole list.
    pub fn end_watches_with(&self, hosts: Vec<Host>) {
        let mut state = self.state.0.lock().unwrap();
        state.seq += 1;
        state.told_since = state.seq;
        state.hosts = hosts;
        state.changes.clear();
        self.state.1.notify_all();
    }
    pub fn set_health(&self, name: &str, health: &str) {
        let host = self.hosts().into_iter().find(|host| host.name == name);
        if let Some(host) = host {
            self.set(Host {
                health: health.to_owned(),
                ..host
            });
        }
    }
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            if !request.path.contains("watch=1") {
                let list = self.list();
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
                continue;
            }
            let from: Option<u64> = request
                .path
                .split(['?', '&'])
                .find_map(|part| part.strip_prefix("from="))
                .and_then(|text| text.parse().ok());
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let mut chunk = |text: &str| write!(stream, "{:x}\r\n{text}\r\n", text.len());
            let (mutex, changed) = &*self.state;
            let (mut state, mut told) = (mutex.lock().unwrap(), 0);
            if from.is_none_or(|from| from > state.seq || from < state.told_since) {
                let list = list_json(state.seq, true, &state.hosts);
                told = state.seq;
                chunk(&format!("{list}\n"))?;
            }
            let mut told = if told > 0 { told } else { from.unwrap_or(0) };
            loop {
                if told < state.told_since {
                    return Ok(());
                }
                let changes: Vec<Host> = state
                    .changes
                    .iter()
                    .filter(|(seq, _)| *seq > told)
                    .map(|(_, host)| host.clone())
                    .collect();
                if changes.is_empty() {
                    let (guard, waited) = changed.wait_timeout(state, ms(2000)).unwrap();
                    state = guard;
                    if waited.timed_out() {
                        drop(state);
                        chunk("\n")?;
                        state = mutex.lock().unwrap();
                    }
                    continue;
                }
                told = state.seq;
                let list = list_json(told, false, &changes);
                drop(state);
                chunk(&format!("{list}\n"))?;
                state = mutex.lock().unwrap();
            }
        }
        Ok(())
    }
}

// --------------------------------------------------------------------------------------------------------- app servers

/// What an app server does with a connection after a request.
pub enum After {
    Keep,
    Close,
}

/// Answers a request on a connection.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<After> + Send + Sync;

/// Starts an app server on a free loopback port; each connection has its own thread.
pub fn start_server(handler: Arc<Handler>) -> SocketAddr {
    start_counted_server(handler, Arc::default())
}

/// Starts an app server that counts its open connections.
pub fn start_counted_server(handler: Arc<Handler>, open: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
            thread::spawn(move || {
                open.fetch_add(1, Ordering::SeqCst);
                let _ = serve_connection(stream, &*handler);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        // A connection that has stood idle for the time in the settings is closed.
        stream.set_read_timeout(Some(SERVER_IDLE))?;
        if reader.fill_buf()?.is_empty() {
            return Ok(());
        }
        stream.set_read_timeout(None)?;
        let Some(request) = read_request(&mut reader)? else {
            return Ok(());
        };
        // The settings allow probes, and name `concurrent` and `depth` as the fields of their reports.
        match request.path.as_str() {
            "/-/healthy" => answer(&mut stream, "ok")?,
            "/-/load" => answer(&mut stream, "inflight=1,queue=0")?,
            _ if request.id().is_empty() => stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?,
            _ => {
                if let After::Close = handler(&request, &mut stream)? {
                    return Ok(());
                }
            }
        }
    }
}

/// The settings' `connIdleUs`.
const SERVER_IDLE: Duration = Duration::from_secs(15);

/// The counter: one call adds to a named number and gives its total.
fn counter_address() -> SocketAddr {
    static ADDRESS: OnceLock<SocketAddr> = OnceLock::new();
    *ADDRESS.get_or_init(|| {
        let totals: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let totals = Arc::clone(&totals);
                thread::spawn(move || -> io::Result<()> {
                    let mut reader = BufReader::new(stream.try_clone()?);
                    while let Some(request) = read_request(&mut reader)? {
                        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
                        let by = query.split('&').find_map(|part| part.strip_prefix("by=")).and_then(|text| text.parse::<f64>().ok());
                        let total = {
                            let mut totals = totals.lock().unwrap();
                            let total = totals.entry(path.to_owned()).or_default();
                            *total += by.unwrap_or(0.0);
                            total.to_string()
                        };
                        answer(&mut stream, &total)?;
                    }
                    Ok(())
                });
            }
        });
        address
    })
}

/// Writes a whole answer 200 with a length.
pub fn answer(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

// ------------------------------------------------------------------------------------------------------------- clients

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub class: String,
    pub tier: String,
    pub customer: u64,
    pub deadline: Duration,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub spread: usize,
    pub first: usize,
    pub post: bool,
}

impl Call {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.post { "POST" } else { "GET" };
        let mut text = format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tier: {}\r\nX-Deadline: {}m\r\nX-Call-Terms: units=1,spread={},first={}\r\n",
            self.class, self.customer, self.id, self.class, self.tier, self.deadline.as_millis(), self.spread, self.first
        );
        if let Some(key) = &self.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if self.post {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Status; 0 if no head came.
    pub status: u16,
    pub body: Vec<u8>,
    /// The answer came whole.
    pub whole: bool,
    /// The connection ended, failed or was refused before the answer was whole.
    pub broken: bool,
    /// The connection was refused or ended before any byte of an answer.
    pub no_byte: bool,
    /// From the last byte of the request to the answer's last byte, or to the sign that none comes.
    pub took: Duration,
    pub closes: bool,
}

struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        match self.stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            other => other,
        }
    }
}

/// A client's connection to a node, kept from one request to the next.
pub struct ClientConnection {
    stream: TcpStream,
}

impl ClientConnection {
    pub fn open(address: SocketAddr) -> io::Result<ClientConnection> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        Ok(ClientConnection { stream })
    }
    /// Sends a request and waits for its answer for `patience` at most.
    pub fn call(&mut self, call: &Call, patience: Duration) -> Reply {
        let mut reply = Reply::default();
        if self.stream.write_all(&call.bytes()).is_err() {
            (reply.broken, reply.no_byte) = (true, true);
            return reply;
        }
        let sent_at = Instant::now();
        let Ok(stream) = self.stream.try_clone() else {
            reply.broken = true;
            return reply;
        };
        let timed = Timed {
            stream,
            until: sent_at + patience,
        };
        let mut reader = BufReader::new(timed);
        let read = read_reply(&mut reader, &mut reply);
        reply.took = sent_at.elapsed();
        match read {
            Ok(()) => reply.whole = true,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
            Err(_) => {
                reply.broken = true;
                reply.no_byte = reply.status == 0;
            }
        }
        reply
    }
}

fn read_reply(reader: &mut impl BufRead, reply: &mut Reply) -> io::Result<()> {
    let first = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    reply.status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let headers = read_headers(reader)?;
    reply.closes = headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if let Some(length) = headers.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
        reply.body = vec![0; length];
        return reader.read_exact(&mut reply.body);
    }
    if headers.get("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            reply.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    reader.read_to_end(&mut reply.body).map(drop)
}

/// Asks a node whether it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, ms(300))?;
        stream.set_read_timeout(Some(ms(500)))?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}

pub fn wait_ready(address: SocketAddr, patience: Duration) -> bool {
    let until = Instant::now() + patience;
    while Instant::now() < until {
        if is_ready(address) {
            return true;
        }
        thread::sleep(ms(20));
    }
    false
}

// --------------------------------------------------------------------------------------------------------------- nodes

/// The folder of the repository: the one above `review/`.
pub fn root() -> PathBuf {
    let root = std::env::var_os("REVIEW_ROOT").map(PathBuf::from);
    root.unwrap_or_else(|| std::env::current_dir().unwrap())
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next()).map(str::to_owned);
    command.unwrap_or_else(|| {
        eprintln!("deploy/balancer.toml names no command to run");
        std::process::exit(COULD_NOT_RUN)
    })
}

/// A plan of the settings.
#[derive(Clone, Debug)]
pub struct Plan {
    pub name: &'static str,
    pub rate: f64,
    pub burst: f64,
    pub at_once: u32,
    pub cap_rate: f64,
    pub cap_depth: f64,
    pub cap_slack: f64,
}

/// Settings of a fleet, in the form and with the usual values of the wire page's example.
#[derive(Clone, Debug)]
pub struct Settings {
    pub nodes: usize,
    pub plans: Vec<Plan>,
    /// `read_like`, `idempotency_key` or `non_idempotent` of `run-submit`.
    pub submit: &'static str,
}

impl Settings {
    pub fn usual(nodes: usize) -> Settings {
        let plan = |name, rate, burst| Plan {
            name,
            rate,
            burst,
            at_once: 0,
            cap_rate: 0.0,
            cap_depth: 0.0,
            cap_slack: 0.0,
        };
        Settings {
            nodes,
            plans: vec![
                plan("semilla", 0.71, 4.0),
                plan("brote", 2.0, 11.0),
                Plan {
                    at_once: 2,
                    cap_rate: 9.2,
                    cap_depth: 14.0,
                    cap_slack: 1.0,
                    ..plan("milpa", 4.7, 7.0)
                },
                plan("cosecha", 12.0, 30.0),
            ],
            submit: "idempotency_key",
        }
    }
    pub fn json(&self, me: usize) -> String {
        let plans: Vec<String> = self
            .plans
            .iter()
            .map(|plan| {
                format!(
                    "{{\"atOnce\":{},\"capRate\":{:.3},\"capSlack\":{:.3},\"name\":\"{}\",\"neverOverDepth\":{:.3},\"overWorth\":0.0,\"overrunCost\":0.6,\"price\":1.0,\"rate\":{:.3},\"storeSize\":{:.3}}}",
                    plan.at_once, plan.cap_rate, plan.cap_slack, plan.name, plan.cap_depth, plan.rate, plan.burst
                )
            })
            .collect();
        format!(
            concat!(
                "{{\"balancers\":{nodes},\"me\":{me},\"layer\":0,\"periodUs\":2000,\"discovery\":\"automatic\",\"kindOfService\":\"gate\",",
                "\"zone\":\"{zone}\",\"zones\":[\"sala-norte\",\"sala-sur\"],\"kinds\":[\"std-2c\"],\"tiers\":[\"tablero-fleet\"],\"weights\":\"off\",",
                "\"ceilings\":{{\"cancel\":true,\"connIdleUs\":15000000,\"connectTimeoutUs\":250000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,",
                "\"maxRetryAfterUs\":500000,\"maxStreams\":100,\"mayTell\":true,\"mostHeld\":20000,\"probes\":true,\"retryAfter\":true,\"secondCopies\":false,\"sendCap\":6}},",
                "\"classes\":[",
                "{{\"aimUs\":800000,\"deadlineUs\":3000000,\"group\":\"all\",\"lateValue\":0.2,\"name\":\"board-read\",\"repeat\":\"read_like\",\"streamed\":false,\"windowUs\":5000000,\"worth\":3.0}},",
                "{{\"aimUs\":600000,\"deadlineUs\":2000000,\"group\":\"cell\",\"lateValue\":0.0,\"name\":\"run-submit\",\"repeat\":\"{submit}\",\"streamed\":false,\"windowUs\":2000000,\"worth\":2.0}}],",
                "\"clientHabits\":{{\"marksRetry\":true}},",
                "\"deductions\":{{\"connection\":0.0,\"crossZone\":0.02,\"discovery\":0.0,\"handshake\":0.0,\"lateFail\":0.03,\"moves\":0.0,\"origin\":0.0,\"peer\":0.01,\"probe\":0.01,\"waste\":0.03}},",
                "\"extra\":{{\"callPrice\":0.01,\"countLimitUs\":80000,\"hasCounter\":true,\"maxUnits\":1,\"peerInPerS\":60.0,\"postPaid\":false,\"usePeriodUs\":0}},",
                "\"goal\":{{\"whole\":0.55,\"worstClass\":0.0,\"worstTenant\":0.25,\"worstWindow\":0.2}},",
                "\"packages\":[{plans}],",
                "\"report\":{{\"fields\":[\"concurrent\",\"depth\"],\"source\":\"on_probe\"}},",
                "\"rules\":{{\"askWithinUs\":10000000,\"coldFrom\":0.21,\"coldUs\":17000000,\"drainGraceUs\":250000,\"fallMultiple\":3.0,\"graceToAnswerUs\":8000,\"overloadForUs\":1000000}}}}"
            ),
            nodes = self.nodes,
            me = me,
            zone = if me % 2 == 0 { "sala-norte" } else { "sala-sur" },
            submit = self.submit,
            plans = plans.join(",")
        )
    }
}

/// The addresses of a fleet's nodes.
#[derive(Clone, Debug)]
pub struct FleetAddresses {
    pub clients: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub admin: Vec<SocketAddr>,
}

impl FleetAddresses {
    pub fn new(nodes: usize) -> FleetAddresses {
        FleetAddresses {
            clients: (0..nodes).map(|_| free_tcp()).collect(),
            peers: (0..nodes).map(|_| free_udp()).collect(),
            admin: (0..nodes).map(|_| free_tcp()).collect(),
        }
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let base = std::env::temp_dir();
        let name = format!("review-{}-{}", std::process::id(), unix_ms());
        let path = base.join(name);
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running node. It is killed when this value is dropped.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

static STARTS: AtomicU64 = AtomicU64::new(0);

/// What a node is started with beyond the settings.
#[derive(Clone, Default)]
pub struct Extra {
    pub operator: Option<String>,
    pub known: Option<String>,
    pub admin: Option<SocketAddr>,
    pub environment: Vec<(String, String)>,
    /// Put before the command in the shell: for example the inheritance of a descriptor.
    pub prefix: String,
    /// The private folder; a new one otherwise.
    pub tmpdir: Option<PathBuf>,
    /// The clients' listener that the platform holds, inherited as descriptor 3 and named in `LB_LISTEN_FD`.
    pub listener: Option<Arc<TcpListener>>,
    /// The clients' listener that a service manager keeps and hands over (LISTEN_FDS, LISTEN_PID).
    pub handed: Option<Arc<TcpListener>>,
}

extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Starts a node. It ends with the calling thread at the latest, so that is the main one.
pub fn start_node(folder: &Folder, settings: &Settings, me: usize, fleet: &FleetAddresses, discovery: SocketAddr, extra: &Extra) -> Node {
    let start = STARTS.fetch_add(1, Ordering::Relaxed);
    let config = folder.0.join(format!("config-{me}-{start}.json"));
    let peers: Vec<String> = fleet.peers.iter().map(|address| format!("\"{address}\"")).collect();
    let known = extra.known.as_ref().map_or(String::new(), |known| format!("\"known\":{known},"));
    let admin = extra.admin.map_or(String::new(), |admin| format!("\"admin_addr\":\"{admin}\","));
    let text = format!(
        "{{\"name\":\"n{me}\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},{admin}\"peer_listen\":\"{}\",\"peers\":[{}],\"counter\":\"{}\",{known}\"settings\":{}}}",
        fleet.clients[me], 0x8c1f_30d2 + start, fleet.peers[me], peers.join(","), counter_address(), settings.json(me)
    );
    fs::write(&config, text).unwrap();
    let log = folder.0.join(format!("log-{me}-{start}.txt"));
    let tmpdir = extra.tmpdir.clone().unwrap_or_else(|| folder.0.join(format!("tmp-{me}-{start}")));
    fs::create_dir_all(&tmpdir).unwrap();
    let mut command = run_command();
    if let Some(operator) = &extra.operator {
        let path = folder.0.join(format!("operator-{me}-{start}.toml"));
        fs::write(&path, operator).unwrap();
        command += &format!(" --operator {}", path.display());
    }
    let output = File::create(&log).unwrap();
    let (mut prefix, mut input) = (extra.prefix.clone(), Stdio::null());
    if let Some(listener) = &extra.listener {
        input = Stdio::from(std::os::fd::OwnedFd::from(listener.try_clone().unwrap()));
        prefix += "exec 3<&0 0</dev/null; export LB_LISTEN_FD=3; ";
    }
    if let Some(listener) = &extra.handed {
        input = Stdio::from(std::os::fd::OwnedFd::from(listener.try_clone().unwrap()));
        prefix += "exec 3<&0 0</dev/null; export LISTEN_FDS=1 LISTEN_PID=$$; ";
    }
    let mut shell = Command::new("/bin/sh");
    // SAFETY: prctl is one system call on numbers. PR_SET_PDEATHSIG, SIGKILL: no node outlives this program, however it ends.
    unsafe {
        shell.pre_exec(|| {
            prctl(1, 9);
            Ok(())
        });
    }
    let child = shell
        .arg("-c")
        .arg(format!("{prefix}{command}"))
        .current_dir(root())
        .env("LB_NAME", format!("n{me}"))
        .env("LB_LISTEN", fleet.clients[me].to_string())
        .env("LB_DISCOVERY", discovery.to_string())
        .env("LB_CONFIG", &config)
        .env("TMPDIR", &tmpdir)
        .envs(extra.environment.iter().cloned())
        .stdin(input)
        .stdout(output.try_clone().unwrap())
        .stderr(output)
        .spawn()
        .unwrap_or_else(|error| {
            eprintln!("cannot start a node: {error}");
            std::process::exit(COULD_NOT_RUN)
        });
    Node {
        child,
        address: fleet.clients[me],
        log,
    }
}

impl Node {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One command to a node's operators' address.
pub fn operator_call(address: SocketAddr, line: &str) -> String {
    let ask = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, ms(300))?;
        stream.set_read_timeout(Some(ms(1000)))?;
        writeln!(stream, "{line}")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    ask().unwrap_or_default()
}

/// A flag that stops threads.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
