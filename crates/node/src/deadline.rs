//! Waits for deadlines that may not exist.

use tokio::time::{sleep_until, Instant};

/// Waits for a deadline; for ever if there is none.
pub async fn reached(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
