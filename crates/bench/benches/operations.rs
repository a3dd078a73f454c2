//! What operators do to a node under load, measured: calls at their address, drains, replacements in a row, a successor's
//! first second beside a cold start's, 200 long bodies at once, long bodies beside a bare relay.
//! `--replacements N` sets how many processes follow one another (50).

use corkhollow_test_support::*;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// How often each request that must not run twice has run, by its id.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// A server that takes this long for an answer of 64 bytes.
fn server(takes: Duration, runs: &Runs) -> SocketAddr {
    let runs = runs.clone();
    spawn_raw_server(move |stream| {
        let mut reader = BufReader::new(&stream);
        loop {
            let (mut line, mut once, mut id, mut length) = (String::new(), false, String::new(), 0);
            while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                let lower = line.to_ascii_lowercase();
                once |= lower.starts_with("post /once");
                if let Some(value) = lower.strip_prefix("x-request-id:") {
                    id = value.trim().to_owned();
                }
                if let Some(value) = lower.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
                line.clear();
            }
            if line.is_empty()
                || std::io::copy(&mut (&mut reader).take(length), &mut std::io::sink()).is_err()
            {
                return;
            }
            if once {
                *runs.lock().expect("the counts").entry(id).or_default() += 1;
            }
            sleep(takes);
            if (&stream).write_all(&response("200 OK", "", &[b'x'; 64])).is_err() {
                return;
            }
        }
    })
}

fn told(dials: &[SocketAddr]) -> String {
    let hosts: Vec<_> =
        dials.iter().enumerate().map(|(k, d)| host_json(&format!("s-{k}"), *d, "active")).collect();
    list_json(1, true, &hosts)
}

/// What clients have seen.
#[derive(Default)]
struct Seen {
    /// When each answer came, and after how long.
    times: Mutex<Vec<(Instant, Duration)>>,
    refused: AtomicUsize,
    failed: AtomicUsize,
    /// Without any answer: the connection was refused, closed or reset.
    turned_back: AtomicUsize,
}

/// Clients that ask one request after the other, every other one of a class that must not run twice.
struct Load {
    seen: Arc<Seen>,
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(address: SocketAddr, clients: usize, pause: Duration) -> Self {
        let (seen, over) = (Arc::<Seen>::default(), Arc::<AtomicBool>::default());
        let client = |_| {
            let (seen, over) = (seen.clone(), over.clone());
            std::thread::spawn(move || ask(address, pause, &seen, &over))
        };
        let clients = (0..clients).map(client).collect();
        Load { seen, over, clients }
    }

    fn stop(self) -> Arc<Seen> {
        self.over.store(true, SeqCst);
        self.clients.into_iter().for_each(|c| c.join().expect("a client"));
        self.seen
    }
}

fn ask(address: SocketAddr, pause: Duration, seen: &Seen, over: &AtomicBool) {
    let mut kept: Option<TcpStream> = None;
    for k in 0.. {
        if over.load(SeqCst) {
            return;
        }
        let begun = Instant::now();
        let request = if k % 2 == 0 { get_request("/safe/1", "") } else { post_request("/once/1", b"") };
        let connection = kept.take().map_or_else(|| TcpStream::connect(address), Ok);
        let answer = connection.ok().and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
            stream.write_all(&request).ok()?;
            Some((read_message(&mut stream)?, stream))
        });
        match answer {
            None => drop(seen.turned_back.fetch_add(1, SeqCst)),
            Some((answer, stream)) => {
                match answer.status() {
                    200 => seen.times.lock().expect("the times").push((Instant::now(), begun.elapsed())),
                    503 => drop(seen.refused.fetch_add(1, SeqCst)),
                    _ => drop(seen.failed.fetch_add(1, SeqCst)),
                }
                kept = (answer.header("connection") != Some("close")).then_some(stream);
            }
        }
        sleep(pause);
    }
}

fn times(all: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("a histogram");
    all.for_each(|time| histogram.record(time.as_micros() as u64).expect("in range"));
    histogram
}

fn line(what: &str, times: &Histogram<u64>) {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let [p50, p99] = [0.5, 0.99].map(|q| ms(times.value_at_quantile(q)));
    println!("{what:<44} {:>7} {p50:>9.2} {p99:>9.2} {:>9.2}", times.len(), ms(times.max()));
}

fn head(what: &str) {
    println!("\n{what:<44} {:>7} {:>9} {:>9} {:>9}", "count", "p50 ms", "p99 ms", "most ms");
}

fn is_ready(node: &Node) -> bool {
    node.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200)
}

/// Answer times of the operator's address, and how long a drain takes.
fn calls_and_drains(dials: &[SocketAddr]) {
    let discovery = Discovery::new(vec![told(dials)], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    let calls = |count| {
        times((0..count).map(|_| {
            let begun = Instant::now();
            assert_eq!(node.call_operator("GET", "/-/metrics").map(|m| m.status()), Some(200));
            begun.elapsed()
        }))
    };
    head("GET /-/metrics");
    line("nothing else", &calls(300));
    let load = Load::start(node.address, 64, Duration::ZERO);
    sleep(200 * MS);
    line("64 clients, as fast as they can", &calls(300));
    let operator = node.operator_address.expect("operators may call");
    let silent: Vec<_> = (0..300).filter_map(|_| TcpStream::connect(operator).ok()).collect();
    line("and 300 callers that say nothing", &calls(300));
    drop(silent);
    load.stop();
    head("from POST /-/drain to no connection");
    for clients in [0, 16, 128] {
        let load = Load::start(node.address, clients, 10 * MS);
        sleep(300 * MS);
        let (begun, over) = (Instant::now(), load.over.clone());
        assert_eq!(node.call_operator("POST", "/-/drain").map(|m| m.status()), Some(200));
        // Clients learn from `GET /up`, and stop.
        sleep(300 * MS);
        over.store(true, SeqCst);
        load.stop();
        wait_until("the node is empty", || node.metric("gw_client_connections") == Some(0.0));
        line(&format!("{clients} clients, stopped after 300 ms"), &times([begun.elapsed()].into_iter()));
        assert_eq!(node.call_operator("POST", "/-/resume").map(|m| m.status()), Some(200));
        wait_until("it serves again", || is_ready(&node));
    }
}

/// Processes that follow one another, and a cold start beside them.
fn replacements(dials: &[SocketAddr], runs: &Runs, count: usize) {
    let discovery = Discovery::new(vec![told(dials)], true);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("its address");
    let folder = |name: &str| {
        let path = std::env::temp_dir().join(format!("corkhollow-bench-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        path
    };
    let shared = folder("shared");
    let mut node = Node::start_with_listener(&socket, &shared, discovery.address, &NodeOptions::default());
    wait_until("the first is ready", || is_ready(&node));
    let load = Load::start(address, 16, 5 * MS);
    sleep(500 * MS);
    let (mut to_ready, mut to_end, mut changes) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..count {
        let begun = Instant::now();
        let new = Node::start_with_listener(&socket, &shared, discovery.address, &NodeOptions::default());
        wait_until("the next is ready", || is_ready(&new));
        to_ready.push(begun.elapsed());
        node.signal("-TERM");
        let told = Instant::now();
        assert!(node.wait_for_exit().success());
        to_end.push(told.elapsed());
        changes.push(told);
        node = new;
    }
    sleep(1000 * MS);
    let seen = load.stop();
    let answers = seen.times.lock().expect("the times").clone();
    let turned_back = seen.turned_back.load(SeqCst);
    // Without a word from another process: the clients wait in the kernel meanwhile.
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    let mut cold = Vec::new();
    for k in 0..5 {
        let folder = folder(&format!("cold-{k}"));
        let mut node =
            Node::start_with_listener(&socket, &folder, discovery.address, &NodeOptions::default());
        wait_until("it is ready", || is_ready(&node));
        let (load, begun) = (Load::start(address, 16, 5 * MS), Instant::now());
        sleep(1000 * MS);
        let seen = load.stop();
        let times = seen.times.lock().expect("the times");
        cold.extend(times.iter().filter(|(at, _)| *at - begun < 1000 * MS).map(|(_, time)| *time));
        node.signal("-TERM");
        assert!(node.wait_for_exit().success());
        let _ = std::fs::remove_dir_all(folder);
    }
    let _ = std::fs::remove_dir_all(shared);
    let first = |at: &Instant| changes.iter().any(|c| *at >= *c && *at < *c + 1000 * MS);
    head(&format!("{count} replacements in a row, 16 clients"));
    line("from its start to its yes", &times(to_ready.into_iter()));
    line("from SIGTERM to the old one's end", &times(to_end.into_iter()));
    line("requests in the second after SIGTERM", &times(answers.iter().filter(|a| first(&a.0)).map(|a| a.1)));
    line("requests in the second after a cold start", &times(cold.into_iter()));
    let twice = runs.lock().expect("the counts").values().filter(|n| **n > 1).count();
    println!(
        "answered 200: {}, refused: {}, failed: {}, turned back: {turned_back}, run twice: {twice}",
        answers.len(),
        seen.refused.load(SeqCst),
        seen.failed.load(SeqCst)
    );
}

/// 200 bodies of 4 MiB at once against 48 MB.
fn two_hundred_bodies(dials: &[SocketAddr]) {
    let discovery = Discovery::new(vec![told(dials)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    let (served, begun) = (AtomicUsize::new(0), Instant::now());
    std::thread::scope(|scope| {
        for _ in 0..200 {
            scope.spawn(|| {
                let status = node.post("/once/1", &vec![b'x'; 4 << 20]).map(|m| m.status());
                served.fetch_add(usize::from(status == Some(200)), SeqCst);
            });
        }
    });
    let mib = node.peak_resident_bytes() as f64 / f64::from(1 << 20);
    println!(
        "\n200 bodies of 4 MiB at once: {} served in {:.2} s, {mib:.1} MiB at most of 48 MB",
        served.load(SeqCst),
        begun.elapsed().as_secs_f64()
    );
}

/// Processor time that a process has used, in nanoseconds.
fn cpu(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/schedstat")).expect("Linux");
    stat.split(' ').next().and_then(|n| n.parse().ok()).expect("a number")
}

/// Long bodies beside a bare relay, in turn: processor time and rate.
fn beside_a_relay(to: SocketAddr) {
    const LENGTH: usize = 32 << 20;
    let mut path = std::env::current_exe().expect("where the bench is");
    path.pop();
    path.pop();
    let mut relay = Command::new(path.join("bare-relay"))
        .arg(to.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the relay starts");
    let mut lines = BufReader::new(relay.stderr.take().expect("its log")).lines();
    let relay_at: SocketAddr = loop {
        let line = lines.next().expect("it says where it listens").expect("a line");
        if let Some((_, address)) = line.split_once("listening on ") {
            break address.parse().expect("an address");
        }
    };
    let node = Node::start_with_operator_file(&format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"one\"\n\
         servers = [{{ address = \"{to}\" }}]\n[[route]]\nname = \"all\"\npool = \"one\"\n"
    ));
    let body = vec![b'x'; LENGTH];
    let (mut work, mut rate) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
    for _ in 0..7 {
        for (k, (address, process)) in
            [(relay_at, relay.id()), (node.address, node.process_id())].into_iter().enumerate()
        {
            let (before, begun) = (cpu(process), Instant::now());
            std::thread::scope(|scope| {
                for _ in 0..4 {
                    scope.spawn(|| {
                        let mut stream = TcpStream::connect(address).expect("a connection");
                        stream.write_all(&post_request("/long", &body)).expect("it takes the body");
                        assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
                    });
                }
            });
            let mib = (4 * LENGTH) as f64 / f64::from(1 << 20);
            work[k].push((cpu(process) - before) / 1e6 / mib);
            rate[k].push(mib / begun.elapsed().as_secs_f64());
        }
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let [work, rate] = [&mut work, &mut rate].map(|both| [median(&mut both[0]), median(&mut both[1])]);
    println!(
        "\n{:<44} {:>14} {:>14} {:>9}",
        "4 bodies of 32 MiB at once, 7 turns", "bare relay", "corkhollow", "ratio"
    );
    println!("{:<44} {:>14.3} {:>14.3} {:>9.2}", "processor ms a MiB", work[0], work[1], work[1] / work[0]);
    println!("{:<44} {:>14.0} {:>14.0} {:>9.2}", "MiB a second", rate[0], rate[1], rate[1] / rate[0]);
    let _ = relay.kill();
    let _ = relay.wait();
}

fn main() {
    let count = std::env::args().skip_while(|a| a != "--replacements").nth(1);
    let count = count.and_then(|n| n.parse().ok()).unwrap_or(50);
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let build = ["build", "--release", "--locked", "-p", "corkhollow", "-p", "corkhollow-bench"];
    assert!(Command::new(cargo).args(build).status().expect("cargo").success());
    let runs = Runs::default();
    let quick = [1, 1, 2, 2].map(|ms| server(ms * MS, &runs));
    // One that is slow and one that is not there: what a node has to know to do without them.
    let fleet = [&quick[..], &[server(150 * MS, &runs), refusing_address()]].concat();
    calls_and_drains(&quick);
    replacements(&fleet, &runs, count);
    two_hundred_bodies(&quick);
    beside_a_relay(server(Duration::ZERO, &runs));
}
