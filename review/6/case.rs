//! Case 6: an app server's short answer that never ends leaves the request without an end.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the page allows after a request's time, with the 50 ms by which time limits are longer on sockets.
const GRACE: Duration = Duration::from_millis(550);
/// How long clients stay beyond their time, to see what becomes of the request.
const STAY: Duration = Duration::from_millis(12_000);
/// From this time on the spoilt answers are played, and to this one requests are sent.
const SPOILT_FROM: Duration = Duration::from_secs(3);
const SEND_UNTIL: Duration = Duration::from_secs(15);
const BETWEEN_REQUESTS: Duration = Duration::from_millis(60);

fn main() {
    let record = Record::create(&PathBuf::from("record.txt"));
    let spoils = trouble();
    record.line(&format!("spoilt answers: {spoils}"));
    // Four app servers. One in 25 of their answers never ends: its head and its first bytes come, then a few bytes a
    // second (or none, every other time), as long as the connection stands. None of them comes near 64 KiB.
    let spoilt: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut hosts = Vec::new();
    for index in 0..4u64 {
        let (record, spoilt) = (record.clone(), Arc::clone(&spoilt));
        let count = Mutex::new(index * 6);
        let handler = move |request: &Request, stream: &mut TcpStream| {
            thread::sleep(ms(30));
            let number = {
                let mut number = count.lock().unwrap();
                *number += 1;
                *number
            };
            let body = format!("answer to {} by s-{index}", request.id());
            if spoils && record.now() > SPOILT_FROM && number % 25 == 0 {
                let trickles = number % 2 == 0;
                record.line(&format!("server s-{index}: {} is answered without an end (trickles: {trickles})", request.id()));
                spoilt.lock().unwrap().push(request.id().to_owned());
                write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len())?;
                let began = Instant::now();
                while began.elapsed() < Duration::from_secs(40) {
                    thread::sleep(ms(1000));
                    if trickles {
                        stream.write_all(b"5\r\nmore \r\n")?;
                    }
                }
                return Ok(After::Close);
            }
            record.line(&format!("server s-{index}: {} has run", request.id()));
            answer(stream, &body)?;
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
    let (settings, fleet, folder) = (Settings::usual(2), FleetAddresses::new(2), Folder::new());
    let extra = Extra {
        known: Some(discovery.list()),
        ..Extra::default()
    };
    let nodes: Vec<Node> = (0..2).map(|me| start_node(&folder, &settings, me, &fleet, discovery.address, &extra)).collect();
    if !nodes.iter().all(|node| wait_ready(node.address, ms(10_000))) {
        record.say("a node is not ready");
        std::process::exit(COULD_NOT_RUN);
    }
    // Clients: reads of many customers within their quotas, through both nodes in turn.
    let started = Instant::now();
    let results: Arc<Mutex<Vec<(String, Duration, Reply)>>> = Arc::default();
    let mut clients = Vec::new();
    let mut number = 0usize;
    while started.elapsed() < SEND_UNTIL {
        let deadline = ms(3000);
        let call = Call {
            id: format!("rq{number:08x}"),
            class: "board-read".to_owned(),
            tier: "cosecha".to_owned(),
            customer: 0x1000 + (number % 20) as u64,
            deadline,
            key: None,
            body: Vec::new(),
            spread: 2,
            first: 0,
            post: false,
        };
        let (address, record, results) = (nodes[number % 2].address, record.clone(), Arc::clone(&results));
        clients.push(thread::spawn(move || {
            record.line(&format!("client: {} sent", call.id));
            let reply = match ClientConnection::open(address) {
                Ok(mut connection) => connection.call(&call, deadline + STAY),
                Err(_) => Reply {
                    broken: true,
                    no_byte: true,
                    ..Reply::default()
                },
            };
            record.line(&format!(
                "client: {} status {} whole {} broken {} bytes {} after {:.3} s",
                call.id, reply.status, reply.whole, reply.broken, reply.body.len(), reply.took.as_secs_f64()
            ));
            results.lock().unwrap().push((call.id, deadline, reply));
        }));
        number += 1;
        thread::sleep(BETWEEN_REQUESTS);
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let (mut served, mut refused, mut failed, mut lost) = (0, 0, 0, 0);
    let mut longest = Duration::ZERO;
    for (id, deadline, reply) in results.iter() {
        let in_time = reply.took <= *deadline + GRACE;
        if in_time && reply.whole && reply.status == 200 {
            served += 1;
        } else if in_time && reply.whole && (reply.status == 503 || reply.status == 429) {
            refused += 1;
        } else if in_time && (reply.whole || (reply.broken && !reply.no_byte)) {
            // Failed; or an answer that had begun and is seen not to be whole.
            failed += 1;
        } else {
            lost += 1;
            longest = longest.max(reply.took);
            record.line(&format!("lost: {id}, status {}, no end after {:.3} s", reply.status, reply.took.as_secs_f64()));
        }
    }
    record.say(&format!(
        "sent {number}, served {served}, refused {refused}, failed {failed}, without an end {lost} (seen for up to {:.2} s); answers spoilt: {}",
        longest.as_secs_f64(),
        spoilt.lock().unwrap().len()
    ));
    drop(nodes);
    drop(folder);
    std::process::exit(if lost > 0 { BROKEN } else { HELD });
}
