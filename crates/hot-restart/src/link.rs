//! One conversation of two processes.

use crate::word::{Hello, Message, TransferredState, VERSION};
use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use std::fmt;
use std::time::Duration;

/// Which side a process is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It was there first.
    Parent,
    /// It has just started.
    Child,
}

/// Why a conversation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other process has gone, or closed it.
    Disconnected,
    /// The first word did not come in time.
    Silent,
    /// The other process is of another node.
    OtherNode,
    /// It speaks a form that this build does not understand.
    NewerVersion,
    /// What came was no word, or not its turn.
    Malformed,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::Disconnected => "it has gone",
            CloseReason::Silent => "it said nothing in time",
            CloseReason::OtherNode => "it is of another node",
            CloseReason::NewerVersion => "it speaks a newer form",
            CloseReason::Malformed => "it did not make sense",
        })
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Say this.
    Send(Message),
    /// Elder: say what is kept in mind, and tell of every attempt from the same moment on.
    SendState,
    /// Heir: go on from what the elder kept in mind, and tell of every attempt from then on.
    Restore(Box<TransferredState>),
    /// An attempt of the other process has begun or ended.
    Sibling(SiblingMessage),
    /// A datagram of a peer that the other process got.
    Peer(NodeId, Vec<u8>),
    /// The heir takes clients and speaks to peers.
    SuccessorServing,
    /// It is over.
    End(CloseReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The other side's first word is due.
    Greeting(Duration),
    /// Both are one node.
    Live,
    Over,
}

/// One conversation.
#[derive(Clone, Debug)]
pub struct Link {
    role: Role,
    name: String,
    stage: Stage,
    serving: bool,
}

impl Link {
    /// How long an heir waits for the state. An elder may be busy; but an heir must be ready within seconds, with or
    /// without it.
    pub const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
    /// How long an elder waits to be greeted. Guards against processes that connect and say nothing.
    pub const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

    /// A conversation that has just been opened by a node of this name.
    pub fn new(now: Duration, role: Role, name: &str, out: &mut Vec<LinkAction>) -> Link {
        let within = match role {
            Role::Parent => Self::HELLO_TIMEOUT,
            Role::Child => Self::STATE_TIMEOUT,
        };
        if role == Role::Child {
            out.push(LinkAction::Send(Message::Hello(Hello {
                version: VERSION,
                name: name.to_owned(),
            })));
        }
        Link {
            role,
            name: name.to_owned(),
            stage: Stage::Greeting(now + within),
            serving: false,
        }
    }

    /// Whether both are one node now.
    pub fn is_live(&self) -> bool {
        self.stage == Stage::Live
    }

    /// Whether the other side is an heir that takes clients.
    pub fn has_successor(&self) -> bool {
        self.is_live() && self.serving
    }

    /// Whether the other side was there first.
    pub fn is_to_parent(&self) -> bool {
        self.role == Role::Child
    }

    /// When its time is up, if it has one.
    pub fn deadline(&self) -> Option<Duration> {
        match self.stage {
            Stage::Greeting(until) => Some(until),
            Stage::Live | Stage::Over => None,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<LinkAction>) {
        if matches!(self.stage, Stage::Greeting(until) if now >= until) {
            self.over(CloseReason::Silent, out);
        }
    }

    /// The other side has gone.
    pub fn on_disconnect(&mut self, out: &mut Vec<LinkAction>) {
        self.over(CloseReason::Disconnected, out);
    }

    /// A line has come; `None` if it is no word.
    pub fn on_message(&mut self, word: Option<Message>, out: &mut Vec<LinkAction>) {
        match (self.stage, word) {
            (Stage::Over, _) => {}
            (Stage::Greeting(_), Some(Message::Hello(hello))) if self.role == Role::Parent => {
                if hello.name != self.name {
                    return self.over(CloseReason::OtherNode, out);
                }
                // An heir that speaks a newer form understands this one.
                self.stage = Stage::Live;
                out.push(LinkAction::SendState);
            }
            (Stage::Greeting(_), Some(Message::State(state))) if self.role == Role::Child => {
                if state.name != self.name {
                    return self.over(CloseReason::OtherNode, out);
                }
                if state.version > VERSION {
                    return self.over(CloseReason::NewerVersion, out);
                }
                self.stage = Stage::Live;
                out.push(LinkAction::Restore(state));
            }
            (Stage::Live, Some(Message::Sibling(twin))) => out.push(LinkAction::Sibling(twin)),
            (Stage::Live, Some(Message::Peer { from, bytes })) => {
                out.push(LinkAction::Peer(from, bytes));
            }
            (Stage::Live, Some(Message::Serving)) if self.role == Role::Parent => {
                if !std::mem::replace(&mut self.serving, true) {
                    out.push(LinkAction::SuccessorServing);
                }
            }
            _ => self.over(CloseReason::Malformed, out),
        }
    }

    fn over(&mut self, why: CloseReason, out: &mut Vec<LinkAction>) {
        if self.stage != Stage::Over {
            self.stage = Stage::Over;
            out.push(LinkAction::End(why));
        }
    }
}
