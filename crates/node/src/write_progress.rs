//! Whether the kernel accepts bytes on a connection, for the body that is written to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Whether the last write to a connection had to wait. A body that goes on meanwhile would be kept in the HTTP library's
/// write buffer.
///
/// It is used in one thread only; it is `Send` and `Sync` because an upgrade requires a stream that is `Send`.
#[derive(Debug, Default)]
pub struct WriteProgress {
    blocked: AtomicBool,
    /// Wakes the body that waits.
    waker: Mutex<Option<Waker>>,
}

impl WriteProgress {
    /// Records a write that the kernel accepted or that has to wait.
    pub fn record(&self, accepted: bool) {
        let was_blocked = self.blocked.swap(!accepted, Ordering::Relaxed);
        if accepted && was_blocked {
            let waker = self.waker().take();
            waker.into_iter().for_each(Waker::wake);
        }
    }

    /// Whether the last write had to wait.
    pub fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Relaxed)
    }

    /// Is pending while the kernel accepts no bytes.
    pub fn poll_unblocked(&self, context: &mut Context<'_>) -> Poll<()> {
        if !self.is_blocked() {
            return Poll::Ready(());
        }
        *self.waker() = Some(context.waker().clone());
        Poll::Pending
    }

    fn waker(&self) -> MutexGuard<'_, Option<Waker>> {
        self.waker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
