//! Reads the adapter's input line by line, with line numbers for error messages.

use crate::error::{ErrorKind, ProtocolError, Result};
use crate::line::Line;
use std::io::BufRead;

/// Reads the protocol lines of `input`. The buffer is reused, so a line is valid only until the next one is read.
pub struct LineReader<R> {
    input: R,
    buffer: String,
    /// Number of the line read last, from 1; 0 before the first.
    line_number: usize,
}

impl<R: BufRead> LineReader<R> {
    /// Creates a reader at the first line of `input`.
    pub fn new(input: R) -> Self {
        LineReader {
            input,
            buffer: String::new(),
            line_number: 0,
        }
    }

    /// Reads the next line, without its line ending. Returns `None` at the end of the input.
    ///
    /// # Errors
    /// Returns an error if the input cannot be read or its last line has no line feed.
    pub fn next(&mut self) -> Result<Option<Line<'_>>> {
        self.buffer.clear();
        self.line_number += 1;
        match self.input.read_line(&mut self.buffer) {
            Ok(0) => return Ok(None),
            Ok(_) => {}
            Err(error) => return Err(self.error(ErrorKind::Read(error))),
        }
        if self.buffer.pop() != Some('\n') {
            return Err(self.error(ErrorKind::TruncatedLine));
        }
        if self.buffer.ends_with('\r') {
            self.buffer.pop();
        }
        Ok(Some(Line::parse(self.line_number, &self.buffer)))
    }

    /// Reads the next line inside a batch, where the input must not end.
    ///
    /// # Errors
    /// Returns the errors of [`LineReader::next`], and an error if the input has ended.
    pub fn next_in_batch(&mut self) -> Result<Line<'_>> {
        let end_of_input = self.line_number + 1;
        self.next()?.ok_or(ProtocolError {
            line: end_of_input,
            kind: ErrorKind::UnfinishedBatch,
        })
    }

    /// Returns an error at the line that was read last.
    pub fn error(&self, kind: ErrorKind) -> ProtocolError {
        ProtocolError {
            line: self.line_number,
            kind,
        }
    }
}
