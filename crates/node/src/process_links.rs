//! Links from this process to the other processes of its node: queues messages for them, and keeps track of which
//! processes share the node.

use saffronpaddle_hot_restart::{
    decode, encode, Link, LinkAction, LinkId, Message, ProcessGroup, Role,
};
use saffronpaddle_policy::interface::{NodeId, SiblingMessage};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::Instant;

/// Maximum number of messages queued for one process. The link to a process that is further behind is closed, because
/// the units that it charges to the quotas can no longer be counted.
const MAX_QUEUED_MESSAGES: usize = 4096;

/// The links to the other processes of this node.
pub struct ProcessLinks {
    node_name: String,
    /// Whether this process can have links to others.
    enabled: bool,
    started_at: Instant,
    group: RefCell<ProcessGroup>,
    senders: RefCell<BTreeMap<LinkId, mpsc::Sender<Rc<str>>>>,
    has_successor: watch::Sender<bool>,
    /// Notified when the last child has disconnected, so that the next one has to connect to this process.
    rebind: Notify,
}

/// Which other processes serve the node together with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Siblings {
    /// Whether another process counts as one node with this one.
    pub shared: bool,
    /// Whether a child accepts clients and receives the datagrams of the node's peers.
    pub has_successor: bool,
}

impl ProcessLinks {
    /// Creates the links of the node `node_name`, none of which is open yet. `enabled` is whether any can be opened.
    pub fn new(node_name: &str, enabled: bool) -> ProcessLinks {
        ProcessLinks {
            node_name: node_name.to_owned(),
            enabled,
            started_at: Instant::now(),
            group: RefCell::new(ProcessGroup::new(node_name)),
            senders: RefCell::default(),
            has_successor: watch::channel(false).0,
            rebind: Notify::new(),
        }
    }

    /// Name of the node, the same for all its processes.
    pub fn node_name(&self) -> &str {
        &self.node_name
    }

    /// Whether this process can have links to others.
    pub fn enabled(&self) -> bool {
        self.enabled
    }

    /// Watches whether a child accepts clients.
    pub fn watch_successor(&self) -> watch::Receiver<bool> {
        self.has_successor.subscribe()
    }

    /// This process's share of a limit of the node: half of it while another process serves the node too, else all of
    /// it.
    pub fn share_of(&self, limit: usize) -> usize {
        if self.group.borrow().has_live_link() {
            limit / 2
        } else {
            limit
        }
    }

    /// Announces the start or end of an attempt to the other processes.
    pub fn send_to_siblings(&self, message: SiblingMessage) {
        self.broadcast(&Message::Sibling(message), None);
    }

    /// Forwards a peer's datagram to the parent processes, which no longer receive datagrams themselves.
    pub fn forward_peer_message(&self, from: NodeId, bytes: &[u8]) {
        if self.group.borrow().has_live_link() {
            let bytes = bytes.to_vec();
            self.broadcast(&Message::Peer { from, bytes }, None);
        }
    }

    /// Sends a message on each link that it is meant for, except on `from`, the link that it was received on.
    pub fn broadcast(&self, message: &Message, from: Option<LinkId>) {
        let recipients = self.group.borrow().recipients(message, from);
        if recipients.is_empty() {
            return;
        }
        let line: Rc<str> = encode(message).into();
        recipients
            .into_iter()
            .for_each(|id| self.send_line(id, Rc::clone(&line)));
    }

    /// Sends a message on one link.
    pub fn send(&self, id: LinkId, message: &Message) {
        self.send_line(id, encode(message).into());
    }

    fn send_line(&self, id: LinkId, line: Rc<str>) {
        let send_failed = self
            .senders
            .borrow()
            .get(&id)
            .is_some_and(|sender| sender.try_send(line).is_err());
        if send_failed {
            // Dropping the sender ends the link's writer task and with it the writing half of the connection. The other
            // process closes the link then, which this process's reader notices.
            self.senders.borrow_mut().remove(&id);
        }
    }

    /// Opens a link. Returns `None` if the process has the maximum number of links.
    pub fn open(&self, role: Role) -> Option<(LinkId, Vec<LinkAction>)> {
        self.group.borrow_mut().add_link(self.now(), role)
    }

    /// Creates the queue of lines to be written on a link, and returns its receiving end.
    pub fn create_line_queue(&self, id: LinkId) -> mpsc::Receiver<Rc<str>> {
        let (sender, lines) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.senders.borrow_mut().insert(id, sender);
        lines
    }

    /// Closes the queue of lines to be written on a link.
    pub fn stop_sending(&self, id: LinkId) {
        self.senders.borrow_mut().remove(&id);
    }

    /// When the other side of a link must have sent its next message; `None` if there is no deadline.
    pub fn deadline(&self, id: LinkId) -> Option<Instant> {
        let deadline = self.group.borrow().deadline(id);
        deadline.map(|elapsed| self.started_at + elapsed)
    }

    /// Handles a line received on a link.
    pub fn on_line(&self, id: LinkId, line: &[u8]) -> Vec<LinkAction> {
        self.update_link(id, |link, out| link.on_message(decode(line), out))
    }

    /// Handles the end of a link's connection.
    pub fn on_disconnect(&self, id: LinkId) -> Vec<LinkAction> {
        self.update_link(id, Link::on_disconnect)
    }

    /// Handles the passing of a link's deadline; `now` is the time reached.
    pub fn on_deadline(&self, id: LinkId, now: Instant) -> Vec<LinkAction> {
        let elapsed = now.duration_since(self.started_at);
        self.update_link(id, |link, out| link.tick(elapsed, out))
    }

    fn update_link(
        &self,
        id: LinkId,
        update: impl FnOnce(&mut Link, &mut Vec<LinkAction>),
    ) -> Vec<LinkAction> {
        self.group.borrow_mut().update_link(id, update)
    }

    /// Whether the process at the other end of a link counts as one node with this one.
    pub fn is_live(&self, id: LinkId) -> bool {
        self.group.borrow().is_live(id)
    }

    /// Requests that the rendezvous be bound again, if this process has no other child.
    pub fn rebind_if_no_child(&self) {
        if self.group.borrow().has_no_child() {
            self.rebind.notify_one();
        }
    }

    /// Waits until the rendezvous has to be bound again.
    pub async fn rebind_requested(&self) {
        self.rebind.notified().await;
    }

    /// Which other processes serve the node now.
    pub fn siblings(&self) -> Siblings {
        let group = self.group.borrow();
        Siblings {
            shared: group.has_live_link(),
            has_successor: group.has_serving_child(),
        }
    }

    /// Publishes whether a child accepts clients, see [`ProcessLinks::watch_successor`].
    pub fn publish_successor(&self, has_successor: bool) {
        self.has_successor.send_replace(has_successor);
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}
