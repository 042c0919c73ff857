//! Asks the kernel whether a process still has one end of a TCP connection open.
//!
//! The kernel is asked for that one connection (`sock_diag(7)`). Its table of all connections takes tens of milliseconds to
//! read where other programs of the machine have left many, and is read only if it cannot be asked otherwise.

use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use netlink_sys::Socket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Value of a socket id's cookie that matches any socket.
const ANY_COOKIE: [u8; 8] = [0xff; 8];
/// Longest answer, bytes.
const MAX_ANSWER_BYTES: usize = 4096;
/// Index of the inode among the columns of `/proc/net/tcp`.
const INODE_COLUMN: usize = 9;
/// The inode that `/proc/net/tcp` shows for a socket that no process has open.
const NO_INODE: &str = "0";

/// Whether a process has the end of a connection open, given by its own address and that of the other end. Its end shows
/// here before it has arrived at the other end.
pub(crate) fn is_open(own: SocketAddr, other: SocketAddr) -> bool {
    is_open_by_diagnostics(own, other).unwrap_or_else(|_| is_open_by_table(own, other))
}

/// Asks for the one connection.
fn is_open_by_diagnostics(own: SocketAddr, other: SocketAddr) -> io::Result<bool> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.bind_auto()?;
    socket.connect(&netlink_sys::SocketAddr::new(0, 0))?;
    socket.send(&request(own, other), 0)?;
    let mut answer = Vec::with_capacity(MAX_ANSWER_BYTES);
    socket.recv(&mut answer, 0)?;
    let answer = NetlinkMessage::<SockDiagMessage>::deserialize(&answer)
        .map_err(|error| io::Error::new(ErrorKind::InvalidData, error.to_string()))?;
    match answer.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
            let id = &response.header.socket_id;
            // Where the connection is gone, a listener at its address may be found in its place.
            let is_connection = id.destination_port == other.port();
            Ok(is_connection && response.header.inode != 0)
        }
        NetlinkPayload::Error(error) => match error.to_io() {
            error if error.kind() == ErrorKind::NotFound => Ok(false),
            error => Err(error),
        },
        _ => Err(ErrorKind::InvalidData.into()),
    }
}

/// The bytes of a request for one connection.
fn request(own: SocketAddr, other: SocketAddr) -> Vec<u8> {
    let socket_id = SocketId {
        source_port: own.port(),
        destination_port: other.port(),
        source_address: own.ip(),
        destination_address: other.ip(),
        interface_id: 0,
        cookie: ANY_COOKIE,
    };
    let request = InetRequest {
        family: AF_INET,
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

/// Reads the table of all connections.
fn is_open_by_table(own: SocketAddr, other: SocketAddr) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let (own, other) = (table_address(own), table_address(other));
    table.lines().any(|line| {
        let columns: Vec<&str> = line.split_ascii_whitespace().collect();
        let is_connection = columns.get(1) == Some(&&*own) && columns.get(2) == Some(&&*other);
        is_connection && columns.get(INODE_COLUMN) != Some(&NO_INODE)
    })
}

/// An IPv4 address as `/proc/net/tcp` shows it.
fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        return String::new();
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

#[cfg(test)]
mod tests;
