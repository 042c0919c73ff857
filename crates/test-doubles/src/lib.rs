//! Stand-ins on loopback for all that an edge node talks to, and a ledger that judges each run.
//!
//! Written from the platform's protocol and from public specifications; they start nothing of anybody else's. A
//! [`World`] holds one run's clock and its [`oracle`]; the others share it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod discovery;
pub mod etcd;
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

use oracle::{Bounds, Oracle};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One run: its clock and its ledger.
#[derive(Debug)]
pub struct World {
    started: Instant,
    unix: Duration,
    oracle: Mutex<Oracle>,
}

impl World {
    /// A run that begins now.
    pub fn start(bounds: Bounds) -> Arc<World> {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Arc::new(World {
            started: Instant::now(),
            unix,
            oracle: Mutex::new(Oracle::new(bounds)),
        })
    }

    /// Since the run's beginning.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        (self.unix + self.now()).as_millis() as u64
    }

    /// The ledger. A panic elsewhere does not spoil it: it holds plain entries.
    pub fn oracle(&self) -> MutexGuard<'_, Oracle> {
        self.oracle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A lock that a panic elsewhere does not spoil.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
