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
const BUFFER_MOST: usize = 16 * 1024;

thread_local! {
    /// Where bytes are read to: one buffer for all sockets, none for each that is idle.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; BUFFER_MOST]);
}

/// An upgrade that a server has agreed to: its connection, and what came right behind its answer.
#[derive(Debug)]
pub struct Switched {
    /// The client's key, and what the server agreed to.
    pub key: HeaderValue,
    pub switch: Switch,
    pub server: ServerId,
    pub stream: TcpStream,
    pub early: Bytes,
}

impl Switched {
    /// The headers of the client's answer.
    pub fn accepted(&self) -> HeaderMap {
        upgrade::accepted(&self.key, &self.switch)
    }
}

/// What a relay is told.
#[derive(Default)]
struct Control {
    close: RefCell<Option<(u16, String)>>,
    /// When nothing may be written to the server any more.
    by: Cell<Option<Micros>>,
    ping: [Cell<bool>; 2],
    cut: Cell<bool>,
    word: Notify,
}

/// All sockets of a node.
pub struct Front {
    pub class: ClassId,
    says: saffronpaddle_operator_config::Sockets,
    table: RefCell<Sockets>,
    relays: RefCell<HashMap<SocketId, Rc<Control>>>,
    /// Where each server was, as the list had it last.
    dials: RefCell<HashMap<ServerId, SocketAddr>>,
    alarm: Alarm,
    over: Notify,
}

/// A place among the sockets, for as long as an upgrade or its socket has it.
pub struct Place {
    node: Rc<Node>,
    id: SocketId,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(front) = &self.node.front {
            front.relays.borrow_mut().remove(&self.id);
            front.table.borrow_mut().ended(self.id);
            front.over.notify_one();
        }
    }
}

impl Front {
    pub fn new(class: ClassId, says: saffronpaddle_operator_config::Sockets, now: Micros) -> Front {
        Front {
            class,
            table: RefCell::new(Sockets::new(says.limits.clone(), now)),
            says,
            relays: RefCell::default(),
            dials: RefCell::default(),
            alarm: Alarm::new(),
            over: Notify::new(),
        }
    }

    /// Lets an upgrade in, or not.
    pub fn admit(&self, node: &Rc<Node>, customer: CustomerId, spread: u32) -> Result<Place, Shut> {
        let id = self
            .table
            .borrow_mut()
            .admit(node.now(), customer, spread)?;
        Ok(Place {
            node: Rc::clone(node),
            id,
        })
    }

    /// Follows the list: who is not ready any more, or has moved, loses its sockets.
    pub fn listed(
        &self,
        now: Micros,
        whole: bool,
        servers: impl Iterator<Item = (ServerId, bool, SocketAddr)>,
    ) {
        let mut dials = self.dials.borrow_mut();
        let (mut words, mut named) = (Vec::new(), HashSet::new());
        for (server, ready, dial) in servers {
            let old = if ready {
                dials.insert(server, dial)
            } else {
                dials.remove(&server)
            };
            if !ready || old.is_some_and(|old| old != dial) {
                words.push((server, false));
            }
            if ready {
                words.push((server, true));
            }
            named.insert(server);
        }
        if whole {
            words.extend(
                dials
                    .extract_if(|server, _| !named.contains(server))
                    .map(|(server, _)| (server, false)),
            );
        }
        drop(dials);
        for (server, ready) in words {
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
    pub async fn all_over(&self) {
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
            control.word.notify_one();
        }
        drop(relays);
        self.set();
    }

    fn set(&self) {
        self.alarm.set(self.table.borrow().next_alarm());
    }

    /// A socket's closing handshake has begun.
    fn closes(&self, now: Micros, id: SocketId) {
        self.table.borrow_mut().closes(now, id);
        self.set();
    }

    /// Rings when the table asks for it, for ever.
    pub async fn ring(&self, node: &Rc<Node>) {
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
            frame_most: self.says.frame_most,
            message_most: self.says.message_most,
            deflate: switch.deflate,
            utf8: self.says.utf8,
        }
    }
}

/// What goes from one side to the other.
struct Way {
    scanner: Scanner,
    out: Vec<u8>,
    /// A close has gone, or is about to: nothing comes after it.
    shut: bool,
}

/// One socket.
struct Relay {
    place: Place,
    control: Rc<Control>,
    /// By side: the client's, the server's.
    streams: [TcpStream; 2],
    /// By who speaks.
    ways: [Way; 2],
    /// By side: it has ended, and neither says nor hears anything more.
    ended: [bool; 2],
    /// By side: how it is to be closed.
    close: [Option<(u16, String)>; 2],
}

/// Relays until the socket is over. Early bytes are those that came before the relay began.
pub async fn relay(place: Place, client: TcpStream, early: Bytes, switched: Switched) {
    let node = Rc::clone(&place.node);
    let Some(front) = &node.front else { return };
    let Switched {
        switch,
        server,
        stream,
        early: behind,
        ..
    } = switched;
    let rules = front.rules(&switch);
    let control = Rc::new(Control::default());
    front
        .relays
        .borrow_mut()
        .insert(place.id, Rc::clone(&control));
    let commands = front
        .table
        .borrow_mut()
        .opened(node.now(), place.id, server);
    front.carry_out(commands);
    let way = |side| Way {
        scanner: Scanner::new(side, rules),
        out: Vec::new(),
        shut: false,
    };
    let mut relay = Relay {
        place,
        control,
        streams: [client, stream],
        ways: [way(Side::Client), way(Side::Server)],
        ended: [false; 2],
        close: [None, None],
    };
    relay.came(&node, front, Side::Client, &early);
    relay.came(&node, front, Side::Server, &behind);
    // An idle socket holds no buffer: these are parts of those that the heads were read to.
    drop((early, behind, switch));
    relay.run(&node, front).await;
}

impl Relay {
    async fn run(&mut self, node: &Rc<Node>, front: &Front) {
        loop {
            self.obey();
            // Guards the drain where the loop is late: what was not written in time is not written.
            if self.control.by.get().is_some_and(|by| node.now() >= by) {
                self.control.cut.set(true);
            }
            if self.control.cut.get() {
                break;
            }
            for to in [Side::Client, Side::Server] {
                self.put_in(to);
                self.write(node, front, to);
            }
            let over =
                |side: Side| self.ways[side as usize].scanner.closed() || self.ended[side as usize];
            let written = self.ways.iter().all(|way| way.out.is_empty());
            if over(Side::Client) && over(Side::Server) && written {
                break;
            }
            // Both have been told: others are still to be, and that comes first.
            if written && self.control.by.get().is_some() && self.ways.iter().all(|way| way.shut) {
                self.control.word.notified().await;
                continue;
            }
            let [client, server] = &self.streams;
            let reads = |side: Side| {
                let way = &self.ways[side as usize];
                !self.ended[side as usize]
                    && !way.scanner.closed()
                    && (way.out.is_empty() || way.shut)
            };
            let writes = |to: Side| !self.ways[to.other() as usize].out.is_empty();
            tokio::select! {
                () = self.control.word.notified() => {}
                _ = client.readable(), if reads(Side::Client) => self.read(node, front, Side::Client),
                _ = server.readable(), if reads(Side::Server) => self.read(node, front, Side::Server),
                _ = client.writable(), if writes(Side::Client) => {}
                _ = server.writable(), if writes(Side::Server) => {}
            }
        }
        // Guards the drain: what the machine still holds for the server is dropped with the connection. One that has
        // answered the close holds nothing.
        self.read(node, front, Side::Server);
        if self.control.cut.get() && !self.ways[Side::Server as usize].scanner.closed() {
            let _ = SockRef::from(&self.streams[Side::Server as usize])
                .set_linger(Some(Duration::ZERO));
        }
    }

    fn obey(&mut self) {
        if let Some((code, reason)) = self.control.close.borrow_mut().take() {
            self.close
                .iter_mut()
                .for_each(|close| _ = close.get_or_insert((code, reason.clone())));
        }
    }

    /// Puts in the node's own frames for a side, where a frame of the other's ends.
    fn put_in(&mut self, to: Side) {
        let way = &mut self.ways[to.other() as usize];
        if way.shut || self.ended[to as usize] || !way.scanner.at_boundary() {
            return;
        }
        let mask = fastrand::u32(..).to_ne_bytes();
        if self.control.ping[to as usize].take() {
            way.out.extend(frames::ping(to, mask));
        }
        if let Some((code, reason)) = &self.close[to as usize] {
            way.out.extend(frames::close(to, *code, reason, mask));
            way.shut = true;
        }
    }

    /// Reads once what a side says.
    fn read(&mut self, node: &Rc<Node>, front: &Front, from: Side) {
        SCRATCH.with_borrow_mut(|scratch| {
            match retry_interrupted(|| self.streams[from as usize].try_read(scratch)) {
                Ok(0) => self.end(node, front, from),
                Ok(length) => self.came(node, front, from, &scratch[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.end(node, front, from),
            }
        });
    }

    fn came(&mut self, node: &Rc<Node>, front: &Front, from: Side, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let (mut seen, mut dropped) = (Vec::new(), Vec::new());
        let closing = self.close[from.other() as usize].is_some();
        let way = &mut self.ways[from as usize];
        let scanned = if way.shut {
            // It has been told to close: all that counts now is that it does.
            way.scanner.scan(bytes, &mut dropped, &mut seen)
        } else if closing {
            // Only the rest of the frame that is under way goes on.
            let mut bytes = bytes.iter();
            let mut scanned = Ok(());
            while !way.scanner.at_boundary() && scanned.is_ok() {
                let Some(byte) = bytes.next() else { break };
                scanned = way.scanner.scan(&[*byte], &mut way.out, &mut seen);
            }
            scanned.and_then(|()| way.scanner.scan(bytes.as_slice(), &mut dropped, &mut seen))
        } else {
            way.scanner.scan(bytes, &mut way.out, &mut seen)
        };
        let data = seen.contains(&Seen::Data);
        front
            .table
            .borrow_mut()
            .heard(node.now(), self.place.id, from, data);
        if seen.iter().any(|seen| matches!(seen, Seen::Close(_))) {
            // Where the node has not closed by itself, the close has gone on to the other side, which answers it.
            way.shut = true;
            front.closes(node.now(), self.place.id);
        }
        if let Err(fault) = scanned {
            self.close[from as usize].get_or_insert((fault.code, fault.why.to_owned()));
            self.ended_badly(node, front, from);
        }
    }

    /// What a side says from now on means nothing.
    fn ended_badly(&mut self, node: &Rc<Node>, front: &Front, side: Side) {
        // It is still to be told why, and hears that while nothing more of it is read.
        self.put_in(side);
        self.write(node, front, side);
        self.end(node, front, side);
    }

    /// A side has ended: the other is told to go.
    fn end(&mut self, node: &Rc<Node>, front: &Front, side: Side) {
        self.ended[side as usize] = true;
        self.ways[side.other() as usize].out.clear();
        self.ways[side.other() as usize].shut = true;
        let why = "the other side is gone".to_owned();
        self.close[side.other() as usize].get_or_insert((1001, why));
        front.closes(node.now(), self.place.id);
    }

    /// Writes what there is for a side, as far as the machine takes it.
    fn write(&mut self, node: &Rc<Node>, front: &Front, to: Side) {
        let way = &mut self.ways[to.other() as usize];
        let mut written = 0;
        while written < way.out.len() {
            match retry_interrupted(|| self.streams[to as usize].try_write(&way.out[written..])) {
                Ok(length) => written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.end(node, front, to),
            }
        }
        if written == way.out.len() {
            // An idle socket holds no buffer.
            way.out = Vec::new();
        } else {
            way.out.drain(..written);
        }
    }
}
