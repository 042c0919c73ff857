//! Short ids that identify servers in messages between nodes.

use crate::interface::ServerId;
use crate::statistics::hash_number;
use std::collections::BTreeMap;

/// Number of possible short ids.
const SHORT_ID_COUNT: usize = 1 << 16;

/// The 16-bit hash that identifies a server in messages. Several servers may share one.
pub(crate) fn short_server_id(server: ServerId) -> u16 {
    (hash_number(server.0) >> 48) as u16
}

/// Servers by their short ids.
#[derive(Clone, Debug, Default)]
pub(super) struct ShortIds {
    members: BTreeMap<u16, ServerId>,
    /// Number of servers in the table with each short id; empty unless the list is subsetted.
    counts: Vec<u16>,
}

impl ShortIds {
    /// Creates an empty index. For a subsetted list all servers are counted, as a peer may refer to one outside the
    /// subset.
    pub fn for_list(subsetted: bool) -> ShortIds {
        let counts = if subsetted {
            vec![0; SHORT_ID_COUNT]
        } else {
            Vec::new()
        };
        ShortIds {
            members: BTreeMap::new(),
            counts,
        }
    }

    /// Indexes a member. It replaces another member with the same short id.
    pub fn insert(&mut self, id: ServerId) {
        self.members.insert(short_server_id(id), id);
    }

    /// Counts a server of a subsetted list, whether it is a member or not.
    pub fn count(&mut self, id: ServerId) {
        self.counts[usize::from(short_server_id(id))] += 1;
    }

    /// Removes a server that is dropped from the table, both from the index and from the counts.
    pub fn remove(&mut self, id: ServerId) {
        let short_id = short_server_id(id);
        if self.members.get(&short_id) == Some(&id) {
            self.members.remove(&short_id);
        }
        if let Some(count) = self.counts.get_mut(usize::from(short_id)) {
            *count -= 1;
        }
    }

    /// The member with a short id. `None` if there is none, or if several servers of a subsetted list share it.
    pub fn get(&self, short_id: u16) -> Option<ServerId> {
        let count = self.counts.get(usize::from(short_id));
        let shared = count.is_some_and(|count| *count > 1);
        self.members.get(&short_id).copied().filter(|_| !shared)
    }

    /// Number of indexed members.
    pub fn len(&self) -> usize {
        self.members.len()
    }
}
