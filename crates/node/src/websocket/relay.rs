//! One socket: relays frames between its client and its server until either closes.

use super::{RelayControl, UpgradedConnection, WebsocketPermit, WebsocketProxy};
use bytes::Bytes;
use saffronpaddle_netio::retry_interrupted;
use saffronpaddle_websocket::frames::{self, Scanner, Seen, Side};
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Most bytes that are read of one side at once; no more wait to be written to the other. It bounds memory where a
/// reader is slower than its writer: the writer is not read until all of it is written.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

thread_local! {
    /// The buffer that bytes are read to: one for all sockets, as an idle socket needs none.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_BUFFER_BYTES]);
}

/// Bytes from one side to the other.
struct Direction {
    scanner: Scanner,
    out: Vec<u8>,
    /// A close was written, or is about to be: nothing follows it.
    shut: bool,
}

/// One socket.
struct Relay {
    permit: WebsocketPermit,
    control: Rc<RelayControl>,
    /// By side: the client's, the server's.
    streams: [TcpStream; 2],
    /// By sender.
    directions: [Direction; 2],
    /// By side: it has ended, and is neither read nor written any more.
    ended: [bool; 2],
    /// By side: how it is to be closed.
    close: [Option<(u16, String)>; 2],
}

/// Relays until the socket is closed. `early`: bytes that the client sent before the relay began.
pub async fn relay(
    permit: WebsocketPermit,
    client: TcpStream,
    early: Bytes,
    upgraded: UpgradedConnection,
) {
    let websockets = Rc::clone(&permit.proxy);
    let UpgradedConnection {
        switch,
        server,
        stream,
        early: behind,
        ..
    } = upgraded;
    let rules = websockets.rules(&switch);
    let control = Rc::new(RelayControl::default());
    websockets
        .relays
        .borrow_mut()
        .insert(permit.id, Rc::clone(&control));
    let commands = websockets
        .table
        .borrow_mut()
        .opened(websockets.now(), permit.id, server);
    websockets.carry_out(commands);
    let direction = |side| Direction {
        scanner: Scanner::new(side, rules),
        out: Vec::new(),
        shut: false,
    };
    let mut relay = Relay {
        permit,
        control,
        streams: [client, stream],
        directions: [direction(Side::Client), direction(Side::Server)],
        ended: [false; 2],
        close: [None, None],
    };
    relay.on_bytes(&websockets, Side::Client, &early);
    relay.on_bytes(&websockets, Side::Server, &behind);
    // An idle socket keeps no buffer: these are parts of those that the heads were read to.
    drop((early, behind, switch));
    relay.run(&websockets).await;
}

impl Relay {
    async fn run(&mut self, websockets: &WebsocketProxy) {
        loop {
            self.take_close();
            // What was not written by the drain's deadline is not written any more, also where the loop is late.
            if self
                .control
                .by
                .get()
                .is_some_and(|by| websockets.now() >= by)
            {
                self.control.cut.set(true);
            }
            if self.control.cut.get() {
                break;
            }
            for to in [Side::Client, Side::Server] {
                self.insert_own_frames(to);
                self.write(websockets, to);
            }
            let written = self
                .directions
                .iter()
                .all(|direction| direction.out.is_empty());
            if self.is_over(Side::Client) && self.is_over(Side::Server) && written {
                break;
            }
            // Both sides have got their close. Other sockets have not, and come first.
            if written
                && self.control.by.get().is_some()
                && self.directions.iter().all(|direction| direction.shut)
            {
                self.control.changed.notified().await;
                continue;
            }
            let [client, server] = &self.streams;
            let reads = |side| self.reads(side);
            let writes = |to: Side| !self.directions[to.other() as usize].out.is_empty();
            tokio::select! {
                () = self.control.changed.notified() => {}
                _ = client.readable(), if reads(Side::Client) => self.read(websockets, Side::Client),
                _ = server.readable(), if reads(Side::Server) => self.read(websockets, Side::Server),
                _ = client.writable(), if writes(Side::Client) => {}
                _ = server.writable(), if writes(Side::Server) => {}
            }
        }
        // What the kernel still holds for the server would be sent after the drain's deadline: it is dropped with the
        // connection. A server that has answered the close is owed nothing.
        self.read(websockets, Side::Server);
        if self.control.cut.get() && !self.directions[Side::Server as usize].scanner.closed() {
            let _ = SockRef::from(&self.streams[Side::Server as usize])
                .set_linger(Some(Duration::ZERO));
        }
    }

    /// Whether nothing that a side sends counts any more.
    fn is_over(&self, side: Side) -> bool {
        self.directions[side as usize].scanner.closed() || self.ended[side as usize]
    }

    /// Whether a side is read: nothing of it waits to be written, or nothing will be.
    fn reads(&self, side: Side) -> bool {
        let direction = &self.directions[side as usize];
        !self.is_over(side) && (direction.out.is_empty() || direction.shut)
    }

    fn take_close(&mut self) {
        if let Some((code, reason)) = self.control.close.borrow_mut().take() {
            self.close
                .iter_mut()
                .for_each(|close| _ = close.get_or_insert((code, reason.clone())));
        }
    }

    /// Inserts the node's own frames for a side, where a frame of the other side ends.
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

    /// Reads once from a side.
    fn read(&mut self, websockets: &WebsocketProxy, from: Side) {
        READ_BUFFER.with_borrow_mut(|scratch| {
            match retry_interrupted(|| self.streams[from as usize].try_read(scratch)) {
                Ok(0) => self.end(websockets, from),
                Ok(length) => self.on_bytes(websockets, from, &scratch[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.end(websockets, from),
            }
        });
    }

    fn on_bytes(&mut self, websockets: &WebsocketProxy, from: Side, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let (mut seen, mut dropped) = (Vec::new(), Vec::new());
        let closing = self.close[from.other() as usize].is_some();
        let direction = &mut self.directions[from as usize];
        let scanned = if direction.shut {
            // It was sent a close: all that matters is that it answers.
            direction.scanner.scan(bytes, &mut dropped, &mut seen)
        } else if closing {
            // Only the rest of the current frame is relayed.
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
            .on_received(websockets.now(), self.permit.id, from, data);
        if seen.iter().any(|seen| matches!(seen, Seen::Close(_))) {
            // Where the node has not closed by itself, the close was relayed to the other side, which answers it.
            direction.shut = true;
            websockets.on_close_started(self.permit.id);
        }
        if let Err(fault) = scanned {
            self.close[from as usize].get_or_insert((fault.code, fault.why.to_owned()));
            self.fail_side(websockets, from);
        }
    }

    /// What a side sends from now on is ignored.
    fn fail_side(&mut self, websockets: &WebsocketProxy, side: Side) {
        // It is still sent the reason, while nothing more of it is read.
        self.insert_own_frames(side);
        self.write(websockets, side);
        self.end(websockets, side);
    }

    /// A side has ended: the other is closed.
    fn end(&mut self, websockets: &WebsocketProxy, side: Side) {
        self.ended[side as usize] = true;
        self.directions[side.other() as usize].out.clear();
        self.directions[side.other() as usize].shut = true;
        let why = "the other side is gone".to_owned();
        self.close[side.other() as usize].get_or_insert((1001, why));
        websockets.on_close_started(self.permit.id);
    }

    /// Writes what is queued for a side, as far as the kernel takes it.
    fn write(&mut self, websockets: &WebsocketProxy, to: Side) {
        let direction = &mut self.directions[to.other() as usize];
        let mut written = 0;
        while written < direction.out.len() {
            match retry_interrupted(|| {
                self.streams[to as usize].try_write(&direction.out[written..])
            }) {
                Ok(length) => written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.end(websockets, to),
            }
        }
        if written == direction.out.len() {
            // An idle socket keeps no buffer.
            direction.out = Vec::new();
        } else {
            direction.out.drain(..written);
        }
    }
}
