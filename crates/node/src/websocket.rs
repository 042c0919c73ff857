//! WebSocket (RFC 6455): relays frames between a client and a server, as the table of sockets and the scanners of
//! `saffronpaddle-websocket` have it. It makes no policy.

use crate::alarm::Alarm;
use crate::node::Node;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use saffronpaddle_netio::retry_interrupted;
use saffronpaddle_policy::interface::{ClassId, CustomerId, Micros, ServerId};
use saffronpaddle_websocket::frames::{self, Rules, Scanner, Seen, Side};
use saffronpaddle_websocket::table::{Command, Shut, SocketId, Sockets};
use saffronpaddle_websocket::upgrade::{self, Switch};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Most bytes that are read of one side at once; no more wait to be written to the other. Guards memory against a reader
/// that is slower than its writer: the writer is not read until all of it is written.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

thread_local! {
    /// Where bytes are read to: one buffer for all sockets, none for each that is idle.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_BUFFER_BYTES]);
}

/// An upgrade that a server has agreed to: its connection, and what came right behind its answer.
#[derive(Debug)]
pub struct UpgradedConnection {
    /// The client's key, and what the server agreed to.
    pub key: HeaderValue,
    pub switch: Switch,
    pub server: ServerId,
    pub stream: TcpStream,
    pub early: Bytes,
}

impl UpgradedConnection {
    /// The headers of the client's answer.
    pub fn accepted(&self) -> HeaderMap {
        upgrade::accepted(&self.key, &self.switch)
    }
}

/// What a relay is told.
#[derive(Default)]
struct RelayControl {
    close: RefCell<Option<(u16, String)>>,
    /// When nothing may be written to the server any more.
    by: Cell<Option<Micros>>,
    ping: [Cell<bool>; 2],
    cut: Cell<bool>,
    changed: Notify,
}

/// All sockets of a node.
pub struct WebsocketProxy {
    pub class: ClassId,
    settings: saffronpaddle_operator_config::Sockets,
    table: RefCell<Sockets>,
    relays: RefCell<HashMap<SocketId, Rc<RelayControl>>>,
    /// Where each server was, as the list had it last.
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    alarm: Alarm,
    over: Notify,
}

/// A place among the sockets, for as long as an upgrade or its socket has it.
pub struct WebsocketPermit {
    node: Rc<Node>,
    id: SocketId,
}

impl Drop for WebsocketPermit {
    fn drop(&mut self) {
        if let Some(websockets) = &self.node.websockets {
            websockets.relays.borrow_mut().remove(&self.id);
            websockets.table.borrow_mut().ended(self.id);
            websockets.over.notify_one();
        }
    }
}

impl WebsocketProxy {
    pub fn new(
        class: ClassId,
        settings: saffronpaddle_operator_config::Sockets,
        now: Micros,
    ) -> WebsocketProxy {
        WebsocketProxy {
            class,
            table: RefCell::new(Sockets::new(settings.limits.clone(), now)),
            settings,
            relays: RefCell::default(),
            addresses: RefCell::default(),
            alarm: Alarm::new(),
            over: Notify::new(),
        }
    }

    /// Lets an upgrade in, or not.
    pub fn admit(
        &self,
        node: &Rc<Node>,
        customer: CustomerId,
        spread: u32,
    ) -> Result<WebsocketPermit, Shut> {
        let id = self
            .table
            .borrow_mut()
            .admit(node.now(), customer, spread)?;
        Ok(WebsocketPermit {
            node: Rc::clone(node),
            id,
        })
    }

    /// Follows the list: who is not ready any more, or has moved, loses its sockets.
    pub fn on_endpoints(
        &self,
        now: Micros,
        whole: bool,
        servers: impl Iterator<Item = (ServerId, bool, SocketAddr)>,
    ) {
        let mut addresses = self.addresses.borrow_mut();
        let (mut changes, mut named) = (Vec::new(), HashSet::new());
        for (server, ready, address) in servers {
            let old = if ready {
                addresses.insert(server, address)
            } else {
                addresses.remove(&server)
            };
            if !ready || old.is_some_and(|old| old != address) {
                changes.push((server, false));
            }
            if ready {
                changes.push((server, true));
            }
            named.insert(server);
        }
        if whole {
            changes.extend(
                addresses
                    .extract_if(|server, _| !named.contains(server))
                    .map(|(server, _)| (server, false)),
            );
        }
        drop(addresses);
        for (server, ready) in changes {
            let commands = self.table.borrow_mut().told(now, server, ready);
            self.carry_out(commands);
        }
    }

    /// The node leaves.
    pub fn stop(&self, now: Micros) {
        let commands = self.table.borrow_mut().stop(now);
        self.carry_out(commands);
    }

    /// Comes back when there is no socket.
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
    fn on_close_started(&self, now: Micros, id: SocketId) {
        self.table.borrow_mut().closes(now, id);
        self.set();
    }

    /// Rings when the table asks for it, for ever.
    pub async fn run_timer(&self, node: &Rc<Node>) {
        loop {
            self.alarm
                .rings(|| self.table.borrow().next_alarm(), || node.now())
                .await;
            let commands = self.table.borrow_mut().tick(node.now());
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

/// What goes from one side to the other.
struct Direction {
    scanner: Scanner,
    out: Vec<u8>,
    /// A close has gone, or is about to: nothing comes after it.
    shut: bool,
}

/// One socket.
struct Relay {
    place: WebsocketPermit,
    control: Rc<RelayControl>,
    /// By side: the client's, the server's.
    streams: [TcpStream; 2],
    /// By who speaks.
    directions: [Direction; 2],
    /// By side: it has ended, and neither says nor hears anything more.
    ended: [bool; 2],
    /// By side: how it is to be closed.
    close: [Option<(u16, String)>; 2],
}

/// Relays until the socket is over. Early bytes are those that came before the relay began.
pub async fn relay(
    place: WebsocketPermit,
    client: TcpStream,
    early: Bytes,
    switched: UpgradedConnection,
) {
    let node = Rc::clone(&place.node);
    let Some(websockets) = &node.websockets else {
        return;
    };
    let UpgradedConnection {
        switch,
        server,
        stream,
        early: behind,
        ..
    } = switched;
    let rules = websockets.rules(&switch);
    let control = Rc::new(RelayControl::default());
    websockets
        .relays
        .borrow_mut()
        .insert(place.id, Rc::clone(&control));
    let commands = websockets
        .table
        .borrow_mut()
        .opened(node.now(), place.id, server);
    websockets.carry_out(commands);
    let direction = |side| Direction {
        scanner: Scanner::new(side, rules),
        out: Vec::new(),
        shut: false,
    };
    let mut relay = Relay {
        place,
        control,
        streams: [client, stream],
        directions: [direction(Side::Client), direction(Side::Server)],
        ended: [false; 2],
        close: [None, None],
    };
    relay.on_bytes(&node, websockets, Side::Client, &early);
    relay.on_bytes(&node, websockets, Side::Server, &behind);
    // An idle socket holds no buffer: these are parts of those that the heads were read to.
    drop((early, behind, switch));
    relay.run(&node, websockets).await;
}

impl Relay {
    async fn run(&mut self, node: &Rc<Node>, websockets: &WebsocketProxy) {
        loop {
            self.take_close();
            // Guards the drain where the loop is late: what was not written in time is not written.
            if self.control.by.get().is_some_and(|by| node.now() >= by) {
                self.control.cut.set(true);
            }
            if self.control.cut.get() {
                break;
            }
            for to in [Side::Client, Side::Server] {
                self.insert_own_frames(to);
                self.write(node, websockets, to);
            }
            let over = |side: Side| {
                self.directions[side as usize].scanner.closed() || self.ended[side as usize]
            };
            let written = self
                .directions
                .iter()
                .all(|direction| direction.out.is_empty());
            if over(Side::Client) && over(Side::Server) && written {
                break;
            }
            // Both have been told: others are still to be, and that comes first.
            if written
                && self.control.by.get().is_some()
                && self.directions.iter().all(|direction| direction.shut)
            {
                self.control.changed.notified().await;
                continue;
            }
            let [client, server] = &self.streams;
            let reads = |side: Side| {
                let direction = &self.directions[side as usize];
                !self.ended[side as usize]
                    && !direction.scanner.closed()
                    && (direction.out.is_empty() || direction.shut)
            };
            let writes = |to: Side| !self.directions[to.other() as usize].out.is_empty();
            tokio::select! {
                () = self.control.changed.notified() => {}
                _ = client.readable(), if reads(Side::Client) => self.read(node, websockets, Side::Client),
                _ = server.readable(), if reads(Side::Server) => self.read(node, websockets, Side::Server),
                _ = client.writable(), if writes(Side::Client) => {}
                _ = server.writable(), if writes(Side::Server) => {}
            }
        }
        // Guards the drain: what the machine still holds for the server is dropped with the connection. One that has
        // answered the close holds nothing.
        self.read(node, websockets, Side::Server);
        if self.control.cut.get() && !self.directions[Side::Server as usize].scanner.closed() {
            let _ = SockRef::from(&self.streams[Side::Server as usize])
                .set_linger(Some(Duration::ZERO));
        }
    }

    fn take_close(&mut self) {
        if let Some((code, reason)) = self.control.close.borrow_mut().take() {
            self.close
                .iter_mut()
                .for_each(|close| _ = close.get_or_insert((code, reason.clone())));
        }
    }

    /// Puts in the node's own frames for a side, where a frame of the other's ends.
    fn insert_own_frames(&mut self, to: Side) {
        let direction = &mut self.directions[to.other() as usize];
        if direction.shut || self.ended[to as usize] || !direction.scanner.at_boundary() {
            return;
        }
        let mask = fastrand::u32(..).to_ne_bytes();
        if self.control.ping[to as usize].take() {
            direction.out.extend(frames::ping(to, mask));
        }
        if let Some((code, reason)) = &self.close[to as usize] {
            direction.out.extend(frames::close(to, *code, reason, mask));
            direction.shut = true;
        }
    }

    /// Reads once what a side says.
    fn read(&mut self, node: &Rc<Node>, websockets: &WebsocketProxy, from: Side) {
        READ_BUFFER.with_borrow_mut(|scratch| {
            match retry_interrupted(|| self.streams[from as usize].try_read(scratch)) {
                Ok(0) => self.end(node, websockets, from),
                Ok(length) => self.on_bytes(node, websockets, from, &scratch[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.end(node, websockets, from),
            }
        });
    }

    fn on_bytes(&mut self, node: &Rc<Node>, websockets: &WebsocketProxy, from: Side, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let (mut seen, mut dropped) = (Vec::new(), Vec::new());
        let closing = self.close[from.other() as usize].is_some();
        let direction = &mut self.directions[from as usize];
        let scanned = if direction.shut {
            // It has been told to close: all that counts now is that it does.
            direction.scanner.scan(bytes, &mut dropped, &mut seen)
        } else if closing {
            // Only the rest of the frame that is under way goes on.
            let mut bytes = bytes.iter();
            let mut scanned = Ok(());
            while !direction.scanner.at_boundary() && scanned.is_ok() {
                let Some(byte) = bytes.next() else { break };
                scanned = direction
                    .scanner
                    .scan(&[*byte], &mut direction.out, &mut seen);
            }
            scanned.and_then(|()| {
                direction
                    .scanner
                    .scan(bytes.as_slice(), &mut dropped, &mut seen)
            })
        } else {
            direction.scanner.scan(bytes, &mut direction.out, &mut seen)
        };
        let data = seen.contains(&Seen::Data);
        websockets
            .table
            .borrow_mut()
            .heard(node.now(), self.place.id, from, data);
        if seen.iter().any(|seen| matches!(seen, Seen::Close(_))) {
            // Where the node has not closed by itself, the close has gone on to the other side, which answers it.
            direction.shut = true;
            websockets.on_close_started(node.now(), self.place.id);
        }
        if let Err(fault) = scanned {
            self.close[from as usize].get_or_insert((fault.code, fault.why.to_owned()));
            self.fail_side(node, websockets, from);
        }
    }

    /// What a side says from now on means nothing.
    fn fail_side(&mut self, node: &Rc<Node>, websockets: &WebsocketProxy, side: Side) {
        // It is still to be told why, and hears that while nothing more of it is read.
        self.insert_own_frames(side);
        self.write(node, websockets, side);
        self.end(node, websockets, side);
    }

    /// A side has ended: the other is told to go.
    fn end(&mut self, node: &Rc<Node>, websockets: &WebsocketProxy, side: Side) {
        self.ended[side as usize] = true;
        self.directions[side.other() as usize].out.clear();
        self.directions[side.other() as usize].shut = true;
        let why = "the other side is gone".to_owned();
        self.close[side.other() as usize].get_or_insert((1001, why));
        websockets.on_close_started(node.now(), self.place.id);
    }

    /// Writes what there is for a side, as far as the machine takes it.
    fn write(&mut self, node: &Rc<Node>, websockets: &WebsocketProxy, to: Side) {
        let direction = &mut self.directions[to.other() as usize];
        let mut written = 0;
        while written < direction.out.len() {
            match retry_interrupted(|| {
                self.streams[to as usize].try_write(&direction.out[written..])
            }) {
                Ok(length) => written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.end(node, websockets, to),
            }
        }
        if written == direction.out.len() {
            // An idle socket holds no buffer.
            direction.out = Vec::new();
        } else {
            direction.out.drain(..written);
        }
    }
}
