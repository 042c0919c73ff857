//! The opening handshake (RFC 6455, section 4): which upgrade requests are valid, and whether a server's response agrees to
//! what its client offered.

mod request;
mod response;

pub use request::{read, Bad, Offer, VERSION};
pub use response::{accepted, verify, Switch, SwitchError};

use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};

/// The most bytes of the offered subprotocols, and of the extensions. It bounds the memory that pending upgrades can take.
const MAX_OFFER_BYTES: usize = 1024;

/// Why a list in headers cannot be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListError {
    /// It has more than [`MAX_OFFER_BYTES`].
    TooLong,
    /// It is no valid header value.
    Malformed,
}

/// Whether `Connection` names the upgrade.
fn connection_names_upgrade(headers: &HeaderMap) -> bool {
    tokens(headers, &CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade"))
}

/// The items of a list that may be spread over several headers.
fn tokens<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    headers.get_all(name).into_iter().flat_map(items)
}

/// The items of a list in one header.
fn items(value: &HeaderValue) -> impl Iterator<Item = &str> {
    let text = value.to_str().unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// A list that may be spread over several headers, in one header.
fn joined(headers: &HeaderMap, name: &HeaderName) -> Result<Option<HeaderValue>, ListError> {
    let values = headers.get_all(name).iter();
    let values: Vec<&[u8]> = values.map(HeaderValue::as_bytes).collect();
    if values.is_empty() {
        return Ok(None);
    }
    let list = values.join(&b", "[..]);
    if list.len() > MAX_OFFER_BYTES {
        return Err(ListError::TooLong);
    }
    let list = HeaderValue::from_bytes(&list).map_err(|_| ListError::Malformed)?;
    Ok(Some(list))
}
