//! The endpoint list: merges the updates of all sources and passes them to the exchange and to the WebSocket proxy.

use super::Node;
use crate::config::{Health, Host, List};
use crate::endpoints::to_policy_endpoint;
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
    /// Records a list from discovery, from which a child process starts. Does nothing if this process cannot have a
    /// child.
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

    /// The recorded updates of discovery as one complete list; `None` if no server is recorded.
    pub fn last_list(&self) -> Option<List> {
        let recorded = self.recorded_list.borrow();
        let hosts: Vec<Host> = recorded.hosts.values().cloned().collect();
        (!hosts.is_empty()).then_some(List {
            seq: recorded.version,
            whole: true,
            hosts,
        })
    }

    /// Applies a list from the platform's discovery service.
    pub fn on_discovery_list(self: &Rc<Self>, list: &List) {
        let endpoints = list.hosts.iter().map(EndpointRecord::from).collect();
        self.on_endpoint_update(
            Source::Discovery,
            EndpointUpdate {
                endpoints,
                received_at: Duration::ZERO,
                snapshot: list.whole,
            },
        );
    }

    /// Applies an update from a source. Updates from several sources are merged.
    pub fn on_endpoint_update(self: &Rc<Self>, source: Source, update: EndpointUpdate) {
        let update = match &mut *self.merge.borrow_mut() {
            Some(merge) => merge.apply(source, update),
            None => update,
        };
        if !update.endpoints.is_empty() || update.snapshot {
            self.apply_endpoints(&update.endpoints, update.snapshot);
        }
    }

    fn apply_endpoints(self: &Rc<Self>, records: &[EndpointRecord], snapshot: bool) {
        let endpoints = records
            .iter()
            .map(|record| to_policy_endpoint(record, &self.platform.zones));
        let endpoints: Vec<(Endpoint, SocketAddr)> = endpoints.collect();
        if let Some(websockets) = &self.websockets {
            let servers = endpoints.iter().map(|(endpoint, address)| {
                (
                    endpoint.server,
                    endpoint.status == EndpointStatus::Ready,
                    *address,
                )
            });
            websockets.on_endpoints(snapshot, servers);
        }
        self.handle(
            Event::EndpointsChanged {
                snapshot,
                endpoints,
            },
            None,
        );
    }

    /// Merges the updates of several sources from now on.
    #[cfg(feature = "etcd")]
    pub fn merge_endpoint_sources(&self) {
        self.merge
            .borrow_mut()
            .get_or_insert_with(saffronpaddle_endpoints::MergedList::new);
    }
}
