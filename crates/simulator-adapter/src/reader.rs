//! Reads lines and counts them.

use crate::error::{ErrorKind, ProtocolError, Result};
use crate::line::Line;
use std::io::BufRead;

/// Reads the lines of an input, one at a time.
pub struct LineReader<R> {
    input: R,
    buffer: String,
    line_number: usize,
}

impl<R: BufRead> LineReader<R> {
    /// Reads `input` from its first line on.
    pub fn new(input: R) -> Self {
        LineReader {
            input,
            buffer: String::new(),
            line_number: 0,
        }
    }

    /// The next line, or none at the end of the input.
    ///
    /// # Errors
    /// The input can't be read, or ends inside the line.
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

    /// The next line of a batch that is not complete.
    ///
    /// # Errors
    /// As of [`LineReader::next`]; the input ends.
    pub fn next_in_batch(&mut self) -> Result<Line<'_>> {
        let end_of_input = self.line_number + 1;
        self.next()?.ok_or(ProtocolError {
            line: end_of_input,
            kind: ErrorKind::UnfinishedBatch,
        })
    }

    /// An error at the line that was read last.
    pub fn error(&self, kind: ErrorKind) -> ProtocolError {
        ProtocolError {
            line: self.line_number,
            kind,
        }
    }
}
