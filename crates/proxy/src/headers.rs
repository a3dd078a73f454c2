//! Headers that the program reads, sets or takes out.

use hyper::header::{self, HeaderMap, HeaderName};

/// What a request is known by on the platform, from its client to its server.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender waits, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-timeout-ms");
/// A server's word that the request never ran.
pub const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// Headers of the connection, whatever `Connection` names beside them.
const HOP: [HeaderName; 7] = [
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Headers of the message that `Connection` must not take out: the next one on the way relies on them.
const KEPT: [HeaderName; 3] = [header::HOST, header::CONTENT_LENGTH, header::EXPECT];

/// Takes out what belongs to one connection and not to the message (RFC 9110, 7.6.1), all but `Trailer`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        let named: Vec<_> = headers.get_all(header::CONNECTION).into_iter().cloned().collect();
        for value in &named {
            for name in value.to_str().unwrap_or_default().split(',') {
                let name = HeaderName::try_from(name.trim()).ok().filter(|n| !KEPT.contains(n));
                name.map(|name| headers.remove(name));
            }
        }
        headers.remove(header::CONNECTION);
    }
    for name in &HOP {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderValue;

    #[test]
    fn what_belongs_to_the_connection_goes() {
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
        let left: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
        assert_eq!(left.len(), 3, "{left:?}");
        assert!(["x-three", "host", "trailer"].iter().all(|n| left.contains(n)), "{left:?}");
    }
}
