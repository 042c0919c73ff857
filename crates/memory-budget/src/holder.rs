//! What holds bytes, and up to which mark each may fill the budget.

/// What holds bytes of the process, in the order in which holders are restricted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Holder {
    /// Buffers that exceed what a connection needs, so that long bodies take fewer system calls.
    ReadAhead,
    /// A request head that exceeds the buffer of its connection and is not complete.
    RequestHead,
    /// A request body of which the node has not received the rest.
    RequestBody,
    /// A request from its complete head to its answer, with the connection to its server.
    Request,
    /// A request body of which this machine has received the rest, so that it is held for a short time only.
    ReceivedBody,
    /// An open connection of a client, with its buffers. Clients are also accepted to be rejected.
    ClientConnection,
    /// An idle connection to an app server. It is closed while memory is short.
    IdleServerConnection,
    /// What a response to an accepted request holds beyond what each request has.
    Response,
}

impl Holder {
    /// All holders.
    pub const ALL: [Holder; 8] = [
        Holder::ReadAhead,
        Holder::RequestHead,
        Holder::RequestBody,
        Holder::Request,
        Holder::ReceivedBody,
        Holder::ClientConnection,
        Holder::IdleServerConnection,
        Holder::Response,
    ];

    /// Share of the budget, in percent, that may be in use after the holder has drawn. The last ones draw in any case: what
    /// they hold belongs to requests that were admitted below an earlier mark.
    pub fn mark_percent(self) -> u64 {
        match self {
            Holder::ReadAhead => 30,
            Holder::RequestHead => 45,
            Holder::RequestBody => 50,
            Holder::Request => 88,
            Holder::ReceivedBody => 91,
            Holder::ClientConnection => 95,
            Holder::IdleServerConnection | Holder::Response => 100,
        }
    }

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Holder::ReadAhead => "read_ahead",
            Holder::RequestHead => "request_heads",
            Holder::RequestBody => "request_bodies",
            Holder::Request => "requests",
            Holder::ReceivedBody => "received_bodies",
            Holder::ClientConnection => "client_connections",
            Holder::IdleServerConnection => "idle_server_connections",
            Holder::Response => "responses",
        }
    }
}
