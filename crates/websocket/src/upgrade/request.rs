//! Validates the upgrade requests of clients.

use super::{connection_names_upgrade, joined, tokens};
use http::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, SEC_WEBSOCKET_EXTENSIONS,
    SEC_WEBSOCKET_KEY, SEC_WEBSOCKET_PROTOCOL, SEC_WEBSOCKET_VERSION, TRANSFER_ENCODING, UPGRADE,
};
use http::{Method, StatusCode, Version};

/// The only supported version of the protocol (section 4.1).
pub const VERSION: HeaderValue = HeaderValue::from_static("13");
/// Length of the decoded key (section 4.1).
const NONCE_BYTES: usize = 16;

/// What a client offers in its upgrade request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// `Sec-WebSocket-Key`, which the server's response has to match.
    pub key: HeaderValue,
    /// The list of subprotocols, in the client's order of preference.
    pub protocols: Option<HeaderValue>,
    /// The list of extensions with their parameters.
    pub extensions: Option<HeaderValue>,
}

/// The status and the body of the response to an invalid upgrade request.
pub type Rejection = (StatusCode, &'static str);

/// Parses the upgrade request in a request's head. Returns `None` for a request without an upgrade to WebSocket.
/// Upgrades to other protocols are ignored, as RFC 9110 (section 7.8) allows, and never forwarded.
///
/// # Errors
/// The upgrade request is invalid. The status is 426 for another version of the protocol, otherwise 400.
pub fn read(
    method: &Method,
    version: Version,
    headers: &HeaderMap,
) -> Result<Option<Offer>, Rejection> {
    if !tokens(headers, &UPGRADE).any(|token| token.eq_ignore_ascii_case("websocket")) {
        // A server might treat a request with a key as an upgrade.
        if headers.contains_key(SEC_WEBSOCKET_KEY) {
            return bad_request("Sec-WebSocket-Key without Upgrade\n");
        }
        return Ok(None);
    }
    if !connection_names_upgrade(headers) {
        return bad_request("Upgrade that Connection does not name\n");
    }
    if method != Method::GET || version != Version::HTTP_11 {
        return bad_request("an upgrade is a GET of HTTP/1.1\n");
    }
    if has_body(headers) {
        return bad_request("an upgrade has no body\n");
    }
    if only_value(headers, &SEC_WEBSOCKET_VERSION) != Some(&VERSION) {
        let status = StatusCode::UPGRADE_REQUIRED;
        return Err((status, "Sec-WebSocket-Version: 13 is spoken\n"));
    }
    let key = only_value(headers, &SEC_WEBSOCKET_KEY).filter(|key| is_valid_key(key));
    let Some(key) = key.cloned() else {
        return bad_request("Sec-WebSocket-Key: one of 16 bytes in base64\n");
    };
    let protocols = joined(headers, &SEC_WEBSOCKET_PROTOCOL);
    let extensions = joined(headers, &SEC_WEBSOCKET_EXTENSIONS);
    let (Ok(protocols), Ok(extensions)) = (protocols, extensions) else {
        return bad_request("too many subprotocols or extensions\n");
    };
    Ok(Some(Offer {
        key,
        protocols,
        extensions,
    }))
}

fn bad_request<T>(body: &'static str) -> Result<T, Rejection> {
    Err((StatusCode::BAD_REQUEST, body))
}

/// Whether the request has a body. With one, the node and the server could disagree on where the first frame starts,
/// and a client could smuggle a request in its frames.
fn has_body(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH);
    length.is_some_and(|length| length.as_bytes() != b"0")
        || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the value of a header that occurs exactly once, otherwise `None`.
fn only_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    first.filter(|_| values.next().is_none())
}

fn is_valid_key(key: &HeaderValue) -> bool {
    let nonce = data_encoding::BASE64.decode(key.as_bytes());
    nonce.is_ok_and(|nonce| nonce.len() == NONCE_BYTES)
}
