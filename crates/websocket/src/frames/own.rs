//! Frames that the node itself sends.

use super::{Side, MAX_CONTROL_BYTES};
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::frame::{CloseFrame, Frame};

/// The payload of the node's pings. Pongs with it are answers to the node and are not forwarded.
pub const OWN_PING: &[u8] = b"saffronpaddle";

/// The bytes of a close frame's code.
const CLOSE_CODE_BYTES: usize = 2;

/// A close frame to a side. The reason is cut to 123 bytes.
pub fn close(to: Side, code: u16, reason: &str, mask: [u8; 4]) -> Vec<u8> {
    let mut end = reason.len().min(MAX_CONTROL_BYTES - CLOSE_CODE_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    let frame = CloseFrame {
        code: CloseCode::from(code),
        reason: reason[..end].into(),
    };
    encode(to, Frame::close(Some(frame)), mask)
}

/// A ping to a side.
pub fn ping(to: Side, mask: [u8; 4]) -> Vec<u8> {
    encode(to, Frame::ping(OWN_PING), mask)
}

/// Frames to a server are sent as a client, and masked.
fn encode(to: Side, mut frame: Frame, mask: [u8; 4]) -> Vec<u8> {
    if to == Side::Server {
        frame.header_mut().mask = Some(mask);
    }
    let mut bytes = Vec::new();
    // Writing to a vector does not fail.
    let _ = frame.format(&mut bytes);
    bytes
}
