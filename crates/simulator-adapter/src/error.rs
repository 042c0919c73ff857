//! What ends the adapter, and at which line of its input.

use saffronpaddle_policy::interface::SettingsError;
use saffronpaddle_policy::setup::ReadError;
use std::fmt;
use std::io;

/// A result whose error names a line of the input.
pub type Result<T> = std::result::Result<T, ProtocolError>;

/// An error at a line of the input.
#[derive(Debug)]
pub struct ProtocolError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong there.
    pub kind: ErrorKind,
}

/// What is wrong with a line, or with the streams that carry lines.
#[derive(Debug)]
pub enum ErrorKind {
    /// The input can't be read.
    Read(io::Error),
    /// The input ends before the line does.
    TruncatedLine,
    /// The input ends before the batch does.
    UnfinishedBatch,
    /// The reply can't be written.
    Write(io::Error),
    /// Only one message may stand here, and another one does.
    UnexpectedMessage {
        /// The message that may stand here.
        expected: &'static str,
        /// The message that does.
        found: String,
    },
    /// No message has this name.
    UnknownMessage(String),
    /// A message lacks a field.
    MissingField {
        /// The message.
        message: String,
        /// The field that it lacks.
        field: &'static str,
    },
    /// A field has a value that it can't have.
    InvalidField {
        /// The message.
        message: String,
        /// Its field.
        field: &'static str,
        /// The field's value.
        value: String,
    },
    /// The settings of a new instance can't be read.
    UnreadableSetup(ReadError),
    /// The settings of a new instance contradict themselves.
    InvalidSettings(SettingsError),
    /// A message is for an instance that isn't running.
    UnknownInstance {
        /// The message.
        message: String,
        /// Number of the instance.
        instance: u64,
    },
    /// An endpoint is in a zone that the instance's settings don't name.
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
            ErrorKind::Read(error) => write!(f, "cannot be read: {error}"),
            ErrorKind::TruncatedLine => f.write_str("the line breaks off"),
            ErrorKind::UnfinishedBatch => {
                f.write_str("input ends inside a batch; eof_batch is missing")
            }
            ErrorKind::Write(error) => write!(f, "the reply cannot be written: {error}"),
            ErrorKind::UnexpectedMessage { expected, found } => {
                write!(f, "expected {expected}, found {found:?}")
            }
            ErrorKind::UnknownMessage(name) => write!(f, "{name:?} is no known message"),
            ErrorKind::MissingField { message, field } => {
                write!(f, "{message}: field {field} is missing")
            }
            ErrorKind::InvalidField {
                message,
                field,
                value,
            } => write!(f, "{message}: field {field} cannot be {value:?}"),
            ErrorKind::UnreadableSetup(error) => write!(f, "hello: field setup: {error}"),
            ErrorKind::InvalidSettings(error) => write!(f, "hello: field setup: {error}"),
            ErrorKind::UnknownInstance { message, instance } => {
                write!(f, "{message}: field i: {instance} was never started")
            }
            ErrorKind::UnknownZone(name) => write!(f, "update: field list: no zone {name:?}"),
        }
    }
}

impl std::error::Error for ProtocolError {}
