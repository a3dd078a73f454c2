//! What operators call: readiness, figures, drain and resume, whatever else goes on.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

fn shows(node: &Node, figure: &str, value: f64) {
    wait_until(figure, || node.metric(figure) == Some(value));
}

#[test]
fn requests_are_counted_by_class_and_end() {
    let servers = Servers::new(2, |_, m| match &m.body[..] {
        b"bad" => Reply::Reset,
        b"wait" => Reply::NoAnswer,
        _ => ok_reply("fine"),
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    shows(&node, "gw_discovered", 2.0);
    for class in ["safe", "once"] {
        for figure in ["succeeded", "declined", "aborted"] {
            assert_eq!(node.metric(&format!("gw_{figure}{{service=\"{class}\"}}")), Some(0.0), "{figure}");
        }
    }
    for _ in 0..3 {
        assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    }
    assert_eq!(node.post("/once/1", b"bad").unwrap().status(), 502);
    let mut held = node.connect();
    held.write_all(&post_request("/once/1", b"wait")).unwrap();
    shows(&node, "gw_outstanding", 1.0);
    shows(&node, "gw_forwards", 5.0);
    shows(&node, "gw_succeeded{service=\"safe\"}", 3.0);
    shows(&node, "gw_aborted{service=\"once\"}", 1.0);
    drop(held);
    shows(&node, "gw_outstanding", 0.0);
    node.signal("-HUP");
    shows(&node, "gw_sighup_applied", 1.0);
    node.reload("{");
    shows(&node, "gw_sighup_rejected", 1.0);
    assert_eq!(node.metric("gw_ejected"), Some(0.0));
}

/// One request on each way that a request can go, through a reload and a drain: each is counted once, with its reason.
#[test]
fn every_way_that_a_request_ends_has_its_reason() {
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
    shows(&node, "gw_discovered", 2.0);
    let counted = |reason: &str| node.metric(&format!("gw_unserved{{reason=\"{reason}\",service=\"once\"}}"));
    assert_eq!(node.post("/once/1", b"fine").unwrap().status(), 200);
    assert_eq!(node.post("/once/1", b"bad").unwrap().status(), 502);
    let late = b"POST /once/1 HTTP/1.1\r\nHost: x\r\nX-Request-ID: late\r\nX-Timeout-Ms: 200\r\nContent-Length: 4\r\n\r\nwait";
    assert_eq!(node.send_raw(late).unwrap().status(), 504);
    assert!(node.post("/once/1", b"error").unwrap().status() >= 500);
    let mut gone = node.connect();
    gone.write_all(&post_request("/once/1", b"wait")).unwrap();
    shows(&node, "gw_outstanding", 1.0);
    drop(gone);
    let _ = node.post("/once/1", b"cut");
    node.signal("-HUP");
    shows(&node, "gw_sighup_applied", 1.0);
    let no_id = b"POST /once/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(node.send_raw(no_id).unwrap().status(), 400);
    node.call_operator("POST", "/-/drain");
    assert_eq!(node.post("/once/1", b"fine").unwrap().status(), 200);
    wait_until("all are counted", || {
        let ended = ["succeeded", "declined", "aborted"];
        let ended = ended.map(|f| node.metric(&format!("gw_{f}{{service=\"once\"}}")).unwrap_or(0.0));
        ended.iter().sum::<f64>() == 8.0 && node.metric("gw_outstanding") == Some(0.0)
    });
    for reason in ["late", "gone", "cut", "turned-down"] {
        assert_eq!(counted(reason), Some(1.0), "{reason}");
    }
    assert_eq!(counted("failed").zip(counted("server-error")).map(|(a, b)| a + b), Some(2.0));
    let ended = |ending: &str| node.metric(&format!("gw_attempts{{ending=\"{ending}\",pool=\"platform\"}}"));
    assert_eq!(ended("timed-out"), Some(1.0));
    assert!(ended("ok") >= Some(3.0) && ended("reset") >= Some(1.0) && ended("cancelled") >= Some(1.0));
    assert_eq!(node.metric("gw_answer_seconds_count{service=\"once\"}"), Some(3.0));
    assert!(node.metric("gw_client_connections_most") > Some(100.0));
}

/// A drained node says no, ends each connection behind its answer, lets go of the idle ones, and comes back.
#[test]
fn a_drain_empties_the_node_and_ends() {
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
    // Clients that come all the same, and those that go on, are served.
    busy.write_all(&get_request("/safe/1", "")).unwrap();
    let answer = read_message(&mut busy).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "the idle connection is not closed");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    assert_eq!(node.call_operator("POST", "/-/resume").unwrap().status(), 200);
    node.wait_until_ready();
    let mut kept = node.connect();
    for _ in 0..2 {
        kept.write_all(&get_request("/safe/1", "")).unwrap();
        assert_eq!(read_message(&mut kept).unwrap().header("connection"), None);
    }
}

/// Callers that say nothing, or half of it, keep nobody else from an answer, and are let go.
#[test]
fn silent_callers_hold_nothing_up() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut silent: Vec<_> =
        (0..60).map(|_| TcpStream::connect(node.operator_address.unwrap()).unwrap()).collect();
    for caller in silent.iter_mut().step_by(2) {
        let _ = caller.write_all(b"GET /-/metrics HTT");
    }
    let start = Instant::now();
    for _ in 0..5 {
        assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
    }
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    for caller in &mut silent {
        caller.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let mut said = Vec::new();
        // A close or a reset; a time-out would be neither.
        let end = caller.read_to_end(&mut said).map_err(|e| e.kind());
        assert_ne!(end, Err(std::io::ErrorKind::WouldBlock), "a silent caller is still held");
    }
}

#[test]
fn other_calls_are_told_no() {
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

/// A head that does not end is told so once it is too long, and costs no more than that.
#[test]
fn a_head_that_is_too_long_is_told_so() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut caller = TcpStream::connect(node.operator_address.unwrap()).unwrap();
    caller.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let head = format!("GET /-/ready HTTP/1.1\r\nHost: a\r\nX-Long: {}\r\n\r\n", "a".repeat(20_000));
    let _ = caller.write_all(head.as_bytes());
    assert_eq!(read_message(&mut caller).unwrap().status(), 431);
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
}

/// A call whose length can be read in two ways, or whose body does not come, is turned down and does nothing.
#[test]
fn a_call_that_is_not_whole_does_nothing() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let call = |path: &str, rest: &str| {
        let mut caller = TcpStream::connect(node.operator_address.unwrap()).unwrap();
        caller.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        caller.write_all(format!("POST /-/{path} HTTP/1.1\r\nHost: node\r\n{rest}").as_bytes()).unwrap();
        read_message(&mut caller).map(|answer| answer.status())
    };
    let torn = [
        ("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        ("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400),
        ("Content-Length: 4\r\n\r\n", 408),
        ("Content-Length: 4\r\n\r\nab", 408),
        ("Transfer-Encoding: chunked\r\n\r\n4\r\nab", 408),
        ("Transfer-Encoding: chunked\r\n\r\nnonsense\r\n", 400),
    ];
    for (rest, status) in torn {
        assert_eq!(call("drain", rest), Some(status), "{rest:?}");
        assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200, "{rest:?} drained the node");
    }
    assert_eq!(call("drain", "Content-Length: 2\r\n\r\nhi"), Some(200));
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 503);
    for (rest, status) in torn {
        assert_eq!(call("resume", rest), Some(status), "{rest:?}");
        assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 503, "{rest:?} resumed the node");
    }
    assert_eq!(call("resume", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), Some(200));
    assert_eq!(node.call_operator("GET", "/-/ready").unwrap().status(), 200);
}

/// Operators get their answers beside clients that take all that the node can give, and beside 300 callers that say
/// nothing.
#[test]
fn answers_come_beside_full_load_and_silent_callers() {
    let servers = Servers::new(4, |_, _| ok_reply("fine"));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let silent: Vec<_> = (0..300).map(|_| TcpStream::connect(node.operator_address.unwrap())).collect();
    let over = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let mut client = node.connect();
                while !over.load(SeqCst) {
                    client.write_all(&get_request("/safe/1", "")).unwrap();
                    read_message(&mut client).expect("a client loses an answer");
                    served.fetch_add(1, SeqCst);
                }
            });
        }
        wait_until("the load is on", || served.load(SeqCst) > 200);
        let mut slowest = Duration::ZERO;
        for k in 0..60 {
            let start = Instant::now();
            let answer = node.call_operator("GET", if k % 2 == 0 { "/-/ready" } else { "/-/metrics" });
            slowest = slowest.max(start.elapsed());
            assert_eq!(answer.map(|m| m.status()), Some(200), "call {k}");
        }
        over.store(true, SeqCst);
        // The operators' bound is a second; a busy machine that runs many tests is given more.
        assert!(slowest < Duration::from_secs(5), "{slowest:?}");
    });
    drop(silent);
}

/// An installation with a file of its own has the same address, and a server's 404 is service there.
#[test]
fn an_operators_file_has_the_address_too() {
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
    shows(&node, "gw_succeeded{service=\"read\"}", 2.0);
    assert_eq!(node.metric("gw_aborted{service=\"read\"}"), Some(0.0));
    shows(&node, "gw_discovered", 1.0);
}

/// The events of one request, found by its client's own id, name each attempt with its server and how it ended, and why the
/// request was answered as it was; those of connections why they were closed.
#[test]
fn events_tell_the_way_of_a_request() {
    let servers = Servers::new(2, |n, _| if n == 0 { Reply::Reset } else { ok_reply("fine") });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let request = String::from_utf8(get_request("/safe/1", "")).unwrap();
    let id = request.split_once("X-Request-ID: ").unwrap().1.split_once('\r').unwrap().0;
    assert_eq!(node.send_raw(request.as_bytes()).unwrap().body, b"fine");
    let page = || String::from_utf8(node.call_operator("GET", "/-/events").unwrap().body).unwrap();
    wait_until("its connection is closed", || page().contains(" closed reason=client"));
    let page = page();
    let taken = page.lines().find(|line| line.ends_with(&format!("taken id={id}"))).expect("it was taken");
    let subject = taken.split(' ').skip(1).take(2).collect::<Vec<_>>().join(" ");
    let way: Vec<_> =
        page.lines().filter_map(|l| l.split_once(&format!("{subject} "))).map(|l| l.1).collect();
    let servers: Vec<_> =
        way.iter().filter_map(|event| event.split_once("server=")).map(|e| &e.1[..3]).collect();
    assert!(servers == ["s-0", "s-1"] || servers == ["s-1", "s-0"], "{way:?}");
    let without_servers = way.iter().map(|event| event.replace("s-0", "s").replace("s-1", "s"));
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
    shows(&node, "gw_retries_after{ending=\"reset\",pool=\"platform\"}", 1.0);
    shows(&node, "gw_rule_violations{rule=\"dropped-request\"}", 0.0);
}

/// A hedge goes out half an aim behind the first attempt, which is still open: its event says so, and no retry is counted.
#[test]
fn events_and_metrics_tell_hedges_from_retries() {
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
    shows(&node, "gw_hedges{pool=\"platform\"}", 1.0);
    shows(&node, "gw_retries{pool=\"platform\"}", 0.0);
}

/// A process that stands still beyond a request's time answers late, and says of itself that it has.
#[test]
fn a_late_answer_is_counted_as_a_broken_rule() {
    let servers = Servers::new(1, |_, _| Reply::NoAnswer);
    let (node, _discovery) = Node::start_with_servers(&servers);
    shows(&node, "gw_rule_violations{rule=\"late-answer\"}", 0.0);
    let request = String::from_utf8(post_request("/once/1", b"body")).unwrap();
    let mut client = node.connect();
    client.write_all(request.replace("X-Timeout-Ms: 2500", "X-Timeout-Ms: 1000").as_bytes()).unwrap();
    wait_until("the request is under way", || servers.request_count() == 1);
    node.signal("-STOP");
    // Far beyond its time and the half second in which an answer only earns nothing.
    std::thread::sleep(Duration::from_millis(2_200));
    node.signal("-CONT");
    assert_eq!(read_message(&mut client).unwrap().status(), 504);
    shows(&node, "gw_rule_violations{rule=\"late-answer\"}", 1.0);
    shows(&node, "gw_rule_violations{rule=\"dropped-request\"}", 0.0);
}
