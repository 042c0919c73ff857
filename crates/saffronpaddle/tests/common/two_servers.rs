//! Two scripted servers behind one node, of which the second replaces the first.

use saffronpaddle_test_doubles::scripted::*;
use std::net::SocketAddr;

/// Starts two servers, and a node whose list holds only the first.
pub fn start_with_two_servers(tag: &str) -> (Servers, Discovery, Node, [SocketAddr; 2]) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dials = ["s-1", "s-2"].map(|name| servers.start(name, &[REPLY_OK]));
    let node = Node::start(
        tag,
        discovery.address,
        &[host_json("s-1", dials[0], 1, "ready")],
    );
    (servers, discovery, node, dials)
}

/// A list on which the first server is draining and the second is ready.
pub fn list_draining_first(seq: u64, whole: bool, dials: [SocketAddr; 2]) -> String {
    list_json(
        seq,
        whole,
        &[
            host_json("s-1", dials[0], 1, "draining"),
            host_json("s-2", dials[1], 1, "ready"),
        ],
    )
}
