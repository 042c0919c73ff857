//! Case 9: in a fleet of 24 nodes, slow uploads pass a customer's hard ceiling all at once.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The ceiling of the customer's plan: units a second and units at once.
const CEILING_RATE: f64 = 9.2;
const CEILING_DEPTH: f64 = 14.0;
/// A tenth of the store or one of the largest requests (1 unit), whichever is more; and what the rate gives in 150 ms.
const SLACK: f64 = 1.4 + CEILING_RATE * 0.15;
const UPLOADS: u64 = 40;
const NODES: usize = 24;
/// Uploads begin so far apart: 4 a second, within the quota of 4.7 a second.
const BETWEEN: Duration = Duration::from_millis(250);
/// A slow client's rate, as the page gives it.
const BYTES_PER_S: u64 = 64_000;

fn main() {
    let record = Record::create(&PathBuf::from("record.txt"));
    let slow = trouble();
    // All uploads end about this long after the first one has begun.
    let ends_after: u64 = std::env::var("ENDS_AFTER_S").ok().and_then(|text| text.parse().ok()).unwrap_or(22);
    record.line(&format!("slow clients: {slow}"));
    // When the first attempt of each request came whole to an app server.
    let runs: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut hosts = Vec::new();
    for index in 0..6u64 {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        let handler = move |request: &Request, stream: &mut TcpStream| {
            runs.lock().unwrap().entry(request.id().to_owned()).or_insert_with(Instant::now);
            record.line(&format!("server s-{index}: {} has come whole, {} bytes", request.id(), request.body.len()));
            thread::sleep(ms(50));
            answer(stream, &format!("answer to {}", request.id()))?;
            Ok(After::Keep)
        };
        hosts.push(Host {
            name: format!("s-{index}"),
            dial: start_server(Arc::new(handler)),
            site: if index % 2 == 0 { "sala-norte" } else { "sala-sur" }.to_owned(),
            block: index / 2,
            health: "ready".to_owned(),
            born_ms: 0,
        });
    }
    let discovery = Discovery::start(hosts);
    let (settings, fleet, folder) = (Settings::usual(NODES), FleetAddresses::new(NODES), Folder::new());
    let extra = Extra {
        known: Some(discovery.list()),
        ..Extra::default()
    };
    let mut nodes: Vec<Node> = (0..NODES).map(|me| start_node(&folder, &settings, me, &fleet, discovery.address, &extra)).collect();
    if !nodes.iter().all(|node| wait_ready(node.address, ms(10_000))) {
        record.say("a node is not ready");
        std::process::exit(COULD_NOT_RUN);
    }
    // The owners' parts of the ceiling start empty and are full after some 2 s.
    thread::sleep(ms(5000));
    let began = Instant::now();
    let mut clients = Vec::new();
    for number in 0..UPLOADS {
        let begins_at = began + BETWEEN * number as u32;
        let size = BYTES_PER_S * ends_after - BYTES_PER_S * number / 4;
        let (address, record) = (nodes[(number % 2) as usize].address, record.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(begins_at.saturating_duration_since(Instant::now()));
            let status = upload(address, number, size, slow, &record);
            record.line(&format!("client: up{number:04} status {status:?}"));
            status
        }));
    }
    let statuses: Vec<Option<u16>> = clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    thread::sleep(ms(300));
    let count = |wanted: u16| statuses.iter().filter(|status| **status == Some(wanted)).count();
    // The ceiling's store, drawn on as the requests came whole to the app servers.
    let mut runs: Vec<Instant> = runs.lock().unwrap().values().copied().collect();
    runs.sort();
    let (mut level, mut lowest, mut last) = (CEILING_DEPTH, CEILING_DEPTH, began);
    for at in &runs {
        let span = at.saturating_duration_since(last).as_secs_f64();
        level = (level + span * CEILING_RATE).min(CEILING_DEPTH) - 1.0;
        (lowest, last) = (f64::min(lowest, level), *at);
        record.line(&format!("ceiling: a unit at {:.4}, {level:.2} left", record.at(*at)));
    }
    record.say(&format!(
        "uploads {UPLOADS}, served {}, refused {}, come whole to app servers {}; the ceiling's store fell to {lowest:.2} (slack {SLACK:.2})",
        count(200), count(503), runs.len()
    ));
    let ended: Vec<String> = nodes.iter_mut().filter_map(Node::has_ended).collect();
    drop(nodes);
    drop(folder);
    if !ended.is_empty() || runs.is_empty() {
        record.say(&format!("could not run: {ended:?}"));
        std::process::exit(COULD_NOT_RUN);
    }
    std::process::exit(if lowest < -SLACK { BROKEN } else { HELD });
}

/// Sends one upload, slowly or at once, and returns the status of its answer.
fn upload(address: std::net::SocketAddr, number: u64, size: u64, slow: bool, record: &Record) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "POST /run-submit/0000000000004242 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: up{number:04}\r\nX-Class: run-submit\r\nX-Tier: milpa\r\nX-Deadline: 2000m\r\nIdempotency-Key: key{number:04}\r\nX-Call-Terms: units=1,spread=2,first=0\r\nContent-Length: {size}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    record.line(&format!("client: up{number:04} begins, {size} bytes"));
    let began = Instant::now();
    let step = BYTES_PER_S / 10;
    let mut sent = 0;
    while sent < size {
        let piece = step.min(size - sent);
        if stream.write_all(&vec![b'a'; piece as usize]).is_err() {
            record.line(&format!("client: up{number:04} can't write after {sent} bytes"));
            break;
        }
        sent += piece;
        if slow {
            let due = began + Duration::from_secs_f64(sent as f64 / BYTES_PER_S as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
    record.line(&format!("client: up{number:04} has sent its last byte"));
    stream.set_read_timeout(Some(ms(4000))).ok()?;
    let mut text = [0u8; 64];
    let length = BufReader::new(stream).read(&mut text).ok()?;
    String::from_utf8_lossy(&text[..length]).split(' ').nth(1)?.parse().ok()
}
