//! Follows the sources of the endpoint list: the platform's discovery, etcd, or both.

#[cfg(feature = "etcd")]
mod by_etcd;

use crate::config::List;
use crate::discovery;
use crate::node::Node;
use saffronpaddle_endpoints::PollLimits;
use saffronpaddle_operator_config::Etcd;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
#[cfg(not(feature = "etcd"))]
use tracing::warn;

/// Follows the sources that the operator's file names; never returns. `etcd`: `None` follows the platform's discovery
/// alone. `known`: the list of the configuration, which may be outdated.
pub async fn follow(
    node: Rc<Node>,
    etcd: Option<Etcd>,
    poll_limits: Option<PollLimits>,
    address: watch::Receiver<SocketAddr>,
    known: Option<List>,
) {
    let Some(etcd) = etcd else {
        return discovery::follow(node, address, known, poll_limits).await;
    };
    #[cfg(not(feature = "etcd"))]
    {
        let _ = etcd;
        warn!("etcd: configured, but this binary was built without the `etcd` feature; following the platform's discovery");
        discovery::follow(node, address, known, poll_limits).await;
    }
    #[cfg(feature = "etcd")]
    {
        if etcd.instead {
            // A single source needs no merging and no second copy of the list. The configuration's list applies until
            // etcd has sent one.
            let known = known.map(|known| List {
                whole: true,
                ..known
            });
            known
                .iter()
                .for_each(|known| by_etcd::apply_configured_list(&node, known));
            by_etcd::follow(node, etcd).await;
        } else {
            node.merge_endpoint_sources();
            tokio::join!(
                discovery::follow(Rc::clone(&node), address, known, poll_limits),
                by_etcd::follow(node, etcd)
            );
        }
    }
}
