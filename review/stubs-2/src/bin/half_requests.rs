//! Bad clients stop in the middle of a request and stay; other clients send requests on new connections.

use review_stubs_2::client;
use review_stubs_2::discovery::{Discovery, Host};
use review_stubs_2::gateway::{Gateway, Options};
use review_stubs_2::http::{ReadError, Reader};
use review_stubs_2::record::note;
use review_stubs_2::{finish, has_trouble, limit_time, server};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 6;
const BAD_CLIENTS: usize = 200;
const CLIENTS: usize = 8;
const LENGTH: Duration = Duration::from_secs(12);
const TIMEOUT: Duration = Duration::from_millis(480);
/// 50 ms of slack, and half a second in which an answer only earns nothing.
const SLACK: Duration = Duration::from_millis(550);
const DETAILS: usize = 30;

static BAD_CONNECTIONS: AtomicUsize = AtomicUsize::new(0);
static LONGEST_HELD_MS: AtomicUsize = AtomicUsize::new(0);

/// Sends half a head and stays until the gateway answers or closes; then comes again.
fn run_bad_client(gateway: SocketAddr, end: Instant) {
    while Instant::now() < end {
        let Ok(mut stream) = client::connect(gateway) else {
            return thread::sleep(Duration::from_millis(50));
        };
        let connected_at = Instant::now();
        let _ = stream.write_all(b"GET /status HTTP/1.1\r\nHost: app.svc\r\nX-Request-");
        let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
        while stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
        BAD_CONNECTIONS.fetch_add(1, Ordering::SeqCst);
        LONGEST_HELD_MS.fetch_max(connected_at.elapsed().as_millis() as usize, Ordering::SeqCst);
    }
}

/// The requests that were answered in time, late, never, and whose connection was closed with nothing sent.
#[derive(Default)]
struct Counts {
    in_time: usize,
    late: usize,
    unanswered: usize,
    closed: usize,
}

fn run_client(number: usize, gateway: SocketAddr, end: Instant, counts: &Mutex<Counts>) {
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let id = format!("c{number}-{count}");
        let request = format!(
            "GET /status HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: {}\r\n\r\n",
            TIMEOUT.as_millis()
        );
        let Ok(mut stream) = client::connect(gateway) else { continue };
        let sent = stream.write_all(request.as_bytes()).is_ok();
        let sent_at = Instant::now();
        let answer = client::read_answer(&mut Reader::new(stream), sent_at + Duration::from_secs(15));
        let took = sent_at.elapsed();
        let mut counts = counts.lock().expect("no thread panics");
        let what = match answer {
            Ok((head, _)) if took <= TIMEOUT + SLACK => {
                counts.in_time += 1;
                format!("{} in time", head.first_line)
            }
            Ok((head, _)) => {
                counts.late += 1;
                format!("LATE {}", head.first_line)
            }
            Err(ReadError::Closed) if sent => {
                counts.closed += 1;
                "closed with nothing sent".to_owned()
            }
            Err(error) => {
                counts.unanswered += 1;
                format!("NO ANSWER {error:?}")
            }
        };
        if counts.late + counts.unanswered + counts.closed <= DETAILS && !what.ends_with("in time") {
            note(&format!("client {number}: {id}: {what} after {took:.1?}"));
        }
        drop(counts);
        thread::sleep(Duration::from_millis(100));
    }
}

fn main() {
    limit_time(Duration::from_secs(110));
    let behaviour = Arc::new(|_: usize, stream: TcpStream| {
        let mut reader = Reader::new(stream);
        while server::read_request(&mut reader).is_ok() {
            thread::sleep(Duration::from_millis(20));
            if !server::answer(&reader.stream, "200 OK", "", b"done") {
                return;
            }
        }
    });
    let hosts =
        (0..SERVERS).map(|k| Host::active(&format!("s-{k}"), server::start(k, behaviour.clone()))).collect();
    let discovery = Discovery::start(hosts);
    let gateway =
        Gateway::start(&Options { memory_mb: 64, sockets: 256, ..Options::default() }, discovery.address);
    let (address, end) = (gateway.address, Instant::now() + LENGTH);
    if has_trouble() {
        note(&format!("{BAD_CLIENTS} bad clients send half a request and stay"));
        (0..BAD_CLIENTS).for_each(|_| _ = thread::spawn(move || run_bad_client(address, end)));
    }
    thread::sleep(Duration::from_secs(1));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let clients = (0..CLIENTS).map(|k| {
        let counts = counts.clone();
        thread::spawn(move || run_client(k, address, end, &counts))
    });
    clients.collect::<Vec<_>>().into_iter().for_each(|client| _ = client.join());
    gateway.note_log();
    let counts = counts.lock().expect("no thread panics");
    note(&format!(
        "bad clients: {} connections ended, the longest after {} ms",
        BAD_CONNECTIONS.load(Ordering::SeqCst),
        LONGEST_HELD_MS.load(Ordering::SeqCst)
    ));
    note(&format!(
        "requests of the other clients: answered in time {}, late {}, never {}, closed with nothing sent {}",
        counts.in_time, counts.late, counts.unanswered, counts.closed
    ));
    finish(counts.late + counts.unanswered > 0)
}
