//! Follows the frames of one side.

use super::{Fault, Rules, Seen, Side, MAX_CONTROL_BYTES, OWN_PING};
use std::io::Cursor;
use tungstenite::protocol::frame::coding::{CloseCode, Control, Data, OpCode};
use tungstenite::protocol::frame::FrameHeader;

/// The most bytes of a frame's head (section 5.2).
const MAX_HEAD_BYTES: usize = 14;
/// The bytes of a head that tell how long it is.
const MIN_HEAD_BYTES: usize = 2;
/// The bytes of a mask.
const MASK_BYTES: usize = 4;
/// In the second byte of a head: the length follows in 2 bytes.
const LENGTH_IN_2_BYTES: u8 = 126;
/// In the second byte of a head: the length follows in 8 bytes.
const LENGTH_IN_8_BYTES: u8 = 127;
/// In the second byte of a head: the bits of a short length.
const LENGTH_BITS: u8 = 0x7f;
/// In the second byte of a head: a mask follows.
const MASK_BIT: u8 = 0x80;

/// Follows the frames of one side, and says which bytes may be forwarded.
#[derive(Debug)]
pub struct Scanner {
    side: Side,
    rules: Rules,
    head: [u8; MAX_HEAD_BYTES],
    /// How many bytes of `head` have come.
    head_bytes: usize,
    /// The frame whose payload is coming.
    frame: Option<OpenFrame>,
    /// The message whose last frame has not come.
    message: Option<OpenMessage>,
    /// The payload of a control frame so far.
    control: Vec<u8>,
    /// The bytes of a character of text that is not complete.
    partial_character: Vec<u8>,
    closed: bool,
}

#[derive(Clone, Copy, Debug)]
struct OpenFrame {
    control: Option<Control>,
    is_final: bool,
    check_text: bool,
    mask: Option<[u8; MASK_BYTES]>,
    /// How many bytes of the payload have come.
    received: usize,
    /// How many bytes of the payload are still to come.
    left: u64,
}

#[derive(Clone, Copy, Debug)]
struct OpenMessage {
    /// The payload of its frames so far, in bytes.
    bytes: u64,
    check_text: bool,
}

impl Scanner {
    /// Follows one side of a new socket.
    pub fn new(side: Side, rules: Rules) -> Scanner {
        Scanner {
            side,
            rules,
            head: [0; MAX_HEAD_BYTES],
            head_bytes: 0,
            frame: None,
            message: None,
            control: Vec::new(),
            partial_character: Vec::new(),
            closed: false,
        }
    }

    /// Whether what was forwarded ends at a frame boundary, where the node may send a frame of its own.
    pub fn at_boundary(&self) -> bool {
        self.frame.is_none_or(|frame| frame.control.is_some())
    }

    /// Whether this side has sent a close frame.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Takes in received bytes, and appends those that may be forwarded to `out`.
    ///
    /// # Errors
    /// A frame that must not pass. What came before it was appended to `out`.
    pub fn scan(
        &mut self,
        mut bytes: &[u8],
        out: &mut Vec<u8>,
        seen: &mut Vec<Seen>,
    ) -> Result<(), Fault> {
        while !bytes.is_empty() && !self.closed {
            if self.frame.is_none() {
                self.take_head(&mut bytes, out, seen)?;
            }
            if let Some(frame) = self.frame {
                self.take_payload(frame, &mut bytes, out, seen)?;
            }
        }
        Ok(())
    }

    /// Takes bytes of a head off the front of `bytes`, and starts the frame once the head is complete.
    fn take_head(
        &mut self,
        bytes: &mut &[u8],
        out: &mut Vec<u8>,
        seen: &mut Vec<Seen>,
    ) -> Result<(), Fault> {
        let missing = self.expected_head_bytes() - self.head_bytes;
        let (head, rest) = bytes.split_at(missing.min(bytes.len()));
        let end = self.head_bytes + head.len();
        self.head[self.head_bytes..end].copy_from_slice(head);
        self.head_bytes = end;
        *bytes = rest;
        if self.head_bytes == self.expected_head_bytes() {
            self.start_frame(out, seen)?;
        }
        Ok(())
    }

    /// How many bytes the head has, as far as that is known.
    fn expected_head_bytes(&self) -> usize {
        if self.head_bytes < MIN_HEAD_BYTES {
            return MIN_HEAD_BYTES;
        }
        let second = self.head[1];
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
        MIN_HEAD_BYTES + length_bytes + mask_bytes
    }

    /// A head is complete (section 5.2).
    fn start_frame(&mut self, out: &mut Vec<u8>, seen: &mut Vec<Seen>) -> Result<(), Fault> {
        let head = &self.head[..self.head_bytes];
        let parsed = FrameHeader::parse(&mut Cursor::new(head));
        let Ok(Some((header, length))) = parsed else {
            return Err(Fault::protocol_error("an opcode that is reserved"));
        };
        self.check_head(&header, length)?;
        let (control, check_text) = match header.opcode {
            OpCode::Control(control) => {
                check_control(&header, length)?;
                (Some(control), false)
            }
            OpCode::Data(data) => {
                let check_text = self.add_to_message(&header, data, length)?;
                out.extend_from_slice(&self.head[..self.head_bytes]);
                seen.push(Seen::Data);
                (None, check_text)
            }
        };
        self.frame = Some(OpenFrame {
            control,
            is_final: header.is_final,
            check_text,
            mask: header.mask,
            received: 0,
            left: length,
        });
        Ok(())
    }

    /// The rules for the heads of all frames.
    fn check_head(&self, header: &FrameHeader, length: u64) -> Result<(), Fault> {
        if length >> 63 != 0 {
            return Err(Fault::protocol_error("a length beyond 2^63"));
        }
        let too_long_form = match self.head[1] & LENGTH_BITS {
            LENGTH_IN_2_BYTES => length < u64::from(LENGTH_IN_2_BYTES),
            LENGTH_IN_8_BYTES => u16::try_from(length).is_ok(),
            _ => false,
        };
        if too_long_form {
            return Err(Fault::protocol_error(
                "a length that is not written the short way",
            ));
        }
        if header.mask.is_some() != (self.side == Side::Client) {
            return Err(Fault::protocol_error("a mask that is missing, or too many"));
        }
        if header.rsv2 || header.rsv3 {
            return Err(Fault::protocol_error("a bit that is reserved"));
        }
        Ok(())
    }

    /// Adds a data frame to its message. Returns whether its payload is text that has to be checked.
    fn add_to_message(
        &mut self,
        header: &FrameHeader,
        data: Data,
        length: u64,
    ) -> Result<bool, Fault> {
        let starts_message = data != Data::Continue;
        if starts_message == self.message.is_some() {
            return Err(Fault::protocol_error(
                "a message inside another, or the rest of none",
            ));
        }
        if header.rsv1 && !(self.rules.deflate && starts_message) {
            return Err(Fault::protocol_error("a bit that is reserved"));
        }
        let message = self.message.unwrap_or(OpenMessage {
            bytes: 0,
            check_text: self.rules.utf8 && data == Data::Text && !header.rsv1,
        });
        let bytes = message.bytes.saturating_add(length);
        if length > self.rules.frame_most || bytes > self.rules.message_most {
            return Err(Fault::too_large("a frame or a message that is too large"));
        }
        self.message = Some(OpenMessage { bytes, ..message });
        Ok(message.check_text)
    }

    /// Takes bytes of a frame's payload off the front of `bytes`, and ends the frame once its payload is complete.
    fn take_payload(
        &mut self,
        mut frame: OpenFrame,
        bytes: &mut &[u8],
        out: &mut Vec<u8>,
        seen: &mut Vec<Seen>,
    ) -> Result<(), Fault> {
        let left = usize::try_from(frame.left).unwrap_or(usize::MAX);
        let (payload, rest) = bytes.split_at(left.min(bytes.len()));
        *bytes = rest;
        if frame.control.is_some() {
            self.control.extend_from_slice(payload);
        } else {
            if frame.check_text {
                self.check_text(&frame, payload)?;
            }
            out.extend_from_slice(payload);
            if !payload.is_empty() {
                seen.push(Seen::Data);
            }
        }
        frame.received += payload.len();
        frame.left -= payload.len() as u64;
        self.frame = Some(frame);
        if frame.left > 0 {
            return Ok(());
        }
        self.frame = None;
        let head_bytes = std::mem::take(&mut self.head_bytes);
        match frame.control {
            Some(control) => self.end_control(&frame, control, head_bytes, out, seen),
            None => self.end_data(&frame),
        }
    }

    /// A data frame is complete.
    fn end_data(&mut self, frame: &OpenFrame) -> Result<(), Fault> {
        if frame.is_final {
            self.message = None;
            if !std::mem::take(&mut self.partial_character).is_empty() {
                return Err(Fault::invalid_data("text that ends within a character"));
            }
        }
        Ok(())
    }

    /// A control frame is complete.
    fn end_control(
        &mut self,
        frame: &OpenFrame,
        control: Control,
        head_bytes: usize,
        out: &mut Vec<u8>,
        seen: &mut Vec<Seen>,
    ) -> Result<(), Fault> {
        let masked = std::mem::take(&mut self.control);
        let payload: Vec<u8> = unmask(frame.mask, 0, &masked).collect();
        if control == Control::Pong && payload == OWN_PING {
            seen.push(Seen::OwnPong);
            return Ok(());
        }
        if control == Control::Close {
            let code = close_code(&payload)?;
            self.closed = true;
            seen.push(Seen::Close(code));
        }
        out.extend_from_slice(&self.head[..head_bytes]);
        out.extend_from_slice(&masked);
        Ok(())
    }

    /// Checks a piece of text (section 8.1). The bytes of an incomplete character are kept for the next piece.
    fn check_text(&mut self, frame: &OpenFrame, piece: &[u8]) -> Result<(), Fault> {
        let text = &mut self.partial_character;
        text.extend(unmask(frame.mask, frame.received, piece));
        match std::str::from_utf8(text) {
            Ok(_) => text.clear(),
            Err(error) if error.error_len().is_none() => {
                let valid = error.valid_up_to();
                text.drain(..valid);
            }
            Err(_) => return Err(Fault::invalid_data("text that is no UTF-8")),
        }
        Ok(())
    }
}

/// The rules for the heads of control frames (section 5.5).
fn check_control(header: &FrameHeader, length: u64) -> Result<(), Fault> {
    if header.rsv1 || !header.is_final || length > MAX_CONTROL_BYTES as u64 {
        return Err(Fault::protocol_error(
            "a control frame in pieces, too long or compressed",
        ));
    }
    Ok(())
}

/// Unmasks bytes that start at the place `start` of a payload.
fn unmask(
    mask: Option<[u8; MASK_BYTES]>,
    start: usize,
    bytes: &[u8],
) -> impl Iterator<Item = u8> + '_ {
    let mask = mask.unwrap_or_default();
    let places = bytes.iter().enumerate();
    places.map(move |(place, byte)| byte ^ mask[(start + place) % MASK_BYTES])
}

/// The code of a close frame (sections 5.5.1 and 7.4).
fn close_code(payload: &[u8]) -> Result<Option<u16>, Fault> {
    let (code, reason) = match payload {
        [] => return Ok(None),
        [_] => return Err(Fault::protocol_error("a close code of one byte")),
        [high, low, reason @ ..] => (u16::from_be_bytes([*high, *low]), reason),
    };
    if !CloseCode::from(code).is_allowed() {
        return Err(Fault::protocol_error("a close code that is not allowed"));
    }
    if std::str::from_utf8(reason).is_err() {
        return Err(Fault::invalid_data("a reason that is no UTF-8"));
    }
    Ok(Some(code))
}
