//! The opening handshake (RFC 6455, section 4): what a client asks for, and whether a server agreed to just that.

use http::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, SEC_WEBSOCKET_ACCEPT,
    SEC_WEBSOCKET_EXTENSIONS, SEC_WEBSOCKET_KEY, SEC_WEBSOCKET_PROTOCOL, SEC_WEBSOCKET_VERSION,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, StatusCode, Version};

/// The only version there is (section 4.1).
pub const VERSION: HeaderValue = HeaderValue::from_static("13");
/// Most bytes of the offers of subprotocols and of extensions. Guards memory: they are kept while an upgrade is out.
const OFFER_MOST: usize = 1024;
/// The extension that is passed through: with it a message's first frame may bear RSV1 (RFC 7692, section 6).
const DEFLATE: &str = "permessage-deflate";

/// What a client offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// `Sec-WebSocket-Key`, which the server's answer has to match.
    pub key: HeaderValue,
    /// Subprotocols, in the client's order.
    pub protocols: Option<HeaderValue>,
    /// Extensions.
    pub extensions: Option<HeaderValue>,
}

/// What a server agreed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Switch {
    /// The subprotocol, one of those offered.
    pub protocol: Option<HeaderValue>,
    /// The extensions, all of them offered.
    pub extensions: Option<HeaderValue>,
    /// Frames may bear RSV1.
    pub deflate: bool,
}

/// The headers of the answer to a client that a server has agreed with.
pub fn accepted(offer_key: &HeaderValue, switch: &Switch) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let accept = tungstenite::handshake::derive_accept_key(offer_key.as_bytes());
    // Base64 is always a value.
    headers.extend(
        HeaderValue::try_from(accept)
            .ok()
            .map(|value| (SEC_WEBSOCKET_ACCEPT, value)),
    );
    headers.extend(
        switch
            .protocol
            .clone()
            .map(|value| (SEC_WEBSOCKET_PROTOCOL, value)),
    );
    headers.extend(
        switch
            .extensions
            .clone()
            .map(|value| (SEC_WEBSOCKET_EXTENSIONS, value)),
    );
    headers
}

/// Why an upgrade is turned away: the status, and what is wrong.
pub type Bad = (StatusCode, &'static str);

/// Reads a request's head. `None`: it asks for no WebSocket, and is a request like any other; what it says of other
/// upgrades is passed over, as RFC 9110 (section 7.8) allows, and never passed on.
///
/// # Errors
/// It asks for a WebSocket in a way that the RFC forbids: 400, or 426 for another version.
pub fn read(method: &Method, version: Version, headers: &HeaderMap) -> Result<Option<Offer>, Bad> {
    let bad = |what| Err((StatusCode::BAD_REQUEST, what));
    let asks = tokens(headers, &UPGRADE).any(|token| token.eq_ignore_ascii_case("websocket"));
    if !asks {
        // A key without an upgrade is a request that another reader may take for one.
        let key = headers.contains_key(SEC_WEBSOCKET_KEY);
        return if key {
            bad("Sec-WebSocket-Key without Upgrade\n")
        } else {
            Ok(None)
        };
    }
    if !tokens(headers, &CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade")) {
        return bad("Upgrade that Connection does not name\n");
    }
    if method != Method::GET || version != Version::HTTP_11 {
        return bad("an upgrade is a GET of HTTP/1.1\n");
    }
    // Guards against frames that one reader takes for a body, and another for a request.
    let empty = headers
        .get(CONTENT_LENGTH)
        .is_none_or(|length| length.as_bytes() == b"0");
    if !empty || headers.contains_key(TRANSFER_ENCODING) {
        return bad("an upgrade has no body\n");
    }
    let one = |name: &HeaderName| {
        let mut all = headers.get_all(name).iter();
        all.next().filter(|_| all.next().is_none())
    };
    if one(&SEC_WEBSOCKET_VERSION) != Some(&VERSION) {
        return Err((
            StatusCode::UPGRADE_REQUIRED,
            "Sec-WebSocket-Version: 13 is spoken\n",
        ));
    }
    let good = |key: &&HeaderValue| {
        data_encoding::BASE64
            .decode(key.as_bytes())
            .is_ok_and(|nonce| nonce.len() == 16)
    };
    let Some(key) = one(&SEC_WEBSOCKET_KEY).filter(good).cloned() else {
        return bad("Sec-WebSocket-Key: one of 16 bytes in base64\n");
    };
    let (Ok(protocols), Ok(extensions)) = (
        joined(headers, &SEC_WEBSOCKET_PROTOCOL),
        joined(headers, &SEC_WEBSOCKET_EXTENSIONS),
    ) else {
        return bad("too many subprotocols or extensions\n");
    };
    Ok(Some(Offer {
        key,
        protocols,
        extensions,
    }))
}

/// Whether an answer of 101 is good for what was offered (section 4.1, at its end).
///
/// # Errors
/// What is wrong with it: then it is no answer, and its connection is closed.
pub fn verify(offer: &Offer, headers: &HeaderMap) -> Result<Switch, &'static str> {
    let mut upgrade = tokens(headers, &UPGRADE);
    if !upgrade
        .next()
        .is_some_and(|token| token.eq_ignore_ascii_case("websocket"))
        || upgrade.next().is_some()
    {
        return Err("it upgrades to something else");
    }
    if !tokens(headers, &CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade")) {
        return Err("its Connection does not name the upgrade");
    }
    let accept = tungstenite::handshake::derive_accept_key(offer.key.as_bytes());
    let mut all = headers.get_all(SEC_WEBSOCKET_ACCEPT).iter();
    if all
        .next()
        .is_none_or(|value| value.as_bytes() != accept.as_bytes())
        || all.next().is_some()
    {
        return Err("its Sec-WebSocket-Accept is another");
    }
    let protocol = joined(headers, &SEC_WEBSOCKET_PROTOCOL)?;
    let chosen: Vec<&str> = words(protocol.as_ref()).collect();
    if chosen.len() > 1
        || chosen
            .iter()
            .any(|name| !words(offer.protocols.as_ref()).any(|other| other == *name))
    {
        return Err("its subprotocol was not offered");
    }
    let extensions = joined(headers, &SEC_WEBSOCKET_EXTENSIONS)?;
    let name = |word: &str| {
        word.split(';')
            .next()
            .unwrap_or_default()
            .trim()
            .to_ascii_lowercase()
    };
    let offered: Vec<String> = words(offer.extensions.as_ref()).map(name).collect();
    let agreed: Vec<String> = words(extensions.as_ref()).map(name).collect();
    if agreed.iter().any(|extension| !offered.contains(extension)) {
        return Err("its extensions were not offered");
    }
    // Of one that is not known nobody could say what its frames may look like.
    if agreed.iter().any(|extension| extension != DEFLATE) {
        return Err("its extensions are not known");
    }
    Ok(Switch {
        protocol,
        deflate: !agreed.is_empty(),
        extensions,
    })
}

/// The words of a list that may stand in several headers.
fn tokens<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    headers
        .get_all(name)
        .into_iter()
        .flat_map(|value| words(Some(value)))
}

fn words(value: Option<&HeaderValue>) -> impl Iterator<Item = &str> {
    let text = value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|word| !word.is_empty())
}

/// A list as one header.
fn joined(headers: &HeaderMap, name: &HeaderName) -> Result<Option<HeaderValue>, &'static str> {
    let all: Vec<&[u8]> = headers
        .get_all(name)
        .iter()
        .map(HeaderValue::as_bytes)
        .collect();
    if all.is_empty() {
        return Ok(None);
    }
    let whole = all.join(&b", "[..]);
    if whole.len() > OFFER_MOST {
        return Err("too long");
    }
    HeaderValue::from_bytes(&whole)
        .map(Some)
        .map_err(|_| "not to be read")
}

#[cfg(test)]
mod tests;
