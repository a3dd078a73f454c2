//! Header sections, request targets, routes and message framing: what is forwarded and what is rejected.

use super::*;

#[test]
fn statuses_end_to_end_headers_and_bodies_are_forwarded() {
    let servers = Servers::new(1, |_, m| {
        let status = m.head.split(' ').nth(1).unwrap().trim_start_matches('/').replace('_', " ");
        Reply::Send(response(&status, "X-Own: yes\r\nX-Two: 1\r\nX-Two: 2\r\nKeep-Alive: 5\r\n", &m.body))
    });
    let node = start_with_default_config(&servers.addresses);
    for (status, method) in
        [("200_OK", "GET"), ("201_Made", "PUT"), ("404_No", "GET"), ("418_Pot", "PATCH"), ("599_X", "DELETE")]
    {
        let request = format!(
            "{method} /{status}?q=1 HTTP/1.1\r\nHost: A.org:80\r\nConnection: x-gone, keep-alive\r\nX-Gone: 1\r\n\
             X-Kept: 2\r\nContent-Length: 4\r\n\r\nbody"
        );
        let answer = node.send_raw(request.as_bytes()).unwrap();
        assert_eq!(answer.status().to_string(), status[..3], "{status}");
        assert_eq!((answer.header("x-own"), answer.header("keep-alive")), (Some("yes"), None));
        assert_eq!((answer.head.matches("x-two").count(), &answer.body[..]), (2, &b"body"[..]));
    }
    for request in servers.requests.lock().unwrap().iter() {
        assert!(request.head.contains("?q=1 HTTP/1.1"), "{}", request.head);
        assert_eq!((request.header("x-gone"), request.header("x-kept")), (None, Some("2")));
        assert_eq!(request.header("host"), Some("A.org:80"));
        assert_eq!(request.header("x-request-id").map(str::len), Some(16));
        assert_eq!((request.header("x-timeout-ms"), request.header("via")), (None, None));
    }
    assert_eq!(servers.connection_count(), 1);
}

/// Answers that have no body by definition keep their Content-Length.
#[test]
fn answers_without_a_body_end_after_their_header() {
    let servers = Servers::new(1, |n, _| {
        Reply::Send(match n {
            0 => b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n".to_vec(),
            1 => b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
            2 => b"HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\nETag: \"x\"\r\n\r\n".to_vec(),
            _ => response("200 OK", "", b"last"),
        })
    });
    let node = start_with_default_config(&servers.addresses);
    let answers = send_and_read_to_end(
        &node,
        b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n\
          GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    );
    let parts: Vec<_> = answers.split("\r\n\r\n").collect();
    assert_eq!(parts.len(), 5, "four answers to four pipelined requests: {answers}");
    assert!(parts[0].starts_with("HTTP/1.1 200") && parts[0].contains("content-length: 5000"), "{answers}");
    assert!(parts[1].starts_with("HTTP/1.1 204") && !parts[1].contains("content-length"), "{answers}");
    assert!(parts[2].starts_with("HTTP/1.1 304") && parts[2].contains("etag: \"x\""), "{answers}");
    assert!(parts[3].starts_with("HTTP/1.1 200") && parts[4] == "last", "{answers}");
    assert_eq!(servers.connection_count(), 1, "the server connection was not reused");
}

#[test]
fn request_targets_and_versions_are_forwarded_or_rejected_as_the_rfc_requires() {
    let servers = Servers::new(1, |_, m| Reply::Send(response("200 OK", "", m.head.as_bytes())));
    let node = start_with_default_config(&servers.addresses);
    for (request, line, host) in [
        ("GET http://b.org:99/x?y HTTP/1.1\r\nHost: a.org\r\n", "GET /x?y HTTP/1.1", "b.org:99"),
        ("OPTIONS * HTTP/1.1\r\nHost: a.org\r\n", "OPTIONS * HTTP/1.1", "a.org"),
        ("GET /a/../b//c HTTP/1.1\r\nHost: a.org.\r\n", "GET /b/c HTTP/1.1", "a.org."),
        ("GET /x HTTP/1.0\r\nHost: a.org\r\n", "GET /x HTTP/1.1", "a.org"),
    ] {
        let answer = send_and_read_to_end(&node, format!("{request}Connection: close\r\n\r\n").as_bytes());
        let (_, received) = answer.split_once("\r\n\r\n").unwrap();
        let host = format!("host: {host}\r\n");
        assert!(received.starts_with(line) && received.to_lowercase().contains(&host), "{request}: {answer}");
    }
    for (invalid, status) in [
        ("GET / HTTP/1.1\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: a b\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: user@a\r\n\r\n", "400"),
        ("CONNECT a.org:443 HTTP/1.1\r\nHost: a.org:443\r\n\r\n", "501"),
        ("GET / HTTP/1.1\r\nHost: a\r\nExpect: wonders\r\n\r\n", "417"),
    ] {
        let answer = send_and_read_to_end(&node, invalid.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{invalid}: {answer}");
    }
    assert_eq!(servers.request_count(), 4);
}

/// The server accepts the connection and reads nothing: the body stalls until the stall timeout.
#[test]
fn a_request_body_that_no_server_reads_times_out_with_504() {
    let stalled_server = spawn_raw_server(|stream| {
        std::thread::sleep(Duration::from_secs(30));
        drop(stream);
    });
    let pool =
        "[limits]\nstall_timeout = \"1s\"\n[[class]]\nname = \"all\"\neffect = \"unsafe\"\nmethods = [\"POST\"]\naim = \"200ms\"\ndeadline = \"500ms\"";
    let node = Node::start_with_operator_file(&config(&[stalled_server], "", pool, ""));
    let mut client = node.connect();
    write!(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 64000000\r\n\r\n").unwrap();
    let mut sender = client.try_clone().unwrap();
    let sending = std::thread::spawn(move || sender.write_all(&vec![b'x'; 64_000_000]));
    let started = Instant::now();
    let answer = read_message(&mut client).expect("no answer");
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    assert!(started.elapsed() < Duration::from_secs(15), "{:?}", started.elapsed());
    drop(client);
    let _ = sending.join().unwrap();
}

/// Also where more than the limit arrives in one read.
#[test]
fn a_request_header_over_its_limit_gets_431() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let node = start_with_default_config(&servers.addresses);
    let send_header_of = |bytes| {
        let value = "a".repeat(bytes);
        node.send_raw(format!("GET / HTTP/1.1\r\nHost: a.org\r\nX-Long: {value}\r\n\r\n").as_bytes()).unwrap()
    };
    assert_eq!(send_header_of(15_000).status(), 200);
    for bytes in [17_000, 30_000, 200_000] {
        let answer = send_header_of(bytes);
        assert_eq!((answer.status(), answer.header("connection")), (431, Some("close")), "{bytes} bytes");
    }
    assert_eq!(servers.request_count(), 1);
}

#[test]
fn no_spelling_of_a_host_or_path_bypasses_a_route() {
    let servers = Servers::new(1, |_, _| ok_reply("open"));
    let routes = "[[route]]\nname = \"shut\"\nhosts = [\"a.org\"]\npath_prefix = \"/admin\"\nanswer = { status = 403 }";
    let node = Node::start_with_operator_file(&config(&servers.addresses, "", "", routes));
    for (host, path, status) in [
        ("a.org", "/admin", 403),
        ("A.ORG", "/admin/x", 403),
        ("a.org:8080", "/admin", 403),
        ("a.org.", "/admin?x", 403),
        ("a.org", "/x/../admin", 403),
        ("a.org", "/x/%2e%2E/admin", 403),
        ("a.org", "//admin", 403),
        ("a.org", "/./admin/", 403),
        ("a.org", "/%61dmin", 403),
        ("a.org", "/x/..%2fadmin", 400),
        ("a.org", "/x/..%5cadmin", 400),
        ("a.org", "/x/..\\admin", 400),
        ("a.org", "/admin%00", 400),
        ("a.org", "/administrator", 200),
        ("b.org", "/admin", 200),
    ] {
        let answer =
            node.send_raw(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes()).unwrap();
        assert_eq!(answer.status(), status, "{host} {path}");
    }
}

#[test]
fn routes_redirect_answer_rewrite_and_list_allowed_methods() {
    let servers =
        Servers::new(1, |_, m| Reply::Send(response("200 OK", "X-Secret: 1\r\n", m.head.as_bytes())));
    let routes = r#"
[[route]]
name = "moved"
path = "/old"
redirect = { to = "https://{host}/new{query}", status = 308 }
[[route]]
name = "fixed"
path = "/fixed"
methods = ["GET", "PUT"]
answer = { status = 418, body = "short", content_type = "text/x" }
[[route]]
name = "written"
path_prefix = "/api"
pool = "boxes"
[route.rewrite]
prefix = "/v2"
host = "inner"
request = { remove = ["Cookie"], set = { X-Set = "new" }, add = { X-Add = "more" } }
response = { remove = ["X-Secret"], set = { X-By = "corkhollow" } }
[[route]]
name = "rest"
path_prefix = "/fixed"
methods = ["PATCH"]
answer = { status = 200 }
"#;
    let text = config(&servers.addresses, "", "", routes)
        .replace("name = \"all\"\n", "name = \"all\"\npath = \"/all\"\n");
    let node = Node::start_with_operator_file(&text);
    let moved = node.send_raw(&request_bytes("GET /old?a=b HTTP/1.1")).unwrap();
    assert_eq!((moved.status(), moved.header("location")), (308, Some("https://a.org/new?a=b")));
    let fixed = node.send_raw(&request_bytes("GET /fixed HTTP/1.1")).unwrap();
    assert_eq!(
        (fixed.status(), &fixed.body[..], fixed.header("content-type")),
        (418, &b"short"[..], Some("text/x"))
    );
    let not_allowed = node.send_raw(&request_bytes("DELETE /fixed HTTP/1.1")).unwrap();
    assert_eq!((not_allowed.status(), not_allowed.header("allow")), (405, Some("GET, PUT, PATCH")));
    assert_eq!(node.send_raw(&request_bytes("GET /nowhere HTTP/1.1")).unwrap().status(), 404);
    let request = "GET /api/x?q HTTP/1.1\r\nHost: a.org\r\nCookie: c\r\nX-Set: old\r\nX-Add: old\r\n\r\n";
    let rewritten = node.send_raw(request.as_bytes()).unwrap();
    let received = String::from_utf8(rewritten.body.clone()).unwrap();
    assert!(received.starts_with("GET /v2/x?q HTTP/1.1"), "{received}");
    assert!(
        received.contains("host: inner\r\n")
            && received.contains("x-set: new\r\n")
            && !received.contains("cookie"),
        "{received}"
    );
    assert_eq!(received.matches("x-add: ").count(), 2, "{received}");
    assert_eq!((rewritten.header("x-secret"), rewritten.header("x-by")), (None, Some("corkhollow")));
}

#[test]
fn forwarding_headers_are_added_as_the_listener_is_configured() {
    let servers =
        Servers::new(1, |_, m| Reply::Send(response("200 OK", "Via: 1.0 inner\r\n", m.head.as_bytes())));
    let request = b"GET / HTTP/1.1\r\nHost: a.org\r\nX-Forwarded-For: 9.9.9.9\r\nForwarded: for=9.9.9.9\r\n\
                    X-Request-ID: mine\r\nVia: 1.1 first\r\n\r\n";
    for (trust, forwarded_for) in [("false", "127.0.0.1"), ("true", "9.9.9.9, 127.0.0.1")] {
        let listener = format!("via = \"edge\"\nforwarded = \"both\"\ntrust_forwarded = {trust}");
        let node = Node::start_with_operator_file(&config(&servers.addresses, &listener, "", ""));
        let answer = node.send_raw(request).unwrap();
        let received = String::from_utf8(answer.body.clone()).unwrap();
        assert!(received.contains(&format!("x-forwarded-for: {forwarded_for}\r\n")), "{received}");
        assert!(
            received.contains("x-forwarded-host: a.org\r\n")
                && received.contains("x-forwarded-proto: http\r\n"),
            "{received}"
        );
        assert!(received.contains("for=127.0.0.1;host=\"a.org\";proto=http\r\n"), "{received}");
        assert!(received.contains("x-request-id: mine\r\n"), "{received}");
        assert!(
            received.contains("via: 1.1 first\r\n") && received.contains("via: 1.1 edge\r\n"),
            "{received}"
        );
        assert!(answer.head.contains("via: 1.0 inner\r\n") && answer.head.contains("via: 1.1 edge\r\n"));
    }
}

/// Streamed bodies arrive complete in either direction.
#[test]
fn long_bodies_are_streamed_in_constant_memory() {
    const BODY_BYTES: u64 = 200_000_000;
    let server = spawn_raw_server(|mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).unwrap_or(0) == 0 {
                return;
            }
            head.push(byte[0]);
        }
        let is_upload = head.starts_with(b"PUT");
        if is_upload {
            let received = std::io::copy(&mut (&stream).take(BODY_BYTES), &mut std::io::sink()).unwrap();
            let _ = stream.write_all(&response("200 OK", "", received.to_string().as_bytes()));
        } else {
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            );
            let chunk = vec![b'x'; 1 << 16];
            let mut left = BODY_BYTES;
            while left > 0 {
                let count = left.min(chunk.len() as u64) as usize;
                if stream.write_all(&chunk[..count]).is_err() {
                    return;
                }
                left -= count as u64;
            }
        }
    });
    let node = start_with_default_config(&[server]);
    node.send_raw(&request_bytes("GET / HTTP/1.1\r\nX: warm")).unwrap();
    let before = node.resident_bytes();
    let mut client = node.connect();
    client.write_all(&request_bytes("GET /down HTTP/1.1")).unwrap();
    let mut peak = before;
    let (mut received, mut chunk) = (0, vec![0; 1 << 20]);
    while received < BODY_BYTES {
        let count = client.read(&mut chunk).unwrap();
        assert!(count > 0, "truncated after {received} bytes");
        received += count as u64;
        peak = peak.max(node.resident_bytes());
    }
    let mut client = node.connect();
    write!(client, "PUT /up HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n").unwrap();
    let chunk = vec![b'y'; 1_000_000];
    for _ in 0..BODY_BYTES / 1_000_000 {
        client.write_all(&chunk).unwrap();
        peak = peak.max(node.resident_bytes());
    }
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, BODY_BYTES.to_string().as_bytes()));
    assert!(peak - before < 8_000_000, "memory grew by {} bytes", peak - before);
}

/// Backpressure: the answer must not be buffered in the program.
#[test]
fn a_client_that_reads_slowly_slows_its_server_down() {
    let sent = Arc::new(AtomicUsize::new(0));
    let closed = Arc::new(AtomicUsize::new(0));
    let (server_sent, server_closed) = (sent.clone(), closed.clone());
    let server = spawn_raw_server(move |mut stream| {
        let _ = read_message(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500000000\r\n\r\n");
        while stream.write_all(&[b'x'; 100_000]).is_ok() {
            server_sent.fetch_add(100_000, SeqCst);
        }
        server_closed.fetch_add(1, SeqCst);
    });
    let node = start_with_default_config(&[server]);
    let mut client = node.connect();
    client.write_all(&request_bytes("GET / HTTP/1.1")).unwrap();
    let mut first_bytes = [0; 1000];
    client.read_exact(&mut first_bytes).unwrap();
    let before = AtomicUsize::new(0);
    wait_until("the server can send no more", || {
        let now = sent.load(SeqCst);
        let is_stalled = now > 0 && now == before.swap(now, SeqCst);
        std::thread::sleep(Duration::from_millis(200));
        is_stalled
    });
    assert!(sent.load(SeqCst) < 100_000_000, "the server sent {} bytes", sent.load(SeqCst));
    drop(client);
    wait_until("the server connection is closed", || closed.load(SeqCst) == 1);
}

#[test]
fn chunked_bodies_and_trailers_are_forwarded() {
    let servers = Servers::new(1, |_, m| {
        let body = format!("{} {}", m.header("transfer-encoding").unwrap_or("-"), m.body.len());
        let chunked = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n{:x}\r\n{body}\r\n0\r\nX-Sum: 7\r\n\r\n",
            body.len()
        );
        Reply::Send(chunked.into_bytes())
    });
    let node = start_with_default_config(&servers.addresses);
    let chunked_request = |body: usize| {
        let chunk = format!("{:x}\r\n{}\r\n", body, "x".repeat(body));
        format!("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTE: trailers\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")
    };
    // A short body is buffered and sent with a length, a longer one is streamed in chunks.
    for (length, expected) in [(1000, "- 1000"), (100_000, "chunked 100000")] {
        let answer = send_and_read_to_end(&node, chunked_request(length).as_bytes());
        assert!(
            answer.contains(expected) && answer.to_lowercase().contains("x-sum: 7"),
            "{length}: {answer}"
        );
    }
}

/// A request with both a length and a chunked body is only noticed if its header is read on its own. Where it
/// is pipelined behind another request, neither it nor what follows may be read.
#[test]
fn a_connection_is_reused_after_a_chunked_body_but_not_after_an_ambiguous_request() {
    let servers = Servers::new(1, |_, m| ok_reply(&m.body.len().to_string()));
    let node = start_with_default_config(&servers.addresses);
    let chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut stream = node.connect();
    for k in 0..3 {
        stream.write_all(chunked.as_bytes()).unwrap();
        let answer = read_message(&mut stream).unwrap();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"3"[..]), "request {k}");
        assert_eq!(answer.header("connection"), None, "request {k}");
    }
    let ambiguous = chunked.replace("chunked\r\n\r\n", "chunked\r\nContent-Length: 4\r\n\r\n");
    let hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    let preceding = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    // Split so that the second part looks like a header section of its own.
    let (start, end) = ambiguous.split_at(ambiguous.find("Host").unwrap());
    for (first, rest) in [
        (format!("{preceding}{ambiguous}{hidden}"), String::new()),
        (format!("{preceding}{start}"), format!("{end}{hidden}")),
    ] {
        let mut stream = node.connect();
        stream.write_all(first.as_bytes()).unwrap();
        assert_eq!(read_message(&mut stream).unwrap().status(), 200);
        stream.write_all(rest.as_bytes()).unwrap();
        let mut answers = String::new();
        let _ = stream.read_to_string(&mut answers);
        assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{answers}");
    }
    let requests = servers.requests.lock().unwrap();
    assert!(requests.iter().all(|m| !m.head.contains("hidden")), "{requests:?}");
}

/// Guards against request smuggling.
#[test]
fn ambiguous_and_malformed_requests_are_rejected_and_nothing_behind_them_is_read() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let node = start_with_default_config(&servers.addresses);
    let hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    let post =
        |headers: &str, body: &str| format!("POST / HTTP/1.1\r\nHost: a\r\n{headers}\r\n\r\n{body}{hidden}");
    for (k, bytes) in [
        post("Content-Length: 4\r\nContent-Length: 5", "body"),
        post("Content-Length: 4, 5", "body"),
        post("Content-Length: +4", "body"),
        post("Content-Length: 0x4", "body"),
        post("Content-Length: -1", ""),
        post("Content-Length: 99999999999999999999", ""),
        post("Content-Length: 4\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\nContent-Length: 4", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked, identity", "0\r\n\r\n"),
        post("Transfer-Encoding: xchunked", "0\r\n\r\n"),
        post("Transfer-Encoding: identity", ""),
        post("Transfer-Encoding : chunked", "0\r\n\r\n"),
        post("Content-Length : 4", "body"),
        post("X: a\r\n Content-Length: 4", "body"),
        post("X: a\0b", ""),
        post("X: a\rb", ""),
        post("Content-Length: 4\nX: y", "body"),
        "GET / HTTP/1.1\nHost: a\n\n".to_owned() + hidden,
        post("Transfer-Encoding: chunked", "zz\r\nx\r\n0\r\n\r\n"),
        post("Transfer-Encoding: chunked", "-1\r\nx\r\n0\r\n\r\n"),
        post("Transfer-Encoding: chunked", "10000000000000000\r\nx\r\n0\r\n\r\n"),
        post("Transfer-Encoding: chunked", "1\r\nxy\r\n0\r\n\r\n"),
        post("Transfer-Encoding: chunked", "1 2\r\nx\r\n0\r\n\r\n"),
    ]
    .iter()
    .enumerate()
    {
        let answer = send_and_read_to_end(&node, bytes.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 4") || answer.is_empty(), "case {k}: {bytes:?}\n{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), answer.len().min(1), "case {k}: {answer}");
    }
    assert_eq!(
        servers.request_count(),
        0,
        "{:?}",
        servers.requests.lock().unwrap().iter().map(|m| &m.head).collect::<Vec<_>>()
    );
    assert_eq!(node.send_raw(&request_bytes("GET / HTTP/1.1")).unwrap().status(), 200);
}

/// Guards against response splitting: bytes behind or within an invalid answer must not be taken for the answer
/// to the next request.
#[test]
fn surplus_bytes_of_a_server_never_reach_another_client() {
    let injected = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    for (k, invalid) in [
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok{injected}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n{injected}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 60\r\n\r\nok{injected}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n{injected}"),
        format!("HTTP/1.1 204 No Content\r\n\r\n{injected}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\r\n{injected}"),
        format!("HTTP/1.1 200 OK\r\nX: a\0b\r\nContent-Length: 2\r\n\r\nok{injected}"),
    ]
    .into_iter()
    .enumerate()
    {
        let servers = Servers::new(1, move |_, m| match m.head.contains("/bad") {
            true => Reply::Send(invalid.clone().into_bytes()),
            false => ok_reply("good"),
        });
        let node = start_with_default_config(&servers.addresses);
        let mut client = node.connect();
        client.write_all(b"POST /bad HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").unwrap();
        // Any outcome will do for the invalid answer itself.
        let _ = read_message(&mut client);
        wait_until("the next client is served", || {
            node.send_raw(&request_bytes("GET /good HTTP/1.1")).is_some_and(|m| {
                assert!(m.status() != 200 || m.body == b"good", "case {k}: {:?}", String::from_utf8_lossy(&m.body));
                m.status() == 200
            })
        });
    }
}
