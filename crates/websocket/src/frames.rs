//! What may pass from one side of a socket to the other (RFC 6455, sections 5 and 7; RFC 7692 is passed through).
//!
//! Frames go on as they came, the client's mask on them, so that nothing is unpacked. Heads and control frames are held
//! until they are whole: whatever was passed on ends at a frame's boundary, or inside the payload of a data frame.

use std::io::Cursor;
use tungstenite::protocol::frame::coding::{CloseCode, Control, Data, OpCode};
use tungstenite::protocol::frame::{CloseFrame, Frame, FrameHeader};

/// Most bytes of a control frame's payload (section 5.5).
const CONTROL_MOST: u64 = 125;
/// Most bytes of a frame's head (section 5.2).
const HEAD_MOST: usize = 14;
/// What the node's own pings say, so that their pongs are known and go no further.
pub const OWN_PING: &[u8] = b"saffronpaddle";

/// Who speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// The client, who masks (section 5.3).
    Client,
    /// The server, who does not.
    Server,
}

impl Side {
    /// The one who listens.
    #[must_use]
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// What is let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Most bytes of a frame's payload.
    pub frame_most: u64,
    /// Most bytes of a message, all its frames together.
    pub message_most: u64,
    /// Messages may be compressed: RSV1 on their first frame.
    pub deflate: bool,
    /// Text that is not compressed has to be UTF-8.
    pub utf8: bool,
}

/// What came that the relay has to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A close frame with its code; it was passed on, and nothing is after it.
    Close(Option<u16>),
    /// The answer to a ping of the node's own; it was not passed on.
    OwnPong,
    /// Data went on: a head or a part of a payload.
    Data,
}

/// What must not pass: the code to close with (section 7.4.1), and what is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// 1002, 1007 or 1009.
    pub code: u16,
    /// In words.
    pub why: &'static str,
}

fn wrong<T>(why: &'static str) -> Result<T, Fault> {
    Err(Fault { code: 1002, why })
}

/// Follows what one side says.
#[derive(Debug)]
pub struct Scanner {
    side: Side,
    rules: Rules,
    head: [u8; HEAD_MOST],
    have: usize,
    /// The frame whose payload is under way, and how much of that is to come.
    frame: Option<Under>,
    /// A message that is in pieces: its bytes so far, and whether it is text to be checked.
    message: Option<(u64, bool)>,
    /// The payload so far of a control frame.
    control: Vec<u8>,
    /// Bytes of a character that is not whole yet.
    text: Vec<u8>,
    closed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Under {
    control: Option<Control>,
    last: bool,
    text: bool,
    mask: Option<[u8; 4]>,
    left: u64,
    at: usize,
}

impl Scanner {
    /// Follows one side of a new socket.
    pub fn new(side: Side, rules: Rules) -> Scanner {
        Scanner {
            side,
            rules,
            head: [0; HEAD_MOST],
            have: 0,
            frame: None,
            message: None,
            control: Vec::new(),
            text: Vec::new(),
            closed: false,
        }
    }

    /// Whether what was passed on ends at a frame's boundary: the node may put in a frame of its own there.
    pub fn at_boundary(&self) -> bool {
        self.frame.is_none_or(|frame| frame.control.is_some())
    }

    /// Whether this side has closed.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Takes in what came and adds what may pass to `out`.
    ///
    /// # Errors
    /// What must not pass. What came before it may.
    pub fn scan(
        &mut self,
        mut bytes: &[u8],
        out: &mut Vec<u8>,
        seen: &mut Vec<Seen>,
    ) -> Result<(), Fault> {
        while !bytes.is_empty() && !self.closed {
            if self.frame.is_none() {
                let wants = self.wants();
                let taken = (wants - self.have).min(bytes.len());
                self.head[self.have..self.have + taken].copy_from_slice(&bytes[..taken]);
                self.have += taken;
                bytes = &bytes[taken..];
                if self.have < self.wants() {
                    continue;
                }
                self.begin(out, seen)?;
            }
            let Some(mut frame) = self.frame else {
                continue;
            };
            let taken = usize::try_from(frame.left)
                .unwrap_or(usize::MAX)
                .min(bytes.len());
            let (now, rest) = bytes.split_at(taken);
            bytes = rest;
            if frame.control.is_some() {
                self.control.extend_from_slice(now);
            } else {
                if frame.text {
                    self.check(&frame, now)?;
                }
                out.extend_from_slice(now);
                if taken > 0 {
                    seen.push(Seen::Data);
                }
            }
            frame.at += taken;
            frame.left -= taken as u64;
            self.frame = Some(frame);
            if frame.left == 0 {
                self.end(frame, out, seen)?;
            }
        }
        Ok(())
    }

    /// How many bytes the head at hand has, as far as that is known.
    fn wants(&self) -> usize {
        if self.have < 2 {
            return 2;
        }
        let length = match self.head[1] & 0x7f {
            126 => 2,
            127 => 8,
            _ => 0,
        };
        2 + length + if self.head[1] & 0x80 != 0 { 4 } else { 0 }
    }

    /// A head is whole (section 5.2).
    fn begin(&mut self, out: &mut Vec<u8>, seen: &mut Vec<Seen>) -> Result<(), Fault> {
        let head = &self.head[..self.have];
        let (first, short) = (head[0], head[1] & 0x7f);
        let parsed = FrameHeader::parse(&mut Cursor::new(head));
        let Ok(Some((header, length))) = parsed else {
            return wrong("an opcode that is reserved");
        };
        if length >> 63 != 0 {
            return wrong("a length beyond 2^63");
        }
        if (short == 126 && length < 126) || (short == 127 && length <= 0xffff) {
            return wrong("a length that is not written the short way");
        }
        if header.mask.is_some() != (self.side == Side::Client) {
            return wrong("a mask that is missing, or too many");
        }
        if header.rsv2 || header.rsv3 {
            return wrong("a bit that is reserved");
        }
        if let OpCode::Control(control) = header.opcode {
            if header.rsv1 || !header.is_final || length > CONTROL_MOST {
                return wrong("a control frame in pieces, too long or compressed");
            }
            self.under(&header, Some(control), false, length);
            return Ok(());
        }
        let new = !matches!(header.opcode, OpCode::Data(Data::Continue));
        if new == self.message.is_some() {
            return wrong("a message inside another, or the rest of none");
        }
        if header.rsv1 && !(self.rules.deflate && new) {
            return wrong("a bit that is reserved");
        }
        let (before, text) = self.message.unwrap_or((0, false));
        let text = if new {
            self.rules.utf8 && first & 0x0f == 1 && !header.rsv1
        } else {
            text
        };
        let size = before.saturating_add(length);
        if length > self.rules.frame_most || size > self.rules.message_most {
            return Err(Fault {
                code: 1009,
                why: "a frame or a message that is too large",
            });
        }
        self.message = Some((size, text));
        out.extend_from_slice(&self.head[..self.have]);
        seen.push(Seen::Data);
        self.under(&header, None, text, length);
        Ok(())
    }

    fn under(&mut self, header: &FrameHeader, control: Option<Control>, text: bool, left: u64) {
        let (mask, last) = (header.mask, header.is_final);
        self.frame = Some(Under {
            control,
            last,
            text,
            mask,
            left,
            at: 0,
        });
    }

    /// A frame is whole.
    fn end(&mut self, frame: Under, out: &mut Vec<u8>, seen: &mut Vec<Seen>) -> Result<(), Fault> {
        self.frame = None;
        let head = std::mem::take(&mut self.have);
        let Some(control) = frame.control else {
            if frame.last {
                self.message = None;
                if !std::mem::take(&mut self.text).is_empty() {
                    return Err(Fault {
                        code: 1007,
                        why: "text that ends within a character",
                    });
                }
            }
            return Ok(());
        };
        let raw = std::mem::take(&mut self.control);
        let plain: Vec<u8> = unmasked(frame.mask, 0, &raw).collect();
        if control == Control::Pong && plain == OWN_PING {
            seen.push(Seen::OwnPong);
            return Ok(());
        }
        if control == Control::Close {
            let code = close_code(&plain)?;
            self.closed = true;
            seen.push(Seen::Close(code));
        }
        out.extend_from_slice(&self.head[..head]);
        out.extend_from_slice(&raw);
        Ok(())
    }

    /// Checks a piece of text (section 8.1); what is no whole character yet is kept for the next piece.
    fn check(&mut self, frame: &Under, piece: &[u8]) -> Result<(), Fault> {
        self.text.extend(unmasked(frame.mask, frame.at, piece));
        match std::str::from_utf8(&self.text) {
            Ok(_) => self.text.clear(),
            Err(error) if error.error_len().is_none() => {
                let good = error.valid_up_to();
                self.text.drain(..good);
            }
            Err(_) => {
                return Err(Fault {
                    code: 1007,
                    why: "text that is no UTF-8",
                })
            }
        }
        Ok(())
    }
}

fn unmasked(mask: Option<[u8; 4]>, at: usize, bytes: &[u8]) -> impl Iterator<Item = u8> + '_ {
    let mask = mask.unwrap_or_default();
    bytes
        .iter()
        .enumerate()
        .map(move |(place, byte)| byte ^ mask[(at + place) % 4])
}

/// What a close frame says (sections 5.5.1 and 7.4).
fn close_code(payload: &[u8]) -> Result<Option<u16>, Fault> {
    let (code, reason) = match payload {
        [] => return Ok(None),
        [high, low, reason @ ..] => (u16::from_be_bytes([*high, *low]), reason),
        [_] => return wrong("a close code of one byte"),
    };
    if !CloseCode::from(code).is_allowed() {
        return wrong("a close code that is not allowed");
    }
    if std::str::from_utf8(reason).is_err() {
        return Err(Fault {
            code: 1007,
            why: "a reason that is no UTF-8",
        });
    }
    Ok(Some(code))
}

/// A close frame of the node's own, for this side to read. The reason has 123 bytes at the most.
pub fn close(to: Side, code: u16, reason: &str, mask: [u8; 4]) -> Vec<u8> {
    let mut end = reason.len().min(CONTROL_MOST as usize - 2);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    let frame = CloseFrame {
        code: CloseCode::from(code),
        reason: reason[..end].into(),
    };
    written(to, Frame::close(Some(frame)), mask)
}

/// A ping of the node's own, for this side to answer.
pub fn ping(to: Side, mask: [u8; 4]) -> Vec<u8> {
    written(to, Frame::ping(OWN_PING), mask)
}

/// Who speaks to a server speaks as a client, and masks.
fn written(to: Side, mut frame: Frame, mask: [u8; 4]) -> Vec<u8> {
    if to == Side::Server {
        frame.header_mut().mask = Some(mask);
    }
    let mut bytes = Vec::new();
    // A buffer takes all that is written to it.
    let _ = frame.format(&mut bytes);
    bytes
}

#[cfg(test)]
mod tests;
