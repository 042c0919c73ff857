//! Detection and retries of calls that fail because this process or this machine lacks a resource.

use nix::errno::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Pause between two attempts of a call that fails for lack of a resource.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a failing call is retried. Service managers allow more time than this for a start.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a call failed for lack of a resource that other processes may soon release, or because a signal interrupted
/// it.
pub fn is_shortage(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    matches!(
        errno,
        Some(Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM | Errno::EAGAIN | Errno::EINTR)
    )
}

/// Whether connecting failed for lack of a resource on this machine, so that the error does not indicate a failure of
/// the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    is_shortage(error) || matches!(errno, Some(Errno::EMFILE | Errno::EADDRNOTAVAIL))
}

/// Retries a call while it fails as described at [`is_shortage`], for at most 5 s.
///
/// # Errors
/// The last error of the call.
pub async fn retry_shortage<T, F: Future<Output = io::Result<T>>>(
    mut call: impl FnMut() -> F,
) -> io::Result<T> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        match call().await {
            Err(error) if is_shortage(&error) && Instant::now() < deadline => {
                sleep(RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
