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
pub struct Draw(Pcg64Mcg);

impl Draw {
    /// Numbers of this seed.
    pub fn new(seed: u64) -> Self {
        Draw(Pcg64Mcg::seed_from_u64(seed))
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// The next number, from 0 up to 1.
    pub fn share(&mut self) -> f64 {
        (self.number() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A time with this mean, exponentially distributed and cut at eight times the mean.
    pub fn time(&mut self, mean: Duration) -> Duration {
        mean.mul_f64((-(1.0 - self.share()).ln()).min(8.0))
    }
}

/// One server of a fleet.
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Where it listens, also after it has come back.
    pub address: SocketAddr,
    /// The mean time that a request takes.
    pub mean: Duration,
    alive: AtomicBool,
    in_flight: AtomicUsize,
    served: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    draw: Mutex<Draw>,
}

impl Machine {
    /// Starts a server on a free port.
    pub fn start(name: &str, mean: Duration, seed: u64) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let machine = Arc::new(Machine {
            name: name.to_owned(),
            address: listener.local_addr()?,
            mean,
            alive: AtomicBool::new(true),
            in_flight: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            connections: Mutex::default(),
            draw: Mutex::new(Draw::new(seed)),
        });
        machine.clone().listen(listener);
        Ok(machine)
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The one that wakes a dying server is nobody's.
                if !self.alive() {
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
            let time = self.draw.lock().map(|mut d| d.time(self.mean)).unwrap_or(self.mean);
            thread::sleep(time);
            self.in_flight.fetch_sub(1, Ordering::SeqCst);
            let line = request.head.lines().next().unwrap_or_default();
            let body = format!("{} from {}\n", line, self.name);
            let headers = format!("X-Server: {}\r\nContent-Type: text/plain\r\n", self.name);
            if !self.alive() || stream.write_all(&response("200 OK", &headers, body.as_bytes())).is_err() {
                return;
            }
            self.served.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Whether it is up.
    pub fn alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Requests that it has in hand.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Requests that it has answered.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Dies: its connections break, and new ones are refused.
    pub fn die(&self) {
        self.alive.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if let Ok(mut all) = self.connections.lock() {
            all.drain(..).for_each(|c| drop(c.shutdown(Shutdown::Both)));
        }
    }

    /// Comes back at its address. False where somebody else has taken it.
    pub fn revive(self: &Arc<Self>) -> bool {
        let Ok(listener) = TcpListener::bind(self.address) else { return false };
        self.alive.store(true, Ordering::SeqCst);
        self.clone().listen(listener);
        true
    }
}

/// What clients have seen.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub asked: AtomicU64,
    /// Good answers.
    pub served: AtomicU64,
    /// Answers that a repeat is harmless.
    pub refused: AtomicU64,
    /// Other answers, and none.
    pub failed: AtomicU64,
    /// Time of the good answers, in microseconds.
    pub micros: AtomicU64,
}

/// Clients that ask one thing after the other, each on a kept connection, until told to stop.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
    /// What they have seen.
    pub tally: Arc<Tally>,
}

impl Load {
    /// So many clients, each waiting for `pause` on average between two requests.
    pub fn start(address: SocketAddr, clients: u64, pause: Duration, seed: u64) -> Self {
        let (stop, tally) = (Arc::new(AtomicBool::new(false)), Arc::new(Tally::default()));
        let client = |k: u64| {
            let (stop, tally) = (stop.clone(), tally.clone());
            let draw = Draw::new(seed.wrapping_add(k));
            thread::spawn(move || ask_on(address, &stop, &tally, pause, draw))
        };
        let threads = (0..clients).map(client).collect();
        Load { stop, threads, tally }
    }

    /// Ends them, each with its last answer.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.threads {
            let _ = client.join();
        }
    }
}

fn ask_on(address: SocketAddr, stop: &AtomicBool, tally: &Tally, pause: Duration, mut draw: Draw) {
    let mut kept: Option<TcpStream> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(draw.time(pause));
        let request = match draw.number() % 4 {
            0 => "POST /acknowledge HTTP/1.1\r\nHost: demo\r\nContent-Length: 2\r\n\r\nok",
            1 => "GET /gauges HTTP/1.1\r\nHost: demo\r\n\r\n",
            _ => "GET /status HTTP/1.1\r\nHost: demo\r\n\r\n",
        };
        let start = Instant::now();
        tally.asked.fetch_add(1, Ordering::SeqCst);
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
                tally.served.fetch_add(1, Ordering::SeqCst);
                tally.micros.fetch_add(start.elapsed().as_micros() as u64, Ordering::SeqCst);
            }
            503 | 429 => drop(tally.refused.fetch_add(1, Ordering::SeqCst)),
            _ => drop(tally.failed.fetch_add(1, Ordering::SeqCst)),
        }
    }
}
