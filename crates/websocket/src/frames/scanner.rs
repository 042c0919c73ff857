//! Parses and validates the frames that one side sends.

use super::{FrameError, FrameEvent, Rules, Side, MAX_CONTROL_BYTES, OWN_PING_PAYLOAD};
use std::io::Cursor;
use tungstenite::protocol::frame::coding::{CloseCode, Control, Data, OpCode};
use tungstenite::protocol::frame::FrameHeader;

/// Maximum length of a frame header (section 5.2).
const MAX_HEADER_BYTES: usize = 14;
/// Length of the first part of a frame header, which determines the length of the full header.
const MIN_HEADER_BYTES: usize = 2;
/// Length of a masking key.
const MASK_BYTES: usize = 4;
/// Length field of a header whose payload length follows in 2 bytes.
const LENGTH_IN_2_BYTES: u8 = 126;
/// Length field of a header whose payload length follows in 8 bytes.
const LENGTH_IN_8_BYTES: u8 = 127;
/// The bits of the length field, in the second byte of a header.
const LENGTH_BITS: u8 = 0x7f;
/// The bit that announces a masking key, in the second byte of a header.
const MASK_BIT: u8 = 0x80;

/// Validates the frames that one side sends, and selects the bytes to forward.
#[derive(Debug)]
pub struct Scanner {
    side: Side,
    rules: Rules,
    header: [u8; MAX_HEADER_BYTES],
    /// The number of bytes in `header` that have been received.
    header_bytes: usize,
    /// The frame whose payload is being received.
    frame: Option<OpenFrame>,
    /// The message whose last frame has not been received.
    message: Option<OpenMessage>,
    /// The received part of a control frame's payload, still masked.
    control: Vec<u8>,
    /// The received bytes of a text character that is not complete.
    partial_character: Vec<u8>,
    closed: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenFrame {
    control: Option<Control>,
    is_final: bool,
    check_text: bool,
    mask: Option<[u8; MASK_BYTES]>,
    /// The number of payload bytes that have been received.
    received: usize,
    /// The number of payload bytes that have not been received.
    remaining: u64,
}

#[derive(Clone, Copy, Debug)]
struct OpenMessage {
    /// The sum of the payload lengths of its frames so far.
    bytes: u64,
    check_text: bool,
}

impl Scanner {
    /// Creates a scanner for the frames that `side` sends on a new socket.
    pub fn new(side: Side, rules: Rules) -> Scanner {
        Scanner {
            side,
            rules,
            header: [0; MAX_HEADER_BYTES],
            header_bytes: 0,
            frame: None,
            message: None,
            control: Vec::new(),
            partial_character: Vec::new(),
            closed: false,
        }
    }

    /// Whether the forwarded bytes end at a frame boundary, so that the node may insert its own frame.
    pub fn at_boundary(&self) -> bool {
        self.frame.is_none_or(|frame| frame.control.is_some())
    }

    /// Whether this side has sent a close frame.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Scans received bytes. Appends those to forward to `out`, and what the relay needs to know to `events`.
    ///
    /// # Errors
    /// A frame is invalid or too large. The bytes before it have been appended to `out`.
    pub fn scan(
        &mut self,
        mut bytes: &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<FrameEvent>,
    ) -> Result<(), FrameError> {
        while !bytes.is_empty() && !self.closed {
            if self.frame.is_none() {
                self.take_header(&mut bytes, out, events)?;
            }
            if let Some(frame) = self.frame {
                self.take_payload(frame, &mut bytes, out, events)?;
            }
        }
        Ok(())
    }

    /// Consumes header bytes from the front of `bytes`, and starts the frame once the header is complete.
    fn take_header(
        &mut self,
        bytes: &mut &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<FrameEvent>,
    ) -> Result<(), FrameError> {
        let missing = self.expected_header_bytes() - self.header_bytes;
        let (part, rest) = bytes.split_at(missing.min(bytes.len()));
        let end = self.header_bytes + part.len();
        self.header[self.header_bytes..end].copy_from_slice(part);
        self.header_bytes = end;
        *bytes = rest;
        if self.header_bytes == self.expected_header_bytes() {
            self.start_frame(out, events)?;
        }
        Ok(())
    }

    /// Returns the length of the header, or that of its first part until that part has been received.
    fn expected_header_bytes(&self) -> usize {
        if self.header_bytes < MIN_HEADER_BYTES {
            return MIN_HEADER_BYTES;
        }
        let second = self.header[1];
        let length_bytes = match second & LENGTH_BITS {
            LENGTH_IN_2_BYTES => 2,
            LENGTH_IN_8_BYTES => 8,
            _ => 0,
        };
        let mask_bytes = if second & MASK_BIT == 0 {
            0
        } else {
            MASK_BYTES
        };
        MIN_HEADER_BYTES + length_bytes + mask_bytes
    }

    /// Validates a complete header (section 5.2) and starts its frame.
    fn start_frame(
        &mut self,
        out: &mut Vec<u8>,
        events: &mut Vec<FrameEvent>,
    ) -> Result<(), FrameError> {
        let raw_header = &self.header[..self.header_bytes];
        let parsed = FrameHeader::parse(&mut Cursor::new(raw_header));
        let Ok(Some((header, length))) = parsed else {
            return Err(FrameError::protocol_error("an opcode that is reserved"));
        };
        self.check_header(&header, length)?;
        let (control, check_text) = match header.opcode {
            OpCode::Control(control) => {
                check_control(&header, length)?;
                (Some(control), false)
            }
            OpCode::Data(data) => {
                let check_text = self.add_to_message(&header, data, length)?;
                out.extend_from_slice(&self.header[..self.header_bytes]);
                events.push(FrameEvent::Data);
                (None, check_text)
            }
        };
        self.frame = Some(OpenFrame {
            control,
            is_final: header.is_final,
            check_text,
            mask: header.mask,
            received: 0,
            remaining: length,
        });
        Ok(())
    }

    /// Checks the rules for the headers of all frames.
    fn check_header(&self, header: &FrameHeader, length: u64) -> Result<(), FrameError> {
        if length >> 63 != 0 {
            return Err(FrameError::protocol_error("a length beyond 2^63"));
        }
        let not_minimal = match self.header[1] & LENGTH_BITS {
            LENGTH_IN_2_BYTES => length < u64::from(LENGTH_IN_2_BYTES),
            LENGTH_IN_8_BYTES => u16::try_from(length).is_ok(),
            _ => false,
        };
        if not_minimal {
            return Err(FrameError::protocol_error(
                "a length that is not written the short way",
            ));
        }
        if header.mask.is_some() != (self.side == Side::Client) {
            return Err(FrameError::protocol_error(
                "a mask that is missing, or too many",
            ));
        }
        if header.rsv2 || header.rsv3 {
            return Err(FrameError::protocol_error("a bit that is reserved"));
        }
        Ok(())
    }

    /// Adds a data frame to its message. Returns whether its payload is text that must be checked.
    fn add_to_message(
        &mut self,
        header: &FrameHeader,
        data: Data,
        length: u64,
    ) -> Result<bool, FrameError> {
        let starts_message = data != Data::Continue;
        if starts_message == self.message.is_some() {
            return Err(FrameError::protocol_error(
                "a message inside another, or the rest of none",
            ));
        }
        if header.rsv1 && !(self.rules.deflate && starts_message) {
            return Err(FrameError::protocol_error("a bit that is reserved"));
        }
        let message = self.message.unwrap_or(OpenMessage {
            bytes: 0,
            check_text: self.rules.utf8 && data == Data::Text && !header.rsv1,
        });
        let bytes = message.bytes.saturating_add(length);
        if length > self.rules.max_frame_bytes || bytes > self.rules.max_message_bytes {
            return Err(FrameError::too_large(
                "a frame or a message that is too large",
            ));
        }
        self.message = Some(OpenMessage { bytes, ..message });
        Ok(message.check_text)
    }

    /// Consumes payload bytes from the front of `bytes`, and ends the frame once its payload is complete.
    fn take_payload(
        &mut self,
        mut frame: OpenFrame,
        bytes: &mut &[u8],
        out: &mut Vec<u8>,
        events: &mut Vec<FrameEvent>,
    ) -> Result<(), FrameError> {
        let remaining = usize::try_from(frame.remaining).unwrap_or(usize::MAX);
        let (payload, rest) = bytes.split_at(remaining.min(bytes.len()));
        *bytes = rest;
        if frame.control.is_some() {
            self.control.extend_from_slice(payload);
        } else {
            if frame.check_text {
                self.check_text(&frame, payload)?;
            }
            out.extend_from_slice(payload);
            if !payload.is_empty() {
                events.push(FrameEvent::Data);
            }
        }
        frame.received += payload.len();
        frame.remaining -= payload.len() as u64;
        self.frame = Some(frame);
        if frame.remaining > 0 {
            return Ok(());
        }
        self.frame = None;
        let header_bytes = std::mem::take(&mut self.header_bytes);
        match frame.control {
            Some(control) => self.end_control(&frame, control, header_bytes, out, events),
            None => self.end_data(&frame),
        }
    }

    /// Handles the end of a data frame.
    fn end_data(&mut self, frame: &OpenFrame) -> Result<(), FrameError> {
        if frame.is_final {
            self.message = None;
            if !std::mem::take(&mut self.partial_character).is_empty() {
                return Err(FrameError::invalid_data(
                    "text that ends within a character",
                ));
            }
        }
        Ok(())
    }

    /// Handles the end of a control frame: forwards it, unless it is the answer to a ping of the node.
    fn end_control(
        &mut self,
        frame: &OpenFrame,
        control: Control,
        header_bytes: usize,
        out: &mut Vec<u8>,
        events: &mut Vec<FrameEvent>,
    ) -> Result<(), FrameError> {
        let masked = std::mem::take(&mut self.control);
        let payload: Vec<u8> = unmask(frame.mask, 0, &masked).collect();
        if control == Control::Pong && payload == OWN_PING_PAYLOAD {
            events.push(FrameEvent::OwnPong);
            return Ok(());
        }
        if control == Control::Close {
            let code = close_code(&payload)?;
            self.closed = true;
            events.push(FrameEvent::Close(code));
        }
        out.extend_from_slice(&self.header[..header_bytes]);
        out.extend_from_slice(&masked);
        Ok(())
    }

    /// Checks that a piece of text is valid UTF-8 (section 8.1). Keeps the bytes of an incomplete character for the
    /// next piece.
    fn check_text(&mut self, frame: &OpenFrame, piece: &[u8]) -> Result<(), FrameError> {
        let text = &mut self.partial_character;
        text.extend(unmask(frame.mask, frame.received, piece));
        match std::str::from_utf8(text) {
            Ok(_) => text.clear(),
            Err(error) if error.error_len().is_none() => {
                let valid = error.valid_up_to();
                text.drain(..valid);
            }
            Err(_) => return Err(FrameError::invalid_data("text that is no UTF-8")),
        }
        Ok(())
    }
}

/// Checks the rules for the headers of control frames (section 5.5).
fn check_control(header: &FrameHeader, length: u64) -> Result<(), FrameError> {
    if header.rsv1 || !header.is_final || length > MAX_CONTROL_BYTES as u64 {
        return Err(FrameError::protocol_error(
            "a control frame in pieces, too long or compressed",
        ));
    }
    Ok(())
}

/// Unmasks bytes that start at the offset `start` of a payload.
fn unmask(
    mask: Option<[u8; MASK_BYTES]>,
    start: usize,
    bytes: &[u8],
) -> impl Iterator<Item = u8> + '_ {
    let mask = mask.unwrap_or_default();
    let indexed = bytes.iter().enumerate();
    indexed.map(move |(index, byte)| byte ^ mask[(start + index) % MASK_BYTES])
}

/// Validates the payload of a close frame and returns its code (sections 5.5.1 and 7.4).
fn close_code(payload: &[u8]) -> Result<Option<u16>, FrameError> {
    let (code, reason) = match payload {
        [] => return Ok(None),
        [_] => return Err(FrameError::protocol_error("a close code of one byte")),
        [high, low, reason @ ..] => (u16::from_be_bytes([*high, *low]), reason),
    };
    if !CloseCode::from(code).is_allowed() {
        return Err(FrameError::protocol_error(
            "a close code that is not allowed",
        ));
    }
    if std::str::from_utf8(reason).is_err() {
        return Err(FrameError::invalid_data("a reason that is no UTF-8"));
    }
    Ok(Some(code))
}
