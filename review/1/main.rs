//! Case 1: see claim.txt.
#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Edge nodes.
const NODES: usize = 2;
const SERVERS: usize = 4;
const CLIENTS: u64 = 8;
const DURATION: Duration = Duration::from_secs(60);
const BODY_BYTES: usize = 96 * 1024;
const CHUNK_BYTES: usize = 8 * 1024;

/// What an app server has run: id, server, length and hash of the body.
type Runs = Arc<Mutex<Vec<(String, usize, usize, u64)>>>;

/// An app server that answers each complete request. With `closes` it closes each connection that has been idle for a
/// time drawn between 20 and 60 ms after an answer; otherwise once it has been idle for the time in the settings.
fn app_server(number: usize, closes: bool, runs: Runs, record: Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an app server binds");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for (index, stream) in listener.incoming().flatten().enumerate() {
            let (runs, record) = (Arc::clone(&runs), record.clone());
            let random = Random((number as u64) << 32 | index as u64);
            thread::spawn(move || {
                let _ = serve(number, stream, closes, random, &runs, &record);
            });
        }
    });
    address
}

fn serve(
    number: usize,
    stream: TcpStream,
    closes: bool,
    mut random: Random,
    runs: &Runs,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    let mut idle = CONNECTION_IDLE;
    loop {
        let Some(head) = next_request(&mut reader, Some(idle))? else {
            return Ok(());
        };
        let id = head.header("x-request-id").to_owned();
        if head.path().starts_with("/-/") {
            write_response(&mut writer, "200 OK", "", b"inflight=0,queue=0")?;
        } else {
            // An incomplete request is no request: the function returns here, and nothing has run.
            let body = read_body(&mut reader, &head)?;
            record.line(&format!(
                "server {number} runs {id}: body of {} bytes, hash {:016x}",
                body.len(),
                hash(&body)
            ));
            runs.lock().unwrap().push((id.clone(), number, body.len(), hash(&body)));
            sleep_ms(2);
            write_response(&mut writer, "200 OK", "", format!("done {id}").as_bytes())?;
        }
        if closes {
            idle = Duration::from_micros(random.between(20_000, 60_000));
        }
    }
}

fn main() {
    let (root, folder, temporary) = folders();
    let record = Record::create(&folder.join("record.txt"));
    let closes = trouble();
    let runs = Runs::default();
    let hosts: Vec<Host> = (0..SERVERS)
        .map(|number| Host {
            host: format!("s-{number:08x}"),
            dial: app_server(number, closes, Arc::clone(&runs), record.clone()),
            site: "sala-sur",
            block: 0,
            health: "ready",
            born_ms: 0,
        })
        .collect();
    let discovery = Discovery::start(hosts.clone());
    let classes = [Class {
        name: "run-submit",
        aim_ms: 600,
        deadline_ms: 2000,
        repeat: "idempotency_key",
        group: "cell",
        window_ms: 2000,
        worth: 2.0,
    }];
    let mut fleet = start_fleet(NODES, &root, &temporary, &classes, &discovery, &hosts, &record);
    let listen: Vec<SocketAddr> = fleet.iter().map(|node| node.listen).collect();
    let sent: Arc<Mutex<HashMap<String, (usize, u64)>>> = Arc::default();
    let statuses: Arc<Mutex<HashMap<u16, u64>>> = Arc::default();
    let number = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + DURATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let listen = listen.clone();
            let (sent, statuses, number, record) = (
                Arc::clone(&sent),
                Arc::clone(&statuses),
                Arc::clone(&number),
                record.clone(),
            );
            thread::spawn(move || {
                let mut random = Random(0x5eed + client);
                let mut connection: Option<TcpStream> = None;
                let listen = listen[client as usize % NODES];
                while Instant::now() < until {
                    sleep_ms(random.between(20, 80));
                    let id = format!("{:016x}", 0x9b1f_0000_0000_0000u64 + number.fetch_add(1, Ordering::Relaxed));
                    let status = request(&mut connection, listen, client, &id, &mut random, &sent, &record);
                    record.line(&format!("client {client} got {status} for {id}"));
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let alive = fleet.iter_mut().all(Node::runs);
    drop(fleet);
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let mut wrong = 0;
    for (id, server, length, hash) in runs.iter() {
        match sent.get(id) {
            Some((sent_length, sent_hash)) if sent_length == length && sent_hash == hash => {}
            Some((sent_length, _)) => {
                wrong += 1;
                record.say(&format!(
                    "BROKEN: server {server} ran {id} with a body of {length} bytes; its client had sent {sent_length}"
                ));
            }
            None => record.say(&format!("server {server} ran {id}, which nobody sent")),
        }
    }
    let mut statuses: Vec<_> = statuses.lock().unwrap().clone().into_iter().collect();
    statuses.sort_unstable();
    record.say(&format!(
        "{} requests sent, {} run, {wrong} with another body than sent; answers {statuses:?}; nodes alive {alive}",
        sent.len(),
        runs.len()
    ));
    let served = statuses.iter().any(|(status, count)| *status == 200 && *count > 100);
    std::process::exit(if wrong > 0 {
        1
    } else if served && alive {
        0
    } else {
        COULD_NOT_RUN
    });
}

/// Sends one request with a chunked body and returns the status of its answer; 0 if there was none.
fn request(
    connection: &mut Option<TcpStream>,
    listen: SocketAddr,
    client: u64,
    id: &str,
    random: &mut Random,
    sent: &Mutex<HashMap<String, (usize, u64)>>,
    record: &Record,
) -> u16 {
    let mut body = vec![0; BODY_BYTES];
    for piece in body.chunks_mut(8) {
        piece.copy_from_slice(&random.next().to_le_bytes()[..piece.len()]);
    }
    sent.lock().unwrap().insert(id.to_owned(), (body.len(), hash(&body)));
    record.line(&format!(
        "client {client} sends {id}: body of {} bytes, hash {:016x}",
        body.len(),
        hash(&body)
    ));
    let mut bytes = format!(
        "POST /run-submit/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: run-submit\r\nX-Tier: cosecha\r\nX-Deadline: 2000m\r\nIdempotency-Key: {id}{id}\r\nX-Call-Terms: units=1,spread=2,first=0\r\nTransfer-Encoding: chunked\r\n\r\n",
        0xb4d6_5500u64 + client
    )
    .into_bytes();
    for piece in body.chunks(CHUNK_BYTES) {
        bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    // A kept connection that the node has closed between requests: the request is sent once more on a new one.
    for _ in 0..2 {
        let reused = connection.is_some();
        let stream = match connection.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(listen) {
                Ok(stream) => stream,
                Err(_) => return 0,
            },
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        match exchange(&stream, &bytes) {
            Ok(Some((status, keeps))) => {
                if keeps {
                    *connection = Some(stream);
                }
                return status;
            }
            // Ended before the first byte of an answer.
            Ok(None) if reused => {}
            Err(error) if reused && is_end(&error) => {}
            _ => return 0,
        }
    }
    0
}

/// Whether the error says that the connection has ended. A time-out does not.
fn is_end(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset)
}

fn exchange(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<Option<(u16, bool)>> {
    stream.write_all(bytes)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(None);
    };
    read_body(&mut reader, &head)?;
    let keeps = !head.header("connection").eq_ignore_ascii_case("close");
    Ok(Some((head.status(), keeps)))
}
