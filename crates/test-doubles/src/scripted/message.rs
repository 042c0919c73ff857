//! HTTP/1.1 messages as a test reads them.

use std::collections::HashMap;
use std::io::BufRead;

/// An HTTP/1.1 message with a body of known length or in chunks.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` at the end of the connection or if the message is truncated.
    pub fn read(stream: &mut impl BufRead) -> Option<Message> {
        let line = |stream: &mut dyn BufRead| {
            let mut line = String::new();
            stream
                .read_line(&mut line)
                .ok()
                .filter(|length| *length > 0)?;
            Some(line.trim_end().to_owned())
        };
        let start = line(stream)?;
        let mut headers = HashMap::new();
        loop {
            let line = line(stream)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        if headers
            .get("transfer-encoding")
            .is_some_and(|coding| coding == "chunked")
        {
            let mut body = Vec::new();
            loop {
                let size = line(stream)?;
                let size =
                    usize::from_str_radix(size.split(';').next().unwrap_or_default(), 16).ok()?;
                if size == 0 {
                    while !line(stream)?.is_empty() {}
                    return Some(Message {
                        start_line: start,
                        headers,
                        body,
                    });
                }
                let from = body.len();
                body.resize(from + size, 0);
                stream.read_exact(&mut body[from..]).ok()?;
                line(stream)?;
            }
        }
        let length = headers.get("content-length").map_or(0, |length| {
            length.parse().expect("the content length is a number")
        });
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Message {
            start_line: start,
            headers,
            body,
        })
    }

    /// Value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("the start line has a status")
    }
}
