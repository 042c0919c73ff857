//! Many nodes with lost, late, repeated and reordered messages between them.

use super::settings::{settings, IDEMPOTENT};
use super::test_node::TestNode;
use saffronpaddle_policy::interface::*;
use std::collections::BTreeMap;

/// Time between two deliveries of messages, µs.
const STEP: Micros = 2 * MILLISECOND;
/// The customer that [`Fleet::send_burst`] and [`Fleet::send_at_rate`] send for.
const CUSTOMER: u64 = 7;
/// Seed of the loss, the delays and the choice of nodes.
const SEED: u64 = 7;

/// A message under way.
struct Datagram {
    arrives_at: Micros,
    /// Index of the receiver.
    to: usize,
    event: Event,
}

/// Nodes that send each other messages over a lossy network.
pub struct Fleet {
    pub nodes: Vec<TestNode>,
    /// Messages that nodes have sent.
    pub messages_sent: u64,
    /// Messages that each node has received.
    pub messages_received: BTreeMap<usize, u64>,
    random: fastrand::Rng,
    in_transit: Vec<Datagram>,
    /// For each node, how many of its actions were looked at for messages.
    actions_read: Vec<usize>,
}

impl Fleet {
    /// A fleet of nodes whose settings are changed by `change`.
    pub fn new(node_count: u32, servers: u64, change: impl Fn(&mut Settings)) -> Self {
        let node = |index| {
            let mut settings = settings(index, node_count);
            change(&mut settings);
            TestNode::with_servers(u64::from(index), settings, SECOND, servers)
        };
        let nodes: Vec<_> = (0..node_count).map(node).collect();
        let actions_read = vec![0; nodes.len()];
        Fleet {
            nodes,
            messages_sent: 0,
            messages_received: BTreeMap::new(),
            random: fastrand::Rng::with_seed(SEED),
            in_transit: Vec::new(),
            actions_read,
        }
    }

    /// Puts a node that has just started in place of another.
    pub fn replace_node(&mut self, index: usize, node: TestNode) {
        self.nodes[index] = node;
        self.actions_read[index] = 0;
    }

    /// Lets time pass at all nodes, and delivers messages.
    pub fn advance(&mut self, span: Micros) {
        let end = self.nodes[0].now + span;
        while self.nodes[0].now < end {
            for index in 0..self.nodes.len() {
                self.nodes[index].advance(STEP);
                self.send_messages(index);
            }
            self.deliver_messages();
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.nodes[0].now;
        let (due, later): (Vec<_>, Vec<_>) = self
            .in_transit
            .drain(..)
            .partition(|datagram| datagram.arrives_at <= now);
        self.in_transit = later;
        for datagram in due {
            *self.messages_received.entry(datagram.to).or_default() += 1;
            self.nodes[datagram.to].handle(datagram.event);
            self.send_messages(datagram.to);
        }
    }

    /// Puts the new messages of a node on their way: a tenth is lost, and a twentieth arrives twice.
    pub fn send_messages(&mut self, from: usize) {
        let node = &self.nodes[from];
        for action in &node.actions[self.actions_read[from]..] {
            let Action::SendToPeer { to, bytes } = action else {
                continue;
            };
            self.messages_sent += 1;
            for chance_of_20 in [18, 1] {
                if self.random.u8(0..20) < chance_of_20 {
                    self.in_transit.push(Datagram {
                        arrives_at: node.now + self.random.u64(5..40) * MILLISECOND,
                        to: to.0 as usize,
                        event: Event::PeerMessage {
                            from: NodeId(from as u32),
                            bytes: bytes.clone(),
                        },
                    });
                }
            }
        }
        self.actions_read[from] = node.actions.len();
    }

    /// Answers all that is in flight at all nodes; how many attempts that were.
    pub fn answer_all(&mut self) -> usize {
        self.nodes.iter_mut().map(TestNode::answer_all).sum()
    }

    /// Sends requests of one customer at once through random nodes, and lets seconds pass; how many were forwarded.
    pub fn send_burst(&mut self, plan: usize, requests: usize, seconds: u64) -> usize {
        for _ in 0..requests {
            self.request_at_random_node(plan);
        }
        self.advance(seconds * SECOND / 2);
        let forwarded = self.answer_all();
        self.advance(seconds * SECOND / 2);
        forwarded
    }

    /// Sends requests of one customer through random nodes at a rate, and answers what is forwarded; how many that were.
    pub fn send_at_rate(&mut self, plan: usize, per_s: u64, seconds: u64) -> usize {
        let mut forwarded = 0;
        for _ in 0..seconds * per_s {
            self.request_at_random_node(plan);
            self.advance(SECOND / per_s);
            forwarded += self.answer_all();
        }
        forwarded
    }

    fn request_at_random_node(&mut self, plan: usize) {
        let index = self.random.usize(0..self.nodes.len());
        self.nodes[index].request(IDEMPOTENT, plan, CUSTOMER, 2 * SECOND);
        self.send_messages(index);
    }
}
