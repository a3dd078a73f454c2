//! Requests on the platform that are not sound, or come twice: none of them is served.

use corkhollow_test_support::*;
use std::io::Write;

#[test]
fn invalid_requests_get_their_error_status() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let cases: [(&[u8], u16); 12] = [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nBad Header\r\n\r\n", 400),
        (b"GET /nowhere/1 HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"POST /once/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 33554433\r\n\r\n", 413),
        (b"POST /once/1 HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n", 400),
        (b"POST /once/1 HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /once/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
        // Without exactly one request id, or with an invalid timeout, a request cannot be passed on.
        (b"GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nX-Request-ID: b\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nConnection: x-request-id\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout-Ms: soon\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout-Ms: -1\r\n\r\n", 400),
    ];
    for (bytes, status) in cases {
        let answer = node.send_raw(bytes).expect("no answer");
        assert_eq!(answer.status(), status, "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(servers.request_count(), 0);
    // Invalid optional headers do not reject a request.
    let invalid_headers = "X-Tenant-Id: unlisted\r\nX-Cost: much\r\nX-Route-Key: \u{e9}\r\n";
    assert_eq!(node.get("/safe/1", invalid_headers).unwrap().status(), 200);
}

/// A request with both a length and a chunked body is rejected, however long its header section. The connection
/// closes after any chunked body, so that a smuggled request is not read.
#[test]
fn a_request_smuggled_behind_a_chunked_body_is_not_read() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let smuggled = String::from_utf8(get_request("/safe/hidden", "")).unwrap();
    let filler = format!("X-Filler: {}\r\n", "x".repeat(1000)).repeat(4);
    let chunked_request = |content_length: &str| {
        let head = "POST /once/1 HTTP/1.1\r\nX-Request-ID: c\r\nTransfer-Encoding: chunked\r\n";
        format!("{head}{filler}{content_length}\r\n5\r\nhello\r\n0\r\n\r\n{smuggled}")
    };
    for (content_length, status, requests) in [("Content-Length: 5\r\n", 400, 0), ("", 200, 1)] {
        let mut client = node.connect();
        client.write_all(chunked_request(content_length).as_bytes()).unwrap();
        let answer = read_message(&mut client).unwrap();
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (status, Some("close")),
            "{content_length}"
        );
        assert!(read_message(&mut client).is_none(), "the smuggled request is answered");
        assert_eq!(servers.request_count(), requests, "{content_length}");
    }
}

/// Guards against a request that is not sound and is served: its two lengths went unnoticed in a head that came in one
/// piece with the request before it, or behind empty lines.
#[test]
fn a_request_with_two_lengths_is_rejected_wherever_its_head_begins() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let two_lengths = |id: &str| {
        format!(
            "POST /once/1 HTTP/1.1\r\nX-Request-ID: {id}\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n\
             5\r\nhello\r\n0\r\n\r\n"
        )
    };
    let first = String::from_utf8(get_request("/safe/1", "")).unwrap();
    for (before, answered_before) in [("", 0), ("\r\n\r\n", 0), ("\r\n\n\r\n", 0), (&first, 1)] {
        let mut client = node.connect();
        client.write_all(format!("{before}{}", two_lengths("two")).as_bytes()).unwrap();
        for _ in 0..answered_before {
            assert_eq!(read_message(&mut client).unwrap().status(), 200);
        }
        let answer = read_message(&mut client);
        assert!(answer.is_none_or(|answer| answer.status() == 400), "behind {before:?}");
    }
    let served = servers.requests.lock().unwrap();
    assert!(served.iter().all(|request| request.header("x-request-id") != Some("two")));
    drop(served);
    // Empty lines alone are no fault, and neither is a chunked body.
    let sound = two_lengths("sound").replace("Content-Length: 5\r\n", "");
    assert_eq!(node.send_raw(format!("\r\n{sound}").as_bytes()).unwrap().status(), 200);
}

/// Guards against requests that are not sound and are served, as the HTTP library takes them: servers would read them
/// in another way.
#[test]
fn requests_that_servers_would_read_in_another_way_are_rejected() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    for (method, fields) in [
        ("POST", "Transfer-Encoding: gzip, chunked\r\n"),
        ("POST", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        ("POST", "Transfer-Encoding: chunked, chunked\r\n"),
        ("POST", "Host: b\r\nTransfer-Encoding: chunked\r\n"),
        ("POST", "X-Timeout-Ms: +480\r\nTransfer-Encoding: chunked\r\n"),
        ("CONNECT", ""),
    ] {
        let head =
            format!("{method} /once/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: {fields:?}\r\n{fields}\r\n");
        let answer = node.send_raw(format!("{head}5\r\nhello\r\n0\r\n\r\n").as_bytes());
        assert_eq!(answer.expect("it is answered").status(), 400, "{method} {fields:?}");
    }
    assert_eq!(servers.request_count(), 0);
    let sound = "POST /once/1 HTTP/1.1\r\nX-Request-ID: s\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(node.send_raw(sound.as_bytes()).unwrap().status(), 200);
}

/// Servers would treat the second request as a repeated attempt of the first. That holds when the first is over,
/// too: the server may have run it, and may still run it.
#[test]
fn a_request_id_that_may_have_run_is_rejected_with_409() {
    let servers = Servers::new(2, |n, _| if n == 0 { Reply::NoAnswer } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let request = post_request("/once/1", b"body");
    let mut first = node.connect();
    first.write_all(&request).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    assert_eq!(node.send_raw(&request).unwrap().status(), 409);
    assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
    assert_eq!(servers.request_count(), 2);
    assert_eq!(read_message(&mut first).unwrap().status(), 504);
    assert_eq!(node.send_raw(&request).unwrap().status(), 409);
    assert_eq!(servers.request_count(), 2);
    drop(first);
    // The same if the client has disconnected.
    let servers = Servers::new(2, |n, _| if n == 0 { Reply::NoAnswer } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut first = node.connect();
    first.write_all(&request).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    drop(first);
    wait_until("the request has ended", || node.metric("gw_outstanding") == Some(0.0));
    assert_eq!(node.send_raw(&request).unwrap().status(), 409);
    assert_eq!(servers.request_count(), 1);
}
