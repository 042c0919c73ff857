//! Names and numbers of the simulator's line protocol, each under the name that the policy engine has for it.
//!
//! A line is a message's name and its fields, separated by tabs. A batch is everything that happens at one moment of
//! simulated time; it is answered by the actions that follow and the line [`REPLY_END`].

/// Names of the messages that the simulator sends.
pub mod message {
    /// Opens a batch.
    pub const BATCH_START: &str = "frame";
    /// Closes a batch.
    pub const BATCH_END: &str = "eof_batch";
    /// Defines an endpoint list; its endpoints follow, a line each.
    pub const ENDPOINT_LIST: &str = "register";
    /// An endpoint of a list.
    pub const ENDPOINT: &str = "item";
    /// Starts an instance.
    pub const INSTANCE_START: &str = "hello";
    /// Stops an instance.
    pub const INSTANCE_STOP: &str = "teardown";
    /// Discovery has answered an instance, or failed to.
    pub const ENDPOINTS_CHANGED: &str = "update";
    /// A request has arrived.
    pub const REQUEST_ARRIVED: &str = "knock";
    /// A response has started.
    pub const RESPONSE_STARTED: &str = "opened";
    /// An attempt has ended.
    pub const ATTEMPT_ENDED: &str = "finished";
    /// The client has abandoned its request.
    pub const REQUEST_ABANDONED: &str = "gone";
    /// A timer has fired.
    pub const TIMER_FIRED: &str = "elapsed";
    /// A peer's message has arrived.
    pub const PEER_MESSAGE: &str = "whisper";
    /// A health probe is answered.
    pub const PROBE_RESPONSE: &str = "echo";
    /// The simulator's shared counter is answered.
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
    /// Count of a list's endpoints.
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
    /// When a server started, µs; 0 where that isn't known.
    pub const STARTED_AT: &str = "cameUpUs";
    /// Seed of an instance's random numbers.
    pub const SEED: &str = "randomSeed";
    /// Settings of an instance, as JSON up to the end of the line.
    pub const SETTINGS: &str = "setup";
    /// Which kind of update a change of the endpoints is.
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
    /// How long the client waits for its response, µs.
    pub const TIMEOUT: &str = "ttlUs";
    /// Number of an attempt of its request, from 0.
    pub const ATTEMPT: &str = "shot";
    /// Outcome of an attempt.
    pub const OUTCOME: &str = "ending";
    /// Whether the request has ended with its attempt.
    pub const REQUEST_CLOSED: &str = "doneFlag";
    /// Token of a timer.
    pub const TIMER_TOKEN: &str = "nonce";
    /// The node that has sent a message.
    pub const SENDER: &str = "originPeer";
    /// Bytes of a message, in hexadecimal digits.
    pub const BYTES: &str = "blob";
}

/// Names of the actions that instances answer with.
pub mod action {
    /// Sends an attempt of a request to a server.
    pub const SEND: &str = "send";
    /// Rejects a request.
    pub const REJECT: &str = "not_now";
    /// Ends a request with an error.
    pub const FAIL: &str = "finish_error";
    /// Cancels an attempt.
    pub const CANCEL: &str = "revoke";
    /// Sends a message to a peer or to all of them.
    pub const SEND_TO_PEER: &str = "tell";
    /// Sets a timer.
    pub const SET_TIMER: &str = "defer";
    /// Subscribes to changes of the endpoints.
    pub const SUBSCRIBE: &str = "track";
    /// Writes a line of the log.
    pub const REPORT: &str = "say_log";
}

/// Names of the fields that only actions have; they share the others with [`field`].
pub mod action_field {
    /// How long an attempt may take, µs; left out for no limit.
    pub const TIMEOUT: &str = "tryForUs";
    /// After how long the client may send its request again, µs; left out for never.
    pub const RETRY_AFTER: &str = "retryInUs";
    /// The node that a message is for, or [`ALL_PEERS`](super::ALL_PEERS).
    pub const RECEIVER: &str = "addressee";
    /// When a timer fires, µs from now.
    pub const DELAY: &str = "delayUs";
    /// Whether a subscription is wanted.
    pub const ACTIVE: &str = "active";
    /// Text of a line of the log.
    pub const TEXT: &str = "words";
}

/// Values of [`field::STATUS`].
pub mod status {
    /// The endpoint takes requests.
    pub const READY: &str = "Ready";
    /// The endpoint finishes what it has and takes no new requests.
    pub const DRAINING: &str = "Terminating";
    /// The endpoint is no longer there.
    pub const REMOVED: &str = "Gone";
}

/// Values of [`field::UPDATE`].
pub mod update {
    /// Discovery can't be reached.
    pub const UNAVAILABLE: &str = "Error";
    /// Only the endpoints that have changed.
    pub const DELTA: &str = "Partial";
    /// All endpoints, from discovery.
    pub const SNAPSHOT: &str = "Complete";
    /// All endpoints, as they were known when the instance last ran.
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
    /// No response came in time.
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

/// Values of a flag.
pub mod flag {
    /// Set.
    pub const SET: &str = "1";
    /// Not set, as where the field is left out.
    pub const CLEAR: &str = "0";
}

/// How no bytes at all are written.
pub const NO_BYTES: &str = "-";
/// How a message for all peers names its receiver.
pub const ALL_PEERS: &str = "*";
/// How an instance says that it wants a subscription.
pub const SUBSCRIPTION_ACTIVE: &str = flag::SET;
/// The greatest number of an endpoint list.
pub const MAX_LIST_NUMBER: u8 = 15;
/// The line that ends the reply to a batch, with its line feed.
pub const REPLY_END: &str = "finished\n";
