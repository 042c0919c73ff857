//! A fleet of test nodes that exchange messages over a network with loss, delay, duplicates and reordering.

use super::settings::{settings, IDEMPOTENT};
use super::test_node::TestNode;
use saffronpaddle_policy::interface::*;
use std::collections::BTreeMap;

/// Interval between deliveries of messages, µs.
const STEP: Micros = 2 * MILLISECOND;
/// The customer whose requests [`Fleet::send_burst`] and [`Fleet::send_at_rate`] send.
const CUSTOMER: u64 = 7;
/// Seed of the random loss, delays and choice of nodes.
const SEED: u64 = 7;

/// A message in transit.
struct Datagram {
    arrives_at: Micros,
    /// Index of the receiving node.
    to: usize,
    event: Event,
}

/// Nodes that exchange messages over an unreliable network.
pub struct Fleet {
    pub nodes: Vec<TestNode>,
    /// Number of messages sent by all nodes.
    pub messages_sent: u64,
    /// Number of messages received, by the index of the node.
    pub messages_received: BTreeMap<usize, u64>,
    random: fastrand::Rng,
    in_transit: Vec<Datagram>,
    /// For each node, how many of its actions have been scanned for messages.
    actions_read: Vec<usize>,
}

impl Fleet {
    /// Creates a fleet of `node_count` nodes with `servers` servers; `change` is applied to the settings of each node.
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

    /// Replaces a node by one that has just started.
    pub fn replace_node(&mut self, index: usize, node: TestNode) {
        self.nodes[index] = node;
        self.actions_read[index] = 0;
    }

    /// Advances the time at all nodes by `span`, and delivers messages.
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

    /// Sends the new messages of a node with a random delay. Each message is put in transit with a probability of 18/20
    /// and, independently, a second time with a probability of 1/20, so that about a tenth is lost and a twentieth
    /// duplicated.
    pub fn send_messages(&mut self, from: usize) {
        let node = &self.nodes[from];
        for action in &node.actions[self.actions_read[from]..] {
            let Action::SendToPeer { to, bytes } = action else {
                continue;
            };
            self.messages_sent += 1;
            for probability_in_20ths in [18, 1] {
                if self.random.u8(0..20) < probability_in_20ths {
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

    /// Ends all attempts in flight at all nodes with a response, and returns their number.
    pub fn answer_all(&mut self) -> usize {
        self.nodes.iter_mut().map(TestNode::answer_all).sum()
    }

    /// Sends `requests` requests of one customer at once through random nodes, and advances the time by `seconds`.
    /// Returns how many were forwarded within the first half of that time.
    pub fn send_burst(&mut self, plan: usize, requests: usize, seconds: u64) -> usize {
        for _ in 0..requests {
            self.request_at_random_node(plan);
        }
        self.advance(seconds * SECOND / 2);
        let forwarded = self.answer_all();
        self.advance(seconds * SECOND / 2);
        forwarded
    }

    /// Sends requests of one customer through random nodes at a rate, and ends each attempt with a response. Returns
    /// how many requests were forwarded.
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
