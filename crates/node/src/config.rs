//! The platform's configuration: the `LB_*` environment variables and the JSON file that `LB_CONFIG` names.

use saffronpaddle_endpoints::{EndpointRecord, EndpointStatus};
use saffronpaddle_policy::interface::SettingsError;
use saffronpaddle_policy::setup::{self, PlatformSettings};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The platform's configuration of a node.
pub struct Config {
    /// The file that the configuration was read from. A reload reads it again.
    pub path: PathBuf,
    /// Name of the node, the same for all its processes.
    pub name: String,
    /// Address on which the node accepts clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the admin listener; `None` for no listener.
    pub admin: Option<SocketAddr>,
    /// Seed of the policy's random number generator.
    pub seed: u64,
    /// Limit on the process's open file descriptors.
    pub sockets: usize,
    /// Limit on the process's memory, in bytes.
    pub memory: usize,
    /// Addresses for messages between nodes; `None` on a node without peers.
    pub peers: Option<PeerAddresses>,
    /// The endpoint list as last known to the platform. It may be outdated.
    pub known: Option<List>,
    /// The policy's settings, and the names by which requests refer to classes and zones.
    pub platform: PlatformSettings,
}

/// The addresses for datagrams between nodes.
pub struct PeerAddresses {
    /// Address on which this node receives.
    pub listen: SocketAddr,
    /// Addresses of all nodes, including this one, indexed by node number.
    pub each: Vec<SocketAddr>,
    /// Broadcast address that reaches all other nodes; `None` if there is none.
    pub all: Option<SocketAddr>,
}

/// The endpoint list, or changes to it, in discovery's format.
#[derive(Deserialize, Serialize, Clone, Debug, PartialEq)]
pub struct List {
    /// Version number, which increases with each change.
    pub seq: u64,
    /// Whether the list contains all servers; otherwise it contains only those that have changed.
    #[serde(default)]
    pub whole: bool,
    /// The entries, one per server.
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// An app server in discovery's format.
#[derive(Deserialize, Serialize, Clone, Debug, PartialEq)]
pub struct Host {
    /// Name of the server, unique in the list.
    pub host: String,
    /// Address on which the server accepts requests.
    pub dial: SocketAddr,
    /// Name of the server's zone.
    pub site: String,
    /// Deduplication domain: the group of servers that drops repeats of an idempotency key.
    #[serde(default)]
    pub block: u64,
    /// Status of the server.
    pub health: Health,
    /// Weight relative to a server of full size, whose weight is 1.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// Start time as Unix time in ms; 0 if unknown.
    #[serde(default)]
    pub born_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// The status of an app server.
#[derive(Deserialize, Serialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests.
    Draining,
    /// No longer exists.
    Gone,
}

/// The JSON file as written.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    admin_addr: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<List>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: default_sockets(),
            memory_mb: default_memory_mb(),
        }
    }
}

fn default_sockets() -> usize {
    1024
}

fn default_memory_mb() -> usize {
    32
}

/// Minimum limit on descriptors: fewer would leave too few for clients beside those for app servers.
const MIN_SOCKETS: usize = 64;

impl From<Health> for EndpointStatus {
    fn from(health: Health) -> EndpointStatus {
        match health {
            Health::Ready => EndpointStatus::Ready,
            Health::Draining => EndpointStatus::Draining,
            Health::Gone => EndpointStatus::Removed,
        }
    }
}

impl From<&Host> for EndpointRecord {
    fn from(host: &Host) -> EndpointRecord {
        EndpointRecord {
            host: host.host.as_str().into(),
            address: host.dial,
            zone: host.site.as_str().into(),
            domain: host.block,
            status: host.health.into(),
            weight: host.share,
            started_at_ms: host.born_ms,
        }
    }
}

/// Why the platform's configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `LB_CONFIG` does not name a file.
    #[error("LB_CONFIG is not set")]
    NotSet,
    /// The file cannot be read.
    #[error("LB_CONFIG: cannot read {}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file was read, but its contents are invalid.
    #[error("LB_CONFIG: {} is invalid", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The fault in the file.
        source: Box<ConfigError>,
    },
    /// An environment variable does not contain a valid address.
    #[error("{key}: {text:?} is not an IP address with a port")]
    InvalidAddress {
        /// Name of the variable.
        key: &'static str,
        /// Value of the variable.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The file is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The policy's settings cannot be parsed.
    #[error("settings cannot be parsed")]
    PlatformSettings(#[source] setup::ReadError),
    /// The policy's settings are inconsistent or out of range.
    #[error("settings are invalid")]
    Settings(#[source] SettingsError),
    /// The limit on descriptors, which is given, is less than the node needs.
    #[error("limits.sockets: {0} is too few; at least {MIN_SOCKETS} are required")]
    TooFewDescriptors(usize),
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::InvalidAddress {
        key,
        text: text.to_owned(),
        source,
    })
}

impl Config {
    /// Reads the file that `LB_CONFIG` names. The other `LB_*` variables override its values. `variable` looks up an
    /// environment variable.
    ///
    /// # Errors
    /// `LB_CONFIG` is not set, the file cannot be read or is invalid, or a variable is invalid.
    pub fn from_environment(
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let path = variable("LB_CONFIG").ok_or(ConfigError::NotSet)?;
        let mut config = Config::read(Path::new(&path))?;
        if let Some(name) = variable("LB_NAME") {
            config.name = name;
        }
        for (key, address) in [
            ("LB_LISTEN", &mut config.listen),
            ("LB_DISCOVERY", &mut config.discovery),
        ] {
            if let Some(text) = variable(key) {
                *address = parse_address(key, &text)?;
            }
        }
        if let Some(text) = variable("LB_ADMIN_ADDR").filter(|text| !text.is_empty()) {
            config.admin = Some(parse_address("LB_ADMIN_ADDR", &text)?);
        }
        Ok(config)
    }

    /// Reads the file without applying environment variables.
    ///
    /// # Errors
    /// The file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.to_owned(),
            source,
        })?;
        Config::parse(path, &text).map_err(|source| ConfigError::Invalid {
            path: path.to_owned(),
            source: Box::new(source),
        })
    }

    /// Parses the file's text. `path` is stored as the path that a reload reads.
    ///
    /// # Errors
    /// The text is not valid JSON, or a setting in it is invalid.
    pub fn parse(path: &Path, text: &str) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let platform = setup::read(file.settings.get()).map_err(ConfigError::PlatformSettings)?;
        platform.settings.check().map_err(ConfigError::Settings)?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewDescriptors(file.limits.sockets));
        }
        let peers = file.peer_listen.map(|listen| PeerAddresses {
            listen,
            each: file.peers,
            all: file.peers_all,
        });
        let seed = u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| fastrand::u64(..));
        let (name, listen, discovery) = (file.name, file.listen, file.discovery);
        let sockets = file.limits.sockets;
        let memory = file.limits.memory_mb.saturating_mul(1024 * 1024);
        let path = path.to_owned();
        let admin = file.admin_addr;
        Ok(Config {
            path,
            name,
            listen,
            discovery,
            admin,
            seed,
            sockets,
            memory,
            peers,
            known: file.known,
            platform,
        })
    }
}
