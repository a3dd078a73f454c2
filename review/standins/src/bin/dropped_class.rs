//! An `acknowledge` (unsafe to repeat) whose body is still arriving while one new configuration drops its class and a
//! later one brings it back beside a new class that is safe to repeat. It must not run twice.

use review_standins::client;
use review_standins::config::{platform_file, Class};
use review_standins::discovery::{Discovery, Host};
use review_standins::http::Reader;
use review_standins::node::{free_address, Node, TempFolder, Watchdog};
use review_standins::record::Record;
use review_standins::server::{self, answer_with_length, Runs, Work};
use review_standins::{has_trouble, new_request_id};
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The rate at which the client sends its body: 64 kB a second.
const BYTES_PER_PIECE: usize = 3_200;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
/// When the first new configuration comes, after the head of the request.
const FIRST_RELOAD: Duration = Duration::from_secs(3);
/// When the second one comes.
const SECOND_RELOAD: Duration = Duration::from_secs(56);
/// How long the body takes.
const UPLOAD: Duration = Duration::from_secs(60);

fn class(name: &'static str, effect: &'static str) -> Class {
    Class { name, effect, aim_ms: 200, give_up_ms: 500, worth: 5.0 }
}

fn main() {
    let code = run().unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        2
    });
    std::process::exit(code);
}

fn run() -> std::io::Result<i32> {
    let root = std::env::var("REVIEW_ROOT").map_err(std::io::Error::other)?;
    let case = std::env::var("REVIEW_CASE").map_err(std::io::Error::other)?;
    let record = Record::create(&Path::new(&case).join("record.txt"))?;
    let folder = TempFolder::create("dropped-class")?;
    let runs = Runs::default();
    // Sound servers: each answers every request with 200, an `acknowledge` after 130 ms, others after 25 ms.
    let work: Work = Arc::new(|request, out| {
        sleep(Duration::from_millis(if request.target() == "/acknowledge" { 130 } else { 25 }));
        answer_with_length(
            out,
            format!("done {}", request.header("x-request-id").unwrap_or_default()).as_bytes(),
        )
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
    let file = |classes: &[Class]| platform_file(listen, operator, discovery.address, &known, classes);
    let first = [class("status", "pure"), class("acknowledge", "side_effect"), class("gauges", "pure")];
    let without = [class("status", "pure"), class("gauges", "pure")];
    let added = [
        class("readings", "pure"),
        class("acknowledge", "side_effect"),
        class("status", "pure"),
        class("gauges", "pure"),
    ];
    let node = Node::start(Path::new(&root), &folder.0, listen, operator, discovery.address, &file(&first))?;
    let _watchdog = Watchdog::start(&node, Duration::from_secs(110));

    // Usual clients beside it: ten `status` requests a second, one at a time.
    let usual = thread::spawn(move || {
        let (start, mut served) = (Instant::now(), 0);
        while start.elapsed() < UPLOAD {
            let answer = client::get(listen, "status", &new_request_id(), 500, Duration::from_secs(2));
            served += u32::from(answer.ok().flatten().is_some_and(|answer| answer.status() == 200));
            sleep(Duration::from_millis(75));
        }
        served
    });

    let pieces = (UPLOAD.as_millis() / PIECE_INTERVAL.as_millis()) as usize;
    let id = new_request_id();
    let mut stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let head = client::head("acknowledge", &id, 500, Some(pieces * BYTES_PER_PIECE));
    stream.write_all(head.as_bytes())?;
    record.line(format!(
        "client sends POST /acknowledge id={id} with a body of {} bytes",
        pieces * BYTES_PER_PIECE
    ));
    let (start, mut reloads) = (Instant::now(), 0);
    for piece in 0..pieces {
        sleep((PIECE_INTERVAL * piece as u32).saturating_sub(start.elapsed()));
        if has_trouble() && reloads == 0 && start.elapsed() >= FIRST_RELOAD {
            record.line("the configuration is replaced: the class `acknowledge` is dropped; SIGHUP");
            node.reload(&file(&without))?;
            reloads = 1;
        }
        if has_trouble() && reloads == 1 && start.elapsed() >= SECOND_RELOAD {
            record.line(format!("gw_sighup_applied {:?}", node.metric("gw_sighup_applied")));
            record.line("the configuration is replaced: `acknowledge` (unsafe) is back, `readings` (safe) is added; SIGHUP");
            node.reload(&file(&added))?;
            reloads = 2;
        }
        if let Err(error) = stream.write_all(&[b'x'; BYTES_PER_PIECE]) {
            record.line(format!("the node ended the connection during the body: {error}"));
            break;
        }
    }
    record.line("client has sent the last byte");
    let answer = Reader::new(stream).message(true);
    match &answer {
        Ok(Some(answer)) => record.say(format!(
            "client is answered {} {:?}",
            answer.status(),
            String::from_utf8_lossy(&answer.body)
        )),
        other => record.say(format!("client has no answer: {:?}", other.as_ref().err())),
    }
    sleep(Duration::from_secs(1));
    let served = usual.join().unwrap_or(0);
    record.say(format!("status requests served: {served}"));
    record.line(format!("gw_sighup_applied {:?}", node.metric("gw_sighup_applied")));
    if has_trouble() && node.metric("gw_sighup_applied") != Some(2.0) {
        record.say("the node did not take both configurations");
        return Ok(2);
    }
    if served < 100 {
        record.say("the usual clients were not served");
        return Ok(2);
    }
    let times: Vec<_> = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.id == id)
        .map(|run| format!("{} at {} ms", run.server, run.at_ms))
        .collect();
    record.say(format!("the acknowledge was run {} times: {}", times.len(), times.join(", ")));
    Ok(i32::from(times.len() > 1))
}
