//! Timeouts after which a peer counts as silent.
//!
//! A process may be kept from running: suspended, or starved by other processes of its machine. When it continues, its
//! timers are due, and what its peers sent meanwhile is unread in the kernel. The runtime may fire the timers first: to a
//! process that continues after `SIGCONT`, `epoll_wait` returns `EINTR` in place of the readable sockets. So a timeout of
//! this module is judged only after the runtime has read what the kernel holds.

use std::error::Error;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant, Sleep};

/// Number of scheduler yields in which what the kernel holds is read: one each for the runtime's I/O driver, the task of
/// a connection, and the task that waits for it.
const READ_YIELDS: usize = 3;

/// A peer sent nothing before a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("deadline has elapsed")
    }
}

impl Error for Elapsed {}

/// Returns after the runtime has asked the kernel for readable sockets and has run the tasks that read them.
pub async fn read_received() {
    for _ in 0..READ_YIELDS {
        yield_now().await;
    }
}

/// Waits for a future until a deadline. A future that completes with data that the kernel held at the deadline is in
/// time.
///
/// # Errors
/// The future has not completed.
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Result<F::Output, Elapsed> {
    let silence = async {
        sleep_until(deadline).await;
        read_received().await;
    };
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = silence => Err(Elapsed),
    }
}

/// Waits for a future for some time, as [`timeout_at`] does.
///
/// # Errors
/// The future has not completed.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + duration, future).await
}

/// A timer that is reset whenever a peer sends something. It completes once the peer has sent nothing until the deadline
/// and the kernel holds nothing more of it. Its owner polls the peer first, then the timer.
pub struct SilenceTimer {
    sleep: Pin<Box<Sleep>>,
    /// Present from the deadline on, until everything has been read.
    reading: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl SilenceTimer {
    /// Creates a timer with a deadline.
    pub fn new(deadline: Instant) -> SilenceTimer {
        SilenceTimer {
            sleep: Box::pin(sleep_until(deadline)),
            reading: None,
        }
    }

    /// Sets another deadline.
    pub fn reset(&mut self, deadline: Instant) {
        self.sleep.as_mut().reset(deadline);
        self.reading = None;
    }
}

impl Future for SilenceTimer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        ready!(self.sleep.as_mut().poll(context));
        let reading = self
            .reading
            .get_or_insert_with(|| Box::pin(read_received()));
        ready!(reading.as_mut().poll(context));
        self.reading = None;
        Poll::Ready(())
    }
}
