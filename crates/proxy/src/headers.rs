//! Headers that the gateway reads, sets or removes.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Identifies a request on the platform, from the client to the server.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender waits for an answer, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-timeout-ms");
/// Set to `1` by a server that has not processed the request.
pub const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// Hop-by-hop headers, in addition to those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 7] = [
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Headers that `Connection` must not remove, because the next hop relies on them.
const PROTECTED: [HeaderName; 3] = [header::HOST, header::CONTENT_LENGTH, header::EXPECT];

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1), but not `Trailer`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        let named: Vec<_> = headers.get_all(header::CONNECTION).into_iter().cloned().collect();
        for value in &named {
            for name in value.to_str().unwrap_or_default().split(',') {
                let name = HeaderName::try_from(name.trim()).ok().filter(|name| !PROTECTED.contains(name));
                name.map(|name| headers.remove(name));
            }
        }
        headers.remove(header::CONNECTION);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether the body is in no transfer coding but chunks, which hyper has decoded. It would lose any other coding's name,
/// and chunked must not be applied twice (RFC 9112, 6.1).
pub fn has_supported_transfer_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
    codings.next().is_none_or(is_chunked) && codings.next().is_none()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hop_by_hop_headers_are_removed_and_protected_ones_kept() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "x-one, Host"),
            ("connection", "x-two"),
            ("keep-alive", "5"),
            ("upgrade", "x"),
            ("x-one", "1"),
            ("x-two", "2"),
            ("x-three", "3"),
            ("host", "a"),
            ("trailer", "x-sum"),
        ] {
            headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        strip_hop_by_hop(&mut headers);
        let remaining: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
        assert_eq!(remaining.len(), 3, "{remaining:?}");
        assert!(["x-three", "host", "trailer"].iter().all(|name| remaining.contains(name)), "{remaining:?}");
    }
}
