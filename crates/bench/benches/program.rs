//! Compares the program with the bare hyper relay: processor time per request and answer times of clients.
//! Both take turns in one run, and the ratios are the result. `--seconds N` sets the length of each turn.

use hdrhistogram::Histogram;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONCURRENT_CLIENTS: usize = 32;
const TURNS_PER_PROXY: usize = 5;

/// A proxy in its own process.
struct Proxy {
    name: &'static str,
    child: Child,
    address: SocketAddr,
}

impl Proxy {
    fn start(name: &'static str, mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap_or_else(|e| panic!("{name}: {e}"));
        let mut lines = BufReader::new(child.stderr.take().expect("a piped log")).lines();
        let address = loop {
            let line = lines.next().expect("a log line with the address").expect("a line");
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().expect("an address");
            }
        };
        std::thread::spawn(move || lines.for_each(drop));
        Proxy { name, child, address }
    }

    /// Processor time used so far, in nanoseconds.
    fn cpu_nanos(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/schedstat", self.child.id())).expect("Linux");
        stat.split(' ').next().and_then(|n| n.parse().ok()).expect("a number")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a server that answers every request at once with 64 bytes, and returns its address.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n{}", "x".repeat(64));
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let mut buffer = Vec::with_capacity(4096);
                while stream.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
                    if buffer.ends_with(b"\r\n\r\n") {
                        buffer.clear();
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

/// Sends one request after another until stopped and records the answer times in microseconds.
async fn send_requests(address: SocketAddr, stop: Arc<AtomicBool>, pause: Duration) -> Histogram<u64> {
    let mut answer_times = Histogram::new(3).expect("a histogram");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let _ = stream.set_nodelay(true);
    let request = b"GET /status/17?gauge=4 HTTP/1.1\r\nHost: bench.example.org\r\nUser-Agent: bench\r\n\
                    Accept: */*\r\nX-Request-ID: 5c0f6e1a2b3d4c59\r\n\r\n";
    let mut buffer = Vec::with_capacity(4096);
    while !stop.load(Relaxed) {
        let start = Instant::now();
        stream.write_all(request).await.expect("a request written");
        buffer.clear();
        while !buffer.ends_with(b"xxxx") {
            assert!(
                stream.read_buf(&mut buffer).await.expect("an answer") > 0,
                "the proxy closed the connection"
            );
            assert!(buffer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buffer));
        }
        answer_times.record(start.elapsed().as_micros() as u64).expect("in range");
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    answer_times
}

struct TurnResult {
    cpu_micros_per_request: f64,
    requests_per_second: f64,
    p50_micros: u64,
    p99_micros: u64,
}

async fn run_turn(proxy: &Proxy, clients: usize, pause: Duration, turn_length: Duration) -> TurnResult {
    let stop = Arc::new(AtomicBool::new(false));
    let (cpu, start) = (proxy.cpu_nanos(), Instant::now());
    let tasks: Vec<_> =
        (0..clients).map(|_| tokio::spawn(send_requests(proxy.address, stop.clone(), pause))).collect();
    tokio::time::sleep(turn_length).await;
    stop.store(true, Relaxed);
    let mut all = Histogram::new(3).expect("a histogram");
    for task in tasks {
        all.add(task.await.expect("a client")).expect("histograms of the same range");
    }
    let (cpu, seconds) = (proxy.cpu_nanos() - cpu, start.elapsed().as_secs_f64());
    TurnResult {
        cpu_micros_per_request: cpu as f64 / 1e3 / all.len() as f64,
        requests_per_second: all.len() as f64 / seconds,
        p50_micros: all.value_at_quantile(0.5),
        p99_micros: all.value_at_quantile(0.99),
    }
}

fn built_program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("where the bench is");
    path.pop();
    path.pop();
    path.join(name)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let seconds = std::env::args().skip_while(|a| a != "--seconds").nth(1);
    let turn_length = Duration::from_secs_f64(seconds.and_then(|s| s.parse().ok()).unwrap_or(2.0));
    // Builds in release mode, so that no outdated build is measured.
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let build = ["build", "--release", "--locked", "-p", "corkhollow", "-p", "corkhollow-bench"];
    assert!(Command::new(cargo).args(build).status().expect("cargo").success());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("tokio");
    runtime.block_on(async move {
        let server = start_server().await;
        let file = std::env::temp_dir().join(format!("corkhollow-bench-{}.toml", std::process::id()));
        let text = format!(
            "[[listener]]\nname = \"bench\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"one\"\n\
             servers = [{{ address = \"{server}\" }}]\n[[route]]\nname = \"other\"\nhosts = [\"*.other.org\"]\n\
             answer = {{ status = 404 }}\n[[route]]\nname = \"all\"\npath_prefix = \"/status\"\npool = \"one\"\n"
        );
        std::fs::File::create(&file).and_then(|mut f| f.write_all(text.as_bytes())).expect("a file");
        let mut program = Command::new(built_program("corkhollow"));
        program.arg("run").arg("--config").arg(&file);
        let mut relay = Command::new(built_program("bare-relay"));
        relay.arg(server.to_string());
        let proxies = [Proxy::start("bare relay", relay), Proxy::start("corkhollow", program)];
        for (load, clients, pause) in [
            ("as fast as it goes", CONCURRENT_CLIENTS, Duration::ZERO),
            ("at a steady rate", CONCURRENT_CLIENTS, Duration::from_millis(10)),
        ] {
            println!("\n{load}, {clients} clients, answers of 64 bytes, {TURNS_PER_PROXY} turns of {turn_length:?} each:");
            println!("{:<12} {:>14} {:>12} {:>9} {:>9}", "", "CPU us/request", "requests/s", "p50 us", "p99 us");
            let mut turns: [Vec<TurnResult>; 2] = Default::default();
            for proxy in &proxies {
                run_turn(proxy, clients, pause, turn_length / 4).await;
            }
            for _ in 0..TURNS_PER_PROXY {
                for (proxy, turns) in proxies.iter().zip(&mut turns) {
                    turns.push(run_turn(proxy, clients, pause, turn_length).await);
                }
            }
            let median_of = |k: usize, f: &dyn Fn(&TurnResult) -> f64| median(turns[k].iter().map(f).collect());
            let metrics: [&dyn Fn(&TurnResult) -> f64; 4] = [
                &|t| t.cpu_micros_per_request,
                &|t| t.requests_per_second,
                &|t| t.p50_micros as f64,
                &|t| t.p99_micros as f64,
            ];
            for (k, proxy) in proxies.iter().enumerate() {
                let [cpu, rate, p50, p99] = metrics.map(|f| median_of(k, f));
                println!("{:<12} {cpu:>14.1} {rate:>12.0} {p50:>9.0} {p99:>9.0}", proxy.name);
            }
            let [cpu, rate, p50, p99] = metrics.map(|f| median_of(1, f) / median_of(0, f));
            println!("{:<12} {cpu:>14.2} {rate:>12.2} {p50:>9.2} {p99:>9.2}", "ratio");
        }
        let _ = std::fs::remove_file(file);
    });
}
