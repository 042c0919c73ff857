//! Merges the lists of several sources: the platform's discovery and etcd.
//!
//! Host by host, a source counts once it has listed the host. Of the statuses that sources give, **the more careful one
//! wins** (removed before draining before ready), and the later start. A source that no longer lists a host counts as
//! "removed" for as long as another one lists it. Address, zone, domain and weight are those of the platform's discovery if
//! that lists the host, as an address may differ from one node to the next; otherwise those of etcd.

use crate::compact::{CompactEndpoint, ZoneNames};
use crate::record::{EndpointRecord, EndpointStatus};
use crate::update::EndpointUpdate;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A source of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's discovery.
    Discovery = 0,
    /// etcd.
    Etcd = 1,
}

/// The number of sources.
const SOURCE_COUNT: usize = 2;

/// All sources, merged.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    hosts: BTreeMap<Arc<str>, HostRecords>,
    zones: ZoneNames,
    contradictions: u64,
}

impl Merge {
    /// No source has listed anything.
    pub fn new() -> Merge {
        Merge::default()
    }

    /// Takes in a change of one source. Returns the change of the merged list.
    pub fn take(&mut self, source: Source, update: EndpointUpdate) -> EndpointUpdate {
        let mut changed: BTreeMap<Arc<str>, Option<EndpointRecord>> = BTreeMap::new();
        if update.snapshot {
            // A host that is missing in a complete list is removed.
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

    /// Takes in what a source says of a host now; `None` if it does not list it any more. Returns the merged record if that
    /// has changed.
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
        // A host that no source lists is forgotten, so that memory does not grow with every host that ever was.
        if records.all_removed() {
            self.hosts.remove(host);
        }
        after.filter(|after| before.as_ref() != Some(after))
    }

    /// How many changes left sources with contradicting statuses of a host.
    pub fn contradictions(&self) -> u64 {
        self.contradictions
    }

    /// How many hosts are known.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }
}

/// The records of one host, by source. They are boxed because most hosts of a long list have one source only.
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
