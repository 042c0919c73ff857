//! The endpoint list from etcd.

use crate::config::List;
use crate::node::Node;
use saffronpaddle_endpoints::{EndpointRecord, EndpointUpdate, Rules, Source};
use saffronpaddle_etcd::client::NEWS_MOST;
use saffronpaddle_etcd::{News, Settings, Timing};
use saffronpaddle_operator_config::Etcd;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::{error, info, warn};

/// A change that waited longer between socket and policy is logged: it is time off the 250 ms of a drain.
const LATE: Duration = Duration::from_millis(50);

/// Applies the configuration's list as if etcd had sent it.
pub fn begin_with(node: &Rc<Node>, known: &List) {
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
        return Err(io::Error::other("this program was built without TLS"));
    }
    Ok(Settings {
        endpoints: etcd.endpoints.clone(),
        prefix: etcd.prefix.clone(),
        user,
        timing: Timing {
            answer_within: etcd.answer_within,
            probe_every: etcd.probe_every,
            silent_after: etcd.silent_after,
            backoff: (Timing::default().backoff.0, etcd.backoff_most),
        },
        rules: Rules {
            empty_after: etcd.empty_after,
        },
        #[cfg(feature = "tls")]
        tls,
    })
}

/// Follows etcd for ever. A thread of its own reads and decodes, so that ten thousand changes hold up no request;
/// here they are applied, all that are queued at once.
pub async fn follow(node: Rc<Node>, etcd: Etcd) {
    let settings = match settings(&etcd) {
        Ok(settings) => settings,
        Err(error) => return error!(%error, "etcd: not followed"),
    };
    let (tell, mut news) = mpsc::channel(NEWS_MOST);
    let thread = std::thread::Builder::new()
        .name("etcd".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            match runtime {
                // As a task: what a message wakes then runs in the same round, where a future that is blocked on
                // would wait for one more poll of all descriptors.
                Ok(runtime) => runtime.block_on(async {
                    // It ends when the node does.
                    let _ = tokio::spawn(saffronpaddle_etcd::follow(settings, tell)).await;
                }),
                Err(error) => error!(%error, "etcd: not followed"),
            }
        });
    if let Err(error) = thread {
        return error!(%error, "etcd: not followed");
    }
    let mut waiting = Vec::new();
    while news.recv_many(&mut waiting, NEWS_MOST).await > 0 {
        let mut changes = Changes::default();
        for news in waiting.drain(..) {
            match news {
                News::Changed { change, read } => changes.take(&node, change, read),
                News::Alive => node.record_list_contact(),
                News::Log(line) => info!("{line}"),
            }
        }
        changes.flush(&node);
        // Other tasks run between two batches. Where nothing is queued they run anyway.
        if !news.is_empty() {
            tokio::task::yield_now().await;
        }
    }
}

/// Changes that are queued: the last one of each host.
#[derive(Default)]
struct Changes {
    entries: BTreeMap<Arc<str>, EndpointRecord>,
    first: Option<Instant>,
}

impl Changes {
    fn take(&mut self, node: &Rc<Node>, change: EndpointUpdate, read: Instant) {
        node.record_list_contact();
        self.first.get_or_insert(read);
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

    fn flush(&mut self, node: &Rc<Node>) {
        let Some(first) = self.first.take() else {
            return;
        };
        let waited = first.elapsed();
        if waited > LATE {
            warn!(
                "etcd: a change waited {} ms for its turn",
                waited.as_millis()
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
