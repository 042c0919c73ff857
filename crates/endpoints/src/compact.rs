//! Compact storage of endpoint records for long lists: the host name is the key of the table, and each zone name is
//! stored once and shared by all servers.

use crate::record::{EndpointRecord, EndpointStatus};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of zone names at which those that are no longer used by any server are dropped.
const MAX_ZONE_NAMES: usize = 256;

/// An [`EndpointRecord`] without its host name.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompactEndpoint {
    address: SocketAddr,
    zone: Arc<str>,
    domain: u64,
    weight: f64,
    started_at_ms: u64,
    status: EndpointStatus,
}

impl CompactEndpoint {
    /// Converts a record, sharing its zone name through `zones`.
    pub fn new(record: &EndpointRecord, zones: &mut ZoneNames) -> CompactEndpoint {
        CompactEndpoint {
            address: record.address,
            zone: zones.intern(&record.zone),
            domain: record.domain,
            weight: record.weight,
            started_at_ms: record.started_at_ms,
            status: record.status,
        }
    }

    /// Returns the complete record of `host`.
    pub fn record(&self, host: &Arc<str>) -> EndpointRecord {
        EndpointRecord {
            host: Arc::clone(host),
            address: self.address,
            zone: Arc::clone(&self.zone),
            domain: self.domain,
            status: self.status,
            weight: self.weight,
            started_at_ms: self.started_at_ms,
        }
    }

    pub fn status(&self) -> EndpointStatus {
        self.status
    }

    /// Whether the list has marked the server as removed.
    pub fn is_removed(&self) -> bool {
        self.status == EndpointStatus::Removed
    }

    /// When the server last started, in Unix milliseconds; 0 if it started long ago.
    pub fn started_at_ms(&self) -> u64 {
        self.started_at_ms
    }

    /// Returns the endpoint with its status replaced.
    pub fn with_status(self, status: EndpointStatus) -> CompactEndpoint {
        CompactEndpoint { status, ..self }
    }

    /// Sets the start time, in Unix milliseconds.
    pub fn set_started_at_ms(&mut self, started_at_ms: u64) {
        self.started_at_ms = started_at_ms;
    }
}

/// Interned zone names.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneNames {
    names: BTreeSet<Arc<str>>,
}

impl ZoneNames {
    /// Returns the shared copy of `name`, adding it if it is new.
    fn intern(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return Arc::clone(known);
        }
        if self.names.len() >= MAX_ZONE_NAMES {
            self.names.retain(|name| Arc::strong_count(name) > 1);
        }
        let name: Arc<str> = name.into();
        // The table is still full if every name is in use; this name is then not shared.
        if self.names.len() < MAX_ZONE_NAMES {
            self.names.insert(Arc::clone(&name));
        }
        name
    }
}
