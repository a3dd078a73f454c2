//! The program on an operator's file, before ordinary HTTP/1.1 servers: what passes, what is answered by itself, and
//! what happens when either side misbehaves.

use corkhollow_standin::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

fn server_list(dials: &[SocketAddr]) -> String {
    dials.iter().map(|d| format!("{{ address = \"{d}\" }}, ")).collect()
}

/// A site of one listener and one pool; `listener`, `pool` and `routes` are further lines.
fn site(dials: &[SocketAddr], listener: &str, pool: &str, routes: &str) -> String {
    let servers = server_list(dials);
    format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n{listener}\n\
         [[pool]]\nname = \"boxes\"\nservers = [{servers}]\n{pool}\n{routes}\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n"
    )
}

fn plain(dials: &[SocketAddr]) -> Node {
    Node::site(&site(dials, "", "", ""))
}

/// What comes back until the connection ends.
fn whole(node: &Node, bytes: &[u8]) -> String {
    let mut stream = node.connect();
    stream.write_all(bytes).unwrap();
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

fn asked(request: &str) -> Vec<u8> {
    format!("{request}\r\nHost: a.org\r\n\r\n").into_bytes()
}

#[test]
fn statuses_headers_and_bodies_pass() {
    let servers = Servers::new(1, |_, m| {
        let status = m.head.split(' ').nth(1).unwrap().trim_start_matches('/').replace('_', " ");
        Reply::Say(response(&status, "X-Own: yes\r\nX-Two: 1\r\nX-Two: 2\r\nKeep-Alive: 5\r\n", &m.body))
    });
    let node = plain(&servers.dials);
    for (status, method) in
        [("200_OK", "GET"), ("201_Made", "PUT"), ("404_No", "GET"), ("418_Pot", "PATCH"), ("599_X", "DELETE")]
    {
        let request = format!(
            "{method} /{status}?q=1 HTTP/1.1\r\nHost: A.org:80\r\nConnection: x-gone, keep-alive\r\nX-Gone: 1\r\n\
             X-Kept: 2\r\nContent-Length: 4\r\n\r\nbody"
        );
        let answer = node.raw(request.as_bytes()).unwrap();
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
    assert_eq!(servers.connected(), 1);
}

/// Answers without a body by definition keep the length that they tell of.
#[test]
fn answers_without_a_body_end_with_their_head() {
    let servers = Servers::new(1, |n, _| {
        Reply::Say(match n {
            0 => b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n".to_vec(),
            1 => b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
            2 => b"HTTP/1.1 304 Not Modified\r\nContent-Length: 77\r\nETag: \"x\"\r\n\r\n".to_vec(),
            _ => response("200 OK", "", b"last"),
        })
    });
    let node = plain(&servers.dials);
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
    assert_eq!(servers.connected(), 1, "each answer's end was found");
}

#[test]
fn targets_and_versions_are_read_as_the_rfc_has_them() {
    let servers = Servers::new(1, |_, m| Reply::Say(response("200 OK", "", m.head.as_bytes())));
    let node = plain(&servers.dials);
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
    assert_eq!(servers.seen(), 4);
}

/// A server that takes a connection and reads nothing: the client's long body stands still, and has its answer when that has
/// lasted too long.
#[test]
fn a_body_that_no_server_reads_is_answered() {
    let deaf = raw(|stream| {
        std::thread::sleep(Duration::from_secs(30));
        drop(stream);
    });
    let pool =
        "[limits]\nstall_timeout = \"1s\"\n[[class]]\nname = \"all\"\neffect = \"unsafe\"\nmethods = [\"POST\"]\naim = \"200ms\"\ndeadline = \"500ms\"";
    let node = Node::site(&site(&[deaf], "", pool, ""));
    let mut client = node.connect();
    write!(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 64000000\r\n\r\n").unwrap();
    let mut sender = client.try_clone().unwrap();
    let sending = std::thread::spawn(move || sender.write_all(&vec![b'x'; 64_000_000]));
    let begun = Instant::now();
    let answer = read(&mut client).expect("no answer");
    assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    assert!(begun.elapsed() < Duration::from_secs(15), "{:?}", begun.elapsed());
    drop(client);
    let _ = sending.join().unwrap();
}

/// A head over its limit is told so, also where a connection reads more than that at once, and reaches no server.
#[test]
fn a_head_over_its_limit_is_told_so() {
    let servers = Servers::new(1, |_, _| ok("fine"));
    let node = plain(&servers.dials);
    let asks = |long| {
        let value = "a".repeat(long);
        node.raw(format!("GET / HTTP/1.1\r\nHost: a.org\r\nX-Long: {value}\r\n\r\n").as_bytes()).unwrap()
    };
    assert_eq!(asks(15_000).status(), 200);
    for long in [17_000, 30_000, 200_000] {
        let answer = asks(long);
        assert_eq!((answer.status(), answer.header("connection")), (431, Some("close")), "{long}");
    }
    assert_eq!(servers.seen(), 1);
}

/// No spelling of a host or a path leads round the route that is meant to take it.
#[test]
fn no_spelling_leads_round_a_route() {
    let servers = Servers::new(1, |_, _| ok("open"));
    let routes = "[[route]]\nname = \"shut\"\nhosts = [\"a.org\"]\npath_prefix = \"/admin\"\nanswer = { status = 403 }";
    let node = Node::site(&site(&servers.dials, "", "", routes));
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
        let answer = node.raw(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes()).unwrap();
        assert_eq!(answer.status(), status, "{host} {path}");
    }
}

#[test]
fn routes_redirect_answer_rewrite_and_name_other_methods() {
    let servers =
        Servers::new(1, |_, m| Reply::Say(response("200 OK", "X-Secret: 1\r\n", m.head.as_bytes())));
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
    let text =
        site(&servers.dials, "", "", routes).replace("name = \"all\"\n", "name = \"all\"\npath = \"/all\"\n");
    let node = Node::site(&text);
    let moved = node.raw(&asked("GET /old?a=b HTTP/1.1")).unwrap();
    assert_eq!((moved.status(), moved.header("location")), (308, Some("https://a.org/new?a=b")));
    let fixed = node.raw(&asked("GET /fixed HTTP/1.1")).unwrap();
    assert_eq!(
        (fixed.status(), &fixed.body[..], fixed.header("content-type")),
        (418, &b"short"[..], Some("text/x"))
    );
    let other = node.raw(&asked("DELETE /fixed HTTP/1.1")).unwrap();
    assert_eq!((other.status(), other.header("allow")), (405, Some("GET, PUT, PATCH")));
    assert_eq!(node.raw(&asked("GET /nowhere HTTP/1.1")).unwrap().status(), 404);
    let request = "GET /api/x?q HTTP/1.1\r\nHost: a.org\r\nCookie: c\r\nX-Set: old\r\nX-Add: old\r\n\r\n";
    let written = node.raw(request.as_bytes()).unwrap();
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
        Servers::new(1, |_, m| Reply::Say(response("200 OK", "Via: 1.0 inner\r\n", m.head.as_bytes())));
    let request = b"GET / HTTP/1.1\r\nHost: a.org\r\nX-Forwarded-For: 9.9.9.9\r\nForwarded: for=9.9.9.9\r\n\
                    X-Request-ID: mine\r\nVia: 1.1 first\r\n\r\n";
    for (trust, for_) in [("false", "127.0.0.1"), ("true", "9.9.9.9, 127.0.0.1")] {
        let listener = format!("via = \"edge\"\nforwarded = \"both\"\ntrust_forwarded = {trust}");
        let node = Node::site(&site(&servers.dials, &listener, "", ""));
        let answer = node.raw(request).unwrap();
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
    let dial = raw(|mut stream| {
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
    node.raw(&asked("GET / HTTP/1.1\r\nX: warm")).unwrap();
    let before = node.memory();
    let mut client = node.connect();
    client.write_all(&asked("GET /down HTTP/1.1")).unwrap();
    let mut most = before;
    let (mut taken, mut chunk) = (0, vec![0; 1 << 20]);
    while taken < LONG {
        let n = client.read(&mut chunk).unwrap();
        assert!(n > 0, "cut after {taken}");
        taken += n as u64;
        most = most.max(node.memory());
    }
    let mut client = node.connect();
    write!(client, "PUT /up HTTP/1.1\r\nHost: a\r\nContent-Length: {LONG}\r\n\r\n").unwrap();
    let chunk = vec![b'y'; 1_000_000];
    for _ in 0..LONG / 1_000_000 {
        client.write_all(&chunk).unwrap();
        most = most.max(node.memory());
    }
    let answer = read(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, LONG.to_string().as_bytes()));
    assert!(most - before < 8_000_000, "{} bytes more", most - before);
}

/// A client that reads slowly holds its server up, and not the program's memory.
#[test]
fn a_slow_reader_holds_its_server_back() {
    let sent = Arc::new(AtomicUsize::new(0));
    let let_go = Arc::new(AtomicUsize::new(0));
    let (counted, ended) = (sent.clone(), let_go.clone());
    let dial = raw(move |mut stream| {
        let _ = read(&mut stream);
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
    until("the server is held back", || {
        let now = sent.load(SeqCst);
        let stands = now > 0 && now == before.swap(now, SeqCst);
        std::thread::sleep(Duration::from_millis(200));
        stands
    });
    assert!(sent.load(SeqCst) < 100_000_000, "{}", sent.load(SeqCst));
    drop(client);
    until("the server is let go", || let_go.load(SeqCst) == 1);
}

#[test]
fn chunked_bodies_and_trailers_pass() {
    let servers = Servers::new(1, |_, m| {
        let body = format!("{} {}", m.header("transfer-encoding").unwrap_or("-"), m.body.len());
        let chunked = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n{:x}\r\n{body}\r\n0\r\nX-Sum: 7\r\n\r\n",
            body.len()
        );
        Reply::Say(chunked.into_bytes())
    });
    let node = plain(&servers.dials);
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
/// piece a length beside the coding could not be told, and what it hides is not read.
#[test]
fn a_connection_goes_on_behind_a_chunked_body() {
    let servers = Servers::new(1, |_, m| ok(&m.body.len().to_string()));
    let node = plain(&servers.dials);
    let chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut stream = node.connect();
    for k in 0..3 {
        stream.write_all(chunked.as_bytes()).unwrap();
        let answer = read(&mut stream).unwrap();
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
        assert_eq!(read(&mut stream).unwrap().status(), 200);
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
    let servers = Servers::new(1, |_, _| ok("fine"));
    let node = plain(&servers.dials);
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
        servers.seen(),
        0,
        "{:?}",
        servers.requests.lock().unwrap().iter().map(|m| &m.head).collect::<Vec<_>>()
    );
    assert_eq!(node.raw(&asked("GET / HTTP/1.1")).unwrap().status(), 200);
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
            true => Reply::Say(spoilt.clone().into_bytes()),
            false => ok("good"),
        });
        let node = plain(&servers.dials);
        let mut client = node.connect();
        client.write_all(b"POST /bad HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").unwrap();
        // What becomes of the spoilt one itself is its client's to see; the next must get its own.
        let _ = read(&mut client);
        until("the next client is served", || {
            node.raw(&asked("GET /good HTTP/1.1")).is_some_and(|m| {
                assert!(m.status() != 200 || m.body == b"good", "case {k}: {:?}", String::from_utf8_lossy(&m.body));
                m.status() == 200
            })
        });
    }
}

/// A route that answers by itself reads a short body, so that the connection goes on; behind a long one it says that it
/// closes, and the client gets the answer also where it sends all of its body first.
#[test]
fn an_answer_reaches_a_client_whose_body_nobody_wants() {
    let servers = Servers::new(1, |_, _| ok("fine"));
    let routes = "[[route]]\nname = \"own\"\npath_prefix = \"/own\"\nanswer = { status = 405 }";
    let node = Node::site(&site(&servers.dials, "", "", routes));
    let mut client = node.connect();
    for _ in 0..3 {
        let chunked = "POST /own HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        client.write_all(chunked.as_bytes()).unwrap();
        client.write_all(b"5\r\nhello\r\n0\r\n\r\n").unwrap();
        let answer = read(&mut client).unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (405, None));
    }
    for head in ["Content-Length: 6000000", "Transfer-Encoding: chunked"] {
        let mut client = node.connect();
        client.write_all(format!("POST /own HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n").as_bytes()).unwrap();
        let chunk = [b"ea60\r\n".to_vec(), vec![b'x'; 60_000], b"\r\n".to_vec()].concat();
        for _ in 0..100 {
            let sent = if head.starts_with('C') { &chunk[6..60_006] } else { &chunk[..] };
            client.write_all(sent).expect("the client is cut off in its body");
        }
        let answer = read(&mut client).expect("the answer is lost");
        assert_eq!((answer.status(), answer.header("connection")), (405, Some("close")));
        half_close(&client);
        assert_eq!(client.read(&mut [0]).unwrap(), 0);
    }
    let asks = "POST /own HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    assert!(
        whole(&node, asks.as_bytes()).starts_with("HTTP/1.1 405"),
        "a body is asked for that nobody wants"
    );
    assert_eq!(servers.seen(), 0);
}

/// The answer is there before the body is whole: it goes to the client, whose connection then ends.
#[test]
fn an_answer_may_come_before_the_body_is_whole() {
    let servers = raw(|mut stream| {
        let mut some = [0; 1000];
        let _ = stream.read(&mut some);
        let _ = stream.write_all(&response("413 Too Large", "Connection: close\r\n", b"enough"));
        std::thread::sleep(Duration::from_millis(300));
    });
    let node = plain(&[servers]);
    let mut client = node.connect();
    write!(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n").unwrap();
    client.write_all(&vec![b'x'; 200_000]).unwrap();
    let answer = read(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (413, &b"enough"[..]));
}

#[test]
fn a_server_is_asked_before_the_body_is() {
    let servers = raw(|mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) == 1 {
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        if !head.contains("expect: 100-continue") || head.starts_with("put /no") {
            let _ = stream.write_all(&response("403 No", "Connection: close\r\n", b"no"));
            return;
        }
        let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        let mut body = [0; 4];
        if stream.read_exact(&mut body).is_ok() {
            let _ = stream.write_all(&response("200 OK", "Connection: close\r\n", &body));
        }
    });
    let node = plain(&[servers]);
    let ask = |path: &str| {
        let mut client = node.connect();
        write!(client, "PUT {path} HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
            .unwrap();
        let interim = read(&mut client).unwrap();
        (client, interim)
    };
    let (mut client, interim) = ask("/yes");
    assert_eq!(interim.status(), 100);
    client.write_all(b"body").unwrap();
    let answer = read(&mut client).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"body"[..]));
    let (_, refused) = ask("/no");
    assert_eq!(refused.status(), 403, "without the body's having been asked for");
}

#[test]
fn interim_answers_do_not_end_a_request() {
    let servers = Servers::new(1, |n, _| match n {
        0 => Reply::Say(
            [b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), response("200 OK", "", b"fine")].concat(),
        ),
        _ => Reply::Last(b"HTTP/1.1 102 Processing\r\n\r\n".to_vec()),
    });
    let node = plain(&servers.dials);
    let mut stream = node.connect();
    stream.write_all(&asked("GET / HTTP/1.1")).unwrap();
    assert_eq!(read(&mut stream).unwrap().status(), 103);
    let first = read(&mut stream).unwrap();
    assert_eq!((first.status(), &first.body[..]), (200, &b"fine"[..]));
    stream.write_all(&asked("POST / HTTP/1.1")).unwrap();
    assert_eq!(read(&mut stream).unwrap().status(), 102);
    assert_eq!(read(&mut stream).unwrap().status(), 502, "it said something, and died");
}

/// Interim answers are the client's (RFC 9110, 15.2), before the final one; not all of a flood, and not where the
/// client's version has none.
#[test]
fn interim_answers_pass_in_order() {
    let servers = Servers::new(1, |_, m| {
        let count = m.header("x-count").unwrap().parse().unwrap();
        let hint = "HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\nConnection: x-gone\r\nX-Gone: 1\r\n\r\n";
        Reply::Say(
            [hint.repeat(count).into_bytes(), response("200 OK", "", count.to_string().as_bytes())].concat(),
        )
    });
    let node = plain(&servers.dials);
    for version in ["1.1", "1.0"] {
        let ask = |count: usize, end: &str| {
            format!("GET / HTTP/{version}\r\nHost: a\r\nX-Count: {count}\r\nConnection: {end}\r\n\r\n")
        };
        let text =
            [ask(2, "keep-alive"), ask(0, "keep-alive"), ask(500, "keep-alive"), ask(1, "close")].concat();
        let all = whole(&node, text.as_bytes()).to_lowercase();
        let statuses: String = all.split("http/1.1 ").skip(1).map(|m| &m[..1]).collect();
        match version {
            "1.1" => assert_eq!(statuses, format!("112{}{}212", 2, "1".repeat(16)), "{all}"),
            _ => assert!(!all.contains("early hints"), "{all}"),
        }
        assert!(!all.contains("x-gone"), "{all}");
        assert_eq!(all.matches("link: </a.css>").count(), all.matches(" 103 ").count());
    }
}

/// The head has gone out: all that is left is to let the client see that the rest is missing.
#[test]
fn an_answer_that_breaks_off_shows() {
    for (k, spoilt) in [
        "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nxx\r\n",
    ]
    .into_iter()
    .enumerate()
    {
        let servers = raw(move |mut stream| {
            let _ = read(&mut stream);
            let (head, body) = spoilt.split_once("\r\n\r\n").unwrap();
            let _ = stream.write_all(format!("{head}\r\n\r\n").as_bytes());
            std::thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(body.as_bytes());
        });
        let node = plain(&[servers]);
        let answer = node.raw(&asked("POST / HTTP/1.1")).unwrap();
        assert!(answer.status() == 200 && !answer.whole, "case {k}: {answer:?}");
    }
}

#[test]
fn a_client_that_leaves_in_its_body_costs_its_server_nothing() {
    let broken = Arc::new(AtomicUsize::new(0));
    let seen = broken.clone();
    let servers = Servers::new(1, |_, _| ok("fine"));
    let first = servers.dials[0];
    let cut = raw(move |mut stream| {
        let Ok(mut inner) = TcpStream::connect(first) else { return };
        let mut all = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(n) => {
                    all.extend(&chunk[..n]);
                    if all.starts_with(b"GET") && all.ends_with(b"\r\n\r\n") {
                        let _ = inner.write_all(&all);
                        let answer = read(&mut inner).unwrap();
                        let _ = stream.write_all(&response("200 OK", "", &answer.body));
                        all.clear();
                    }
                }
            }
        }
        if !all.is_empty() {
            seen.fetch_add(1, SeqCst);
        }
    });
    let node = plain(&[cut]);
    for k in 0..6 {
        let mut client = node.connect();
        write!(client, "PUT /{k} HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n").unwrap();
        client.write_all(&vec![b'x'; 300_000]).unwrap();
        drop(client);
        until("the server sees the cut", || broken.load(SeqCst) == k + 1);
        assert_eq!(node.raw(&asked("GET / HTTP/1.1")).unwrap().status(), 200, "after {k}");
    }
}

/// What a class permits, it gets; a body that is not kept is sent once.
#[test]
fn attempts_follow_the_class_and_the_body() {
    for (method, body, status, runs) in
        [("GET", 0, 200, 2), ("PUT", 10, 200, 2), ("POST", 10, 503, 1), ("PUT", 100_000, 503, 1)]
    {
        let servers = Servers::new(2, |n, _| match n {
            0 => Reply::Say(response("503 Busy", "X-Whose: server\r\n", b"busy")),
            _ => ok("fine"),
        });
        let classes = "[[class]]\nname = \"again\"\neffect = \"safe\"\nmethods = [\"GET\", \"PUT\"]";
        let node = Node::site(&site(&servers.dials, "", "", classes));
        let mut request =
            format!("{method} / HTTP/1.1\r\nHost: a\r\nContent-Length: {body}\r\n\r\n").into_bytes();
        request.resize(request.len() + body, b'x');
        let answer = node.raw(&request).unwrap();
        let whose = answer.header("x-whose");
        assert_eq!((answer.status(), servers.seen()), (status, runs), "{method} of {body}");
        assert_eq!(whose.is_some(), status == 503, "the server's own answer passes: {answer:?}");
    }
}

/// Given up means answered, at once, with the reason and when to come back.
#[test]
fn what_is_given_up_is_answered_at_once() {
    let reason = |answer: &Message| {
        let text = String::from_utf8(answer.body.clone()).unwrap();
        assert_eq!(answer.header("content-type"), Some("application/problem+json"), "{text}");
        let value: String = text.split("\"reason\":\"").nth(1).unwrap().split('"').next().unwrap().into();
        value
    };
    let at_once = |node: &Node, request: &str, status: u16, why: &str| {
        let start = Instant::now();
        let answer = node.raw(&asked(request)).unwrap();
        assert_eq!((answer.status(), reason(&answer).as_str()), (status, why), "{request}");
        assert!(start.elapsed() < Duration::from_secs(2), "{request}: {:?}", start.elapsed());
        answer
    };
    let refused = at_once(&plain(&[]), "GET / HTTP/1.1", 503, "refused");
    assert!(refused.header("retry-after").unwrap().parse::<u64>().unwrap() >= 1);
    at_once(&plain(&[nobody(), nobody()]), "POST / HTTP/1.1", 503, "refused");
    let reset = Servers::new(2, |_, _| Reply::Reset);
    at_once(&plain(&reset.dials), "POST / HTTP/1.1", 502, "failed");
    assert_eq!(reset.seen(), 1);
    let silent = Servers::new(2, |_, _| Reply::Silence);
    let class = "[[class]]\nname = \"write\"\neffect = \"unsafe\"\naim = \"300ms\"\ndeadline = \"400ms\"";
    let node = Node::site(&site(&silent.dials, "", "", class));
    at_once(&node, "POST / HTTP/1.1", 504, "late");
    assert_eq!(silent.seen(), 1);
}

/// Who reads the log knows servers by their names.
#[test]
fn the_log_names_servers() {
    let bad = Servers::new(1, |_, _| Reply::Say(response("503 Busy", "", b"")));
    // The pause after the first failure goes by the longest deadline of all classes.
    let class = |name: &str| {
        format!("[[class]]\nname = \"{name}\"\neffect = \"safe\"\naim = \"50ms\"\ndeadline = \"100ms\"\n")
    };
    let node = Node::site(&format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n{}{}\
         [[pool]]\nname = \"boxes\"\nservers = [{{ address = \"{}\", name = \"broken\" }}]\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n",
        class("read"),
        class("write"),
        bad.dials[0]
    ));
    let said = || {
        node.log.lock().unwrap().iter().any(|l| l.contains("pool boxes: server broken: ejected after Error"))
    };
    until("it says so", || {
        node.get("/", "");
        std::thread::sleep(Duration::from_millis(5));
        said()
    });
}

#[test]
fn backups_serve_while_nobody_else_can() {
    let (main, spare) = (Servers::new(1, |_, _| ok("main")), Servers::new(1, |_, _| ok("spare")));
    let up = Arc::new(AtomicUsize::new(1));
    let shown = up.clone();
    let checked = Servers::new(1, move |_, _| match shown.load(SeqCst) {
        0 => Reply::Say(response("500 Down", "", b"")),
        _ => ok("main"),
    });
    drop(main);
    let pool = format!(
        "servers = [{{ address = \"{}\" }}, {{ address = \"{}\", backup = true }}]\n\
         check = {{ path = \"/up\", every = \"20ms\", rise = 1, fall = 1 }}",
        checked.dials[0], spare.dials[0]
    );
    let text = site(&[], "", "", "").replace("servers = []\n", &format!("{pool}\n"));
    let node = Node::site(&text);
    let body = || node.raw(&asked("GET / HTTP/1.1")).map(|m| m.body).unwrap_or_default();
    for _ in 0..20 {
        assert_eq!(body(), b"main");
    }
    up.store(0, SeqCst);
    node.says("checks take server", 1);
    for _ in 0..20 {
        assert_eq!(body(), b"spare");
    }
    up.store(1, SeqCst);
    node.says("checks take server", 2);
    until("the main server is back", || body() == b"main");
}

#[test]
fn a_watched_file_is_followed() {
    let (one, two) = (Servers::new(1, |_, _| ok("one")), Servers::new(1, |_, _| ok("two")));
    let path = std::env::temp_dir().join(format!("corkhollow-watched-{}.toml", std::process::id()));
    let put = |text: &str| std::fs::write(&path, text).unwrap();
    let list = |dial: SocketAddr| format!("[[servers]]\naddress = \"{dial}\"\n");
    put(&list(one.dials[0]));
    let watch = format!("watch = {:?}\n", path.display().to_string());
    let node = Node::site(&site(&[], "", "", "").replace("servers = []\n", &watch));
    let body = || node.raw(&asked("GET / HTTP/1.1")).map(|m| m.body).unwrap_or_default();
    until("the first list is read", || body() == b"one");
    put("[[servers]]\naddress = \"nowhere\"\n");
    node.says("not taken over: 2:11: error: servers[0].address", 1);
    assert_eq!(body(), b"one");
    put(&list(two.dials[0]));
    until("the new list is read", || body() == b"two");
    put("servers = []\n");
    until("an empty list refuses", || node.raw(&asked("GET / HTTP/1.1")).unwrap().status() == 503);
    std::fs::remove_file(&path).unwrap();
}

/// More than a pool may hold waits, more than may wait is refused at once, and whoever waits is served.
#[test]
fn connections_are_capped_and_waiting_too() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(1, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok("fine")
    });
    let node =
        Node::site(&site(&servers.dials, "", "max_connections = 1\nmax_waiting = 1\nmax_attempts = 1", ""));
    let ask = || {
        let mut client = node.connect();
        client.write_all(&asked("POST / HTTP/1.1")).unwrap();
        client
    };
    let mut first = ask();
    until("the first is under way", || servers.seen() == 1);
    let mut others = [ask(), ask(), ask()];
    let mut refused = 0;
    for client in &mut others {
        client.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        refused += usize::from(read(client).is_some_and(|m| m.status() == 503));
    }
    assert!(refused >= 2, "{refused}");
    assert_eq!((servers.connected(), servers.seen()), (1, 1), "nobody else got through");
    drop(go);
    assert_eq!(read(&mut first).unwrap().status(), 200);
    until("the next is served", || node.raw(&asked("POST / HTTP/1.1")).unwrap().status() == 200);
}

/// One server in two pools, and one address under two names: each is a server of its own.
#[test]
fn a_server_may_stand_in_two_places() {
    let servers = Servers::new(1, |_, _| ok("fine"));
    let dial = servers.dials[0];
    let twice = format!("[[pool]]\nname = \"more\"\nservers = [{{ address = \"{dial}\", name = \"a\" }}, {{ address = \"{dial}\", name = \"b\" }}]\n[[route]]\nname = \"more\"\npath_prefix = \"/more\"\npool = \"more\"");
    let node = Node::site(&site(&servers.dials, "", "", &twice));
    for path in ["/", "/more", "/more/x", "/x"] {
        assert_eq!(node.raw(&asked(&format!("GET {path} HTTP/1.1"))).unwrap().status(), 200, "{path}");
    }
}

/// A new file takes over between two requests: a pool goes, a listener moves, a class changes its effect; what is
/// under way ends on what it began with. A bad file changes nothing.
#[test]
fn a_whole_new_file_takes_over() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let old = Servers::new(2, move |_, m| {
        if m.head.contains("/slow") {
            let _ = gate.lock().unwrap().recv();
        }
        match m.head.contains("/fail") {
            true => Reply::Say(response("503 Busy", "", b"")),
            false => ok("old"),
        }
    });
    let new = Servers::new(2, |_, _| ok("new"));
    let second = "[[listener]]\nname = \"side\"\naddress = \"127.0.0.1:0\"\n";
    let class =
        |effect: &str| format!("[[class]]\nname = \"all\"\neffect = \"{effect}\"\nmethods = [\"POST\"]\n");
    let mut node = Node::site(&format!("{second}{}", site(&old.dials, "", "", &class("unsafe"))));
    let (web, side) = (node.listeners["web"], node.listeners["side"]);
    node.address = web;
    assert_eq!(node.raw(&asked("POST /fail HTTP/1.1")).unwrap().status(), 503);
    assert_eq!(old.seen(), 1, "unsafe: once");
    let mut kept = TcpStream::connect(side).unwrap();
    kept.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    kept.write_all(&asked("GET /x HTTP/1.1")).unwrap();
    assert_eq!(read(&mut kept).unwrap().body, b"old");
    let mut slow = node.connect();
    slow.write_all(&asked("POST /slow HTTP/1.1")).unwrap();
    until("the slow one is under way", || {
        old.requests.lock().unwrap().iter().any(|m| m.head.contains("/slow"))
    });

    for (k, bad) in ["[[listener]]\n", "nonsense", ""].into_iter().enumerate() {
        node.reload(bad);
        node.says("not reloaded", k + 1);
        assert_eq!(node.raw(&asked("GET / HTTP/1.1")).unwrap().body, b"old");
    }

    // Its class is safe now, its pool has another name, `side` is gone and `web` has moved.
    let moved = site(&new.dials, "", "", &class("safe"))
        .replace("boxes", "others")
        .replace("name = \"web\"\naddress = \"127.0.0.1:0\"", "name = \"web\"\naddress = \"[::1]:0\"");
    node.reload(&moved);
    node.says("reloaded: listeners: 1, routes: 1, pools: 1", 1);
    let line = node.log.lock().unwrap().iter().rfind(|l| l.contains("listener web listening on")).cloned();
    node.address = line.unwrap().rsplit(' ').next().unwrap().parse().unwrap();
    assert!(node.address.is_ipv6());
    assert_eq!(node.raw(&asked("GET / HTTP/1.1")).unwrap().body, b"new");
    assert_eq!(
        kept.read(&mut [0]).unwrap(),
        0,
        "idle connections of a listener that is gone are closed in order"
    );
    until("the old port is closed", || TcpStream::connect(side).is_err());
    go.send(()).unwrap();
    let answer = read(&mut slow).unwrap();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"old"[..]), "on what it began with");

    let failing =
        Servers::new(2, |n, _| if n == 0 { Reply::Say(response("503 No", "", b"")) } else { ok("new") });
    node.reload(&moved.replace(&server_list(&new.dials), &server_list(&failing.dials)));
    node.says("reloaded: listeners: 1", 2);
    assert_eq!(node.raw(&asked("POST / HTTP/1.1")).unwrap().body, b"new");
    assert_eq!(failing.seen(), 2, "safe: once more");
}

/// Under load, reloads lose nothing.
#[test]
fn reloads_under_load_lose_nothing() {
    let servers = Servers::new(4, |_, _| ok("fine"));
    let node = Node::site(&site(&servers.dials, "", "", ""));
    let address = node.address;
    let done = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let done = done.clone();
            std::thread::spawn(move || {
                let mut served = 0;
                while done.load(SeqCst) == 0 {
                    let mut client = TcpStream::connect(address).unwrap();
                    for _ in 0..20 {
                        client.write_all(&asked("POST /x HTTP/1.1")).unwrap();
                        let answer = read(&mut client).expect("an answer");
                        assert_eq!(answer.status(), 200, "{answer:?}");
                        served += 1;
                    }
                }
                served
            })
        })
        .collect();
    for k in 0..10 {
        let pool = if k % 2 == 0 { "max_attempts = 2" } else { "" };
        node.reload(&site(&servers.dials[k % 3..], "", pool, ""));
        node.says("corkhollow: reloaded: ", k + 1);
    }
    done.store(1, SeqCst);
    let served: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    assert!(served >= 80, "{served}");
}

#[test]
fn a_terminated_program_finishes_what_it_has() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(1, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok("fine")
    });
    let mut node = plain(&servers.dials);
    let mut client = node.connect();
    client.write_all(&asked("POST / HTTP/1.1")).unwrap();
    until("it is under way", || servers.seen() == 1);
    node.signal("-TERM");
    go.send(()).unwrap();
    assert_eq!(read(&mut client).unwrap().status(), 200);
    assert!(node.exit().success());
}

/// No bytes from a peer end the program, and it serves on.
#[test]
fn no_bytes_from_a_peer_end_it() {
    let noise = |seed: u64, n: usize| -> Vec<u8> {
        let mut x = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let words: [&[u8]; 12] = [
            b"GET / HTTP/1.1\r\n",
            b"Host: a\r\n",
            b"\r\n",
            b"Content-Length: 5\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"5\r\nhello\r\n",
            b"0\r\n\r\n",
            b"\0",
            b"\xff\xfe",
            b"Expect: 100-continue\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b": ",
        ];
        (0..n)
            .flat_map(|_| {
                x ^= x << 13;
                x ^= x >> 7;
                x ^= x << 17;
                words[(x % 12) as usize].to_vec()
            })
            .collect()
    };
    let turn = Arc::new(AtomicUsize::new(0));
    let counter = turn.clone();
    let dial = raw(move |mut stream| {
        let _ = read(&mut stream);
        let k = counter.fetch_add(1, SeqCst) as u64;
        let start: &[u8] = if k.is_multiple_of(2) { b"HTTP/1.1 200 OK\r\n" } else { b"" };
        let _ = stream.write_all(&[start, &noise(k, 12)].concat());
    });
    let good = Servers::new(1, |_, _| ok("fine"));
    let routes = format!("[[pool]]\nname = \"good\"\nservers = [{}]\n[[route]]\nname = \"good\"\npath = \"/good\"\npool = \"good\"", server_list(&good.dials));
    let node = Node::site(&site(&[dial], "", "", &routes));
    for k in 0..150 {
        let mut client = node.connect();
        let _ = client.write_all(&noise(1000 + k, 8));
        half_close(&client);
        let mut out = Vec::new();
        let _ = client.read_to_end(&mut out);
    }
    for k in 0..50 {
        let mut client = node.connect();
        let _ = client.write_all(&asked(&format!("POST /{k} HTTP/1.1\r\nConnection: close")));
        let mut out = Vec::new();
        let _ = client.read_to_end(&mut out);
        assert!(out.starts_with(b"HTTP/1.1 "), "{k}");
    }
    assert_eq!(node.raw(&asked("GET /good HTTP/1.1")).unwrap().body, b"fine");
}

/// Before anything is learnt of how long answers take, a burst is no overload.
#[test]
fn a_first_burst_is_served() {
    let servers = Servers::new(1, |_, _| {
        std::thread::sleep(Duration::from_millis(20));
        ok("fine")
    });
    let node = plain(&servers.dials);
    let mut clients: Vec<_> = (0..48).map(|_| node.connect()).collect();
    clients.iter_mut().for_each(|c| c.write_all(&asked("GET / HTTP/1.1")).unwrap());
    let status = |c: &mut TcpStream| read(c).map_or(0, |m| m.status());
    let served = clients.iter_mut().map(status).filter(|s| *s == 200).count();
    assert_eq!(served, 48);
    // A pool of machines that do one thing at a time says so, and then late answers are refused at once.
    let node = Node::site(&site(&servers.dials, "", "concurrency = 1", ""));
    let mut clients: Vec<_> = (0..48).map(|_| node.connect()).collect();
    clients.iter_mut().for_each(|c| c.write_all(&asked("GET / HTTP/1.1")).unwrap());
    let refused = clients.iter_mut().map(status).filter(|s| *s == 503).count();
    assert!(refused > 0);
}

/// All servers of a pool drain: what they have in hand is finished, what comes is refused at once.
#[test]
fn a_pool_whose_servers_all_drain_refuses_at_once() {
    let (go, gate) = mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(2, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok("fine")
    });
    let text = site(&servers.dials, "", "", "");
    let node = Node::site(&text);
    let mut client = node.connect();
    client.write_all(&asked("POST / HTTP/1.1")).unwrap();
    until("it is under way", || servers.seen() == 1);
    node.reload(&text.replace("\" }, ", "\", drain = true }, "));
    node.says("corkhollow: reloaded: ", 1);
    let start = Instant::now();
    let refused = node.raw(&asked("POST / HTTP/1.1")).unwrap();
    assert_eq!((refused.status(), refused.header("retry-after").is_some()), (503, true));
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    go.send(()).unwrap();
    assert_eq!(read(&mut client).unwrap().status(), 200);
    assert_eq!(servers.seen(), 1, "nothing new reached a draining server");
}
