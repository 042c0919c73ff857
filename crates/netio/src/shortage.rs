//! Shortages of this process or this machine that pass by themselves.

use nix::errno::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(20);
/// How long is tried; whoever started the process waits for longer.
const TRY_FOR: Duration = Duration::from_secs(5);

/// Whether a call failed for a lack of something that others of this machine may give back in a moment, or was interrupted.
pub fn is_shortage(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    matches!(
        errno,
        Some(Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM | Errno::EAGAIN | Errno::EINTR)
    )
}

/// Whether a connection could not be made for a lack on this side: it says nothing of the other side.
pub fn is_local_failure(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw);
    is_shortage(error) || matches!(errno, Some(Errno::EMFILE | Errno::EADDRNOTAVAIL))
}

/// Makes a call again while it fails for a shortage, for a few seconds.
///
/// # Errors
/// The call's last.
pub async fn retry_shortage<T, F: Future<Output = io::Result<T>>>(
    mut call: impl FnMut() -> F,
) -> io::Result<T> {
    let until = Instant::now() + TRY_FOR;
    loop {
        match call().await {
            Err(error) if is_shortage(&error) && Instant::now() < until => sleep(PAUSE).await,
            done => return done,
        }
    }
}
