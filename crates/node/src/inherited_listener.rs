//! Listeners that the service manager hands over (`sd_listen_fds(3)`).

use listenfd::ListenFd;
use std::io;
use std::net::TcpListener;
use thiserror::Error;

/// Why a listener that was handed over cannot be used.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// Listeners were handed over, but not the one of this name.
    #[error("no listener named {name:?} was handed over")]
    NotFound {
        /// The name that was looked for.
        name: String,
        /// Why it was not found.
        source: ListenerNamesError,
    },
    /// It is no TCP listener.
    #[error("the listener handed over")]
    Unusable(#[source] io::Error),
    /// Somebody else has taken it.
    #[error("the listener handed over was taken before")]
    Taken,
    /// `LB_LISTEN_FD` is not the number of a descriptor that can be handed over.
    #[error("LB_LISTEN_FD: {0:?} is no descriptor")]
    NoDescriptor(String),
    /// `LB_LISTEN_FD` names what is no TCP listener.
    #[error("LB_LISTEN_FD")]
    UnusableDescriptor(#[source] io::Error),
    /// `LB_LISTEN_FD` names a descriptor that is not open.
    #[error("LB_LISTEN_FD: it is not there")]
    MissingDescriptor,
}

/// Why the names of listeners do not help.
#[derive(Debug, Error)]
pub enum ListenerNamesError {
    /// The name is not among them.
    #[error("LISTEN_FDNAMES has {0:?}")]
    Unknown(String),
    /// The name stands where there is no listener.
    #[error("LISTEN_FDNAMES has more names than there are listeners")]
    TooMany,
}

/// The listener of a name among those handed over; `None` where none was handed over at all. Names are joined by
/// colons, as `LISTEN_FDNAMES` has them. To be called before other threads run: it takes the variables away.
///
/// # Errors
/// Listeners were handed over, but not this one, or it is no TCP listener.
pub fn take(name: &str) -> Result<Option<TcpListener>, InheritedListenerError> {
    let names = std::env::var("LISTEN_FDNAMES").ok();
    let mut handed = ListenFd::from_env();
    if handed.len() == 0 {
        return Ok(None);
    }
    let place = place(names.as_deref(), name, handed.len()).map_err(|source| {
        InheritedListenerError::NotFound {
            name: name.to_owned(),
            source,
        }
    })?;
    let listener = handed
        .take_tcp_listener(place)
        .map_err(InheritedListenerError::Unusable)?
        .ok_or(InheritedListenerError::Taken)?;
    listener
        .set_nonblocking(true)
        .map_err(InheritedListenerError::Unusable)?;
    Ok(Some(listener))
}

/// The clients' listener that the platform holds and every process of a node inherits, by the descriptor that it names;
/// `None` where it names none. To be called before other threads run.
///
/// # Errors
/// What it names is no descriptor, or no TCP listener.
pub fn inherited(descriptor: Option<&str>) -> Result<Option<TcpListener>, InheritedListenerError> {
    /// The first descriptor that can be handed over.
    const FIRST: usize = 3;
    let Some(descriptor) = descriptor.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let number = descriptor
        .parse()
        .ok()
        .filter(|number| (FIRST..1024).contains(number));
    let number: usize =
        number.ok_or_else(|| InheritedListenerError::NoDescriptor(descriptor.to_owned()))?;
    // The library checks what it is and takes it over; it reads the service manager's variables.
    std::env::set_var("LISTEN_FDS", (number - FIRST + 1).to_string());
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    let mut handed = ListenFd::from_env();
    let listener = handed
        .take_tcp_listener(number - FIRST)
        .map_err(InheritedListenerError::UnusableDescriptor)?
        .ok_or(InheritedListenerError::MissingDescriptor)?;
    listener
        .set_nonblocking(true)
        .map_err(InheritedListenerError::UnusableDescriptor)?;
    Ok(Some(listener))
}

/// The place of a name among so many listeners. Without names it is the first.
fn place(names: Option<&str>, name: &str, count: usize) -> Result<usize, ListenerNamesError> {
    let Some(names) = names.filter(|names| !names.is_empty()) else {
        return Ok(0);
    };
    let place = names.split(':').position(|other| other == name);
    match place {
        None => Err(ListenerNamesError::Unknown(names.to_owned())),
        Some(place) if place >= count => Err(ListenerNamesError::TooMany),
        Some(place) => Ok(place),
    }
}

#[cfg(test)]
mod tests;
