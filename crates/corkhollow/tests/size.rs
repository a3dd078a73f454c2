//! Large request bodies on the platform, together larger than the memory limit.

use corkhollow_test_support::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

fn servers_answering_the_body_length(count: usize) -> Servers {
    Servers::new(count, |_, m| Reply::Send(response("200 OK", "", m.body.len().to_string().as_bytes())))
}

/// 200 concurrent uploads, all in flight at once: each is answered, short requests are served meanwhile, and
/// the memory limit holds.
#[test]
fn uploads_of_four_times_the_memory_limit_are_answered_and_do_not_block_short_requests() {
    const UPLOADS: usize = 200;
    const UPLOAD_BYTES: usize = 1 << 20;
    let servers = servers_answering_the_body_length(8);
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    let (started, resume) = (AtomicUsize::new(0), AtomicBool::new(false));
    let (served, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..UPLOADS {
            scope.spawn(|| {
                let mut client = node.connect();
                let bytes = post_request("/once/1", &vec![b'x'; UPLOAD_BYTES]);
                let (beginning, rest) = bytes.split_at(UPLOAD_BYTES / 8);
                let sent = client.write_all(beginning);
                started.fetch_add(1, SeqCst);
                while !resume.load(SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                let _ = sent.and_then(|()| client.write_all(rest));
                let answer = read_message(&mut client).expect("an upload got no answer");
                match answer.status() {
                    200 => {
                        assert_eq!(answer.body, UPLOAD_BYTES.to_string().into_bytes());
                        served.fetch_add(1, SeqCst);
                    }
                    status => {
                        assert_eq!(status, 503, "{}", answer.head);
                        refused.fetch_add(1, SeqCst);
                    }
                }
            });
        }
        wait_until("all uploads have started", || started.load(SeqCst) == UPLOADS);
        for k in 0..50 {
            assert_eq!(node.get("/safe/1", "").unwrap().status(), 200, "short request {k}");
        }
        resume.store(true, SeqCst);
    });
    let (served, refused) = (served.load(SeqCst), refused.load(SeqCst));
    assert_eq!(served + refused, UPLOADS);
    assert!(served > UPLOADS / 4, "{served} served, {refused} refused");
    assert!(node.peak_resident_bytes() < 48 << 20, "{} bytes resident", node.peak_resident_bytes());
    wait_until("the memory of all bodies is released", || node.metric("gw_body_bytes") == Some(0.0));
}

/// Bodies and answers written in many small pieces at once; a server for each, so that none is refused.
const SLOW_PEERS: usize = 24;
const SLOW_BODY_BYTES: usize = 64_000;
const PIECE_BYTES: usize = 64;

/// Writes a body in pieces that the node reads one by one.
fn write_in_pieces(stream: &mut std::net::TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    for piece in bytes.chunks(PIECE_BYTES) {
        stream.write_all(piece)?;
        std::thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// Runs a client in each of [`SLOW_PEERS`] threads, against a node with little memory that must hold its limit.
fn with_slow_peers(servers: &Servers, client: impl Fn(&Node) + Sync) {
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    std::thread::scope(|scope| {
        for _ in 0..SLOW_PEERS {
            scope.spawn(|| client(&node));
        }
    });
    assert!(node.peak_resident_bytes() < 48 << 20, "{} bytes resident", node.peak_resident_bytes());
    wait_until("the memory of all bodies is released", || node.metric("gw_body_bytes") == Some(0.0));
}

/// Guards against a node killed for its memory: each piece of a request body kept the read buffer that it came
/// in.
#[test]
fn request_bodies_in_small_pieces_stay_within_the_memory_limit() {
    with_slow_peers(&servers_answering_the_body_length(SLOW_PEERS), |node| {
        let mut client = node.connect();
        write_in_pieces(&mut client, &post_request("/once/1", &[b'x'; SLOW_BODY_BYTES])).unwrap();
        let answer = read_message(&mut client).expect("an upload got no answer");
        assert_eq!((answer.status(), answer.body), (200, SLOW_BODY_BYTES.to_string().into_bytes()));
    });
}

/// The same for answers, which are held until they are whole.
#[test]
fn answers_in_small_pieces_stay_within_the_memory_limit() {
    let servers = Servers::new(SLOW_PEERS, |_, _| {
        Reply::Custom(Box::new(|stream| {
            let _ = write_in_pieces(stream, &response("200 OK", "", &[b'x'; SLOW_BODY_BYTES]));
        }))
    });
    with_slow_peers(&servers, |node| {
        let answer = node.get("/safe/1", "").expect("a request got no answer");
        assert_eq!((answer.status(), answer.body.len()), (200, SLOW_BODY_BYTES));
    });
}

/// The upload is completed and answered, and its connection closed.
#[test]
fn a_drain_waits_for_an_upload_in_flight() {
    let servers = servers_answering_the_body_length(1);
    let (node, _discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    let bytes = post_request("/once/1", &vec![b'x'; 8 << 20]);
    let (beginning, rest) = bytes.split_at(3 << 20);
    client.write_all(beginning).unwrap();
    wait_until("the client is connected", || node.metric("gw_client_connections") == Some(1.0));
    assert_eq!(node.call_operator("POST", "/-/drain").unwrap().status(), 200);
    // Longer than idle connections are kept open in a drain.
    let drained_at = Instant::now();
    while drained_at.elapsed() < Duration::from_millis(900) {
        assert_eq!(node.get("/up", "").map(|m| m.status()), Some(503));
        std::thread::sleep(Duration::from_millis(50));
    }
    client.write_all(rest).unwrap();
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(answer.body, (8 << 20).to_string().into_bytes());
}

/// The node reads on, so that the connection is not reset before the client reads the answer.
#[test]
fn an_error_answer_reaches_a_client_that_sends_its_long_body_first() {
    let servers = servers_answering_the_body_length(1);
    let (node, _discovery) = Node::start_with_servers(&servers);
    let answer = node.post("/nowhere/1", &vec![b'x'; 6 << 20]).expect("the client got no answer");
    assert_eq!((answer.status(), answer.header("connection")), (404, Some("close")));
    assert_eq!(servers.request_count(), 0);
}

/// Bodies too long to be buffered are streamed, many at a time, and arrive complete.
#[test]
fn many_long_bodies_are_streamed_within_the_memory_limit() {
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
                for chunk in post_request("/once/1", &vec![b'x'; length]).chunks(1 << 20) {
                    client.write_all(chunk).unwrap();
                    std::thread::sleep(Duration::from_millis(60));
                }
                let answer = read_message(&mut client).expect("no answer");
                assert_eq!((answer.status(), answer.body), (200, length.to_string().into_bytes()));
            });
        }
    });
    assert!(node.peak_resident_bytes() < 40 << 20, "{} bytes resident", node.peak_resident_bytes());
    assert_eq!(servers.request_count(), 10);
    wait_until("all requests are counted", || node.metric("gw_succeeded{service=\"once\"}") == Some(10.0));
    assert_eq!(node.metric("gw_outstanding"), Some(0.0));
}
