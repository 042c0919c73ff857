//! One process with the least memory that a deployment gives, in front of crowds of clients that are each within their
//! limits and whose sum is not: it stays within its memory, and serves the sound clients among them.

use saffronpaddle_test_doubles::scripted::*;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The process's memory in the configuration, MB, and what may be resident at the most, kB.
const MEMORY_MB: u64 = 32;
const MEMORY_LIMIT_KB: u64 = MEMORY_MB * 1000 * 1000 / 1024;
/// The process's descriptors.
const SOCKETS: usize = 1024;
const SERVERS: u32 = 10;
/// Rate at which servers read bodies, bytes a second.
const SERVER_READ_RATE: usize = 40_000;
/// How long a crowd stays.
const CROWD_DURATION: Duration = Duration::from_secs(8);
/// How often a sound client comes, with a deadline for each of its requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const SOUND_DEADLINE: (&str, Duration) = ("3000m", Duration::from_secs(3));
/// A slow client writes its request in this many parts, with this interval between them.
const SLOW_PARTS: usize = 20;
const SLOW_PART_INTERVAL: Duration = Duration::from_millis(90);
/// Length of the long responses that sound clients read, in bytes, and the rate at which they do, in bytes a second.
const LONG_RESPONSE_BYTES: usize = 600_000;
const LONG_READ_RATE: usize = 150_000;

/// Rate at which a slow client of a crowd writes and reads, bytes a second.
const SLOW_RATE: usize = 64_000;
const READ_RATE: usize = 20_000;
/// How many texts a client that floods the node writes at once.
const FLOOD_BATCH: usize = 20;

/// A request line and headers up to the framing, of a customer of its own.
fn crowd_head(number: usize, class: &str, query: &str) -> String {
    let (method, key) = match class {
        "read" => ("GET", ""),
        _ => ("POST", "Idempotency-Key: 5c0f6e1a\r\n"),
    };
    let customer = 0x1000 + number % 5000;
    format!(
        "{method} /{class}/{customer:016x}?{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: crowd-{number}-{query}\r\n\
         X-Class: {class}\r\nX-Tier: p\r\nX-Deadline: 30000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n{key}"
    )
}

/// Clients that write a long head slowly and do not end it.
fn long_heads() -> CrowdScript {
    CrowdScript {
        filler_bytes: 31_000,
        write_rate: SLOW_RATE / 2,
        ..CrowdScript::fast(|number| crowd_head(number, "read", "a=1") + "X-Long: ")
    }
}

/// Clients that send a head of many short fields and do not end it.
fn short_fields() -> CrowdScript {
    CrowdScript {
        write_rate: SLOW_RATE,
        ..CrowdScript::fast(|number| {
            let mut head = crowd_head(number, "read", "b=1");
            for field in 0..86 {
                let _ = write!(head, "a{field}:1\r\n");
            }
            head
        })
    }
}

/// Clients that send complete heads of many short fields.
fn complete_short_fields() -> CrowdScript {
    CrowdScript {
        start: |number| (short_fields().start)(number) + "\r\n",
        ..short_fields()
    }
}

/// Clients that stop near the end of a body that is kept.
fn stopped_bodies() -> CrowdScript {
    CrowdScript {
        filler_bytes: 60_000,
        ..CrowdScript::fast(|number| {
            crowd_head(number, "submit", "c=1") + "Content-Length: 65000\r\n\r\n"
        })
    }
}

/// Clients that stop half way through a body that goes by.
fn stopped_uploads() -> CrowdScript {
    CrowdScript {
        filler_bytes: 150_000,
        ..CrowdScript::fast(|number| {
            crowd_head(number, "submit", "d=1") + "Content-Length: 300000\r\n\r\n"
        })
    }
}

/// Clients that send a large body steadily, which servers read more slowly.
fn large_uploads() -> CrowdScript {
    CrowdScript {
        filler_bytes: 20_000_000,
        write_rate: SLOW_RATE,
        ..CrowdScript::fast(|number| {
            crowd_head(number, "submit", "e=1") + "Content-Length: 20000000\r\n\r\n"
        })
    }
}

/// Clients that read a long response slowly.
fn slow_readers() -> CrowdScript {
    CrowdScript {
        read_rate: READ_RATE,
        ..CrowdScript::fast(|number| crowd_head(number, "read", "size=8000000") + "\r\n")
    }
}

/// Held by the test that runs: crowds of several tests at once would need more threads than a small machine serves in time.
static RUNNING: Mutex<()> = Mutex::new(());

/// What became of the requests of the sound clients.
#[derive(Debug, Default)]
struct SoundCounts {
    served: usize,
    /// What was seen of each other request.
    others: Vec<String>,
    slowest: Duration,
}

impl SoundCounts {
    fn record(&mut self, name: &str, status: Option<u16>, took: Duration) {
        self.slowest = self.slowest.max(took);
        if status == Some(200) && took < SOUND_DEADLINE.1 {
            self.served += 1;
        } else {
            self.others
                .push(format!("{name}: {status:?} after {took:?}"));
        }
    }

    fn add(&mut self, other: SoundCounts) {
        self.served += other.served;
        self.others.extend(other.others);
        self.slowest = self.slowest.max(other.slowest);
    }
}

/// A request of a sound client, of a customer of its own.
fn sound_request(name: &str, number: usize, class: &str, query: &str) -> String {
    request(&format!("{name}-{number}"), class, SOUND_DEADLINE.0).replace(
        "b4d65521?game=7",
        &format!("{:08x}?{query}", 0x9000 + number % 100),
    )
}

/// Opens a connection and writes a request in parts. Returns the status, once the response has been read.
fn ask(node: SocketAddr, text: &str, parts: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(node).ok()?;
    stream.set_read_timeout(Some(SOUND_DEADLINE.1 * 2)).ok()?;
    for (number, part) in text
        .as_bytes()
        .chunks(text.len().div_ceil(parts))
        .enumerate()
    {
        if number > 0 {
            thread::sleep(SLOW_PART_INTERVAL);
        }
        stream.write_all(part).ok()?;
    }
    let response = Message::read(&mut std::io::BufReader::new(stream))?;
    Some(response.status())
}

/// Reads a long response slowly. Returns whether it is complete.
fn read_long_response(node: SocketAddr, number: usize) -> Option<bool> {
    let mut stream = TcpStream::connect(node).ok()?;
    stream.set_read_timeout(Some(SOUND_DEADLINE.1 * 2)).ok()?;
    let query = format!("size={LONG_RESPONSE_BYTES}");
    let text = sound_request("long", number, "read", &query)
        .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let (mut received, began) = (0, Instant::now());
    let mut part = [0; 8192];
    loop {
        let read = stream.read(&mut part).ok()?;
        received += read;
        if read == 0 {
            return Some(received > LONG_RESPONSE_BYTES);
        }
        let due = Duration::from_secs_f64(received as f64 / LONG_READ_RATE as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
}

/// Sound clients of one kind, one after the other, until they are told to stop.
fn sound_clients(
    stops: &Arc<AtomicBool>,
    mut ask: impl FnMut(usize, &mut SoundCounts) + Send + 'static,
) -> JoinHandle<SoundCounts> {
    let stops = Arc::clone(stops);
    thread::spawn(move || {
        let mut counts = SoundCounts::default();
        for number in 0.. {
            if stops.load(Ordering::Relaxed) {
                break;
            }
            ask(number, &mut counts);
            thread::sleep(SOUND_INTERVAL);
        }
        counts
    })
}

/// Starts sound clients of all kinds: fast ones, such with a body, slow ones, and readers of long responses.
fn start_sound_clients(node: &Node, stops: &Arc<AtomicBool>) -> Vec<JoinHandle<SoundCounts>> {
    let address = node.address;
    let small = |name: &'static str, class: &'static str, parts: usize| {
        move |number, counts: &mut SoundCounts| {
            let text = sound_request(name, number, class, "game=7");
            let began = Instant::now();
            let status = ask(address, &text, parts);
            let writing = SLOW_PART_INTERVAL * (parts as u32 - 1);
            counts.record(name, status, began.elapsed().saturating_sub(writing));
        }
    };
    let long = move |number, counts: &mut SoundCounts| match read_long_response(address, number) {
        Some(true) => counts.served += 1,
        other => counts
            .others
            .push(format!("long response: complete {other:?}")),
    };
    vec![
        sound_clients(stops, small("read", "read", 1)),
        sound_clients(stops, small("submit", "submit", 1)),
        sound_clients(stops, small("slow-read", "read", SLOW_PARTS)),
        sound_clients(stops, small("slow-submit", "submit", SLOW_PARTS)),
        sound_clients(stops, long),
        sound_clients(stops, small("pay", "pay", 1)),
    ]
}

/// What a client that floods the node writes; the argument is new each time.
type FloodText = fn(usize) -> String;

/// One client that writes without a pause, on a new connection whenever the node has ended one. `next` returns what it
/// writes; its argument is new each time.
fn start_flood(address: SocketAddr, stops: &Arc<AtomicBool>, next: FloodText) -> JoinHandle<usize> {
    let stops = Arc::clone(stops);
    thread::spawn(move || {
        let mut number = 0;
        while !stops.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(address) else {
                continue;
            };
            let mut reader = stream.try_clone().expect("the socket can be cloned");
            let drain = thread::spawn(move || {
                let mut part = vec![0; 65_536];
                while reader.read(&mut part).is_ok_and(|read| read > 0) {}
            });
            while !stops.load(Ordering::Relaxed) {
                let texts: String = (number..number + FLOOD_BATCH).map(next).collect();
                if stream.write_all(texts.as_bytes()).is_err() {
                    break;
                }
                number += FLOOD_BATCH;
            }
            let _ = stream.shutdown(Shutdown::Both);
            drain.join().expect("the reader does not panic");
        }
        number
    })
}

/// Has crowds come to one process beside sound clients, and checks its memory and what became of the sound clients.
fn assert_within_memory(tag: &str, crowds: &[(usize, CrowdScript)]) {
    assert_within_memory_beside(tag, crowds, None);
}

/// As [`assert_within_memory`], beside a client that floods the node.
fn assert_within_memory_beside(
    tag: &str,
    crowds: &[(usize, CrowdScript)],
    flood: Option<FloodText>,
) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (servers, discovery) = (PacedServers::new(SERVER_READ_RATE), Discovery::start());
    let hosts: Vec<String> = (0..SERVERS)
        .map(|number| host_json(&format!("s-{number}"), servers.start(), number, "ready"))
        .collect();
    let memory =
        |config: String| config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let admin = free_address();
    let mut node =
        Node::start_with_config(tag, discovery.address, &hosts, SOCKETS, memory, |command| {
            command.env("LB_ADMIN_ADDR", admin.to_string());
        });
    let idle_kb = node.peak_memory_kb();
    let crowds: Vec<Crowd> = crowds
        .iter()
        .map(|(count, script)| Crowd::start(node.address, *count, script.clone()))
        .collect();
    let stops = Arc::new(AtomicBool::new(false));
    let flood = flood.map(|next| start_flood(node.address, &stops, next));
    let clients = start_sound_clients(&node, &stops);
    let began = Instant::now();
    while began.elapsed() < CROWD_DURATION && node.is_running() {
        thread::sleep(Duration::from_millis(50));
    }
    let held = admin_request(admin, "INFO\n");
    let held: Vec<&str> = held
        .lines()
        .filter(|line| line.contains("memory"))
        .collect();
    stops.store(true, Ordering::Relaxed);
    let mut sound = SoundCounts::default();
    clients
        .into_iter()
        .for_each(|client| sound.add(client.join().expect("the client does not panic")));
    let written = flood.map(|flood| flood.join().expect("the flood does not panic"));
    assert!(node.is_running(), "{tag}: the process has exited");
    let peak_kb = node.peak_memory_kb();
    let seen: Vec<_> = crowds.iter().map(|crowd| &crowd.counts).collect();
    let report = format!("{tag}: {idle_kb} kB idle, {peak_kb} kB at the peak; sound clients: {sound:?}; crowds: {seen:?}; flood: {written:?}; {held:?}");
    println!("{report}");
    assert!(peak_kb < MEMORY_LIMIT_KB, "{report}");
    assert!(sound.served > 100 && sound.others.is_empty(), "{report}");
}

/// Guards against heads that are each within their limit and together exceed the memory.
#[test]
fn long_heads_that_do_not_end_stay_within_the_memory() {
    assert_within_memory("heads", &[(600, long_heads())]);
}

/// Guards against parsed heads of many short fields, whose administration takes more than their bytes.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory() {
    let crowds = [(300, short_fields()), (300, complete_short_fields())];
    assert_within_memory("fields", &crowds);
}

/// Guards against bodies whose clients stop in the middle and come back, from the first connection on.
#[test]
fn bodies_whose_clients_stop_stay_within_the_memory() {
    let crowds = [(500, stopped_bodies()), (100, stopped_uploads())];
    assert_within_memory("stopped", &crowds);
}

/// Guards against large bodies that wait for slow servers.
#[test]
fn large_bodies_for_slow_servers_stay_within_the_memory() {
    assert_within_memory("uploads", &[(300, large_uploads())]);
}

/// Guards against long responses that wait for slow clients.
#[test]
fn long_responses_to_slow_clients_stay_within_the_memory() {
    assert_within_memory("responses", &[(300, slow_readers())]);
}

/// Guards against a sum of all kinds.
#[test]
fn crowds_of_all_kinds_at_once_stay_within_the_memory() {
    let crowds = [
        (120, long_heads()),
        (60, short_fields()),
        (120, stopped_bodies()),
        (100, large_uploads()),
        (100, slow_readers()),
        (60, stopped_uploads()),
    ];
    assert_within_memory("all", &crowds);
}

/// Guards against one client that sends requests under ever new names without a pause.
#[test]
fn requests_of_ever_new_customers_stay_within_the_memory() {
    assert_within_memory_beside(
        "customers",
        &[],
        Some(|number| {
            let customer = 0x1_0000 + number;
            let head = crowd_head(number, "read", "f=1");
            let (start, rest) = head.split_once("/read/").expect("the path has the class");
            format!("{start}/read/{customer:016x}{}\r\n", &rest[16..])
        }),
    );
}

/// Guards against one client that sends what can't be served without a pause: of unknown classes, without an id, and empty
/// lines.
#[test]
fn unsound_requests_without_a_pause_leave_sound_clients_served() {
    let floods: [(&str, FloodText); 3] = [
        ("classes", |number| {
            crowd_head(number, "read", "g=1")
                .replace("X-Class: read", &format!("X-Class: c{number}"))
                + "\r\n"
        }),
        ("no-id", |number| {
            crowd_head(number, "read", "h=1").replace("X-Request-Id", "X-Other") + "\r\n"
        }),
        ("lines", |_| "\r\n".repeat(50)),
    ];
    for (tag, next) in floods {
        assert_within_memory_beside(tag, &[], Some(next));
    }
}
