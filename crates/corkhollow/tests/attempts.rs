//! Attempts at close range: answers that come twice, errors that do not end, requests of which a part is written.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server that has answered one request twice may do so again, and some milliseconds later: a connection that has just been
/// put back carries nothing before these are over, or the second answer would be the next client's. (What was seen: with
/// the copy 4 ms behind, the answer to request 1 went to the client of request 2.)
#[test]
fn a_second_answer_is_nobodys() {
    let rests = Arc::new(Mutex::new(Vec::new()));
    let (number, rested) = (AtomicUsize::new(0), rests.clone());
    let dial = spawn_raw_server(move |mut stream| {
        let mut answered: Option<Instant> = None;
        while let Some(message) = read_message(&mut stream).filter(|m| m.is_complete) {
            rested.lock().unwrap().extend(answered.map(|at| at.elapsed()));
            // From before the answer goes: however long this thread is kept waiting, that makes the rest no shorter.
            answered = Some(Instant::now());
            let answer = response("200 OK", "", &message.body);
            let _ = stream.write_all(&answer.repeat(if number.fetch_add(1, SeqCst) == 0 { 2 } else { 1 }));
        }
    });
    let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", dial, "active")])], true);
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
    assert!(rests.len() >= 40, "connections are used again: {}", rests.len());
    assert!(rests.iter().all(|rest| *rest >= Duration::from_millis(10)), "{rests:?}");
}

/// The very first second answer that a process meets goes to no client either: nothing has warned it of servers that answer twice. The
/// answer comes again 5 ms behind the first time, and the client's next request comes at once.
#[test]
fn the_first_second_answer_that_a_process_meets_is_nobodys() {
    for _ in 0..5 {
        let number = AtomicUsize::new(0);
        let dial = spawn_raw_server(move |mut stream| {
            while let Some(message) = read_message(&mut stream).filter(|m| m.is_complete) {
                let answer = response("200 OK", "", &message.body);
                let _ = stream.write_all(&answer);
                if number.fetch_add(1, SeqCst) == 0 {
                    std::thread::sleep(Duration::from_millis(5));
                    let _ = stream.write_all(&answer);
                }
            }
        });
        let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", dial, "active")])], true);
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

/// Where second copies are not allowed, an attempt whose error is still on its way is not over: the next one goes when its
/// connection is closed, not beside it.
#[test]
fn nothing_is_tried_again_beside_an_error_on_its_way() {
    let closed = Arc::new(AtomicBool::new(false));
    let beside = Arc::new(AtomicUsize::new(0));
    let (closes, sees) = (closed.clone(), beside.clone());
    let servers = Servers::new(2, move |n, _| {
        if n > 0 {
            // The close is on its way with the request; the thread that sees it may be a little behind.
            let begun = Instant::now();
            while !closes.load(SeqCst) && begun.elapsed() < Duration::from_millis(120) {
                std::thread::sleep(Duration::from_millis(1));
            }
            sees.fetch_add(usize::from(!closes.load(SeqCst)), SeqCst);
            return ok_reply("fine");
        }
        let closes = closes.clone();
        Reply::Custom(Box::new(move |stream| {
            let _ = stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 100\r\n\r\nthe rest never comes");
            let _ = stream.read(&mut [0]);
            closes.store(true, SeqCst);
        }))
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    assert_eq!(node.get("/safe/1", "").unwrap().body, b"fine");
    assert!(closed.load(SeqCst));
    assert_eq!(beside.load(SeqCst), 0, "two attempts were out at once");
}

/// A request of which the last byte is not written when its time is up is gone for good, however much of it is.
#[test]
fn a_part_of_a_request_stays_a_part() {
    let length = 9_000_000;
    let (open, opens) = std::sync::mpsc::channel::<()>();
    let (tell, told) = std::sync::mpsc::channel();
    let opens = Mutex::new(opens);
    let dial = spawn_raw_server(move |mut stream| {
        let _ = opens.lock().unwrap().recv();
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        let _ = tell.send(all.len());
    });
    let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", dial, "active")])], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    let request = String::from_utf8(post_request("/once/1", &vec![b'x'; length])).unwrap();
    let request = request.replace("X-Timeout-Ms: 2500", "X-Timeout-Ms: 900");
    assert_eq!(node.send_raw(request.as_bytes()).unwrap().status(), 504);
    open.send(()).unwrap();
    let seen = told.recv_timeout(Duration::from_secs(20)).unwrap();
    assert!(seen < length, "{seen} bytes: all of it");
    assert_eq!(node.metric("gw_forwards"), Some(0.0));
}

/// A keyed request whose first try may have run is sent again only while servers know it again. A connection that comes up
/// after that, a second after it was decided on, does not carry it.
#[test]
fn a_keyed_request_is_not_begun_when_its_window_is_over() {
    let (break_off, breaks) = std::sync::mpsc::channel::<()>();
    let breaks = Mutex::new(breaks);
    let first = Servers::new(1, move |_, _| {
        let _ = breaks.lock().unwrap().recv();
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
    wait_until("the list is taken in", || node.metric("gw_discovered") == Some(2.0));
    break_off.send(()).unwrap();
    wait_until("it is tried again", || node.metric("gw_retries{pool=\"platform\"}") == Some(1.0));
    let seen = second.accept_and_collect(Duration::from_millis(1700));
    assert!(seen.is_empty(), "{}", String::from_utf8_lossy(&seen));
    let denied = "gw_denied{at=\"begin\",pool=\"platform\",reason=\"window-over\"}";
    wait_until("that is counted with its reason", || node.metric(denied) == Some(1.0));
    // All servers would know it again, as far as they do: refusing it is harmless, serving it is not.
    assert!(matches!(read_message(&mut client).unwrap().status(), 502..=504));
    assert_eq!(first.request_count(), 1);
}
