//! The conversation of a parent and a child.

use crate::message::{Hello, Message, TransferredState, VERSION};
use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use std::fmt;
use std::time::Duration;

/// The side of a link that a process is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It was running first.
    Parent,
    /// It has just started.
    Child,
}

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other process has exited or closed the connection.
    Disconnected,
    /// The first message did not come in time.
    Silent,
    /// The other process belongs to another node.
    OtherNode,
    /// The other process sent a version that this build does not understand.
    NewerVersion,
    /// A line was malformed, or a message came out of order.
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

/// What the I/O layer has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Send this message.
    Send(Message),
    /// Parent: send the state, and announce every attempt from the same moment on.
    SendState,
    /// Child: restore the parent's state, and announce every attempt from then on.
    Restore(Box<TransferredState>),
    /// An attempt of the other process has started or ended.
    Sibling(SiblingMessage),
    /// A peer's datagram that the other process received: the peer's node and the payload.
    Peer(NodeId, Vec<u8>),
    /// The child accepts clients and exchanges peer messages from now on.
    SuccessorServing,
    /// The link has ended.
    End(CloseReason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The other side's first message is awaited.
    Greeting { deadline: Duration },
    /// Both processes count as one node.
    Live,
    /// The link has ended.
    Closed,
}

/// A link to one other process.
#[derive(Clone, Debug)]
pub struct Link {
    role: Role,
    node_name: String,
    stage: Stage,
    /// The child at the other end accepts clients.
    child_serving: bool,
}

impl Link {
    /// How long a child waits for the state. The parent may be busy, but the child must be ready within seconds, with or
    /// without the state.
    pub const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
    /// How long a parent waits for the child's greeting. It frees the link of a process that connects and sends nothing.
    pub const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

    /// A link that a process of the node `name` has just opened.
    pub fn new(now: Duration, role: Role, name: &str, out: &mut Vec<LinkAction>) -> Link {
        let timeout = match role {
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
            node_name: name.to_owned(),
            stage: Stage::Greeting {
                deadline: now + timeout,
            },
            child_serving: false,
        }
    }

    /// Whether both processes count as one node now.
    pub fn is_live(&self) -> bool {
        self.stage == Stage::Live
    }

    /// Whether the other process is a child that accepts clients.
    pub fn has_successor(&self) -> bool {
        self.is_live() && self.child_serving
    }

    /// Whether the other process is this one's parent.
    pub fn is_to_parent(&self) -> bool {
        self.role == Role::Child
    }

    /// When [`Link::tick`] is due, if the link waits for a first message.
    pub fn deadline(&self) -> Option<Duration> {
        match self.stage {
            Stage::Greeting { deadline } => Some(deadline),
            Stage::Live | Stage::Closed => None,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<LinkAction>) {
        if self.deadline().is_some_and(|deadline| now >= deadline) {
            self.close(CloseReason::Silent, out);
        }
    }

    /// The other process has closed the connection.
    pub fn on_disconnect(&mut self, out: &mut Vec<LinkAction>) {
        self.close(CloseReason::Disconnected, out);
    }

    /// A line was received; `None` if [`read`](crate::read) found no message in it.
    pub fn on_message(&mut self, message: Option<Message>, out: &mut Vec<LinkAction>) {
        let handled = match (self.stage, message) {
            (Stage::Closed, _) => Ok(()),
            (Stage::Greeting { .. }, Some(message)) => self.on_greeting(message, out),
            (Stage::Live, Some(message)) => self.on_live_message(message, out),
            (Stage::Greeting { .. } | Stage::Live, None) => Err(CloseReason::Malformed),
        };
        if let Err(reason) = handled {
            self.close(reason, out);
        }
    }

    fn on_greeting(
        &mut self,
        message: Message,
        out: &mut Vec<LinkAction>,
    ) -> Result<(), CloseReason> {
        match (self.role, message) {
            (Role::Parent, Message::Hello(hello)) => {
                self.check_node(&hello.name)?;
                // The version is not checked: a newer child understands this build's messages.
                out.push(LinkAction::SendState);
            }
            (Role::Child, Message::State(state)) => {
                self.check_node(&state.name)?;
                if state.version > VERSION {
                    return Err(CloseReason::NewerVersion);
                }
                out.push(LinkAction::Restore(state));
            }
            _ => return Err(CloseReason::Malformed),
        }
        self.stage = Stage::Live;
        Ok(())
    }

    fn on_live_message(
        &mut self,
        message: Message,
        out: &mut Vec<LinkAction>,
    ) -> Result<(), CloseReason> {
        match message {
            Message::Sibling(message) => out.push(LinkAction::Sibling(message)),
            Message::Peer { from, bytes } => out.push(LinkAction::Peer(from, bytes)),
            Message::Serving if self.role == Role::Parent => {
                if !self.child_serving {
                    self.child_serving = true;
                    out.push(LinkAction::SuccessorServing);
                }
            }
            Message::Serving | Message::Hello(_) | Message::State(_) => {
                return Err(CloseReason::Malformed);
            }
        }
        Ok(())
    }

    fn check_node(&self, name: &str) -> Result<(), CloseReason> {
        if name == self.node_name {
            Ok(())
        } else {
            Err(CloseReason::OtherNode)
        }
    }

    fn close(&mut self, reason: CloseReason, out: &mut Vec<LinkAction>) {
        if self.stage != Stage::Closed {
            self.stage = Stage::Closed;
            out.push(LinkAction::End(reason));
        }
    }
}
