//! Listeners that the process inherits: from the service manager (`sd_listen_fds(3)`) or from the platform
//! (`LB_LISTEN_FD`).

use listenfd::ListenFd;
use std::io;
use std::net::TcpListener;
use thiserror::Error;

/// Why an inherited listener cannot be used.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// The service manager passed listeners, but none of this name.
    #[error("the service manager passed no listener named {name:?}")]
    NotFound {
        /// The configured name.
        name: String,
        /// Why it was not found.
        source: ListenerNamesError,
    },
    /// The descriptor from the service manager is not a TCP listener.
    #[error("cannot use the listener passed by the service manager")]
    UnusableListener(#[source] io::Error),
    /// The listener from the service manager was already taken in this process.
    #[error("the listener passed by the service manager was already taken")]
    AlreadyTaken,
    /// `LB_LISTEN_FD` is not the number of a descriptor that can be inherited.
    #[error("LB_LISTEN_FD: {0:?} is not a descriptor number from 3 to 1023")]
    InvalidDescriptor(String),
    /// The descriptor in `LB_LISTEN_FD` is not a TCP listener.
    #[error("LB_LISTEN_FD: cannot use the descriptor as a TCP listener")]
    UnusableDescriptor(#[source] io::Error),
    /// The descriptor in `LB_LISTEN_FD` is not open.
    #[error("LB_LISTEN_FD: the descriptor is not open")]
    MissingDescriptor,
}

/// Why a listener cannot be found by `LISTEN_FDNAMES`.
#[derive(Debug, Error)]
pub enum ListenerNamesError {
    /// The name is not in the variable, whose value is given.
    #[error("LISTEN_FDNAMES is {0:?}")]
    Unknown(String),
    /// The name's position is beyond the last listener.
    #[error("LISTEN_FDNAMES has more names than listeners were passed")]
    TooManyNames,
}

/// Takes the listener of this name from those that the service manager passed; `None` if it passed none at all.
/// `LISTEN_FDNAMES` separates names by colons. Must be called before other threads run, because it removes environment
/// variables.
///
/// # Errors
/// The service manager passed listeners but none of this name, or it is not a TCP listener.
pub fn take(name: &str) -> Result<Option<TcpListener>, InheritedListenerError> {
    let names = std::env::var("LISTEN_FDNAMES").ok();
    let mut inherited = ListenFd::from_env();
    if inherited.len() == 0 {
        return Ok(None);
    }
    let index = listener_index(names.as_deref(), name, inherited.len()).map_err(|source| {
        InheritedListenerError::NotFound {
            name: name.to_owned(),
            source,
        }
    })?;
    let listener = inherited
        .take_tcp_listener(index)
        .map_err(InheritedListenerError::UnusableListener)?
        .ok_or(InheritedListenerError::AlreadyTaken)?;
    listener
        .set_nonblocking(true)
        .map_err(InheritedListenerError::UnusableListener)?;
    Ok(Some(listener))
}

/// Takes the clients' listener that the platform holds and every process of a node inherits. `descriptor` is the value
/// of `LB_LISTEN_FD`; the result is `None` if that is unset or empty. Must be called before other threads run.
///
/// # Errors
/// The value is not a descriptor number, or the descriptor is not a TCP listener.
pub fn take_platform_listener(
    descriptor: Option<&str>,
) -> Result<Option<TcpListener>, InheritedListenerError> {
    /// The first descriptor that can be inherited; those below are the standard streams.
    const FIRST_DESCRIPTOR: usize = 3;

    let Some(descriptor) = descriptor.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let number = descriptor
        .parse()
        .ok()
        .filter(|number| (FIRST_DESCRIPTOR..1024).contains(number));
    let number: usize =
        number.ok_or_else(|| InheritedListenerError::InvalidDescriptor(descriptor.to_owned()))?;
    // `listenfd` checks the type of the descriptor and takes ownership of it, but only of descriptors in the service
    // manager's variables.
    std::env::set_var("LISTEN_FDS", (number - FIRST_DESCRIPTOR + 1).to_string());
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    let mut inherited = ListenFd::from_env();
    let listener = inherited
        .take_tcp_listener(number - FIRST_DESCRIPTOR)
        .map_err(InheritedListenerError::UnusableDescriptor)?
        .ok_or(InheritedListenerError::MissingDescriptor)?;
    listener
        .set_nonblocking(true)
        .map_err(InheritedListenerError::UnusableDescriptor)?;
    Ok(Some(listener))
}

/// The index of a named listener among `count` listeners. Without names it is the first listener.
fn listener_index(
    names: Option<&str>,
    name: &str,
    count: usize,
) -> Result<usize, ListenerNamesError> {
    let Some(names) = names.filter(|names| !names.is_empty()) else {
        return Ok(0);
    };
    let index = names.split(':').position(|other| other == name);
    match index {
        None => Err(ListenerNamesError::Unknown(names.to_owned())),
        Some(index) if index >= count => Err(ListenerNamesError::TooManyNames),
        Some(index) => Ok(index),
    }
}

#[cfg(test)]
mod tests;
