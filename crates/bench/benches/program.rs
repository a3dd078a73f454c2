//! The whole program beside a bare hyper relay, in turn and in one run: processor time a request, and the time that
//! its clients see. Figures that matter are the ratios; `--seconds N` sets how long each turn lasts.

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

const CLIENTS: usize = 32;
const TURNS: usize = 5;

/// A proxy that runs as a process of its own.
struct Proxy {
    name: &'static str,
    child: Child,
    address: SocketAddr,
}

impl Proxy {
    fn start(name: &'static str, mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap_or_else(|e| panic!("{name}: {e}"));
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let address = loop {
            let line = lines.next().expect("it says where it listens").expect("a line");
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().expect("an address");
            }
        };
        std::thread::spawn(move || lines.for_each(drop));
        Proxy { name, child, address }
    }

    /// Processor time that it has used, in nanoseconds.
    fn cpu(&self) -> u64 {
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

/// Answers every request without a body at once with 64 bytes.
async fn upstream() -> SocketAddr {
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

/// Asks one request after the other; the time of each in microseconds.
async fn ask(address: SocketAddr, stop: Arc<AtomicBool>, pause: Duration) -> Histogram<u64> {
    let mut seen = Histogram::new(3).expect("a histogram");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let _ = stream.set_nodelay(true);
    let request = b"GET /status/17?gauge=4 HTTP/1.1\r\nHost: bench.example.org\r\nUser-Agent: bench\r\n\
                    Accept: */*\r\nX-Request-ID: 5c0f6e1a2b3d4c59\r\n\r\n";
    let mut buffer = Vec::with_capacity(4096);
    while !stop.load(Relaxed) {
        let start = Instant::now();
        stream.write_all(request).await.expect("it takes requests");
        buffer.clear();
        while !buffer.ends_with(b"xxxx") {
            assert!(stream.read_buf(&mut buffer).await.expect("an answer") > 0, "it closed");
            assert!(buffer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buffer));
        }
        seen.record(start.elapsed().as_micros() as u64).expect("in range");
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    seen
}

struct Turn {
    micros: f64,
    rate: f64,
    p50: u64,
    p99: u64,
}

async fn turn(proxy: &Proxy, clients: usize, pause: Duration, length: Duration) -> Turn {
    let stop = Arc::new(AtomicBool::new(false));
    let (cpu, start) = (proxy.cpu(), Instant::now());
    let tasks: Vec<_> = (0..clients).map(|_| tokio::spawn(ask(proxy.address, stop.clone(), pause))).collect();
    tokio::time::sleep(length).await;
    stop.store(true, Relaxed);
    let mut all = Histogram::new(3).expect("a histogram");
    for task in tasks {
        all.add(task.await.expect("a client")).expect("alike");
    }
    let (cpu, seconds) = (proxy.cpu() - cpu, start.elapsed().as_secs_f64());
    Turn {
        micros: cpu as f64 / 1e3 / all.len() as f64,
        rate: all.len() as f64 / seconds,
        p50: all.value_at_quantile(0.5),
        p99: all.value_at_quantile(0.99),
    }
}

fn built(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().expect("where the bench is");
    path.pop();
    path.pop();
    path.join(name)
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

fn main() {
    let seconds = std::env::args().skip_while(|a| a != "--seconds").nth(1);
    let length = Duration::from_secs_f64(seconds.and_then(|s| s.parse().ok()).unwrap_or(2.0));
    // The program is built here, as it is for service: a bench of an old one would say nothing.
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let build = ["build", "--release", "--locked", "-p", "corkhollow", "-p", "corkhollow-bench"];
    assert!(Command::new(cargo).args(build).status().expect("cargo").success());
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("tokio");
    runtime.block_on(async move {
        let to = upstream().await;
        let file = std::env::temp_dir().join(format!("corkhollow-bench-{}.toml", std::process::id()));
        let text = format!(
            "[[listener]]\nname = \"bench\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"one\"\n\
             servers = [{{ address = \"{to}\" }}]\n[[route]]\nname = \"other\"\nhosts = [\"*.other.org\"]\n\
             answer = {{ status = 404 }}\n[[route]]\nname = \"all\"\npath_prefix = \"/status\"\npool = \"one\"\n"
        );
        std::fs::File::create(&file).and_then(|mut f| f.write_all(text.as_bytes())).expect("a file");
        let mut program = Command::new(built("corkhollow"));
        program.arg("run").arg("--config").arg(&file);
        let mut relay = Command::new(built("bare-relay"));
        relay.arg(to.to_string());
        let proxies = [Proxy::start("bare relay", relay), Proxy::start("corkhollow", program)];
        for (what, clients, pause) in [
            ("as fast as it goes", CLIENTS, Duration::ZERO),
            ("at a steady rate", CLIENTS, Duration::from_millis(10)),
        ] {
            println!("\n{what}, {clients} clients, answers of 64 bytes, {TURNS} turns of {length:?} each:");
            println!("{:<12} {:>14} {:>12} {:>9} {:>9}", "", "CPU us/request", "requests/s", "p50 us", "p99 us");
            let mut turns: [Vec<Turn>; 2] = Default::default();
            for proxy in &proxies {
                turn(proxy, clients, pause, length / 4).await;
            }
            for _ in 0..TURNS {
                for (proxy, turns) in proxies.iter().zip(&mut turns) {
                    turns.push(turn(proxy, clients, pause, length).await);
                }
            }
            let figure = |k: usize, f: &dyn Fn(&Turn) -> f64| median(turns[k].iter().map(f).collect());
            let all: [&dyn Fn(&Turn) -> f64; 4] =
                [&|t| t.micros, &|t| t.rate, &|t| t.p50 as f64, &|t| t.p99 as f64];
            for (k, proxy) in proxies.iter().enumerate() {
                let [micros, rate, p50, p99] = all.map(|f| figure(k, f));
                println!("{:<12} {micros:>14.1} {rate:>12.0} {p50:>9.0} {p99:>9.0}", proxy.name);
            }
            let [micros, rate, p50, p99] = all.map(|f| figure(1, f) / figure(0, f));
            println!("{:<12} {micros:>14.2} {rate:>12.2} {p50:>9.2} {p99:>9.2}", "ratio");
        }
        let _ = std::fs::remove_file(file);
    });
}
