//! Many clients at once, which one thread drives: each writes and reads at its own rate, and may stop or come back.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often each client of a crowd gets its turn.
const TURN_INTERVAL: Duration = Duration::from_millis(10);
/// Most bytes that a client writes or reads in one turn.
const MAX_TURN_BYTES: usize = 16 * 1024;
/// What a client writes of a body.
static FILLER: [u8; MAX_TURN_BYTES] = [b'b'; MAX_TURN_BYTES];

/// What the clients of a crowd do. One whose connection has ended opens another one. Rates are in bytes a second; a rate of `usize::MAX` is as fast as the node allows.
#[derive(Clone, Debug)]
pub struct CrowdScript {
    /// Returns what a client writes first; its argument is new for each connection.
    pub start: fn(usize) -> String,
    /// Number of bytes that follow. Then the client writes nothing more and stays.
    pub filler_bytes: usize,
    /// Rate at which a client writes.
    pub write_rate: usize,
    /// Rate at which a client reads.
    pub read_rate: usize,
}

impl CrowdScript {
    /// Clients that write this, and read and write as fast as the node allows.
    pub fn fast(start: fn(usize) -> String) -> CrowdScript {
        CrowdScript {
            start,
            filler_bytes: 0,
            write_rate: usize::MAX,
            read_rate: usize::MAX,
        }
    }
}

/// What the clients of a crowd have seen.
#[derive(Debug, Default)]
pub struct CrowdCounts {
    /// Connections that were opened.
    pub connections: AtomicUsize,
    /// Connections that the node has ended.
    pub ended: AtomicUsize,
    /// Bytes that were read.
    pub bytes_read: AtomicUsize,
}

/// A crowd of clients. They leave when it is dropped.
pub struct Crowd {
    stops: Arc<AtomicBool>,
    /// What its clients have seen so far.
    pub counts: Arc<CrowdCounts>,
    thread: Option<JoinHandle<()>>,
}

/// One client of a crowd.
struct Member {
    stream: Option<TcpStream>,
    start: Vec<u8>,
    written: usize,
    /// Bytes that the client may write and read in this turn.
    write_allowance: usize,
    read_allowance: usize,
}

impl Crowd {
    /// Has `count` clients come to the node at once.
    pub fn start(address: SocketAddr, count: usize, script: CrowdScript) -> Crowd {
        let (stops, counts) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(CrowdCounts::default()),
        );
        let (thread_stops, thread_counts) = (Arc::clone(&stops), Arc::clone(&counts));
        let thread = thread::spawn(move || {
            let mut members: Vec<Member> = (0..count)
                .map(|_| Member::connect(address, &script, &thread_counts))
                .collect();
            let mut turn_at = Instant::now();
            while !thread_stops.load(Ordering::Relaxed) {
                let elapsed = turn_at.elapsed();
                turn_at = Instant::now();
                for member in &mut members {
                    member.take_turn(elapsed, &script, &thread_counts);
                    if member.stream.is_none() {
                        *member = Member::connect(address, &script, &thread_counts);
                    }
                }
                thread::sleep(TURN_INTERVAL.saturating_sub(turn_at.elapsed()));
            }
        });
        Crowd {
            stops,
            counts,
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::Relaxed);
        let thread = self.thread.take();
        thread.into_iter().for_each(|thread| _ = thread.join());
    }
}

impl Member {
    /// Opens the connection of a client. A client that is refused has none.
    fn connect(address: SocketAddr, script: &CrowdScript, counts: &CrowdCounts) -> Member {
        let stream = TcpStream::connect(address).ok();
        let stream = stream.filter(|stream| stream.set_nonblocking(true).is_ok());
        let number = counts.connections.fetch_add(1, Ordering::Relaxed);
        Member {
            stream,
            start: (script.start)(number).into_bytes(),
            written: 0,
            write_allowance: 0,
            read_allowance: 0,
        }
    }

    /// Writes and reads what the client's rates allow for the time since its last turn.
    fn take_turn(&mut self, elapsed: Duration, script: &CrowdScript, counts: &CrowdCounts) {
        let allowance = |rate: usize| (rate as f64 * elapsed.as_secs_f64()).ceil() as usize;
        let grow = |old: usize, rate| old.saturating_add(allowance(rate)).min(MAX_TURN_BYTES);
        self.write_allowance = grow(self.write_allowance, script.write_rate);
        self.read_allowance = grow(self.read_allowance, script.read_rate);
        let open = self.write(script) && self.read(counts);
        if !open && self.stream.take().is_some() {
            counts.ended.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes a part. Returns false if the connection has ended.
    fn write(&mut self, script: &CrowdScript) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let part = match self.start.get(self.written..) {
            Some(start) if !start.is_empty() => start,
            _ => {
                let rest = self.start.len() + script.filler_bytes - self.written;
                &FILLER[..rest.min(FILLER.len())]
            }
        };
        let part = &part[..part.len().min(self.write_allowance)];
        if part.is_empty() {
            return true;
        }
        match stream.write(part) {
            Ok(bytes) => {
                self.written += bytes;
                self.write_allowance -= bytes;
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Reads a part. Returns false if the connection has ended.
    fn read(&mut self, counts: &CrowdCounts) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        if self.read_allowance == 0 {
            return true;
        }
        let mut part = [0; MAX_TURN_BYTES];
        match stream.read(&mut part[..self.read_allowance]) {
            Ok(0) => false,
            Ok(bytes) => {
                counts.bytes_read.fetch_add(bytes, Ordering::Relaxed);
                self.read_allowance -= bytes;
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}
