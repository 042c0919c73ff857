//! The request and connection counters of a process.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Answered with status 200.
    Fulfilled,
    /// Rejected with status 429 or 503.
    Throttled,
    /// Answered with any other status.
    Faulted,
    /// The client disconnected before the response.
    Disconnected,
}

/// The requests of one class, counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Received requests.
    pub received: u64,
    /// Requests that ended as [`RequestEnd::Fulfilled`].
    pub fulfilled: u64,
    /// Requests that ended as [`RequestEnd::Throttled`].
    pub throttled: u64,
    /// Requests that ended as [`RequestEnd::Faulted`].
    pub faulted: u64,
    /// Requests that ended as [`RequestEnd::Disconnected`].
    pub disconnected: u64,
}

impl ClassCounts {
    /// The number of requests that have not ended yet.
    pub fn open(&self) -> u64 {
        self.received - self.fulfilled - self.throttled - self.faulted - self.disconnected
    }
}

/// Counters that start at 0 with the process. As each request ends exactly once, the number of received requests is
/// always the sum of the four [`RequestEnd`] counters and the number of open requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// Request counters by class, in the order of the settings.
    pub classes: Vec<ClassCounts>,
    /// Attempts whose request was written completely to an app server.
    pub relayed: u64,
    /// Connection attempts to app servers, each with its own handshake.
    pub connects: u64,
    /// Connection attempts to app servers that failed.
    pub connects_failed: u64,
    /// Attempts that reused an open connection.
    pub connections_reused: u64,
    /// Short streaming responses that their servers had not ended by the deadline of their requests.
    pub responses_ended_at_deadline: u64,
    /// Responses that are still being written although their requests have been counted as ended.
    pub streaming: u64,
}

impl RequestCounters {
    fn class(&mut self, class: usize) -> &mut ClassCounts {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassCounts::default());
        }
        &mut self.classes[class]
    }

    /// Counts a received request.
    pub fn record_received(&mut self, class: usize) {
        self.class(class).received += 1;
    }

    /// Counts the end of a received request.
    pub fn record_end(&mut self, class: usize, end: RequestEnd) {
        let counts = self.class(class);
        let count = match end {
            RequestEnd::Fulfilled => &mut counts.fulfilled,
            RequestEnd::Throttled => &mut counts.throttled,
            RequestEnd::Faulted => &mut counts.faulted,
            RequestEnd::Disconnected => &mut counts.disconnected,
        };
        *count += 1;
    }

    /// The number of requests of all classes that have not ended, plus the responses that are still being written.
    pub fn open(&self) -> u64 {
        self.classes.iter().map(ClassCounts::open).sum::<u64>() + self.streaming
    }

    /// Sums one counter over all classes.
    pub(crate) fn sum(&self, count: impl Fn(&ClassCounts) -> u64) -> u64 {
        self.classes.iter().map(count).sum()
    }
}
