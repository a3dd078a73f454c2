//! Demo servers that can be slow, stop and restart, and a load generator.

use crate::message::{read_message, response};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A pseudo-random generator that yields the same sequence for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// The next value.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// The next value, uniformly distributed in `[0, 1)`.
    pub fn next_fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The next duration, exponentially distributed with this mean and limited to eight times the mean.
    pub fn next_duration(&mut self, mean: Duration) -> Duration {
        mean.mul_f64((-(1.0 - self.next_fraction()).ln()).min(8.0))
    }
}

/// An HTTP server.
pub struct DemoServer {
    /// The name, sent in the header `X-Server`.
    pub name: String,
    /// The listening address, kept over a restart.
    pub address: SocketAddr,
    /// The mean time that a request takes.
    pub mean_service_time: Duration,
    is_up: AtomicBool,
    in_flight: AtomicUsize,
    answered_count: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    rng: Mutex<SeededRng>,
}

impl DemoServer {
    /// Starts a server on a free port.
    pub fn start(name: &str, mean_service_time: Duration, seed: u64) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(DemoServer {
            name: name.to_owned(),
            address: listener.local_addr()?,
            mean_service_time,
            is_up: AtomicBool::new(true),
            in_flight: AtomicUsize::new(0),
            answered_count: AtomicU64::new(0),
            connections: Mutex::default(),
            rng: Mutex::new(SeededRng::new(seed)),
        });
        server.clone().listen(listener);
        Ok(server)
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The connection that `stop` opens to unblock `accept`.
                if !self.is_up() {
                    return;
                }
                let server = self.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let (Ok(copy), Ok(mut connections)) = (stream.try_clone(), self.connections.lock()) {
            connections.retain(|connection| connection.peer_addr().is_ok());
            connections.push(copy);
        }
        while let Some(request) = read_message(&mut stream).filter(|m| m.is_complete) {
            self.in_flight.fetch_add(1, Ordering::SeqCst);
            let time = self
                .rng
                .lock()
                .map(|mut rng| rng.next_duration(self.mean_service_time))
                .unwrap_or(self.mean_service_time);
            thread::sleep(time);
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            let request_line = request.head.lines().next().unwrap_or_default();
            let body = format!("{} from {}\n", request_line, self.name);
            let headers = format!("X-Server: {}\r\nContent-Type: text/plain\r\n", self.name);
            if !self.is_up() || stream.write_all(&response("200 OK", &headers, body.as_bytes())).is_err() {
                return;
            }
            self.answered_count.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Whether the server is running.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// The number of requests being served.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// The number of requests answered.
    pub fn answered_count(&self) -> u64 {
        self.answered_count.load(Ordering::SeqCst)
    }

    /// Stops the server: its connections are closed and new ones are refused.
    pub fn stop(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Ok(mut connections) = self.connections.lock() {
            connections.drain(..).for_each(|connection| drop(connection.shutdown(Shutdown::Both)));
        }
    }

    /// Starts the server again at the same address; false where that address is in use.
    pub fn restart(self: &Arc<Self>) -> bool {
        let Ok(listener) = TcpListener::bind(self.address) else { return false };
        self.is_up.store(true, Ordering::SeqCst);
        self.clone().listen(listener);
        true
    }
}

/// Counters of a load generator.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Requests sent.
    pub requests: AtomicU64,
    /// Responses with status 200.
    pub successes: AtomicU64,
    /// Responses with status 503 or 429.
    pub rejections: AtomicU64,
    /// Other responses, and requests without a response.
    pub failures: AtomicU64,
    /// Total time of the successful requests, in microseconds.
    pub success_micros: AtomicU64,
}

/// Clients that send one request after the other, each on a persistent connection, until stopped.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
    /// The counters.
    pub stats: Arc<LoadStats>,
}

impl LoadGenerator {
    /// Starts this many clients, each with a mean pause of `pause` between two requests.
    pub fn start(address: SocketAddr, clients: u64, pause: Duration, seed: u64) -> Self {
        let (stop, stats) = (Arc::new(AtomicBool::new(false)), Arc::new(LoadStats::default()));
        let client = |index: u64| {
            let (stop, stats) = (stop.clone(), stats.clone());
            let rng = SeededRng::new(seed.wrapping_add(index));
            thread::spawn(move || run_client(address, &stop, &stats, pause, rng))
        };
        let threads = (0..clients).map(client).collect();
        LoadGenerator { stop, threads, stats }
    }

    /// Stops the clients once each has its current response.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.threads {
            let _ = client.join();
        }
    }
}

fn run_client(
    address: SocketAddr,
    stop: &AtomicBool,
    stats: &LoadStats,
    pause: Duration,
    mut rng: SeededRng,
) {
    let mut idle_connection: Option<TcpStream> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(rng.next_duration(pause));
        let request = match rng.next_u64() % 4 {
            0 => "POST /acknowledge HTTP/1.1\r\nHost: demo\r\nContent-Length: 2\r\n\r\nok",
            1 => "GET /gauges HTTP/1.1\r\nHost: demo\r\n\r\n",
            _ => "GET /status HTTP/1.1\r\nHost: demo\r\n\r\n",
        };
        let start = Instant::now();
        stats.requests.fetch_add(1, Ordering::SeqCst);
        let answer =
            idle_connection.take().or_else(|| TcpStream::connect(address).ok()).and_then(|mut stream| {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                stream.write_all(request.as_bytes()).ok()?;
                let answer = read_message(&mut stream)?;
                if answer.header("connection") != Some("close") {
                    idle_connection = Some(stream);
                }
                Some(answer)
            });
        match answer.map_or(0, |a| a.status()) {
            200 => {
                stats.successes.fetch_add(1, Ordering::SeqCst);
                stats.success_micros.fetch_add(start.elapsed().as_micros() as u64, Ordering::SeqCst);
            }
            503 | 429 => drop(stats.rejections.fetch_add(1, Ordering::SeqCst)),
            _ => drop(stats.failures.fetch_add(1, Ordering::SeqCst)),
        }
    }
}
