//! Errors that end the adapter, with the input line at which they occurred.

use saffronpaddle_policy::interface::SettingsError;
use saffronpaddle_policy::setup::ReadError;
use std::fmt;
use std::io;

/// Result whose error carries the number of an input line.
pub type Result<T> = std::result::Result<T, ProtocolError>;

/// An error at one line of the input.
#[derive(Debug)]
pub struct ProtocolError {
    /// Number of the line, from 1.
    pub line: usize,
    /// The cause of the error.
    pub kind: ErrorKind,
}

/// Cause of an error: an invalid line, or a failed input or output stream.
#[derive(Debug)]
pub enum ErrorKind {
    /// Reading the input failed.
    Read(io::Error),
    /// The input ended before the line's line feed.
    TruncatedLine,
    /// The input ended before the batch did.
    UnfinishedBatch,
    /// Writing a reply failed.
    Write(io::Error),
    /// A message other than the only one allowed at this point.
    UnexpectedMessage {
        /// Name of the message that is allowed.
        expected: &'static str,
        /// Name of the message that was read.
        found: String,
    },
    /// The protocol has no message of this name.
    UnknownMessage(String),
    /// A message lacks a required field.
    MissingField {
        /// Name of the message.
        message: String,
        /// Name of the missing field.
        field: &'static str,
    },
    /// A field has a value that is malformed or out of range.
    InvalidField {
        /// Name of the message.
        message: String,
        /// Name of the field.
        field: &'static str,
        /// The value as read; empty if the field is absent.
        value: String,
    },
    /// The settings of a new instance cannot be parsed.
    UnreadableSettings(ReadError),
    /// The policy engine rejected the settings of a new instance.
    InvalidSettings(SettingsError),
    /// A message is addressed to an instance that is not running.
    UnknownInstance {
        /// Name of the message.
        message: String,
        /// Number of the instance.
        instance: u64,
    },
    /// An endpoint is in a zone, given by name, that the instance's settings do not list.
    UnknownZone(String),
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.kind)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ErrorKind::Read(error) => write!(f, "cannot read the input: {error}"),
            ErrorKind::TruncatedLine => {
                f.write_str("line is truncated: no line feed before the end of the input")
            }
            ErrorKind::UnfinishedBatch => {
                f.write_str("input ended inside a batch: eof_batch is missing")
            }
            ErrorKind::Write(error) => write!(f, "cannot write the reply: {error}"),
            ErrorKind::UnexpectedMessage { expected, found } => {
                write!(f, "expected {expected}, found {found:?}")
            }
            ErrorKind::UnknownMessage(name) => write!(f, "unknown message {name:?}"),
            ErrorKind::MissingField { message, field } => {
                write!(f, "{message}: field {field} is missing")
            }
            ErrorKind::InvalidField {
                message,
                field,
                value,
            } => write!(f, "{message}: field {field}: invalid value {value:?}"),
            ErrorKind::UnreadableSettings(error) => write!(f, "hello: field setup: {error}"),
            ErrorKind::InvalidSettings(error) => write!(f, "hello: field setup: {error}"),
            ErrorKind::UnknownInstance { message, instance } => {
                write!(f, "{message}: field i: instance {instance} is not running")
            }
            ErrorKind::UnknownZone(name) => write!(
                f,
                "update: field list: zone {name:?} is not in the instance's settings"
            ),
        }
    }
}

impl std::error::Error for ProtocolError {}
