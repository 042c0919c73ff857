//! The network between edge nodes: datagrams pass through relays that may lose, delay or cut them off.
//!
//! Each node sees each other one under an address of its own, which is also where that one's datagrams come from.

use crate::lock;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Most bytes of a datagram, as the platform has it.
const MOST: usize = 256;

/// What befalls datagrams.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share that is lost.
    pub loss: f64,
    /// Shortest and longest way.
    pub delay: (Duration, Duration),
    /// Nodes from and to which nothing comes.
    pub cut: BTreeSet<usize>,
}

/// The relays between all nodes.
#[derive(Debug)]
pub struct Network {
    /// Where each node receives.
    nodes: Vec<SocketAddr>,
    /// `relays[i][j]`: what node i takes for node j.
    relays: Vec<Vec<Arc<UdpSocket>>>,
    faults: Mutex<Faults>,
    sent: Vec<AtomicU64>,
    received: Vec<AtomicU64>,
    bytes: AtomicU64,
    too_long: AtomicU64,
}

impl Network {
    /// Relays between nodes that receive at these addresses.
    ///
    /// # Errors
    /// No ports could be had.
    pub async fn start(nodes: Vec<SocketAddr>) -> std::io::Result<Arc<Network>> {
        let mut relays = Vec::new();
        for _ in &nodes {
            let mut row = Vec::new();
            for _ in &nodes {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            relays.push(row);
        }
        let counters = || nodes.iter().map(|_| AtomicU64::new(0)).collect();
        let (sent, received) = (counters(), counters());
        let (faults, bytes, too_long) = (Mutex::default(), AtomicU64::new(0), AtomicU64::new(0));
        let network = Network { nodes, relays, faults, sent, received, bytes, too_long };
        let network = Arc::new(network);
        for from in 0..network.nodes.len() {
            for to in (0..network.nodes.len()).filter(|to| *to != from) {
                tokio::spawn(Arc::clone(&network).relay(from, to));
            }
        }
        Ok(network)
    }

    /// The addresses of all nodes as one of them has them in its configuration, its own among them.
    ///
    /// # Errors
    /// A socket has no address.
    pub fn peers_of(&self, node: usize) -> std::io::Result<Vec<SocketAddr>> {
        let address = |(other, relay): (usize, &Arc<UdpSocket>)| {
            if other == node {
                Ok(self.nodes[node])
            } else {
                relay.local_addr()
            }
        };
        self.relays[node].iter().enumerate().map(address).collect()
    }

    /// Changes what befalls datagrams from now on.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
    }

    /// Datagrams that a node has sent, and those that were delivered to it.
    pub fn counts(&self, node: usize) -> (u64, u64) {
        (self.sent[node].load(Ordering::Relaxed), self.received[node].load(Ordering::Relaxed))
    }

    /// Bytes of all datagrams that were sent.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Datagrams that were longer than the platform allows.
    pub fn too_long(&self) -> u64 {
        self.too_long.load(Ordering::Relaxed)
    }

    async fn relay(self: Arc<Self>, from: usize, to: usize) {
        let (near, far) = (Arc::clone(&self.relays[from][to]), Arc::clone(&self.relays[to][from]));
        let mut buffer = [0; MOST + 1];
        loop {
            let Ok((length, sender)) = near.recv_from(&mut buffer).await else { continue };
            // Only the node itself uses its relay.
            if sender != self.nodes[from] {
                continue;
            }
            self.sent[from].fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(length as u64, Ordering::Relaxed);
            if length > MOST {
                self.too_long.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let (lost, delay) = {
                let faults = lock(&self.faults);
                let cut = faults.cut.contains(&from) || faults.cut.contains(&to);
                let (shortest, longest) = faults.delay;
                let delay = shortest + longest.saturating_sub(shortest).mul_f64(fastrand::f64());
                (cut || fastrand::f64() < faults.loss, delay)
            };
            if lost {
                continue;
            }
            let (network, far, bytes) = (Arc::clone(&self), Arc::clone(&far), buffer[..length].to_vec());
            let deliver = async move {
                if far.send_to(&bytes, network.nodes[to]).await.is_ok() {
                    network.received[to].fetch_add(1, Ordering::Relaxed);
                }
            };
            if delay.is_zero() {
                deliver.await;
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    deliver.await;
                });
            }
        }
    }
}
