//! Header fields survive storing unchanged.

use corkhollow_engine::StoredHeaders;
use http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, EXPECT, HOST};

fn headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("host", &b"app.svc"[..]),
        ("x-empty", b""),
        ("x-twice", b"first"),
        ("expect", b"100-continue"),
        ("x-twice", b"second"),
        ("x-bytes", b"\xff\xfe\t "),
    ] {
        headers.append(HeaderName::from_static(name), HeaderValue::from_bytes(value).unwrap());
    }
    headers
}

#[test]
fn stored_headers_are_the_same_as_before() {
    for headers in [HeaderMap::new(), headers()] {
        let stored = StoredHeaders::new(&headers);
        assert_eq!(stored.to_header_map(), headers);
        let values = |headers: &HeaderMap| headers.get_all("x-twice").iter().cloned().collect::<Vec<_>>();
        assert_eq!(values(&stored.to_header_map()), values(&headers));
    }
}

#[test]
fn fields_can_be_found_added_and_removed() {
    let mut stored = StoredHeaders::new(&headers());
    assert_eq!(stored.get(&HOST), Some(&b"app.svc"[..]));
    assert_eq!(stored.get(&HeaderName::from_static("x-twice")), Some(&b"first"[..]));
    assert!(!stored.contains(&CONTENT_LENGTH));
    stored.push(&CONTENT_LENGTH, &HeaderValue::from(7));
    stored.remove(&EXPECT);
    let mut expected = headers();
    expected.insert(CONTENT_LENGTH, HeaderValue::from(7));
    expected.remove(EXPECT);
    assert_eq!(stored.to_header_map(), expected);
}
