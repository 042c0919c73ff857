//! What is said, a line of JSON each.

use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use saffronpaddle_policy::StateSnapshot;
use serde::{Deserialize, Serialize};

/// The form of what is said. A build speaks its own and understands all up to it; fields that it does not know it passes
/// over, and fields that are missing have their defaults.
pub const VERSION: u32 = 1;
/// Most bytes of a line. Guards memory against rubbish without end; a state with ten thousand customers has some 4 MB.
pub const MAX_LINE_BYTES: usize = 8 << 20;

/// How a process that has just started names itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`].
    pub version: u32,
    /// Its node's name.
    pub name: String,
}

/// All that an elder keeps in mind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredState {
    /// [`VERSION`].
    pub version: u32,
    /// Its node's name.
    pub name: String,
    /// What the decision module keeps.
    #[serde(rename = "module")]
    pub policy: StateSnapshot,
    /// The list of app servers as discovery last told it, in discovery's own form.
    #[serde(default)]
    pub list: Option<serde_json::Value>,
}

/// One thing that is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The heir's first.
    Hello(Hello),
    /// The elder's first.
    State(Box<TransferredState>),
    /// The heir takes clients from now on, and speaks to peers for both.
    Serving,
    /// An attempt of this process, or of one that it hears, has begun or ended.
    #[serde(rename = "twin")]
    Sibling(SiblingMessage),
    /// A datagram of a peer, for who has no datagrams any more.
    Peer {
        /// Who sent it.
        from: NodeId,
        /// What it holds.
        bytes: Vec<u8>,
    },
}

/// A word as a line, its end included.
pub fn write(word: &Message) -> String {
    let mut line = serde_json::to_string(word).unwrap_or_default();
    line.push('\n');
    line
}

/// Reads a line. `None` where it is no word of this build's: rubbish, or a newer build's.
pub fn read(line: &[u8]) -> Option<Message> {
    serde_json::from_slice(line).ok()
}
