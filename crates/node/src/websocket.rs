//! WebSocket (RFC 6455): relays frames between a client and a server, as the table and the scanners of
//! `saffronpaddle-websocket` decide. It makes no policy.

mod relay;

pub use relay::relay;

use crate::alarm::Alarm;
use crate::clock::Clock;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use saffronpaddle_policy::interface::{ClassId, CustomerId, Micros, ServerId};
use saffronpaddle_websocket::frames::Rules;
use saffronpaddle_websocket::table::{Command, Shut, SocketId, Sockets};
use saffronpaddle_websocket::upgrade::{self, Switch};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// An upgrade that a server has agreed to: its connection, and what followed its response.
#[derive(Debug)]
pub struct UpgradedConnection {
    /// The client's key.
    pub key: HeaderValue,
    /// What the server agreed to.
    pub switch: Switch,
    /// The server.
    pub server: ServerId,
    /// The connection to it.
    pub stream: TcpStream,
    /// Bytes that followed its response.
    pub early: Bytes,
}

impl UpgradedConnection {
    /// The headers of the client's response.
    pub fn accepted(&self) -> HeaderMap {
        upgrade::accepted(&self.key, &self.switch)
    }
}

/// What a relay is to do.
#[derive(Default)]
struct RelayControl {
    close: RefCell<Option<(u16, String)>>,
    /// When nothing may be written to the server any more, µs.
    by: Cell<Option<Micros>>,
    ping: [Cell<bool>; 2],
    cut: Cell<bool>,
    changed: Notify,
}

/// All web sockets of a node.
pub struct WebsocketProxy {
    /// The class of upgrade requests.
    pub class: ClassId,
    clock: Clock,
    settings: saffronpaddle_operator_config::Sockets,
    table: RefCell<Sockets>,
    relays: RefCell<HashMap<SocketId, Rc<RelayControl>>>,
    /// Each server's address, as the endpoint list last had it.
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    alarm: Alarm,
    over: Notify,
}

/// A permit for one socket, for as long as an upgrade or its socket has it.
pub struct WebsocketPermit {
    proxy: Rc<WebsocketProxy>,
    id: SocketId,
}

impl Drop for WebsocketPermit {
    fn drop(&mut self) {
        self.proxy.relays.borrow_mut().remove(&self.id);
        self.proxy.table.borrow_mut().ended(self.id);
        self.proxy.over.notify_one();
    }
}

impl WebsocketProxy {
    /// No sockets yet.
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
            over: Notify::new(),
        }
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Admits an upgrade of a customer whose node subset has this size.
    ///
    /// # Errors
    /// Why it is rejected, and when it may be tried again.
    pub fn admit(
        self: &Rc<Self>,
        customer: CustomerId,
        subset_size: u32,
    ) -> Result<WebsocketPermit, Shut> {
        let id = self
            .table
            .borrow_mut()
            .admit(self.now(), customer, subset_size)?;
        Ok(WebsocketPermit {
            proxy: Rc::clone(self),
            id,
        })
    }

    /// Applies endpoints: sockets are closed whose server is not ready any more, or has moved.
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
            self.carry_out(commands);
        }
    }

    /// The node stops: all sockets are drained.
    pub fn stop(&self) {
        let commands = self.table.borrow_mut().stop(self.now());
        self.carry_out(commands);
    }

    /// Returns when there is no socket.
    pub async fn all_closed(&self) {
        while self.table.borrow().count() > 0 {
            self.over.notified().await;
        }
    }

    fn carry_out(&self, commands: Vec<Command>) {
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
                Command::Drain(_, code, reason, by) => {
                    control.by.set(Some(by));
                    control.close.borrow_mut().replace((code, reason));
                }
                Command::Ping(_, side) => control.ping[side as usize].set(true),
                Command::Cut(_) => control.cut.set(true),
            }
            control.changed.notify_one();
        }
        drop(relays);
        self.set();
    }

    fn set(&self) {
        self.alarm.set(self.table.borrow().next_alarm());
    }

    /// A socket's closing handshake has begun.
    fn on_close_started(&self, id: SocketId) {
        self.table.borrow_mut().closes(self.now(), id);
        self.set();
    }

    /// Fires the table's timer when it is due, for ever.
    pub async fn run_timer(&self) {
        loop {
            self.alarm
                .rings(|| self.table.borrow().next_alarm(), || self.now())
                .await;
            let commands = self.table.borrow_mut().tick(self.now());
            self.carry_out(commands);
        }
    }

    fn rules(&self, switch: &Switch) -> Rules {
        Rules {
            frame_most: self.settings.frame_most,
            message_most: self.settings.message_most,
            deflate: switch.deflate,
            utf8: self.settings.utf8,
        }
    }
}
