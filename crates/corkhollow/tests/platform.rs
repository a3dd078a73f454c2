//! The real node between scripted peers: every ending of an attempt, deadlines, drains, shutdown, bad input.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

/// A node before two servers of which the first request's gets this, and all others an `ok`.
fn first_gets(bad: fn() -> Reply) -> (Node, Discovery, Servers) {
    let servers = Servers::new(2, move |n, _| if n == 0 { bad() } else { ok_reply("fine") });
    let (node, discovery) = Node::start_with_servers(&servers);
    (node, discovery, servers)
}

#[test]
fn an_answer_comes_back_whole_and_connections_are_kept() {
    let servers = Servers::new(1, |_, m| Reply::Send(response("200 OK", "X-Own: yes\r\n", &m.body)));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let body = vec![b'x'; 40_000];
    let mut client = node.connect();
    for _ in 0..3 {
        let request = String::from_utf8(post_request("/once/7?a=b", &body)).unwrap();
        let own = request.replace("X-Request-ID: ", "X-Request-ID: 9b1f03aa");
        client.write_all(own.as_bytes()).unwrap();
        let answer = read_message(&mut client).unwrap();
        assert_eq!((answer.status(), answer.header("x-own")), (200, Some("yes")));
        assert_eq!(answer.body, body);
    }
    let requests = servers.requests.lock().unwrap();
    assert!(requests[0].head.starts_with("POST /once/7?a=b HTTP/1.1"));
    assert!(requests[0].header("x-request-id").unwrap().starts_with("9b1f03aa"));
    let left: u64 = requests[0].header("x-timeout-ms").unwrap().parse().unwrap();
    assert!((2000..=2500).contains(&left), "{left}");
    assert_eq!(servers.connection_count(), 1);
}

#[test]
fn a_safe_request_goes_to_another_server() {
    let endings: [fn() -> Reply; 4] = [
        || Reply::Send(response("500 No", "", b"")),
        || Reply::Reset,
        || Reply::SendAndClose(b"\x16\x03\x01".to_vec()),
        || Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nhalf".to_vec()),
    ];
    for (k, ending) in endings.into_iter().enumerate() {
        let (node, _discovery, servers) = first_gets(ending);
        let answer = node.get("/safe/1", "").unwrap();
        assert_eq!(
            (answer.status(), &answer.body[..], servers.request_count()),
            (200, &b"fine"[..], 2),
            "ending {k}"
        );
    }
}

#[test]
fn what_never_ran_is_sent_again() {
    for status in ["503 Busy", "504 Late"] {
        let servers = Servers::new(2, move |n, _| match n {
            0 => Reply::Send(response(status, "X-Not-Processed: 1\r\n", b"")),
            _ => ok_reply("fine"),
        });
        let (node, _discovery) = Node::start_with_servers(&servers);
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
        assert_eq!(servers.request_count(), 2);
    }
    // Nobody listens at some of the addresses.
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let hosts =
        [host_json("s-0", servers.addresses[0], "active"), host_json("s-1", refusing_address(), "active")];
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    for k in 0..20 {
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200, "request {k}");
    }
}

/// The last byte was never written: the proof that lets even an unsafe request go elsewhere.
#[test]
fn a_break_inside_the_request_is_proof() {
    let breaker = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let dial = breaker.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in breaker.incoming().flatten() {
            let _ = stream.read(&mut [0; 1000]);
            reset_connection(stream);
        }
    });
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let hosts = [host_json("s-0", servers.addresses[0], "active"), host_json("s-1", dial, "active")];
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    // More than the sockets' buffers hold, so that the break comes before the end.
    let body = vec![b'x'; 10_000_000];
    for k in 0..4 {
        assert_eq!(node.post("/once/1", &body).unwrap().status(), 200, "request {k}");
    }
    assert_eq!(servers.request_count(), 4);
}

/// The last byte went out before the reset: the request may have run, on a new connection and on a kept one.
#[test]
fn a_reset_after_the_last_byte_proves_nothing() {
    let servers = Servers::new(2, |_, m| if m.body == b"good" { ok_reply("fine") } else { Reply::Reset });
    let (node, _discovery) = Node::start_with_servers(&servers);
    for kept in [false, true] {
        if kept {
            for _ in 0..4 {
                assert_eq!(node.post("/once/1", b"good").unwrap().status(), 200);
            }
        }
        let before = servers.request_count();
        assert_eq!(node.post("/once/1", b"bad").unwrap().status(), 502, "kept: {kept}");
        assert_eq!(servers.request_count() - before, 1, "kept: {kept}");
    }
}

#[test]
fn silence_ends_with_the_clients_time() {
    let servers = Servers::new(2, |_, _| Reply::NoAnswer);
    let (node, _discovery) = Node::start_with_servers(&servers);
    for request in
        [get_request("/safe/1", "X-Timeout-Ms: 700\r\n"), get_request("/once/1", "X-Timeout-Ms: 700\r\n")]
    {
        let start = Instant::now();
        assert_eq!(node.send_raw(&request).unwrap().status(), 504);
        let took = start.elapsed();
        assert!(took >= Duration::from_millis(699) && took < Duration::from_millis(1500), "{took:?}");
    }
    assert_eq!(servers.request_count(), 2);
}

#[test]
fn a_long_answer_streams_and_a_break_shows() {
    let long = |announced: usize, sent: usize| {
        let mut out = format!("HTTP/1.1 200 OK\r\nContent-Length: {announced}\r\n\r\n").into_bytes();
        out.resize(out.len() + sent, b'x');
        Reply::SendAndClose(out)
    };
    let servers =
        Servers::new(2, move |n, _| if n == 0 { long(900_000, 900_000) } else { long(900_000, 500_000) });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let answer = node.get("/safe/1", "").unwrap();
    assert_eq!((answer.status(), answer.body.len(), answer.is_complete), (200, 900_000, true));
    let cut = node.get("/safe/2", "").unwrap();
    assert!(!cut.is_complete && cut.body.len() <= 500_000, "{}", cut.body.len());
    // One without a length is no different.
    let servers = Servers::new(2, move |n, _| {
        let mut out = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n".to_vec();
        out.resize(out.len() + 200_000, b'y');
        out.extend(if n == 0 { &b"\r\n0\r\n\r\n"[..] } else { b"\r\n" });
        Reply::SendAndClose(out)
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let answer = node.get("/safe/1", "").unwrap();
    assert_eq!((answer.body.len(), answer.is_complete), (200_000, true));
    assert!(!node.get("/safe/2", "").unwrap().is_complete);
}

/// Said to be endless, or never brought to their end: such answers are spoilt and nobody's, and their request goes
/// again if it may, at once and not only when the client has given up.
#[test]
fn a_spoilt_answer_is_not_passed_on() {
    fn say(head: &str, sent: usize) -> Reply {
        let mut out = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").into_bytes();
        out.resize(out.len() + sent, b'x');
        Reply::Send(out)
    }
    let spoilt: [fn() -> Reply; 3] = [
        || say("Content-Length: 3000000000", 200_000),
        || say("Content-Length: 500", 400),
        || say("Transfer-Encoding: chunked", 0),
    ];
    for (k, bad) in spoilt.into_iter().enumerate() {
        let (node, _discovery, servers) = first_gets(bad);
        let start = Instant::now();
        let answer = node.get("/safe/1", "").unwrap();
        let fine = answer.body == b"fine";
        assert_eq!((answer.status(), fine, servers.request_count()), (200, true, 2), "answer {k}");
        assert!(start.elapsed() < Duration::from_millis(2500), "answer {k}: {:?}", start.elapsed());
        let (node, _discovery, servers) = first_gets(bad);
        assert_eq!(
            (node.post("/once/1", b"body").unwrap().status(), servers.request_count()),
            (502, 1),
            "answer {k}"
        );
    }
    // One that does not say how long it is, and keeps coming, is cut where the client can tell.
    let (node, _discovery, _servers) = first_gets(|| {
        let chunk = [&b"f4240\r\n"[..], &vec![b'x'; 1_000_000], b"\r\n"].concat();
        Reply::Send(
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), chunk.repeat(40)].concat(),
        )
    });
    let cut = node.get("/safe/1", "").unwrap();
    assert!(!cut.is_complete && cut.body.len() <= 32 << 20, "{}", cut.body.len());
}

/// A client that reads slowly says nothing of the server: the others must not be kept from it.
#[test]
fn a_slow_reader_does_not_make_its_server_look_hung() {
    let servers = Servers::new(1, |n, _| match n {
        0 => Reply::Send(response("200 OK", "", &vec![b'x'; 20_000_000])),
        _ => ok_reply("fine"),
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut slow = node.connect();
    slow.write_all(&get_request("/safe/1", "")).unwrap();
    let mut begun = [0; 100];
    slow.read_exact(&mut begun).unwrap();
    // Longer than the module would wait for an answer.
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
    let mut rest = Vec::new();
    slow.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let _ = slow.read_to_end(&mut rest);
    assert!(rest.len() > 19_999_900, "{}", rest.len());
}

/// A request that a server will not have says nothing of the server: it goes nowhere else, and others go on.
#[test]
fn a_rejected_request_costs_no_server() {
    let servers = Servers::new(3, |_, m| match m.head.contains("bad") {
        true => Reply::Send(response("400 Bad Request", "", b"")),
        false => ok_reply("fine"),
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    for k in 0..6 {
        assert_eq!(node.get("/safe/bad", "").unwrap().status(), 502, "bad request {k}");
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200, "good request {k}");
        assert_eq!(servers.request_count(), 2 * (k + 1));
    }
}

/// A server may close a kept connection at any time: it must not be kept, nor the next request lost to it.
#[test]
fn a_closed_kept_connection_costs_nothing() {
    let servers = Servers::new(1, |_, _| Reply::SendAndClose(response("200 OK", "", b"fine")));
    let (node, _discovery) = Node::start_with_servers(&servers);
    for k in 0..3 {
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200, "request {k}");
        wait_until("the node has seen the close", || servers.closed_by_node.load(SeqCst) == k + 1);
    }
    assert_eq!((servers.request_count(), servers.connection_count()), (3, 3));
}

#[test]
fn kept_connections_are_closed_before_the_server_would() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node =
        Node::start(discovery.address, &NodeOptions { idle_timeout_ms: 200, ..NodeOptions::default() });
    node.wait_until_ready();
    let fresh = || {
        let start = Instant::now();
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
        start.elapsed()
    };
    fresh();
    let before = servers.connection_count();
    std::thread::sleep(Duration::from_millis(150));
    fresh();
    assert_eq!((before, servers.connection_count()), (1, 2));
}

#[test]
fn nothing_new_goes_to_a_server_that_drains() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    let other = Servers::new(1, |_, _| ok_reply("other"));
    let mut hosts: Vec<_> =
        (0..2).map(|k| host_json(&format!("s-{k}"), servers.addresses[k], ["leaving", "left"][k])).collect();
    hosts.push(host_json("s-2", other.addresses[0], "active"));
    assert_eq!(node.post("/once/1", b"").unwrap().status(), 200);
    discovery.push_line(list_json(2, false, &hosts));
    wait_until("the list is taken in", || node.post("/once/1", b"").unwrap().body == b"other");
    let before = servers.request_count();
    for _ in 0..20 {
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"other");
    }
    assert_eq!(servers.request_count(), before);
}

#[test]
fn nonsense_from_discovery_keeps_the_old_list() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    for nonsense in ["{\"seq\":2,\"whole\":true,\"hosts\":[{}]}", "\u{1}\u{2}", "[]", "{\"seq\":2,\"who"] {
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let node = Node::start(discovery.address, &NodeOptions::default());
        node.wait_until_ready();
        discovery.push_line(nonsense.to_owned());
        wait_until("the watch is opened again", || discovery.watch_count() == 2);
        assert_eq!(node.post("/once/1", b"").unwrap().status(), 200);
    }
}

/// An older list is a stale copy: it would bring back a server that has been told to drain.
#[test]
fn an_older_list_is_not_taken() {
    let servers = Servers::new(1, |_, _| ok_reply("old"));
    let other = Servers::new(1, |_, _| ok_reply("new"));
    let new = list_json(
        9,
        true,
        &[host_json("s-0", servers.addresses[0], "leaving"), host_json("s-1", other.addresses[0], "active")],
    );
    let discovery = Discovery::new(vec![new.clone(), servers.list_json(3), new], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    discovery.push_line("broken".into());
    wait_until("the stale copy has been refused", || discovery.watch_count() == 3);
    for _ in 0..10 {
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"new");
    }
    assert_eq!(servers.request_count(), 0);
}

/// A watch without heartbeats hangs; what it would have told comes on the next one.
#[test]
fn a_silent_watch_is_opened_again() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], false);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    wait_until("the watch is opened again", || discovery.watch_count() == 2);
}

#[test]
fn a_restarted_node_serves_by_its_own_list() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let node = Node::start(
        refusing_address(),
        &NodeOptions { known_servers_json: servers.list_json(1), ..NodeOptions::default() },
    );
    node.wait_until_ready();
    assert_eq!(node.post("/once/1", b"").unwrap().status(), 200);
}

/// A new configuration may name another discovery: the node goes there, from the version that it has, and serves on.
/// What it cannot read it does not take over.
#[test]
fn a_reload_moves_to_another_discovery() {
    let old = Servers::new(1, |_, _| ok_reply("old"));
    let (node, first) = Node::start_with_servers(&old);
    let new = Servers::new(1, |_, _| ok_reply("new"));
    let hosts = [host_json("s-0", old.addresses[0], "leaving"), host_json("s-1", new.addresses[0], "active")];
    let second = Discovery::new(vec![list_json(2, false, &hosts)], true);
    for (k, bad) in ["{", "{}"].into_iter().enumerate() {
        node.reload(bad);
        node.wait_for_log("not reloaded", k + 1);
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"old");
    }
    for k in 0..2 {
        node.reload(&platform_config(second.address, &NodeOptions::default()));
        node.wait_for_log("reloaded: discovery at", k + 1);
    }
    wait_until("the new list is taken in", || node.post("/once/1", b"").unwrap().body == b"new");
    assert_eq!((first.watch_count(), second.watch_count()), (1, 1), "the same address again changes nothing");
    second.push_line(list_json(
        3,
        false,
        &[host_json("s-0", old.addresses[0], "active"), host_json("s-1", new.addresses[0], "left")],
    ));
    wait_until("the new watch is followed", || node.post("/once/1", b"").unwrap().body == b"old");
}

/// What was taken is finished, what comes late is still taken, and then the node ends by itself.
#[test]
fn a_terminated_node_finishes_what_it_has() {
    let servers = Servers::new(2, |_, _| {
        std::thread::sleep(Duration::from_millis(300));
        ok_reply("fine")
    });
    let (mut node, _discovery) = Node::start_with_servers(&servers);
    let mut kept = node.connect();
    kept.write_all(&get_request("/up", "")).unwrap();
    assert_eq!(read_message(&mut kept).unwrap().status(), 200);
    let mut early = node.connect();
    early.write_all(&post_request("/once/1", b"body")).unwrap();
    wait_until("the request is under way", || servers.request_count() == 1);
    node.signal("-TERM");
    wait_until("the node says that it leaves", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    kept.write_all(&post_request("/once/2", b"body")).unwrap();
    for stream in [&mut early, &mut kept] {
        let answer = read_message(stream).unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert_eq!(node.post("/once/3", b"late").map(|m| m.status()), Some(200));
    assert!(node.wait_for_exit().success());
}

#[test]
fn bad_requests_are_told_so() {
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
        // A server could not tell what these are, and would not know how long to wait.
        (b"GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nX-Request-ID: b\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nConnection: x-request-id\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout-Ms: soon\r\n\r\n", 400),
        (b"GET /safe/1 HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout-Ms: -1\r\n\r\n", 400),
    ];
    for (bytes, status) in cases {
        let answer = node.send_raw(bytes).expect("an answer");
        assert_eq!(answer.status(), status, "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(servers.request_count(), 0);
    // What is only unclear is served.
    let odd = "X-Tenant-Id: stranger\r\nX-Cost: much\r\nX-Route-Key: \u{e9}\r\n";
    assert_eq!(node.get("/safe/1", odd).unwrap().status(), 200);
}

/// A chunked body beside a length may hide a request, however long the head: it is turned away, and behind any
/// chunked body nothing more is read.
#[test]
fn a_chunked_body_hides_nothing() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let hidden = String::from_utf8(get_request("/safe/hidden", "")).unwrap();
    let filler = format!("X-Filler: {}\r\n", "x".repeat(1000)).repeat(4);
    let chunked = |length: &str| {
        let head = "POST /once/1 HTTP/1.1\r\nX-Request-ID: c\r\nTransfer-Encoding: chunked\r\n";
        format!("{head}{filler}{length}\r\n5\r\nhello\r\n0\r\n\r\n{hidden}")
    };
    for (length, status, seen) in [("Content-Length: 5\r\n", 400, 0), ("", 200, 1)] {
        let mut client = node.connect();
        client.write_all(chunked(length).as_bytes()).unwrap();
        let answer = read_message(&mut client).unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (status, Some("close")), "{length}");
        assert!(read_message(&mut client).is_none(), "nothing more is answered");
        assert_eq!(servers.request_count(), seen, "{length}");
    }
}

/// Servers would take it for a second copy. Once the first is over, its id is free again.
#[test]
fn an_id_in_use_is_turned_away() {
    let servers = Servers::new(2, |n, _| if n == 0 { Reply::NoAnswer } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let request = post_request("/once/1", b"body");
    let mut first = node.connect();
    first.write_all(&request).unwrap();
    wait_until("the request is under way", || servers.request_count() == 1);
    assert_eq!(node.send_raw(&request).unwrap().status(), 409);
    assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
    assert_eq!(servers.request_count(), 2);
    assert_eq!(read_message(&mut first).unwrap().status(), 504);
    assert_eq!(node.send_raw(&request).unwrap().status(), 200);
    drop(first);
    // So it is when the client left.
    let servers = Servers::new(2, |n, _| if n == 0 { Reply::NoAnswer } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut first = node.connect();
    first.write_all(&request).unwrap();
    wait_until("the request is under way", || servers.request_count() == 1);
    drop(first);
    wait_until("the id is free", || node.send_raw(&request).unwrap().status() == 200);
}

#[test]
fn a_client_that_leaves_is_forgotten() {
    let servers = Servers::new(1, |n, _| if n == 0 { Reply::NoAnswer } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    client.write_all(&get_request("/safe/1", "")).unwrap();
    wait_until("the request is under way", || servers.request_count() == 1);
    drop(client);
    assert_eq!(node.get("/safe/2", "").map(|m| m.status()), Some(200));
}

/// Clients that keep their connections must not keep others out: the longest idle one gives its place up.
#[test]
fn idle_clients_make_room() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { max_sockets: 64, ..NodeOptions::default() });
    node.wait_until_ready();
    let mut kept = Vec::new();
    for k in 0..60 {
        let mut client = node.connect();
        client.write_all(&post_request("/once/1", b"body")).unwrap();
        let answer = read_message(&mut client).unwrap_or_else(|| panic!("client {k} got no answer"));
        assert_eq!((answer.status(), answer.header("connection")), (200, None), "client {k}");
        kept.push(client);
    }
    assert_eq!(kept[0].read(&mut [0]).unwrap(), 0, "the first was closed in an orderly way");
}

/// A head that never ends must not hold its descriptor.
#[test]
fn a_head_that_stands_still_is_cut_off() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    client.write_all(b"POST /once/1 HTTP/1.1\r\nHost: a\r\n").unwrap();
    let start = Instant::now();
    assert!(read_message(&mut client).is_none_or(|m| m.status() == 408));
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
}

/// Nor must a client that says nothing at all, or stops in the middle of its body.
#[test]
fn a_silent_client_is_let_go() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let start = Instant::now();
    let silent: Vec<_> = (0..20).map(|_| node.connect()).collect();
    let mut half = node.connect();
    let request = post_request("/once/1", &[b'x'; 100]);
    half.write_all(&request[..request.len() - 50]).unwrap();
    assert_eq!(read_message(&mut half).unwrap().status(), 408);
    assert!(silent.into_iter().all(|mut client| read_message(&mut client).is_none()));
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    assert_eq!(servers.request_count(), 0);
}

/// At a planned restart nothing waits for clients that have nothing under way.
#[test]
fn a_terminated_node_closes_idle_connections() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (mut node, _discovery) = Node::start_with_servers(&servers);
    let mut kept = node.connect();
    kept.write_all(&post_request("/once/1", b"body")).unwrap();
    assert_eq!(read_message(&mut kept).unwrap().status(), 200);
    let start = Instant::now();
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    assert_eq!(kept.read(&mut [0]).unwrap(), 0);
}

#[test]
fn bodies_without_room_go_on_as_they_come() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 16, ..NodeOptions::default() });
    node.wait_until_ready();
    for length in [30_000_000, 2_000_000] {
        assert_eq!(node.post("/once/1", &vec![b'x'; length]).unwrap().status(), 200, "{length} bytes");
    }
    assert!(node.peak_resident_bytes() < 16 << 20, "{}", node.peak_resident_bytes());
    assert_eq!(servers.request_count(), 2);
}

#[test]
fn a_bad_configuration_is_named() {
    let good = platform_config(refusing_address(), &NodeOptions::default());
    let cases = [
        (String::from("{"), "EOF"),
        (good.replace("\"classes\"", "\"klasses\""), "classes"),
        (good.replace("pure", "pious"), "pious"),
        (good.replace("127.0.0.1:0", "nowhere"), "listen"),
        (good.replace("\"sockets\":1024", "\"sockets\":3"), "sockets"),
    ];
    for (text, word) in cases {
        let output = Node::spawn(&text).0.wait_with_output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && said.lines().count() == 1, "{said}");
        assert!(said.contains(word) || said.contains("socket address"), "{word}: {said}");
    }
}

/// How long an answer's body is on its way says nothing of how busy its server is: nobody is refused for it.
#[test]
fn slow_bodies_do_not_make_the_fleet_look_busy() {
    let servers = Servers::new(12, |n, _| match n {
        0..12 => Reply::Custom(Box::new(|stream| {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
            for _ in 0..6 {
                std::thread::sleep(Duration::from_millis(170));
                let _ = stream.write_all(b"x");
            }
        })),
        _ => ok_reply("fine"),
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    std::thread::scope(|scope| {
        for _ in 0..12 {
            scope.spawn(|| assert_eq!(node.get("/safe/1", "").unwrap().body, b"xxxxxx"));
        }
    });
    for k in 0..10 {
        assert_eq!(node.get("/safe/1", "").unwrap().status(), 200, "request {k}");
    }
}

/// Bodies that are too long to be held go on as they come: many at once, in little memory, each whole.
#[test]
fn many_long_bodies_pass_in_little_memory() {
    let servers =
        Servers::new(12, |_, m| Reply::Send(response("200 OK", "", m.body.len().to_string().as_bytes())));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    std::thread::scope(|scope| {
        for k in 0..10 {
            let node = &node;
            scope.spawn(move || {
                let length = 6_000_000 + k;
                let mut client = node.connect();
                for piece in post_request("/once/1", &vec![b'x'; length]).chunks(1 << 20) {
                    client.write_all(piece).unwrap();
                    std::thread::sleep(Duration::from_millis(60));
                }
                let answer = read_message(&mut client).expect("an answer");
                assert_eq!((answer.status(), answer.body), (200, length.to_string().into_bytes()));
            });
        }
    });
    assert!(node.peak_resident_bytes() < 40 << 20, "{}", node.peak_resident_bytes());
    assert_eq!(servers.request_count(), 10);
    wait_until("all are counted", || node.metric("gw_succeeded{service=\"once\"}") == Some(10.0));
    assert_eq!(node.metric("gw_outstanding"), Some(0.0));
}

/// Whatever becomes of the request meanwhile, its client has sent all before it is answered, and can read the answer. A
/// body that has gone in part is not there for another attempt: it has not run, and the client may come again.
#[test]
fn a_long_body_that_fails_on_its_way_is_answered_at_its_end() {
    let bad = spawn_raw_server(|mut stream| {
        let mut some = vec![0; 200_000];
        let _ = stream.read_exact(&mut some);
        reset_connection(stream);
    });
    for dial in [refusing_address(), bad] {
        let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", dial, "active")])], true);
        let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
        node.wait_until_ready();
        let mut client = node.connect();
        for piece in post_request("/once/1", &vec![b'x'; 8_000_000]).chunks(1 << 20) {
            client.write_all(piece).expect("the node reads on");
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(read_message(&mut client).expect("an answer").status(), 503);
    }
}

#[test]
fn a_body_of_32_mib_passes_and_a_longer_one_does_not() {
    let servers =
        Servers::new(1, |_, m| Reply::Send(response("200 OK", "", m.body.len().to_string().as_bytes())));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let most = 32 << 20;
    assert_eq!(node.post("/once/1", &vec![b'x'; most]).unwrap().body, most.to_string().as_bytes());
    let mut client = node.connect();
    client
        .write_all(
            format!("POST /once/1 HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: {}\r\n\r\n", most + 1)
                .as_bytes(),
        )
        .unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 413);
    assert_eq!(servers.request_count(), 1);
}
