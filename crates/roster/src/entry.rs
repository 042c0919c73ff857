//! One app server on the roster, and how it is written under its key.

use serde::Deserialize;
use std::net::SocketAddr;

/// Most bytes of a key's last part. Guards memory, and names that no log could show.
pub const HOST_MOST: usize = 253;
/// Most bytes of a value. Guards memory against values that were meant for something else.
pub const VALUE_MOST: usize = 4096;

/// A server's standing, the more careful the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Its process runs.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no more.
    Gone,
}

/// What the roster says of a server: the fields of discovery's entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name, the same at every edge node.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its hall.
    pub site: String,
    /// The group that drops repeats of a key.
    pub block: u64,
    /// Its standing.
    pub standing: Standing,
    /// Rough size against the others, above 0.
    pub share: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub born_ms: u64,
}

#[derive(Deserialize)]
struct Value {
    host: Option<String>,
    dial: SocketAddr,
    site: String,
    #[serde(default)]
    block: u64,
    #[serde(default = "ready")]
    health: Standing,
    #[serde(default = "full")]
    share: f64,
    #[serde(default)]
    born_ms: u64,
}

fn ready() -> Standing {
    Standing::Ready
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
pub fn read(host: &str, value: &[u8]) -> Result<Entry, String> {
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
    let (dial, site, block) = (value.dial, value.site, value.block);
    let (standing, share, born_ms) = (value.health, value.share, value.born_ms);
    Ok(Entry { host: host.to_owned(), dial, site, block, standing, share, born_ms })
}
