//! A node with the platform's configuration between scripted clients, servers and discovery: outcomes of attempts,
//! deadlines, drains, shutdown and invalid input.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

/// Starts a node with two servers that answer the first request with `first` and all others with `ok_reply`.
fn start_with_first_reply(first: fn() -> Reply) -> (Node, Discovery, Servers) {
    let servers = Servers::new(2, move |n, _| if n == 0 { first() } else { ok_reply("fine") });
    let (node, discovery) = Node::start_with_servers(&servers);
    (node, discovery, servers)
}

#[test]
fn requests_and_answers_pass_unchanged_and_the_server_connection_is_reused() {
    let servers = Servers::new(1, |_, m| Reply::Send(response("200 OK", "X-Own: yes\r\n", &m.body)));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let body = vec![b'x'; 40_000];
    let mut client = node.connect();
    for _ in 0..3 {
        let request = String::from_utf8(post_request("/once/7?a=b", &body)).unwrap();
        let with_own_id = request.replace("X-Request-ID: ", "X-Request-ID: 9b1f03aa");
        client.write_all(with_own_id.as_bytes()).unwrap();
        let answer = read_message(&mut client).unwrap();
        assert_eq!((answer.status(), answer.header("x-own")), (200, Some("yes")));
        assert_eq!(answer.body, body);
    }
    let requests = servers.requests.lock().unwrap();
    assert!(requests[0].head.starts_with("POST /once/7?a=b HTTP/1.1"));
    assert!(requests[0].header("x-request-id").unwrap().starts_with("9b1f03aa"));
    let timeout_ms: u64 = requests[0].header("x-timeout-ms").unwrap().parse().unwrap();
    assert!((2000..=2500).contains(&timeout_ms), "{timeout_ms} ms are passed on");
    assert_eq!(servers.connection_count(), 1);
}

#[test]
fn a_safe_request_is_retried_on_another_server() {
    let failures: [fn() -> Reply; 4] = [
        || Reply::Send(response("500 No", "", b"")),
        || Reply::Reset,
        || Reply::SendAndClose(b"\x16\x03\x01".to_vec()),
        || Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nhalf".to_vec()),
    ];
    for (k, failure) in failures.into_iter().enumerate() {
        let (node, _discovery, servers) = start_with_first_reply(failure);
        let answer = node.get("/safe/1", "").unwrap();
        assert_eq!(
            (answer.status(), &answer.body[..], servers.request_count()),
            (200, &b"fine"[..], 2),
            "failure {k}"
        );
    }
}

#[test]
fn an_unsafe_request_that_did_not_run_is_retried() {
    for status in ["503 Busy", "504 Late"] {
        let servers = Servers::new(2, move |n, _| match n {
            0 => Reply::Send(response(status, "X-Not-Processed: 1\r\n", b"")),
            _ => ok_reply("fine"),
        });
        let (node, _discovery) = Node::start_with_servers(&servers);
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
        assert_eq!(servers.request_count(), 2);
    }
    // One of the two servers refuses connections.
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

/// A reset before the last byte of the request was written: the server cannot have run it, so another one may.
#[test]
fn an_unsafe_request_that_was_not_sent_completely_is_retried() {
    let resetting = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let resetting_address = resetting.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in resetting.incoming().flatten() {
            let _ = stream.read(&mut [0; 1000]);
            reset_connection(stream);
        }
    });
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let hosts =
        [host_json("s-0", servers.addresses[0], "active"), host_json("s-1", resetting_address, "active")];
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    // More than the sockets' buffers hold, so that the reset comes before the last byte is written.
    let body = vec![b'x'; 10_000_000];
    for k in 0..4 {
        assert_eq!(node.post("/once/1", &body).unwrap().status(), 200, "request {k}");
    }
    assert_eq!(servers.request_count(), 4);
}

/// After a reset behind its last byte, the request may have run: on a new connection as on a reused one.
#[test]
fn an_unsafe_request_that_was_sent_completely_is_not_retried_after_a_reset() {
    let servers = Servers::new(2, |_, m| if m.body == b"good" { ok_reply("fine") } else { Reply::Reset });
    let (node, _discovery) = Node::start_with_servers(&servers);
    for reused in [false, true] {
        if reused {
            for _ in 0..4 {
                assert_eq!(node.post("/once/1", b"good").unwrap().status(), 200);
            }
        }
        let before = servers.request_count();
        assert_eq!(node.post("/once/1", b"bad").unwrap().status(), 502, "reused connection: {reused}");
        assert_eq!(servers.request_count() - before, 1, "reused connection: {reused}");
    }
}

#[test]
fn a_request_without_an_answer_gets_504_at_its_clients_timeout() {
    let servers = Servers::new(2, |_, _| Reply::NoAnswer);
    let (node, _discovery) = Node::start_with_servers(&servers);
    for request in
        [get_request("/safe/1", "X-Timeout-Ms: 700\r\n"), get_request("/once/1", "X-Timeout-Ms: 700\r\n")]
    {
        let start = Instant::now();
        assert_eq!(node.send_raw(&request).unwrap().status(), 504);
        let elapsed = start.elapsed();
        assert!(
            elapsed >= Duration::from_millis(699) && elapsed < Duration::from_millis(1500),
            "{elapsed:?}"
        );
    }
    assert_eq!(servers.request_count(), 2);
}

#[test]
fn a_long_answer_is_streamed_and_a_truncated_one_reaches_the_client_incomplete() {
    let long_answer = |content_length: usize, sent: usize| {
        let mut out = format!("HTTP/1.1 200 OK\r\nContent-Length: {content_length}\r\n\r\n").into_bytes();
        out.resize(out.len() + sent, b'x');
        Reply::SendAndClose(out)
    };
    let servers =
        Servers::new(
            2,
            move |n, _| if n == 0 { long_answer(900_000, 900_000) } else { long_answer(900_000, 500_000) },
        );
    let (node, _discovery) = Node::start_with_servers(&servers);
    let answer = node.get("/safe/1", "").unwrap();
    assert_eq!((answer.status(), answer.body.len(), answer.is_complete), (200, 900_000, true));
    let truncated = node.get("/safe/2", "").unwrap();
    assert!(!truncated.is_complete && truncated.body.len() <= 500_000, "{}", truncated.body.len());
    // The same with chunked answers.
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

/// Answers that are longer than allowed, or that never end, fail the attempt. A safe request is retried at once
/// rather than at its client's timeout.
#[test]
fn an_invalid_or_incomplete_answer_is_not_passed_on() {
    fn answer_part(head: &str, sent: usize) -> Reply {
        let mut out = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").into_bytes();
        out.resize(out.len() + sent, b'x');
        Reply::Send(out)
    }
    let invalid_answers: [fn() -> Reply; 3] = [
        || answer_part("Content-Length: 3000000000", 200_000),
        || answer_part("Content-Length: 500", 400),
        || answer_part("Transfer-Encoding: chunked", 0),
    ];
    for (k, invalid_answer) in invalid_answers.into_iter().enumerate() {
        let (node, _discovery, servers) = start_with_first_reply(invalid_answer);
        let start = Instant::now();
        let answer = node.get("/safe/1", "").unwrap();
        let is_fine = answer.body == b"fine";
        assert_eq!((answer.status(), is_fine, servers.request_count()), (200, true, 2), "answer {k}");
        assert!(start.elapsed() < Duration::from_millis(2500), "answer {k}: {:?}", start.elapsed());
        let (node, _discovery, servers) = start_with_first_reply(invalid_answer);
        assert_eq!(
            (node.post("/once/1", b"body").unwrap().status(), servers.request_count()),
            (502, 1),
            "answer {k}"
        );
    }
    // A chunked answer that exceeds the limit on its way is cut off so that the client sees it as incomplete.
    let (node, _discovery, _servers) = start_with_first_reply(|| {
        let chunk = [&b"f4240\r\n"[..], &vec![b'x'; 1_000_000], b"\r\n"].concat();
        Reply::Send(
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), chunk.repeat(40)].concat(),
        )
    });
    let truncated = node.get("/safe/1", "").unwrap();
    assert!(!truncated.is_complete && truncated.body.len() <= 32 << 20, "{}", truncated.body.len());
}

/// A client that reads slowly must not count against its server's health: other requests still go there.
#[test]
fn a_client_that_reads_slowly_does_not_make_its_server_unavailable() {
    let servers = Servers::new(1, |n, _| match n {
        0 => Reply::Send(response("200 OK", "", &vec![b'x'; 20_000_000])),
        _ => ok_reply("fine"),
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut slow = node.connect();
    slow.write_all(&get_request("/safe/1", "")).unwrap();
    let mut first_bytes = [0; 100];
    slow.read_exact(&mut first_bytes).unwrap();
    // Longer than the balancer waits for an answer.
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
    let mut rest = Vec::new();
    slow.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let _ = slow.read_to_end(&mut rest);
    assert!(rest.len() > 19_999_900, "{}", rest.len());
}

/// A server's 400 is due to the request: no other server is tried, and its server stays in use.
#[test]
fn a_rejected_request_is_not_retried_and_does_not_count_against_servers() {
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

/// A server may close an idle connection at any time: no request may be lost on it.
#[test]
fn a_server_connection_closed_by_its_server_is_not_reused() {
    let servers = Servers::new(1, |_, _| Reply::SendAndClose(response("200 OK", "", b"fine")));
    let (node, _discovery) = Node::start_with_servers(&servers);
    for k in 0..3 {
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200, "request {k}");
        wait_until("the node has closed its side of the connection", || {
            servers.closed_by_node.load(SeqCst) == k + 1
        });
    }
    assert_eq!((servers.request_count(), servers.connection_count()), (3, 3));
}

#[test]
fn idle_server_connections_are_closed_before_the_servers_idle_timeout() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node =
        Node::start(discovery.address, &NodeOptions { idle_timeout_ms: 200, ..NodeOptions::default() });
    node.wait_until_ready();
    let post = || {
        let start = Instant::now();
        assert_eq!(node.post("/once/1", b"body").unwrap().status(), 200);
        start.elapsed()
    };
    post();
    let before = servers.connection_count();
    std::thread::sleep(Duration::from_millis(150));
    post();
    assert_eq!((before, servers.connection_count()), (1, 2));
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let (node, discovery) = Node::start_with_servers(&servers);
    let active = Servers::new(1, |_, _| ok_reply("other"));
    let mut hosts: Vec<_> =
        (0..2).map(|k| host_json(&format!("s-{k}"), servers.addresses[k], ["leaving", "left"][k])).collect();
    hosts.push(host_json("s-2", active.addresses[0], "active"));
    assert_eq!(node.post("/once/1", b"").unwrap().status(), 200);
    discovery.push_line(list_json(2, false, &hosts));
    wait_until("the new list is applied", || node.post("/once/1", b"").unwrap().body == b"other");
    let before = servers.request_count();
    for _ in 0..20 {
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"other");
    }
    assert_eq!(servers.request_count(), before);
}

#[test]
fn an_invalid_message_from_discovery_keeps_the_previous_list() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    for invalid in ["{\"seq\":2,\"whole\":true,\"hosts\":[{}]}", "\u{1}\u{2}", "[]", "{\"seq\":2,\"who"] {
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let node = Node::start(discovery.address, &NodeOptions::default());
        node.wait_until_ready();
        discovery.push_line(invalid.to_owned());
        wait_until("the watch is reopened", || discovery.watch_count() == 2);
        assert_eq!(node.post("/once/1", b"").unwrap().status(), 200);
    }
}

/// An older list is a stale copy: it would bring back a server that drains.
#[test]
fn an_older_list_is_rejected() {
    let draining = Servers::new(1, |_, _| ok_reply("old"));
    let current = Servers::new(1, |_, _| ok_reply("new"));
    let newest_list = list_json(
        9,
        true,
        &[
            host_json("s-0", draining.addresses[0], "leaving"),
            host_json("s-1", current.addresses[0], "active"),
        ],
    );
    let discovery = Discovery::new(vec![newest_list.clone(), draining.list_json(3), newest_list], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    discovery.push_line("broken".into());
    wait_until("the stale list was rejected", || discovery.watch_count() == 3);
    for _ in 0..10 {
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"new");
    }
    assert_eq!(draining.request_count(), 0);
}

/// A watch without heartbeats may have hung: its updates would be missed.
#[test]
fn a_watch_without_heartbeats_is_reopened() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], false);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    wait_until("the watch is reopened", || discovery.watch_count() == 2);
}

#[test]
fn a_restarted_node_serves_from_its_saved_list_without_discovery() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let node = Node::start(
        refusing_address(),
        &NodeOptions { known_servers_json: servers.list_json(1), ..NodeOptions::default() },
    );
    node.wait_until_ready();
    assert_eq!(node.post("/once/1", b"").unwrap().status(), 200);
}

/// A reload may name another discovery server: the node resumes there from its current list version and keeps
/// serving. An invalid file changes nothing.
#[test]
fn a_reload_switches_to_another_discovery_server() {
    let old = Servers::new(1, |_, _| ok_reply("old"));
    let (node, first) = Node::start_with_servers(&old);
    let new = Servers::new(1, |_, _| ok_reply("new"));
    let hosts = [host_json("s-0", old.addresses[0], "leaving"), host_json("s-1", new.addresses[0], "active")];
    let second = Discovery::new(vec![list_json(2, false, &hosts)], true);
    for (k, invalid) in ["{", "{}"].into_iter().enumerate() {
        node.reload(invalid);
        node.wait_for_log("not reloaded", k + 1);
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"old");
    }
    for k in 0..2 {
        node.reload(&platform_config(second.address, &NodeOptions::default()));
        node.wait_for_log("reloaded: discovery at", k + 1);
    }
    wait_until("the list of the second discovery server is applied", || {
        node.post("/once/1", b"").unwrap().body == b"new"
    });
    assert_eq!(
        (first.watch_count(), second.watch_count()),
        (1, 1),
        "a reload with the same address opens no new watch"
    );
    second.push_line(list_json(
        3,
        false,
        &[host_json("s-0", old.addresses[0], "active"), host_json("s-1", new.addresses[0], "left")],
    ));
    wait_until("the update of the new watch is applied", || {
        node.post("/once/1", b"").unwrap().body == b"old"
    });
}

/// After SIGTERM, requests in flight are finished, late ones are still accepted, and then the process exits.
#[test]
fn a_terminated_node_finishes_its_requests_and_exits() {
    let servers = Servers::new(2, |_, _| {
        std::thread::sleep(Duration::from_millis(300));
        ok_reply("fine")
    });
    let (mut node, _discovery) = Node::start_with_servers(&servers);
    let mut idle = node.connect();
    idle.write_all(&get_request("/up", "")).unwrap();
    assert_eq!(read_message(&mut idle).unwrap().status(), 200);
    let mut in_flight = node.connect();
    in_flight.write_all(&post_request("/once/1", b"body")).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    node.signal("-TERM");
    wait_until("/up answers 503", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    idle.write_all(&post_request("/once/2", b"body")).unwrap();
    for stream in [&mut in_flight, &mut idle] {
        let answer = read_message(stream).unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert_eq!(node.post("/once/3", b"late").map(|m| m.status()), Some(200));
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_disconnected_client_does_not_block_other_requests() {
    let servers = Servers::new(1, |n, _| if n == 0 { Reply::NoAnswer } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    client.write_all(&get_request("/safe/1", "")).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    drop(client);
    assert_eq!(node.get("/safe/2", "").map(|m| m.status()), Some(200));
}

/// Idle client connections must not keep new clients out.
#[test]
fn the_longest_idle_client_connection_is_closed_for_a_new_one() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { max_sockets: 64, ..NodeOptions::default() });
    node.wait_until_ready();
    let mut clients = Vec::new();
    for k in 0..60 {
        let mut client = node.connect();
        client.write_all(&post_request("/once/1", b"body")).unwrap();
        let answer = read_message(&mut client).unwrap_or_else(|| panic!("client {k} got no answer"));
        assert_eq!((answer.status(), answer.header("connection")), (200, None), "client {k}");
        clients.push(client);
    }
    assert_eq!(
        clients[0].read(&mut [0]).unwrap(),
        0,
        "the longest idle connection must be closed without a reset"
    );
}

/// A request header that never ends must not hold its file descriptor.
#[test]
fn a_request_header_that_stalls_is_timed_out() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    client.write_all(b"POST /once/1 HTTP/1.1\r\nHost: a\r\n").unwrap();
    let start = Instant::now();
    assert!(read_message(&mut client).is_none_or(|m| m.status() == 408));
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
}

/// A client that sends nothing, or stops in the middle of a body, must not hold its file descriptor.
#[test]
fn silent_clients_and_stalled_request_bodies_are_timed_out() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let start = Instant::now();
    let silent: Vec<_> = (0..20).map(|_| node.connect()).collect();
    let mut stalled = node.connect();
    let request = post_request("/once/1", &[b'x'; 100]);
    stalled.write_all(&request[..request.len() - 50]).unwrap();
    assert_eq!(read_message(&mut stalled).unwrap().status(), 408);
    assert!(silent.into_iter().all(|mut client| read_message(&mut client).is_none()));
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    assert_eq!(servers.request_count(), 0);
}

/// Idle client connections must not delay a planned restart.
#[test]
fn a_terminated_node_closes_idle_connections() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (mut node, _discovery) = Node::start_with_servers(&servers);
    let mut idle = node.connect();
    idle.write_all(&post_request("/once/1", b"body")).unwrap();
    assert_eq!(read_message(&mut idle).unwrap().status(), 200);
    let start = Instant::now();
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    assert_eq!(idle.read(&mut [0]).unwrap(), 0);
}

#[test]
fn bodies_that_do_not_fit_into_memory_are_streamed() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 16, ..NodeOptions::default() });
    node.wait_until_ready();
    for length in [30_000_000, 2_000_000] {
        assert_eq!(node.post("/once/1", &vec![b'x'; length]).unwrap().status(), 200, "{length} bytes");
    }
    assert!(node.peak_resident_bytes() < 16 << 20, "{} bytes resident", node.peak_resident_bytes());
    assert_eq!(servers.request_count(), 2);
}

#[test]
fn an_invalid_configuration_fails_the_start_with_one_line_naming_the_error() {
    let valid = platform_config(refusing_address(), &NodeOptions::default());
    let cases = [
        (String::from("{"), "EOF"),
        (valid.replace("\"classes\"", "\"klasses\""), "classes"),
        (valid.replace("pure", "pious"), "pious"),
        (valid.replace("127.0.0.1:0", "nowhere"), "listen"),
        (valid.replace("\"sockets\":1024", "\"sockets\":3"), "sockets"),
    ];
    for (text, expected) in cases {
        let output = Node::spawn(&text).0.wait_with_output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && stderr.lines().count() == 1, "{stderr}");
        assert!(stderr.contains(expected) || stderr.contains("socket address"), "{expected}: {stderr}");
    }
}

/// The time that an answer's body takes is no sign of a busy server: no request may be refused because of it.
#[test]
fn slow_answer_bodies_do_not_count_as_overload() {
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

/// The node reads on so that the client can read its answer. A body that was sent in part cannot be sent again;
/// the request did not run, so 503 lets the client repeat it.
#[test]
fn a_long_body_whose_server_fails_is_read_to_its_end_and_answered() {
    let resetting = spawn_raw_server(|mut stream| {
        let mut first_bytes = vec![0; 200_000];
        let _ = stream.read_exact(&mut first_bytes);
        reset_connection(stream);
    });
    for server in [refusing_address(), resetting] {
        let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", server, "active")])], true);
        let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
        node.wait_until_ready();
        let mut client = node.connect();
        for chunk in post_request("/once/1", &vec![b'x'; 8_000_000]).chunks(1 << 20) {
            client.write_all(chunk).expect("the node has stopped reading the body");
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(read_message(&mut client).expect("no answer").status(), 503);
    }
}

#[test]
fn a_body_of_32_mib_passes_and_a_longer_one_gets_413() {
    let servers =
        Servers::new(1, |_, m| Reply::Send(response("200 OK", "", m.body.len().to_string().as_bytes())));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let max_bytes = 32 << 20;
    assert_eq!(node.post("/once/1", &vec![b'x'; max_bytes]).unwrap().body, max_bytes.to_string().as_bytes());
    let mut client = node.connect();
    client
        .write_all(
            format!("POST /once/1 HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: {}\r\n\r\n", max_bytes + 1)
                .as_bytes(),
        )
        .unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 413);
    assert_eq!(servers.request_count(), 1);
}
