//! The opening handshake (RFC 6455, section 4): validates upgrade requests, and checks that a server's response matches
//! what the client offered.

mod request;
mod response;

pub use request::{read, Offer, Rejection, VERSION};
pub use response::{accepted, verify, AgreedUpgrade, UpgradeError};

use http::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};

/// Maximum length of the list of offered subprotocols, and of that of extensions, in bytes. It bounds the memory that
/// pending upgrades take.
const MAX_OFFER_BYTES: usize = 1024;

/// Why a list of subprotocols or extensions is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListError {
    /// The list is longer than [`MAX_OFFER_BYTES`].
    TooLong,
    /// The list is not a valid header value.
    Malformed,
}

/// Whether the `Connection` header contains `upgrade`.
fn connection_names_upgrade(headers: &HeaderMap) -> bool {
    tokens(headers, &CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade"))
}

/// Returns the items of a list that may be split over several header lines.
fn tokens<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    headers.get_all(name).into_iter().flat_map(items)
}

/// Returns the items of a list in one header line.
fn items(value: &HeaderValue) -> impl Iterator<Item = &str> {
    let text = value.to_str().unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// Joins a list that may be split over several header lines into one value. `None` if the header is absent.
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
