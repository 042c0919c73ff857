//! Which frames may pass from one side of a socket to the other (RFC 6455, sections 5 and 7; compressed messages as in
//! RFC 7692 pass unchanged).
//!
//! Frames are forwarded as they came, with the client's mask, so that nothing is unpacked. Heads and control frames are
//! kept back until they are complete: what was forwarded always ends at a frame boundary or inside the payload of a data
//! frame.

mod own;
mod scanner;

pub use own::{close, ping, OWN_PING};
pub use scanner::Scanner;

/// The most bytes of a control frame's payload (section 5.5).
const MAX_CONTROL_BYTES: usize = 125;

/// A side of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// The client, which masks its frames (section 5.3).
    Client,
    /// The server, which does not.
    Server,
}

impl Side {
    /// The other side.
    #[must_use]
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// What frames may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The longest payload of a frame, in bytes.
    pub frame_most: u64,
    /// The longest payload of a message, all its frames together, in bytes.
    pub message_most: u64,
    /// Messages may be compressed: their first frame may have RSV1 set.
    pub deflate: bool,
    /// Text that is not compressed must be UTF-8.
    pub utf8: bool,
}

/// What the relay has to know of the frames that were scanned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A close frame with its code. It was forwarded, and nothing after it is.
    Close(Option<u16>),
    /// The answer to a ping of the node. It was not forwarded.
    OwnPong,
    /// Data was forwarded: a head or a part of a payload.
    Data,
}

/// A frame that must not pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The code to close the socket with (section 7.4.1): 1002, 1007 or 1009.
    pub code: u16,
    /// The reason to close the socket with.
    pub why: &'static str,
}

impl Fault {
    fn protocol_error(why: &'static str) -> Fault {
        Fault { code: 1002, why }
    }

    fn invalid_data(why: &'static str) -> Fault {
        Fault { code: 1007, why }
    }

    fn too_large(why: &'static str) -> Fault {
        Fault { code: 1009, why }
    }
}
