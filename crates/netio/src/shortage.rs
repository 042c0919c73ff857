//! Calls that fail because this process or this machine lacks a resource.

use nix::errno::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// For how long a failing call is repeated. A service manager waits longer for a start.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a call failed for a resource that other processes may free in a moment, or was interrupted.
pub fn is_shortage(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    matches!(
        errno,
        Some(Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM | Errno::EAGAIN | Errno::EINTR)
    )
}

/// Whether connecting failed for a resource on this side, which says nothing about the other side.
pub fn is_local_failure(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    is_shortage(error) || matches!(errno, Some(Errno::EMFILE | Errno::EADDRNOTAVAIL))
}

/// Repeats a call while it fails for a shortage, for at most 5 s.
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
