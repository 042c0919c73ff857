//! WebSocket (RFC 6455): relays frames between clients and servers. The socket table and the frame scanners of
//! `saffronpaddle-websocket` make all decisions.

mod relay;

pub use relay::relay;

use crate::alarm::Alarm;
use crate::clock::Clock;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use saffronpaddle_policy::interface::{ClassId, CustomerId, Micros, ServerId};
use saffronpaddle_websocket::frames::Rules;
use saffronpaddle_websocket::table::{AdmissionError, Command, SocketId, Sockets};
use saffronpaddle_websocket::upgrade::{self, AgreedUpgrade};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// An upgrade that a server has accepted, with the connection to that server.
#[derive(Debug)]
pub struct UpgradedConnection {
    /// The value of `Sec-WebSocket-Key` in the client's request.
    pub key: HeaderValue,
    /// The subprotocol and extensions that the server accepted.
    pub agreed: AgreedUpgrade,
    /// The server that accepted the upgrade.
    pub server: ServerId,
    /// The connection to that server.
    pub stream: TcpStream,
    /// Bytes received after the head of the server's response.
    pub buffered: Bytes,
}

impl UpgradedConnection {
    /// Headers of the 101 response to the client, other than `Connection` and `Upgrade`.
    pub fn accepted(&self) -> HeaderMap {
        upgrade::accepted(&self.key, &self.agreed)
    }
}

/// Requests from the table to the relay of one socket.
#[derive(Default)]
struct RelayControl {
    /// Code and reason of the close frames to send.
    close: RefCell<Option<(u16, String)>>,
    /// Nothing may be written to the server from this time on, µs.
    drain_deadline: Cell<Option<Micros>>,
    /// By side: send a ping.
    ping: [Cell<bool>; 2],
    /// End the socket without a closing handshake.
    abort: Cell<bool>,
    /// Notified after each change of the other fields.
    changed: Notify,
}

/// All WebSocket connections of a node.
pub struct WebsocketProxy {
    /// The class that upgrade requests must name.
    pub class: ClassId,
    clock: Clock,
    settings: saffronpaddle_operator_config::Sockets,
    table: RefCell<Sockets>,
    relays: RefCell<HashMap<SocketId, Rc<RelayControl>>>,
    /// The address of each ready server, according to the latest endpoint list.
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    alarm: Alarm,
    /// Notified when a permit is dropped.
    permit_released: Notify,
}

/// A permit for one socket, held by the upgrade request and then by the socket. Dropping it frees its place in the
/// table.
pub struct WebsocketPermit {
    proxy: Rc<WebsocketProxy>,
    id: SocketId,
}

impl Drop for WebsocketPermit {
    fn drop(&mut self) {
        self.proxy.relays.borrow_mut().remove(&self.id);
        self.proxy.table.borrow_mut().on_ended(self.id);
        self.proxy.permit_released.notify_one();
    }
}

impl WebsocketProxy {
    /// Creates a proxy without sockets.
    pub fn new(
        class: ClassId,
        settings: saffronpaddle_operator_config::Sockets,
        clock: Clock,
    ) -> WebsocketProxy {
        let table = Sockets::new(settings.limits.clone(), clock.now());
        WebsocketProxy {
            class,
            clock,
            table: RefCell::new(table),
            settings,
            relays: RefCell::default(),
            addresses: RefCell::default(),
            alarm: Alarm::new(),
            permit_released: Notify::new(),
        }
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Admits an upgrade of a customer. `subset_size`: number of nodes in the customer's node subset.
    ///
    /// # Errors
    /// The reason of the rejection, and the time after which the client may retry.
    pub fn admit(
        self: &Rc<Self>,
        customer: CustomerId,
        subset_size: u32,
    ) -> Result<WebsocketPermit, AdmissionError> {
        let id = self
            .table
            .borrow_mut()
            .admit(self.now(), customer, subset_size)?;
        Ok(WebsocketPermit {
            proxy: Rc::clone(self),
            id,
        })
    }

    /// Applies an endpoint update. Closes the sockets whose server is no longer ready or has another address. A
    /// `snapshot` also removes the servers that it does not list.
    pub fn on_endpoints(
        &self,
        snapshot: bool,
        servers: impl Iterator<Item = (ServerId, bool, SocketAddr)>,
    ) {
        let now = self.now();
        let mut addresses = self.addresses.borrow_mut();
        let (mut changes, mut listed) = (Vec::new(), HashSet::new());
        for (server, ready, address) in servers {
            let previous = if ready {
                addresses.insert(server, address)
            } else {
                addresses.remove(&server)
            };
            if !ready || previous.is_some_and(|previous| previous != address) {
                changes.push((server, false));
            }
            if ready {
                changes.push((server, true));
            }
            listed.insert(server);
        }
        if snapshot {
            changes.extend(
                addresses
                    .extract_if(|server, _| !listed.contains(server))
                    .map(|(server, _)| (server, false)),
            );
        }
        drop(addresses);
        for (server, ready) in changes {
            let commands = self.table.borrow_mut().on_server_status(now, server, ready);
            self.execute(commands);
        }
    }

    /// Drains all sockets because the node stops.
    pub fn stop(&self) {
        let commands = self.table.borrow_mut().stop(self.now());
        self.execute(commands);
    }

    /// Whether a permit is held.
    pub fn any_open(&self) -> bool {
        self.table.borrow().count() > 0
    }

    /// Waits until no permit is held.
    pub async fn all_closed(&self) {
        while self.any_open() {
            self.permit_released.notified().await;
        }
    }

    /// Passes the table's commands to the relays of their sockets.
    fn execute(&self, commands: Vec<Command>) {
        let relays = self.relays.borrow();
        for command in commands {
            let (Command::Close(id, ..)
            | Command::Drain(id, ..)
            | Command::Ping(id, _)
            | Command::Cut(id)) = &command;
            let Some(control) = relays.get(id) else {
                continue;
            };
            match command {
                Command::Close(_, code, reason) => {
                    _ = control.close.borrow_mut().insert((code, reason));
                }
                Command::Drain(_, code, reason, deadline) => {
                    control.drain_deadline.set(Some(deadline));
                    control.close.borrow_mut().replace((code, reason));
                }
                Command::Ping(_, side) => control.ping[side as usize].set(true),
                Command::Cut(_) => control.abort.set(true),
            }
            control.changed.notify_one();
        }
        drop(relays);
        self.arm_timer();
    }

    /// Sets the timer to the next deadline of the table.
    fn arm_timer(&self) {
        self.alarm.set(self.table.borrow().next_alarm());
    }

    /// Records that the closing handshake of a socket has started.
    fn on_close_started(&self, id: SocketId) {
        self.table.borrow_mut().on_close_started(self.now(), id);
        self.arm_timer();
    }

    /// Runs the table's timer. Never returns.
    pub async fn run_timer(&self) {
        loop {
            self.alarm
                .wait_until_due(|| self.table.borrow().next_alarm(), || self.now())
                .await;
            let commands = self.table.borrow_mut().tick(self.now());
            self.execute(commands);
        }
    }

    /// The frame rules of a socket with the extensions in `agreed`.
    fn rules(&self, agreed: &AgreedUpgrade) -> Rules {
        Rules {
            max_frame_bytes: self.settings.max_frame_bytes,
            max_message_bytes: self.settings.max_message_bytes,
            deflate: agreed.deflate,
            utf8: self.settings.utf8,
        }
    }
}
