//! Several sources of the roster at once: platform discovery and etcd.
//!
//! The rule, host by host: a source has a say once it has listed the host. Of what they say **the more careful standing
//! wins** (gone before draining before ready), and the later start. A source that no longer lists a host says "gone" for
//! as long as another one lists it. Where it is and what it is (address, hall, group, share) is taken from the platform's
//! discovery where that lists it, since an address may differ from one edge node to the next; else from etcd.

use crate::entry::{Entry, Standing};
use crate::Change;
use std::collections::BTreeMap;

/// Where news of the roster comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's discovery.
    Discovery = 0,
    /// etcd.
    Etcd = 1,
}

const SOURCES: usize = 2;

/// All sources, merged.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    hosts: BTreeMap<String, [Option<Entry>; SOURCES]>,
    contradictions: u64,
}

impl Merge {
    /// Nothing is known from any source.
    pub fn new() -> Merge {
        Merge::default()
    }

    /// Takes in news of one source; what the decision module is to be told of it.
    pub fn take(&mut self, source: Source, change: Change) -> Change {
        let mut touched: BTreeMap<String, Option<Entry>> = BTreeMap::new();
        if change.whole {
            // Who is not on the whole list is gone for this source, if it ever had a say.
            for (host, says) in &self.hosts {
                if says[source as usize].as_ref().is_some_and(|entry| entry.standing != Standing::Gone) {
                    touched.insert(host.clone(), None);
                }
            }
        }
        touched.extend(change.entries.into_iter().map(|entry| (entry.host.clone(), Some(entry))));
        let mut entries = Vec::new();
        for (host, entry) in touched {
            let says = self.hosts.entry(host.clone()).or_default();
            let before = merged(says);
            let place = &mut says[source as usize];
            *place = match (entry, place.take()) {
                (Some(entry), _) => Some(entry),
                (None, Some(held)) => Some(Entry { standing: Standing::Gone, ..held }),
                (None, None) => None,
            };
            let after = merged(says);
            let standings: Vec<_> = says.iter().flatten().map(|entry| entry.standing).collect();
            self.contradictions += u64::from(standings.windows(2).any(|two| two[0] != two[1]));
            // Guards memory: a host that nobody lists any more is forgotten.
            if says.iter().flatten().all(|entry| entry.standing == Standing::Gone) {
                self.hosts.remove(&host);
            }
            entries.extend(after.filter(|after| before.as_ref() != Some(after)));
        }
        Change { entries, told: change.told, whole: false }
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

fn merged(says: &[Option<Entry>; SOURCES]) -> Option<Entry> {
    let standing = says.iter().flatten().map(|entry| entry.standing).max()?;
    let born_ms = says.iter().flatten().map(|entry| entry.born_ms).max().unwrap_or(0);
    let listed = |entry: &&Entry| entry.standing != Standing::Gone;
    let place = says.iter().flatten().find(listed).or(says.iter().flatten().next())?;
    Some(Entry { standing, born_ms, ..place.clone() })
}
