//! Settings of edge nodes as the platform writes them, for fleets among test doubles.

use crate::load::Customer;
use crate::oracle::{Bounds, Oracle};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name, the first segment of the path.
    pub name: &'static str,
    /// Whether requests carry an idempotency key; those without one are safe to repeat.
    pub keyed: bool,
    /// Share of all requests.
    pub share: f64,
    /// Mean work at a server.
    pub work: Duration,
    /// A response within this time has its full value.
    pub latency_target: Duration,
    /// Time for which clients wait for the response.
    pub deadline: Duration,
}

/// A plan of customers.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the plan.
    pub name: &'static str,
    /// Rate of the quota, in units per second.
    pub rate: f64,
    /// Depth of the quota, in units.
    pub burst: f64,
    /// Hard ceiling: rate in units per second, and depth in units.
    pub ceiling: Option<(f64, f64)>,
}

/// Settings that all nodes of a fleet share.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of nodes.
    pub nodes: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// Values of the platform's rules, by which the oracle judges a run.
    pub bounds: Bounds,
    /// Names of the zones.
    pub sites: Vec<&'static str>,
}

impl Fleet {
    /// Reads and keyed writes, and four plans of which one has a hard ceiling: similar to the platform's workload.
    pub fn typical(nodes: usize) -> Fleet {
        let ms = Duration::from_millis;
        let class = |name, keyed, share, work, latency_target, deadline| Class {
            name,
            keyed,
            share,
            work,
            latency_target,
            deadline,
        };
        let plan = |name, rate, burst, ceiling| Plan {
            name,
            rate,
            burst,
            ceiling,
        };
        let classes = vec![
            class("read", false, 0.62, ms(100), ms(800), ms(3000)),
            class("submit", true, 0.38, ms(60), ms(600), ms(2000)),
        ];
        let mean_work = mean_work(&classes);
        Fleet {
            nodes,
            classes,
            plans: vec![
                plan("small", 0.8, 4.0, None),
                plan("medium", 1.6, 7.0, None),
                plan("capped", 5.0, 10.0, Some((10.0, 20.0))),
                plan("large", 12.0, 24.0, None),
            ],
            bounds: Bounds {
                mean_work,
                ..Bounds::default()
            },
            sites: vec!["north", "south"],
        }
    }

    /// Mean seconds of work of a request.
    pub fn mean_work(&self) -> f64 {
        mean_work(&self.classes)
    }

    /// Sets the oracle's limits of a customer.
    pub fn register_limits(&self, oracle: &mut Oracle, customer: &Customer) {
        let plan = &self.plans[customer.plan];
        oracle.set_limits(customer.id, (plan.rate, plan.burst), plan.ceiling);
    }

    /// The settings of one node.
    pub fn settings(&self, node: usize) -> Value {
        let micros = |span: Duration| span.as_micros() as u64;
        let class = |class: &Class| {
            let repeat = if class.keyed {
                "idempotency_key"
            } else {
                "read_like"
            };
            json!({
                "name": class.name, "aimUs": micros(class.latency_target), "deadlineUs": micros(class.deadline),
                "lateValue": 0.1, "worth": if class.keyed { 2.0 } else { 3.0 }, "repeat": repeat,
                "group": "cell", "windowUs": micros(self.bounds.idempotency_window),
            })
        };
        let plan = |plan: &Plan| {
            let (rate, depth) = plan.ceiling.unwrap_or((0.0, 0.0));
            json!({
                "name": plan.name, "rate": plan.rate, "storeSize": plan.burst, "price": 1.0, "overWorth": 0.0,
                "overrunCost": 0.6, "capRate": rate, "neverOverDepth": depth,
            })
        };
        json!({
            "balancers": self.nodes, "me": node, "zone": self.sites[node % self.sites.len()], "zones": self.sites,
            "periodUs": 2000, "discovery": "automatic",
            "ceilings": {
                "cancel": true, "probes": false, "mayTell": true, "secondCopies": false, "sendCap": 6,
                "connIdleUs": 15_000_000, "connectTimeoutUs": 250_000,
            },
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "packages": self.plans.iter().map(plan).collect::<Vec<_>>(),
            "rules": {
                "coldFrom": self.bounds.cold_start_share, "coldUs": micros(self.bounds.slow_start_duration),
                "fallMultiple": self.bounds.overload_multiple, "overloadForUs": micros(self.bounds.overload_window),
            },
            "deductions": {"crossZone": 0.02},
            "extra": {"peerInPerS": 60.0, "maxUnits": 1},
        })
    }
}

fn mean_work(classes: &[Class]) -> f64 {
    classes
        .iter()
        .map(|class| class.share * class.work.as_secs_f64())
        .sum()
}

/// Addresses and resource limits of one node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the node.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of its discovery agent.
    pub discovery: SocketAddr,
    /// Address for datagrams.
    pub peer_listen: SocketAddr,
    /// Addresses of all nodes for datagrams, by number, its own among them.
    pub peers: Vec<SocketAddr>,
    /// Most descriptors that the node may open.
    pub sockets: usize,
    /// Memory limit, in MB.
    pub memory_mb: usize,
}

/// The configuration file of one node in the platform's format. `known` is a list in discovery's format.
pub fn configuration(
    node: &NodeConfig,
    settings: &Value,
    known: Option<&str>,
    seed: u64,
) -> String {
    let known: Option<Value> = known.and_then(|known| serde_json::from_str(known).ok());
    let peers: Vec<String> = node.peers.iter().map(SocketAddr::to_string).collect();
    let mut config = json!({
        "name": node.name, "listen": node.listen.to_string(), "discovery": node.discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": node.memory_mb, "sockets": node.sockets},
        "peer_listen": node.peer_listen.to_string(), "peers": peers, "settings": settings,
    });
    if let Some(known) = known {
        config["known"] = known;
    }
    config.to_string()
}
