//! Clients that write their bodies in small pieces at 64 kB a second, many at a time. The node must stay within its
//! memory limit: over it, the platform kills it.

use review_standins::client;
use review_standins::config::{platform_file, site_classes, MEMORY_MB};
use review_standins::discovery::{Discovery, Host};
use review_standins::http::Reader;
use review_standins::node::{free_address, Node, TempFolder, Watchdog};
use review_standins::record::Record;
use review_standins::server::{self, answer_with_length, Runs, Work};
use review_standins::{has_trouble, new_request_id};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CLIENTS: usize = 32;
const BODY_BYTES: usize = 1 << 20;
/// 256 bytes every 4 ms are 64 kB a second.
const PIECE_BYTES: usize = 256;
const PIECE_INTERVAL: Duration = Duration::from_millis(4);
const TIMEOUT_MS: u64 = 2500;

fn main() {
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        2
    });
    std::process::exit(code);
}

/// Sends one request with its body at 64 kB a second, and reads the answer. Returns the answer's status.
fn upload(listen: SocketAddr, record: &Record, small_pieces: bool) -> std::io::Result<u16> {
    let id = new_request_id();
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(client::head("acknowledge", &id, TIMEOUT_MS, Some(BODY_BYTES)).as_bytes())?;
    // Without the disruption, the same body at the same rate in pieces of 16 KiB.
    let scale = if small_pieces { 1 } else { 64 };
    let piece = vec![b'x'; PIECE_BYTES * scale];
    let start = Instant::now();
    for number in 0..BODY_BYTES / piece.len() {
        sleep((PIECE_INTERVAL * (number * scale) as u32).saturating_sub(start.elapsed()));
        if let Err(error) = stream.write_all(&piece) {
            record.line(format!(
                "client POST /acknowledge id={id}: the connection broke during the body: {error}"
            ));
            return Ok(0);
        }
    }
    let sent = Instant::now();
    let answer = Reader::new(stream).message(true).ok().flatten().map_or(0, |answer| answer.status());
    record.line(format!(
        "client POST /acknowledge id={id} body={BODY_BYTES}: answered {answer} {} ms after the last byte",
        sent.elapsed().as_millis()
    ));
    Ok(answer)
}

fn run() -> std::io::Result<i32> {
    let root = std::env::var("REVIEW_ROOT").map_err(std::io::Error::other)?;
    let case = std::env::var("REVIEW_CASE").map_err(std::io::Error::other)?;
    let record = Record::create(&Path::new(&case).join("record.txt"))?;
    let folder = TempFolder::create("small-pieces")?;
    let runs = Runs::default();
    let work: Work = Arc::new(|request, out| {
        sleep(Duration::from_millis(100));
        answer_with_length(out, request.header("x-request-id").unwrap_or_default().as_bytes())
    });
    let mut hosts = Vec::new();
    for number in 0..4 {
        let name = format!("s-{number}");
        hosts.push(Host {
            dial: server::start(&name, &runs, &record, work.clone())?,
            name,
            health: "active",
        });
    }
    let discovery = Discovery::start(hosts)?;
    let (listen, operator) = (free_address()?, free_address()?);
    let (_, known) = discovery.list();
    let config = platform_file(listen, operator, discovery.address, &known, &site_classes());
    let mut node = Node::start(Path::new(&root), &folder.0, listen, operator, discovery.address, &config)?;
    let _watchdog = Watchdog::start(&node, Duration::from_secs(100));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                sleep(Duration::from_millis(20) * number as u32);
                upload(listen, &record, has_trouble())
            })
        })
        .collect();
    // The platform: it kills a node that goes over its memory limit.
    let (mut most_kb, mut killed, mut last_line) = (0, false, Instant::now());
    while clients.iter().any(|client| !client.is_finished()) {
        let memory_kb = node.resident_kb().unwrap_or(0);
        most_kb = most_kb.max(memory_kb);
        if last_line.elapsed() >= Duration::from_secs(1) {
            record.line(format!(
                "node: {memory_kb} kB resident, gw_body_bytes {:?}",
                node.metric("gw_body_bytes ")
            ));
            last_line = Instant::now();
        }
        if memory_kb > MEMORY_MB * 1024 && !killed {
            record.say(format!("platform: the node has {memory_kb} kB, its limit is {MEMORY_MB} MB: killed"));
            node.signal("-KILL")?;
            killed = true;
        }
        if !killed && !node.is_running() {
            record.say("the node has ended by itself");
            return Ok(1);
        }
        sleep(Duration::from_millis(50));
    }
    let statuses: Vec<_> =
        clients.into_iter().map(|client| client.join().ok().and_then(Result::ok).unwrap_or(0)).collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.say(format!(
        "{served} of {CLIENTS} served; most resident memory {most_kb} kB of {} kB",
        MEMORY_MB * 1024
    ));
    Ok(i32::from(killed))
}
