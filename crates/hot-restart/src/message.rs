//! The messages of a hot restart, and their form: one line of JSON each.

use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use saffronpaddle_policy::StateSnapshot;
use serde::{Deserialize, Serialize};

/// The version of the messages. A build understands all versions up to its own; it ignores fields that it does not know,
/// and missing fields take their defaults.
pub const VERSION: u32 = 1;
/// The longest line, in bytes. It bounds the memory that a sender without line ends can take; a state with ten thousand
/// customers has some 4 MB.
pub const MAX_LINE_BYTES: usize = 8 << 20;

/// How a child introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The child's [`VERSION`].
    pub version: u32,
    /// The name of the child's node.
    pub name: String,
}

/// The state that a parent hands to its child.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredState {
    /// The parent's [`VERSION`].
    pub version: u32,
    /// The name of the parent's node.
    pub name: String,
    /// The state of the policy engine.
    #[serde(rename = "module")]
    pub policy: StateSnapshot,
    /// The last list of app servers from discovery, in discovery's own form.
    #[serde(default)]
    pub list: Option<serde_json::Value>,
}

/// A message between two processes of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The child's first message.
    Hello(Hello),
    /// The parent's first message.
    State(Box<TransferredState>),
    /// The child accepts clients from now on, and exchanges peer messages for both.
    Serving,
    /// An attempt of the sender, or of a process that the sender forwards for, has started or ended.
    #[serde(rename = "twin")]
    Sibling(SiblingMessage),
    /// A peer's datagram, forwarded to a parent, which receives no datagrams any more.
    Peer {
        /// The node that sent it.
        from: NodeId,
        /// The datagram's payload.
        bytes: Vec<u8>,
    },
}

/// Writes a message as a line, with its line end.
pub fn write(message: &Message) -> String {
    let mut line = serde_json::to_string(message).unwrap_or_default();
    line.push('\n');
    line
}

/// Reads a line. `None` for a line that is malformed, or a message that only newer builds know.
pub fn read(line: &[u8]) -> Option<Message> {
    serde_json::from_slice(line).ok()
}
