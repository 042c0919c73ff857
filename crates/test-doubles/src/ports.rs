//! Addresses of this process alone: a block of loopback, claimed for as long as it lives.
//!
//! Danger that it guards against: two runs beside one another that take each other's words, and a port that the machine
//! picked and got back, which it gives to whoever asks next while the process that it was meant for starts, or is dead for
//! a moment. All of 127.0.0.0/8 is this machine's, so each process takes a 127.x.0.0/16 that no other has.

use std::net::{Ipv4Addr, SocketAddr};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::UnixListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::OnceLock;

/// The second byte of a block's addresses. 127.0.x.y is left to all others.
const BLOCKS: std::ops::RangeInclusive<u8> = 16..=250;
/// Addresses of a block; the first and the last of each 256 are left out.
const ADDRESSES_PER_BLOCK: u32 = 254 * 250;
/// The one port that is used, below those that the machine hands out by itself (`ip_local_port_range`).
const PORT: u16 = 7420;

/// What claims a block: an abstract socket's name, which ends with the process.
#[derive(Debug)]
struct Block {
    number: u8,
    _claim: UnixListener,
}

fn claim(number: u8) -> std::io::Result<Block> {
    let name = format!("saffronpaddle-loopback-{number}");
    let name = std::os::unix::net::SocketAddr::from_abstract_name(name)?;
    Ok(Block {
        number,
        _claim: UnixListener::bind_addr(&name)?,
    })
}

/// The block of this process: the second byte of its addresses.
///
/// # Errors
/// All blocks are taken: more than two hundred such processes run.
pub fn block() -> std::io::Result<u8> {
    static MINE: OnceLock<Option<Block>> = OnceLock::new();
    let claimed = MINE.get_or_init(|| {
        let many = BLOCKS.len() as u32;
        let from = std::process::id() % many;
        let mut numbers = (0..many).map(|step| BLOCKS.start() + ((from + step) % many) as u8);
        numbers.find_map(|number| claim(number).ok())
    });
    claimed
        .as_ref()
        .map(|block| block.number)
        .ok_or(std::io::ErrorKind::AddrInUse.into())
}

/// An address in this process's block, for datagrams or connections, which is never given twice: it stays free between
/// two processes that bind it one after the other.
///
/// # Errors
/// No block could be had, or all of its addresses were given.
pub fn reserve_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let block = block()?;
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    if next >= ADDRESSES_PER_BLOCK {
        return Err(std::io::ErrorKind::AddrNotAvailable.into());
    }
    let (high, low) = ((next / 254) as u8, (next % 254 + 1) as u8);
    Ok(SocketAddr::from((
        Ipv4Addr::new(127, block, high, low),
        PORT,
    )))
}

/// Whether an address is in this process's block.
pub fn is_own_address(address: SocketAddr) -> bool {
    let SocketAddr::V4(address) = address else {
        return false;
    };
    let [first, second, ..] = address.ip().octets();
    first == 127 && block().is_ok_and(|block| block == second)
}

#[cfg(test)]
mod tests;
