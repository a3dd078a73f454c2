//! Headers that the program reads, sets or takes out.

use hyper::header::{self, HeaderMap, HeaderName};

/// What a request is known by, from its client to its server.
pub const ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender waits, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");

/// Headers that belong to one connection and not to the message.
pub fn strip(headers: &mut HeaderMap) {
    if let Some(named) = headers.remove(header::CONNECTION) {
        for name in named.to_str().unwrap_or_default().split(',') {
            headers.remove(name.trim());
        }
    }
    const HOP: [HeaderName; 6] = [
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    for name in HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
