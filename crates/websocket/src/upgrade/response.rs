//! Responses of servers to upgrade requests.

use super::request::Offer;
use super::{connection_names_upgrade, items, joined, tokens, ListError};
use http::header::{
    HeaderMap, HeaderValue, SEC_WEBSOCKET_ACCEPT, SEC_WEBSOCKET_EXTENSIONS, SEC_WEBSOCKET_PROTOCOL,
    UPGRADE,
};
use std::fmt;
use tungstenite::handshake::derive_accept_key;

/// The extension that is passed through: with it, a message's first frame may have RSV1 set (RFC 7692, section 6).
const DEFLATE: &str = "permessage-deflate";

/// What a server agreed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Switch {
    /// The subprotocol, one of those offered.
    pub protocol: Option<HeaderValue>,
    /// The extensions, all of them offered.
    pub extensions: Option<HeaderValue>,
    /// Messages may be compressed.
    pub deflate: bool,
}

/// Why a server's response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchError {
    /// It upgrades to another protocol.
    OtherProtocol,
    /// Its `Connection` does not name the upgrade.
    NoConnectionUpgrade,
    /// Its `Sec-WebSocket-Accept` is not the one of the client's key.
    OtherAccept,
    /// Its subprotocol was not offered.
    SubprotocolNotOffered,
    /// Its extensions were not offered.
    ExtensionNotOffered,
    /// Its extensions are unknown to this node.
    UnknownExtension,
    /// Its list of subprotocols or extensions is too long.
    TooLong,
    /// Its list of subprotocols or extensions is malformed.
    Malformed,
}

impl fmt::Display for SwitchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SwitchError::OtherProtocol => "it upgrades to something else",
            SwitchError::NoConnectionUpgrade => "its Connection does not name the upgrade",
            SwitchError::OtherAccept => "its Sec-WebSocket-Accept is another",
            SwitchError::SubprotocolNotOffered => "its subprotocol was not offered",
            SwitchError::ExtensionNotOffered => "its extensions were not offered",
            SwitchError::UnknownExtension => "its extensions are not known",
            SwitchError::TooLong => "too long",
            SwitchError::Malformed => "not to be read",
        })
    }
}

impl std::error::Error for SwitchError {}

impl From<ListError> for SwitchError {
    fn from(error: ListError) -> SwitchError {
        match error {
            ListError::TooLong => SwitchError::TooLong,
            ListError::Malformed => SwitchError::Malformed,
        }
    }
}

/// The headers of the response to a client whose server has agreed.
pub fn accepted(offer_key: &HeaderValue, switch: &Switch) -> HeaderMap {
    let mut headers = HeaderMap::new();
    // Base64 is always a valid header value.
    if let Ok(accept) = HeaderValue::try_from(derive_accept_key(offer_key.as_bytes())) {
        headers.insert(SEC_WEBSOCKET_ACCEPT, accept);
    }
    if let Some(protocol) = &switch.protocol {
        headers.insert(SEC_WEBSOCKET_PROTOCOL, protocol.clone());
    }
    if let Some(extensions) = &switch.extensions {
        headers.insert(SEC_WEBSOCKET_EXTENSIONS, extensions.clone());
    }
    headers
}

/// Checks a response of status 101 against the offer (section 4.1, at its end).
///
/// # Errors
/// The response is invalid; its connection has to be closed.
pub fn verify(offer: &Offer, headers: &HeaderMap) -> Result<Switch, SwitchError> {
    verify_upgrade(headers)?;
    verify_accept(offer, headers)?;
    let protocol = joined(headers, &SEC_WEBSOCKET_PROTOCOL)?;
    verify_subprotocol(offer, protocol.as_ref())?;
    let extensions = joined(headers, &SEC_WEBSOCKET_EXTENSIONS)?;
    let deflate = verify_extensions(offer, extensions.as_ref())?;
    Ok(Switch {
        protocol,
        extensions,
        deflate,
    })
}

fn verify_upgrade(headers: &HeaderMap) -> Result<(), SwitchError> {
    let mut upgrades = tokens(headers, &UPGRADE);
    let first = upgrades.next();
    let to_websocket = first.is_some_and(|token| token.eq_ignore_ascii_case("websocket"));
    if !to_websocket || upgrades.next().is_some() {
        return Err(SwitchError::OtherProtocol);
    }
    if !connection_names_upgrade(headers) {
        return Err(SwitchError::NoConnectionUpgrade);
    }
    Ok(())
}

fn verify_accept(offer: &Offer, headers: &HeaderMap) -> Result<(), SwitchError> {
    let expected = derive_accept_key(offer.key.as_bytes());
    let mut values = headers.get_all(SEC_WEBSOCKET_ACCEPT).iter();
    let first = values.next();
    let matches = first.is_some_and(|value| value.as_bytes() == expected.as_bytes());
    if !matches || values.next().is_some() {
        return Err(SwitchError::OtherAccept);
    }
    Ok(())
}

fn verify_subprotocol(offer: &Offer, chosen: Option<&HeaderValue>) -> Result<(), SwitchError> {
    let chosen: Vec<&str> = chosen.into_iter().flat_map(items).collect();
    let offered: Vec<&str> = offer.protocols.iter().flat_map(items).collect();
    if chosen.len() > 1 || chosen.iter().any(|name| !offered.contains(name)) {
        return Err(SwitchError::SubprotocolNotOffered);
    }
    Ok(())
}

/// Returns whether messages may be compressed.
fn verify_extensions(offer: &Offer, agreed: Option<&HeaderValue>) -> Result<bool, SwitchError> {
    let agreed: Vec<String> = agreed.into_iter().flat_map(extension_names).collect();
    let offered: Vec<String> = offer.extensions.iter().flat_map(extension_names).collect();
    if agreed.iter().any(|name| !offered.contains(name)) {
        return Err(SwitchError::ExtensionNotOffered);
    }
    // What the frames of an unknown extension look like cannot be checked.
    if agreed.iter().any(|name| name != DEFLATE) {
        return Err(SwitchError::UnknownExtension);
    }
    Ok(!agreed.is_empty())
}

/// The names of extensions, in lower case and without parameters.
fn extension_names(value: &HeaderValue) -> impl Iterator<Item = String> + '_ {
    items(value).map(|item| {
        let name = item.split(';').next().unwrap_or_default();
        name.trim().to_ascii_lowercase()
    })
}
