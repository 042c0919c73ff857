//! Validation of upgrade requests and responses.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use saffronpaddle_websocket::upgrade::{read, verify, AgreedUpgrade, Offer, Rejection};

/// The key of RFC 6455, section 1.3.
const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";

fn head(lines: &[(&'static str, &str)]) -> HeaderMap {
    let value = |text: &str| HeaderValue::from_str(text).expect("a value");
    lines
        .iter()
        .map(|(name, text)| (HeaderName::from_static(name), value(text)))
        .collect()
}

fn valid_lines() -> Vec<(&'static str, &'static str)> {
    vec![
        ("upgrade", "WebSocket"),
        ("connection", "keep-alive, Upgrade"),
        ("sec-websocket-version", "13"),
        ("sec-websocket-key", KEY),
    ]
}

fn request(lines: &[(&'static str, &str)]) -> Result<Option<Offer>, Rejection> {
    read(&Method::GET, Version::HTTP_11, &head(lines))
}

#[test]
fn a_valid_upgrade_is_read_and_an_ordinary_request_is_none() {
    let offer = request(&valid_lines()).expect("valid").expect("an upgrade");
    assert_eq!(
        (offer.key, offer.protocols),
        (HeaderValue::from_static(KEY), None)
    );
    assert_eq!(
        request(&[("upgrade", "h2c"), ("connection", "upgrade")]),
        Ok(None)
    );
    assert_eq!(request(&[]), Ok(None));
}

#[test]
fn invalid_upgrades_are_rejected() {
    let with = |name: &'static str, text: &'static str| {
        let mut lines = valid_lines();
        lines.retain(|(other, _)| *other != name);
        if !text.is_empty() {
            lines.push((name, text));
        }
        request(&lines).map_err(|(status, _)| status.as_u16())
    };
    assert_eq!(with("sec-websocket-version", "8"), Err(426));
    assert_eq!(with("sec-websocket-version", ""), Err(426));
    assert_eq!(with("sec-websocket-key", "c2hvcnQ="), Err(400));
    assert_eq!(with("sec-websocket-key", "not base64 at all!"), Err(400));
    assert_eq!(with("connection", "keep-alive"), Err(400));
    assert_eq!(with("connection", ""), Err(400));
    assert_eq!(with("upgrade", ""), Err(400), "a key without an upgrade");
    assert_eq!(with("content-length", "5"), Err(400));
    assert_eq!(with("transfer-encoding", "chunked"), Err(400));
    let twice = [valid_lines(), vec![("sec-websocket-key", KEY)]].concat();
    assert_eq!(
        request(&twice).map_err(|(status, _)| status.as_u16()),
        Err(400)
    );
    let lines = head(&valid_lines());
    assert!(read(&Method::POST, Version::HTTP_11, &lines).is_err());
    assert!(read(&Method::GET, Version::HTTP_10, &lines).is_err());
}

#[test]
fn a_response_must_match_the_key_and_the_offer() {
    let mut lines = valid_lines();
    lines.extend([
        ("sec-websocket-protocol", "ranks, clock"),
        (
            "sec-websocket-extensions",
            "permessage-deflate; client_max_window_bits",
        ),
    ]);
    let offer = request(&lines).expect("valid").expect("an upgrade");
    // The accept value for `KEY` in section 1.3.
    let accept = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";
    let valid = [
        ("upgrade", "websocket"),
        ("connection", "Upgrade"),
        ("sec-websocket-accept", accept),
    ];
    let response =
        |more: &[(&'static str, &str)]| verify(&offer, &head(&[&valid[..], more].concat()));
    assert_eq!(
        response(&[]),
        Ok(AgreedUpgrade {
            protocol: None,
            extensions: None,
            deflate: false
        })
    );
    let both = response(&[
        ("sec-websocket-protocol", "clock"),
        ("sec-websocket-extensions", "permessage-deflate"),
    ]);
    assert!(both.is_ok_and(|switch| switch.deflate && switch.protocol.is_some()));
    assert!(response(&[("sec-websocket-protocol", "chat")]).is_err());
    assert!(response(&[("sec-websocket-extensions", "x-other")]).is_err());
    let other = head(&[
        valid[0],
        valid[1],
        ("sec-websocket-accept", "AAAAAAAAAAAAAAAAAAAAAAAAAAA="),
    ]);
    assert!(verify(&offer, &other).is_err());
    assert!(verify(&offer, &head(&valid[1..])).is_err());
    assert!(verify(&offer, &head(&[valid[0], valid[2]])).is_err());
}
