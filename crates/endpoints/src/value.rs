//! The representation of a server in etcd: the key contains the host name, and the value is a JSON object with the
//! other fields.

use crate::record::{EndpointRecord, EndpointStatus};
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum length of a host name in bytes, so that every name fits into a log line.
pub const MAX_HOST_BYTES: usize = 253;
/// Maximum length of a value in bytes. It bounds memory if other applications write to the prefix.
pub const MAX_VALUE_BYTES: usize = 4096;
/// The weight of a server whose value contains none, relative to other servers.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Why the value of a server's key was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueError {
    /// The value is longer than [`MAX_VALUE_BYTES`].
    TooLong {
        /// The length of the value.
        bytes: usize,
    },
    /// The value is not a JSON object with the fields of a server.
    Malformed {
        /// The message of the JSON parser.
        message: String,
    },
    /// The host name in the value differs from that in the key.
    OtherHost,
    /// The weight (`share`) is not a finite number above 0.
    InvalidWeight,
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueError::TooLong { bytes } => {
                write!(
                    f,
                    "the value has {bytes} bytes; the maximum is {MAX_VALUE_BYTES}"
                )
            }
            ValueError::Malformed { message } => f.write_str(message),
            ValueError::OtherHost => {
                f.write_str("the `host` field differs from the host name in the key")
            }
            ValueError::InvalidWeight => {
                f.write_str("the `share` field is not a finite number above 0")
            }
        }
    }
}

impl std::error::Error for ValueError {}

/// The JSON fields of a value. Unknown fields are ignored.
#[derive(Deserialize)]
struct WireValue<'a> {
    #[serde(borrow)]
    host: Option<Cow<'a, str>>,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(borrow, rename = "site")]
    zone: Cow<'a, str>,
    #[serde(default, rename = "block")]
    domain: u64,
    #[serde(default = "default_status", rename = "health")]
    status: EndpointStatus,
    #[serde(default = "default_weight", rename = "share")]
    weight: f64,
    #[serde(default, rename = "born_ms")]
    started_at_ms: u64,
}

fn default_status() -> EndpointStatus {
    EndpointStatus::Ready
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

/// Returns the host name in a key, which is the part after the prefix. `None` if that part is not a valid host name, as
/// in keys that contain a further slash.
pub(crate) fn host_of_key<'a>(prefix: &str, key: &'a [u8]) -> Option<&'a str> {
    let host = std::str::from_utf8(key.strip_prefix(prefix.as_bytes())?).ok()?;
    let valid = !host.is_empty()
        && host.len() <= MAX_HOST_BYTES
        && !host.contains('/')
        && !host.chars().any(char::is_control);
    valid.then_some(host)
}

/// Parses the value of a host's key: a JSON object with the fields of the platform's discovery, of which `dial` and
/// `site` are required.
///
/// # Errors
/// The value is too long, malformed, or has an invalid field.
pub fn read_value(host: &str, value: &[u8]) -> Result<EndpointRecord, ValueError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(ValueError::TooLong { bytes: value.len() });
    }
    let value: WireValue =
        serde_json::from_slice(value).map_err(|error| ValueError::Malformed {
            message: error.to_string(),
        })?;
    if value.host.is_some_and(|other| other != host) {
        return Err(ValueError::OtherHost);
    }
    if !(value.weight.is_finite() && value.weight > 0.0) {
        return Err(ValueError::InvalidWeight);
    }
    Ok(EndpointRecord {
        host: host.into(),
        address: value.address,
        zone: Arc::from(&*value.zone),
        domain: value.domain,
        status: value.status,
        weight: value.weight,
        started_at_ms: value.started_at_ms,
    })
}
