//! Follows the endpoint list in etcd.

use crate::config::List;
use crate::node::Node;
use saffronpaddle_endpoints::{EmptyListRules, EndpointRecord, EndpointUpdate, Source};
use saffronpaddle_etcd::client::MAX_QUEUED_EVENTS;
use saffronpaddle_etcd::{ClientEvent, Settings, Timing};
use saffronpaddle_operator_config::Etcd;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::{error, info, warn};

/// A change that waits longer than this between socket and policy is logged. The wait counts towards the 250 ms in
/// which a drain must take effect.
const SLOW_APPLY_THRESHOLD: Duration = Duration::from_millis(50);

/// Applies the configuration's list as a snapshot of etcd.
pub fn apply_configured_list(node: &Rc<Node>, known: &List) {
    let entries = known.hosts.iter().map(EndpointRecord::from).collect();
    node.on_endpoint_update(
        Source::Etcd,
        EndpointUpdate {
            endpoints: entries,
            received_at: Duration::ZERO,
            snapshot: true,
        },
    );
}

/// Builds the client's settings from the operator's file; reads the password and the certificate files it names.
fn settings(etcd: &Etcd) -> io::Result<Settings> {
    let user = match &etcd.user {
        Some(user) => Some((
            user.name.clone(),
            std::fs::read_to_string(&user.password_file)?
                .trim_end_matches(['\r', '\n'])
                .to_owned(),
        )),
        None => None,
    };
    #[cfg(feature = "tls")]
    let tls = match &etcd.tls {
        Some(tls) => Some((std::fs::read(&tls.ca_file)?, tls.server_name.clone())),
        None => None,
    };
    #[cfg(not(feature = "tls"))]
    if etcd.tls.is_some() {
        return Err(io::Error::other(
            "TLS is configured, but this binary was built without the `tls` feature",
        ));
    }
    Ok(Settings {
        endpoints: etcd.endpoints.clone(),
        prefix: etcd.prefix.clone(),
        user,
        timing: Timing {
            answer_within: etcd.answer_within,
            probe_every: etcd.probe_every,
            silent_after: etcd.silent_after,
            backoff: (Timing::default().backoff.0, etcd.max_backoff),
        },
        rules: EmptyListRules {
            empty_after: etcd.empty_after,
        },
        #[cfg(feature = "tls")]
        tls,
    })
}

/// Follows etcd; returns only on a fatal error. A separate thread reads and decodes, so that ten thousand changes do
/// not delay requests. The changes are applied here, all queued ones in one batch.
pub async fn follow(node: Rc<Node>, etcd: Etcd) {
    let settings = match settings(&etcd) {
        Ok(settings) => settings,
        Err(error) => {
            return error!(%error, "etcd: cannot read the settings; the list in etcd is not followed")
        }
    };
    let (update_sender, mut updates) = mpsc::channel(MAX_QUEUED_EVENTS);
    let thread = std::thread::Builder::new()
        .name("etcd".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            match runtime {
                // Spawned as a task, because a task woken by a message runs in the same iteration of the event loop.
                // The future passed to `block_on` would wait for another poll of all descriptors.
                Ok(runtime) => runtime.block_on(async {
                    // Ends when the node drops the receiver.
                    let _ = tokio::spawn(saffronpaddle_etcd::follow(settings, update_sender)).await;
                }),
                Err(error) => {
                    error!(%error, "etcd: cannot build a runtime; the list in etcd is not followed");
                }
            }
        });
    if let Err(error) = thread {
        return error!(%error, "etcd: cannot start a thread; the list in etcd is not followed");
    }
    let mut batch = Vec::new();
    while updates.recv_many(&mut batch, MAX_QUEUED_EVENTS).await > 0 {
        let mut changes = Changes::default();
        for update in batch.drain(..) {
            match update {
                ClientEvent::Changed { change, read_at } => changes.add(&node, change, read_at),
                ClientEvent::Alive => node.record_list_contact(),
                ClientEvent::Log(line) => info!("{line}"),
            }
        }
        changes.flush(&node);
        // Lets other tasks run between two batches. Without queued changes the next `recv_many` does so.
        if !updates.is_empty() {
            tokio::task::yield_now().await;
        }
    }
}

/// A batch of changes: the latest one of each host.
#[derive(Default)]
struct Changes {
    entries: BTreeMap<Arc<str>, EndpointRecord>,
    /// When the first change of the batch was read; `None` if the batch is empty.
    first_read_at: Option<Instant>,
}

impl Changes {
    /// Adds a change that was read at `read_at`. A snapshot is applied immediately, after the changes before it.
    fn add(&mut self, node: &Rc<Node>, change: EndpointUpdate, read_at: Instant) {
        node.record_list_contact();
        self.first_read_at.get_or_insert(read_at);
        if change.snapshot {
            self.flush(node);
            node.on_endpoint_update(Source::Etcd, change);
            return;
        }
        self.entries.extend(
            change
                .endpoints
                .into_iter()
                .map(|entry| (Arc::clone(&entry.host), entry)),
        );
    }

    /// Applies the batch and clears it.
    fn flush(&mut self, node: &Rc<Node>) {
        let Some(first_read_at) = self.first_read_at.take() else {
            return;
        };
        let waited = first_read_at.elapsed();
        if waited > SLOW_APPLY_THRESHOLD {
            warn!(
                "etcd: a change waited {} ms before it was applied (limit {} ms)",
                waited.as_millis(),
                SLOW_APPLY_THRESHOLD.as_millis()
            );
        }
        let entries: Vec<EndpointRecord> =
            std::mem::take(&mut self.entries).into_values().collect();
        if !entries.is_empty() {
            node.on_endpoint_update(
                Source::Etcd,
                EndpointUpdate {
                    endpoints: entries,
                    received_at: Duration::ZERO,
                    snapshot: false,
                },
            );
        }
    }
}
