//! Parsing of the line that a caller sends, which is one command.

use std::fmt;

/// Maximum length of a line, in bytes without the line end. Bounds the memory for data without a line end; the longest
/// command has eight bytes.
pub const MAX_LINE_BYTES: usize = 64;

/// A command of the admin interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Returns whether this process is ready.
    Ping,
    /// Returns the metrics.
    Info,
    /// Starts lame-duck mode: the node is not ready and closes its connections, but the process keeps running.
    Lameduck,
    /// Ends lame-duck mode.
    Rejoin,
}

impl Call {
    /// All commands.
    pub const ALL: [Call; 4] = [Call::Ping, Call::Info, Call::Lameduck, Call::Rejoin];

    /// The name of the command on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Call::Ping => "PING",
            Call::Info => "INFO",
            Call::Lameduck => "LAMEDUCK",
            Call::Rejoin => "REJOIN",
        }
    }

    /// Returns the command with exactly this name.
    pub fn parse(name: &str) -> Option<Call> {
        Call::ALL.into_iter().find(|call| call.name() == name)
    }
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The line has more than [`MAX_LINE_BYTES`] bytes.
    TooLong,
    /// There is no command with this name.
    Unknown,
    /// The caller stopped sending before the end of the line. An incomplete command is not executed.
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

impl std::error::Error for CallError {}

/// A buffer for a line that is received in pieces of any size.
#[derive(Debug, Default)]
pub struct Line {
    received: Vec<u8>,
}

impl Line {
    /// Appends received bytes. Returns the command or an error once the line is complete or too long, and `None` until
    /// then. Bytes after the line are ignored.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Result<Call, CallError>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let more = &bytes[..end.unwrap_or(bytes.len())];
        // One more byte is allowed, which may be a carriage return before the line feed.
        if self.received.len() + more.len() > MAX_LINE_BYTES + 1 {
            return Some(Err(CallError::TooLong));
        }
        self.received.extend_from_slice(more);
        end?;
        let name = std::str::from_utf8(self.received.trim_ascii()).unwrap_or_default();
        Some(Call::parse(name).ok_or(CallError::Unknown))
    }
}

#[cfg(test)]
mod tests;
