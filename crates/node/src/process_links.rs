//! This process's links to the other processes of its node, as far as the node needs them: what is sent over them, and
//! whom this process shares the node with.

use saffronpaddle_hot_restart::{
    read, write, Link, LinkAction, LinkId, Message, ProcessGroup, Role,
};
use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// Messages that may be queued for a process that does not read. One that is so far behind is no part of this node any
/// more: what it takes from the quotas cannot be counted.
const MAX_QUEUED_MESSAGES: usize = 4096;

/// The other processes of this node.
pub struct ProcessLinks {
    name: String,
    /// Whether this process can meet others.
    enabled: bool,
    started_at: Instant,
    group: RefCell<ProcessGroup>,
    senders: RefCell<BTreeMap<LinkId, mpsc::Sender<Rc<str>>>>,
    has_successor: watch::Sender<bool>,
    /// A child has gone: the next has to find this process again.
    rebind: Notify,
}

/// Whom this process shares its node with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Siblings {
    /// Another process serves the node too.
    pub shared: bool,
    /// A child serves the node, and gets its peers' datagrams.
    pub has_successor: bool,
}

impl ProcessLinks {
    /// No links yet. `enabled`: whether this process can meet others.
    pub fn new(name: &str, enabled: bool) -> ProcessLinks {
        ProcessLinks {
            name: name.to_owned(),
            enabled,
            started_at: Instant::now(),
            group: RefCell::new(ProcessGroup::new(name)),
            senders: RefCell::default(),
            has_successor: watch::channel(false).0,
            rebind: Notify::new(),
        }
    }

    /// The node's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether there can be any links.
    pub fn enabled(&self) -> bool {
        self.enabled
    }

    /// Whether a child takes clients.
    pub fn successor(&self) -> watch::Receiver<bool> {
        self.has_successor.subscribe()
    }

    /// This process's part of what the node may have: two that are one node share its descriptors.
    pub fn part(&self, all: usize) -> usize {
        if self.group.borrow().is_shared() {
            all / 2
        } else {
            all
        }
    }

    /// Sends the other processes a message about an attempt.
    pub fn send_to_siblings(&self, message: SiblingMessage) {
        self.broadcast(&Message::Sibling(message), None);
    }

    /// Forwards a peer's datagram to the processes that receive none any more.
    pub fn forward_peer_message(&self, from: NodeId, bytes: &[u8]) {
        if self.group.borrow().is_shared() {
            let bytes = bytes.to_vec();
            self.broadcast(&Message::Peer { from, bytes }, None);
        }
    }

    /// Sends a message to all whom it is for, except the link that it came from.
    pub fn broadcast(&self, message: &Message, from: Option<LinkId>) {
        let to = self.group.borrow().recipients(message, from);
        if to.is_empty() {
            return;
        }
        let line: Rc<str> = write(message).into();
        to.into_iter()
            .for_each(|id| self.send_line(id, Rc::clone(&line)));
    }

    /// Sends a message on one link.
    pub fn send(&self, id: LinkId, message: &Message) {
        self.send_line(id, write(message).into());
    }

    fn send_line(&self, id: LinkId, line: Rc<str>) {
        let full = self
            .senders
            .borrow()
            .get(&id)
            .is_some_and(|sender| sender.try_send(line).is_err());
        if full {
            // Its writer ends with it, and the reader sees that.
            self.senders.borrow_mut().remove(&id);
        }
    }

    /// Opens a link. `None` where there can be no more.
    pub fn open(&self, role: Role) -> Option<(LinkId, Vec<LinkAction>)> {
        self.group.borrow_mut().open(self.now(), role)
    }

    /// The lines that are to be written on a link from now on.
    pub fn lines(&self, id: LinkId) -> mpsc::Receiver<Rc<str>> {
        let (sender, lines) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.senders.borrow_mut().insert(id, sender);
        lines
    }

    /// Writes no more on a link.
    pub fn remove(&self, id: LinkId) {
        self.senders.borrow_mut().remove(&id);
    }

    /// When a link must have sent its next message, if there is a bound.
    pub fn deadline(&self, id: LinkId) -> Option<Instant> {
        let until = self.group.borrow().deadline(id);
        until.map(|until| self.started_at + until)
    }

    /// A line has come on a link.
    pub fn on_line(&self, id: LinkId, line: &[u8]) -> Vec<LinkAction> {
        self.with(id, |link, out| link.on_message(read(line), out))
    }

    /// A link has ended.
    pub fn on_disconnect(&self, id: LinkId) -> Vec<LinkAction> {
        self.with(id, Link::on_disconnect)
    }

    /// Time has passed on a link, up to `at`.
    pub fn on_time(&self, id: LinkId, at: Instant) -> Vec<LinkAction> {
        let at = at.duration_since(self.started_at);
        self.with(id, |link, out| link.tick(at, out))
    }

    fn with(
        &self,
        id: LinkId,
        change: impl FnOnce(&mut Link, &mut Vec<LinkAction>),
    ) -> Vec<LinkAction> {
        self.group.borrow_mut().with(id, change)
    }

    /// Whether a link's process is part of this node.
    pub fn is_live(&self, id: LinkId) -> bool {
        self.group.borrow().is_live(id)
    }

    /// Has the rendezvous bound anew if no other process took over from this one.
    pub fn rebind_if_last(&self) {
        if self.group.borrow().is_last() {
            self.rebind.notify_one();
        }
    }

    /// Waits until the rendezvous must be bound anew.
    pub async fn rebound(&self) {
        self.rebind.notified().await;
    }

    /// Whom this process shares its node with now.
    pub fn siblings(&self) -> Siblings {
        let group = self.group.borrow();
        Siblings {
            shared: group.is_shared(),
            has_successor: group.has_successor(),
        }
    }

    /// Notifies those who wait for a successor.
    pub fn publish_successor(&self, has_successor: bool) {
        self.has_successor.send_replace(has_successor);
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}
