//! The interface through which connections to app servers call the node that owns them, without depending on it.

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
    /// Handles an event of a connection. `payload` belongs to the answer that the event completes.
    fn on_event(self: Rc<Self>, event: Event<SocketAddr>, payload: Option<Payload>);

    /// How long a server that receives this request now has to answer.
    fn time_left(&self, forward: &Forward) -> Duration;

    /// The request that is prepared on a connection.
    fn prepared_request(&self, connection: ConnectionId) -> Option<Rc<Forward>>;

    /// Whether this machine has received a change of the endpoint list that the node has not read yet.
    fn has_unread_endpoints(&self) -> bool;

    /// Handles the disconnection of a request's client that the client's connection has not reported yet.
    fn on_client_disconnected(self: Rc<Self>, forward: &Rc<Forward>);
}

/// The number of the next owner registered in this process.
static NEXT_OWNER_NUMBER: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// The owners registered in this thread, by number.
    static OWNERS: RefCell<HashMap<u64, Weak<dyn UpstreamEvents>>> = RefCell::default();
}

/// Registers an owner in this thread until dropped. An upgrade requires a stream that is `Send`, which cannot hold an
/// `Rc` of its owner: it holds the registration's number instead.
pub struct Registration {
    number: u64,
}

impl Registration {
    /// Registers an owner under a number that is unique within this process.
    pub fn new(owner: Weak<dyn UpstreamEvents>) -> Registration {
        let number = NEXT_OWNER_NUMBER.fetch_add(1, Ordering::Relaxed);
        OWNERS.with_borrow_mut(|owners| owners.insert(number, owner));
        Registration { number }
    }

    /// The number to look the owner up with [`owner`].
    pub fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        // During thread exit the table may already be destroyed.
        let _ = OWNERS.try_with(|owners| owners.borrow_mut().remove(&self.number));
    }
}

/// Looks up the owner with this number; `None` if it is not registered in this thread or was dropped.
pub fn owner(number: u64) -> Option<Rc<dyn UpstreamEvents>> {
    OWNERS.with_borrow(|owners| owners.get(&number).and_then(Weak::upgrade))
}
