//! One conversation of two processes.

use crate::word::{Hello, State, Word, VERSION};
use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use std::fmt;
use std::time::Duration;

/// Which side a process is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It was there first.
    Elder,
    /// It has just started.
    Heir,
}

/// Why a conversation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The other process has gone, or closed it.
    Gone,
    /// The first word did not come in time.
    Silent,
    /// The other process is of another node.
    Stranger,
    /// It speaks a form that this build does not understand.
    Newer,
    /// What came was no word, or not its turn.
    Rubbish,
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ended::Gone => "it has gone",
            Ended::Silent => "it said nothing in time",
            Ended::Stranger => "it is of another node",
            Ended::Newer => "it speaks a newer form",
            Ended::Rubbish => "it did not make sense",
        })
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Say this.
    Say(Word),
    /// Elder: say what is kept in mind, and tell of every attempt from the same moment on.
    SayState,
    /// Heir: go on from what the elder kept in mind, and tell of every attempt from then on.
    Resume(Box<State>),
    /// An attempt of the other process has begun or ended.
    Twin(SiblingMessage),
    /// A datagram of a peer that the other process got.
    Peer(NodeId, Vec<u8>),
    /// The heir takes clients and speaks to peers.
    Succeeded,
    /// It is over.
    End(Ended),
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
    pub const STATE_WITHIN: Duration = Duration::from_millis(1500);
    /// How long an elder waits to be greeted. Guards against processes that connect and say nothing.
    pub const GREET_WITHIN: Duration = Duration::from_secs(1);

    /// A conversation that has just been opened by a node of this name.
    pub fn new(now: Duration, role: Role, name: &str, out: &mut Vec<Do>) -> Link {
        let within = match role {
            Role::Elder => Self::GREET_WITHIN,
            Role::Heir => Self::STATE_WITHIN,
        };
        if role == Role::Heir {
            out.push(Do::Say(Word::Hello(Hello {
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
    pub fn succeeded(&self) -> bool {
        self.is_live() && self.serving
    }

    /// Whether the other side was there first.
    pub fn to_elder(&self) -> bool {
        self.role == Role::Heir
    }

    /// When its time is up, if it has one.
    pub fn until(&self) -> Option<Duration> {
        match self.stage {
            Stage::Greeting(until) => Some(until),
            Stage::Live | Stage::Over => None,
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Do>) {
        if matches!(self.stage, Stage::Greeting(until) if now >= until) {
            self.over(Ended::Silent, out);
        }
    }

    /// The other side has gone.
    pub fn gone(&mut self, out: &mut Vec<Do>) {
        self.over(Ended::Gone, out);
    }

    /// A line has come; `None` if it is no word.
    pub fn heard(&mut self, word: Option<Word>, out: &mut Vec<Do>) {
        match (self.stage, word) {
            (Stage::Over, _) => {}
            (Stage::Greeting(_), Some(Word::Hello(hello))) if self.role == Role::Elder => {
                if hello.name != self.name {
                    return self.over(Ended::Stranger, out);
                }
                // An heir that speaks a newer form understands this one.
                self.stage = Stage::Live;
                out.push(Do::SayState);
            }
            (Stage::Greeting(_), Some(Word::State(state))) if self.role == Role::Heir => {
                if state.name != self.name {
                    return self.over(Ended::Stranger, out);
                }
                if state.version > VERSION {
                    return self.over(Ended::Newer, out);
                }
                self.stage = Stage::Live;
                out.push(Do::Resume(state));
            }
            (Stage::Live, Some(Word::Twin(twin))) => out.push(Do::Twin(twin)),
            (Stage::Live, Some(Word::Peer { from, bytes })) => out.push(Do::Peer(from, bytes)),
            (Stage::Live, Some(Word::Serving)) if self.role == Role::Elder => {
                if !std::mem::replace(&mut self.serving, true) {
                    out.push(Do::Succeeded);
                }
            }
            _ => self.over(Ended::Rubbish, out),
        }
    }

    fn over(&mut self, why: Ended, out: &mut Vec<Do>) {
        if self.stage != Stage::Over {
            self.stage = Stage::Over;
            out.push(Do::End(why));
        }
    }
}
