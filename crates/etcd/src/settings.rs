//! Settings of the client.

use saffronpaddle_endpoints::EmptyListRules;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeouts and intervals of the client.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Timeout of a connection attempt and of a call.
    pub answer_within: Duration,
    /// Interval of progress requests on a watch. The response shows that the member is alive.
    pub probe_every: Duration,
    /// How long a member may send nothing before the client switches to the next one.
    pub silent_after: Duration,
    /// Initial and maximum backoff before the next member is tried. It doubles each time, with a jitter of ±50 %.
    pub backoff: (Duration, Duration),
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            answer_within: Duration::from_secs(2),
            probe_every: Duration::from_secs(1),
            silent_after: Duration::from_secs(3),
            backoff: (Duration::from_millis(50), Duration::from_secs(2)),
        }
    }
}

/// The cluster and prefix to follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The client addresses of the members. They are tried in this order, starting at a random one.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of the servers' keys, usually with a slash at its end.
    pub prefix: String,
    /// User name and password (`Auth.Authenticate`); `None` if the cluster does not use authentication.
    pub user: Option<(String, String)>,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// When an empty list is accepted.
    pub rules: EmptyListRules,
    /// The trusted CA certificates (PEM), and the name that the members' certificates must contain; `None` for no TLS.
    #[cfg(feature = "tls")]
    pub tls: Option<(Vec<u8>, String)>,
}
