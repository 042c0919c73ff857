//! Connections to app servers. Opens, writes, reads and closes them, each only on a command of the exchange.

mod attempt;
mod gate;

use crate::answer::Payload;
use crate::bodies::{
    AttemptBody, ResponseBroken, ResponseLength, ResponseRest, ResponseStart, StreamedResponseBody,
    UpstreamRequestBody, MAX_BUFFERED_BYTES,
};
use crate::forward::{Forward, ForwardBody};
use crate::memory::{Memory, MemoryGrant, SERVER_CONNECTION_BYTES};
use crate::upstream_events::UpstreamEvents;
use crate::write_progress::WriteProgress;
use attempt::{AttemptOutcome, StreamingResponse, Target};
use bytes::Bytes;
use gate::{Gate, GatedStream};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use saffronpaddle_exchange::{ConnectionId, Event};
use saffronpaddle_memory_budget::Holder;
use saffronpaddle_netio::is_local_failure;
use saffronpaddle_policy::interface::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

/// Maximum number of bytes buffered of the head of one app server's response. Bounds memory if a head never ends.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// A connection to an app server, from the command to connect until it is closed.
struct UpstreamConnection {
    address: SocketAddr,
    /// Task that connects and then drives the connection. The socket closes when it ends or is aborted.
    driver: JoinHandle<()>,
    /// Present while the connection is free for a request.
    sender: Option<SendRequest<UpstreamRequestBody>>,
    /// The memory of the connection while it is idle. Otherwise its request has drawn it.
    idle_memory: Option<MemoryGrant>,
    /// Task that writes a request and reads its response.
    attempt: Option<AbortHandle>,
    /// The request body that is being streamed on the connection.
    streamed_body: Option<AttemptBody>,
    /// The request that was last prepared on the connection.
    forward: Option<Rc<Forward>>,
    /// Whether bytes may be written. Reset for each request, because the exchange decides on its first byte.
    writes_allowed: Arc<AtomicBool>,
    write_progress: Arc<WriteProgress>,
}

/// The connections of a node to app servers. The exchange decides which request uses which connection.
pub struct Upstream {
    connections: RefCell<HashMap<ConnectionId, UpstreamConnection>>,
    /// What connections and responses draw from.
    memory: Memory,
    /// Sends the connection of each response whose body was dropped before its end: at most one per connection.
    abandoned_sender: mpsc::UnboundedSender<ConnectionId>,
    abandoned_receiver: RefCell<Option<mpsc::UnboundedReceiver<ConnectionId>>>,
}

impl Upstream {
    /// Creates a set without connections.
    pub fn new(memory: Memory) -> Rc<Upstream> {
        let (abandoned_sender, receiver) = mpsc::unbounded_channel();
        Rc::new(Upstream {
            connections: RefCell::default(),
            memory,
            abandoned_sender,
            abandoned_receiver: RefCell::new(Some(receiver)),
        })
    }

    /// Returns the receiver of connections whose response body was dropped before its end; `None` after the first call.
    pub fn take_abandoned(&self) -> Option<mpsc::UnboundedReceiver<ConnectionId>> {
        self.abandoned_receiver.borrow_mut().take()
    }

    /// Makes a connection available for the next request after a response has ended.
    fn return_connection(
        &self,
        connection: ConnectionId,
        sender: SendRequest<UpstreamRequestBody>,
    ) {
        if let Some(upstream) = self.connections.borrow_mut().get_mut(&connection) {
            (upstream.sender, upstream.attempt, upstream.forward) = (Some(sender), None, None);
            let memory = self
                .memory
                .draw(Holder::IdleServerConnection, SERVER_CONNECTION_BYTES);
            upstream.idle_memory = Some(memory);
        }
    }

    /// Releases the last chunk of the streamed request body on a connection.
    pub fn release_body(&self, connection: ConnectionId) {
        let body = self
            .connections
            .borrow()
            .get(&connection)
            .and_then(|upstream| upstream.streamed_body.clone());
        body.iter().for_each(AttemptBody::release);
    }

    /// Opens a connection. `owner_number` is the registration number of `events`.
    pub fn connect(
        self: &Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        owner_number: u64,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        let writes_allowed = Arc::new(AtomicBool::new(false));
        let write_progress = Arc::new(WriteProgress::default());
        let gate = Gate {
            owner_number,
            connection,
            writes_allowed: Arc::clone(&writes_allowed),
            write_progress: Arc::clone(&write_progress),
        };
        let driver =
            tokio::task::spawn_local(Rc::clone(self).drive(events, gate, connection, address));
        let upstream = UpstreamConnection {
            address,
            driver,
            sender: None,
            idle_memory: None,
            attempt: None,
            streamed_body: None,
            forward: None,
            writes_allowed,
            write_progress,
        };
        self.connections.borrow_mut().insert(connection, upstream);
    }

    /// Prepares a request on a free connection. Its first byte is written once the exchange allows it.
    pub fn send(
        self: &Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        connection: ConnectionId,
        server: ServerId,
        forward: Rc<Forward>,
    ) {
        let mut connections = self.connections.borrow_mut();
        let Some(upstream) = connections.get_mut(&connection) else {
            return;
        };
        let Some(mut sender) = upstream.sender.take() else {
            return;
        };
        upstream.idle_memory = None;
        upstream.writes_allowed.store(false, Ordering::Relaxed);
        let body = match &forward.body {
            ForwardBody::Buffered(bytes) => UpstreamRequestBody::Buffered(Full::new(bytes.clone())),
            ForwardBody::Streamed(body) => {
                let write_progress = Arc::clone(&upstream.write_progress);
                UpstreamRequestBody::Streamed(body.start_attempt(write_progress))
            }
        };
        upstream.streamed_body = body.streamed().cloned();
        upstream.forward = Some(Rc::clone(&forward));
        let (this, address) = (Rc::clone(self), upstream.address);
        let task = tokio::task::spawn_local(async move {
            let time_left = events.time_left(&forward);
            let target = Target { server, address };
            let outcome =
                attempt::run(&mut sender, &forward, body, time_left, target, &this.memory).await;
            this.finish(events, connection, sender, outcome).await;
        });
        upstream.attempt = Some(task.abort_handle());
    }

    /// Reports the outcome of an attempt to the connection's owner.
    async fn finish(
        self: Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        connection: ConnectionId,
        sender: SendRequest<UpstreamRequestBody>,
        outcome: AttemptOutcome,
    ) {
        match outcome {
            AttemptOutcome::Upgraded(upgraded) => {
                // The connection now belongs to the WebSocket relay.
                self.connections.borrow_mut().remove(&connection);
                events.on_event(
                    Event::Upgraded { connection },
                    Some(Payload::Upgraded(upgraded)),
                );
            }
            AttemptOutcome::Streaming(response) => {
                self.stream_response(events, connection, sender, response)
                    .await;
            }
            AttemptOutcome::Complete(outcome, payload) => {
                self.return_connection(connection, sender);
                events.on_event(
                    Event::ResponseComplete {
                        connection,
                        outcome,
                    },
                    payload,
                );
            }
            AttemptOutcome::Lost => {
                self.return_connection(connection, sender);
                events.on_event(Event::ConnectionLost { connection }, None);
            }
        }
    }

    /// Passes a streamed response to its client. Of a response that may be short, reads the start.
    async fn stream_response(
        self: Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        connection: ConnectionId,
        sender: SendRequest<UpstreamRequestBody>,
        response: StreamingResponse,
    ) {
        let report_end = self.report_end(&events, connection, sender);
        let StreamingResponse {
            received,
            rest,
            long,
        } = response;
        if long {
            let pieces = received.into_pieces();
            let rest = ResponseRest::ByClient(rest);
            let body = self.streamed_body(connection, Box::new(report_end), pieces, rest);
            return events.on_event(Event::ResponseStreaming { connection, long }, Some(body));
        }
        let received_bytes = received.len();
        let start = ResponseStart::new(received);
        // Whoever reads the end of the response reports it.
        let report_end = Rc::new(Cell::new(Some(report_end)));
        let reported_by_client = Rc::clone(&report_end);
        let on_end = move |complete| {
            let report_end = reported_by_client.take();
            report_end.into_iter().for_each(|report| report(complete));
        };
        let rest_by_attempt = ResponseRest::ByAttempt(start.clone());
        let body = self.streamed_body(
            connection,
            Box::new(on_end),
            VecDeque::new(),
            rest_by_attempt,
        );
        Rc::clone(&events).on_event(Event::ResponseStreaming { connection, long }, Some(body));
        let report_progress = |bytes: usize| {
            let bytes = bytes as u64;
            Rc::clone(&events).on_event(Event::ResponseProgress { connection, bytes }, None);
        };
        report_progress(received_bytes);
        let complete = match start.read(rest, report_progress).await {
            Ok(ResponseLength::Long) => {
                return events.on_event(Event::ResponseLong { connection }, None)
            }
            Ok(ResponseLength::Short) => true,
            Err(ResponseBroken) => false,
        };
        let report_end = report_end.take();
        report_end.into_iter().for_each(|report| report(complete));
    }

    /// Returns a function that reports the end of a streamed response: whether it is complete. It may outlive the node's
    /// event loop, so it holds weak references only.
    fn report_end(
        self: &Rc<Self>,
        events: &Rc<dyn UpstreamEvents>,
        connection: ConnectionId,
        sender: SendRequest<UpstreamRequestBody>,
    ) -> impl FnOnce(bool) + 'static {
        let (this, events): (Weak<Upstream>, Weak<dyn UpstreamEvents>) =
            (Rc::downgrade(self), Rc::downgrade(events));
        move |complete| {
            let (Some(this), Some(events)) = (this.upgrade(), events.upgrade()) else {
                return;
            };
            this.return_connection(connection, sender);
            let event = if complete {
                Event::ResponseComplete {
                    connection,
                    outcome: Outcome::Ok,
                }
            } else {
                Event::ConnectionLost { connection }
            };
            events.on_event(event, None);
        }
    }

    /// Creates the body of a streamed response.
    fn streamed_body(
        &self,
        connection: ConnectionId,
        on_end: Box<dyn FnOnce(bool)>,
        received: VecDeque<Bytes>,
        rest: ResponseRest,
    ) -> Payload {
        let abandoned_sender = self.abandoned_sender.clone();
        let on_abandoned = move || {
            // Fails only when the node has stopped and dropped the receiver.
            let _ = abandoned_sender.send(connection);
        };
        let bytes = match rest {
            ResponseRest::ByAttempt(_) => MAX_BUFFERED_BYTES as u64,
            ResponseRest::ByClient(_) | ResponseRest::Ended => 0,
        };
        let memory = self.memory.draw(Holder::Response, bytes);
        let body =
            StreamedResponseBody::new(on_end, Box::new(on_abandoned), received, rest, memory);
        Payload::Streaming(Box::new(body))
    }

    /// Returns the request that is prepared on a connection.
    pub fn prepared_request(&self, connection: ConnectionId) -> Option<Rc<Forward>> {
        self.connections
            .borrow()
            .get(&connection)
            .and_then(|upstream| upstream.forward.clone())
    }

    /// Allows bytes to be written on a connection.
    pub fn allow_writes(&self, connection: ConnectionId) {
        let body = match self.connections.borrow().get(&connection) {
            Some(upstream) => {
                upstream.writes_allowed.store(true, Ordering::Relaxed);
                upstream.streamed_body.clone()
            }
            None => None,
        };
        body.iter().for_each(AttemptBody::commit);
    }

    /// Closes a connection, even during an attempt, and reports [`Event::Closed`] once its socket is closed.
    pub fn close(&self, events: Rc<dyn UpstreamEvents>, connection: ConnectionId) {
        let Some(upstream) = self.connections.borrow_mut().remove(&connection) else {
            return;
        };
        upstream.attempt.inspect(AbortHandle::abort);
        upstream.driver.abort();
        tokio::task::spawn_local(async move {
            // The driver has ended or was aborted; in both cases the socket is closed.
            let _ = upstream.driver.await;
            events.on_event(Event::Closed { connection }, None);
        });
    }

    /// Opens a connection and drives it until it ends.
    async fn drive(
        self: Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        gate: Gate,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        let report_failure = |local_shortage| {
            self.connections.borrow_mut().remove(&connection);
            let event = Event::ConnectFailed {
                connection,
                local_shortage,
            };
            Rc::clone(&events).on_event(event, None);
        };
        let stream = match TcpStream::connect(address).await {
            Ok(stream) => stream,
            // A resource shortage of this machine does not count as a failure of the server.
            Err(error) => return report_failure(is_local_failure(&error)),
        };
        // Without TCP_NODELAY a request written in two parts would wait for an acknowledgement. An error only costs
        // time.
        let _ = stream.set_nodelay(true);
        let stream = GatedStream::new(stream, gate, &self.memory);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let Ok((sender, http)) = handshake else {
            return report_failure(false);
        };
        if let Some(upstream) = self.connections.borrow_mut().get_mut(&connection) {
            upstream.sender = Some(sender);
        }
        Rc::clone(&events).on_event(Event::Connected { connection }, None);
        // The error is ignored: the attempt on this connection reports its own outcome.
        let _ = http.with_upgrades().await;
        events.on_event(Event::ClosedByPeer { connection }, None);
    }
}
