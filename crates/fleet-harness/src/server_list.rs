//! The list of app servers as the harness changes it: the health of an entry, and the processes behind it.

use crate::scenario::{Scenario, SERVERS_PER_DEDUPLICATION_DOMAIN, SLOTS_PER_CORE};
use anyhow::{Context, Result};
use saffronpaddle_test_doubles::discovery::{Discovery, Entry};
use saffronpaddle_test_doubles::etcd::Etcd;
use saffronpaddle_test_doubles::servers::{AppServer, Spec};
use saffronpaddle_test_doubles::settings::Fleet;
use saffronpaddle_test_doubles::World;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Writes changes of the list of app servers to discovery and etcd.
#[derive(Clone)]
pub(crate) struct ServerList {
    pub world: Arc<World>,
    pub discovery: Arc<Discovery>,
    /// The etcd cluster, if the scenario uses one.
    pub etcd: Option<Etcd>,
    /// Number of instances.
    pub instances: usize,
}

/// Prefix of the servers' keys in etcd.
pub(crate) const KEY_PREFIX: &str = "/saffronpaddle/servers/";

impl ServerList {
    /// Writes a changed entry to discovery and, if the scenario uses it, to etcd.
    fn change(&self, entry: Entry) {
        if let Some(etcd) = &self.etcd {
            let key = format!("{KEY_PREFIX}{}", entry.host);
            // Every node counts as informed once the change is written, even if its etcd connection is down: of a ready
            // server before, of another one after.
            let ready = entry.health == "ready";
            if ready {
                self.record_health(&entry.host, ready);
            }
            match entry.health {
                "gone" => _ = etcd.delete(&key),
                _ => _ = etcd.put(&key, &entry.value()),
            }
            if !ready {
                self.record_health(&entry.host, ready);
            }
        }
        self.discovery.change(vec![entry]);
    }

    /// Records that all nodes are informed of a server's health.
    fn record_health(&self, host: &str, ready: bool) {
        let (now, mut oracle) = (self.world.now(), self.world.oracle());
        for node in 0..self.instances {
            oracle.health_delivered(now, node, host, ready);
        }
    }

    /// Changes the health of a server's entry, and its start time if `born_ms` is given.
    pub fn update(&self, server: &AppServer, health: &'static str, born_ms: Option<u64>) {
        if let Some(entry) = self.discovery.entry(server.name()) {
            let born_ms = born_ms.unwrap_or(entry.born_ms);
            self.change(Entry {
                health,
                born_ms,
                ..entry
            });
        }
    }

    /// Kills a server's process and lists it as gone; starts it again, cold, after `duration`.
    pub async fn crash(&self, server: &AppServer, duration: Duration) {
        server.kill();
        self.update(server, "gone", None);
        sleep(duration).await;
        self.start(server);
    }

    /// Lists a server whose process has just started. Where only discovery reports it, each node is informed with its next
    /// list; a change in etcd informs all nodes at once.
    fn list_start(&self, server: &AppServer) {
        let start = self.world.unix_ms();
        if self.etcd.is_none() {
            self.world
                .oracle()
                .cold_start_listed(server.name(), start, self.instances);
        }
        self.update(server, "ready", Some(start));
    }

    /// Starts a server's process cold and lists it as ready.
    pub fn start(&self, server: &AppServer) {
        match server.start_cold() {
            Ok(()) => self.list_start(server),
            Err(error) => eprintln!("app server {} could not be started: {error}", server.name()),
        }
    }
}

/// Returns the list as an outdated one: every second server gets the name of one that does not exist, and every third
/// gets another server's address.
pub(crate) fn stale_list(current: &str) -> Result<String> {
    let mut list: serde_json::Value = serde_json::from_str(current)?;
    let hosts = list["hosts"]
        .as_array_mut()
        .context("the list has no hosts")?;
    let addresses: Vec<_> = hosts.iter().map(|host| host["dial"].clone()).collect();
    for (index, host) in hosts.iter_mut().enumerate() {
        host["born_ms"] = 0.into();
        if index % 2 == 1 {
            host["host"] = format!("gone-{index}").into();
        }
        if index % 3 == 0 {
            host["dial"] = addresses[(index + 1) % addresses.len()].clone();
        }
    }
    list["seq"] = 0.into();
    Ok(list.to_string())
}

/// Starts the app servers of a scenario and lists them in discovery.
pub(crate) fn start_servers(
    scenario: &Scenario,
    fleet: &Fleet,
    world: &Arc<World>,
    discovery: &Discovery,
) -> Result<Vec<AppServer>> {
    let cores = scenario.cores_per_server(fleet);
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for number in 0..scenario.servers {
        let spec = Spec {
            name: format!("s-{number}"),
            block: (number / SERVERS_PER_DEDUPLICATION_DOMAIN) as u64,
            cores,
            slots: cores * SLOTS_PER_CORE,
            work: fleet
                .classes
                .iter()
                .map(|class| (class.name.to_owned(), class.work))
                .collect(),
        };
        let block = spec.block;
        let server = AppServer::start(Arc::clone(world), spec).context("starting an app server")?;
        let born_ms = if scenario.cold { world.unix_ms() } else { 0 };
        let absent = scenario.absent_servers.contains(&number);
        if absent {
            server.kill();
        } else if scenario.cold {
            world
                .oracle()
                .server_started_cold(world.now(), server.name(), server.capacity());
        }
        entries.push(Entry {
            host: server.name().to_owned(),
            dial: server.address(),
            site: fleet.sites[number % fleet.sites.len()].to_owned(),
            block,
            health: if absent { "gone" } else { "ready" },
            born_ms,
        });
        servers.push(server);
    }
    discovery.change(entries);
    discovery.set_delay(scenario.discovery_delay);
    Ok(servers)
}
