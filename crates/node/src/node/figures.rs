//! The node's figures: for staff who call `INFO`, and for the log.

use super::Node;
use crate::peers::Peers;
use saffronpaddle_admin::{Metrics, PeerMessageCounts};
use saffronpaddle_exchange::Invariant;
use std::io::{self, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Node {
    /// The figures as staff read them.
    #[allow(clippy::redundant_closure_for_method_calls)] // The method is not general over its lifetime.
    pub fn figures(&self) -> String {
        self.with_figures(|figures| figures.exposition())
    }

    /// Writes the figures to the log at this interval, for ever.
    pub async fn log_counts(self: Rc<Self>, every: Option<Duration>) {
        let Some(every) = every else { return };
        let started_at = Instant::now();
        let me = self.platform.settings.node.0;
        loop {
            tokio::time::sleep(every).await;
            let at_ms = started_at.elapsed().as_millis() as u64;
            let line = self.with_figures(|figures| figures.log_line(me, at_ms));
            // `fleet counts` reads these lines, at every level of the log: they are records, not events. A log that
            // cannot be written ends no node.
            let _ = writeln!(io::stderr(), "{line}");
        }
    }

    fn with_figures(&self, write: impl FnOnce(&Metrics) -> String) -> String {
        let exchange = self.exchange.borrow();
        let (registry_entries, out_of_rotation) = exchange.policy().endpoint_counts();
        let (names, tally) = (&self.platform.classes, exchange.counters().clone());
        let mut decided: Vec<(&'static str, u64)> =
            exchange.policy().counters().by_name().collect();
        decided.extend(
            exchange
                .denials()
                .map(|(denial, count)| (denial.figure(), count)),
        );
        let violations = exchange.violations();
        decided.extend(
            Invariant::ALL.map(|invariant| (invariant.figure(), violations.count(invariant))),
        );
        let (sent, received) = self.peers.as_ref().map_or((0, 0), Peers::message_counts);
        write(&Metrics {
            names,
            tally,
            registry_entries,
            out_of_rotation,
            peer_messages: PeerMessageCounts { sent, received },
            policy_counters: decided,
        })
    }
}
