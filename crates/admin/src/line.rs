//! Parsing of the line that a caller sends, which is one command.

use std::fmt;

/// Maximum length of a line, in bytes without the line end. Bounds the memory for data without a line end; the longest
/// command has eight bytes.
pub const MAX_LINE_BYTES: usize = 64;

/// A command of the admin interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Returns whether this process is ready.
    Ping,
    /// Returns the metrics.
    Info,
    /// Starts lame-duck mode: the node is not ready and closes its connections, but the process keeps running.
    Lameduck,
    /// Ends lame-duck mode.
    Rejoin,
}

impl AdminCommand {
    /// All commands.
    pub const ALL: [AdminCommand; 4] = [
        AdminCommand::Ping,
        AdminCommand::Info,
        AdminCommand::Lameduck,
        AdminCommand::Rejoin,
    ];

    /// The name of the command on the wire.
    pub fn name(self) -> &'static str {
        match self {
            AdminCommand::Ping => "PING",
            AdminCommand::Info => "INFO",
            AdminCommand::Lameduck => "LAMEDUCK",
            AdminCommand::Rejoin => "REJOIN",
        }
    }

    /// Returns the command with exactly this name.
    pub fn parse(name: &str) -> Option<AdminCommand> {
        AdminCommand::ALL
            .into_iter()
            .find(|command| command.name() == name)
    }
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The line has more than [`MAX_LINE_BYTES`] bytes.
    TooLong,
    /// There is no command with this name.
    Unknown,
    /// The caller stopped sending before the end of the line. An incomplete command is not executed.
    Incomplete,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandError::TooLong => "the line is too long",
            CommandError::Unknown => "no such call; there are PING, INFO, LAMEDUCK and REJOIN",
            CommandError::Incomplete => "the line has no end",
        })
    }
}

impl std::error::Error for CommandError {}

/// A buffer for a line that is received in pieces of any size.
#[derive(Debug, Default)]
pub struct Line {
    received: Vec<u8>,
}

impl Line {
    /// Appends received bytes. Returns the command or an error once the line is complete or too long, and `None` until
    /// then. Bytes after the line are ignored.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Result<AdminCommand, CommandError>> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let more = &bytes[..end.unwrap_or(bytes.len())];
        // One more byte is allowed, which may be a carriage return before the line feed.
        if self.received.len() + more.len() > MAX_LINE_BYTES + 1 {
            return Some(Err(CommandError::TooLong));
        }
        self.received.extend_from_slice(more);
        end?;
        let name = std::str::from_utf8(self.received.trim_ascii()).unwrap_or_default();
        Some(AdminCommand::parse(name).ok_or(CommandError::Unknown))
    }
}

#[cfg(test)]
mod tests;
