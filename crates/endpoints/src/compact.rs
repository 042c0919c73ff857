//! Records in the form in which long lists are kept: the host's name is the key of the table, and each zone's name is
//! kept once for all servers.

use crate::record::{EndpointRecord, EndpointStatus};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// When there are this many names of zones, those that no server has any more are dropped.
const MAX_ZONE_NAMES: usize = 256;

/// A record without its host.
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
    /// Takes a record in, and its zone's name into `zones`.
    pub fn new(record: &EndpointRecord, zones: &mut ZoneNames) -> CompactEndpoint {
        CompactEndpoint {
            address: record.address,
            zone: zones.shared(&record.zone),
            domain: record.domain,
            weight: record.weight,
            started_at_ms: record.started_at_ms,
            status: record.status,
        }
    }

    /// The complete record.
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

    /// The status.
    pub fn status(&self) -> EndpointStatus {
        self.status
    }

    /// Whether the server was removed.
    pub fn is_removed(&self) -> bool {
        self.status == EndpointStatus::Removed
    }

    /// When the server last started, Unix time in milliseconds; 0 for long ago.
    pub fn started_at_ms(&self) -> u64 {
        self.started_at_ms
    }

    /// The same server with another status.
    pub fn with_status(self, status: EndpointStatus) -> CompactEndpoint {
        CompactEndpoint { status, ..self }
    }

    /// Sets the start, in Unix time in milliseconds.
    pub fn set_started_at_ms(&mut self, started_at_ms: u64) {
        self.started_at_ms = started_at_ms;
    }
}

/// Names of zones, each kept once.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneNames {
    names: BTreeSet<Arc<str>>,
}

impl ZoneNames {
    fn shared(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.names.get(name) {
            return Arc::clone(known);
        }
        if self.names.len() >= MAX_ZONE_NAMES {
            self.names.retain(|name| Arc::strong_count(name) > 1);
        }
        let name: Arc<str> = name.into();
        // If all names are in use, this one is not shared.
        if self.names.len() < MAX_ZONE_NAMES {
            self.names.insert(Arc::clone(&name));
        }
        name
    }
}
