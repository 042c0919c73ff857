//! Settings of the client.

use saffronpaddle_endpoints::Rules;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeouts and intervals of the client.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Timeout of a connection attempt and of a call.
    pub answer_within: Duration,
    /// Interval of progress requests on a watch; the response shows that the member is alive.
    pub probe_every: Duration,
    /// A member that has sent nothing for this long is left for the next one.
    pub silent_after: Duration,
    /// First and longest backoff between two members. It doubles each time, with a jitter of half either way.
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

/// Which cluster is followed, and what of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its members' client addresses, tried in this order from a random one on.
    pub endpoints: Vec<SocketAddr>,
    /// The prefix of the servers' keys, as a rule with a slash at its end.
    pub prefix: String,
    /// A user and its password (`Auth.Authenticate`); none where the cluster has no authentication.
    pub user: Option<(String, String)>,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// When an empty list is accepted.
    pub rules: Rules,
    /// The certificates (PEM) by which members are trusted, and the name that theirs must bear; none for no TLS.
    #[cfg(feature = "tls")]
    pub tls: Option<(Vec<u8>, String)>,
}
