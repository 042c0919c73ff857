//! What connections to app servers need of the node that owns them, so that they do not depend on it.

use crate::answer::Payload;
use crate::forward::Forward;
use saffronpaddle_exchange::{ConnectionId, Event};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The owner of connections to app servers.
pub trait UpstreamEvents {
    /// Something happened on a connection. A payload goes with the answer that the event completes.
    fn on_event(self: Rc<Self>, event: Event<SocketAddr>, payload: Option<Payload>);

    /// How long a server that gets this request now has to answer.
    fn time_left(&self, forward: &Forward) -> Duration;

    /// The request that is made ready on a connection.
    fn ready_request(&self, connection: ConnectionId) -> Option<Rc<Forward>>;

    /// Whether a change of the endpoint list has reached this machine and was not read yet.
    fn has_unread_endpoints(&self) -> bool;

    /// The client of a request has gone, and its connection has not reported that yet.
    fn client_gone(self: Rc<Self>, forward: &Rc<Forward>);
}

/// The number of the next owner in this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// The owners of this thread, by their numbers.
    static OWNERS: RefCell<HashMap<u64, Weak<dyn UpstreamEvents>>> = RefCell::default();
}

/// An owner's place among those of this thread, which it leaves when this is dropped. A stream that could go to another
/// thread, as an upgrade requires, cannot hold an `Rc` of its owner: it holds this number.
pub struct Registration {
    number: u64,
}

impl Registration {
    /// Registers an owner under a number that no other of this process has had.
    pub fn new(owner: Weak<dyn UpstreamEvents>) -> Registration {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        OWNERS.with_borrow_mut(|owners| owners.insert(number, owner));
        Registration { number }
    }

    /// The number for [`owner`].
    pub fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        // At the end of the thread the table may be gone already.
        let _ = OWNERS.try_with(|owners| owners.borrow_mut().remove(&self.number));
    }
}

/// The owner of a number, if it lives in this thread.
pub fn owner(number: u64) -> Option<Rc<dyn UpstreamEvents>> {
    OWNERS.with_borrow(|owners| owners.get(&number).and_then(Weak::upgrade))
}
