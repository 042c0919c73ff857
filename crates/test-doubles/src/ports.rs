//! Addresses that only this process uses: a block of loopback addresses, claimed for the lifetime of the process.
//!
//! It guards against two runs on one machine that receive each other's messages, and against an ephemeral port that was
//! chosen for a process and then released: the kernel may assign it to another process while the first one starts or
//! restarts. All of 127.0.0.0/8 is loopback, so each process claims a 127.x.0.0/16 that no other process has.

use std::net::{Ipv4Addr, SocketAddr};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::UnixListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::OnceLock;

/// The second bytes of the addresses that processes may claim. 127.0.x.y is left to all other programs.
const BLOCKS: std::ops::RangeInclusive<u8> = 16..=250;
/// Number of addresses in a block: of each 256 the first and the last are not used.
const ADDRESSES_PER_BLOCK: u32 = 254 * 250;
/// Port of all addresses, below the range of ephemeral ports (`ip_local_port_range`).
const PORT: u16 = 7420;

/// A claim on a block: the name of an abstract socket, which is released when the process ends.
#[derive(Debug)]
struct Block {
    number: u8,
    _claim: UnixListener,
}

/// Claims a block. Fails if another process has claimed it.
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
/// All blocks are claimed: more than two hundred such processes run.
pub fn block() -> std::io::Result<u8> {
    static OWN_BLOCK: OnceLock<Option<Block>> = OnceLock::new();
    let claimed = OWN_BLOCK.get_or_init(|| {
        let count = BLOCKS.len() as u32;
        let from = std::process::id() % count;
        let mut numbers = (0..count).map(|step| BLOCKS.start() + ((from + step) % count) as u8);
        numbers.find_map(|number| claim(number).ok())
    });
    claimed
        .as_ref()
        .map(|block| block.number)
        .ok_or(std::io::ErrorKind::AddrInUse.into())
}

/// Reserves an address in this process's block, for datagrams or connections. No address is given twice, so it stays
/// free between two processes that bind it one after the other.
///
/// # Errors
/// No block is available, or all of its addresses are reserved.
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
