//! The network between edge nodes: datagrams pass through relays, one per node, to which faults apply.
//!
//! Each node reaches every other node at the address of that node's relay, from which that node's datagrams come as
//! well. A relay takes the datagrams sent to its node and identifies their sender by its address.

use crate::links::{End, Links};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Longest datagram that the platform allows, bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The relays between all nodes.
#[derive(Debug)]
pub struct Network {
    /// Receiving address of each node.
    nodes: Vec<SocketAddr>,
    /// Number of each node by its receiving address.
    numbers: HashMap<SocketAddr, usize>,
    /// Address of each node as the other nodes see it.
    relays: Vec<Arc<UdpSocket>>,
    links: Arc<Links>,
    /// Datagrams that each node sent.
    sent: Vec<AtomicU64>,
    /// Datagrams that were delivered to each node.
    received: Vec<AtomicU64>,
    /// Bytes of all datagrams sent.
    bytes: AtomicU64,
    oversized_datagrams: AtomicU64,
    unknown_sender_count: AtomicU64,
}

impl Network {
    /// Starts relays between nodes that receive at these addresses.
    ///
    /// # Errors
    /// No addresses are available.
    pub async fn start(nodes: Vec<SocketAddr>, links: Arc<Links>) -> std::io::Result<Arc<Network>> {
        let mut relays = Vec::new();
        for _ in &nodes {
            relays.push(Arc::new(
                UdpSocket::bind(crate::ports::reserve_address()?).await?,
            ));
        }
        let counters = || nodes.iter().map(|_| AtomicU64::new(0)).collect();
        let (sent, received) = (counters(), counters());
        let numbers = nodes
            .iter()
            .enumerate()
            .map(|(number, address)| (*address, number))
            .collect();
        let (bytes, oversized_datagrams, unknown_sender_count) = Default::default();
        let network = Network {
            nodes,
            numbers,
            relays,
            links,
            sent,
            received,
            bytes,
            oversized_datagrams,
            unknown_sender_count,
        };
        let network = Arc::new(network);
        for to in 0..network.nodes.len() {
            tokio::spawn(Arc::clone(&network).relay(to));
        }
        Ok(network)
    }

    /// The addresses of all nodes as the configuration of one node lists them, its own among them.
    ///
    /// # Errors
    /// A socket has no address.
    pub fn peers_of(&self, node: usize) -> std::io::Result<Vec<SocketAddr>> {
        let address = |(other, relay): (usize, &Arc<UdpSocket>)| match other {
            other if other == node => Ok(self.nodes[node]),
            _ => relay.local_addr(),
        };
        self.relays.iter().enumerate().map(address).collect()
    }

    /// Number of datagrams that a node sent, and number of those delivered to it.
    pub fn counts(&self, node: usize) -> (u64, u64) {
        (
            self.sent[node].load(Ordering::Relaxed),
            self.received[node].load(Ordering::Relaxed),
        )
    }

    /// Bytes of all datagrams sent.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Datagrams that were longer than the platform allows.
    pub fn oversized_datagrams(&self) -> u64 {
        self.oversized_datagrams.load(Ordering::Relaxed)
    }

    /// Datagrams whose sender is no node of this run.
    pub fn from_unknown_senders(&self) -> u64 {
        self.unknown_sender_count.load(Ordering::Relaxed)
    }

    /// Receives the datagrams for a node and delivers them with the faults of their links; never returns.
    async fn relay(self: Arc<Self>, to: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, sender)) = self.relays[to].recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.numbers.get(&sender).copied() else {
                self.unknown_sender_count.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            self.sent[from].fetch_add(1, Ordering::Relaxed);
            self.bytes.fetch_add(length as u64, Ordering::Relaxed);
            if length > MAX_DATAGRAM_BYTES {
                self.oversized_datagrams.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let fault = self.links.fault_between(End::Node(from), End::Node(to));
            let copies = 1 + usize::from(fastrand::f64() < fault.duplicated);
            for _ in 0..copies {
                if fault.drops_datagram() {
                    continue;
                }
                let (network, bytes, delay) = (
                    Arc::clone(&self),
                    buffer[..length].to_vec(),
                    fault.draw_delay(),
                );
                let deliver = async move {
                    // Sent from the relay of the sender, by whose address the receiver identifies it.
                    if network.relays[from]
                        .send_to(&bytes, network.nodes[to])
                        .await
                        .is_ok()
                    {
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
}
