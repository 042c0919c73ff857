//! Names and values of the simulator's line protocol, as constants named after the policy engine's terms.
//!
//! A line consists of a message name and `name=value` fields, separated by tabs. A batch holds all messages of one
//! point in simulated time. The reply to a batch is one line per resulting action, followed by the line [`REPLY_END`].

/// Names of the messages that the simulator sends.
pub mod message {
    /// Opens a batch.
    pub const BATCH_START: &str = "frame";
    /// Closes a batch.
    pub const BATCH_END: &str = "eof_batch";
    /// Defines an endpoint list. One [`ENDPOINT`] line per endpoint follows.
    pub const ENDPOINT_LIST: &str = "register";
    /// Describes one endpoint of the list being defined.
    pub const ENDPOINT: &str = "item";
    /// Starts an instance: a simulated node with its own policy engine.
    pub const INSTANCE_START: &str = "hello";
    /// Stops an instance.
    pub const INSTANCE_STOP: &str = "teardown";
    /// Discovery returned endpoints to an instance, or failed.
    pub const ENDPOINTS_CHANGED: &str = "update";
    /// A client's request arrived at an instance.
    pub const REQUEST_ARRIVED: &str = "knock";
    /// The server's response to a request has started.
    pub const RESPONSE_STARTED: &str = "opened";
    /// An attempt ended, with an [`outcome`](super::outcome).
    pub const ATTEMPT_ENDED: &str = "finished";
    /// The client abandoned its request.
    pub const REQUEST_ABANDONED: &str = "gone";
    /// A timer that an instance set has fired.
    pub const TIMER_FIRED: &str = "elapsed";
    /// A message from a peer arrived.
    pub const PEER_MESSAGE: &str = "whisper";
    /// The response to a health probe arrived.
    pub const PROBE_RESPONSE: &str = "echo";
    /// The response of the simulator's shared counter arrived.
    pub const COUNTER_RESPONSE: &str = "counter_reply";
}

/// Names of the fields of the messages that the simulator sends.
pub mod field {
    /// Simulated time of a batch, µs.
    pub const NOW: &str = "nowUs";
    /// Number of an instance.
    pub const INSTANCE: &str = "i";
    /// Number of an endpoint list.
    pub const LIST: &str = "list";
    /// Number of endpoints in a list, one line each.
    pub const ENDPOINT_COUNT: &str = "items";
    /// Relative size of an endpoint.
    pub const SIZE: &str = "capacityHint";
    /// Name of an endpoint's zone.
    pub const ZONE: &str = "campus";
    /// Id of a server.
    pub const SERVER: &str = "server";
    /// Id of an endpoint's deduplication domain.
    pub const DEDUPLICATION_DOMAIN: &str = "bay";
    /// Status of an endpoint.
    pub const STATUS: &str = "readiness";
    /// Simulated time at which a server started, µs; 0 or absent if unknown.
    pub const STARTED_AT: &str = "cameUpUs";
    /// Seed of an instance's random number generator; may be negative.
    pub const SEED: &str = "randomSeed";
    /// Settings of an instance, as JSON that runs to the end of the line.
    pub const SETTINGS: &str = "setup";
    /// Kind of an endpoint update: one of [`update`](super::update).
    pub const UPDATE: &str = "kind";
    /// Id of a request.
    pub const REQUEST: &str = "call";
    /// Name of a request's class.
    pub const CLASS: &str = "grade";
    /// Name of the customer's plan.
    pub const PLAN: &str = "package";
    /// Id of a customer.
    pub const CUSTOMER: &str = "clientId";
    /// Quota units that a request costs.
    pub const UNITS: &str = "quotaUnits";
    /// First node of the customer's node subset.
    pub const FIRST_NODE: &str = "base";
    /// Size of the customer's node subset.
    pub const SUBSET_SIZE: &str = "setSize";
    /// Time that the client waits for the response, µs.
    pub const TIMEOUT: &str = "ttlUs";
    /// Number of an attempt within its request, from 0.
    pub const ATTEMPT: &str = "shot";
    /// Outcome of an attempt: one of [`outcome`](super::outcome).
    pub const OUTCOME: &str = "ending";
    /// Whether the request ended together with the attempt.
    pub const REQUEST_CLOSED: &str = "doneFlag";
    /// Number that an instance gives to a timer and that comes back when the timer fires.
    pub const TIMER_TOKEN: &str = "nonce";
    /// The node that has sent a message.
    pub const SENDER: &str = "originPeer";
    /// Bytes of a message, in hexadecimal digits.
    pub const BYTES: &str = "blob";
}

/// Names of the actions in a reply.
pub mod action {
    /// Sends an attempt of a request to a server.
    pub const SEND: &str = "send";
    /// Rejects a request.
    pub const REJECT: &str = "not_now";
    /// Ends a request with an error.
    pub const FAIL: &str = "finish_error";
    /// Cancels an attempt.
    pub const CANCEL: &str = "revoke";
    /// Sends a message to one peer or to all peers.
    pub const SEND_TO_PEER: &str = "tell";
    /// Sets a timer.
    pub const SET_TIMER: &str = "defer";
    /// Subscribes to changes of the endpoints.
    pub const SUBSCRIBE: &str = "track";
    /// Writes a line to the simulator's log.
    pub const REPORT: &str = "say_log";
}

/// Names of the fields that occur only in actions. Fields that messages have too are in [`field`].
pub mod action_field {
    /// Time limit of an attempt, µs; omitted if there is none.
    pub const TIMEOUT: &str = "tryForUs";
    /// Time after which the client may send the request again, µs; omitted if it should not.
    pub const RETRY_AFTER: &str = "retryInUs";
    /// Receiving node of a message, or [`ALL_PEERS`](super::ALL_PEERS).
    pub const RECEIVER: &str = "addressee";
    /// Time until a timer fires, µs.
    pub const DELAY: &str = "delayUs";
    /// Whether the subscription is active.
    pub const ACTIVE: &str = "active";
    /// Text of a log line.
    pub const TEXT: &str = "words";
}

/// Values of [`field::STATUS`].
pub mod status {
    /// The endpoint accepts requests.
    pub const READY: &str = "Ready";
    /// The endpoint finishes its open requests and accepts no new ones.
    pub const DRAINING: &str = "Terminating";
    /// The endpoint no longer exists.
    pub const REMOVED: &str = "Gone";
}

/// Values of [`field::UPDATE`].
pub mod update {
    /// Discovery is unreachable; the adapter reads no endpoints from the update.
    pub const UNAVAILABLE: &str = "Error";
    /// Contains only the endpoints that changed.
    pub const DELTA: &str = "Partial";
    /// Contains all endpoints, from discovery.
    pub const SNAPSHOT: &str = "Complete";
    /// Contains all endpoints, as stored when the instance last ran.
    pub const STORED_SNAPSHOT: &str = "Persisted";
}

/// Values of [`field::OUTCOME`].
pub mod outcome {
    /// The request succeeded.
    pub const OK: i32 = 100;
    /// The server answered with an error.
    pub const ERROR: i32 = 301;
    /// The server rejected the request.
    pub const REJECTED: i32 = 302;
    /// The server did not respond in time.
    pub const TIMED_OUT: i32 = 303;
    /// The server could not be reached.
    pub const UNREACHABLE: i32 = 304;
    /// The connection was lost after the request was sent.
    pub const CONNECTION_LOST: i32 = 305;
    /// The attempt was cancelled.
    pub const CANCELLED: i32 = 306;
    /// The request was never sent.
    pub const NOT_SENT: i32 = 307;
}

/// Values of a flag field.
pub mod flag {
    /// The flag is set.
    pub const SET: &str = "1";
    /// The flag is clear. An absent field means the same.
    pub const CLEAR: &str = "0";
}

/// Encoding of an empty byte string.
pub const NO_BYTES: &str = "-";
/// Value of [`action_field::RECEIVER`] for a message to all peers.
pub const ALL_PEERS: &str = "*";
/// Value of [`action_field::ACTIVE`] in [`action::SUBSCRIBE`].
pub const SUBSCRIPTION_ACTIVE: &str = flag::SET;
/// Highest number that an endpoint list may have.
pub const MAX_LIST_NUMBER: u8 = 15;
/// Last line of the reply to a batch, including its line feed.
pub const REPLY_END: &str = "finished\n";
