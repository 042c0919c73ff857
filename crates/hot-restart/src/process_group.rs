//! All links of one process.

use crate::link::{Link, LinkAction, Role};
use crate::message::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a link of a process. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u32);

/// All links of one process: to its parent and to its children. As each process has at most one parent, the processes of a
/// node form a tree, and a message that is forwarded to all other links reaches each process once.
#[derive(Debug)]
pub struct ProcessGroup {
    node_name: String,
    next_id: u32,
    links: BTreeMap<LinkId, Link>,
}

impl ProcessGroup {
    /// The most links at once. It bounds the memory and descriptors that processes started in a loop can take.
    pub const MAX_LINKS: usize = 4;

    /// A process of the node `name` without links.
    pub fn new(name: &str) -> ProcessGroup {
        ProcessGroup {
            node_name: name.to_owned(),
            next_id: 0,
            links: BTreeMap::new(),
        }
    }

    /// Opens a link; `None` if there are [`ProcessGroup::MAX_LINKS`] already. `role` is this process's.
    pub fn open(&mut self, now: Duration, role: Role) -> Option<(LinkId, Vec<LinkAction>)> {
        if self.links.len() >= Self::MAX_LINKS {
            return None;
        }
        let id = LinkId(self.next_id);
        self.next_id += 1;
        let mut out = Vec::new();
        let link = Link::new(now, role, &self.node_name, &mut out);
        self.links.insert(id, link);
        Some((id, out))
    }

    /// Handles an event of a link by `step`, and drops the link if that ended it. Does nothing for a link that is gone.
    pub fn with(
        &mut self,
        id: LinkId,
        step: impl FnOnce(&mut Link, &mut Vec<LinkAction>),
    ) -> Vec<LinkAction> {
        let mut out = Vec::new();
        if let Some(link) = self.links.get_mut(&id) {
            step(link, &mut out);
            if out.iter().any(|step| matches!(step, LinkAction::End(_))) {
                self.links.remove(&id);
            }
        }
        out
    }

    /// Whether the process at the other end of a link counts as one node with this one.
    pub fn is_live(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(Link::is_live)
    }

    /// When a link times out, if it does.
    pub fn deadline(&self, id: LinkId) -> Option<Duration> {
        self.links.get(&id).and_then(Link::deadline)
    }

    /// The links that a message is sent to, if it was made here (`from` is `None`) or received over the link `from`.
    ///
    /// Datagrams of peers go to parents only, which receive none of their own any more.
    pub fn recipients(&self, message: &Message, from: Option<LinkId>) -> Vec<LinkId> {
        let parents_only = matches!(message, Message::Peer { .. } | Message::Serving);
        let mut recipients = Vec::new();
        for (id, link) in &self.links {
            let is_sender = Some(*id) == from;
            let wanted = link.is_to_parent() || !parents_only;
            if link.is_live() && wanted && !is_sender {
                recipients.push(*id);
            }
        }
        recipients
    }

    /// Whether attempts have to be announced to another process.
    pub fn is_shared(&self) -> bool {
        self.links.values().any(Link::is_live)
    }

    /// Whether a child accepts clients and exchanges peer messages in place of this process.
    pub fn has_successor(&self) -> bool {
        self.links.values().any(Link::has_successor)
    }

    /// Whether this process has no child, so that the next one has to connect to it.
    pub fn is_last(&self) -> bool {
        self.links.values().all(Link::is_to_parent)
    }
}
