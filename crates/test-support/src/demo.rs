//! A small fleet of HTTP servers that can be slow, die and come back, and clients that put a mild load on it.

use crate::message::{read_message, response};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Numbers that look random and are the same for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// Numbers of this seed.
    pub fn new(seed: u64) -> Self {
        SeededRng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// The next number, from 0 up to 1.
    pub fn next_fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A time with this mean, exponentially distributed and cut at eight times the mean.
    pub fn next_duration(&mut self, mean: Duration) -> Duration {
        mean.mul_f64((-(1.0 - self.next_fraction()).ln()).min(8.0))
    }
}

/// One server of a fleet.
pub struct DemoServer {
    /// Its name.
    pub name: String,
    /// Where it listens, also after it has come back.
    pub address: SocketAddr,
    /// The mean time that a request takes.
    pub mean_service_time: Duration,
    alive: AtomicBool,
    in_flight: AtomicUsize,
    answered_count: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    draw: Mutex<SeededRng>,
}

impl DemoServer {
    /// Starts a server on a free port.
    pub fn start(name: &str, mean_service_time: Duration, seed: u64) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let machine = Arc::new(DemoServer {
            name: name.to_owned(),
            address: listener.local_addr()?,
            mean_service_time,
            alive: AtomicBool::new(true),
            in_flight: AtomicUsize::new(0),
            answered_count: AtomicU64::new(0),
            connections: Mutex::default(),
            draw: Mutex::new(SeededRng::new(seed)),
        });
        machine.clone().listen(listener);
        Ok(machine)
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The one that wakes a dying server is nobody's.
                if !self.is_up() {
                    return;
                }
                let machine = self.clone();
                thread::spawn(move || machine.serve(stream));
            }
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        if let (Ok(copy), Ok(mut all)) = (stream.try_clone(), self.connections.lock()) {
            all.retain(|c| c.peer_addr().is_ok());
            all.push(copy);
        }
        while let Some(request) = read_message(&mut stream).filter(|m| m.is_complete) {
            self.in_flight.fetch_add(1, Ordering::SeqCst);
            let time = self
                .draw
                .lock()
                .map(|mut d| d.next_duration(self.mean_service_time))
                .unwrap_or(self.mean_service_time);
            thread::sleep(time);
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            let line = request.head.lines().next().unwrap_or_default();
            let body = format!("{} from {}\n", line, self.name);
            let headers = format!("X-Server: {}\r\nContent-Type: text/plain\r\n", self.name);
            if !self.is_up() || stream.write_all(&response("200 OK", &headers, body.as_bytes())).is_err() {
                return;
            }
            self.answered_count.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Whether it is up.
    pub fn is_up(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Requests that it has in hand.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Requests that it has answered.
    pub fn answered_count(&self) -> u64 {
        self.answered_count.load(Ordering::SeqCst)
    }

    /// Dies: its connections break, and new ones are refused.
    pub fn stop(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Ok(mut all) = self.connections.lock() {
            all.drain(..).for_each(|c| drop(c.shutdown(Shutdown::Both)));
        }
    }

    /// Comes back at its address. False where somebody else has taken it.
    pub fn restart(self: &Arc<Self>) -> bool {
        let Ok(listener) = TcpListener::bind(self.address) else { return false };
        self.alive.store(true, Ordering::SeqCst);
        self.clone().listen(listener);
        true
    }
}

/// What clients have seen.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Requests sent.
    pub requests: AtomicU64,
    /// Good answers.
    pub successes: AtomicU64,
    /// Answers that a repeat is harmless.
    pub rejections: AtomicU64,
    /// Other answers, and none.
    pub failures: AtomicU64,
    /// Time of the good answers, in microseconds.
    pub success_micros: AtomicU64,
}

/// Clients that ask one thing after the other, each on a kept connection, until told to stop.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
    /// What they have seen.
    pub stats: Arc<LoadStats>,
}

impl LoadGenerator {
    /// So many clients, each waiting for `pause` on average between two requests.
    pub fn start(address: SocketAddr, clients: u64, pause: Duration, seed: u64) -> Self {
        let (stop, stats) = (Arc::new(AtomicBool::new(false)), Arc::new(LoadStats::default()));
        let client = |k: u64| {
            let (stop, stats) = (stop.clone(), stats.clone());
            let draw = SeededRng::new(seed.wrapping_add(k));
            thread::spawn(move || ask_on(address, &stop, &stats, pause, draw))
        };
        let threads = (0..clients).map(client).collect();
        LoadGenerator { stop, threads, stats }
    }

    /// Ends them, each with its last answer.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.threads {
            let _ = client.join();
        }
    }
}

fn ask_on(address: SocketAddr, stop: &AtomicBool, stats: &LoadStats, pause: Duration, mut draw: SeededRng) {
    let mut kept: Option<TcpStream> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(draw.next_duration(pause));
        let request = match draw.next_u64() % 4 {
            0 => "POST /acknowledge HTTP/1.1\r\nHost: demo\r\nContent-Length: 2\r\n\r\nok",
            1 => "GET /gauges HTTP/1.1\r\nHost: demo\r\n\r\n",
            _ => "GET /status HTTP/1.1\r\nHost: demo\r\n\r\n",
        };
        let start = Instant::now();
        stats.requests.fetch_add(1, Ordering::SeqCst);
        let answer = kept.take().or_else(|| TcpStream::connect(address).ok()).and_then(|mut stream| {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
            stream.write_all(request.as_bytes()).ok()?;
            let answer = read_message(&mut stream)?;
            if answer.header("connection") != Some("close") {
                kept = Some(stream);
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
