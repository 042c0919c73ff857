//! The one place that says whether a request may go on to its next step, and if not, why.
//!
//! An attempt that is chosen (also a repeat), its connection that has come up and its first byte pass here, with the same facts.
//! Not yet here, each with a check of its own: a request that is taken, a wait for a connection that is over, the last piece of a
//! body, and closes. What carries the work may have less time than
//! the work: a request's time is never longer than its process has, and an attempt's never longer than its request has.

use saffronpaddle_policy::interface::Micros;

/// All that a step depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Facts {
    /// The time now.
    pub now: Micros,
    /// The attempt is given up then; no later than the request's deadline.
    pub until: Micros,
    /// The process answers all it has taken by then.
    pub answer_by: Micros,
    /// The request has no final answer, and its client waits for one.
    pub client_waits: bool,
    /// Another attempt of the request is out.
    pub attempt_out: bool,
    /// Some of a body that is not kept may have gone to a server.
    pub body_gone: bool,
    /// The server is ready, and at the address that the connection leads to.
    pub server_ready: bool,
    /// No attempt may have run, or the request's effect allows a repeat at this server now.
    pub repeat_allowed: bool,
}

/// Why a step is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// Nobody waits for the answer.
    ClientGone,
    /// The attempt's time is up, or the request's.
    TimeIsUp,
    /// The process ends before an answer could be given.
    ProcessEnds,
    /// Another attempt of the request is out.
    AttemptOut,
    /// The request's body was not kept.
    BodyGone,
    /// The server drains, is gone or has moved.
    ServerNotReady,
    /// An attempt may have run, and a repeat could take effect a second time.
    RepeatNotAllowed,
}

impl Denial {
    /// All of them, in the order in which they are looked for.
    pub const ALL: [Denial; 7] = [
        Denial::ClientGone,
        Denial::AttemptOut,
        Denial::BodyGone,
        Denial::ProcessEnds,
        Denial::TimeIsUp,
        Denial::ServerNotReady,
        Denial::RepeatNotAllowed,
    ];

    /// The name of its count among the figures.
    pub fn figure(self) -> &'static str {
        match self {
            Denial::ClientGone => "denied_client_gone",
            Denial::TimeIsUp => "denied_time_is_up",
            Denial::ProcessEnds => "denied_process_ends",
            Denial::AttemptOut => "denied_attempt_out",
            Denial::BodyGone => "denied_body_gone",
            Denial::ServerNotReady => "denied_server_not_ready",
            Denial::RepeatNotAllowed => "denied_repeat_not_allowed",
        }
    }
}

/// Whether a step may be taken.
pub(crate) fn check(facts: &Facts) -> Result<(), Denial> {
    let stands_in_the_way = |denial: &Denial| match denial {
        Denial::ClientGone => !facts.client_waits,
        Denial::AttemptOut => facts.attempt_out,
        Denial::BodyGone => facts.body_gone,
        Denial::ProcessEnds => facts.now >= facts.answer_by,
        Denial::TimeIsUp => facts.now >= facts.until,
        Denial::ServerNotReady => !facts.server_ready,
        Denial::RepeatNotAllowed => !facts.repeat_allowed,
    };
    Denial::ALL
        .into_iter()
        .find(stands_in_the_way)
        .map_or(Ok(()), Err)
}
