//! Encodes the frames that the node itself sends.

use super::{Side, MAX_CONTROL_BYTES};
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::frame::{CloseFrame, Frame};

/// The payload of the node's pings. A pong with this payload answers the node and is not forwarded.
pub const OWN_PING_PAYLOAD: &[u8] = b"saffronpaddle";

/// Length of the code in a close frame's payload.
const CLOSE_CODE_BYTES: usize = 2;

/// Encodes a close frame that is sent to a side. A reason of more than 123 bytes is truncated at a character boundary.
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

/// Encodes a ping that is sent to a side.
pub fn ping(to: Side, mask: [u8; 4]) -> Vec<u8> {
    encode(to, Frame::ping(OWN_PING_PAYLOAD), mask)
}

/// Encodes a frame. It is masked if it is sent to a server, because the node is the client there.
fn encode(to: Side, mut frame: Frame, mask: [u8; 4]) -> Vec<u8> {
    if to == Side::Server {
        frame.header_mut().mask = Some(mask);
    }
    let mut bytes = Vec::new();
    // Writing to a `Vec` cannot fail.
    let _ = frame.format(&mut bytes);
    bytes
}
