//! A discovery agent that a test writes the endpoint list for.

use super::{Message, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;

/// A discovery agent that hands each watch to the test, which writes to it.
pub struct Discovery {
    /// Address of the agent.
    pub address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// Starts an agent.
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (sender, watches) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("TCP_NODELAY can be set");
                let head = Message::read(&mut BufReader::new(
                    stream.try_clone().expect("the socket can be cloned"),
                ));
                let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if let (Some(head), Ok(())) = (head, stream.write_all(chunked)) {
                    let _ = sender.send((head.start_line, stream));
                }
            }
        });
        Discovery { address, watches }
    }

    /// The next watch that the edge node opens: its request line, and the connection to write to.
    pub fn next_watch(&self) -> (String, TcpStream) {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("the node opens a watch")
    }
}

/// Writes a chunk of a watch in a single write. With several writes the kernel would hold back all but the first
/// until the other side has acknowledged it.
pub fn write_chunk(watch: &mut TcpStream, text: &str) {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    watch
        .write_all(chunk.as_bytes())
        .expect("the watch is open");
}

/// Writes a line of a watch.
pub fn write_list(watch: &mut TcpStream, list: &str) {
    write_chunk(watch, &format!("{list}\n"));
}

/// An entry of the list in discovery's format.
pub fn host_json(name: &str, dial: SocketAddr, block: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list in discovery's format.
pub fn list_json(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        hosts.join(",")
    )
}
