//! Timeouts of a process that was kept from running: what the kernel holds at the deadline is read first.

use saffronpaddle_netio::{timeout, timeout_at, Elapsed, SilenceTimer};
use std::future::{pending, poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

const TIMEOUT: Duration = Duration::from_secs(1);

/// A peer whose bytes are in the kernel at the deadline, and are read one iteration of the event loop later.
async fn unread_at(deadline: Instant) -> &'static str {
    sleep_until(deadline).await;
    yield_now().await;
    "read"
}

/// Guards against a call or a watch that is given up with its answer unread, because the runtime fires timers before it
/// reads sockets when a suspended process continues.
#[tokio::test(start_paused = true)]
async fn what_the_kernel_holds_at_the_deadline_is_in_time() {
    let deadline = Instant::now() + TIMEOUT;
    assert_eq!(timeout_at(deadline, unread_at(deadline)).await, Ok("read"));
    let deadline = Instant::now() + TIMEOUT;
    assert_eq!(timeout(TIMEOUT, unread_at(deadline)).await, Ok("read"));
    assert_eq!(
        timeout(Duration::ZERO, unread_at(deadline)).await,
        Ok("read")
    );
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_times_out_at_the_deadline() {
    let started_at = Instant::now();
    assert_eq!(timeout(TIMEOUT, pending::<()>()).await, Err(Elapsed));
    assert_eq!(started_at.elapsed(), TIMEOUT);
}

/// Guards against a streamed answer that fails as stalled although its next bytes are in the kernel.
#[tokio::test(start_paused = true)]
async fn a_silence_timer_lets_its_owner_read_after_the_deadline() {
    let deadline = Instant::now() + TIMEOUT;
    let mut timer = SilenceTimer::new(Instant::now());
    timer.reset(deadline);
    let mut peer = Box::pin(unread_at(deadline));
    let first = poll_fn(|context| {
        if let Poll::Ready(text) = peer.as_mut().poll(context) {
            return Poll::Ready(Some(text));
        }
        Pin::new(&mut timer).poll(context).map(|()| None)
    });
    assert_eq!(first.await, Some("read"));
    timer.reset(Instant::now() + TIMEOUT);
    timer.await;
    assert_eq!(Instant::now(), deadline + TIMEOUT);
}
