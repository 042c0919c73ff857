//! Faults that can be planted to prove that the model checker finds them.

/// A fault that can be planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Bug {
    /// A response counts though its attempt was cancelled.
    AnswerAfterCancel,
    /// A cancelled attempt ends without its connection being closed.
    CancelWithoutClose,
    /// A reused connection that breaks is replaced though bytes of the request were written.
    ResendAfterFirstByte,
    /// A connection is reused with unread bytes on it.
    ReuseWithBytesWaiting,
    /// The endpoint list is checked before the connect only.
    DrainCheckedBeforeConnectOnly,
    /// A connection counts as reaching its server whatever its address.
    AddressNotCompared,
    /// A request that is past its deadline fails though it was answered.
    DeadlineRacedByReply,
    /// A connection is both kept idle and closed.
    DoubleRelease,
    /// A rejection is passed on though an attempt may have run.
    RefusalAfterRun,
    /// The deduplication window begins at the last attempt that may have run, in place of the first.
    WindowFromLastSend,
    /// The deduplication window is checked at the choice of the attempt, not before its first byte.
    WindowCheckedAtChoiceOnly,
    /// The deduplication scope is not checked.
    GroupForgotten,
    /// A non-idempotent request is sent again after it may have run.
    UnsafeResent,
    /// A connection that could not be made keeps its slot.
    SlotLost,
    /// The end of an attempt that times out is reported at once, and again when its connection is closed.
    EndToldTwice,
    /// A request whose client is gone is removed together with its attempt.
    EndNeverTold,
    /// Connections are reused without a rest after a response.
    NoSettling,
    /// A second attempt is dispatched while one is outstanding.
    TwoAttemptsOut,
    /// The alarm is not updated when a connection has come up.
    AlarmForgotten,
    /// Connections are kept though the node drains.
    KeptAfterStop,
    /// A client that was answered and leaves ends the next request of the same id.
    TicketIgnored,
    /// Idle connections do not count towards the limit of connections.
    IdleNotCounted,
    /// A body that was not buffered counts as if it could be sent again.
    GoneBodySentAgain,
    /// The policy cancels an attempt whose response streams to the client.
    PassingCalledOff,
    /// A connection that was answered before its request was complete is kept.
    EarlyAnswerKept,
    /// A request counts as one that may have run before its last byte was sent.
    RunsBeforeWhole,
    /// Requests that are open at the announcement of a shutdown keep their own deadline.
    EndForgotten,
}

impl Bug {
    /// All faults.
    pub const ALL: [Bug; 27] = [
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
        Bug::EarlyAnswerKept,
        Bug::RunsBeforeWhole,
        Bug::EndForgotten,
    ];
}

/// Says which fault is planted. Production code uses [`NoBugs`], which the compiler optimizes away.
pub trait Bugs: Clone {
    /// Whether this fault is planted.
    fn planted(&self, bug: Bug) -> bool;
}

/// No fault is planted.
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
