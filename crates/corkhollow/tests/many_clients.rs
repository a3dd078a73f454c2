//! Hundreds of clients at once that hold what they were given: the node stays within its memory limit.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The least memory and the most descriptors of the platform's configurations.
const MEMORY_MB: u64 = 32;
const MAX_SOCKETS: u64 = 1_024;
/// More than the node accepts.
const CLIENTS: usize = 600;
/// How long the clients hold on.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// A client that cannot write for this long has sent enough.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);
/// A body that the node holds whole, and how much of it comes.
const BODY_BYTES: usize = 60_000;
const SENT_BODY_BYTES: usize = 55_000;
/// A body that the node passes on as it comes.
const LONG_BODY_BYTES: usize = 4_000_000;
/// Longer than what the kernels of both ends take of an answer that is not read.
const LONG_ANSWER_BYTES: usize = 1_000_000;
/// About as many header fields as hyper accepts in one head.
const SHORT_FIELDS: usize = 95;

fn short_fields() -> String {
    (0..SHORT_FIELDS).map(|k| format!("a{k}: 1\r\n")).collect()
}

/// The beginning of a request with a body.
fn begin_post(fields: &str, body_bytes: usize, sent_bytes: usize) -> Vec<u8> {
    let request = String::from_utf8(post_request("/once/1", b"")).unwrap();
    let head = request.replace("Content-Length: 0\r\n\r\n", "");
    let mut bytes = format!("{head}{fields}Content-Length: {body_bytes}\r\n\r\n").into_bytes();
    bytes.extend(vec![b'x'; sent_bytes]);
    bytes
}

/// Lets all clients send what `beginning` gives, calls `go_on` for each of them again and again, and checks the
/// node's memory and that it serves when they are gone.
fn check_memory(beginning: impl Fn() -> Vec<u8>, go_on: impl Fn(&mut TcpStream)) {
    let servers = Servers::new(8, |_, m| match m.header("x-short") {
        Some(_) => ok_reply("fine"),
        None => Reply::Send(response("200 OK", "", &vec![b'x'; LONG_ANSWER_BYTES])),
    });
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let options = NodeOptions { memory_mb: MEMORY_MB, max_sockets: MAX_SOCKETS, ..NodeOptions::default() };
    let node = Node::start(discovery.address, &options);
    node.wait_until_ready();
    // Each sends at once: the node closes idle connections for new ones.
    let begin = |_| {
        let mut client = node.connect();
        client.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        let _ = client.write(&beginning());
        client
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(begin).collect();
    let started_at = Instant::now();
    while started_at.elapsed() < HOLD_TIME {
        clients.iter_mut().for_each(&go_on);
        std::thread::sleep(Duration::from_millis(50));
    }
    let peak_bytes = node.peak_resident_bytes();
    assert!(peak_bytes < MEMORY_MB << 20, "{} kB resident", peak_bytes >> 10);
    drop(clients);
    wait_until("the node serves again", || {
        node.get("/safe/1", "X-Short: 1\r\n").is_some_and(|answer| answer.status() == 200)
    });
}

/// Guards against a node killed for its memory: bodies that stop behind heads of many short fields.
#[test]
fn bodies_that_stop_stay_within_the_memory_limit() {
    check_memory(|| begin_post(&short_fields(), BODY_BYTES, SENT_BODY_BYTES), |_| {});
}

/// The same with long answers that are read slowly.
#[test]
fn slow_readers_stay_within_the_memory_limit() {
    check_memory(
        || get_request("/safe/1", &short_fields()),
        |client| {
            client.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
            let _ = client.read(&mut [0; 100]);
        },
    );
}

/// The same with long bodies that are written slowly.
#[test]
fn slow_writers_stay_within_the_memory_limit() {
    check_memory(
        || begin_post(&short_fields(), LONG_BODY_BYTES, SENT_BODY_BYTES),
        |client| {
            let _ = client.write(&[b'x'; 100]);
        },
    );
}

/// The same with heads that stop.
#[test]
fn half_heads_stay_within_the_memory_limit() {
    let long_field = format!("a: {}", "x".repeat(7_000));
    check_memory(
        || get_request("/safe/1", &long_field).strip_suffix(b"\r\n").unwrap().to_vec(),
        |client| {
            let _ = client.write(b"x");
        },
    );
}
