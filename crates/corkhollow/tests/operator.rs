//! The operator's HTTP interface: readiness, metrics, events, drain and resume.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

fn wait_for_metric(node: &Node, name: &str, value: f64) {
    wait_until(name, || node.metric(name) == Some(value));
}

#[test]
fn requests_are_counted_by_class_and_outcome() {
    let servers = Servers::new(2, |_, m| match &m.body[..] {
        b"bad" => Reply::Reset,
        b"wait" => Reply::NoAnswer,
        _ => ok_reply("fine"),
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    wait_for_metric(&node, "gw_discovered", 2.0);
    for class in ["safe", "once"] {
        for outcome in ["succeeded", "declined", "aborted"] {
            assert_eq!(node.metric(&format!("gw_{outcome}{{service=\"{class}\"}}")), Some(0.0), "{outcome}");
        }
    }
    for _ in 0..3 {
        assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    }
    assert_eq!(node.post("/once/1", b"bad").unwrap().status(), 502);
    let mut waiting = node.connect();
    waiting.write_all(&post_request("/once/1", b"wait")).unwrap();
    wait_for_metric(&node, "gw_outstanding", 1.0);
    wait_for_metric(&node, "gw_forwards", 5.0);
    wait_for_metric(&node, "gw_succeeded{service=\"safe\"}", 3.0);
    wait_for_metric(&node, "gw_aborted{service=\"once\"}", 1.0);
    drop(waiting);
    wait_for_metric(&node, "gw_outstanding", 0.0);
    node.signal("-HUP");
    wait_for_metric(&node, "gw_sighup_applied", 1.0);
    node.reload("{");
    wait_for_metric(&node, "gw_sighup_rejected", 1.0);
    assert_eq!(node.metric("gw_ejected"), Some(0.0));
}

/// Sends a request for each outcome, through a reload and a drain.
#[test]
fn each_outcome_of_a_request_is_counted_once_with_its_reason() {
    let servers = Servers::new(2, |_, m| match &m.body[..] {
        b"bad" => Reply::Reset,
        b"wait" => Reply::NoAnswer,
        b"cut" => Reply::SendAndClose(
            b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"
                .iter()
                .copied()
                .chain([b'x'; 200_000])
                .collect(),
        ),
        b"error" => Reply::Send(b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n".to_vec()),
        _ => ok_reply("fine"),
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    wait_for_metric(&node, "gw_discovered", 2.0);
    let unserved =
        |reason: &str| node.metric(&format!("gw_unserved{{reason=\"{reason}\",service=\"once\"}}"));
    assert_eq!(node.post("/once/1", b"fine").unwrap().status(), 200);
    assert_eq!(node.post("/once/1", b"bad").unwrap().status(), 502);
    let timed_out = b"POST /once/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: late\r\nX-Timeout-Ms: 200\r\nContent-Length: 4\r\n\r\nwait";
    assert_eq!(node.send_raw(timed_out).unwrap().status(), 504);
    assert!(node.post("/once/1", b"error").unwrap().status() >= 500);
    let mut disconnecting = node.connect();
    disconnecting.write_all(&post_request("/once/1", b"wait")).unwrap();
    wait_for_metric(&node, "gw_outstanding", 1.0);
    drop(disconnecting);
    let _ = node.post("/once/1", b"cut");
    node.signal("-HUP");
    wait_for_metric(&node, "gw_sighup_applied", 1.0);
    let no_id = b"POST /once/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(node.send_raw(no_id).unwrap().status(), 400);
    node.call_operator("POST", "/-/drain");
    assert_eq!(node.post("/once/1", b"fine").unwrap().status(), 200);
    wait_until("all requests are counted", || {
        let outcomes = ["succeeded", "declined", "aborted"];
        let counts = outcomes.map(|f| node.metric(&format!("gw_{f}{{service=\"once\"}}")).unwrap_or(0.0));
        counts.iter().sum::<f64>() == 8.0 && node.metric("gw_outstanding") == Some(0.0)
    });
    for reason in ["late", "gone", "cut", "turned-down"] {
        assert_eq!(unserved(reason), Some(1.0), "{reason}");
    }
    assert_eq!(unserved("failed").zip(unserved("server-error")).map(|(a, b)| a + b), Some(2.0));
    let attempts =
        |ending: &str| node.metric(&format!("gw_attempts{{ending=\"{ending}\",pool=\"platform\"}}"));
    assert_eq!(attempts("timed-out"), Some(1.0));
    assert!(
        attempts("ok") >= Some(3.0) && attempts("reset") >= Some(1.0) && attempts("cancelled") >= Some(1.0)
    );
    assert_eq!(node.metric("gw_answer_seconds_count{service=\"once\"}"), Some(3.0));
    assert!(node.metric("gw_client_connections_most") > Some(100.0));
}

/// While it drains, a node is not ready, closes each connection after its answer, and closes idle connections.
/// After the resume it is ready and reuses connections.
#[test]
fn a_draining_node_closes_its_connections_and_resumes() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
    let (mut busy, mut idle) = (node.connect(), node.connect());
    for client in [&mut busy, &mut idle] {
        client.write_all(&get_request("/safe/1", "")).unwrap();
        assert_eq!(read_message(client).unwrap().header("connection"), None);
    }
    let start = Instant::now();
    assert_eq!(node.call_operator("POST", "/-/drain").unwrap().status(), 200);
    assert_eq!(node.get("/up", "").unwrap().status(), 503);
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 503);
    // Requests on open and new connections are still served.
    busy.write_all(&get_request("/safe/1", "")).unwrap();
    let answer = read_message(&mut busy).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "the idle connection is not closed");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert_eq!(node.call_operator("POST", "/-/resume").unwrap().status(), 200);
    node.wait_until_ready();
    let mut reused = node.connect();
    for _ in 0..2 {
        reused.write_all(&get_request("/safe/1", "")).unwrap();
        assert_eq!(read_message(&mut reused).unwrap().header("connection"), None);
    }
}

/// Connections that send nothing or half a request neither delay other calls nor stay open.
#[test]
fn silent_operator_connections_do_not_delay_other_calls_and_time_out() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut silent: Vec<_> =
        (0..60).map(|_| TcpStream::connect(node.operator_address.unwrap()).unwrap()).collect();
    for connection in silent.iter_mut().step_by(2) {
        let _ = connection.write_all(b"GET /-/metrics HTT");
    }
    let start = Instant::now();
    for _ in 0..5 {
        assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
    }
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    for connection in &mut silent {
        connection.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let mut received = Vec::new();
        // Either a close or a reset ends the connection; `WouldBlock` is the test's own read timeout.
        let end = connection.read_to_end(&mut received).map_err(|e| e.kind());
        assert_ne!(end, Err(std::io::ErrorKind::WouldBlock), "a silent connection is still open");
    }
}

#[test]
fn unknown_paths_and_wrong_methods_are_rejected() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    for (method, path, status) in [
        ("GET", "/-/drain", 405),
        ("POST", "/-/metrics", 405),
        ("GET", "/", 404),
        ("GET", "/safe/1", 404),
        ("GET", "/up", 404),
    ] {
        assert_eq!(node.call_operator(method, path).unwrap().status(), status, "{method} {path}");
    }
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
}

/// Other calls are answered after it.
#[test]
fn an_oversized_request_header_gets_431() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut connection = TcpStream::connect(node.operator_address.unwrap()).unwrap();
    connection.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let head = format!("GET /-/ready HTTP/1.1\r\nHost: a\r\nX-Long: {}\r\n\r\n", "a".repeat(20_000));
    let _ = connection.write_all(head.as_bytes());
    assert_eq!(read_message(&mut connection).unwrap().status(), 431);
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
}

/// A call with an ambiguous length or an incomplete body neither drains nor resumes the node.
#[test]
fn a_malformed_or_incomplete_call_has_no_effect() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let call = |path: &str, rest: &str| {
        let mut connection = TcpStream::connect(node.operator_address.unwrap()).unwrap();
        connection.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        connection.write_all(format!("POST /-/{path} HTTP/1.1\r\nHost: node\r\n{rest}").as_bytes()).unwrap();
        read_message(&mut connection).map(|answer| answer.status())
    };
    let invalid = [
        ("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        ("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400),
        ("Content-Length: 4\r\n\r\n", 408),
        ("Content-Length: 4\r\n\r\nab", 408),
        ("Transfer-Encoding: chunked\r\n\r\n4\r\nab", 408),
        ("Transfer-Encoding: chunked\r\n\r\nnonsense\r\n", 400),
    ];
    for (rest, status) in invalid {
        assert_eq!(call("drain", rest), Some(status), "{rest:?}");
        assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200, "{rest:?} drained the node");
    }
    assert_eq!(call("drain", "Content-Length: 2\r\n\r\nhi"), Some(200));
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 503);
    for (rest, status) in invalid {
        assert_eq!(call("resume", rest), Some(status), "{rest:?}");
        assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 503, "{rest:?} resumed the node");
    }
    assert_eq!(call("resume", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), Some(200));
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
}

/// Clients send all that the node can serve, and 300 operator connections are silent.
#[test]
fn operator_calls_are_answered_under_full_load_and_beside_silent_connections() {
    let servers = Servers::new(4, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let silent: Vec<_> = (0..300).map(|_| TcpStream::connect(node.operator_address.unwrap())).collect();
    let done = AtomicBool::new(false);
    let answered = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let mut client = node.connect();
                while !done.load(SeqCst) {
                    client.write_all(&get_request("/safe/1", "")).unwrap();
                    read_message(&mut client).expect("a client got no answer");
                    answered.fetch_add(1, SeqCst);
                }
            });
        }
        wait_until("the clients are served", || answered.load(SeqCst) > 200);
        let mut slowest = Duration::ZERO;
        for k in 0..60 {
            let start = Instant::now();
            let answer = node.call_operator("GET", if k % 2 == 0 { "/-/ready" } else { "/-/metrics" });
            slowest = slowest.max(start.elapsed());
            assert_eq!(answer.map(|m| m.status()), Some(200), "call {k}");
        }
        done.store(true, SeqCst);
        // Operators are promised one second; a machine busy with other tests takes longer.
        assert!(slowest < Duration::from_secs(5), "{slowest:?}");
    });
    drop(silent);
}

/// Unlike on the platform, a server's 404 counts as a success there.
#[test]
fn an_operators_file_configures_the_same_operator_interface() {
    let servers = Servers::new(1, |_, m| match m.head.contains("/none") {
        true => Reply::Send(response("404 Not Found", "", b"")),
        false => ok_reply("fine"),
    });
    let node = Node::start_with_operator_file(&format!(
        "[operator]\nlisten = \"127.0.0.1:0\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\nmethods = [\"GET\"]\n\
         [[pool]]\nname = \"boxes\"\nservers = [{{ address = \"{}\" }}]\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n",
        servers.addresses[0]
    ));
    wait_until("the program is ready", || {
        node.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200)
    });
    assert_eq!(node.get("/some", "").unwrap().status(), 200);
    assert_eq!(node.get("/none", "").unwrap().status(), 404);
    wait_for_metric(&node, "gw_succeeded{service=\"read\"}", 2.0);
    assert_eq!(node.metric("gw_aborted{service=\"read\"}"), Some(0.0));
    wait_for_metric(&node, "gw_discovered", 1.0);
}

/// The events of a request, found by its client's request id, name each attempt with its server and its
/// outcome, and the reason for the answer. The events of a connection name the reason why it was closed.
#[test]
fn events_describe_the_attempts_and_the_outcome_of_a_request() {
    let servers = Servers::new(2, |n, _| if n == 0 { Reply::Reset } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let request = String::from_utf8(get_request("/safe/1", "")).unwrap();
    let id = request.split_once("X-Request-ID: ").unwrap().1.split_once('\r').unwrap().0;
    assert_eq!(node.send_raw(request.as_bytes()).unwrap().body, b"fine");
    let page = || String::from_utf8(node.call_operator("GET", "/-/events").unwrap().body).unwrap();
    wait_until("the client connection is closed", || page().contains(" closed reason=client"));
    let page = page();
    let taken_event = page
        .lines()
        .find(|line| line.ends_with(&format!("taken id={id}")))
        .expect("an event for the request");
    let subject = taken_event.split(' ').skip(1).take(2).collect::<Vec<_>>().join(" ");
    let request_events: Vec<_> =
        page.lines().filter_map(|l| l.split_once(&format!("{subject} "))).map(|l| l.1).collect();
    let attempt_servers: Vec<_> =
        request_events.iter().filter_map(|event| event.split_once("server=")).map(|e| &e.1[..3]).collect();
    assert!(attempt_servers == ["s-0", "s-1"] || attempt_servers == ["s-1", "s-0"], "{request_events:?}");
    let without_servers = request_events.iter().map(|event| event.replace("s-0", "s").replace("s-1", "s"));
    assert_eq!(
        without_servers.collect::<Vec<_>>(),
        [
            &format!("taken id={id}"),
            "sent attempt=0 server=s hedge=false",
            "ended attempt=0 as=Reset",
            "sent attempt=1 server=s hedge=false",
            "answered reason=by-server",
            "ended attempt=1 as=Ok",
        ]
    );
    wait_for_metric(&node, "gw_retries_after{ending=\"reset\",pool=\"platform\"}", 1.0);
    wait_for_metric(&node, "gw_rule_violations{rule=\"dropped-request\"}", 0.0);
}

/// A hedge is sent after half an aim, while the first attempt is still open.
#[test]
fn hedges_and_retries_are_told_apart_in_events_and_metrics() {
    let servers = Servers::new(2, |n, _| if n == 0 { Reply::NoAnswer } else { ok_reply("fine") });
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let text = platform_config(discovery.address, &NodeOptions::default());
    let node =
        Node::start_with_platform_file(&text.replace("\"secondCopies\":false", "\"secondCopies\":true"));
    node.wait_until_ready();
    assert_eq!(node.get("/safe/1", "").unwrap().body, b"fine");
    let page = String::from_utf8(node.call_operator("GET", "/-/events").unwrap().body).unwrap();
    let hedges: Vec<_> = page.lines().filter_map(|line| line.split_once("hedge=")).map(|l| l.1).collect();
    assert_eq!(hedges, ["false", "true"], "{page}");
    wait_for_metric(&node, "gw_hedges{pool=\"platform\"}", 1.0);
    wait_for_metric(&node, "gw_retries{pool=\"platform\"}", 0.0);
}

/// A process that is stopped beyond a request's timeout answers late and counts it.
#[test]
fn a_late_answer_is_counted_as_a_rule_violation() {
    let servers = Servers::new(1, |_, _| Reply::NoAnswer);
    let (node, _discovery) = Node::start_with_servers(&servers);
    wait_for_metric(&node, "gw_rule_violations{rule=\"late-answer\"}", 0.0);
    let request = String::from_utf8(post_request("/once/1", b"body")).unwrap();
    let mut client = node.connect();
    client.write_all(request.replace("X-Timeout-Ms: 2500", "X-Timeout-Ms: 1000").as_bytes()).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    node.signal("-STOP");
    // Longer than the request's timeout and the half second of slack for late answers.
    std::thread::sleep(Duration::from_millis(2_200));
    node.signal("-CONT");
    assert_eq!(read_message(&mut client).unwrap().status(), 504);
    wait_for_metric(&node, "gw_rule_violations{rule=\"late-answer\"}", 1.0);
    wait_for_metric(&node, "gw_rule_violations{rule=\"dropped-request\"}", 0.0);
}
