//! Status of the node's watches on the endpoint list, and whether the kernel holds a change that has not been read.

use saffronpaddle_netio::has_no_unread_bytes;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Weak as WeakArc};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The status of one address of the list service.
#[derive(Default)]
pub struct WatchStatus {
    /// Whether the address has sent a list.
    pub has_list: Cell<bool>,
    /// Notified when the address sends its first list.
    pub first_list: Notify,
    /// Whether a watch at the address is open.
    pub watch_open: Cell<bool>,
    /// The connection of the open watch.
    pub watch_connection: RefCell<WeakArc<TcpStream>>,
    /// Whether the follower has processed everything that was read from the watch's connection.
    pub all_consumed: Cell<bool>,
    /// Connections of calls that have not been answered yet.
    pub unanswered_calls: RefCell<Vec<WeakArc<TcpStream>>>,
    /// Whether discovery has moved to another address, so that no new call is made at this one.
    pub abandoned: Cell<bool>,
}

impl WatchStatus {
    /// Whether the service has sent bytes that the node has not read yet, on the watch or as the answer to a call.
    fn is_unread(&self) -> bool {
        let has_more = |stream: &WeakArc<TcpStream>| {
            stream
                .upgrade()
                .is_some_and(|stream| !has_no_unread_bytes(&stream))
        };
        (self.watch_open.get()
            && (!self.all_consumed.get() || has_more(&self.watch_connection.borrow())))
            || self.unanswered_calls.borrow().iter().any(has_more)
    }

    /// Records the connection of a call.
    pub fn record_call(&self, stream: &Arc<TcpStream>) {
        let mut unanswered_calls = self.unanswered_calls.borrow_mut();
        unanswered_calls.retain(|stream| stream.strong_count() > 0);
        unanswered_calls.push(Arc::downgrade(stream));
    }
}

/// The addresses of the list service that are followed: one, or two while discovery moves to another address.
#[derive(Default)]
pub struct WatchStatuses(RefCell<Vec<Weak<WatchStatus>>>);

impl WatchStatuses {
    /// Adds the status of an address. It is removed once the address is no longer followed.
    pub fn follow(&self, status: &Rc<WatchStatus>) {
        let mut statuses = self.0.borrow_mut();
        statuses.retain(|status| status.strong_count() > 0);
        statuses.push(Rc::downgrade(status));
    }

    /// Whether this machine has received a change of the list that the node has not read yet. After a delay the event
    /// loop may find a drain and a request at the same time, and could write the request to the draining server first.
    pub fn are_unread(&self) -> bool {
        self.0
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .any(|status| status.is_unread())
    }
}
