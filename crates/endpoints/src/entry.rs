//! One app server on the roster, and how it is written under its key.

use serde::Deserialize;
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Most bytes of a key's last part. Guards memory, and names that no log could show.
pub const HOST_MOST: usize = 253;
/// Most bytes of a value. Guards memory against values that were meant for something else.
pub const VALUE_MOST: usize = 4096;

/// A server's standing, the more careful the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointStatus {
    /// Its process runs.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no more.
    Removed,
}

/// What the roster says of a server: the fields of discovery's entries.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its name, the same at every edge node. Shared with who keeps it: a first list of 40,000 holds no name twice.
    pub host: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub zone: Arc<str>,
    /// The group that drops repeats of a key.
    pub domain: u64,
    /// Its standing.
    pub status: EndpointStatus,
    /// Rough size against the others, above 0.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub started_at_ms: u64,
}

/// An entry as it is kept under its name. Danger: 40,000 names that are kept twice, each with its hall's.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CompactEndpoint {
    dial: SocketAddr,
    site: Arc<str>,
    block: u64,
    share: f64,
    born_ms: u64,
    standing: EndpointStatus,
}

impl CompactEndpoint {
    /// Keeps an entry, and its hall's name with those of the others.
    pub fn new(entry: &EndpointRecord, sites: &mut Sites) -> CompactEndpoint {
        let EndpointRecord {
            address: dial,
            domain: block,
            weight: share,
            started_at_ms: born_ms,
            status: standing,
            ..
        } = *entry;
        CompactEndpoint {
            dial,
            site: sites.shared(&entry.zone),
            block,
            share,
            born_ms,
            standing,
        }
    }

    /// The whole entry.
    pub fn entry(&self, host: &Arc<str>) -> EndpointRecord {
        let CompactEndpoint {
            dial,
            block,
            share,
            born_ms,
            standing,
            ..
        } = *self;
        let (host, site) = (Arc::clone(host), Arc::clone(&self.site));
        EndpointRecord {
            host,
            address: dial,
            zone: site,
            domain: block,
            status: standing,
            weight: share,
            started_at_ms: born_ms,
        }
    }

    /// Its standing.
    pub fn standing(&self) -> EndpointStatus {
        self.standing
    }

    /// When it last started.
    pub fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// The same at another standing.
    pub fn at(self, standing: EndpointStatus) -> CompactEndpoint {
        CompactEndpoint { standing, ..self }
    }

    /// It started then.
    pub fn begin(&mut self, born_ms: u64) {
        self.born_ms = born_ms;
    }
}

/// Names of halls, each kept once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sites(BTreeSet<Arc<str>>);

/// Names of halls beyond which those are forgotten that no server has any more. Guards memory.
const SITES_MOST: usize = 256;

impl Sites {
    fn shared(&mut self, site: &str) -> Arc<str> {
        if let Some(known) = self.0.get(site) {
            return Arc::clone(known);
        }
        if self.0.len() >= SITES_MOST {
            self.0.retain(|site| Arc::strong_count(site) > 1);
        }
        let site: Arc<str> = site.into();
        // One that finds no room is kept by its server alone.
        if self.0.len() < SITES_MOST {
            self.0.insert(Arc::clone(&site));
        }
        site
    }
}

#[derive(Deserialize)]
struct Value<'a> {
    #[serde(borrow)]
    host: Option<Cow<'a, str>>,
    dial: SocketAddr,
    #[serde(borrow)]
    site: Cow<'a, str>,
    #[serde(default)]
    block: u64,
    #[serde(default = "ready")]
    health: EndpointStatus,
    #[serde(default = "full")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn ready() -> EndpointStatus {
    EndpointStatus::Ready
}

fn full() -> f64 {
    1.0
}

/// The host that a key names: what follows the prefix, without another slash.
pub fn host<'a>(prefix: &str, key: &'a [u8]) -> Option<&'a str> {
    let host = std::str::from_utf8(key.strip_prefix(prefix.as_bytes())?).ok()?;
    let plain = !host.is_empty() && host.len() <= HOST_MOST && !host.contains('/');
    (plain && !host.chars().any(char::is_control)).then_some(host)
}

/// Reads a value: a JSON object with the fields of discovery's entries, of which `dial` and `site` must be there.
/// Fields that are unknown are passed over.
///
/// # Errors
/// Why it can't be read, in a line.
pub fn read(host: &str, value: &[u8]) -> Result<EndpointRecord, String> {
    if value.len() > VALUE_MOST {
        return Err(format!("{} bytes, more than {VALUE_MOST}", value.len()));
    }
    let value: Value = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if value.host.is_some_and(|other| other != host) {
        return Err("its host is not the one of its key".to_owned());
    }
    if !(value.share.is_finite() && value.share > 0.0) {
        return Err("its share is not above 0".to_owned());
    }
    let (dial, site, block) = (value.dial, Arc::from(&*value.site), value.block);
    let (standing, share, born_ms) = (value.health, value.share, value.born_ms);
    Ok(EndpointRecord {
        host: host.into(),
        address: dial,
        zone: site,
        domain: block,
        status: standing,
        weight: share,
        started_at_ms: born_ms,
    })
}
