//! What the node knows of its watches on the endpoint list, and whether the machine holds a change that was not read.

use saffronpaddle_netio::is_quiet;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Weak as WeakArc};
use tokio::net::TcpStream;
use tokio::sync::Notify;
/// How one address stands to the list.
#[derive(Default)]
pub struct WatchStatus {
    /// It has told its first list.
    pub listed: Cell<bool>,
    pub first: Notify,
    /// A watch of it is open.
    pub open: Cell<bool>,
    /// The connection of that watch, and whether all that was read of it has been taken.
    pub watch: RefCell<WeakArc<TcpStream>>,
    pub taken: Cell<bool>,
    /// Connections of calls that are not answered yet.
    pub calls: RefCell<Vec<WeakArc<TcpStream>>>,
    /// Discovery has moved: nothing new is asked of this one.
    pub abandoned: Cell<bool>,
}

impl WatchStatus {
    /// Whether something of it has come that the node has not taken yet: on its watch, or as the answer to a call.
    fn is_unread(&self) -> bool {
        let has_more =
            |stream: &WeakArc<TcpStream>| stream.upgrade().is_some_and(|stream| !is_quiet(&stream));
        (self.open.get() && (!self.taken.get() || has_more(&self.watch.borrow())))
            || self.calls.borrow().iter().any(has_more)
    }

    /// A call is out.
    pub fn record_call(&self, stream: &Arc<TcpStream>) {
        let mut calls = self.calls.borrow_mut();
        calls.retain(|stream| stream.strong_count() > 0);
        calls.push(Arc::downgrade(stream));
    }
}

/// The addresses of discovery that are followed now: one, or two while it moves.
#[derive(Default)]
pub struct WatchStatuses(RefCell<Vec<Weak<WatchStatus>>>);

impl WatchStatuses {
    /// Follows one more address.
    pub fn follow(&self, status: &Rc<WatchStatus>) {
        let mut statuses = self.0.borrow_mut();
        statuses.retain(|status| status.strong_count() > 0);
        statuses.push(Rc::downgrade(status));
    }

    /// Whether news of the list has come to this machine that the node has not taken yet. Danger: a loop that was late, which
    /// finds a drain and a request waiting for it and writes the request first.
    pub fn are_unread(&self) -> bool {
        self.0
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .any(|status| status.is_unread())
    }
}
