//! App servers that follow a script and report the requests that they receive.

use super::{Message, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// How an app server responds to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes these bytes.
    Respond(&'static str),
    /// Writes these bytes and closes the connection.
    RespondAndClose(&'static str),
    /// Writes nothing and keeps the connection open.
    NoResponse,
}

/// Responds with status 200 and a body, and keeps the connection open.
pub const REPLY_OK: Reply = Reply::Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks");
/// Responds with status 500 and keeps the connection open.
pub const REPLY_ERROR: Reply = Reply::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
/// Responds with status 503 and the header that marks the request as not run, and keeps the connection open.
pub const REPLY_OVERLOADED: Reply =
    Reply::Respond("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");

/// A request that an app server received in full, with its connection.
pub struct ReceivedRequest {
    /// Name of the server.
    pub server: String,
    /// The request as the server read it.
    pub message: Message,
    /// Number of the connection at that server, from 0.
    pub connection: usize,
    /// Whether no earlier attempt of the request was still in flight.
    pub only_attempt: bool,
    /// The connection on which the request arrived; the test writes the response to it.
    pub stream: TcpStream,
}

/// Replies in order; the last one repeats.
pub type ReplyQueue = Arc<Mutex<Vec<Reply>>>;

/// Scripted app servers, which report the requests that they receive.
pub struct Servers {
    received: Receiver<ReceivedRequest>,
    sender: Sender<ReceivedRequest>,
    /// Attempts that were never answered, by the request's id.
    unanswered: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

impl Default for Servers {
    fn default() -> Self {
        Servers::new()
    }
}

impl Servers {
    /// Creates the double without any servers.
    pub fn new() -> Servers {
        let (sender, received) = mpsc::channel();
        Servers {
            received,
            sender,
            unanswered: Arc::default(),
        }
    }

    /// Starts a server with its own replies and returns its address.
    pub fn start(&self, name: &str, replies: &[Reply]) -> SocketAddr {
        self.start_with_queue(name, &Arc::new(Mutex::new(replies.to_vec())))
    }

    /// Starts a server that takes its replies from a queue shared with others, and returns its address.
    pub fn start_with_queue(&self, name: &str, reply_queue: &ReplyQueue) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let server = Server {
            name: name.to_owned(),
            reply_queue: Arc::clone(reply_queue),
            sender: self.sender.clone(),
            unanswered: Arc::clone(&self.unanswered),
        };
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                thread::spawn(move || server.serve(connection, stream));
            }
        });
        address
    }

    /// The next request that any of the servers has received.
    pub fn next_request(&self) -> ReceivedRequest {
        let received = self
            .received
            .recv_timeout(TEST_TIMEOUT)
            .expect("an app server receives a request");
        assert!(
            received.only_attempt,
            "two attempts of a request are in flight at once"
        );
        received
    }

    /// Discards all requests that were received and not fetched yet, and closes this side's handles of their
    /// connections.
    pub fn discard_requests(&self) {
        self.received.try_iter().for_each(drop);
    }

    /// Panics if a request was received and not fetched.
    pub fn assert_no_more_requests(&self) {
        assert!(
            self.received.try_recv().is_err(),
            "an app server received an unexpected request"
        );
    }
}

/// A scripted app server.
#[derive(Clone)]
struct Server {
    name: String,
    reply_queue: ReplyQueue,
    sender: Sender<ReceivedRequest>,
    unanswered: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

impl Server {
    /// Reports each request on a connection to the test, and replies to it.
    fn serve(&self, connection: usize, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Some(message) = Message::read(&mut reader) {
            let reply = {
                let mut reply_queue = self.reply_queue.lock().expect("the lock is not poisoned");
                if reply_queue.len() > 1 {
                    reply_queue.remove(0)
                } else {
                    reply_queue[0].clone()
                }
            };
            let id = message.header("x-request-id").to_owned();
            let mut unanswered = self.unanswered.lock().expect("the lock is not poisoned");
            let earlier = unanswered.iter().filter(|(other, _)| *other == id);
            let only_attempt = earlier.into_iter().all(|(_, stream)| is_closed(stream));
            if matches!(reply, Reply::NoResponse) {
                unanswered.push((id, stream.try_clone().expect("the socket can be cloned")));
            }
            drop(unanswered);
            let (server, handle) = (
                self.name.clone(),
                stream.try_clone().expect("the socket can be cloned"),
            );
            // The test may have ended.
            let _ = self.sender.send(ReceivedRequest {
                server,
                message,
                connection,
                only_attempt,
                stream: handle,
            });
            match reply {
                Reply::Respond(text) => stream.write_all(text.as_bytes()).unwrap_or(()),
                Reply::RespondAndClose(text) => {
                    stream.write_all(text.as_bytes()).unwrap_or(());
                    let _ = stream.shutdown(Shutdown::Both);
                }
                Reply::NoResponse => {}
            }
        }
    }
}

/// Waits up to [`TEST_TIMEOUT`] for the edge node to close a connection to an app server. Returns false only if it
/// sends data first: a time-out counts as closed.
pub fn wait_until_closed(received: &ReceivedRequest) -> bool {
    received
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the time-out can be set");
    matches!(received.stream.peek(&mut [0]), Ok(0) | Err(_))
}

/// Whether the edge node has closed a connection to an app server.
pub fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the mode can be set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("the mode can be set");
    matches!(peeked, Ok(0))
        || peeked.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
}
