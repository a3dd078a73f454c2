//! A client uploads a long body over several seconds; the server that has it hangs before it answers.

use review_stubs_2::client;
use review_stubs_2::discovery::{Discovery, Host};
use review_stubs_2::gateway::{Gateway, Options};
use review_stubs_2::http::Reader;
use review_stubs_2::record::note;
use review_stubs_2::{cannot_run, finish, has_trouble, limit_time, server};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 8;
const BODY_BYTES: usize = 4 << 20;
/// The pace of the client's upload: 1 MB/s.
const PART_BYTES: usize = 50_000;
const PART_INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT_MS: u64 = 2_000;
/// 50 ms of slack, and half a second in which an answer only earns nothing.
const SLACK: Duration = Duration::from_millis(550);
const WAIT_AFTER_UPLOAD: Duration = Duration::from_secs(60);
const NONE: usize = usize::MAX;

fn main() {
    limit_time(Duration::from_secs(110));
    let hung = Arc::new(AtomicUsize::new(NONE));
    let behaviour = {
        let hung = hung.clone();
        Arc::new(move |index: usize, stream: TcpStream| {
            let mut reader = Reader::new(stream);
            while let Ok(head) = reader.read_head() {
                let id = head.get("x-request-id").unwrap_or("-").to_owned();
                note(&format!("server {index}: {id}: the head has come"));
                let mut bytes = 0;
                let read = reader.read_body(&head, |part| {
                    bytes += part.len();
                    true
                });
                note(&format!("server {index}: {id}: {bytes} bytes of the body have come: {read:?}"));
                if read.is_err() {
                    return;
                }
                // One of eight servers hangs, in the middle of its work.
                if has_trouble() && id.starts_with("upload") {
                    let _ = hung.compare_exchange(NONE, index, Ordering::SeqCst, Ordering::SeqCst);
                }
                if hung.load(Ordering::SeqCst) == index {
                    note(&format!("server {index}: hangs"));
                    thread::sleep(Duration::from_secs(200));
                    return;
                }
                thread::sleep(Duration::from_millis(30));
                if !server::answer(&reader.stream, "200 OK", "", format!("done {id}").as_bytes()) {
                    return;
                }
            }
        })
    };
    let hosts =
        (0..SERVERS).map(|k| Host::active(&format!("s-{k}"), server::start(k, behaviour.clone()))).collect();
    let discovery = Discovery::start(hosts);
    let gateway =
        Gateway::start(&Options { memory_mb: 32, sockets: 256, ..Options::default() }, discovery.address);

    let mut stream = client::connect(gateway.address).expect("the gateway listens");
    let head = format!(
        "POST /acknowledge HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: upload-1\r\nX-Tenant-Id: serpentine\r\n\
         X-Timeout-Ms: {TIMEOUT_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    note(&format!("client: sends upload-1, {BODY_BYTES} bytes"));
    stream.write_all(head.as_bytes()).expect("the gateway reads");
    let body = vec![b'x'; BODY_BYTES];
    for part in body.chunks(PART_BYTES) {
        thread::sleep(PART_INTERVAL);
        if let Err(error) = stream.write_all(part) {
            cannot_run(&format!("the upload broke: {error}"));
        }
    }
    let sent_at = Instant::now();
    note("client: the last byte is written");
    let mut reader = Reader::new(stream);
    let answer = client::read_answer(&mut reader, sent_at + WAIT_AFTER_UPLOAD);
    let took = sent_at.elapsed();
    match &answer {
        Ok((head, body)) => {
            note(&format!("client: {}, {} bytes, after {took:?}", head.first_line, body.len()));
        }
        Err(error) => note(&format!("client: no answer: {error:?}, after {took:?}")),
    }
    gateway.note_log();
    finish(answer.is_err() || took > Duration::from_millis(TIMEOUT_MS) + SLACK)
}
