use super::*;

const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";

fn head(lines: &[(&'static str, &str)]) -> HeaderMap {
    let value = |text: &str| HeaderValue::from_str(text).expect("a value");
    lines
        .iter()
        .map(|(name, text)| (HeaderName::from_static(name), value(text)))
        .collect()
}

fn good() -> Vec<(&'static str, &'static str)> {
    vec![
        ("upgrade", "WebSocket"),
        ("connection", "keep-alive, Upgrade"),
        ("sec-websocket-version", "13"),
        ("sec-websocket-key", KEY),
    ]
}

fn asked(lines: &[(&'static str, &str)]) -> Result<Option<Offer>, Bad> {
    read(&Method::GET, Version::HTTP_11, &head(lines))
}

#[test]
fn a_good_upgrade_is_read_and_an_ordinary_request_is_none() {
    let offer = asked(&good()).expect("good").expect("an upgrade");
    assert_eq!(
        (offer.key, offer.protocols),
        (HeaderValue::from_static(KEY), None)
    );
    assert_eq!(
        asked(&[("upgrade", "h2c"), ("connection", "upgrade")]),
        Ok(None)
    );
    assert_eq!(asked(&[]), Ok(None));
}

#[test]
fn bad_upgrades_are_turned_away() {
    let with = |name: &'static str, text: &'static str| {
        let mut lines = good();
        lines.retain(|(other, _)| *other != name);
        if !text.is_empty() {
            lines.push((name, text));
        }
        asked(&lines).map_err(|(status, _)| status.as_u16())
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
    let twice = [good(), vec![("sec-websocket-key", KEY)]].concat();
    assert_eq!(
        asked(&twice).map_err(|(status, _)| status.as_u16()),
        Err(400)
    );
    let lines = head(&good());
    assert!(read(&Method::POST, Version::HTTP_11, &lines).is_err());
    assert!(read(&Method::GET, Version::HTTP_10, &lines).is_err());
}

#[test]
fn an_answer_must_be_for_this_key_and_within_the_offer() {
    let mut lines = good();
    lines.extend([
        ("sec-websocket-protocol", "ranks, clock"),
        (
            "sec-websocket-extensions",
            "permessage-deflate; client_max_window_bits",
        ),
    ]);
    let offer = asked(&lines).expect("good").expect("an upgrade");
    // Section 1.3 has this pair.
    let accept = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";
    let yes = [
        ("upgrade", "websocket"),
        ("connection", "Upgrade"),
        ("sec-websocket-accept", accept),
    ];
    let answer = |more: &[(&'static str, &str)]| verify(&offer, &head(&[&yes[..], more].concat()));
    assert_eq!(
        answer(&[]),
        Ok(Switch {
            protocol: None,
            extensions: None,
            deflate: false
        })
    );
    let both = answer(&[
        ("sec-websocket-protocol", "clock"),
        ("sec-websocket-extensions", "permessage-deflate"),
    ]);
    assert!(both.is_ok_and(|switch| switch.deflate && switch.protocol.is_some()));
    assert!(answer(&[("sec-websocket-protocol", "chat")]).is_err());
    assert!(answer(&[("sec-websocket-extensions", "x-other")]).is_err());
    let other = head(&[
        yes[0],
        yes[1],
        ("sec-websocket-accept", "AAAAAAAAAAAAAAAAAAAAAAAAAAA="),
    ]);
    assert!(verify(&offer, &other).is_err());
    assert!(verify(&offer, &head(&yes[1..])).is_err());
    assert!(verify(&offer, &head(&[yes[0], yes[2]])).is_err());
}
