//! The head of a client's request: parsed, and checked against the settings.

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

/// Time kept back for the response's way to the client.
pub(super) const DELIVERY: Duration = Duration::from_millis(5);

/// A request's head, which agrees with the settings.
pub(super) struct RequestHead {
    pub id: RequestId,
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub terms: Terms,
    /// How long its client waits for the response.
    pub timeout: Duration,
    /// What a second execution would do.
    pub effect: Idempotency,
}

/// Why a request is rejected before it is taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejected {
    pub status: StatusCode,
    /// A line of text for the client.
    pub reason: &'static str,
}

/// The class that a request's head names.
pub(super) fn class_of(platform: &PlatformSettings, headers: &HeaderMap) -> Option<ClassId> {
    let class = text(headers, "x-class")?;
    platform
        .classes
        .iter()
        .position(|known| known == class)
        .map(ClassId)
}

/// Reads the head of a client's request.
///
/// # Errors
/// What is wrong with it. Nothing has been changed by then.
pub(super) fn read(
    platform: &PlatformSettings,
    head: &hyper::http::request::Parts,
) -> Result<RequestHead, Rejected> {
    let bad = |reason| Rejected {
        status: StatusCode::BAD_REQUEST,
        reason,
    };
    let headers = &head.headers;
    // Two readers could take a repeated header in two ways: such a request is rejected.
    if READ_ONCE
        .iter()
        .any(|name| headers.get_all(*name).iter().nth(1).is_some())
    {
        return Err(bad("a header is repeated\n"));
    }
    let id = text(headers, "x-request-id").filter(|id| (1..=64).contains(&id.len()));
    let id = RequestId(
        id.ok_or(bad("X-Request-Id: missing, or no word of 1 to 64 bytes\n"))?
            .into(),
    );
    let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let class = text(headers, "x-class").ok_or(bad("X-Class: missing\n"))?;
    let number = class_of(platform, headers)
        .ok_or(bad("X-Class: unknown\n"))?
        .0;
    let plan = text(headers, "x-tier").and_then(|plan| place(&platform.plans, plan));
    let plan = PlanId(plan.ok_or(bad("X-Tier: missing or unknown\n"))?);
    let mut path = head.uri.path().trim_start_matches('/').split('/');
    if path.next() != Some(class) {
        return Err(bad("the path does not begin with the class\n"));
    }
    let customer = path
        .next_back()
        .and_then(customer)
        .ok_or(bad("the path does not end with a customer\n"))?;
    let longest = Duration::from_micros(platform.longest_deadline);
    let timeout = text(headers, "x-deadline")
        .and_then(span)
        .filter(|span| *span <= longest);
    let timeout = timeout.ok_or(bad("X-Deadline: missing or bad\n"))?;
    let terms =
        text(headers, "x-call-terms").and_then(|text| Terms::read(text, &platform.settings));
    let terms = terms.ok_or(bad("X-Call-Terms: missing or bad\n"))?;
    let effect = platform.settings.classes[number].idempotency;
    check_method(effect, head).map_err(bad)?;
    Ok(RequestHead {
        id,
        class: ClassId(number),
        plan,
        customer,
        terms,
        timeout,
        effect,
    })
}

/// Checks that the method, and the idempotency key where one is needed, are those of the class.
fn check_method(
    idempotency: Idempotency,
    head: &hyper::http::request::Parts,
) -> Result<(), &'static str> {
    match (idempotency, &head.method) {
        (Idempotency::Idempotent, &Method::GET) | (Idempotency::NonIdempotent, &Method::POST) => {
            Ok(())
        }
        (Idempotency::WithKey { .. }, &Method::POST) if head.headers.contains_key(KEY) => Ok(()),
        (Idempotency::WithKey { .. }, &Method::POST) => Err("Idempotency-Key: missing\n"),
        _ => Err("this class takes another method\n"),
    }
}

impl RequestHead {
    /// Deducts the time that the request has been queued since its client sent it; `false` where nothing is left. A
    /// request may have waited in the kernel while this node was late to read it, and its server would be promised
    /// time that its client no longer has.
    pub(super) fn deduct_wait(&mut self, rested: Duration) -> bool {
        self.timeout = self.timeout.saturating_sub(rested);
        rested.is_zero() || self.timeout > DELIVERY
    }

    /// The request is complete: its client's time runs from now on.
    pub(super) fn arrived(
        self,
        head: hyper::http::request::Parts,
        body: Bytes,
        downstream: &Arc<DownstreamConnection>,
    ) -> (Event, Forward) {
        let timeout = self.timeout.saturating_sub(DELIVERY);
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
        let key = head.headers.get(KEY).cloned();
        (
            event,
            Forward {
                id: self.id,
                effect: self.effect,
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

/// The header that makes a request safe to repeat.
const KEY: &str = "idempotency-key";
/// Headers that a request may have once at the most.
const READ_ONCE: [&str; 8] = [
    "x-request-id",
    "x-class",
    "x-tier",
    "x-deadline",
    "x-call-terms",
    KEY,
    "content-length",
    "host",
];

pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A customer: 16 hex digits without a sign, a number below 2^33.
pub(super) fn customer(text: &str) -> Option<CustomerId> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = digits
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()?;
    (number < 1 << 33).then_some(CustomerId(number))
}

/// A plain decimal number: no sign, no exponent, no name of a number.
fn number(text: &str) -> Option<f64> {
    let plain = !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    plain.then(|| text.parse().ok()).flatten()
}

/// A duration: a number with its unit, `m` (ms) or `u` (µs); an hour at the most.
pub(super) fn span(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number = number(digits)?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    (seconds > 0.0 && seconds <= 3600.0).then(|| Duration::from_secs_f64(seconds))
}

/// What a request takes from its customer's quota, and the customer's node subset.
#[derive(Debug)]
pub(super) struct Terms {
    pub units: f64,
    pub subset_size: u32,
    pub first_member: NodeId,
}

impl Terms {
    /// Units and a node subset that agree with the settings. Unknown names are ignored; a malformed or repeated term
    /// invalidates all.
    fn read(text: &str, settings: &Settings) -> Option<Terms> {
        let (mut units, mut subset_size, mut first) = (None, None, None);
        let whole = |value: &str| {
            value
                .bytes()
                .all(|byte| byte.is_ascii_digit())
                .then(|| value.parse().ok())?
        };
        let most = if settings.max_request_units > 0.0 {
            settings.max_request_units
        } else {
            f64::MAX
        };
        for term in text.split(',') {
            let (name, value) = term.trim().split_once('=')?;
            let again = match name {
                "units" => units
                    .replace(number(value).filter(|units| *units > 0.0 && *units <= most)?)
                    .is_some(),
                "spread" => {
                    let fits = |subset_size: &u32| (1..=settings.node_count).contains(subset_size);
                    subset_size.replace(whole(value).filter(fits)?).is_some()
                }
                "first" => first
                    .replace(whole(value).filter(|first| *first < settings.node_count)?)
                    .is_some(),
                _ => false,
            };
            if again {
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
