//! Measures how late the harness itself runs. On a busy machine a client may read an answer late that its node wrote in
//! time; the longest delay shows which of the two was late.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Interval of the measurements.
const INTERVAL: Duration = Duration::from_millis(5);

/// A delay of the harness.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stall {
    /// When it ended, since the measurements began.
    pub ended_at: Duration,
    /// How much later than planned the harness ran.
    pub length: Duration,
}

/// Measures the delays of the harness until it is dropped.
pub struct StallWatch {
    longest: Arc<Mutex<Stall>>,
    task: JoinHandle<()>,
}

impl StallWatch {
    /// Begins to measure.
    pub fn start() -> StallWatch {
        let longest = Arc::new(Mutex::new(Stall::default()));
        let task = tokio::spawn(measure(Arc::clone(&longest)));
        StallWatch { longest, task }
    }

    /// The longest delay so far.
    pub fn longest(&self) -> Stall {
        *self.longest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for StallWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn measure(longest: Arc<Mutex<Stall>>) {
    let began = Instant::now();
    loop {
        let planned = Instant::now() + INTERVAL;
        tokio::time::sleep(INTERVAL).await;
        let stall = Stall {
            ended_at: began.elapsed(),
            length: planned.elapsed(),
        };
        let mut longest = longest.lock().unwrap_or_else(PoisonError::into_inner);
        if stall.length > longest.length {
            *longest = stall;
        }
    }
}

#[cfg(test)]
mod tests;
