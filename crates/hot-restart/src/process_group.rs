//! The links of one process to its parent and its children, and the recipients of a message.

use crate::link::{Link, LinkAction, Role};
use crate::message::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a link within a process. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u32);

/// The links of one process to its parent and its children. As each process has at most one parent, the processes of a
/// node form a tree, so a message that each process forwards to all its other links reaches every process exactly once.
#[derive(Debug)]
pub struct ProcessGroup {
    node_name: String,
    next_id: u32,
    links: BTreeMap<LinkId, Link>,
}

impl ProcessGroup {
    /// Maximum number of links. Bounds the memory and file descriptors used if processes are started in a loop.
    pub const MAX_LINKS: usize = 4;

    /// Creates the group of a process of the node `name`, without links.
    pub fn new(name: &str) -> ProcessGroup {
        ProcessGroup {
            node_name: name.to_owned(),
            next_id: 0,
            links: BTreeMap::new(),
        }
    }

    /// Adds a link, in which this process has the given role. Returns `None` if there are [`ProcessGroup::MAX_LINKS`]
    /// already.
    pub fn add_link(&mut self, now: Duration, role: Role) -> Option<(LinkId, Vec<LinkAction>)> {
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

    /// Calls `handle` with a link, and removes the link if that closed it. Does nothing if the link does not exist.
    pub fn update_link(
        &mut self,
        id: LinkId,
        handle: impl FnOnce(&mut Link, &mut Vec<LinkAction>),
    ) -> Vec<LinkAction> {
        let mut out = Vec::new();
        if let Some(link) = self.links.get_mut(&id) {
            handle(link, &mut out);
            if out
                .iter()
                .any(|action| matches!(action, LinkAction::Close(_)))
            {
                self.links.remove(&id);
            }
        }
        out
    }

    /// Whether the link has completed its handshake, so that both processes count as one node.
    pub fn is_live(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(Link::is_live)
    }

    /// When a link times out; `None` if it has no timeout or does not exist.
    pub fn deadline(&self, id: LinkId) -> Option<Duration> {
        self.links.get(&id).and_then(Link::deadline)
    }

    /// Returns the links that a message is sent to. `from` is the link over which the message was received, or `None`
    /// if it originates in this process.
    ///
    /// Peer datagrams and [`Message::Serving`] go only to the parent. The parent no longer receives datagrams itself.
    pub fn recipients(&self, message: &Message, from: Option<LinkId>) -> Vec<LinkId> {
        let parents_only = matches!(message, Message::Peer { .. } | Message::Serving);
        let mut recipients = Vec::new();
        for (id, link) in &self.links {
            let is_sender = Some(*id) == from;
            let role_matches = link.is_to_parent() || !parents_only;
            if link.is_live() && role_matches && !is_sender {
                recipients.push(*id);
            }
        }
        recipients
    }

    /// Whether at least one link is live, so that attempts must be announced.
    pub fn has_live_link(&self) -> bool {
        self.links.values().any(Link::is_live)
    }

    /// Whether a child accepts connections and exchanges peer messages in place of this process.
    pub fn has_serving_child(&self) -> bool {
        self.links.values().any(Link::has_successor)
    }

    /// Whether this process has no child, so that the next process of the node connects to it.
    pub fn has_no_child(&self) -> bool {
        self.links.values().all(Link::is_to_parent)
    }
}
