//! Listeners that the service manager hands over (`sd_listen_fds(3)`).

use anyhow::{ensure, Context, Result};
use listenfd::ListenFd;
use std::net::TcpListener;

/// The listener of a name among those handed over; `None` where none was handed over at all. Names are joined by
/// colons, as `LISTEN_FDNAMES` has them. To be called before other threads run: it takes the variables away.
///
/// # Errors
/// Listeners were handed over, but not this one, or it is no TCP listener.
pub fn take(name: &str) -> Result<Option<TcpListener>> {
    let names = std::env::var("LISTEN_FDNAMES").ok();
    let mut handed = ListenFd::from_env();
    if handed.len() == 0 {
        return Ok(None);
    }
    let place = place(names.as_deref(), name, handed.len());
    let place = place.with_context(|| format!("no listener named {name:?} was handed over"))?;
    let listener = handed
        .take_tcp_listener(place)
        .context("the listener handed over")?;
    let listener = listener.context("the listener handed over was taken before")?;
    listener
        .set_nonblocking(true)
        .context("the listener handed over")?;
    Ok(Some(listener))
}

/// The clients' listener that the platform holds and every process of a node inherits, by the descriptor that it names;
/// `None` where it names none. To be called before other threads run.
///
/// # Errors
/// What it names is no descriptor, or no TCP listener.
pub fn inherited(descriptor: Option<&str>) -> Result<Option<TcpListener>> {
    /// Where handed-over descriptors begin.
    const FIRST: usize = 3;
    let Some(descriptor) = descriptor.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let number = descriptor
        .parse()
        .ok()
        .filter(|number| (FIRST..1024).contains(number));
    let number: usize =
        number.with_context(|| format!("LB_LISTEN_FD: {descriptor:?} is no descriptor"))?;
    // The library checks what it is and takes it over; it is told in the service manager's way.
    std::env::set_var("LISTEN_FDS", (number - FIRST + 1).to_string());
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    let mut handed = ListenFd::from_env();
    let listener = handed
        .take_tcp_listener(number - FIRST)
        .context("LB_LISTEN_FD")?;
    let listener = listener.context("LB_LISTEN_FD: it is not there")?;
    listener.set_nonblocking(true).context("LB_LISTEN_FD")?;
    Ok(Some(listener))
}

/// Which of so many it is. Without names it is the first.
fn place(names: Option<&str>, name: &str, count: usize) -> Result<usize> {
    let Some(names) = names.filter(|names| !names.is_empty()) else {
        return Ok(0);
    };
    let place = names.split(':').position(|other| other == name);
    let place = place.with_context(|| format!("LISTEN_FDNAMES has {names:?}"))?;
    ensure!(
        place < count,
        "LISTEN_FDNAMES has more names than there are listeners"
    );
    Ok(place)
}

#[cfg(test)]
mod tests;
