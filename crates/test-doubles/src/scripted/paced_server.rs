//! App servers that read requests at a rate and give responses of the size that a request asks for.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// How often a server reads a part of a body.
const READ_INTERVAL: Duration = Duration::from_millis(50);
/// Stack of a connection's thread, bytes: a test may have hundreds of connections.
const STACK_BYTES: usize = 128 * 1024;
/// What a server writes at once, in bytes.
const PART_BYTES: usize = 64 * 1024;

/// App servers that read the body of a request at a rate, and then give a response with as many bytes as `size` in the
/// query of the request, or with a few bytes.
pub struct PacedServers {
    /// Bytes a second.
    read_rate: usize,
    sender: Sender<String>,
    received: Receiver<String>,
}

impl PacedServers {
    /// Creates servers that read a body at this rate, in bytes a second.
    pub fn new(read_rate: usize) -> PacedServers {
        let (sender, received) = mpsc::channel();
        PacedServers {
            read_rate,
            sender,
            received,
        }
    }

    /// Starts a server and returns its address.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (read_rate, sender) = (self.read_rate, self.sender.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                let connection = thread::Builder::new().stack_size(STACK_BYTES);
                let serve = move || while serve_request(&stream, read_rate, &sender).is_some() {};
                connection.spawn(serve).expect("the thread starts");
            }
        });
        address
    }

    /// The ids of the requests that the servers have received completely since the last call.
    pub fn received_ids(&self) -> Vec<String> {
        self.received.try_iter().collect()
    }
}

/// Reads a request and gives its response. Returns `None` once the connection has ended.
fn serve_request(stream: &TcpStream, read_rate: usize, sender: &Sender<String>) -> Option<()> {
    let mut reader = BufReader::with_capacity(PART_BYTES / 4, stream);
    let (mut id, mut size, mut body_bytes, mut chunked) = (String::new(), 0, 0, false);
    let mut line = String::new();
    loop {
        line.clear();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|bytes| *bytes > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some((_, rest)) = line.split_once("size=") {
            let digits = rest.split(' ').next().unwrap_or_default();
            size = digits.parse().unwrap_or(0);
        }
        match line.split_once(": ") {
            Some(("x-request-id", value)) => value.clone_into(&mut id),
            Some(("content-length", value)) => body_bytes = value.parse().ok()?,
            Some(("transfer-encoding", _)) => chunked = true,
            _ => {}
        }
    }
    if chunked {
        read_chunks(&mut reader, read_rate)?;
    } else {
        read_paced(&mut reader, body_bytes, read_rate)?;
    }
    // The test may have ended.
    let _ = sender.send(id);
    respond(stream, size)
}

/// Reads the chunks of a body.
fn read_chunks(reader: &mut BufReader<&TcpStream>, read_rate: usize) -> Option<()> {
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|bytes| *bytes > 0)?;
        let bytes = usize::from_str_radix(line.trim_end(), 16).ok()?;
        read_paced(reader, bytes + 2, read_rate)?;
        if bytes == 0 {
            return Some(());
        }
    }
}

/// Reads this many bytes at a rate.
fn read_paced(reader: &mut BufReader<&TcpStream>, mut bytes: usize, rate: usize) -> Option<()> {
    let part_bytes = (rate as f64 * READ_INTERVAL.as_secs_f64()).ceil() as usize;
    let mut part = [0; PART_BYTES / 4];
    while bytes > 0 {
        let mut allowed = part_bytes.min(bytes);
        while allowed > 0 {
            let wanted = allowed.min(part.len());
            let read = reader
                .read(&mut part[..wanted])
                .ok()
                .filter(|read| *read > 0)?;
            allowed -= read;
            bytes -= read;
        }
        if bytes > 0 {
            thread::sleep(READ_INTERVAL);
        }
    }
    Some(())
}

/// Writes a response with this many bytes, or with a few.
fn respond(mut stream: &TcpStream, size: usize) -> Option<()> {
    static PART: [u8; PART_BYTES] = [b'r'; PART_BYTES];
    let size = size.max(5);
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n").ok()?;
    let mut rest = size;
    while rest > 0 {
        let part = &PART[..rest.min(PART.len())];
        stream.write_all(part).ok()?;
        rest -= part.len();
    }
    Some(())
}
