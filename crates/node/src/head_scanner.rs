//! Scans request heads for request smuggling, in parallel to hyper, which parses them. If a head has both
//! `Content-Length` and `Transfer-Encoding`, hyper drops one of them silently, and the body may hide another request.

use memchr::memchr;

/// Maximum number of bytes kept of a line that is received in parts. The header names that matter are shorter.
const MAX_LINE_PREFIX_BYTES: usize = 64;

/// Position of the scanner in the stream of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Head,
    /// Remaining bytes of a body with `Content-Length`.
    Body(u64),
    ChunkSize,
    /// Remaining bytes of a chunk and its line end.
    Chunk(u64),
    Trailer,
}

/// Scans the request heads of one connection. Keeps at most the start of one line.
#[derive(Debug)]
pub struct HeadScanner {
    position: Position,
    /// The received start of an incomplete line.
    partial_line: Vec<u8>,
    /// Whether the current head has a line yet.
    head_started: bool,
    /// Value of `Content-Length` in the current head; 0 if invalid.
    content_length: Option<u64>,
    /// Whether the current head has `Transfer-Encoding`.
    has_encoding: bool,
}

impl HeadScanner {
    /// Creates a scanner for a new connection.
    pub fn new() -> HeadScanner {
        HeadScanner {
            position: Position::Head,
            partial_line: Vec::new(),
            head_started: false,
            content_length: None,
            has_encoding: false,
        }
    }

    /// Number of bytes of the current body that were not scanned; `None` if its length is unknown.
    pub fn missing_body_bytes(&self) -> Option<u64> {
        match self.position {
            Position::Head => Some(0),
            Position::Body(missing) => Some(missing),
            Position::ChunkSize | Position::Chunk(_) | Position::Trailer => None,
        }
    }

    /// Scans received bytes. Returns whether a head that ends in them has both a length and an encoding.
    pub fn scan(&mut self, mut bytes: &[u8]) -> bool {
        let mut is_ambiguous = false;
        while !bytes.is_empty() {
            if let Position::Body(remaining) | Position::Chunk(remaining) = self.position {
                let skipped = remaining.min(bytes.len() as u64);
                bytes = &bytes[skipped as usize..];
                self.position = match (self.position, remaining - skipped) {
                    (Position::Body(_), 0) => Position::Head,
                    (Position::Body(_), remaining) => Position::Body(remaining),
                    (_, 0) => Position::ChunkSize,
                    (_, remaining) => Position::Chunk(remaining),
                };
                continue;
            }
            let line_end = memchr(b'\n', bytes);
            let part = &bytes[..line_end.unwrap_or(bytes.len())];
            bytes = &bytes[line_end.map_or(bytes.len(), |line_end| line_end + 1)..];
            if line_end.is_some() && self.partial_line.is_empty() {
                is_ambiguous |= self.on_line(part);
                continue;
            }
            let room = MAX_LINE_PREFIX_BYTES
                .saturating_sub(self.partial_line.len())
                .min(part.len());
            self.partial_line.extend_from_slice(&part[..room]);
            if line_end.is_some() {
                let line = std::mem::take(&mut self.partial_line);
                is_ambiguous |= self.on_line(&line);
            }
        }
        is_ambiguous
    }

    /// Scans a complete line. Returns whether it ends a head that has both a length and an encoding.
    fn on_line(&mut self, line: &[u8]) -> bool {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match self.position {
            // Empty lines before a head are ignored.
            Position::Head if line.is_empty() && !self.head_started => {}
            Position::Head if line.is_empty() => {
                let (content_length, has_encoding) = (
                    self.content_length.take(),
                    std::mem::take(&mut self.has_encoding),
                );
                self.head_started = false;
                self.position = match content_length {
                    _ if has_encoding => Position::ChunkSize,
                    Some(content_length) if content_length > 0 => Position::Body(content_length),
                    _ => Position::Head,
                };
                return content_length.is_some() && has_encoding;
            }
            Position::Head => {
                self.head_started = true;
                if let Some(value) = header_value(line, b"content-length:") {
                    let digits = std::str::from_utf8(value)
                        .ok()
                        .and_then(|value| value.trim().parse().ok());
                    self.content_length = Some(digits.unwrap_or(0));
                } else {
                    self.has_encoding |= header_value(line, b"transfer-encoding:").is_some();
                }
            }
            Position::ChunkSize => {
                let digits = line
                    .split(|byte| *byte == b';')
                    .next()
                    .unwrap_or_default()
                    .trim_ascii();
                let size = std::str::from_utf8(digits)
                    .ok()
                    .and_then(|text| u64::from_str_radix(text, 16).ok());
                // The size excludes the CR LF that follows the chunk. hyper rejects an invalid size.
                self.position = match size {
                    Some(0) | None => Position::Trailer,
                    Some(size) => Position::Chunk(size.saturating_add(2)),
                };
            }
            Position::Trailer if line.is_empty() => self.position = Position::Head,
            Position::Trailer | Position::Body(_) | Position::Chunk(_) => {}
        }
        false
    }
}

/// The value of a header line, if the line starts with this name.
fn header_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let (line_name, value) = line.split_at_checked(name.len())?;
    line_name.eq_ignore_ascii_case(name).then_some(value)
}

#[cfg(test)]
mod tests;
