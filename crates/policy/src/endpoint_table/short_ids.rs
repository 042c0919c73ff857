//! Short ids of servers, as peers name them in messages.

use crate::interface::ServerId;
use crate::statistics::hash_number;
use std::collections::BTreeMap;

/// How many short ids there are.
const SHORT_IDS: usize = 1 << 16;

/// The 16 bits that stand for a server in messages.
pub(crate) fn short_server_id(server: ServerId) -> u16 {
    (hash_number(server.0) >> 48) as u16
}

/// Servers by their short ids.
#[derive(Clone, Debug, Default)]
pub(super) struct ShortIds {
    members: BTreeMap<u16, ServerId>,
    /// How many listed servers have each short id; empty unless the list is subsetted.
    counts: Vec<u16>,
}

impl ShortIds {
    /// An empty index. With a subsetted list all servers are counted, as a peer may mean one outside the subset.
    pub fn for_list(subsetted: bool) -> ShortIds {
        let counts = if subsetted {
            vec![0; SHORT_IDS]
        } else {
            Vec::new()
        };
        ShortIds {
            members: BTreeMap::new(),
            counts,
        }
    }

    /// Adds a member.
    pub fn insert(&mut self, id: ServerId) {
        self.members.insert(short_server_id(id), id);
    }

    /// Counts a listed server, member or not, of a subsetted list.
    pub fn count(&mut self, id: ServerId) {
        self.counts[usize::from(short_server_id(id))] += 1;
    }

    /// Removes a server.
    pub fn remove(&mut self, id: ServerId) {
        let short_id = short_server_id(id);
        if self.members.get(&short_id) == Some(&id) {
            self.members.remove(&short_id);
        }
        if let Some(count) = self.counts.get_mut(usize::from(short_id)) {
            *count -= 1;
        }
    }

    /// The member with a short id; `None` where other listed servers share it.
    pub fn get(&self, short_id: u16) -> Option<ServerId> {
        let count = self.counts.get(usize::from(short_id));
        let shared = count.is_some_and(|count| *count > 1);
        self.members.get(&short_id).copied().filter(|_| !shared)
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }
}
