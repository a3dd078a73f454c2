//! Servers send some good answers twice, the second copy some milliseconds after the first.

use review_stubs_2::client;
use review_stubs_2::discovery::{Discovery, Host};
use review_stubs_2::gateway::{Gateway, Options};
use review_stubs_2::http::Reader;
use review_stubs_2::random::Random;
use review_stubs_2::record::note;
use review_stubs_2::sockets::{is_readable, unacknowledged_bytes};
use review_stubs_2::{finish, has_trouble, limit_time, server};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 6;
const CLIENTS: usize = 8;
const LENGTH: Duration = Duration::from_secs(20);
/// A server's work for a request.
const WORK: Duration = Duration::from_millis(20);
/// How long after the first answer the server writes the second one.
const LATE: Duration = Duration::from_millis(5);
/// One in so many answers is sent twice.
const SECOND_ANSWERS: u64 = 25;
/// One in so many requests that may not be repeated is turned away unseen, as by a full queue.
const TURNED_AWAY: u64 = 15;
/// Details are recorded for so many second answers and for so many answers that belong to other requests.
const DETAILS: usize = 40;

/// How often each request that may not be repeated has run.
static RUNS: Mutex<BTreeMap<String, usize>> = Mutex::new(BTreeMap::new());
static REQUESTS: AtomicUsize = AtomicUsize::new(0);
static SERVED: AtomicUsize = AtomicUsize::new(0);
static OTHERS: AtomicUsize = AtomicUsize::new(0);
static FOREIGN: AtomicUsize = AtomicUsize::new(0);
static COPIES: AtomicUsize = AtomicUsize::new(0);

/// Sends the answer once more, as long as no request waits on the connection.
fn send_again(index: usize, id: &str, stream: &TcpStream, answered_at: Instant) {
    let body = format!("answer to {id}");
    while answered_at.elapsed() < LATE {
        if is_readable(stream) {
            return;
        }
        thread::sleep(Duration::from_micros(200));
    }
    let written = answered_at.elapsed();
    server::answer(stream, "200 OK", "", body.as_bytes());
    if COPIES.fetch_add(1, Ordering::SeqCst) >= DETAILS {
        return;
    }
    while unacknowledged_bytes(stream) > 0
        && !is_readable(stream)
        && answered_at.elapsed() < Duration::from_secs(1)
    {
        thread::sleep(Duration::from_micros(200));
    }
    let seen = answered_at.elapsed();
    note(&format!(
        "server {index}: second answer to {id}, written {written:.1?} after the first, received by {seen:.1?}"
    ));
}

fn serve(index: usize, stream: TcpStream) {
    let mut random = Random::new(index as u64 + u64::from(stream.peer_addr().map_or(0, |peer| peer.port())));
    let mut reader = Reader::new(stream);
    while let Ok(request) = server::read_request(&mut reader) {
        if request.head.target() == "/acknowledge" {
            if random.below(TURNED_AWAY) == 0 {
                if !server::answer(&reader.stream, "503 Service Unavailable", "X-Not-Processed: 1\r\n", b"") {
                    return;
                }
                continue;
            }
            *RUNS.lock().expect("no thread panics").entry(request.id().to_owned()).or_default() += 1;
        }
        thread::sleep(WORK);
        if !server::answer(&reader.stream, "200 OK", "", format!("answer to {}", request.id()).as_bytes()) {
            return;
        }
        if has_trouble() && random.below(SECOND_ANSWERS) == 0 && reader.surplus().is_empty() {
            send_again(index, request.id(), &reader.stream, Instant::now());
        }
    }
}

fn run_client(number: usize, gateway: SocketAddr, end: Instant) {
    let mut random = Random::new(1000 + number as u64);
    let mut connection: Option<Reader> = None;
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let id = format!("c{number}-{count}");
        let request = match random.below(4) {
            0 => format!("POST /acknowledge HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 2000\r\nContent-Length: 0\r\n\r\n"),
            _ => format!("GET /status HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 480\r\n\r\n"),
        };
        let reader = match &mut connection {
            Some(reader) => reader,
            None => match client::connect(gateway) {
                Ok(stream) => connection.insert(Reader::new(stream)),
                Err(_) => continue,
            },
        };
        REQUESTS.fetch_add(1, Ordering::SeqCst);
        let sent = reader.stream.write_all(request.as_bytes()).is_ok();
        match client::read_answer(reader, Instant::now() + Duration::from_secs(4)) {
            Ok((head, body)) if sent && head.status() == 200 => {
                SERVED.fetch_add(1, Ordering::SeqCst);
                let body = String::from_utf8_lossy(&body).into_owned();
                if body != format!("answer to {id}") && FOREIGN.fetch_add(1, Ordering::SeqCst) < DETAILS {
                    note(&format!("client {number}: {id} was served with `{body}`"));
                }
            }
            Ok(_) => _ = OTHERS.fetch_add(1, Ordering::SeqCst),
            Err(error) => {
                OTHERS.fetch_add(1, Ordering::SeqCst);
                note(&format!("client {number}: {id}: {error:?}"));
                connection = None;
            }
        }
        thread::sleep(Duration::from_millis(5 + random.below(20)));
    }
}

fn main() {
    limit_time(Duration::from_secs(110));
    let behaviour = Arc::new(serve);
    let hosts =
        (0..SERVERS).map(|k| Host::active(&format!("s-{k}"), server::start(k, behaviour.clone()))).collect();
    let discovery = Discovery::start(hosts);
    let gateway = Gateway::start(&Options::default(), discovery.address);
    let (address, end) = (gateway.address, Instant::now() + LENGTH);
    let clients: Vec<_> = (0..CLIENTS).map(|k| thread::spawn(move || run_client(k, address, end))).collect();
    clients.into_iter().for_each(|client| _ = client.join());
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    gateway.note_log();
    let runs = RUNS.lock().expect("no thread panics");
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    twice
        .iter()
        .take(DETAILS)
        .for_each(|(id, runs)| note(&format!("{id}, which may not be repeated, ran {runs} times")));
    note(&format!(
        "requests that may not be repeated: {} ran, {} of them more than once",
        runs.len(),
        twice.len()
    ));
    note(&format!(
        "requests {}, served {}, other answers {}, second answers {}, served with the answer to another request {}",
        count(&REQUESTS),
        count(&SERVED),
        count(&OTHERS),
        count(&COPIES),
        count(&FOREIGN),
    ));
    finish(count(&FOREIGN) > 0 || !twice.is_empty())
}
