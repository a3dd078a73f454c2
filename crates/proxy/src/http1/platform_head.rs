//! What the head of a request in the platform's dialect says.

use crate::headers::{strip_hop_by_hop, REQUEST_ID, TIMEOUT_MS};
use corkhollow_balance::interface::{Nanos, Request};
use corkhollow_engine::StoredHeaders;
use corkhollow_plan::tenants::Tenants;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Uri};

const NANOS_PER_MILLISECOND: u64 = 1_000_000;
const NANOS_PER_MICROSECOND: f64 = 1_000.0;

/// The head of a request, copied: the buffer that it was read into is free for the body.
pub(super) struct PlatformHead {
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// The end-to-end headers.
    pub(super) headers: StoredHeaders,
    /// The client's id of the request.
    pub(super) id: HeaderValue,
    /// How long the client waits, if it says so.
    pub(super) timeout: Option<Nanos>,
    tenant: Option<u32>,
    key: u64,
    work_hint: Option<Nanos>,
    is_retry: bool,
    is_write: bool,
}

impl PlatformHead {
    /// Reads a head.
    ///
    /// # Errors
    /// What is wrong with it.
    pub(super) fn parse(parts: Parts, tenants: &Tenants) -> Result<Self, &'static str> {
        let mut headers = parts.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(header::EXPECT);
        headers.remove(header::TRAILER);
        // Servers use the id to deduplicate requests.
        let id = single_header(&headers, REQUEST_ID).filter(|id| !id.is_empty());
        let id = id.and_then(|id| HeaderValue::from_bytes(id.as_bytes()).ok());
        let number = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
        let work_hint = number("x-cost").filter(|microseconds| *microseconds > 0.0);
        Ok(PlatformHead {
            method: parts.method,
            uri: copy_path_and_query(parts.uri),
            id: id.ok_or("one X-Request-ID is needed\n")?,
            timeout: parse_timeout(&headers)?,
            tenant: tenants.number(headers.get(&tenants.header)),
            key: headers.get("x-route-key").map_or(0, |key| parse_route_key(key.as_bytes())),
            work_hint: work_hint.map(|microseconds| (microseconds * NANOS_PER_MICROSECOND) as Nanos),
            is_retry: headers.get("x-retried").is_some_and(|value| value == "1"),
            is_write: headers.get("x-attrs").is_some_and(is_write),
            headers: StoredHeaders::new(&headers),
        })
    }

    /// The request as the balancer sees it.
    pub(super) fn request(&self, class: u16, deadline: Nanos, has_streaming_body: bool) -> Request {
        Request {
            class,
            tenant: self.tenant.unwrap_or(u32::MAX),
            key: self.key,
            work_hint: self.work_hint,
            is_retry: self.is_retry,
            is_write: self.is_write,
            has_streaming_body,
            ..Request::new(0, deadline)
        }
    }
}

/// The value of a header that occurs exactly once; of two values, a server might use the other one.
fn single_header(headers: &HeaderMap, name: HeaderName) -> Option<&HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn parse_timeout(headers: &HeaderMap) -> Result<Option<Nanos>, &'static str> {
    if !headers.contains_key(TIMEOUT_MS) {
        return Ok(None);
    }
    let milliseconds = single_header(headers, TIMEOUT_MS).and_then(parse_digits);
    let milliseconds = milliseconds.ok_or("X-Timeout-Ms is no whole number\n")?;
    Ok(Some(milliseconds.saturating_mul(NANOS_PER_MILLISECOND)))
}

/// Parses a number that has no sign.
fn parse_digits(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?.trim();
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// Parses a hexadecimal routing key; hashes anything else.
fn parse_route_key(text: &[u8]) -> u64 {
    let hex = std::str::from_utf8(text).ok().and_then(|t| u64::from_str_radix(t, 16).ok());
    hex.unwrap_or_else(|| corkhollow_plan::stable_hash(text))
}

fn is_write(attributes: &HeaderValue) -> bool {
    attributes.to_str().unwrap_or_default().split(',').any(|attribute| attribute.trim() == "write=1")
}

/// The path and query in memory of their own.
fn copy_path_and_query(uri: Uri) -> Uri {
    let copied = uri.path_and_query().and_then(|path| PathAndQuery::try_from(path.as_str()).ok());
    copied.map_or(uri, Uri::from)
}
