//! Connections to app servers: made, written to, read and closed as the exchange commands it, and only so.

mod attempt;
mod gate;

use crate::answer::Payload;
use crate::bodies::{StreamedRequestBody, StreamedResponseBody, UpstreamRequestBody};
use crate::forward::Forward;
use crate::upstream_events::UpstreamEvents;
use attempt::{AttemptOutcome, Target};
use bytes::Bytes;
use gate::{Gate, GatedStream};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use saffronpaddle_exchange::{ConnectionId, Event};
use saffronpaddle_netio::{is_local_failure, Socket};
use saffronpaddle_policy::interface::{Outcome, ServerId};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

/// Most bytes buffered of one app server's answer before its body. It bounds memory where a head never ends.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// A connection, from the command to connect until it is closed.
struct UpstreamConnection {
    address: SocketAddr,
    /// Connects, then drives the connection; the socket is closed with it.
    driver: JoinHandle<()>,
    /// Free for a request.
    sender: Option<SendRequest<UpstreamRequestBody>>,
    /// Writes a request and reads its answer.
    attempt: Option<AbortHandle>,
    /// The request body that is streamed on it.
    body: Option<Rc<StreamedRequestBody>>,
    /// The request that was last made ready on it.
    forward: Option<Rc<Forward>>,
    /// Whether bytes may be written. Shut when a request is made ready: before its first byte the exchange is asked.
    open: Arc<AtomicBool>,
}

/// All connections to app servers. What they are for is the exchange's matter.
pub struct Upstream {
    connections: RefCell<HashMap<ConnectionId, UpstreamConnection>>,
    /// Reports responses that their client does not read any more: one for each connection at the most.
    abandoned: mpsc::UnboundedSender<ConnectionId>,
    abandoned_receiver: RefCell<Option<mpsc::UnboundedReceiver<ConnectionId>>>,
}

impl Upstream {
    /// No connection yet.
    pub fn new() -> Rc<Upstream> {
        let (abandoned, receiver) = mpsc::unbounded_channel();
        Rc::new(Upstream {
            connections: RefCell::default(),
            abandoned,
            abandoned_receiver: RefCell::new(Some(receiver)),
        })
    }

    /// Connections whose responses nobody reads any more; `None` when this is called again.
    pub fn take_abandoned(&self) -> Option<mpsc::UnboundedReceiver<ConnectionId>> {
        self.abandoned_receiver.borrow_mut().take()
    }

    /// A response has ended: its connection is free for a request.
    fn return_connection(
        &self,
        connection: ConnectionId,
        sender: SendRequest<UpstreamRequestBody>,
    ) {
        if let Some(upstream) = self.connections.borrow_mut().get_mut(&connection) {
            (upstream.sender, upstream.attempt, upstream.forward) = (Some(sender), None, None);
        }
    }

    /// Lets the last piece of a request body go.
    pub fn release(&self, connection: ConnectionId) {
        let body = self
            .connections
            .borrow()
            .get(&connection)
            .and_then(|upstream| upstream.body.clone());
        body.into_iter().for_each(|body| body.release());
    }

    /// Makes a connection. `owner` is the number of `events`.
    pub fn connect(
        self: &Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        owner: u64,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        let open = Arc::new(AtomicBool::new(false));
        let gate = Gate {
            owner,
            connection,
            open: Arc::clone(&open),
        };
        let driver =
            tokio::task::spawn_local(Rc::clone(self).drive(events, gate, connection, address));
        let upstream = UpstreamConnection {
            address,
            driver,
            sender: None,
            attempt: None,
            body: None,
            forward: None,
            open,
        };
        self.connections.borrow_mut().insert(connection, upstream);
    }

    /// Makes a request ready on a free connection. Its first byte goes when the exchange lets it.
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
        upstream.open.store(false, Ordering::Relaxed);
        upstream.body = forward.streamed_body().cloned();
        upstream.forward = Some(Rc::clone(&forward));
        let (this, address) = (Rc::clone(self), upstream.address);
        let task = tokio::task::spawn_local(async move {
            let left = events.time_left(&forward);
            let target = Target { server, address };
            let outcome = attempt::run(&mut sender, &forward, left, target).await;
            this.finish(events, connection, sender, outcome);
        });
        upstream.attempt = Some(task.abort_handle());
    }

    /// Reports what came of an attempt.
    fn finish(
        self: Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        connection: ConnectionId,
        sender: SendRequest<UpstreamRequestBody>,
        outcome: AttemptOutcome,
    ) {
        match outcome {
            AttemptOutcome::Upgraded(upgraded) => {
                // The connection is the socket's now.
                self.connections.borrow_mut().remove(&connection);
                events.on_event(
                    Event::Upgraded { connection },
                    Some(Payload::Upgraded(upgraded)),
                );
            }
            AttemptOutcome::Streaming(first, rest) => {
                let body = self.streamed_response(&events, connection, sender, first, rest);
                events.on_event(
                    Event::ResponseStreaming { connection },
                    Some(Payload::Streaming(Box::new(body))),
                );
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

    /// The body of a response that is streamed. The body may outlive the node's loop, and holds neither.
    fn streamed_response(
        self: &Rc<Self>,
        events: &Rc<dyn UpstreamEvents>,
        connection: ConnectionId,
        sender: SendRequest<UpstreamRequestBody>,
        first: VecDeque<Bytes>,
        rest: Incoming,
    ) -> StreamedResponseBody {
        let (this, events): (Weak<Upstream>, Weak<dyn UpstreamEvents>) =
            (Rc::downgrade(self), Rc::downgrade(events));
        let on_end = move |complete: bool| {
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
        };
        let abandoned = self.abandoned.clone();
        let on_abandoned = move || {
            // At the node's end nobody receives it any more.
            let _ = abandoned.send(connection);
        };
        StreamedResponseBody::new(Box::new(on_end), Box::new(on_abandoned), first, rest)
    }

    /// The request that is made ready on a connection.
    pub fn ready_request(&self, connection: ConnectionId) -> Option<Rc<Forward>> {
        self.connections
            .borrow()
            .get(&connection)
            .and_then(|upstream| upstream.forward.clone())
    }

    /// Lets bytes be written.
    pub fn open(&self, connection: ConnectionId) {
        if let Some(upstream) = self.connections.borrow().get(&connection) {
            upstream.open.store(true, Ordering::Relaxed);
        }
    }

    /// Closes a connection, whatever is on it, and reports when that is done.
    pub fn close(&self, events: Rc<dyn UpstreamEvents>, connection: ConnectionId) {
        let Some(upstream) = self.connections.borrow_mut().remove(&connection) else {
            return;
        };
        upstream.attempt.inspect(AbortHandle::abort);
        upstream.driver.abort();
        tokio::task::spawn_local(async move {
            // It was aborted or has ended: either way the socket is closed.
            let _ = upstream.driver.await;
            events.on_event(Event::Closed { connection }, None);
        });
    }

    /// Makes a connection and drives it until it ends.
    async fn drive(
        self: Rc<Self>,
        events: Rc<dyn UpstreamEvents>,
        gate: Gate,
        connection: ConnectionId,
        address: SocketAddr,
    ) {
        let failed = |local_shortage| {
            self.connections.borrow_mut().remove(&connection);
            let event = Event::ConnectFailed {
                connection,
                local_shortage,
            };
            Rc::clone(&events).on_event(event, None);
        };
        let stream = match TcpStream::connect(address).await {
            Ok(stream) => stream,
            // A shortage of this machine does not count against the server.
            Err(error) => return failed(is_local_failure(&error)),
        };
        // Without it a request in two pieces would wait for an acknowledgement; it works all the same.
        let _ = stream.set_nodelay(true);
        let stream = GatedStream::new(TokioIo::new(Socket::new(stream)), gate);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(stream)
            .await;
        let Ok((sender, http)) = handshake else {
            return failed(false);
        };
        if let Some(upstream) = self.connections.borrow_mut().get_mut(&connection) {
            upstream.sender = Some(sender);
        }
        Rc::clone(&events).on_event(Event::Connected { connection }, None);
        // How it ended shows in the exchange.
        let _ = http.with_upgrades().await;
        events.on_event(Event::ClosedByPeer { connection }, None);
    }
}
