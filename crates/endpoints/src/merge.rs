//! Several sources of the roster at once: platform discovery and etcd.
//!
//! The rule, host by host: a source has a say once it has listed the host. Of what they say **the more careful standing
//! wins** (gone before draining before ready), and the later start. A source that no longer lists a host says "gone" for
//! as long as another one lists it. Where it is and what it is (address, hall, group, share) is taken from the platform's
//! discovery where that lists it, since an address may differ from one edge node to the next; else from etcd.

use crate::entry::{CompactEndpoint, EndpointRecord, EndpointStatus, Sites};
use crate::EndpointUpdate;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Where news of the roster comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's discovery.
    Discovery = 0,
    /// etcd.
    Etcd = 1,
}

const SOURCES: usize = 2;

/// What each source says of a host. Danger: room for two entries where one source lists 40,000 hosts.
type Says = [Option<Box<CompactEndpoint>>; SOURCES];

/// All sources, merged.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    hosts: BTreeMap<Arc<str>, Says>,
    sites: Sites,
    contradictions: u64,
}

impl Merge {
    /// Nothing is known from any source.
    pub fn new() -> Merge {
        Merge::default()
    }

    /// Takes in news of one source; what the decision module is to be told of it.
    pub fn take(&mut self, source: Source, change: EndpointUpdate) -> EndpointUpdate {
        let mut touched: BTreeMap<Arc<str>, Option<EndpointRecord>> = BTreeMap::new();
        if change.snapshot {
            // Who is not on the whole list is gone for this source, if it ever had a say.
            for (host, says) in &self.hosts {
                if says[source as usize]
                    .as_ref()
                    .is_some_and(|kept| kept.standing() != EndpointStatus::Removed)
                {
                    touched.insert(Arc::clone(host), None);
                }
            }
        }
        touched.extend(
            change
                .endpoints
                .into_iter()
                .map(|entry| (Arc::clone(&entry.host), Some(entry))),
        );
        let mut entries = Vec::new();
        for (host, entry) in touched {
            let says = self.hosts.entry(Arc::clone(&host)).or_default();
            let before = merged(&host, says);
            let place = &mut says[source as usize];
            *place = match (entry, place.take()) {
                (Some(entry), _) => Some(Box::new(CompactEndpoint::new(&entry, &mut self.sites))),
                (None, Some(held)) => Some(Box::new(held.at(EndpointStatus::Removed))),
                (None, None) => None,
            };
            let after = merged(&host, says);
            let standings: Vec<_> = says.iter().flatten().map(|kept| kept.standing()).collect();
            self.contradictions += u64::from(standings.windows(2).any(|two| two[0] != two[1]));
            // Guards memory: a host that nobody lists any more is forgotten.
            if says
                .iter()
                .flatten()
                .all(|kept| kept.standing() == EndpointStatus::Removed)
            {
                self.hosts.remove(&host);
            }
            entries.extend(after.filter(|after| before.as_ref() != Some(after)));
        }
        EndpointUpdate {
            endpoints: entries,
            received_at: change.received_at,
            snapshot: false,
        }
    }

    /// How often sources were seen to contradict each other on a standing.
    pub fn contradictions(&self) -> u64 {
        self.contradictions
    }

    /// Hosts that are known.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }
}

fn merged(host: &Arc<str>, says: &Says) -> Option<EndpointRecord> {
    let said = || says.iter().flatten().map(Box::as_ref);
    let standing = said().map(CompactEndpoint::standing).max()?;
    let born_ms = said().map(CompactEndpoint::born_ms).max().unwrap_or(0);
    let place = said()
        .find(|kept| kept.standing() != EndpointStatus::Removed)
        .or(said().next())?;
    Some(EndpointRecord {
        status: standing,
        started_at_ms: born_ms,
        ..place.entry(host)
    })
}
