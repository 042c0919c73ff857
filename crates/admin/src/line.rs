//! What a caller writes: one line.

use std::fmt;

/// Most bytes of a call's line, its end not counted. Guards memory against a line without end; the longest call has
/// eight.
pub const LINE_MOST: usize = 64;

/// What staff may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ping,
    /// The figures.
    Info,
    /// Send clients away; the process goes on.
    Lameduck,
    /// Back to work.
    Rejoin,
}

impl Call {
    /// All calls, with the words that stand for them.
    pub const ALL: [(&'static str, Call); 4] = [
        ("PING", Call::Ping),
        ("INFO", Call::Info),
        ("LAMEDUCK", Call::Lameduck),
        ("REJOIN", Call::Rejoin),
    ];

    /// The call that a word stands for, to the letter.
    pub fn parse(word: &str) -> Option<Call> {
        Call::ALL
            .iter()
            .find(|(name, _)| *name == word)
            .map(|(_, call)| *call)
    }
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It has more than [`LINE_MOST`] bytes.
    TooLong,
    /// No call is named so.
    Unknown,
    /// The caller stopped in mid-line. Guards against half a call being taken for a whole one.
    Half,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallError::TooLong => "the line is too long",
            CallError::Unknown => "no such call; there are PING, INFO, LAMEDUCK and REJOIN",
            CallError::Half => "the line has no end",
        })
    }
}

/// A line as it comes in, in pieces that are cut anywhere.
#[derive(Debug, Default)]
pub struct Line {
    held: Vec<u8>,
}

impl Line {
    /// Takes more bytes; the call once its line has ended. What comes behind the line counts for nothing.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Result<Call, CallError>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let more = &bytes[..end.unwrap_or(bytes.len())];
        // One byte more may be the carriage return before the end.
        if self.held.len() + more.len() > LINE_MOST + 1 {
            return Some(Err(CallError::TooLong));
        }
        self.held.extend_from_slice(more);
        end.map(|_| {
            let word = std::str::from_utf8(self.held.trim_ascii()).unwrap_or_default();
            Call::parse(word).ok_or(CallError::Unknown)
        })
    }
}

#[cfg(test)]
mod tests;
