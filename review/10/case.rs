//! Case 10: app servers that etcd reports as removed at one stroke go on getting new work.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The grace of a drain, the 50 ms by which time limits are longer, and 200 ms for the report to be written to the nodes.
const GRACE: Duration = Duration::from_millis(250 + 50 + 200);
const REMOVED_AT: Duration = Duration::from_secs(6);
const SEND_UNTIL: Duration = Duration::from_secs(14);
/// The platform's discovery tells the removal so much later: "seconds late".
const DISCOVERY_LATE: Duration = Duration::from_secs(4);

/// The stand-in of etcd, as a process.
struct Etcd {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    members: Vec<String>,
}

impl Etcd {
    fn start() -> Option<Etcd> {
        let program = root().join("target/review-2/etcd");
        let mut child = Command::new(program).arg("1").stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().ok()?;
        let (input, mut output) = (child.stdin.take()?, BufReader::new(child.stdout.take()?));
        let mut line = String::new();
        output.read_line(&mut line).ok()?;
        let members = line.split_whitespace().map(str::to_owned).collect();
        Some(Etcd {
            child,
            input,
            output,
            members,
        })
    }
    fn command(&mut self, text: &str) -> String {
        let mut line = String::new();
        let _ = writeln!(self.input, "{text}").and_then(|()| self.input.flush());
        let _ = self.output.read_line(&mut line);
        line.trim().to_owned()
    }
}

impl Drop for Etcd {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() {
    let record = Record::create(&PathBuf::from("record.txt"));
    let at_one_stroke = trouble();
    record.line(&format!("removed at one stroke: {at_one_stroke}"));
    // Ten app servers: six are kept in etcd as well, all ten are told by the platform's discovery.
    let arrivals: Arc<Mutex<Vec<(usize, Instant, String)>>> = Arc::default();
    let mut hosts = Vec::new();
    for index in 0..10usize {
        let (record, arrivals) = (record.clone(), Arc::clone(&arrivals));
        let handler = move |request: &Request, stream: &mut TcpStream| {
            arrivals.lock().unwrap().push((index, Instant::now(), request.id().to_owned()));
            record.line(&format!("server s-{index}: {} has come", request.id()));
            thread::sleep(ms(30));
            answer(stream, &format!("answer to {}", request.id()))?;
            Ok(After::Keep)
        };
        hosts.push(Host {
            name: format!("s-{index}"),
            dial: start_server(Arc::new(handler)),
            site: if index < 6 { "sala-norte" } else { "sala-sur" }.to_owned(),
            block: index as u64 / 2,
            health: "ready".to_owned(),
            born_ms: 0,
        });
    }
    let Some(mut etcd) = Etcd::start() else {
        record.say("the stand-in of etcd can't be started");
        std::process::exit(COULD_NOT_RUN);
    };
    let prefix = "/saffronpaddle/servers/";
    for host in &hosts[..6] {
        let value = format!(
            "{{\"dial\":\"{}\",\"site\":\"{}\",\"block\":{},\"health\":\"ready\",\"share\":1.0,\"born_ms\":1700000000000}}",
            host.dial, host.site, host.block
        );
        etcd.command(&format!("put {prefix}{} {value}", host.name));
    }
    let discovery = Discovery::start(hosts);
    let (settings, fleet, folder) = (Settings::usual(2), FleetAddresses::new(2), Folder::new());
    let members: Vec<String> = etcd.members.iter().map(|member| format!("\"{member}\"")).collect();
    let extra = Extra {
        known: Some(discovery.list()),
        operator: Some(format!("[etcd]\nendpoints = [{}]\nprefix = \"{prefix}\"\n", members.join(", "))),
        ..Extra::default()
    };
    let nodes: Vec<Node> = (0..2).map(|me| start_node(&folder, &settings, me, &fleet, discovery.address, &extra)).collect();
    if !nodes.iter().all(|node| wait_ready(node.address, ms(15_000))) {
        record.say(&format!("a node is not ready: {}", nodes[0].log_text()));
        std::process::exit(COULD_NOT_RUN);
    }
    let started = Instant::now();
    let stop = Stop::default();
    let mut clients = Vec::new();
    for client in 0..10u64 {
        let (stop, address) = (stop.clone(), nodes[client as usize % 2].address);
        clients.push(thread::spawn(move || {
            let (mut served, mut other, mut number, mut kept) = (0, 0, 0, None);
            while !stop.is_set() {
                thread::sleep(ms(150));
                number += 1;
                let call = Call {
                    id: format!("c{client:02}x{number:05}"),
                    class: "board-read".to_owned(),
                    tier: "cosecha".to_owned(),
                    customer: 0x3000 + client,
                    deadline: ms(3000),
                    key: None,
                    body: Vec::new(),
                    spread: 2,
                    first: 0,
                    post: false,
                };
                let open = kept.take().map_or_else(|| ClientConnection::open(address), Ok);
                let reply = open.map_or_else(|_| Reply::default(), |mut connection| {
                    let reply = connection.call(&call, ms(3500));
                    if reply.whole && !reply.closes {
                        kept = Some(connection);
                    }
                    reply
                });
                if reply.status == 200 { served += 1 } else { other += 1 }
            }
            (served, other)
        }));
    }
    thread::sleep(REMOVED_AT);
    let mut removed_at: HashMap<usize, Instant> = HashMap::new();
    if at_one_stroke {
        let keys: Vec<String> = (0..6).map(|index| format!("{prefix}s-{index}")).collect();
        let revision = etcd.command(&format!("delete {}", keys.join(" ")));
        record.line(&format!("etcd: s-0 to s-5 deleted in one revision, {revision}"));
        removed_at.extend((0..6).map(|index| (index, Instant::now())));
    } else {
        for index in 0..6 {
            let revision = etcd.command(&format!("delete {prefix}s-{index}"));
            record.line(&format!("etcd: s-{index} deleted, {revision}"));
            removed_at.insert(index, Instant::now());
        }
    }
    thread::sleep(DISCOVERY_LATE);
    (0..6).for_each(|index| discovery.set_health(&format!("s-{index}"), "gone"));
    record.line("discovery: s-0 to s-5 told as gone");
    thread::sleep(SEND_UNTIL.saturating_sub(started.elapsed()));
    stop.set();
    let ends: Vec<(u32, u32)> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let (served, other) = ends.iter().fold((0, 0), |sum, end| (sum.0 + end.0, sum.1 + end.1));
    let (mut after, mut latest) = (0, Duration::ZERO);
    for (index, at, id) in arrivals.lock().unwrap().iter() {
        let Some(removed) = removed_at.get(index) else { continue };
        let since = at.saturating_duration_since(*removed);
        if since > GRACE {
            (after, latest) = (after + 1, latest.max(since));
            record.line(&format!("new work at removed s-{index}: {id}, {:.3} s after its removal was reported", since.as_secs_f64()));
        }
    }
    record.say(&format!(
        "requests served {served}, others {other}; new work at removed servers after the grace {after}, the latest {:.2} s after the report",
        latest.as_secs_f64()
    ));
    for node in &nodes {
        node.log_text().lines().filter(|line| line.contains("etcd")).for_each(|line| record.line(&format!("log: {line}")));
    }
    drop(nodes);
    drop(etcd);
    drop(folder);
    if served == 0 {
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if after > 0 { BROKEN } else { HELD });
}
