//! The line that a caller sends: one command.

use std::fmt;

/// The longest line of a command, in bytes without its end. It bounds the memory that a line without end can take; the
/// longest command has eight bytes.
pub const LINE_MOST: usize = 64;

/// A command of staff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Ask whether this process is ready.
    Ping,
    /// Ask for the metrics.
    Info,
    /// Send clients away; the process goes on.
    Lameduck,
    /// Put the node back in service.
    Rejoin,
}

impl Call {
    /// All commands.
    pub const ALL: [Call; 4] = [Call::Ping, Call::Info, Call::Lameduck, Call::Rejoin];

    /// The command as it is sent.
    pub fn name(self) -> &'static str {
        match self {
            Call::Ping => "PING",
            Call::Info => "INFO",
            Call::Lameduck => "LAMEDUCK",
            Call::Rejoin => "REJOIN",
        }
    }

    /// The command of this exact name.
    pub fn parse(name: &str) -> Option<Call> {
        Call::ALL.into_iter().find(|call| call.name() == name)
    }
}

/// Why a line is no command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It has more than [`LINE_MOST`] bytes.
    TooLong,
    /// There is no command of this name.
    Unknown,
    /// The caller stopped sending before the end of the line. Part of a command is not carried out.
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

/// A line that is received in pieces, which may be cut anywhere.
#[derive(Debug, Default)]
pub struct Line {
    received: Vec<u8>,
}

impl Line {
    /// Takes more bytes, and returns the command once its line has ended. Bytes after the line are ignored.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Result<Call, CallError>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let more = &bytes[..end.unwrap_or(bytes.len())];
        // One byte more may be the carriage return before the line's end.
        if self.received.len() + more.len() > LINE_MOST + 1 {
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
