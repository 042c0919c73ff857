//! Validates the frames that are forwarded from one side of a socket to the other (RFC 6455, sections 5 and 7).
//!
//! Frames are forwarded unchanged, including the client's mask and compressed payloads (RFC 7692). Frame headers and
//! control frames are buffered until they are complete, so the forwarded bytes always end at a frame boundary or inside
//! the payload of a data frame.

mod own;
mod scanner;

pub use own::{close, ping, OWN_PING_PAYLOAD};
pub use scanner::Scanner;

/// Maximum length of a control frame's payload (section 5.5).
const MAX_CONTROL_BYTES: usize = 125;

/// One of the two peers between which a socket is proxied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// The client, which masks its frames (section 5.3).
    Client,
    /// The server, which does not mask its frames.
    Server,
}

impl Side {
    /// Returns the opposite side.
    #[must_use]
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// Limits and checks for the frames of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Maximum length of a frame's payload, in bytes.
    pub max_frame_bytes: u64,
    /// Maximum length of a message, which is the sum of its frames' payloads, in bytes.
    pub max_message_bytes: u64,
    /// Whether messages may be compressed, so that their first frame may have RSV1 set.
    pub deflate: bool,
    /// Whether uncompressed text messages are checked to be valid UTF-8.
    pub utf8: bool,
}

/// What the scanner reports to the relay about the scanned frames.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameEvent {
    /// A close frame, with its code if it has one, was forwarded. Bytes after it are not forwarded.
    Close(Option<u16>),
    /// A pong that answers a ping of the node was received. It is not forwarded.
    OwnPong,
    /// A part of a data frame was forwarded: its header or payload bytes.
    Data,
}

/// Why a frame is rejected, as the code and reason of the close frame that the node sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameError {
    /// The close code (section 7.4.1): 1002 (protocol error), 1007 (invalid payload data) or 1009 (message too big).
    pub code: u16,
    /// The close reason.
    pub reason: &'static str,
}

impl FrameError {
    fn protocol_error(reason: &'static str) -> FrameError {
        FrameError { code: 1002, reason }
    }

    fn invalid_data(reason: &'static str) -> FrameError {
        FrameError { code: 1007, reason }
    }

    fn too_large(reason: &'static str) -> FrameError {
        FrameError { code: 1009, reason }
    }
}
