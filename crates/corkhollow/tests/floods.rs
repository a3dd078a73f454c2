//! One client sends small or unsound requests at full speed: other clients get their answers in time, and the node's
//! memory does not grow with the number of requests.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_millis(1_500);
/// How much of it passes before the memory is first looked at.
const WARM_UP_TIME: Duration = Duration::from_millis(700);
/// What the node may take more in the rest of a flood.
const MAX_GROWTH_BYTES: u64 = 2 << 20;
/// Requests that a flood writes at once.
const BATCH: usize = 100;
/// The time of the other clients' requests, and the half second in which a late answer still is one.
const TIMEOUT: Duration = Duration::from_millis(600);
const SLACK: Duration = Duration::from_millis(550);

/// The requests of a flood, by their number.
type FloodRequest = fn(u64) -> String;

const FLOODS: [(&str, FloodRequest); 9] = [
    ("served, new ids", |k| format!("GET /safe/{k} HTTP/1.1\r\nHost: a\r\nX-Request-ID: f{k}\r\n\r\n")),
    ("served, new tenants and keys", |k| {
        format!("GET /safe/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: f{k}\r\nX-Tenant-Id: t{k}\r\nX-Route-Key: k{k}\r\n\r\n")
    }),
    ("served, new field names", |k| {
        format!("GET /safe/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: f{k}\r\nX-{k}: {k}\r\n\r\n")
    }),
    ("one id", |_| "GET /safe/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: same\r\n\r\n".to_owned()),
    ("new classes", |k| format!("GET /class{k}/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: f{k}\r\n\r\n")),
    ("no id", |_| "GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n".to_owned()),
    ("readiness", |_| "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".to_owned()),
    ("new methods", |k| format!("M{k} /safe/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: f{k}\r\n\r\n")),
    ("noise", |k| format!("\u{1}{k} noise\r\n\r\n")),
];

/// Writes requests at full speed, and reads what comes, until `is_over`. Connects again when the node closes.
fn flood(node: &Node, request: FloodRequest, is_over: &AtomicBool, next: &AtomicU64) {
    let mut answers = vec![0; 1 << 16];
    let mut batch = Vec::new();
    while !is_over.load(SeqCst) {
        let mut client = node.connect();
        client.set_nonblocking(true).unwrap();
        while !is_over.load(SeqCst) {
            if batch.is_empty() {
                let first = next.fetch_add(BATCH as u64, SeqCst);
                batch = (first..first + BATCH as u64).flat_map(|k| request(k).into_bytes()).collect();
            }
            let written = client.write(&batch);
            batch.drain(..written.as_ref().map_or(0, |count| *count));
            if is_closed(&mut client, &mut answers) {
                batch.clear();
                break;
            }
        }
    }
}

/// Reads what there is; returns whether the connection is closed.
fn is_closed(client: &mut TcpStream, answers: &mut [u8]) -> bool {
    match client.read(answers) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Guards against answers that come late or never, and memory that grows without end, while one client floods the
/// node.
#[test]
fn a_flood_from_one_client_does_not_harm_others() {
    let servers = Servers::new(4, |_, _| ok_reply("fine"));
    for (name, request) in FLOODS {
        let (node, _discovery) = Node::start_with_servers(&servers);
        let (is_over, next) = (AtomicBool::new(false), AtomicU64::new(0));
        let slowest = std::thread::scope(|scope| {
            scope.spawn(|| flood(&node, request, &is_over, &next));
            let started_at = Instant::now();
            let mut slowest = Duration::ZERO;
            let mut memory_at_warm_up = None;
            while started_at.elapsed() < FLOOD_TIME {
                let sent_at = Instant::now();
                let timeout = format!("X-Timeout-Ms: {}\r\n", TIMEOUT.as_millis());
                let answer = node.get("/safe/1", &timeout).expect("another client gets no answer");
                assert_eq!(answer.status(), 200, "{name}: {}", answer.head);
                slowest = slowest.max(sent_at.elapsed());
                if started_at.elapsed() > WARM_UP_TIME {
                    memory_at_warm_up.get_or_insert(node.peak_resident_bytes());
                }
                sleep(Duration::from_millis(10));
            }
            is_over.store(true, SeqCst);
            let growth = node.peak_resident_bytes() - memory_at_warm_up.unwrap_or(0);
            assert!(growth < MAX_GROWTH_BYTES, "{name}: {growth} bytes more");
            slowest
        });
        assert!(slowest < TIMEOUT + SLACK, "{name}: {slowest:?}");
    }
}
