//! The node's metrics, as answered to the admin command `INFO` and as written to the log.

use super::Node;
use crate::peers::Peers;
use saffronpaddle_admin::{Metrics, PeerMessageCounts};
use saffronpaddle_exchange::Invariant;
use std::io::{self, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Node {
    /// The metrics in the text format of the admin command `INFO`.
    // `Metrics::exposition` as a path is not general over the lifetime of `Metrics`.
    #[allow(clippy::redundant_closure_for_method_calls)]
    pub fn metrics_text(&self) -> String {
        self.with_metrics(|metrics| metrics.exposition())
    }

    /// Writes the counters to the log at this interval until it is dropped; `None` writes none.
    pub async fn log_counts(self: Rc<Self>, interval: Option<Duration>) {
        let Some(interval) = interval else { return };
        let started_at = Instant::now();
        let node_number = self.platform.settings.node.0;
        loop {
            tokio::time::sleep(interval).await;
            let at_ms = started_at.elapsed().as_millis() as u64;
            let line = self.with_metrics(|metrics| metrics.log_line(node_number, at_ms));
            // Written at every log level, because `fleet counts` parses these lines. The node keeps running if standard
            // error cannot be written.
            let _ = writeln!(io::stderr(), "{line}");
        }
    }

    fn with_metrics(&self, write: impl FnOnce(&Metrics) -> String) -> String {
        let exchange = self.exchange.borrow();
        let (registry_entries, out_of_rotation) = exchange.policy().endpoint_counts();
        let (class_names, request_counters) = (&self.platform.classes, exchange.counters().clone());
        let mut policy_counters: Vec<(&'static str, u64)> =
            exchange.policy().counters().by_name().collect();
        policy_counters.extend(
            exchange
                .denials()
                .map(|(denial, count)| (denial.counter_name(), count)),
        );
        policy_counters.extend(self.memory.counters());
        let violations = exchange.violations();
        policy_counters.extend(
            Invariant::ALL.map(|invariant| (invariant.counter_name(), violations.count(invariant))),
        );
        let (sent, received) = self.peers.as_ref().map_or((0, 0), Peers::message_counts);
        write(&Metrics {
            class_names,
            request_counters,
            registry_entries,
            out_of_rotation,
            peer_messages: PeerMessageCounts { sent, received },
            policy_counters,
        })
    }
}
