//! Receives the datagrams of other nodes.

use crate::node::Node;
use std::rc::Rc;

/// Hands what peers send to the node, for ever. Who sent it is known by its address alone; datagrams from elsewhere, or too
/// long, are passed over.
pub async fn run(node: Rc<Node>) {
    let Some(peers) = &node.peers else { return };
    loop {
        if let Some((from, bytes)) = peers.receive().await {
            // The machine gives datagrams to the process that bound last: without this the parent would hear no peer any more.
            node.links.forward_peer_message(from, &bytes);
            node.on_peer_message(from, bytes);
        }
    }
}
