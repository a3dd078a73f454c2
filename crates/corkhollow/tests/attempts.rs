//! Attempts: servers that answer twice, error answers that do not end, partly written requests, and
//! idempotency windows.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// After a server has answered a request twice, its connections rest for 10 ms before they are reused: a late
/// second answer must not be taken for the answer to the next client's request.
#[test]
fn connections_of_a_server_that_answers_twice_rest_before_reuse() {
    let rests = Arc::new(Mutex::new(Vec::new()));
    let (answer_count, recorded_rests) = (AtomicUsize::new(0), rests.clone());
    let address = spawn_raw_server(move |mut stream| {
        let mut answered_at: Option<Instant> = None;
        while let Some(message) = read_message(&mut stream).filter(|m| m.is_complete) {
            recorded_rests.lock().unwrap().extend(answered_at.map(|at| at.elapsed()));
            // Taken before the write, so that a delay of this thread cannot make the measured rest shorter.
            answered_at = Some(Instant::now());
            let answer = response("200 OK", "", &message.body);
            let _ =
                stream.write_all(&answer.repeat(if answer_count.fetch_add(1, SeqCst) == 0 { 2 } else { 1 }));
        }
    });
    let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", address, "active")])], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    let mut client = node.connect();
    for k in 0..60 {
        let body = format!("body of {k}").into_bytes();
        client.write_all(&post_request("/once/1", &body)).unwrap();
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, body));
    }
    let rests = rests.lock().unwrap();
    assert!(rests.len() >= 40, "connections are reused: {}", rests.len());
    assert!(rests.iter().all(|rest| *rest >= Duration::from_millis(10)), "{rests:?}");
}

/// The first duplicate answer that a process ever gets goes to no client. It comes 5 ms after the answer,
/// when the client has already sent its next request.
#[test]
fn the_first_duplicate_answer_goes_to_no_client() {
    for _ in 0..5 {
        let answer_count = AtomicUsize::new(0);
        let address = spawn_raw_server(move |mut stream| {
            while let Some(message) = read_message(&mut stream).filter(|m| m.is_complete) {
                let answer = response("200 OK", "", &message.body);
                let _ = stream.write_all(&answer);
                if answer_count.fetch_add(1, SeqCst) == 0 {
                    std::thread::sleep(Duration::from_millis(5));
                    let _ = stream.write_all(&answer);
                }
            }
        });
        let discovery =
            Discovery::new(vec![list_json(1, true, &[host_json("s-0", address, "active")])], true);
        let node = Node::start(discovery.address, &NodeOptions::default());
        node.wait_until_ready();
        let mut client = node.connect();
        for body in [&b"the first"[..], b"the second", b"the third"] {
            client.write_all(&post_request("/once/1", body)).unwrap();
            let answer = read_message(&mut client).expect("an answer");
            assert_eq!((answer.status(), &answer.body[..]), (200, body));
        }
    }
}

/// Where hedges are not allowed, a retry waits until the connection of an attempt with an unfinished error
/// answer is closed: no two attempts are open at once.
#[test]
fn a_retry_waits_until_an_unfinished_error_answer_is_closed() {
    let is_closed = Arc::new(AtomicBool::new(false));
    let concurrent_retries = Arc::new(AtomicUsize::new(0));
    let (close_seen, retry_counter) = (is_closed.clone(), concurrent_retries.clone());
    let servers = Servers::new(2, move |n, _| {
        if n > 0 {
            // The close is sent before the retry; the thread that reads it may run a little later.
            let started_at = Instant::now();
            while !close_seen.load(SeqCst) && started_at.elapsed() < Duration::from_millis(120) {
                std::thread::sleep(Duration::from_millis(1));
            }
            retry_counter.fetch_add(usize::from(!close_seen.load(SeqCst)), SeqCst);
            return ok_reply("fine");
        }
        let close_seen = close_seen.clone();
        Reply::Custom(Box::new(move |stream| {
            let _ = stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 100\r\n\r\nthe rest never comes");
            let _ = stream.read(&mut [0]);
            close_seen.store(true, SeqCst);
        }))
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    assert_eq!(node.get("/safe/1", "").unwrap().body, b"fine");
    assert!(is_closed.load(SeqCst));
    assert_eq!(concurrent_retries.load(SeqCst), 0, "two attempts were open at once");
}

/// A request that is not completely written at its deadline is never completed, however much of it was written.
#[test]
fn a_request_is_not_completed_after_its_deadline() {
    let length = 9_000_000;
    let (start_reading, start_signal) = std::sync::mpsc::channel::<()>();
    let (report_bytes, reported_bytes) = std::sync::mpsc::channel();
    let start_signal = Mutex::new(start_signal);
    let address = spawn_raw_server(move |mut stream| {
        let _ = start_signal.lock().unwrap().recv();
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        let _ = report_bytes.send(all.len());
    });
    let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", address, "active")])], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    let request = String::from_utf8(post_request("/once/1", &vec![b'x'; length])).unwrap();
    let request = request.replace("X-Timeout-Ms: 2500", "X-Timeout-Ms: 900");
    assert_eq!(node.send_raw(request.as_bytes()).unwrap().status(), 504);
    start_reading.send(()).unwrap();
    let received = reported_bytes.recv_timeout(Duration::from_secs(20)).unwrap();
    assert!(received < length, "{received} bytes: the whole request");
    assert_eq!(node.metric("gw_forwards"), Some(0.0));
}

/// A keyed request whose first attempt may have run is retried only within its idempotency window. The
/// retry's connection comes up about a second later, after the window: the request is not sent on it.
#[test]
fn a_keyed_request_is_not_sent_after_its_idempotency_window() {
    let (reset_first, reset_signal) = std::sync::mpsc::channel::<()>();
    let reset_signal = Mutex::new(reset_signal);
    let first = Servers::new(1, move |_, _| {
        let _ = reset_signal.lock().unwrap().recv();
        Reply::Reset
    });
    let discovery = Discovery::new(vec![first.list_json(1)], true);
    let text = platform_config(discovery.address, &NodeOptions::default())
        .replace("\"effect\":\"pure\"", "\"effect\":\"token\"")
        .replace("\"windowNs\":1000000000", "\"windowNs\":600000000")
        .replace("\"connectTimeoutNs\":120000000", "\"connectTimeoutNs\":2900000000");
    let node = Node::start_with_platform_file(&text);
    node.wait_until_ready();
    let mut client = node.connect();
    client.write_all(&post_request("/safe/1", b"body")).unwrap();
    wait_until("the request is under way", || first.request_count() == 1);
    let second = FullBacklogServer::new();
    discovery.push_line(list_json(2, false, &[host_json("s-1", second.address, "active")]));
    wait_until("the list is applied", || node.metric("gw_discovered") == Some(2.0));
    reset_first.send(()).unwrap();
    wait_until("the request is retried", || node.metric("gw_retries{pool=\"platform\"}") == Some(1.0));
    let received = second.accept_and_collect(Duration::from_millis(1700));
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
    let denied_metric = "gw_denied{at=\"begin\",pool=\"platform\",reason=\"window-over\"}";
    wait_until("the denied attempt is counted with its reason", || node.metric(denied_metric) == Some(1.0));
    // The request may have run, so that it must not be answered as served.
    assert!(matches!(read_message(&mut client).unwrap().status(), 502..=504));
    assert_eq!(first.request_count(), 1);
}
