//! Relays the frames of one socket between its client and its server until either side closes.

use super::{RelayControl, UpgradedConnection, WebsocketPermit, WebsocketProxy};
use bytes::Bytes;
use saffronpaddle_netio::retry_interrupted;
use saffronpaddle_websocket::frames::{self, FrameEvent, Scanner, Side};
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Maximum number of bytes read from one side at a time. Bounds memory if the other side reads slowly: the next read
/// waits until all of these bytes are written.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

thread_local! {
    /// Read buffer shared by all sockets of the thread, so that an idle socket holds none.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_BUFFER_BYTES]);
}

/// The data flow from one side to the other.
struct Direction {
    scanner: Scanner,
    /// Bytes that wait to be written to the receiving side.
    pending: Vec<u8>,
    /// Nothing more is queued for the receiving side: a close frame was queued, or a side has ended.
    write_closed: bool,
}

/// The relay of one socket.
struct Relay {
    permit: WebsocketPermit,
    control: Rc<RelayControl>,
    /// Connections by side: client, server.
    streams: [TcpStream; 2],
    /// Data flows by sending side.
    directions: [Direction; 2],
    /// By side: whether its connection has ended, so that it is neither read nor written.
    ended: [bool; 2],
    /// By side: code and reason of the close frame to send to it.
    close: [Option<(u16, String)>; 2],
}

/// Relays frames until the socket is closed. `client_bytes`: bytes that the client sent before the relay started.
pub async fn relay(
    permit: WebsocketPermit,
    client: TcpStream,
    client_bytes: Bytes,
    upgraded: UpgradedConnection,
) {
    let websockets = Rc::clone(&permit.proxy);
    let UpgradedConnection {
        agreed,
        server,
        stream,
        buffered: server_bytes,
        ..
    } = upgraded;
    let rules = websockets.rules(&agreed);
    let control = Rc::new(RelayControl::default());
    websockets
        .relays
        .borrow_mut()
        .insert(permit.id, Rc::clone(&control));
    let commands = websockets
        .table
        .borrow_mut()
        .on_opened(websockets.now(), permit.id, server);
    websockets.execute(commands);
    let direction = |side| Direction {
        scanner: Scanner::new(side, rules),
        pending: Vec::new(),
        write_closed: false,
    };
    let mut relay = Relay {
        permit,
        control,
        streams: [client, stream],
        directions: [direction(Side::Client), direction(Side::Server)],
        ended: [false; 2],
        close: [None, None],
    };
    relay.on_bytes(&websockets, Side::Client, &client_bytes);
    relay.on_bytes(&websockets, Side::Server, &server_bytes);
    // These slices keep the buffers of the request and response heads alive, and an idle socket should hold no buffer.
    drop((client_bytes, server_bytes, agreed));
    relay.run(&websockets).await;
}

impl Relay {
    async fn run(&mut self, websockets: &WebsocketProxy) {
        loop {
            self.take_close_command();
            // Nothing is written to the server after the drain deadline, even if the event loop is delayed.
            if self
                .control
                .drain_deadline
                .get()
                .is_some_and(|deadline| websockets.now() >= deadline)
            {
                self.control.abort.set(true);
            }
            if self.control.abort.get() {
                break;
            }
            for to in [Side::Client, Side::Server] {
                self.insert_control_frames(to);
                self.write(websockets, to);
            }
            let all_written = self
                .directions
                .iter()
                .all(|direction| direction.pending.is_empty());
            if self.is_input_ended(Side::Client) && self.is_input_ended(Side::Server) && all_written
            {
                break;
            }
            // Both close frames are written. Other sockets that still have to write theirs take precedence.
            if all_written
                && self.control.drain_deadline.get().is_some()
                && self
                    .directions
                    .iter()
                    .all(|direction| direction.write_closed)
            {
                self.control.changed.notified().await;
                continue;
            }
            let [client, server] = &self.streams;
            let may_read = |side| self.may_read(side);
            let has_output = |to: Side| !self.directions[to.other() as usize].pending.is_empty();
            tokio::select! {
                () = self.control.changed.notified() => {}
                _ = client.readable(), if may_read(Side::Client) => self.read(websockets, Side::Client),
                _ = server.readable(), if may_read(Side::Server) => self.read(websockets, Side::Server),
                _ = client.writable(), if has_output(Side::Client) => {}
                _ = server.writable(), if has_output(Side::Server) => {}
            }
        }
        // The kernel would send buffered bytes to the server after the drain deadline. A reset discards them with the
        // connection. It is not needed if the server has answered the close.
        self.read(websockets, Side::Server);
        if self.control.abort.get() && !self.directions[Side::Server as usize].scanner.closed() {
            let _ = SockRef::from(&self.streams[Side::Server as usize])
                .set_linger(Some(Duration::ZERO));
        }
    }

    /// Whether a side has sent its close or its connection has ended, so that it is no longer read.
    fn is_input_ended(&self, side: Side) -> bool {
        self.directions[side as usize].scanner.closed() || self.ended[side as usize]
    }

    /// Whether a side may be read: its earlier bytes have been written, or its data is no longer forwarded.
    fn may_read(&self, side: Side) -> bool {
        let direction = &self.directions[side as usize];
        !self.is_input_ended(side) && (direction.pending.is_empty() || direction.write_closed)
    }

    /// Takes the table's close command, if any, for both sides. An earlier close reason of a side is kept.
    fn take_close_command(&mut self) {
        if let Some((code, reason)) = self.control.close.borrow_mut().take() {
            self.close
                .iter_mut()
                .for_each(|close| _ = close.get_or_insert((code, reason.clone())));
        }
    }

    /// Queues the node's own ping and close frames for a side, at a frame boundary of the data from the other side.
    fn insert_control_frames(&mut self, to: Side) {
        let direction = &mut self.directions[to.other() as usize];
        if direction.write_closed || self.ended[to as usize] || !direction.scanner.at_boundary() {
            return;
        }
        let mask = fastrand::u32(..).to_ne_bytes();
        if self.control.ping[to as usize].take() {
            direction.pending.extend(frames::ping(to, mask));
        }
        if let Some((code, reason)) = &self.close[to as usize] {
            direction
                .pending
                .extend(frames::close(to, *code, reason, mask));
            direction.write_closed = true;
        }
    }

    /// Reads once from a side.
    fn read(&mut self, websockets: &WebsocketProxy, from: Side) {
        READ_BUFFER.with_borrow_mut(|buffer| {
            match retry_interrupted(|| self.streams[from as usize].try_read(buffer)) {
                Ok(0) => self.end_side(websockets, from),
                Ok(length) => self.on_bytes(websockets, from, &buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => self.end_side(websockets, from),
            }
        });
    }

    fn on_bytes(&mut self, websockets: &WebsocketProxy, from: Side, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let (mut events, mut discarded) = (Vec::new(), Vec::new());
        let closing = self.close[from.other() as usize].is_some();
        let direction = &mut self.directions[from as usize];
        let scanned = if direction.write_closed {
            // The other side has been sent its last frame; this side's data is scanned only for its close.
            direction.scanner.scan(bytes, &mut discarded, &mut events)
        } else if closing {
            // Only the rest of the current frame is relayed.
            let mut bytes = bytes.iter();
            let mut scanned = Ok(());
            while !direction.scanner.at_boundary() && scanned.is_ok() {
                let Some(byte) = bytes.next() else { break };
                scanned = direction
                    .scanner
                    .scan(&[*byte], &mut direction.pending, &mut events);
            }
            scanned.and_then(|()| {
                direction
                    .scanner
                    .scan(bytes.as_slice(), &mut discarded, &mut events)
            })
        } else {
            direction
                .scanner
                .scan(bytes, &mut direction.pending, &mut events)
        };
        let data = events.contains(&FrameEvent::Data);
        websockets
            .table
            .borrow_mut()
            .on_received(websockets.now(), self.permit.id, from, data);
        if events
            .iter()
            .any(|event| matches!(event, FrameEvent::Close(_)))
        {
            // Unless the node started the close, the frame was relayed to the other side, which answers it.
            direction.write_closed = true;
            websockets.on_close_started(self.permit.id);
        }
        if let Err(fault) = scanned {
            self.close[from as usize].get_or_insert((fault.code, fault.reason.to_owned()));
            self.fail_side(websockets, from);
        }
    }

    /// Ends a side that has violated the protocol.
    fn fail_side(&mut self, websockets: &WebsocketProxy, side: Side) {
        // The side is still sent the close frame with the reason, and is no longer read.
        self.insert_control_frames(side);
        self.write(websockets, side);
        self.end_side(websockets, side);
    }

    /// Marks a side as ended and closes the other side.
    fn end_side(&mut self, websockets: &WebsocketProxy, side: Side) {
        self.ended[side as usize] = true;
        self.directions[side.other() as usize].pending.clear();
        self.directions[side.other() as usize].write_closed = true;
        let reason = "the other side is gone".to_owned();
        self.close[side.other() as usize].get_or_insert((1001, reason));
        websockets.on_close_started(self.permit.id);
    }

    /// Writes as much of the bytes queued for a side as the kernel accepts.
    fn write(&mut self, websockets: &WebsocketProxy, to: Side) {
        let direction = &mut self.directions[to.other() as usize];
        let mut written = 0;
        while written < direction.pending.len() {
            match retry_interrupted(|| {
                self.streams[to as usize].try_write(&direction.pending[written..])
            }) {
                Ok(length) => written += length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.end_side(websockets, to),
            }
        }
        if written == direction.pending.len() {
            // Frees the allocation, because an idle socket should hold no buffer.
            direction.pending = Vec::new();
        } else {
            direction.pending.drain(..written);
        }
    }
}
