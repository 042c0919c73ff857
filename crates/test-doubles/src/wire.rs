//! HTTP/1.1 as far as the test doubles need it: messages with a body of known length, and the time of their first
//! byte.

use crate::World;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest message head that is read, bytes. Bounds the test double's memory.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Longest body that is read, bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A complete message.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as many bytes as its `Content-Length` header states.
    pub body: Vec<u8>,
    /// When the first byte was read, since the start of the run.
    pub first_byte_at: Duration,
}

impl Message {
    /// Value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(other, _)| other == name)
            .map_or("", |(_, value)| value)
    }

    /// Status of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection that reads HTTP/1.1 messages one at a time.
#[derive(Debug)]
pub struct HttpConnection {
    /// The underlying connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpConnection {
    /// Wraps a connection from which nothing has been read.
    pub fn new(stream: TcpStream) -> HttpConnection {
        // Best effort: an optimization.
        let _ = stream.set_nodelay(true);
        HttpConnection {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Whether bytes have been read that belong to no message.
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the next message; `None` if the connection ends before one begins.
    ///
    /// # Errors
    /// The connection broke or ended within a message, or the message is malformed.
    pub async fn read_message(&mut self, world: &World) -> io::Result<Option<Message>> {
        let mut first = (!self.buffer.is_empty()).then(|| world.now());
        let head = loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                break end + 4;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ErrorKind::InvalidData.into());
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                let closed = if first.is_some() {
                    Err(ErrorKind::UnexpectedEof.into())
                } else {
                    Ok(None)
                };
                return closed;
            }
            first.get_or_insert_with(|| world.now());
        };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers: Vec<_> = lines.filter_map(header).collect();
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.map_or(Ok(0), |(_, length)| length.parse::<usize>());
        let length = length
            .ok()
            .filter(|length| *length <= MAX_BODY_BYTES)
            .ok_or(ErrorKind::InvalidData)?;
        while self.buffer.len() < head + length {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let remainder = self.buffer.split_off(head + length);
        let body = std::mem::replace(&mut self.buffer, remainder).split_off(head);
        Ok(Some(Message {
            start_line: start,
            headers,
            body,
            first_byte_at: first.unwrap_or_default(),
        }))
    }

    /// Whether the other side has closed the connection. Asks the kernel, so it is known before the next write fails.
    pub fn is_closed(&self) -> bool {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(length) => length == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The connection has ended.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns once the other side has closed the connection. Bytes that it still sends are kept.
    pub async fn wait_until_closed(&mut self) {
        while !matches!(self.stream.read_buf(&mut self.buffer).await, Ok(0) | Err(_)) {
            if self.buffer.len() > MAX_BODY_BYTES {
                return;
            }
        }
    }
}

/// Formats a response with a body of known length. `extra_headers` are complete lines.
pub fn response(status: &str, extra_headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
