//! The counters of a process.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served: status 200.
    Fulfilled,
    /// Rejected: status 429 or 503.
    Throttled,
    /// Failed: any other status.
    Faulted,
    /// The client disconnected before the answer.
    Gone,
}

/// The requests of one class since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Received.
    pub taken: u64,
    /// Ended as [`RequestEnd::Fulfilled`].
    pub fulfilled: u64,
    /// Ended as [`RequestEnd::Throttled`].
    pub throttled: u64,
    /// Ended as [`RequestEnd::Faulted`].
    pub faulted: u64,
    /// Ended as [`RequestEnd::Gone`].
    pub gone: u64,
}

impl ClassCounts {
    /// Received and not ended yet.
    pub fn open(&self) -> u64 {
        self.taken - self.fulfilled - self.throttled - self.faulted - self.gone
    }
}

/// Counters that start at 0 with the process. As each request ends once, the requests received are always those that have
/// ended in one of the four ways and those that are open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// By class, in the order of the settings.
    pub classes: Vec<ClassCounts>,
    /// Attempts that were written completely to app servers.
    pub relayed: u64,
    /// Connections to app servers that were started, each with a handshake.
    pub connects: u64,
    /// Those of them that failed.
    pub connects_failed: u64,
    /// Attempts that reused a connection.
    pub connections_reused: u64,
    /// Answers whose last byte is not written yet, though their requests have ended.
    pub streaming: u64,
}

impl RequestCounters {
    fn class(&mut self, class: usize) -> &mut ClassCounts {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassCounts::default());
        }
        &mut self.classes[class]
    }

    /// A request was received.
    pub fn taken(&mut self, class: usize) {
        self.class(class).taken += 1;
    }

    /// A request that was received has ended.
    pub fn ended(&mut self, class: usize, end: RequestEnd) {
        let counts = self.class(class);
        let count = match end {
            RequestEnd::Fulfilled => &mut counts.fulfilled,
            RequestEnd::Throttled => &mut counts.throttled,
            RequestEnd::Faulted => &mut counts.faulted,
            RequestEnd::Gone => &mut counts.gone,
        };
        *count += 1;
    }

    /// Requests of all classes that have not ended, and answers that are still being written.
    pub fn open(&self) -> u64 {
        self.classes.iter().map(ClassCounts::open).sum::<u64>() + self.streaming
    }

    /// The sum of one count over all classes.
    pub(crate) fn sum(&self, count: impl Fn(&ClassCounts) -> u64) -> u64 {
        self.classes.iter().map(count).sum()
    }
}
