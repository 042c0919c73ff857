//! Waiting for optional deadlines.

use tokio::time::{sleep_until, Instant};

/// Waits until a deadline. Never completes if there is none.
pub async fn reached(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
