//! A bad client sends the id of another client's open request, whose long answer is being passed on.

use review_stubs_2::client;
use review_stubs_2::discovery::{Discovery, Host};
use review_stubs_2::gateway::{Gateway, Options};
use review_stubs_2::http::Reader;
use review_stubs_2::record::note;
use review_stubs_2::{cannot_run, finish, has_trouble, limit_time, server};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 6;
const WORK: Duration = Duration::from_millis(400);
/// The server writes its answer in small pieces, at 200 kB/s.
const PIECE_BYTES: usize = 10_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
const PIECES: usize = 60;

/// Sends the request and returns the status of its answer, or 0, and when it was whole.
fn send(gateway: SocketAddr, who: &str, id: &str) -> (u16, Instant) {
    let request = format!(
        "POST /acknowledge HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 2000\r\nContent-Length: 5\r\n\r\nhello"
    );
    let mut stream = client::connect(gateway).expect("the gateway listens");
    note(&format!("{who}: sends {id}"));
    stream.write_all(request.as_bytes()).expect("the gateway reads");
    let answer = client::read_answer(&mut Reader::new(stream), Instant::now() + Duration::from_secs(20));
    let status = match answer {
        Ok((head, body)) => {
            note(&format!("{who}: {id}: {}, whole, {} bytes", head.first_line, body.len()));
            head.status()
        }
        Err(error) => {
            note(&format!("{who}: {id}: no answer: {error:?}"));
            0
        }
    };
    (status, Instant::now())
}

fn main() {
    limit_time(Duration::from_secs(110));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let behaviour = {
        let runs = runs.clone();
        Arc::new(move |index: usize, stream: TcpStream| {
            let mut reader = Reader::new(stream);
            while let Ok(request) = server::read_request(&mut reader) {
                note(&format!("server {index}: runs {}", request.id()));
                runs.lock().expect("no thread panics").push(request.id().to_owned());
                thread::sleep(WORK);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", PIECES * PIECE_BYTES);
                let mut is_open = (&reader.stream).write_all(head.as_bytes()).is_ok();
                for _ in 0..PIECES {
                    is_open = is_open && (&reader.stream).write_all(&[b'x'; PIECE_BYTES]).is_ok();
                    thread::sleep(PIECE_INTERVAL);
                }
                if !is_open {
                    return;
                }
            }
        })
    };
    let hosts =
        (0..SERVERS).map(|k| Host::active(&format!("s-{k}"), server::start(k, behaviour.clone()))).collect();
    let discovery = Discovery::start(hosts);
    let gateway = Gateway::start(&Options::default(), discovery.address);
    let address = gateway.address;
    let other_id = |id: &'static str| if has_trouble() { "first" } else { id };

    let first = thread::spawn(move || send(address, "first client", "first"));
    thread::sleep(Duration::from_millis(200));
    // Before the answer begins; for comparison.
    let (status, _) = send(address, "second client", other_id("second"));
    note(&format!("second client, before the answer begins: {status}"));
    let outstanding = |gateway: &Gateway| {
        let (_, page) = gateway.call(gateway.operator, "GET", "/-/metrics").unwrap_or_default();
        let line =
            page.lines().find(|line| line.starts_with("gw_outstanding")).unwrap_or("no metrics").to_owned();
        note(&format!("the gateway's page of metrics: {line}"));
    };
    if has_trouble() {
        // The request has begun to be answered 400 ms after it came, and is answered whole 3 s later.
        thread::sleep(Duration::from_millis(800));
        outstanding(&gateway);
    }
    let (status, ended_at) = send(address, "third client", other_id("third"));
    note(&format!("third client, while the answer is passed on: {status}"));
    let (first_status, first_ended_at) = first.join().expect("no thread panics");
    if first_status != 200 {
        cannot_run("the first client was not served");
    }
    gateway.note_log();
    let runs = runs.lock().expect("no thread panics").iter().filter(|id| *id == "first").count();
    note(&format!("`first` has run {runs} times"));
    note(&format!(
        "first client answered whole {:?} before the third",
        ended_at.saturating_duration_since(first_ended_at)
    ));
    finish(runs > 1 || (has_trouble() && status == 200))
}
