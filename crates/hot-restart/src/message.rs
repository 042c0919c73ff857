//! The messages of a hot restart, each encoded as one line of JSON.

use saffronpaddle_policy::interface::{NodeId, RequestId, SiblingMessage};
use saffronpaddle_policy::StateSnapshot;
use serde::{Deserialize, Serialize};

/// The protocol version. A build understands all versions up to its own; it ignores unknown fields, and missing fields
/// have their defaults.
pub const VERSION: u32 = 1;
/// Maximum length of a line, in bytes. Bounds the memory for data without a line end; the state of ten thousand
/// customers takes about 4 MB.
pub const MAX_LINE_BYTES: usize = 8 << 20;

/// The greeting of a child.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The child's [`VERSION`].
    pub version: u32,
    /// The name of the child's node.
    pub name: String,
}

/// The state that a parent transfers to its child.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredState {
    /// The parent's [`VERSION`].
    pub version: u32,
    /// The name of the parent's node.
    pub name: String,
    /// The state of the policy engine.
    #[serde(rename = "module")]
    pub policy: StateSnapshot,
    /// The latest list of app servers from discovery, in the format of discovery's responses; `None` before the first.
    #[serde(default)]
    pub list: Option<serde_json::Value>,
    /// The ids of requests that may have run, the oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub finished_ids: Vec<RequestId>,
}

/// A message between two processes of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The greeting, which is the child's first message.
    Hello(Hello),
    /// The response to the greeting, which is the parent's first message.
    State(Box<TransferredState>),
    /// The child accepts connections from now on, and exchanges peer messages for both processes.
    Serving,
    /// An attempt of the sender, or of a process whose messages the sender forwards, has started or ended.
    #[serde(rename = "twin")]
    Sibling(SiblingMessage),
    /// A peer's datagram. The child forwards it to its parent, which no longer receives datagrams itself.
    Peer {
        /// The peer that sent the datagram.
        from: NodeId,
        /// The datagram's payload.
        bytes: Vec<u8>,
    },
}

/// Encodes a message as a line, including the line feed.
pub fn encode(message: &Message) -> String {
    let mut line = serde_json::to_string(message).unwrap_or_default();
    line.push('\n');
    line
}

/// Decodes a line. Returns `None` if the line is malformed or its message is unknown to this build.
pub fn decode(line: &[u8]) -> Option<Message> {
    serde_json::from_slice(line).ok()
}
