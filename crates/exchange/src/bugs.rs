//! Faults that can be planted to see the checker find them.

/// A fault. What each does stands where it is planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Bug {
    /// An answer counts though its attempt was called off.
    AnswerAfterCancel,
    /// An attempt that is called off ends without its connection being closed.
    CancelWithoutClose,
    /// A kept connection that breaks is replaced though bytes of the request were written.
    ResendAfterFirstByte,
    /// A connection is used again with bytes waiting on it.
    ReuseWithBytesWaiting,
    /// The list is looked at before the connect only.
    DrainCheckedBeforeConnectOnly,
    /// A connection counts as leading to its server whatever its address.
    AddressNotCompared,
    /// A request that is past its time fails though it was answered.
    DeadlineRacedByReply,
    /// A connection is given back and closed too.
    DoubleRelease,
    /// A refusal is passed on though an attempt may have run.
    RefusalAfterRun,
    /// The key's window is measured from the last attempt that may have run.
    WindowFromLastSend,
    /// The key's window is looked at when the attempt is chosen, not before its first byte.
    WindowCheckedAtChoiceOnly,
    /// The key's group is not looked at.
    GroupForgotten,
    /// An unsafe request is sent again after it may have run.
    UnsafeResent,
    /// A connection that could not be made keeps its place.
    SlotLost,
    /// An attempt whose time is up ends at once, and again when its connection is closed.
    EndToldTwice,
    /// A request whose client is gone is forgotten with its attempt.
    EndNeverTold,
    /// Connections are used again at once after an answer.
    NoSettling,
    /// A second attempt goes out while one is.
    TwoAttemptsOut,
    /// The alarm is not set anew when a connection has come up.
    AlarmForgotten,
    /// Connections are kept though the node leaves.
    KeptAfterStop,
    /// Who was answered and goes ends the next request of the same id.
    TicketIgnored,
    /// The bound on connections counts only those that carry a request.
    IdleNotCounted,
    /// A body that is not kept counts as if it could go again.
    GoneBodySentAgain,
    /// An answer that goes by is called off by the module.
    PassingCalledOff,
    /// A connection that was answered before its request was whole is kept.
    EarlyAnswerKept,
    /// A request counts as one that may have run before its last byte went.
    RunsBeforeWhole,
    /// Requests that are open when the process is told to stop keep their own time.
    EndForgotten,
}

impl Bug {
    /// All of them.
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

/// Says which fault is planted. The program uses [`Sound`], of which the compiler leaves nothing.
pub trait Bugs: Clone {
    /// Whether this one is.
    fn planted(&self, bug: Bug) -> bool;
}

/// No fault at all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sound;

impl Bugs for Sound {
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
