//! Test doubles on loopback for everything that an edge node talks to, and a test oracle that judges each run.
//!
//! They are written from the platform's protocol and from public specifications, and start no third-party programs. A
//! [`World`] holds the clock and the [`oracle`] of one run, which the doubles share.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempts;
pub mod discovery;
pub mod etcd;
pub mod health_report;
mod kernel_sockets;
pub mod links;
pub mod load;
pub mod oracle;
pub mod peers;
pub mod ports;
pub mod process;
pub mod scripted;
pub mod servers;
pub mod settings;
pub mod wire;

use attempts::HeldAttempts;
use oracle::{Bounds, Oracle};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock and the oracle of one test run.
#[derive(Debug)]
pub struct World {
    started: Instant,
    unix: Duration,
    oracle: Mutex<Oracle>,
    held_attempts: HeldAttempts,
}

impl World {
    /// Starts a run now.
    pub fn start(bounds: Bounds) -> Arc<World> {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Arc::new(World {
            started: Instant::now(),
            unix,
            oracle: Mutex::new(Oracle::new(bounds)),
            held_attempts: HeldAttempts::default(),
        })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        (self.unix + self.now()).as_millis() as u64
    }

    /// Locks the oracle. A poisoned lock is used on: the oracle holds plain records.
    pub fn oracle(&self) -> MutexGuard<'_, Oracle> {
        self.oracle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
