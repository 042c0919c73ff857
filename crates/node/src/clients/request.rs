//! Parses the head of a client's request and checks it against the settings.

use crate::downstream::DownstreamConnection;
use crate::forward::{Forward, ForwardBody};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use saffronpaddle_policy::interface::{
    ClassId, CustomerId, Event, Idempotency, NodeId, PlanId, RequestId, Settings,
};
use saffronpaddle_policy::setup::PlatformSettings;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time reserved for delivering the response to the client.
pub(super) const DELIVERY_MARGIN: Duration = Duration::from_millis(5);

/// A request head that is valid under the settings.
pub(super) struct RequestHead {
    pub id: RequestId,
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub terms: Terms,
    /// How long the client waits for the response.
    pub timeout: Duration,
    /// The effect of a second execution, as the settings of the class give it.
    pub idempotency: Idempotency,
    /// The class has streamed responses.
    pub response_streamed: bool,
}

/// The status and reason for rejecting an invalid request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejected {
    pub status: StatusCode,
    /// The response body: a line of text.
    pub reason: &'static str,
}

/// The class named by `X-Class`; `None` if it is missing or unknown.
pub(super) fn class_of(platform: &PlatformSettings, headers: &HeaderMap) -> Option<ClassId> {
    let class = header_text(headers, "x-class")?;
    platform
        .classes
        .iter()
        .position(|known| known == class)
        .map(ClassId)
}

/// Parses the head of a client's request.
///
/// # Errors
/// The first fault found in the head. No state has changed by then.
pub(super) fn parse(
    platform: &PlatformSettings,
    head: &hyper::http::request::Parts,
) -> Result<RequestHead, Rejected> {
    let bad = |reason| Rejected {
        status: StatusCode::BAD_REQUEST,
        reason,
    };
    let headers = &head.headers;
    // Two parsers could interpret a repeated header differently, so such a request is rejected.
    if SINGLE_VALUE_HEADERS
        .iter()
        .any(|name| headers.get_all(*name).iter().nth(1).is_some())
    {
        return Err(bad("a header is repeated\n"));
    }
    let id = header_text(headers, "x-request-id").filter(|id| (1..=64).contains(&id.len()));
    let id = RequestId(
        id.ok_or(bad("X-Request-Id: missing, or no word of 1 to 64 bytes\n"))?
            .into(),
    );
    let position_of = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let class = header_text(headers, "x-class").ok_or(bad("X-Class: missing\n"))?;
    let class_index = class_of(platform, headers)
        .ok_or(bad("X-Class: unknown\n"))?
        .0;
    let plan = header_text(headers, "x-tier").and_then(|plan| position_of(&platform.plans, plan));
    let plan = PlanId(plan.ok_or(bad("X-Tier: missing or unknown\n"))?);
    let mut path = head.uri.path().trim_start_matches('/').split('/');
    if path.next() != Some(class) {
        return Err(bad("the path does not begin with the class\n"));
    }
    let customer = path
        .next_back()
        .and_then(parse_customer)
        .ok_or(bad("the path does not end with a customer\n"))?;
    let max_timeout = Duration::from_micros(platform.longest_deadline);
    let timeout = header_text(headers, "x-deadline")
        .and_then(parse_duration)
        .filter(|timeout| *timeout <= max_timeout);
    let timeout = timeout.ok_or(bad("X-Deadline: missing or bad\n"))?;
    let terms = header_text(headers, "x-call-terms")
        .and_then(|text| Terms::parse(text, &platform.settings));
    let terms = terms.ok_or(bad("X-Call-Terms: missing or bad\n"))?;
    let class = &platform.settings.classes[class_index];
    let idempotency = class.idempotency;
    check_method(idempotency, head).map_err(bad)?;
    Ok(RequestHead {
        id,
        class: ClassId(class_index),
        plan,
        customer,
        terms,
        timeout,
        idempotency,
        response_streamed: class.streamed,
    })
}

/// Checks that the method fits the class, and that an idempotency key is present if the class needs one.
fn check_method(
    idempotency: Idempotency,
    head: &hyper::http::request::Parts,
) -> Result<(), &'static str> {
    match (idempotency, &head.method) {
        (Idempotency::Idempotent, &Method::GET) | (Idempotency::NonIdempotent, &Method::POST) => {
            Ok(())
        }
        (Idempotency::WithKey { .. }, &Method::POST)
            if head.headers.contains_key(IDEMPOTENCY_KEY) =>
        {
            Ok(())
        }
        (Idempotency::WithKey { .. }, &Method::POST) => Err("Idempotency-Key: missing\n"),
        _ => Err("this class takes another method\n"),
    }
}

impl RequestHead {
    /// Deducts the time that the request was queued since its client sent it; returns `false` if no time is left. A
    /// request may have waited in the kernel while the event loop was delayed, and its server would be promised time
    /// that its client no longer has.
    pub(super) fn deduct_queue_time(&mut self, time_queued: Duration) -> bool {
        self.timeout = self.timeout.saturating_sub(time_queued);
        time_queued.is_zero() || self.timeout > DELIVERY_MARGIN
    }

    /// Converts the head of a complete request into the arrival event and the request to forward. The client's timeout
    /// starts now.
    pub(super) fn into_arrival(
        self,
        head: hyper::http::request::Parts,
        body: Bytes,
        downstream: &Arc<DownstreamConnection>,
    ) -> (Event, Forward) {
        let timeout = self.timeout.saturating_sub(DELIVERY_MARGIN);
        let deadline = Instant::now() + timeout;
        let event = Event::RequestArrived {
            id: self.id.clone(),
            class: self.class,
            plan: self.plan,
            customer: self.customer,
            units: self.terms.units,
            subset_first: self.terms.first_member,
            subset_size: self.terms.subset_size,
            timeout: timeout.as_micros() as u64,
            complete: true,
        };
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned();
        let key = head.headers.get(IDEMPOTENCY_KEY).cloned();
        (
            event,
            Forward {
                id: self.id,
                idempotency: self.idempotency,
                response_streamed: self.response_streamed,
                method: head.method,
                target,
                key,
                body: ForwardBody::Buffered(body),
                offer: None,
                deadline,
                client: Arc::clone(downstream),
            },
        )
    }
}

/// The header that makes a request safe to retry.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Headers that a request may contain at most once.
const SINGLE_VALUE_HEADERS: [&str; 8] = [
    "x-request-id",
    "x-class",
    "x-tier",
    "x-deadline",
    "x-call-terms",
    IDEMPOTENCY_KEY,
    "content-length",
    "host",
];

/// The value of a header; `None` if it is missing or not visible ASCII.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a customer id: 16 hexadecimal digits without a sign, with a value below 2^33.
pub(super) fn parse_customer(text: &str) -> Option<CustomerId> {
    let is_valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = is_valid
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()?;
    (number < 1 << 33).then_some(CustomerId(number))
}

/// Parses a plain decimal number: no sign, no exponent, no `NaN` or `inf`.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_plain.then(|| text.parse().ok()).flatten()
}

/// Parses a duration: a decimal number followed by `m` (ms) or `u` (µs), at most one hour.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number = parse_decimal(digits)?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    (seconds > 0.0 && seconds <= 3600.0).then(|| Duration::from_secs_f64(seconds))
}

/// What a request consumes of its customer's quota, and the customer's node subset (`X-Call-Terms`).
#[derive(Debug)]
pub(super) struct Terms {
    pub units: f64,
    pub subset_size: u32,
    pub first_member: NodeId,
}

impl Terms {
    /// Parses units and a node subset that are valid under the settings. Unknown names are ignored; a malformed or
    /// repeated term invalidates all terms.
    fn parse(text: &str, settings: &Settings) -> Option<Terms> {
        let (mut units, mut subset_size, mut first) = (None, None, None);
        let parse_integer = |value: &str| {
            value
                .bytes()
                .all(|byte| byte.is_ascii_digit())
                .then(|| value.parse().ok())?
        };
        let max_units = if settings.max_request_units > 0.0 {
            settings.max_request_units
        } else {
            f64::MAX
        };
        for term in text.split(',') {
            let (name, value) = term.trim().split_once('=')?;
            let is_repeated = match name {
                "units" => units
                    .replace(
                        parse_decimal(value).filter(|units| *units > 0.0 && *units <= max_units)?,
                    )
                    .is_some(),
                "spread" => {
                    let fits = |subset_size: &u32| (1..=settings.node_count).contains(subset_size);
                    subset_size
                        .replace(parse_integer(value).filter(fits)?)
                        .is_some()
                }
                "first" => first
                    .replace(parse_integer(value).filter(|first| *first < settings.node_count)?)
                    .is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        Some(Terms {
            units: units?,
            subset_size: subset_size?,
            first_member: NodeId(first?),
        })
    }
}
