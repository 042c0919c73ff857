//! Merges the lists of several sources: the platform's discovery and etcd.
//!
//! For each host, only sources that have listed it are considered. If their statuses differ, **the most restrictive one
//! wins** (removed, then draining, then ready); the latest start time wins too. A source that no longer lists a host
//! reports it as removed, for as long as another source lists it. Address, zone, domain and weight are taken from the
//! platform's discovery if it lists the host, because a host's address may differ from node to node; otherwise from
//! etcd.

use crate::compact::{CompactEndpoint, ZoneNames};
use crate::record::{EndpointRecord, EndpointStatus};
use crate::update::EndpointUpdate;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A source of endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's discovery.
    Discovery = 0,
    /// The etcd cluster that the operator's configuration names.
    Etcd = 1,
}

/// Number of variants of [`Source`].
const SOURCE_COUNT: usize = 2;

/// The merged list of all sources.
#[derive(Clone, Debug, Default)]
pub struct MergedList {
    hosts: BTreeMap<Arc<str>, HostRecords>,
    zones: ZoneNames,
    contradictions: u64,
}

impl MergedList {
    /// Creates an empty list.
    pub fn new() -> MergedList {
        MergedList::default()
    }

    /// Applies an update of one source. Returns the resulting update of the merged list.
    pub fn apply(&mut self, source: Source, update: EndpointUpdate) -> EndpointUpdate {
        let mut changed: BTreeMap<Arc<str>, Option<EndpointRecord>> = BTreeMap::new();
        if update.snapshot {
            // Hosts that are missing from a complete list are removed.
            for host in self.hosts_listed_by(source) {
                changed.insert(host, None);
            }
        }
        for record in update.endpoints {
            changed.insert(Arc::clone(&record.host), Some(record));
        }
        let mut endpoints = Vec::new();
        for (host, record) in changed {
            endpoints.extend(self.update_host(source, &host, record));
        }
        EndpointUpdate {
            endpoints,
            received_at: update.received_at,
            snapshot: false,
        }
    }

    fn hosts_listed_by(&self, source: Source) -> impl Iterator<Item = Arc<str>> + '_ {
        self.hosts
            .iter()
            .filter(move |(_, records)| records.is_listed_by(source))
            .map(|(host, _)| Arc::clone(host))
    }

    /// Stores a source's record of a host; `None` if the source no longer lists the host. Returns the merged record if
    /// it has changed.
    fn update_host(
        &mut self,
        source: Source,
        host: &Arc<str>,
        record: Option<EndpointRecord>,
    ) -> Option<EndpointRecord> {
        let records = self.hosts.entry(Arc::clone(host)).or_default();
        let before = records.merged(host);
        match record {
            Some(record) => records.set(source, CompactEndpoint::new(&record, &mut self.zones)),
            None => records.remove(source),
        }
        let after = records.merged(host);
        self.contradictions += u64::from(records.contradict());
        // Hosts that no source lists are dropped, so that memory does not grow with every host that was ever listed.
        if records.all_removed() {
            self.hosts.remove(host);
        }
        after.filter(|after| before.as_ref() != Some(after))
    }

    /// Returns how many record updates left the sources with different statuses of a host.
    pub fn contradictions(&self) -> u64 {
        self.contradictions
    }

    /// Returns the number of hosts that at least one source lists.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }
}

/// The records of one host, by source. They are boxed because most hosts of a long list have only one source.
#[derive(Clone, Debug, Default)]
struct HostRecords {
    by_source: [Option<Box<CompactEndpoint>>; SOURCE_COUNT],
}

impl HostRecords {
    fn all(&self) -> impl Iterator<Item = &CompactEndpoint> {
        self.by_source.iter().flatten().map(Box::as_ref)
    }

    fn is_listed_by(&self, source: Source) -> bool {
        let record = self.by_source[source as usize].as_ref();
        record.is_some_and(|record| !record.is_removed())
    }

    fn set(&mut self, source: Source, record: CompactEndpoint) {
        self.by_source[source as usize] = Some(Box::new(record));
    }

    /// Marks a source's record as removed, if it has one.
    fn remove(&mut self, source: Source) {
        let record = &mut self.by_source[source as usize];
        *record = record
            .take()
            .map(|record| Box::new(record.with_status(EndpointStatus::Removed)));
    }

    fn all_removed(&self) -> bool {
        self.all().all(CompactEndpoint::is_removed)
    }

    fn contradict(&self) -> bool {
        let mut statuses = self.all().map(CompactEndpoint::status);
        let first = statuses.next();
        statuses.any(|status| Some(status) != first)
    }

    fn merged(&self, host: &Arc<str>) -> Option<EndpointRecord> {
        let status = self.all().map(CompactEndpoint::status).max()?;
        let started_at_ms = self.all().map(CompactEndpoint::started_at_ms).max()?;
        let preferred = self
            .all()
            .find(|record| !record.is_removed())
            .or_else(|| self.all().next())?;
        Some(EndpointRecord {
            status,
            started_at_ms,
            ..preferred.record(host)
        })
    }
}
