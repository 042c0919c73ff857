//! Faults that the model checker plants in the exchange to prove that it detects them.
//!
//! The `Debug` name of a [`Bug`] is its name on the command line of the model checker.

/// A fault that can be planted. Each variant describes the faulty behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Bug {
    /// A response is served although its attempt was cancelled before.
    AnswerAfterCancel,
    /// A cancelled attempt ends without closing its connection.
    CancelWithoutClose,
    /// A request is sent again when a reused connection breaks after bytes of the request were written.
    ResendAfterFirstByte,
    /// A connection is reused although it has unread bytes.
    ReuseWithBytesWaiting,
    /// The endpoint list is not checked again after the connect.
    DrainCheckedBeforeConnectOnly,
    /// The address of a connection is not compared with the current address of its server.
    AddressNotCompared,
    /// A request that was answered is failed when its deadline passes.
    DeadlineRacedByReply,
    /// A connection is both returned to the idle pool and closed.
    DoubleRelease,
    /// A request is rejected although an attempt may have run.
    RefusalAfterRun,
    /// The deduplication window begins at the last attempt that may have run instead of the first.
    WindowFromLastSend,
    /// The deduplication window is checked when the policy chooses the attempt but not before its first byte.
    WindowCheckedAtChoiceOnly,
    /// The deduplication scope is not checked.
    GroupForgotten,
    /// A non-idempotent request is retried after it may have run.
    UnsafeResent,
    /// A failed connect does not free its connection slot.
    SlotLost,
    /// The end of an attempt that times out is reported to the policy immediately and again when its connection is
    /// closed.
    EndToldTwice,
    /// A request whose client has disconnected is removed without reporting the end of its attempt.
    EndNeverTold,
    /// Connections are reused without the reuse delay after a response.
    NoSettling,
    /// A second attempt is dispatched while another one is outstanding.
    TwoAttemptsOut,
    /// The timer of a request is not updated when its connection is established.
    AlarmForgotten,
    /// Idle connections are kept while the node drains.
    KeptAfterStop,
    /// The disconnect of an answered client aborts a later request with the same id.
    TicketIgnored,
    /// Idle connections do not count towards the connection limit.
    IdleNotCounted,
    /// A request whose unbuffered body was already consumed is sent again.
    GoneBodySentAgain,
    /// The policy can cancel an attempt whose response is streaming to the client.
    PassingCalledOff,
    /// A streaming response that is not long has no deadline.
    ShortResponseUnbounded,
    /// A connection is kept although the server responded before the request was complete.
    EarlyAnswerKept,
    /// A request is treated as one that may have run before its last byte was sent.
    RunsBeforeWhole,
    /// Requests that are open when a shutdown is announced keep their own deadline.
    EndForgotten,
}

impl Bug {
    /// All faults, in the order in which the model checker looks for them.
    pub const ALL: [Bug; 28] = [
        Bug::AnswerAfterCancel,
        Bug::CancelWithoutClose,
        Bug::ResendAfterFirstByte,
        Bug::ReuseWithBytesWaiting,
        Bug::DrainCheckedBeforeConnectOnly,
        Bug::AddressNotCompared,
        Bug::DeadlineRacedByReply,
        Bug::DoubleRelease,
        Bug::RefusalAfterRun,
        Bug::WindowFromLastSend,
        Bug::WindowCheckedAtChoiceOnly,
        Bug::GroupForgotten,
        Bug::UnsafeResent,
        Bug::SlotLost,
        Bug::EndToldTwice,
        Bug::EndNeverTold,
        Bug::NoSettling,
        Bug::TwoAttemptsOut,
        Bug::AlarmForgotten,
        Bug::KeptAfterStop,
        Bug::TicketIgnored,
        Bug::IdleNotCounted,
        Bug::GoneBodySentAgain,
        Bug::PassingCalledOff,
        Bug::ShortResponseUnbounded,
        Bug::EarlyAnswerKept,
        Bug::RunsBeforeWhole,
        Bug::EndForgotten,
    ];
}

/// Determines which fault is planted. Production code uses [`NoBugs`], which the compiler optimizes away.
pub trait Bugs: Clone {
    /// Returns whether this fault is planted.
    fn planted(&self, bug: Bug) -> bool;
}

/// Plants no fault.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoBugs;

impl Bugs for NoBugs {
    #[inline]
    fn planted(&self, _: Bug) -> bool {
        false
    }
}

impl Bugs for Option<Bug> {
    fn planted(&self, bug: Bug) -> bool {
        *self == Some(bug)
    }
}
