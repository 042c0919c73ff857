//! The endpoint list: changes of all sources on their way to the exchange and to the web sockets.

use super::Node;
use crate::config::{Health, Host, List};
use crate::endpoints::server_entry;
use saffronpaddle_endpoints::{EndpointRecord, EndpointUpdate, Source};
use saffronpaddle_exchange::Event;
use saffronpaddle_policy::interface::{Endpoint, EndpointStatus};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The endpoint list as discovery last sent it.
#[derive(Default)]
pub(super) struct RecordedList {
    version: u64,
    hosts: BTreeMap<String, Host>,
}

impl Node {
    /// Records a list of discovery for a child of this process, where there can be one.
    pub fn record_list(&self, list: &List) {
        if !self.links.enabled() {
            return;
        }
        let RecordedList { version, hosts } = &mut *self.recorded_list.borrow_mut();
        *version = list.seq;
        if list.whole {
            hosts.clear();
        }
        for host in &list.hosts {
            if host.health == Health::Gone {
                hosts.remove(&host.host);
            } else {
                hosts.insert(host.host.clone(), host.clone());
            }
        }
    }

    /// What discovery has sent so far, as one list; `None` if it has sent nothing.
    pub fn last_list(&self) -> Option<List> {
        let recorded = self.recorded_list.borrow();
        let hosts: Vec<Host> = recorded.hosts.values().cloned().collect();
        (!hosts.is_empty()).then_some(List {
            seq: recorded.version,
            whole: true,
            hosts,
        })
    }

    /// Applies a list of the platform's discovery.
    pub fn on_discovery_list(self: &Rc<Self>, list: &List) {
        let entries = list.hosts.iter().map(EndpointRecord::from).collect();
        self.on_endpoint_update(
            Source::Discovery,
            EndpointUpdate {
                endpoints: entries,
                received_at: Duration::ZERO,
                snapshot: list.whole,
            },
        );
    }

    /// Applies an update of a source. Where there are several sources, they are merged.
    pub fn on_endpoint_update(self: &Rc<Self>, source: Source, change: EndpointUpdate) {
        let change = match &mut *self.merge.borrow_mut() {
            Some(merge) => merge.take(source, change),
            None => change,
        };
        if !change.endpoints.is_empty() || change.snapshot {
            self.apply_endpoints(&change.endpoints, change.snapshot);
        }
    }

    fn apply_endpoints(self: &Rc<Self>, list: &[EndpointRecord], snapshot: bool) {
        let entries = list
            .iter()
            .map(|entry| server_entry(entry, &self.platform.zones));
        let entries: Vec<(Endpoint, SocketAddr)> = entries.collect();
        if let Some(websockets) = &self.websockets {
            let servers = entries
                .iter()
                .map(|(entry, dial)| (entry.server, entry.status == EndpointStatus::Ready, *dial));
            websockets.on_endpoints(snapshot, servers);
        }
        self.handle(
            Event::EndpointsChanged {
                snapshot,
                endpoints: entries,
            },
            None,
        );
    }

    /// Several sources are followed: from now on they are merged.
    #[cfg(feature = "etcd")]
    pub fn merge_endpoint_sources(&self) {
        self.merge
            .borrow_mut()
            .get_or_insert_with(saffronpaddle_endpoints::Merge::new);
    }
}
