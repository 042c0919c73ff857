//! Datagrams between edge nodes. They may be late, lost or forged: what they say is the policy's concern.

use crate::config::PeerAddresses;
use crate::error::NodeError;
use saffronpaddle_netio::{retry_interrupted, retry_shortage};
use saffronpaddle_policy::interface::NodeId;
use socket2::{Domain, Socket, Type};
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Most bytes of a datagram.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The other nodes of the fleet.
pub struct Peers {
    socket: UdpSocket,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    me: usize,
    /// Datagrams sent and received.
    message_counts: Cell<(u64, u64)>,
}

/// With `reuse` a successor may bind the same address; what comes goes to whoever bound it last (`socket(7)`).
fn bind_datagrams(listen: SocketAddr, reuse: bool) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, None)?;
    socket.set_reuse_address(reuse)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    UdpSocket::from_std(socket.into())
}

impl Peers {
    /// Binds the socket for datagrams.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(
        addresses: PeerAddresses,
        me: NodeId,
        reuse: bool,
    ) -> Result<Peers, NodeError> {
        let PeerAddresses { listen, each, all } = addresses;
        let bound = retry_shortage(|| async { bind_datagrams(listen, reuse) }).await;
        let socket = bound.map_err(|source| NodeError::Bind {
            setting: "peer_listen",
            address: listen,
            source,
        })?;
        Ok(Peers {
            socket,
            each,
            all,
            me: me.0 as usize,
            message_counts: Cell::default(),
        })
    }

    /// Sends a datagram to one node.
    pub fn send_to(&self, to: NodeId, bytes: &[u8]) {
        if let Some(address) = self.each.get(to.0 as usize) {
            self.send(bytes, *address);
        }
    }

    /// Sends a datagram to all other nodes.
    pub fn broadcast(&self, bytes: &[u8]) {
        if let Some(all) = self.all {
            return self.send(bytes, all);
        }
        let others = self
            .each
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != self.me);
        others.for_each(|(_, address)| self.send(bytes, *address));
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            let (sent, received) = self.message_counts.get();
            self.message_counts.set((sent + 1, received));
            // Datagrams may be lost.
            let _ = retry_interrupted(|| self.socket.try_send_to(bytes, to));
        }
    }

    /// The next datagram of a peer; `None` where it came from elsewhere, was too long, or the socket failed.
    pub async fn receive(&self) -> Option<(NodeId, Vec<u8>)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut buffer).await.ok()?;
        let sender = self.each.iter().position(|address| *address == from)?;
        let bytes = buffer
            .get(..length)
            .filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)?;
        let (sent, received) = self.message_counts.get();
        self.message_counts.set((sent, received + 1));
        Some((NodeId(sender as u32), bytes.to_vec()))
    }

    /// Datagrams sent and received so far; one to all counts as one.
    pub fn message_counts(&self) -> (u64, u64) {
        self.message_counts.get()
    }
}
