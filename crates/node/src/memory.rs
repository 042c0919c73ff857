//! The memory budget of the process as its connections use it: grants that return their bytes when they are dropped, and
//! waiting for bytes.

use crate::process_usage::resident_bytes;
use saffronpaddle_memory_budget::{Holder, MemoryBudget};
use saffronpaddle_netio::timeout;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// A client's connection before its first request: its task, in bytes.
pub const CLIENT_CONNECTION_BYTES: u64 = 4 * 1024;
/// The HTTP library's first buffers for a client's connection, in bytes.
pub const HTTP_BUFFER_BYTES: u64 = 17 * 1024;
/// A connection to an app server: its tasks and the HTTP library's first buffers, in bytes.
pub const SERVER_CONNECTION_BYTES: u64 = 24 * 1024;
/// A request that is being answered, in bytes: its state and a small body, and the connection to its server with two reads
/// of its response on their way, as far as these are in use at the same time for many.
pub const REQUEST_BYTES: u64 = 26 * 1024;
/// The HTTP library's read buffer before it grows, in bytes.
pub const SMALL_READ_BYTES: usize = 8 * 1024;
/// By how much a connection's buffers grow with reads that are not restricted, in bytes.
pub const READ_AHEAD_BYTES: u64 = 56 * 1024;

/// Waiting holders that are woken when bytes are released. The others follow, as each of these releases bytes in turn.
const WAKES_PER_RELEASE: usize = 2;
/// How often resident memory is checked, and how often while memory is short.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const SHORT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Resident memory is also checked when this many bytes more than ever before are in use.
const OBSERVED_GROWTH_BYTES: u64 = 256 * 1024;
/// Time between two log lines on resident memory.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Share of the limit, in percent, from which on the log reports resident memory.
const REPORTED_PERCENT: u64 = 90;

/// The memory budget of the process. Clones share it.
///
/// It is used in one thread only; it is `Send` and `Sync` because an upgrade requires a stream that is `Send`.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    budget: Mutex<MemoryBudget>,
    /// Number of bytes in use at which resident memory is observed next.
    observed_at_used: AtomicU64,
    waiting: Mutex<VecDeque<Waker>>,
    /// When resident memory was last checked.
    checked_at: Mutex<Instant>,
    /// When the log last reported it; `None` if it has not.
    reported_at: Mutex<Option<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Memory {
    /// Creates the budget of a process that may use `limit` bytes of resident memory.
    pub fn new(limit: u64) -> Memory {
        Memory(Arc::new(Shared {
            budget: Mutex::new(MemoryBudget::new(limit)),
            observed_at_used: AtomicU64::new(0),
            waiting: Mutex::default(),
            checked_at: Mutex::new(Instant::now()),
            reported_at: Mutex::default(),
        }))
    }

    /// Changes the limit, as the processes of a node share it.
    pub fn set_limit(&self, limit: u64) {
        lock(&self.0.budget).set_limit(limit);
    }

    /// Draws bytes if the holder may have them.
    pub fn try_draw(&self, holder: Holder, bytes: u64) -> Option<MemoryGrant> {
        self.observe_growth();
        let drawn = lock(&self.0.budget).try_draw(holder, bytes);
        drawn.then(|| self.grant(holder, bytes))
    }

    /// Draws bytes that an accepted request needs.
    pub fn draw(&self, holder: Holder, bytes: u64) -> MemoryGrant {
        self.observe_growth();
        lock(&self.0.budget).draw(holder, bytes);
        self.grant(holder, bytes)
    }

    /// Observes resident memory whenever more bytes are in use than ever before.
    fn observe_growth(&self) {
        let mut budget = lock(&self.0.budget);
        let used = budget.used();
        if used >= self.0.observed_at_used.load(Ordering::Relaxed) {
            let next = used + OBSERVED_GROWTH_BYTES;
            self.0.observed_at_used.store(next, Ordering::Relaxed);
            budget.observe_resident(resident_bytes());
        }
    }

    /// Whether nothing need be done to spare memory.
    pub fn is_plentiful(&self) -> bool {
        lock(&self.0.budget).is_plentiful()
    }

    /// Whether what the process keeps to be faster should be let go.
    pub fn is_short(&self) -> bool {
        lock(&self.0.budget).is_short()
    }

    /// The number of idle connections to servers that may be kept.
    pub fn max_idle_server_connections(&self) -> usize {
        let bytes = lock(&self.0.budget).max_idle_bytes();
        (bytes / SERVER_CONNECTION_BYTES) as usize
    }

    fn grant(&self, holder: Holder, bytes: u64) -> MemoryGrant {
        MemoryGrant {
            memory: self.clone(),
            holder,
            bytes,
        }
    }

    /// Whether a holder may draw this many bytes now.
    pub fn has_room(&self, holder: Holder, bytes: u64) -> bool {
        lock(&self.0.budget).has_room(holder, bytes)
    }

    /// Draws bytes as soon as the holder may have them.
    pub fn poll_draw(
        &self,
        context: &mut Context<'_>,
        holder: Holder,
        bytes: u64,
    ) -> Poll<MemoryGrant> {
        if let Some(grant) = self.try_draw(holder, bytes) {
            return Poll::Ready(grant);
        }
        lock(&self.0.waiting).push_back(context.waker().clone());
        Poll::Pending
    }

    /// Draws bytes as soon as the holder may have them. `None` if that takes longer than `max_wait`.
    pub async fn draw_in_time(
        &self,
        holder: Holder,
        bytes: u64,
        max_wait: Duration,
    ) -> Option<MemoryGrant> {
        if let Some(grant) = self.try_draw(holder, bytes) {
            return Some(grant);
        }
        let drawn = poll_fn(|context| self.poll_draw(context, holder, bytes));
        timeout(max_wait, drawn).await.ok()
    }

    fn wake(&self, count: usize) {
        let mut waiting = lock(&self.0.waiting);
        let count = count.min(waiting.len());
        let woken: Vec<Waker> = waiting.drain(..count).collect();
        drop(waiting);
        woken.into_iter().for_each(Waker::wake);
    }

    /// Wakes all waiting holders, and checks resident memory if that is due. Called at each sweep of the connections.
    pub fn sweep(&self) {
        self.wake(usize::MAX);
        let mut checked_at = lock(&self.0.checked_at);
        let interval = if self.is_short() {
            SHORT_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        if checked_at.elapsed() >= interval {
            *checked_at = Instant::now();
            self.check_resident();
        }
    }

    /// Observes resident memory, and reports it if it is close to the limit.
    fn check_resident(&self) {
        let resident = resident_bytes();
        let mut budget = lock(&self.0.budget);
        budget.observe_resident(resident);
        let limit = budget.memory_limit();
        let mut reported_at = lock(&self.0.reported_at);
        let is_due = reported_at.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL);
        if !is_due || resident < limit / 100 * REPORTED_PERCENT {
            return;
        }
        *reported_at = Some(Instant::now());
        let largest = budget.largest_holder();
        warn!(
            resident_kb = resident / 1024,
            limit_kb = limit / 1024,
            held_kb = budget.used() / 1024,
            largest = largest.name(),
            largest_kb = budget.held(largest) / 1024,
            "resident memory is close to the limit"
        );
    }

    /// Counters by name: the bytes of each holder, and how often it was denied bytes.
    pub fn counters(&self) -> Vec<(&'static str, u64)> {
        let budget = lock(&self.0.budget);
        let mut counters = vec![
            ("memory_resident_bytes", resident_bytes()),
            ("memory_budget_bytes", budget.capacity()),
        ];
        for holder in Holder::ALL {
            let (held_name, denied_name) = counter_names(holder);
            counters.push((held_name, budget.held(holder)));
            counters.push((denied_name, budget.denied(holder)));
        }
        counters
    }
}

/// Names of the counters of a holder: bytes held, and draws denied.
fn counter_names(holder: Holder) -> (&'static str, &'static str) {
    match holder {
        Holder::ReadAhead => ("memory_held_read_ahead", "memory_denied_read_ahead"),
        Holder::RequestHead => ("memory_held_request_heads", "memory_denied_request_heads"),
        Holder::RequestBody => ("memory_held_request_bodies", "memory_denied_request_bodies"),
        Holder::ClientConnection => (
            "memory_held_client_connections",
            "memory_denied_client_connections",
        ),
        Holder::ReceivedBody => (
            "memory_held_received_bodies",
            "memory_denied_received_bodies",
        ),
        Holder::Request => ("memory_held_requests", "memory_denied_requests"),
        Holder::IdleServerConnection => (
            "memory_held_idle_server_connections",
            "memory_denied_idle_server_connections",
        ),
        Holder::Response => ("memory_held_responses", "memory_denied_responses"),
    }
}

/// How much one connection may read at a time, by what its buffers may grow to.
#[derive(Debug)]
pub struct ReadAllowance {
    memory: Memory,
    /// Present once the buffers may grow.
    ahead: Option<MemoryGrant>,
    /// The last read took all that it could, so that the connection would gain by larger ones.
    was_full: bool,
}

impl ReadAllowance {
    /// Creates the allowance of a connection with small buffers.
    pub fn new(memory: Memory) -> ReadAllowance {
        ReadAllowance {
            memory,
            ahead: None,
            was_full: false,
        }
    }

    /// The budget that the connection draws from.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// The number of bytes that the next read may take. The HTTP library's buffer does not grow by reads below its size.
    pub fn max_bytes(&mut self) -> usize {
        if self.was_full && self.ahead.is_none() {
            self.ahead = self.memory.try_draw(Holder::ReadAhead, READ_AHEAD_BYTES);
        }
        if self.ahead.is_some() {
            usize::MAX
        } else {
            SMALL_READ_BYTES - 1
        }
    }

    /// Records how many bytes a read has taken.
    pub fn record_read(&mut self, bytes: usize) {
        self.was_full = bytes >= SMALL_READ_BYTES - 1;
    }
}

/// Bytes that were drawn from the budget. They return to it when the grant is dropped.
#[derive(Debug)]
pub struct MemoryGrant {
    memory: Memory,
    holder: Holder,
    bytes: u64,
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        lock(&self.memory.0.budget).release(self.holder, self.bytes);
        self.memory.wake(WAKES_PER_RELEASE);
    }
}
