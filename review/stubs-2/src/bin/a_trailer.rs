//! A client sends a short chunked body with a trailer; the server that has the request hangs before it answers.

use review_stubs_2::client;
use review_stubs_2::discovery::{Discovery, Host};
use review_stubs_2::gateway::{Gateway, Options};
use review_stubs_2::http::Reader;
use review_stubs_2::record::note;
use review_stubs_2::{finish, has_trouble, limit_time, server};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 8;
const WORK: Duration = Duration::from_millis(30);
const TIMEOUT: Duration = Duration::from_millis(1500);
/// 50 ms of slack, and half a second in which an answer only earns nothing.
const SLACK: Duration = Duration::from_millis(550);
const WAIT: Duration = Duration::from_secs(40);
const NONE: usize = usize::MAX;

/// Sends an `acknowledge` with a chunked body that ends with these lines. Returns whether it was answered in time.
fn send(gateway: SocketAddr, id: &str, trailer: &str) -> bool {
    let request = format!(
        "POST /acknowledge HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: serpentine\r\n\
         X-Timeout-Ms: {}\r\nTransfer-Encoding: chunked\r\n{}\r\n5\r\nhello\r\n0\r\n{trailer}\r\n",
        TIMEOUT.as_millis(),
        if trailer.is_empty() { "" } else { "Trailer: X-Checksum\r\n" },
    );
    let mut stream = client::connect(gateway).expect("the gateway listens");
    stream.write_all(request.as_bytes()).expect("the gateway reads");
    note(&format!("client: {id} is sent"));
    let sent_at = Instant::now();
    let answer = client::read_answer(&mut Reader::new(stream), sent_at + WAIT);
    let took = sent_at.elapsed();
    match &answer {
        Ok((head, _)) => note(&format!("client: {id}: {} after {took:.2?}", head.first_line)),
        Err(error) => note(&format!("client: {id}: no answer: {error:?}, after {took:.2?}")),
    }
    answer.is_ok() && took <= TIMEOUT + SLACK
}

fn main() {
    limit_time(Duration::from_secs(110));
    let hung = Arc::new(AtomicUsize::new(NONE));
    let behaviour = {
        let hung = hung.clone();
        Arc::new(move |index: usize, stream: TcpStream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = server::read_request(&mut reader) {
                note(&format!("server {index}: {}, {} bytes", request.id(), request.body.len()));
                // One of eight servers hangs, in the middle of its work for the request.
                if has_trouble() && request.id().starts_with("hung") {
                    hung.store(index, Ordering::SeqCst);
                }
                if hung.load(Ordering::SeqCst) == index {
                    note(&format!("server {index}: hangs"));
                    thread::sleep(Duration::from_secs(200));
                    return;
                }
                thread::sleep(WORK);
                if !server::answer(&reader.stream, "200 OK", "", b"done") {
                    return;
                }
            }
        })
    };
    let hosts =
        (0..SERVERS).map(|k| Host::active(&format!("s-{k}"), server::start(k, behaviour.clone()))).collect();
    let discovery = Discovery::start(hosts);
    let gateway = Gateway::start(&Options::default(), discovery.address);
    for count in 0..5 {
        send(gateway.address, &format!("before-{count}"), "X-Checksum: 5d41402a\r\n");
    }
    let in_time = send(gateway.address, "hung-1", "X-Checksum: 5d41402a\r\n");
    gateway.note_log();
    finish(!in_time)
}
