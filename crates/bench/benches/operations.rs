//! Measures operations on a node under load: calls of the operator's address, drains, consecutive
//! replacements of the process, the first second after a handover and after a cold start, 200 long bodies at
//! once, and long bodies relative to the bare relay. `--replacements N` sets the number of replacements
//! (default 50).

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

/// How often each unsafe request has run, by request ID.
type RunCounts = Arc<Mutex<HashMap<String, u32>>>;

/// Starts a server that answers with 64 bytes after this time, and counts the runs of unsafe requests.
fn start_server(response_time: Duration, runs: &RunCounts) -> SocketAddr {
    let runs = runs.clone();
    spawn_raw_server(move |stream| {
        let mut reader = BufReader::new(&stream);
        loop {
            let (mut line, mut is_unsafe, mut id, mut length) = (String::new(), false, String::new(), 0);
            while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                let lower = line.to_ascii_lowercase();
                is_unsafe |= lower.starts_with("post /once");
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
            if is_unsafe {
                *runs.lock().expect("the counts").entry(id).or_default() += 1;
            }
            sleep(response_time);
            if (&stream).write_all(&response("200 OK", "", &[b'x'; 64])).is_err() {
                return;
            }
        }
    })
}

fn discovery_list(addresses: &[SocketAddr]) -> String {
    let hosts: Vec<_> =
        addresses.iter().enumerate().map(|(k, d)| host_json(&format!("s-{k}"), *d, "active")).collect();
    list_json(1, true, &hosts)
}

/// The results of all requests of a load.
#[derive(Default)]
struct LoadResults {
    /// When each successful answer arrived, and its answer time.
    answer_times: Mutex<Vec<(Instant, Duration)>>,
    refused: AtomicUsize,
    failed: AtomicUsize,
    /// Requests without an answer: the connection was refused, closed or reset.
    unanswered: AtomicUsize,
}

/// Clients that send requests one after another, alternating between a safe and an unsafe class.
struct Load {
    results: Arc<LoadResults>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(address: SocketAddr, clients: usize, pause: Duration) -> Self {
        let (results, stop) = (Arc::<LoadResults>::default(), Arc::<AtomicBool>::default());
        let client = |_| {
            let (results, stop) = (results.clone(), stop.clone());
            std::thread::spawn(move || send_requests(address, pause, &results, &stop))
        };
        let clients = (0..clients).map(client).collect();
        Load { results, stop, clients }
    }

    fn stop(self) -> Arc<LoadResults> {
        self.stop.store(true, SeqCst);
        self.clients.into_iter().for_each(|c| c.join().expect("a client"));
        self.results
    }
}

fn send_requests(address: SocketAddr, pause: Duration, results: &LoadResults, stop: &AtomicBool) {
    let mut connection_to_reuse: Option<TcpStream> = None;
    for k in 0.. {
        if stop.load(SeqCst) {
            return;
        }
        let start = Instant::now();
        let request = if k % 2 == 0 { get_request("/safe/1", "") } else { post_request("/once/1", b"") };
        let connection = connection_to_reuse.take().map_or_else(|| TcpStream::connect(address), Ok);
        let answer = connection.ok().and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
            stream.write_all(&request).ok()?;
            Some((read_message(&mut stream)?, stream))
        });
        match answer {
            None => drop(results.unanswered.fetch_add(1, SeqCst)),
            Some((answer, stream)) => {
                match answer.status() {
                    200 => results
                        .answer_times
                        .lock()
                        .expect("the times")
                        .push((Instant::now(), start.elapsed())),
                    503 => drop(results.refused.fetch_add(1, SeqCst)),
                    _ => drop(results.failed.fetch_add(1, SeqCst)),
                }
                connection_to_reuse = (answer.header("connection") != Some("close")).then_some(stream);
            }
        }
        sleep(pause);
    }
}

fn histogram_of(all: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("a histogram");
    all.for_each(|time| histogram.record(time.as_micros() as u64).expect("in range"));
    histogram
}

fn print_row(label: &str, times: &Histogram<u64>) {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let [p50, p99] = [0.5, 0.99].map(|q| ms(times.value_at_quantile(q)));
    println!("{label:<44} {:>7} {p50:>9.2} {p99:>9.2} {:>9.2}", times.len(), ms(times.max()));
}

fn print_header(label: &str) {
    println!("\n{label:<44} {:>7} {:>9} {:>9} {:>9}", "count", "p50 ms", "p99 ms", "most ms");
}

fn is_ready(node: &Node) -> bool {
    node.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200)
}

/// Measures answer times of the operator's address, and how long a drain takes.
fn measure_calls_and_drains(addresses: &[SocketAddr]) {
    let discovery = Discovery::new(vec![discovery_list(addresses)], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    let measure_calls = |count| {
        histogram_of((0..count).map(|_| {
            let start = Instant::now();
            assert_eq!(node.call_operator("GET", "/-/metrics").map(|m| m.status()), Some(200));
            start.elapsed()
        }))
    };
    print_header("GET /-/metrics");
    print_row("nothing else", &measure_calls(300));
    let load = Load::start(node.address, 64, Duration::ZERO);
    sleep(200 * MS);
    print_row("64 clients, as fast as they can", &measure_calls(300));
    let operator = node.operator_address.expect("an operator address");
    let silent_connections: Vec<_> = (0..300).filter_map(|_| TcpStream::connect(operator).ok()).collect();
    print_row("and 300 callers that say nothing", &measure_calls(300));
    drop(silent_connections);
    load.stop();
    print_header("from POST /-/drain to no connection");
    for clients in [0, 16, 128] {
        let load = Load::start(node.address, clients, 10 * MS);
        sleep(300 * MS);
        let (start, stop) = (Instant::now(), load.stop.clone());
        assert_eq!(node.call_operator("POST", "/-/drain").map(|m| m.status()), Some(200));
        // Clients stop, as a load balancer in front of the node would make them after `GET /up` fails.
        sleep(300 * MS);
        stop.store(true, SeqCst);
        load.stop();
        wait_until("the node is empty", || node.metric("gw_client_connections") == Some(0.0));
        print_row(
            &format!("{clients} clients, stopped after 300 ms"),
            &histogram_of([start.elapsed()].into_iter()),
        );
        assert_eq!(node.call_operator("POST", "/-/resume").map(|m| m.status()), Some(200));
        wait_until("the node is ready again", || is_ready(&node));
    }
}

/// Measures consecutive replacements of a process under load, and cold starts for comparison.
fn measure_replacements(addresses: &[SocketAddr], runs: &RunCounts, count: usize) {
    let discovery = Discovery::new(vec![discovery_list(addresses)], true);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("a local address");
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
    let (mut ready_times, mut exit_times, mut handover_times) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..count {
        let start = Instant::now();
        let new = Node::start_with_listener(&socket, &shared, discovery.address, &NodeOptions::default());
        wait_until("the next is ready", || is_ready(&new));
        ready_times.push(start.elapsed());
        node.signal("-TERM");
        let signalled_at = Instant::now();
        assert!(node.wait_for_exit().success());
        exit_times.push(signalled_at.elapsed());
        handover_times.push(signalled_at);
        node = new;
    }
    sleep(1000 * MS);
    let results = load.stop();
    let answers = results.answer_times.lock().expect("the times").clone();
    let unanswered = results.unanswered.load(SeqCst);
    // Cold starts without a predecessor; connections wait in the kernel's queue until the process accepts them.
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    let mut cold = Vec::new();
    for k in 0..5 {
        let folder = folder(&format!("cold-{k}"));
        let mut node =
            Node::start_with_listener(&socket, &folder, discovery.address, &NodeOptions::default());
        wait_until("the node is ready", || is_ready(&node));
        let (load, start) = (Load::start(address, 16, 5 * MS), Instant::now());
        sleep(1000 * MS);
        let results = load.stop();
        let times = results.answer_times.lock().expect("the times");
        cold.extend(times.iter().filter(|(at, _)| *at - start < 1000 * MS).map(|(_, time)| *time));
        node.signal("-TERM");
        assert!(node.wait_for_exit().success());
        let _ = std::fs::remove_dir_all(folder);
    }
    let _ = std::fs::remove_dir_all(shared);
    let is_first_second = |at: &Instant| handover_times.iter().any(|c| *at >= *c && *at < *c + 1000 * MS);
    print_header(&format!("{count} replacements in a row, 16 clients"));
    print_row("from its start to its yes", &histogram_of(ready_times.into_iter()));
    print_row("from SIGTERM to the old one's end", &histogram_of(exit_times.into_iter()));
    print_row(
        "requests in the second after SIGTERM",
        &histogram_of(answers.iter().filter(|a| is_first_second(&a.0)).map(|a| a.1)),
    );
    print_row("requests in the second after a cold start", &histogram_of(cold.into_iter()));
    let run_twice = runs.lock().expect("the counts").values().filter(|n| **n > 1).count();
    println!(
        "answered 200: {}, refused: {}, failed: {}, turned back: {unanswered}, run twice: {run_twice}",
        answers.len(),
        results.refused.load(SeqCst),
        results.failed.load(SeqCst)
    );
}

/// Sends 200 bodies of 4 MiB at once to a node with a memory limit of 48 MB.
fn measure_concurrent_bodies(addresses: &[SocketAddr]) {
    let discovery = Discovery::new(vec![discovery_list(addresses)], true);
    let node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    let (served, start) = (AtomicUsize::new(0), Instant::now());
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
        start.elapsed().as_secs_f64()
    );
}

/// Processor time that a process has used, in nanoseconds.
fn cpu_nanos(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/schedstat")).expect("Linux");
    stat.split(' ').next().and_then(|n| n.parse().ok()).expect("a number")
}

/// Compares processor time and throughput of long bodies with the bare relay, which takes turns with the node.
fn compare_with_relay(server: SocketAddr) {
    const BODY_BYTES: usize = 32 << 20;
    let mut path = std::env::current_exe().expect("where the bench is");
    path.pop();
    path.pop();
    let mut relay = Command::new(path.join("bare-relay"))
        .arg(server.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the relay starts");
    let mut lines = BufReader::new(relay.stderr.take().expect("a piped log")).lines();
    let relay_address: SocketAddr = loop {
        let line = lines.next().expect("a log line with the address").expect("a line");
        if let Some((_, address)) = line.split_once("listening on ") {
            break address.parse().expect("an address");
        }
    };
    let node = Node::start_with_operator_file(&format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"one\"\n\
         servers = [{{ address = \"{server}\" }}]\n[[route]]\nname = \"all\"\npool = \"one\"\n"
    ));
    let body = vec![b'x'; BODY_BYTES];
    let (mut cpu_ms_per_mib, mut mib_per_second) = ([Vec::new(), Vec::new()], [Vec::new(), Vec::new()]);
    for _ in 0..7 {
        for (k, (address, process)) in
            [(relay_address, relay.id()), (node.address, node.process_id())].into_iter().enumerate()
        {
            let (before, start) = (cpu_nanos(process), Instant::now());
            std::thread::scope(|scope| {
                for _ in 0..4 {
                    scope.spawn(|| {
                        let mut stream = TcpStream::connect(address).expect("a connection");
                        stream.write_all(&post_request("/long", &body)).expect("the body written");
                        assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
                    });
                }
            });
            let mib = (4 * BODY_BYTES) as f64 / f64::from(1 << 20);
            cpu_ms_per_mib[k].push((cpu_nanos(process) - before) / 1e6 / mib);
            mib_per_second[k].push(mib / start.elapsed().as_secs_f64());
        }
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let [cpu_ms_per_mib, mib_per_second] =
        [&mut cpu_ms_per_mib, &mut mib_per_second].map(|both| [median(&mut both[0]), median(&mut both[1])]);
    println!(
        "\n{:<44} {:>14} {:>14} {:>9}",
        "4 bodies of 32 MiB at once, 7 turns", "bare relay", "corkhollow", "ratio"
    );
    println!(
        "{:<44} {:>14.3} {:>14.3} {:>9.2}",
        "processor ms a MiB",
        cpu_ms_per_mib[0],
        cpu_ms_per_mib[1],
        cpu_ms_per_mib[1] / cpu_ms_per_mib[0]
    );
    println!(
        "{:<44} {:>14.0} {:>14.0} {:>9.2}",
        "MiB a second",
        mib_per_second[0],
        mib_per_second[1],
        mib_per_second[1] / mib_per_second[0]
    );
    let _ = relay.kill();
    let _ = relay.wait();
}

fn main() {
    let count = std::env::args().skip_while(|a| a != "--replacements").nth(1);
    let count = count.and_then(|n| n.parse().ok()).unwrap_or(50);
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let build = ["build", "--release", "--locked", "-p", "corkhollow", "-p", "corkhollow-bench"];
    assert!(Command::new(cargo).args(build).status().expect("cargo").success());
    let runs = RunCounts::default();
    let fast_servers = [1, 1, 2, 2].map(|ms| start_server(ms * MS, &runs));
    // One slow server and one that refuses connections, which a successor learns from its predecessor.
    let all_servers = [&fast_servers[..], &[start_server(150 * MS, &runs), refusing_address()]].concat();
    measure_calls_and_drains(&fast_servers);
    measure_replacements(&all_servers, &runs, count);
    measure_concurrent_bodies(&fast_servers);
    compare_with_relay(start_server(Duration::ZERO, &runs));
}
