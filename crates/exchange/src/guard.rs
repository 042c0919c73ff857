//! Decides whether an attempt may take its next step, and gives the reason if not.
//!
//! The same checks apply when the policy chooses an attempt (first or retry), when its connection is established and
//! before its first byte is written. The admission of a request, the end of a wait for a connection slot, the last
//! part of a body and closes are checked elsewhere. Deadlines are nested: the deadline of a request is never later
//! than the shutdown deadline, and the deadline of an attempt is never later than that of its request.

use saffronpaddle_policy::interface::Micros;

/// The inputs of the decision about a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepFacts {
    /// The current time, µs.
    pub now: Micros,
    /// When the attempt times out, µs; not later than the request's deadline.
    pub attempt_deadline: Micros,
    /// When the process has to have answered all requests, µs.
    pub shutdown_deadline: Micros,
    /// The request has no final answer, and its client is waiting for one.
    pub client_waits: bool,
    /// Another attempt of the request is outstanding.
    pub attempt_outstanding: bool,
    /// A part of an unbuffered body may have been sent to a server.
    pub body_consumed: bool,
    /// The server is ready, and its address is that of the connection.
    pub server_ready: bool,
    /// No earlier attempt may have run, or the rules of retries allow a dispatch to this server now.
    pub retry_allowed: bool,
}

/// The reason why a step is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// The client is no longer waiting for the answer.
    ClientGone,
    /// The deadline of the attempt or of the request has passed.
    DeadlinePassed,
    /// The shutdown deadline has passed: the process exits before it could give an answer.
    ShutdownDeadlinePassed,
    /// Another attempt of the request is outstanding.
    AttemptOutstanding,
    /// The request body was not buffered, and a part of it has already been sent.
    BodyConsumed,
    /// The server is draining, was removed or has another address.
    ServerNotReady,
    /// An earlier attempt may have run, and a retry could take effect twice.
    RetryNotAllowed,
}

impl Denial {
    /// All reasons, in the order in which they are checked; the first that applies is reported.
    pub const ALL: [Denial; 7] = [
        Denial::ClientGone,
        Denial::AttemptOutstanding,
        Denial::BodyConsumed,
        Denial::ShutdownDeadlinePassed,
        Denial::DeadlinePassed,
        Denial::ServerNotReady,
        Denial::RetryNotAllowed,
    ];

    /// Returns the name of the denial counter in the metrics.
    pub fn counter_name(self) -> &'static str {
        match self {
            Denial::ClientGone => "denied_client_gone",
            Denial::DeadlinePassed => "denied_time_is_up",
            Denial::ShutdownDeadlinePassed => "denied_process_ends",
            Denial::AttemptOutstanding => "denied_attempt_out",
            Denial::BodyConsumed => "denied_body_gone",
            Denial::ServerNotReady => "denied_server_not_ready",
            Denial::RetryNotAllowed => "denied_repeat_not_allowed",
        }
    }
}

/// Checks whether a step may be taken.
///
/// # Errors
/// The first reason in the order of [`Denial::ALL`] that applies.
pub(crate) fn check(facts: &StepFacts) -> Result<(), Denial> {
    let applies = |denial: &Denial| match denial {
        Denial::ClientGone => !facts.client_waits,
        Denial::AttemptOutstanding => facts.attempt_outstanding,
        Denial::BodyConsumed => facts.body_consumed,
        Denial::ShutdownDeadlinePassed => facts.now >= facts.shutdown_deadline,
        Denial::DeadlinePassed => facts.now >= facts.attempt_deadline,
        Denial::ServerNotReady => !facts.server_ready,
        Denial::RetryNotAllowed => !facts.retry_allowed,
    };
    Denial::ALL.into_iter().find(applies).map_or(Ok(()), Err)
}
