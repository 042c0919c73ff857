//! Addresses that are given away before they are bound.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first of the ports, below those that the machine hands out by itself (`ip_local_port_range`), and how many.
const FIRST: u16 = 12_000;
const SPAN: u16 = 18_000;
/// How far apart processes begin, and how many there are before they meet.
const APART: (u16, u32) = (2_000, 9);

/// An address on loopback that stays free between two processes that bind it one after the other, for datagrams or
/// connections, and is never given twice in one process. Danger: a port that the machine picked and got back, which it gives to
/// whoever asks next, while the process that it was meant for starts, or is dead for a moment.
///
/// # Errors
/// No port is free.
pub fn unclaimed() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = (std::process::id() % APART.1) as u16 * APART.0;
    let free = |address: &SocketAddr| UdpSocket::bind(address).is_ok() && TcpListener::bind(address).is_ok();
    let next = || FIRST + (base + NEXT.fetch_add(1, Ordering::Relaxed) % SPAN) % SPAN;
    let mut addresses = (0..SPAN).map(|_| SocketAddr::from((Ipv4Addr::LOCALHOST, next())));
    addresses.find(free).ok_or(std::io::ErrorKind::AddrInUse.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_address_is_given_twice_or_to_others_by_the_machine() {
        let all: std::collections::BTreeSet<_> = (0..200).map(|_| unclaimed().expect("a port")).collect();
        assert_eq!(all.len(), 200);
        assert!(all.iter().all(|address| (FIRST..FIRST + SPAN).contains(&address.port())));
    }
}
