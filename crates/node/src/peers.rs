//! Datagrams between edge nodes. They may be late, lost or forged; the policy validates their contents.

use crate::config::PeerAddresses;
use crate::error::NodeError;
use saffronpaddle_netio::{retry_interrupted, retry_shortage};
use saffronpaddle_policy::interface::NodeId;
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Longest payload of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The socket for messages to and from the other nodes of the fleet.
pub struct Peers {
    socket: UdpSocket,
    /// Addresses of all nodes, including this one, indexed by node number.
    node_addresses: Vec<SocketAddr>,
    broadcast_address: Option<SocketAddr>,
    /// This node's index in `node_addresses`.
    own_index: usize,
    /// Number of datagrams sent, and number received from peers.
    message_counts: Cell<(u64, u64)>,
}

/// Binds the socket. With `reuse_address` a successor can bind the same address, and the kernel delivers datagrams to
/// the process that bound it last (`socket(7)`).
fn bind_datagrams(listen: SocketAddr, reuse_address: bool) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, None)?;
    socket.set_reuse_address(reuse_address)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    UdpSocket::from_std(socket.into())
}

impl Peers {
    /// Binds the socket of the node `own_id`. With `reuse_address` a successor can bind the same address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(
        addresses: PeerAddresses,
        own_id: NodeId,
        reuse_address: bool,
    ) -> Result<Peers, NodeError> {
        let PeerAddresses { listen, each, all } = addresses;
        let bound = retry_shortage(|| async { bind_datagrams(listen, reuse_address) }).await;
        let socket = bound.map_err(|source| NodeError::Bind {
            setting: "peer_listen",
            address: listen,
            source,
        })?;
        Ok(Peers {
            socket,
            node_addresses: each,
            broadcast_address: all,
            own_index: own_id.0 as usize,
            message_counts: Cell::default(),
        })
    }

    /// Sends a datagram to one node. Drops it if it is too long or the socket cannot send.
    pub fn send_to(&self, to: NodeId, bytes: &[u8]) {
        if let Some(address) = self.node_addresses.get(to.0 as usize) {
            self.send(bytes, *address);
        }
    }

    /// Sends a datagram to all other nodes, by the broadcast address if there is one.
    pub fn broadcast(&self, bytes: &[u8]) {
        if let Some(address) = self.broadcast_address {
            return self.send(bytes, address);
        }
        let others = self
            .node_addresses
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != self.own_index);
        others.for_each(|(_, address)| self.send(bytes, *address));
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            let (sent, received) = self.message_counts.get();
            self.message_counts.set((sent + 1, received));
            // A failure to send is ignored, as datagrams may be lost anyway.
            let _ = retry_interrupted(|| self.socket.try_send_to(bytes, to));
        }
    }

    /// Receives the next datagram. Returns `None` if its source address is not a peer's, if it is too long, or if the
    /// socket fails.
    pub async fn receive(&self) -> Option<(NodeId, Vec<u8>)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut buffer).await.ok()?;
        let sender = self
            .node_addresses
            .iter()
            .position(|address| *address == from)?;
        let bytes = buffer
            .get(..length)
            .filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)?;
        let (sent, received) = self.message_counts.get();
        self.message_counts.set((sent, received + 1));
        Some((NodeId(sender as u32), bytes.to_vec()))
    }

    /// Numbers of datagrams sent and received so far. One to the broadcast address counts as one.
    pub fn message_counts(&self) -> (u64, u64) {
        self.message_counts.get()
    }
}
