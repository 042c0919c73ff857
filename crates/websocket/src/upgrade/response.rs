//! Validates the responses of servers to upgrade requests.

use super::request::Offer;
use super::{connection_names_upgrade, items, joined, tokens, ListError};
use http::header::{
    HeaderMap, HeaderValue, SEC_WEBSOCKET_ACCEPT, SEC_WEBSOCKET_EXTENSIONS, SEC_WEBSOCKET_PROTOCOL,
    UPGRADE,
};
use std::fmt;
use tungstenite::handshake::derive_accept_key;

/// The only supported extension. With it, a message's first frame may have RSV1 set (RFC 7692, section 6).
const DEFLATE: &str = "permessage-deflate";

/// What a server agreed to in its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgreedUpgrade {
    /// The chosen subprotocol, which is one of those offered.
    pub protocol: Option<HeaderValue>,
    /// The agreed extensions, all of which were offered.
    pub extensions: Option<HeaderValue>,
    /// Whether messages may be compressed.
    pub deflate: bool,
}

/// Why a server's response to an upgrade request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeError {
    /// The `Upgrade` header does not name WebSocket, or names several protocols.
    OtherProtocol,
    /// The `Connection` header does not contain `upgrade`.
    NoConnectionUpgrade,
    /// The `Sec-WebSocket-Accept` header does not match the client's key.
    OtherAccept,
    /// The subprotocol was not offered, or there are several.
    SubprotocolNotOffered,
    /// An extension was not offered.
    ExtensionNotOffered,
    /// An extension is not supported by this node.
    UnknownExtension,
    /// The list of subprotocols or extensions is too long.
    TooLong,
    /// The list of subprotocols or extensions is not a valid header value.
    Malformed,
}

impl fmt::Display for UpgradeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UpgradeError::OtherProtocol => "the Upgrade header does not name websocket alone",
            UpgradeError::NoConnectionUpgrade => "the Connection header does not contain upgrade",
            UpgradeError::OtherAccept => "Sec-WebSocket-Accept does not match the client's key",
            UpgradeError::SubprotocolNotOffered => "the subprotocol was not offered by the client",
            UpgradeError::ExtensionNotOffered => "an extension was not offered by the client",
            UpgradeError::UnknownExtension => "an extension is not supported by this node",
            UpgradeError::TooLong => "the list of subprotocols or extensions is too long",
            UpgradeError::Malformed => "the list of subprotocols or extensions is malformed",
        })
    }
}

impl std::error::Error for UpgradeError {}

impl From<ListError> for UpgradeError {
    fn from(error: ListError) -> UpgradeError {
        match error {
            ListError::TooLong => UpgradeError::TooLong,
            ListError::Malformed => UpgradeError::Malformed,
        }
    }
}

/// Returns the handshake headers of the response to the client, after the server has agreed to the upgrade.
pub fn accepted(offer_key: &HeaderValue, agreed: &AgreedUpgrade) -> HeaderMap {
    let mut headers = HeaderMap::new();
    // A base64 string is always a valid header value.
    if let Ok(accept) = HeaderValue::try_from(derive_accept_key(offer_key.as_bytes())) {
        headers.insert(SEC_WEBSOCKET_ACCEPT, accept);
    }
    if let Some(protocol) = &agreed.protocol {
        headers.insert(SEC_WEBSOCKET_PROTOCOL, protocol.clone());
    }
    if let Some(extensions) = &agreed.extensions {
        headers.insert(SEC_WEBSOCKET_EXTENSIONS, extensions.clone());
    }
    headers
}

/// Checks a response of status 101 against the client's offer (end of section 4.1).
///
/// # Errors
/// The response is invalid. The connection to the server must be closed.
pub fn verify(offer: &Offer, headers: &HeaderMap) -> Result<AgreedUpgrade, UpgradeError> {
    verify_upgrade(headers)?;
    verify_accept(offer, headers)?;
    let protocol = joined(headers, &SEC_WEBSOCKET_PROTOCOL)?;
    verify_subprotocol(offer, protocol.as_ref())?;
    let extensions = joined(headers, &SEC_WEBSOCKET_EXTENSIONS)?;
    let deflate = verify_extensions(offer, extensions.as_ref())?;
    Ok(AgreedUpgrade {
        protocol,
        extensions,
        deflate,
    })
}

fn verify_upgrade(headers: &HeaderMap) -> Result<(), UpgradeError> {
    let mut upgrades = tokens(headers, &UPGRADE);
    let first = upgrades.next();
    let to_websocket = first.is_some_and(|token| token.eq_ignore_ascii_case("websocket"));
    if !to_websocket || upgrades.next().is_some() {
        return Err(UpgradeError::OtherProtocol);
    }
    if !connection_names_upgrade(headers) {
        return Err(UpgradeError::NoConnectionUpgrade);
    }
    Ok(())
}

fn verify_accept(offer: &Offer, headers: &HeaderMap) -> Result<(), UpgradeError> {
    let expected = derive_accept_key(offer.key.as_bytes());
    let mut values = headers.get_all(SEC_WEBSOCKET_ACCEPT).iter();
    let first = values.next();
    let matches = first.is_some_and(|value| value.as_bytes() == expected.as_bytes());
    if !matches || values.next().is_some() {
        return Err(UpgradeError::OtherAccept);
    }
    Ok(())
}

fn verify_subprotocol(offer: &Offer, chosen: Option<&HeaderValue>) -> Result<(), UpgradeError> {
    let chosen: Vec<&str> = chosen.into_iter().flat_map(items).collect();
    let offered: Vec<&str> = offer.protocols.iter().flat_map(items).collect();
    if chosen.len() > 1 || chosen.iter().any(|name| !offered.contains(name)) {
        return Err(UpgradeError::SubprotocolNotOffered);
    }
    Ok(())
}

/// Checks the agreed extensions. Returns whether messages may be compressed.
fn verify_extensions(offer: &Offer, agreed: Option<&HeaderValue>) -> Result<bool, UpgradeError> {
    let agreed: Vec<String> = agreed.into_iter().flat_map(extension_names).collect();
    let offered: Vec<String> = offer.extensions.iter().flat_map(extension_names).collect();
    if agreed.iter().any(|name| !offered.contains(name)) {
        return Err(UpgradeError::ExtensionNotOffered);
    }
    // The frames of an unknown extension cannot be validated.
    if agreed.iter().any(|name| name != DEFLATE) {
        return Err(UpgradeError::UnknownExtension);
    }
    Ok(!agreed.is_empty())
}

/// Returns the names of extensions, in lower case and without parameters.
fn extension_names(value: &HeaderValue) -> impl Iterator<Item = String> + '_ {
    items(value).map(|item| {
        let name = item.split(';').next().unwrap_or_default();
        name.trim().to_ascii_lowercase()
    })
}
