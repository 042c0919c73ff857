//! Decides whether an attempt may take its next step, and if not, why.
//!
//! The choice of an attempt (also of a retry), its connection that has come up and its first byte are checked here,
//! with the same facts. The admission of a request, the end of a wait for a connection slot, the last piece of a body
//! and closes have checks of their own. The deadlines are nested: a request's is never later than the process's, and an
//! attempt's never later than its request's.

use saffronpaddle_policy::interface::Micros;

/// All that a step depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepFacts {
    /// The time now, µs.
    pub now: Micros,
    /// When the attempt is given up, µs; no later than the request's deadline.
    pub attempt_deadline: Micros,
    /// The process answers all requests by then, µs.
    pub shutdown_deadline: Micros,
    /// The request has no final answer, and its client waits for one.
    pub client_waits: bool,
    /// Another attempt of the request is outstanding.
    pub attempt_outstanding: bool,
    /// Some of a body that is not buffered may have gone to a server.
    pub body_consumed: bool,
    /// The server is ready, and at the address that the connection leads to.
    pub server_ready: bool,
    /// No attempt may have run, or the request may be dispatched to this server again now.
    pub retry_allowed: bool,
}

/// Why a step is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// The client no longer waits for the answer.
    ClientGone,
    /// The deadline of the attempt or of the request has passed.
    TimeIsUp,
    /// The process ends before an answer could be given.
    ProcessEnds,
    /// Another attempt of the request is outstanding.
    AttemptOut,
    /// The request's body was not buffered and is consumed.
    BodyGone,
    /// The server drains, is gone or has another address.
    ServerNotReady,
    /// An attempt may have run, and a retry could take effect a second time.
    RepeatNotAllowed,
}

impl Denial {
    /// All reasons in the order in which they are checked: the first that holds is reported.
    pub const ALL: [Denial; 7] = [
        Denial::ClientGone,
        Denial::AttemptOut,
        Denial::BodyGone,
        Denial::ProcessEnds,
        Denial::TimeIsUp,
        Denial::ServerNotReady,
        Denial::RepeatNotAllowed,
    ];

    /// The name of its counter.
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
///
/// # Errors
/// The first reason that stands against it.
pub(crate) fn check(facts: &StepFacts) -> Result<(), Denial> {
    let applies = |denial: &Denial| match denial {
        Denial::ClientGone => !facts.client_waits,
        Denial::AttemptOut => facts.attempt_outstanding,
        Denial::BodyGone => facts.body_consumed,
        Denial::ProcessEnds => facts.now >= facts.shutdown_deadline,
        Denial::TimeIsUp => facts.now >= facts.attempt_deadline,
        Denial::ServerNotReady => !facts.server_ready,
        Denial::RepeatNotAllowed => !facts.retry_allowed,
    };
    Denial::ALL.into_iter().find(applies).map_or(Ok(()), Err)
}
