//! Case 8: requests that come to a listener kept by the service manager, while the node that is told to end finishes what it has.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_millis(550);
const SIGTERM_AT: Duration = Duration::from_secs(4);
/// New connections go on coming for so long after SIGTERM.
const FRONT_NOTICES: Duration = Duration::from_millis(300);

fn main() {
    let record = Record::create(&PathBuf::from("record.txt"));
    let restarts = trouble();
    let mut hosts = Vec::new();
    for index in 0..8u64 {
        let record = record.clone();
        let handler = move |request: &Request, stream: &mut TcpStream| {
            thread::sleep(ms(60));
            record.line(&format!("server s-{index}: {} has run", request.id()));
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
    let mut settings = Settings::usual(2);
    settings.submit = "idempotency_key";
    let (fleet, folder) = (FleetAddresses::new(2), Folder::new());
    // The service manager keeps the listener and hands it to each process.
    let listener = Arc::new(TcpListener::bind(fleet.clients[0]).unwrap());
    let extra = Extra {
        known: Some(discovery.list()),
        operator: Some("[listen]\nhanded_over = true\n".to_owned()),
        handed: Some(Arc::clone(&listener)),
        ..Extra::default()
    };
    let mut node = start_node(&folder, &settings, 0, &fleet, discovery.address, &extra);
    if !wait_ready(node.address, ms(10_000)) {
        record.say(&format!("the node is not ready: {}", node.log_text()));
        std::process::exit(COULD_NOT_RUN);
    }
    let address = node.address;
    let started = Instant::now();
    // One client uploads 4 MB at 64 kB a second all the while.
    let uploads = record.clone();
    thread::spawn(move || -> std::io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        let head = "POST /run-submit/0000000000009999 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: upload\r\nX-Class: run-submit\r\nX-Tier: cosecha\r\nX-Deadline: 2000m\r\nIdempotency-Key: upload\r\nX-Call-Terms: units=1,spread=2,first=0\r\nContent-Length: 4000000\r\n\r\n";
        stream.write_all(head.as_bytes())?;
        for _ in 0..625 {
            if let Err(error) = stream.write_all(&[b'a'; 6400]) {
                uploads.line(&format!("client: the upload has ended: {error}"));
                return Ok(());
            }
            thread::sleep(ms(100));
        }
        Ok(())
    });
    let results: Arc<Mutex<Vec<(String, Duration, Duration, Reply)>>> = Arc::default();
    let (mut clients, mut number) = (Vec::new(), 0u64);
    let mut told = None;
    let mut restarted = false;
    let mut ended_after = Duration::ZERO;
    loop {
        let now = started.elapsed();
        if now > SIGTERM_AT && told.is_none() {
            told = Some(Instant::now());
            if restarts {
                node.signal("TERM");
                record.line("SIGTERM to the node");
            }
        }
        if let Some(at) = told {
            if !restarted && node.has_ended().is_some() {
                ended_after = at.elapsed();
                record.line(&format!("the node has ended {:.3} s after SIGTERM; the next one is started", ended_after.as_secs_f64()));
                node = start_node(&folder, &settings, 0, &fleet, discovery.address, &extra);
                restarted = true;
            }
            if at.elapsed() > ms(9000) {
                break;
            }
        }
        // The front sends until it has noticed, and again once the next process has been up for a while.
        let sends = !restarts || told.is_none_or(|at| at.elapsed() < FRONT_NOTICES || (restarted && at.elapsed() > ms(6000)));
        if sends && number < now.as_millis() as u64 / 12 {
            number = now.as_millis() as u64 / 12;
            let submit = number % 5 < 2;
            let deadline = ms(if submit { 1000 + number % 7 * 150 } else { 1500 + number % 7 * 250 });
            let call = Call {
                id: format!("rq{number:06}"),
                class: if submit { "run-submit" } else { "board-read" }.to_owned(),
                tier: "cosecha".to_owned(),
                customer: 0x1000 + number % 40,
                deadline,
                key: submit.then(|| format!("key{number}")),
                body: if submit { vec![b'a'; 200] } else { Vec::new() },
                spread: 2,
                first: 0,
                post: submit,
            };
            let (record, results) = (record.clone(), Arc::clone(&results));
            clients.push(thread::spawn(move || {
                let sent = started.elapsed();
                let reply = match ClientConnection::open(address) {
                    Ok(mut connection) => connection.call(&call, call.deadline + ms(2500)),
                    Err(_) => Reply { status: 1, broken: true, no_byte: true, ..Reply::default() },
                };
                record.line(&format!("client: {} sent at {:.3} deadline {:.2} status {} whole {} broken {} after {:.3}", call.id, sent.as_secs_f64(), call.deadline.as_secs_f64(), reply.status, reply.whole, reply.broken, reply.took.as_secs_f64()));
                results.lock().unwrap().push((call.id, call.deadline, sent, reply));
            }));
        }
        thread::sleep(ms(2));
    }
    for client in clients {
        let _ = client.join();
    }
    let (mut served, mut refused, mut failed, mut unread, mut lost) = (0, 0, 0, 0, 0);
    for (id, deadline, sent, reply) in results.lock().unwrap().iter() {
        if reply.status == 1 {
            unread += 1;
        } else if reply.took > *deadline + GRACE || (!reply.whole && !reply.broken) {
            lost += 1;
            record.line(&format!("lost: {id}, sent at {:.3}, deadline {:.2} s, status {} after {:.3} s", sent.as_secs_f64(), deadline.as_secs_f64(), reply.status, reply.took.as_secs_f64()));
        } else if reply.broken && reply.no_byte {
            lost += 1;
            record.line(&format!("lost: {id}, closed with no answer"));
        } else if reply.whole && reply.status == 200 {
            served += 1;
        } else if reply.whole && reply.status == 503 {
            refused += 1;
        } else {
            failed += 1;
        }
    }
    record.say(&format!("served {served}, refused {refused}, failed {failed}, not connected {unread}, lost {lost}; the process ended {:.2} s after SIGTERM", ended_after.as_secs_f64()));
    drop(node);
    drop(folder);
    std::process::exit(if restarts && !restarted { COULD_NOT_RUN } else if lost > 0 { BROKEN } else { HELD });
}
