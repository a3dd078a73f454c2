//! Large messages on the platform: far more of them than there is memory, and what else happens meanwhile.

use corkhollow_test_support::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

fn echo(count: usize) -> Servers {
    Servers::new(count, |_, m| Reply::Send(response("200 OK", "", m.body.len().to_string().as_bytes())))
}

/// 200 uploads at once that together are four times the memory limit, each on its way until all are: every one has its
/// answer, short requests are served beside them, and the memory limit holds.
#[test]
fn two_hundred_uploads_leave_the_node_to_others() {
    const UPLOADS: usize = 200;
    const LENGTH: usize = 1 << 20;
    let servers = echo(8);
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    let (under_way, go_on) = (AtomicUsize::new(0), AtomicBool::new(false));
    let (served, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..UPLOADS {
            scope.spawn(|| {
                let mut client = node.connect();
                let bytes = post_request("/once/1", &vec![b'x'; LENGTH]);
                let (first, rest) = bytes.split_at(LENGTH / 8);
                let sent = client.write_all(first);
                under_way.fetch_add(1, SeqCst);
                while !go_on.load(SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                let _ = sent.and_then(|()| client.write_all(rest));
                let answer = read_message(&mut client).expect("an upload has no answer");
                match answer.status() {
                    200 => {
                        assert_eq!(answer.body, LENGTH.to_string().into_bytes());
                        served.fetch_add(1, SeqCst);
                    }
                    status => {
                        assert_eq!(status, 503, "{}", answer.head);
                        refused.fetch_add(1, SeqCst);
                    }
                }
            });
        }
        wait_until("all are under way", || under_way.load(SeqCst) == UPLOADS);
        for k in 0..50 {
            assert_eq!(node.get("/safe/1", "").unwrap().status(), 200, "short request {k}");
        }
        go_on.store(true, SeqCst);
    });
    let (served, refused) = (served.load(SeqCst), refused.load(SeqCst));
    assert_eq!(served + refused, UPLOADS);
    assert!(served > UPLOADS / 4, "{served} served, {refused} refused");
    assert!(node.peak_resident_bytes() < 48 << 20, "{} bytes at most", node.peak_resident_bytes());
    wait_until("all is given back", || node.metric("gw_body_bytes") == Some(0.0));
}

/// A drain lets an upload that is under way come to its end, and ends its connection behind the answer.
#[test]
fn a_drain_waits_for_an_upload() {
    let servers = echo(1);
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    let bytes = post_request("/once/1", &vec![b'x'; 8 << 20]);
    let (first, rest) = bytes.split_at(3 << 20);
    client.write_all(first).unwrap();
    wait_until("its beginning is there", || node.metric("gw_client_connections") == Some(1.0));
    assert_eq!(node.call_operator("POST", "/-/drain").unwrap().status(), 200);
    // Longer than idle connections are let be.
    let told = Instant::now();
    while told.elapsed() < Duration::from_millis(900) {
        assert_eq!(node.get("/up", "").map(|m| m.status()), Some(503));
        std::thread::sleep(Duration::from_millis(50));
    }
    client.write_all(rest).unwrap();
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(answer.body, (8 << 20).to_string().into_bytes());
}

/// What the program itself turns down behind a long body reaches a client that sends all of it first.
#[test]
fn a_long_body_that_nobody_takes_is_answered() {
    let servers = echo(1);
    let (node, _discovery) = Node::start_with_servers(&servers);
    let answer = node.post("/nowhere/1", &vec![b'x'; 6 << 20]).expect("the answer is lost");
    assert_eq!((answer.status(), answer.header("connection")), (404, Some("close")));
    assert_eq!(servers.request_count(), 0);
}
