//! A client of the edge node.

use super::Message;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;

/// A client's connection to the edge node.
pub struct Client {
    /// The connection; responses are read through a buffer.
    pub stream: TcpStream,
    pub(super) reader: BufReader<TcpStream>,
}

/// A request of a class, with the method and body that the class takes.
pub fn request(id: &str, class: &str, deadline: &str) -> String {
    let (method, extra_headers) = match class {
        "read" => ("GET", ""),
        "submit" => ("POST", "Idempotency-Key: 5c0f6e1a\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "POST" { "time" } else { "" };
    format!(
        "{method} /{class}/00000000b4d65521?game=7 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: p\r\nX-Deadline: {deadline}\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\
         {extra_headers}\r\n{body}"
    )
}

impl Client {
    /// Sends text. Panics if the connection is closed.
    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the connection is open");
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Writes a request and reads its response.
    pub fn exchange(&mut self, text: &str) -> Message {
        self.write(text);
        self.read_response()
            .expect("the node sends a complete response")
    }

    /// Waits until the edge node has closed the connection, and panics if anything more arrives on it.
    pub fn expect_close(&mut self) {
        let mut rest = Vec::new();
        let read = self.reader.read_to_end(&mut rest);
        assert!(
            read.is_ok() && rest.is_empty(),
            "{read:?}: {:?}",
            String::from_utf8_lossy(&rest)
        );
    }
}
