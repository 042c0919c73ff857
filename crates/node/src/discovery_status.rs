//! What the node knows of its watches on the endpoint list, and whether the kernel holds a change that was not read.

use saffronpaddle_netio::is_quiet;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Weak as WeakArc};
use tokio::net::TcpStream;
use tokio::sync::Notify;
/// What is known of one address of the list service.
#[derive(Default)]
pub struct WatchStatus {
    /// It has sent its first list.
    pub listed: Cell<bool>,
    /// Notified at its first list.
    pub first: Notify,
    /// A watch of it is open.
    pub open: Cell<bool>,
    /// The connection of that watch.
    pub watch: RefCell<WeakArc<TcpStream>>,
    /// Whether all that was read of that connection was taken.
    pub taken: Cell<bool>,
    /// Connections of calls that are not answered yet.
    pub calls: RefCell<Vec<WeakArc<TcpStream>>>,
    /// Discovery has moved: no new call is made at this address.
    pub abandoned: Cell<bool>,
}

impl WatchStatus {
    /// Whether something was sent that the node has not read yet: on the watch, or as the answer to a call.
    fn is_unread(&self) -> bool {
        let has_more =
            |stream: &WeakArc<TcpStream>| stream.upgrade().is_some_and(|stream| !is_quiet(&stream));
        (self.open.get() && (!self.taken.get() || has_more(&self.watch.borrow())))
            || self.calls.borrow().iter().any(has_more)
    }

    /// A call was made on this connection.
    pub fn record_call(&self, stream: &Arc<TcpStream>) {
        let mut calls = self.calls.borrow_mut();
        calls.retain(|stream| stream.strong_count() > 0);
        calls.push(Arc::downgrade(stream));
    }
}

/// The addresses of the list service that are followed now: one, or two while it moves.
#[derive(Default)]
pub struct WatchStatuses(RefCell<Vec<Weak<WatchStatus>>>);

impl WatchStatuses {
    /// Follows one more address.
    pub fn follow(&self, status: &Rc<WatchStatus>) {
        let mut statuses = self.0.borrow_mut();
        statuses.retain(|status| status.strong_count() > 0);
        statuses.push(Rc::downgrade(status));
    }

    /// Whether a change of the list has reached this machine that the node has not read yet. A loop that was late may
    /// find a drain and a request at once, and would write the request to the draining server first.
    pub fn are_unread(&self) -> bool {
        self.0
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .any(|status| status.is_unread())
    }
}
