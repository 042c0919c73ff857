//! Receives the datagrams of other nodes.

use crate::node::Node;
use std::rc::Rc;

/// Passes the datagrams of peers to the node. Runs until it is dropped. A peer is identified by its source address
/// only; datagrams that are too long or from an unknown address are ignored.
pub async fn run(node: Rc<Node>) {
    let Some(peers) = &node.peers else { return };
    loop {
        if let Some((from, bytes)) = peers.receive().await {
            // The kernel delivers datagrams to the process that bound the address last. Without forwarding, a parent
            // would no longer receive messages of peers.
            node.links.forward_peer_message(from, &bytes);
            node.on_peer_message(from, bytes);
        }
    }
}
