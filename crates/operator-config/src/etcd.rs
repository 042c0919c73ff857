//! The section `[etcd]`: discovery of app servers through etcd.

use crate::section::Section;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The prefix of the app servers' keys if the file sets none.
const DEFAULT_PREFIX: &str = "/saffronpaddle/servers/";
/// Maximum length of the prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 1000;

/// How app servers are discovered through etcd.
#[derive(Clone, Debug, PartialEq)]
pub struct Etcd {
    /// Client addresses of the cluster members.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of the app servers' keys.
    pub prefix: String,
    /// Whether etcd replaces the platform's discovery, which is not called then; otherwise the two lists are merged.
    pub instead: bool,
    /// `None` for a cluster without authentication.
    pub user: Option<EtcdUser>,
    /// `None` for connections without TLS.
    pub tls: Option<EtcdTls>,
    /// Timeout of connecting to a member, and of each call.
    pub answer_within: Duration,
    /// Interval between health probes of the connected member.
    pub probe_every: Duration,
    /// The node switches to another member if the current one has been silent for longer than this.
    pub silent_after: Duration,
    /// Maximum backoff before connecting to the next member.
    pub max_backoff: Duration,
    /// How long a list that has become empty in one update must stay empty before it is applied.
    pub empty_after: Duration,
}

/// Credentials for etcd's own authentication.
#[derive(Clone, Debug, PartialEq)]
pub struct EtcdUser {
    /// The user name.
    pub name: String,
    /// The path of the file that contains the password.
    pub password_file: PathBuf,
}

/// How the TLS certificates of etcd members are verified.
#[derive(Clone, Debug, PartialEq)]
pub struct EtcdTls {
    /// The path of the PEM file with the trusted certificates.
    pub ca_file: PathBuf,
    /// The name that the members' certificates must be issued for.
    pub server_name: String,
}

impl Etcd {
    /// Returns `None` unless the section names endpoints. Faults of its other keys are recorded in any case.
    pub(crate) fn read(section: &mut Section) -> Option<Etcd> {
        let endpoints = section.list("endpoints", "an IP address with a port", |text| {
            text.parse().ok()
        });
        let user = EtcdUser::read(section);
        let tls = EtcdTls::read(section);
        let etcd = Etcd {
            endpoints,
            prefix: section
                .parsed(
                    "prefix",
                    "a string of 2 to 1000 bytes that begins with a slash",
                    valid_prefix,
                )
                .unwrap_or_else(|| DEFAULT_PREFIX.to_owned()),
            instead: section.boolean("instead", false),
            user,
            tls,
            answer_within: section.span_ms("answer_within_ms", 2_000, 10..=60_000),
            probe_every: section.span_ms("probe_every_ms", 1_000, 10..=60_000),
            silent_after: section.span_ms("silent_after_ms", 3_000, 20..=600_000),
            max_backoff: section.span_ms("backoff_most_ms", 2_000, 50..=600_000),
            empty_after: section.span_ms("empty_after_ms", 30_000, 0..=86_400_000),
        };
        if etcd.silent_after <= etcd.probe_every {
            section.fault("silent_after_ms", "must be more than probe_every_ms");
        }
        (!etcd.endpoints.is_empty()).then_some(etcd)
    }
}

impl EtcdUser {
    fn read(section: &mut Section) -> Option<EtcdUser> {
        let name = section.parsed("user", "a non-empty name", non_empty);
        let password_file = section.parsed("password_file", "a non-empty path", path);
        let (name, password_file) =
            both_or_none(section, ("user", name), ("password_file", password_file))?;
        Some(EtcdUser {
            name,
            password_file,
        })
    }
}

impl EtcdTls {
    fn read(section: &mut Section) -> Option<EtcdTls> {
        let ca_file = section.parsed("tls_ca_file", "a non-empty path", path);
        let server_name = section.parsed("tls_name", "a non-empty name", non_empty);
        let (ca_file, server_name) =
            both_or_none(section, ("tls_ca_file", ca_file), ("tls_name", server_name))?;
        Some(EtcdTls {
            ca_file,
            server_name,
        })
    }
}

/// Checks that two keys are either both set or both missing; records a fault of the missing key otherwise.
fn both_or_none<A, B>(
    section: &mut Section,
    (first_key, first): (&str, Option<A>),
    (second_key, second): (&str, Option<B>),
) -> Option<(A, B)> {
    let missing = match (&first, &second) {
        (Some(_), None) => Some((second_key, first_key)),
        (None, Some(_)) => Some((first_key, second_key)),
        (Some(_), Some(_)) | (None, None) => None,
    };
    if let Some((missing_key, set_key)) = missing {
        section.fault(
            missing_key,
            format!("must be set, because {set_key} is set"),
        );
    }
    first.zip(second)
}

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

fn path(text: &str) -> Option<PathBuf> {
    non_empty(text).map(PathBuf::from)
}

fn valid_prefix(text: &str) -> Option<String> {
    let valid = text.starts_with('/') && text.len() > 1 && text.len() <= MAX_PREFIX_BYTES;
    valid.then(|| text.to_owned())
}
