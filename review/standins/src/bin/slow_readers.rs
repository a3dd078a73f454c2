//! Clients that read a long answer steadily at 64 kB a second. The node must not cut off what the server still gives.

use review_standins::client;
use review_standins::config::{platform_file, site_classes};
use review_standins::discovery::{Discovery, Host};
use review_standins::node::{free_address, Node, TempFolder, Watchdog};
use review_standins::record::Record;
use review_standins::server::{self, Runs, Work};
use review_standins::{has_trouble, new_request_id};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
/// Within the 32 MB of the page.
const ANSWER_BYTES: usize = 32_000_000;
/// 64 kB a second: 3,200 bytes every 50 ms.
const PIECE_BYTES: usize = 3_200;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
/// How long a client reads at that rate; it reads the rest as fast as it comes.
const SLOW_TIME: Duration = Duration::from_secs(60);
const TIMEOUT_MS: u64 = 600;

fn main() {
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        2
    });
    std::process::exit(code);
}

/// Sends one request and reads its answer; true if all of it came.
fn ask(listen: SocketAddr, record: &Record) -> std::io::Result<bool> {
    let id = new_request_id();
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(client::head("status", &id, TIMEOUT_MS, None).as_bytes())?;
    let (start, mut first_byte, mut received, mut in_head) = (Instant::now(), None, 0, Vec::new());
    let mut length = None;
    let mut buffer = vec![0; 1 << 20];
    let mut next_line = Duration::from_secs(10);
    let end = loop {
        let is_slow = has_trouble() && start.elapsed() < SLOW_TIME;
        let limit = if is_slow { PIECE_BYTES } else { buffer.len() };
        let count = match stream.read(&mut buffer[..limit]) {
            Ok(0) => break "the node ended the connection".to_owned(),
            Ok(count) => count,
            Err(error) => break format!("the connection broke: {error}"),
        };
        let first_byte_at = *first_byte.get_or_insert(start.elapsed());
        match length {
            None => {
                in_head.extend_from_slice(&buffer[..count]);
                if let Some(end) = in_head.windows(4).position(|w| w == b"\r\n\r\n") {
                    let head = String::from_utf8_lossy(&in_head[..end]).to_lowercase();
                    if !head.starts_with("http/1.1 200") {
                        break format!("answered {}", head.lines().next().unwrap_or_default());
                    }
                    length = head
                        .lines()
                        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
                    received = in_head.len() - end - 4;
                }
            }
            Some(_) => received += count,
        }
        if length.is_some_and(|length| received >= length) {
            break format!("whole answer, first byte after {} ms", first_byte_at.as_millis());
        }
        if start.elapsed() > next_line {
            record
                .line(format!("client id={id} has read {received} bytes in {} s", start.elapsed().as_secs()));
            next_line += Duration::from_secs(10);
        }
        if is_slow {
            // The next piece is due when the rate allows it.
            let pieces = (received / PIECE_BYTES + 1) as u32;
            sleep((PIECE_INTERVAL * pieces).saturating_sub(start.elapsed()));
        }
    };
    let whole = length.is_some_and(|length| length == ANSWER_BYTES && received == length);
    record.line(format!(
        "client GET /status id={id}: {received} of {ANSWER_BYTES} bytes after {} ms: {end}",
        start.elapsed().as_millis()
    ));
    Ok(whole)
}

fn run() -> std::io::Result<i32> {
    let root = std::env::var("REVIEW_ROOT").map_err(std::io::Error::other)?;
    let case = std::env::var("REVIEW_CASE").map_err(std::io::Error::other)?;
    let record = Record::create(&Path::new(&case).join("record.txt"))?;
    let folder = TempFolder::create("slow-readers")?;
    let runs = Runs::default();
    let server_record = record.clone();
    let work: Work = Arc::new(move |request, out| {
        let id = request.header("x-request-id").unwrap_or_default();
        sleep(Duration::from_millis(25));
        let written = server::answer_with_length(out, &vec![b'x'; ANSWER_BYTES]);
        server_record.line(match &written {
            Ok(()) => format!("server has written the whole answer of id={id}"),
            Err(error) => format!(
                "server was still giving the answer of id={id} when the node ended the connection: {error}"
            ),
        });
        written
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
    let node = Node::start(Path::new(&root), &folder.0, listen, operator, discovery.address, &config)?;
    let _watchdog = Watchdog::start(&node, Duration::from_secs(110));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                sleep(Duration::from_millis(50) * number as u32);
                ask(listen, &record)
            })
        })
        .collect();
    let mut whole = 0;
    for client in clients {
        whole += usize::from(client.join().map_err(|_| std::io::Error::other("a client failed"))??);
    }
    record.line(format!(
        "node: gw_client_closes stalled {:?}",
        node.metric("gw_client_closes{reason=\"stalled\"} ")
    ));
    record.say(format!("{whole} of {CLIENTS} answers came whole"));
    Ok(i32::from(whole < CLIENTS))
}
