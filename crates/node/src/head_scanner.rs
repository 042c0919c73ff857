//! Scans the heads of requests on a connection, beside hyper that reads them: where a head has both a length and
//! an encoding that library drops one unseen, and the request may hide another in its body.

use memchr::memchr;

/// Most bytes of a line that are kept where it is received in pieces; the names that matter are shorter.
const MAX_LINE_PREFIX_BYTES: usize = 64;

/// Where in the flow of requests a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Head,
    Body(u64),
    ChunkSize,
    Chunk(u64),
    Trailer,
}

/// The heads on one connection. No more is kept than the beginning of one line.
#[derive(Debug)]
pub struct HeadScanner {
    at: At,
    /// What was received of a line that is not complete.
    line: Vec<u8>,
    begun: bool,
    length: Option<u64>,
    coded: bool,
}

impl HeadScanner {
    /// A connection on which nothing was received.
    pub fn new() -> HeadScanner {
        HeadScanner {
            at: At::Head,
            line: Vec::new(),
            begun: false,
            length: None,
            coded: false,
        }
    }

    /// Scans what was received; whether a head that ended in it has both a length and an encoding.
    pub fn take(&mut self, mut bytes: &[u8]) -> bool {
        let mut both = false;
        while !bytes.is_empty() {
            if let At::Body(left) | At::Chunk(left) = self.at {
                let skipped = left.min(bytes.len() as u64);
                bytes = &bytes[skipped as usize..];
                self.at = match (self.at, left - skipped) {
                    (At::Body(_), 0) => At::Head,
                    (At::Body(_), left) => At::Body(left),
                    (_, 0) => At::ChunkSize,
                    (_, left) => At::Chunk(left),
                };
                continue;
            }
            let end = memchr(b'\n', bytes);
            let piece = &bytes[..end.unwrap_or(bytes.len())];
            bytes = &bytes[end.map_or(bytes.len(), |end| end + 1)..];
            if end.is_some() && self.line.is_empty() {
                both |= self.ends(piece);
                continue;
            }
            let room = MAX_LINE_PREFIX_BYTES
                .saturating_sub(self.line.len())
                .min(piece.len());
            self.line.extend_from_slice(&piece[..room]);
            if end.is_some() {
                let line = std::mem::take(&mut self.line);
                both |= self.ends(&line);
            }
        }
        both
    }

    /// Scans a complete line; whether it ends a head that has both.
    fn ends(&mut self, line: &[u8]) -> bool {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match self.at {
            // Empty lines before a head are ignored.
            At::Head if line.is_empty() && !self.begun => {}
            At::Head if line.is_empty() => {
                let (length, coded) = (self.length.take(), std::mem::take(&mut self.coded));
                self.begun = false;
                self.at = match length {
                    _ if coded => At::ChunkSize,
                    Some(length) if length > 0 => At::Body(length),
                    _ => At::Head,
                };
                return length.is_some() && coded;
            }
            At::Head => {
                self.begun = true;
                if let Some(value) = value(line, b"content-length:") {
                    let digits = std::str::from_utf8(value)
                        .ok()
                        .and_then(|value| value.trim().parse().ok());
                    self.length = Some(digits.unwrap_or(0));
                } else {
                    self.coded |= value(line, b"transfer-encoding:").is_some();
                }
            }
            At::ChunkSize => {
                let digits = line
                    .split(|byte| *byte == b';')
                    .next()
                    .unwrap_or_default()
                    .trim_ascii();
                let size = std::str::from_utf8(digits)
                    .ok()
                    .and_then(|text| u64::from_str_radix(text, 16).ok());
                // The data's own line end follows it. An invalid size is hyper's to reject.
                self.at = match size {
                    Some(0) | None => At::Trailer,
                    Some(size) => At::Chunk(size.saturating_add(2)),
                };
            }
            At::Trailer if line.is_empty() => self.at = At::Head,
            At::Trailer | At::Body(_) | At::Chunk(_) => {}
        }
        false
    }
}

/// A header's value, if the line has that name.
fn value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let (begins, value) = line.split_at_checked(name.len())?;
    begins.eq_ignore_ascii_case(name).then_some(value)
}

#[cfg(test)]
mod tests;
