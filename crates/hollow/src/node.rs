//! One hollow node: the exchange with the decision module inside, and what is kept beside them.

use saffronpaddle_exchange::{ConnectionId, Exchange, Limits};
use saffronpaddle_node::peers::Peers;
use saffronpaddle_policy::interface::{DiscoveryMode, Micros, NodeId, RequestId, Settings};
use saffronpaddle_policy::PolicyEngine;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::JoinHandle;

/// A try that has no final answer yet.
pub struct Try {
    /// When it was due.
    pub due: Micros,
    pub class: usize,
    /// What app servers have worked on it so far, µs.
    pub work: Micros,
}

/// One life of a node.
pub struct Node {
    /// Its place in its process.
    pub place: usize,
    pub me: NodeId,
    /// Which life of that place: what belongs to an earlier one is void.
    pub life: u32,
    pub discovery: DiscoveryMode,
    pub born: Micros,
    pub exchange: RefCell<Exchange<SocketAddr, PolicyEngine>>,
    /// None once this life is over: its address is the next life's.
    pub peers: RefCell<Option<Rc<Peers>>>,
    /// When the exchange is looked at next.
    pub alarm: Cell<Micros>,
    pub tries: RefCell<HashMap<RequestId, Try>>,
    /// The request that is on a connection.
    pub on: RefCell<HashMap<ConnectionId, RequestId>>,
    /// When its first list was acted on.
    pub listed: Cell<Option<Micros>>,
    pub tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Node {
    pub fn new(
        (place, life): (usize, u32),
        settings: Settings,
        bounds: Limits,
        peers: Peers,
        (seed, now): (u64, Micros),
    ) -> anyhow::Result<Rc<Node>> {
        let (me, discovery) = (settings.node, settings.discovery);
        let gateway = PolicyEngine::new(seed, settings, now)?;
        Ok(Rc::new(Node {
            place,
            me,
            life,
            discovery,
            born: now,
            exchange: RefCell::new(Exchange::new(bounds, gateway)),
            peers: RefCell::new(Some(Rc::new(peers))),
            alarm: Cell::new(Micros::MAX),
            tries: RefCell::default(),
            on: RefCell::default(),
            listed: Cell::new(None),
            tasks: RefCell::default(),
        }))
    }
}
