//! All conversations of one process.

use crate::link::{Link, LinkAction, Role};
use crate::word::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// One of a process's conversations. Numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u32);

/// All conversations of one process: with its elder, and with heirs. They form a tree, as each process has one elder at the
/// most, so that what is passed on to all others reaches each process once.
#[derive(Debug)]
pub struct ProcessGroup {
    name: String,
    next: u32,
    links: BTreeMap<LinkId, Link>,
}

impl ProcessGroup {
    /// Conversations at once. Guards against processes that are started without end.
    pub const MAX_LINKS: usize = 4;

    /// A process of a node of this name that speaks to nobody.
    pub fn new(name: &str) -> ProcessGroup {
        ProcessGroup {
            name: name.to_owned(),
            next: 0,
            links: BTreeMap::new(),
        }
    }

    /// A conversation is opened; none if there are too many.
    pub fn open(&mut self, now: Duration, role: Role) -> Option<(LinkId, Vec<LinkAction>)> {
        if self.links.len() >= Self::MAX_LINKS {
            return None;
        }
        let (no, mut out) = (LinkId(self.next), Vec::new());
        self.next += 1;
        self.links
            .insert(no, Link::new(now, role, &self.name, &mut out));
        Some((no, out))
    }

    /// A line has come, or time has passed (`now`), or the other side has gone.
    pub fn with(
        &mut self,
        no: LinkId,
        step: impl FnOnce(&mut Link, &mut Vec<LinkAction>),
    ) -> Vec<LinkAction> {
        let mut out = Vec::new();
        if let Some(link) = self.links.get_mut(&no) {
            step(link, &mut out);
            if out.iter().any(|step| matches!(step, LinkAction::End(_))) {
                self.links.remove(&no);
            }
        }
        out
    }

    /// Whether the other side of a conversation is one node with this process.
    pub fn is_live(&self, no: LinkId) -> bool {
        self.links.get(&no).is_some_and(Link::is_live)
    }

    /// When a conversation's time is up.
    pub fn deadline(&self, no: LinkId) -> Option<Duration> {
        self.links.get(&no).and_then(Link::deadline)
    }

    /// Whom a word is for that came from here (`None`) or from one of them. Datagrams of peers go to elders, who have none
    /// of their own any more; an elder's word for its heirs never comes back.
    pub fn recipients(&self, word: &Message, from: Option<LinkId>) -> Vec<LinkId> {
        let wanted = |link: &Link| match word {
            Message::Peer { .. } | Message::Serving => link.is_to_parent(),
            _ => true,
        };
        let others = self
            .links
            .iter()
            .filter(|(no, link)| Some(**no) != from && link.is_live() && wanted(link));
        others.map(|(no, _)| *no).collect()
    }

    /// Whether any attempt has to be told.
    pub fn is_shared(&self) -> bool {
        self.links.values().any(Link::is_live)
    }

    /// Whether an heir takes clients, and speaks to peers in this process's stead.
    pub fn has_successor(&self) -> bool {
        self.links.values().any(Link::has_successor)
    }

    /// Whether this process has no heir, so that a new one has to find it.
    pub fn is_last(&self) -> bool {
        self.links.values().all(Link::is_to_parent)
    }
}
