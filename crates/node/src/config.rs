//! The platform's configuration: `LB_*` and the JSON of `LB_CONFIG`, as typed values.

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
    /// The file that it was read from, to be read again.
    pub path: PathBuf,
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list service is.
    pub discovery: SocketAddr,
    /// Where the admin listener binds, if there is one.
    pub admin: Option<SocketAddr>,
    /// The seed of the policy's draws.
    pub seed: u64,
    /// File descriptors that the process may have.
    pub sockets: usize,
    /// Memory that the process may use, bytes.
    pub memory: usize,
    /// Other nodes, if there are any.
    pub peers: Option<PeerAddresses>,
    /// The endpoint list as it was last known. It may be old.
    pub known: Option<List>,
    /// The policy's settings, with the names that requests use.
    pub platform: PlatformSettings,
}

/// The addresses of datagrams between nodes.
pub struct PeerAddresses {
    /// Where this node receives.
    pub listen: SocketAddr,
    /// All nodes in the order of their numbers, this one among them.
    pub each: Vec<SocketAddr>,
    /// Reaches all other nodes at once, if there is such an address.
    pub all: Option<SocketAddr>,
}

/// The endpoint list, or changes to it, as discovery writes it.
#[derive(Deserialize, Serialize, Clone, Debug, PartialEq)]
pub struct List {
    /// Its version. It grows with each change.
    pub seq: u64,
    /// Whether it names all servers, or only those that have changed.
    #[serde(default)]
    pub whole: bool,
    /// The servers.
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// An app server, as discovery writes it.
#[derive(Deserialize, Serialize, Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub host: String,
    /// Its address.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its deduplication domain.
    #[serde(default)]
    pub block: u64,
    /// Its status.
    pub health: Health,
    /// Its weight, relative to a full server's.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// When it started, Unix time in ms; 0 if that is not known.
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
    /// It takes requests.
    Ready,
    /// It takes no new requests.
    Draining,
    /// It is no longer there.
    Gone,
}

#[derive(Deserialize)]
struct File {
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

/// Descriptors that are needed for clients beside app servers.
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
    /// No file is named.
    #[error("LB_CONFIG is not set")]
    NotSet,
    /// The file cannot be read.
    #[error("LB_CONFIG: {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file's text makes no sense.
    #[error("LB_CONFIG: {}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<ConfigError>,
    },
    /// A variable is no address.
    #[error("{key}: {text:?} is no address")]
    Address {
        /// The variable.
        key: &'static str,
        /// What it says.
        text: String,
        /// Why that is no address.
        source: AddrParseError,
    },
    /// The text is not the JSON that is expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The policy's settings cannot be read.
    #[error("settings: {0}")]
    PlatformSettings(#[source] setup::ReadError),
    /// The policy's settings make no sense.
    #[error("settings")]
    Settings(#[source] SettingsError),
    /// The process may have too few descriptors.
    #[error("limits.sockets: {MIN_SOCKETS} are needed")]
    TooFewDescriptors,
}

fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::Address {
        key,
        text: text.to_owned(),
        source,
    })
}

impl Config {
    /// Reads the file that `LB_CONFIG` names; the other variables overrule what it says.
    ///
    /// # Errors
    /// A variable or the file that cannot be read or makes no sense.
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

    /// Reads the file alone.
    ///
    /// # Errors
    /// A file that cannot be read or makes no sense.
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

    /// Reads its text; `path` is where it would be read again.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(path: &Path, text: &str) -> Result<Config, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let platform = setup::read(file.settings.get()).map_err(ConfigError::PlatformSettings)?;
        platform.settings.check().map_err(ConfigError::Settings)?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewDescriptors);
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
