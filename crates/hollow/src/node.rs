//! One hollow node: the exchange with its policy engine, and the state that the shard keeps for the node.

use saffronpaddle_exchange::{ConnectionId, Exchange, Limits};
use saffronpaddle_node::peers::Peers;
use saffronpaddle_policy::interface::{DiscoveryMode, Micros, NodeId, RequestId, Settings};
use saffronpaddle_policy::PolicyEngine;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::JoinHandle;

/// A request without a final answer.
pub struct PendingRequest {
    /// Scheduled arrival time, Unix time in µs.
    pub due_at: Micros,
    /// Index of its class in the settings.
    pub class: usize,
    /// Time that app servers have worked on it so far, µs.
    pub work: Micros,
}

/// One incarnation of a node.
pub struct Node {
    /// Index among the nodes of the process.
    pub index: usize,
    pub id: NodeId,
    /// Number of restarts of this index so far. Events of earlier incarnations are dropped.
    pub incarnation: u32,
    /// Whether an agent pushes the list to the node, or the node subscribes to it.
    pub discovery: DiscoveryMode,
    /// Unix time at which this incarnation started, µs.
    pub started_at: Micros,
    pub exchange: RefCell<Exchange<SocketAddr, PolicyEngine>>,
    /// `None` once the node has ended: the next incarnation binds the same address.
    pub peers: RefCell<Option<Rc<Peers>>>,
    /// Earliest Unix time for which a timer of the exchange is scheduled, µs; the maximum if none is.
    pub next_alarm: Cell<Micros>,
    /// Requests without a final answer.
    pub pending: RefCell<HashMap<RequestId, PendingRequest>>,
    /// The request on each connection.
    pub in_flight: RefCell<HashMap<ConnectionId, RequestId>>,
    /// Unix time at which the first list was applied, µs.
    pub first_list_at: Cell<Option<Micros>>,
    /// The tasks that receive datagrams and follow the list.
    pub tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Node {
    /// A node that starts now, without a list.
    ///
    /// # Errors
    /// The policy engine rejects the settings.
    pub fn new(
        (index, incarnation): (usize, u32),
        settings: Settings,
        limits: Limits,
        peers: Peers,
        (seed, now): (u64, Micros),
    ) -> anyhow::Result<Rc<Node>> {
        let (id, discovery) = (settings.node, settings.discovery);
        let policy = PolicyEngine::new(seed, settings, now)?;
        Ok(Rc::new(Node {
            index,
            id,
            incarnation,
            discovery,
            started_at: now,
            exchange: RefCell::new(Exchange::new(limits, policy)),
            peers: RefCell::new(Some(Rc::new(peers))),
            next_alarm: Cell::new(Micros::MAX),
            pending: RefCell::default(),
            in_flight: RefCell::default(),
            first_list_at: Cell::new(None),
            tasks: RefCell::default(),
        }))
    }
}
