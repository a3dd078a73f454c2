//! Heads, targets, routes and framing: what passes, and what is turned away.

use super::*;

#[test]
fn statuses_headers_and_bodies_pass() {
    let servers = Servers::new(1, |_, m| {
        let status = m.head.split(' ').nth(1).unwrap().trim_start_matches('/').replace('_', " ");
        Reply::Send(response(&status, "X-Own: yes\r\nX-Two: 1\r\nX-Two: 2\r\nKeep-Alive: 5\r\n", &m.body))
    });
    let node = plain(&servers.addresses);
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

/// Answers without a body by definition keep the length that they announce.
#[test]
fn answers_without_a_body_end_with_their_head() {
    let servers = Servers::new(1, |n, _| {
        Reply::Send(match n {
            0 => b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n".to_vec(),
            1 => b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
            2 => b"HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\nETag: \"x\"\r\n\r\n".to_vec(),
            _ => response("200 OK", "", b"last"),
        })
    });
    let node = plain(&servers.addresses);
    let all = whole(
        &node,
        b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n\
          GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    );
    let heads: Vec<_> = all.split("\r\n\r\n").collect();
    assert_eq!(heads.len(), 5, "four answers to four pipelined requests: {all}");
    assert!(heads[0].starts_with("HTTP/1.1 200") && heads[0].contains("content-length: 5000"), "{all}");
    assert!(heads[1].starts_with("HTTP/1.1 204") && !heads[1].contains("content-length"), "{all}");
    assert!(heads[2].starts_with("HTTP/1.1 304") && heads[2].contains("etag: \"x\""), "{all}");
    assert!(heads[3].starts_with("HTTP/1.1 200") && heads[4] == "last", "{all}");
    assert_eq!(servers.connection_count(), 1, "each answer's end was found");
}

#[test]
fn targets_and_versions_are_read_as_the_rfc_has_them() {
    let servers = Servers::new(1, |_, m| Reply::Send(response("200 OK", "", m.head.as_bytes())));
    let node = plain(&servers.addresses);
    for (request, line, host) in [
        ("GET http://b.org:99/x?y HTTP/1.1\r\nHost: a.org\r\n", "GET /x?y HTTP/1.1", "b.org:99"),
        ("OPTIONS * HTTP/1.1\r\nHost: a.org\r\n", "OPTIONS * HTTP/1.1", "a.org"),
        ("GET /a/../b//c HTTP/1.1\r\nHost: a.org.\r\n", "GET /b/c HTTP/1.1", "a.org."),
        ("GET /x HTTP/1.0\r\nHost: a.org\r\n", "GET /x HTTP/1.1", "a.org"),
    ] {
        let answer = whole(&node, format!("{request}Connection: close\r\n\r\n").as_bytes());
        let (_, seen) = answer.split_once("\r\n\r\n").unwrap();
        let host = format!("host: {host}\r\n");
        assert!(seen.starts_with(line) && seen.to_lowercase().contains(&host), "{request}: {answer}");
    }
    for (bad, status) in [
        ("GET / HTTP/1.1\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: a b\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: user@a\r\n\r\n", "400"),
        ("CONNECT a.org:443 HTTP/1.1\r\nHost: a.org:443\r\n\r\n", "501"),
        ("GET / HTTP/1.1\r\nHost: a\r\nExpect: wonders\r\n\r\n", "417"),
    ] {
        let answer = whole(&node, bad.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{bad}: {answer}");
    }
    assert_eq!(servers.request_count(), 4);
}

/// A server that takes a connection and reads nothing: the client's long body stands still, and has its answer when that has
/// lasted too long.
#[test]
fn a_body_that_no_server_reads_is_answered() {
    let deaf = spawn_raw_server(|stream| {
        std::thread::sleep(Duration::from_secs(30));
        drop(stream);
    });
    let pool =
        "[limits]\nstall_timeout = \"1s\"\n[[class]]\nname = \"all\"\neffect = \"unsafe\"\nmethods = [\"POST\"]\naim = \"200ms\"\ndeadline = \"500ms\"";
    let node = Node::start_with_operator_file(&site(&[deaf], "", pool, ""));
    let mut client = node.connect();
    write!(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 64000000\r\n\r\n").unwrap();
    let mut sender = client.try_clone().unwrap();
    let sending = std::thread::spawn(move || sender.write_all(&vec![b'x'; 64_000_000]));
    let begun = Instant::now();
    let answer = read_message(&mut client).expect("no answer");
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    assert!(begun.elapsed() < Duration::from_secs(15), "{:?}", begun.elapsed());
    drop(client);
    let _ = sending.join().unwrap();
}

/// A head over its limit is answered so, also where a connection reads more than that at once, and reaches no server.
#[test]
fn a_head_over_its_limit_is_told_so() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let node = plain(&servers.addresses);
    let asks = |long| {
        let value = "a".repeat(long);
        node.send_raw(format!("GET / HTTP/1.1\r\nHost: a.org\r\nX-Long: {value}\r\n\r\n").as_bytes()).unwrap()
    };
    assert_eq!(asks(15_000).status(), 200);
    for long in [17_000, 30_000, 200_000] {
        let answer = asks(long);
        assert_eq!((answer.status(), answer.header("connection")), (431, Some("close")), "{long}");
    }
    assert_eq!(servers.request_count(), 1);
}

/// No spelling of a host or a path leads round the route that is meant to take it.
#[test]
fn no_spelling_leads_round_a_route() {
    let servers = Servers::new(1, |_, _| ok_reply("open"));
    let routes = "[[route]]\nname = \"shut\"\nhosts = [\"a.org\"]\npath_prefix = \"/admin\"\nanswer = { status = 403 }";
    let node = Node::start_with_operator_file(&site(&servers.addresses, "", "", routes));
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
fn routes_redirect_answer_rewrite_and_name_other_methods() {
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
    let text = site(&servers.addresses, "", "", routes)
        .replace("name = \"all\"\n", "name = \"all\"\npath = \"/all\"\n");
    let node = Node::start_with_operator_file(&text);
    let moved = node.send_raw(&asked("GET /old?a=b HTTP/1.1")).unwrap();
    assert_eq!((moved.status(), moved.header("location")), (308, Some("https://a.org/new?a=b")));
    let fixed = node.send_raw(&asked("GET /fixed HTTP/1.1")).unwrap();
    assert_eq!(
        (fixed.status(), &fixed.body[..], fixed.header("content-type")),
        (418, &b"short"[..], Some("text/x"))
    );
    let other = node.send_raw(&asked("DELETE /fixed HTTP/1.1")).unwrap();
    assert_eq!((other.status(), other.header("allow")), (405, Some("GET, PUT, PATCH")));
    assert_eq!(node.send_raw(&asked("GET /nowhere HTTP/1.1")).unwrap().status(), 404);
    let request = "GET /api/x?q HTTP/1.1\r\nHost: a.org\r\nCookie: c\r\nX-Set: old\r\nX-Add: old\r\n\r\n";
    let written = node.send_raw(request.as_bytes()).unwrap();
    let seen = String::from_utf8(written.body.clone()).unwrap();
    assert!(seen.starts_with("GET /v2/x?q HTTP/1.1"), "{seen}");
    assert!(
        seen.contains("host: inner\r\n") && seen.contains("x-set: new\r\n") && !seen.contains("cookie"),
        "{seen}"
    );
    assert_eq!(seen.matches("x-add: ").count(), 2, "{seen}");
    assert_eq!((written.header("x-secret"), written.header("x-by")), (None, Some("corkhollow")));
}

#[test]
fn servers_are_told_of_the_client_by_setting() {
    let servers =
        Servers::new(1, |_, m| Reply::Send(response("200 OK", "Via: 1.0 inner\r\n", m.head.as_bytes())));
    let request = b"GET / HTTP/1.1\r\nHost: a.org\r\nX-Forwarded-For: 9.9.9.9\r\nForwarded: for=9.9.9.9\r\n\
                    X-Request-ID: mine\r\nVia: 1.1 first\r\n\r\n";
    for (trust, for_) in [("false", "127.0.0.1"), ("true", "9.9.9.9, 127.0.0.1")] {
        let listener = format!("via = \"edge\"\nforwarded = \"both\"\ntrust_forwarded = {trust}");
        let node = Node::start_with_operator_file(&site(&servers.addresses, &listener, "", ""));
        let answer = node.send_raw(request).unwrap();
        let seen = String::from_utf8(answer.body.clone()).unwrap();
        assert!(seen.contains(&format!("x-forwarded-for: {for_}\r\n")), "{seen}");
        assert!(
            seen.contains("x-forwarded-host: a.org\r\n") && seen.contains("x-forwarded-proto: http\r\n"),
            "{seen}"
        );
        assert!(seen.contains("for=127.0.0.1;host=\"a.org\";proto=http\r\n"), "{seen}");
        assert!(seen.contains("x-request-id: mine\r\n"), "{seen}");
        assert!(seen.contains("via: 1.1 first\r\n") && seen.contains("via: 1.1 edge\r\n"), "{seen}");
        assert!(answer.head.contains("via: 1.0 inner\r\n") && answer.head.contains("via: 1.1 edge\r\n"));
    }
}

/// A body that passes as it comes takes no memory to speak of, either way, and arrives whole.
#[test]
fn long_bodies_pass_in_constant_memory() {
    const LONG: u64 = 200_000_000;
    let dial = spawn_raw_server(|mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).unwrap_or(0) == 0 {
                return;
            }
            head.push(byte[0]);
        }
        let up = head.starts_with(b"PUT");
        if up {
            let taken = std::io::copy(&mut (&stream).take(LONG), &mut std::io::sink()).unwrap();
            let _ = stream.write_all(&response("200 OK", "", taken.to_string().as_bytes()));
        } else {
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {LONG}\r\n\r\n");
            let chunk = vec![b'x'; 1 << 16];
            let mut left = LONG;
            while left > 0 {
                let n = left.min(chunk.len() as u64) as usize;
                if stream.write_all(&chunk[..n]).is_err() {
                    return;
                }
                left -= n as u64;
            }
        }
    });
    let node = plain(&[dial]);
    node.send_raw(&asked("GET / HTTP/1.1\r\nX: warm")).unwrap();
    let before = node.resident_bytes();
    let mut client = node.connect();
    client.write_all(&asked("GET /down HTTP/1.1")).unwrap();
    let mut most = before;
    let (mut taken, mut chunk) = (0, vec![0; 1 << 20]);
    while taken < LONG {
        let n = client.read(&mut chunk).unwrap();
        assert!(n > 0, "cut after {taken}");
        taken += n as u64;
        most = most.max(node.resident_bytes());
    }
    let mut client = node.connect();
    write!(client, "PUT /up HTTP/1.1\r\nHost: a\r\nContent-Length: {LONG}\r\n\r\n").unwrap();
    let chunk = vec![b'y'; 1_000_000];
    for _ in 0..LONG / 1_000_000 {
        client.write_all(&chunk).unwrap();
        most = most.max(node.resident_bytes());
    }
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, LONG.to_string().as_bytes()));
    assert!(most - before < 8_000_000, "{} bytes more", most - before);
}

/// A client that reads slowly holds its server up, and not the program's memory.
#[test]
fn a_slow_reader_holds_its_server_back() {
    let sent = Arc::new(AtomicUsize::new(0));
    let let_go = Arc::new(AtomicUsize::new(0));
    let (counted, ended) = (sent.clone(), let_go.clone());
    let dial = spawn_raw_server(move |mut stream| {
        let _ = read_message(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500000000\r\n\r\n");
        while stream.write_all(&[b'x'; 100_000]).is_ok() {
            counted.fetch_add(100_000, SeqCst);
        }
        ended.fetch_add(1, SeqCst);
    });
    let node = plain(&[dial]);
    let mut client = node.connect();
    client.write_all(&asked("GET / HTTP/1.1")).unwrap();
    let mut first = [0; 1000];
    client.read_exact(&mut first).unwrap();
    let before = AtomicUsize::new(0);
    wait_until("the server is held back", || {
        let now = sent.load(SeqCst);
        let stands = now > 0 && now == before.swap(now, SeqCst);
        std::thread::sleep(Duration::from_millis(200));
        stands
    });
    assert!(sent.load(SeqCst) < 100_000_000, "{}", sent.load(SeqCst));
    drop(client);
    wait_until("the server is let go", || let_go.load(SeqCst) == 1);
}

#[test]
fn chunked_bodies_and_trailers_pass() {
    let servers = Servers::new(1, |_, m| {
        let body = format!("{} {}", m.header("transfer-encoding").unwrap_or("-"), m.body.len());
        let chunked = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n{:x}\r\n{body}\r\n0\r\nX-Sum: 7\r\n\r\n",
            body.len()
        );
        Reply::Send(chunked.into_bytes())
    });
    let node = plain(&servers.addresses);
    let request = |body: usize| {
        let chunk = format!("{:x}\r\n{}\r\n", body, "x".repeat(body));
        format!("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTE: trailers\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")
    };
    // Short enough to be kept, and so sent with a length; and too long for that.
    for (length, seen) in [(1000, "- 1000"), (100_000, "chunked 100000")] {
        let answer = whole(&node, request(length).as_bytes());
        assert!(answer.contains(seen) && answer.to_lowercase().contains("x-sum: 7"), "{length}: {answer}");
    }
}

/// A connection goes on behind a chunked body, as long as its head was seen as it came: behind another request in one
/// piece a length beside the coding could not be noticed, and what it hides is not read.
#[test]
fn a_connection_goes_on_behind_a_chunked_body() {
    let servers = Servers::new(1, |_, m| ok_reply(&m.body.len().to_string()));
    let node = plain(&servers.addresses);
    let chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut stream = node.connect();
    for k in 0..3 {
        stream.write_all(chunked.as_bytes()).unwrap();
        let answer = read_message(&mut stream).unwrap();
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"3"[..]), "request {k}");
        assert_eq!(answer.header("connection"), None, "request {k}");
    }
    let both = chunked.replace("chunked\r\n\r\n", "chunked\r\nContent-Length: 4\r\n\r\n");
    let hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    let before = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    // Cut so that what comes later looks like a head of its own.
    let (start, end) = both.split_at(both.find("Host").unwrap());
    for (first, rest) in [
        (format!("{before}{both}{hidden}"), String::new()),
        (format!("{before}{start}"), format!("{end}{hidden}")),
    ] {
        let mut stream = node.connect();
        stream.write_all(first.as_bytes()).unwrap();
        assert_eq!(read_message(&mut stream).unwrap().status(), 200);
        stream.write_all(rest.as_bytes()).unwrap();
        let mut all = String::new();
        let _ = stream.read_to_string(&mut all);
        assert_eq!(all.matches("HTTP/1.1 ").count(), 1, "{all}");
    }
    let heads = servers.requests.lock().unwrap();
    assert!(heads.iter().all(|m| !m.head.contains("hidden")), "{heads:?}");
}

/// Each is turned away with nothing passed on, and nothing behind it is read.
#[test]
fn smuggled_requests_go_nowhere() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let node = plain(&servers.addresses);
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
        let answer = whole(&node, bytes.as_bytes());
        assert!(answer.starts_with("HTTP/1.1 4") || answer.is_empty(), "case {k}: {bytes:?}\n{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), answer.len().min(1), "case {k}: {answer}");
    }
    assert_eq!(
        servers.request_count(),
        0,
        "{:?}",
        servers.requests.lock().unwrap().iter().map(|m| &m.head).collect::<Vec<_>>()
    );
    assert_eq!(node.send_raw(&asked("GET / HTTP/1.1")).unwrap().status(), 200);
}

/// What a server puts behind its answer, or hides in it, is never the next client's answer.
#[test]
fn a_spoilt_answer_never_reaches_the_next_client() {
    let evil = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    for (k, spoilt) in [
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok{evil}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n{evil}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 60\r\n\r\nok{evil}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n{evil}"),
        format!("HTTP/1.1 204 No Content\r\n\r\n{evil}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\r\n{evil}"),
        format!("HTTP/1.1 200 OK\r\nX: a\0b\r\nContent-Length: 2\r\n\r\nok{evil}"),
    ]
    .into_iter()
    .enumerate()
    {
        let servers = Servers::new(1, move |_, m| match m.head.contains("/bad") {
            true => Reply::Send(spoilt.clone().into_bytes()),
            false => ok_reply("good"),
        });
        let node = plain(&servers.addresses);
        let mut client = node.connect();
        client.write_all(b"POST /bad HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").unwrap();
        // What becomes of the spoilt one itself is its client's to see; the next must get its own.
        let _ = read_message(&mut client);
        wait_until("the next client is served", || {
            node.send_raw(&asked("GET /good HTTP/1.1")).is_some_and(|m| {
                assert!(m.status() != 200 || m.body == b"good", "case {k}: {:?}", String::from_utf8_lossy(&m.body));
                m.status() == 200
            })
        });
    }
}
