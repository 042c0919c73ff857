//! The protocol between a parent and a child.

use crate::message::{Hello, Message, TransferredState, VERSION};
use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use std::fmt;
use std::time::Duration;

/// The role of a process in a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process that was running first.
    Parent,
    /// The process that has just started.
    Child,
}

/// Why a link was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The other process has exited or closed the connection.
    Disconnected,
    /// The first message did not arrive before its timeout.
    TimedOut,
    /// The other process belongs to another node.
    OtherNode,
    /// The parent sent a newer version than this build understands.
    NewerVersion,
    /// A line was malformed, or a message was not valid in the current stage.
    Malformed,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::Disconnected => "the connection was closed",
            CloseReason::TimedOut => "the first message did not arrive in time",
            CloseReason::OtherNode => "the process belongs to another node",
            CloseReason::NewerVersion => "the process uses a newer protocol version",
            CloseReason::Malformed => "a message was malformed or unexpected",
        })
    }
}

/// A task for the I/O layer.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Send this message to the other process.
    Send(Message),
    /// Parent only: send the state, and announce every attempt that starts or ends after the state was captured.
    SendState,
    /// Child only: restore the parent's state, and announce every attempt from then on.
    Restore(Box<TransferredState>),
    /// Record that an attempt of the other process has started or ended.
    HandleSiblingMessage(SiblingMessage),
    /// Handle a peer's datagram that the other process received: the sending peer and the payload.
    HandlePeerDatagram(NodeId, Vec<u8>),
    /// Record that the child accepts connections and exchanges peer messages from now on.
    ChildServing,
    /// Close the connection: the link has ended.
    Close(CloseReason),
}

/// The stage that a link has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for the first message of the other process.
    Handshake { deadline: Duration },
    /// The handshake is complete: both processes count as one node.
    Live,
    /// The link has ended and ignores all messages.
    Closed,
}

/// The protocol state of the connection to one other process.
#[derive(Clone, Debug)]
pub struct Link {
    role: Role,
    node_name: String,
    stage: Stage,
    /// Whether the other process is a child that accepts connections.
    child_serving: bool,
}

impl Link {
    /// How long a child waits for the parent's state. The parent may be busy, but the child must become ready within
    /// seconds, with or without the state.
    pub const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
    /// How long a parent waits for the child's greeting. Frees the link of a process that connects and sends nothing.
    pub const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

    /// Creates the link of a connection that has just been opened. This process belongs to the node `name` and has the
    /// given role. A child sends its greeting immediately.
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
            stage: Stage::Handshake {
                deadline: now + timeout,
            },
            child_serving: false,
        }
    }

    /// Whether the handshake is complete, so that both processes count as one node.
    pub fn is_live(&self) -> bool {
        self.stage == Stage::Live
    }

    /// Whether the other process is a child that accepts connections.
    pub fn has_successor(&self) -> bool {
        self.is_live() && self.child_serving
    }

    /// Whether the other process is the parent of this one.
    pub fn is_to_parent(&self) -> bool {
        self.role == Role::Child
    }

    /// When [`Link::tick`] is due; `None` if the link does not wait for a first message.
    pub fn deadline(&self) -> Option<Duration> {
        match self.stage {
            Stage::Handshake { deadline } => Some(deadline),
            Stage::Live | Stage::Closed => None,
        }
    }

    /// Closes the link if its deadline has passed.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<LinkAction>) {
        if self.deadline().is_some_and(|deadline| now >= deadline) {
            self.close(CloseReason::TimedOut, out);
        }
    }

    /// Handles the end of the connection.
    pub fn on_disconnect(&mut self, out: &mut Vec<LinkAction>) {
        self.close(CloseReason::Disconnected, out);
    }

    /// Handles a received line. `message` is the result of [`decode`](crate::decode), `None` for a malformed line.
    pub fn on_message(&mut self, message: Option<Message>, out: &mut Vec<LinkAction>) {
        let handled = match (self.stage, message) {
            (Stage::Closed, _) => Ok(()),
            (Stage::Handshake { .. }, Some(message)) => self.on_first_message(message, out),
            (Stage::Live, Some(message)) => self.on_live_message(message, out),
            (Stage::Handshake { .. } | Stage::Live, None) => Err(CloseReason::Malformed),
        };
        if let Err(reason) = handled {
            self.close(reason, out);
        }
    }

    /// Handles the first message of the other process, which completes the handshake if it is valid.
    fn on_first_message(
        &mut self,
        message: Message,
        out: &mut Vec<LinkAction>,
    ) -> Result<(), CloseReason> {
        match (self.role, message) {
            (Role::Parent, Message::Hello(hello)) => {
                self.check_node(&hello.name)?;
                // The version is not checked, because a newer child understands this build's messages.
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
            Message::Sibling(message) => out.push(LinkAction::HandleSiblingMessage(message)),
            Message::Peer { from, bytes } => out.push(LinkAction::HandlePeerDatagram(from, bytes)),
            Message::Serving if self.role == Role::Parent => {
                if !self.child_serving {
                    self.child_serving = true;
                    out.push(LinkAction::ChildServing);
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
            out.push(LinkAction::Close(reason));
        }
    }
}
