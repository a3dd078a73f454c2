//! Clients that ask without a pause to speak of, and what they waited for.

use corkhollow_test_support::read_message;
use hdrhistogram::Histogram;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A client waits no longer than this.
const PATIENCE: Duration = Duration::from_secs(300);
/// Between two requests of a client that watches.
const PAUSE: Duration = Duration::from_millis(1);

/// One client on one connection.
pub struct Client {
    stream: TcpStream,
    request: Vec<u8>,
}

impl Client {
    pub fn new(address: SocketAddr, host: &str, path: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { stream, request: format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes() })
    }

    /// Asks once; how long the answer took, and its status.
    pub fn ask(&mut self) -> (Duration, u16) {
        let begun = Instant::now();
        let sent = self.stream.write_all(&self.request).is_ok();
        let status = if sent { read_message(&mut self.stream).map_or(0, |m| m.status()) } else { 0 };
        (begun.elapsed(), status)
    }
}

/// How long so many requests in a row took, in microseconds. All have to be answered with 200.
pub fn timed(mut client: Client, requests: usize) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits");
    for _ in 0..100 {
        client.ask();
    }
    for _ in 0..requests {
        let (took, status) = client.ask();
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&client.request));
        times.saturating_record(took.as_micros() as u64);
    }
    times
}

/// A client that asks again and again and remembers when it asked, and for how long it waited.
pub struct Watch {
    over: Arc<AtomicBool>,
    waits: Arc<Mutex<Vec<Wait>>>,
    client: Option<JoinHandle<()>>,
}

/// When it asked, and how long it took to get which status; none where it still waits.
type Wait = (Instant, Option<(Duration, u16)>);

impl Watch {
    pub fn start(mut client: Client) -> Self {
        let (over, waits) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (ends, all) = (over.clone(), waits.clone());
        let ask = move || {
            while !ends.load(SeqCst) {
                let wait = |answer| {
                    all.lock().map(|mut all: std::sync::MutexGuard<'_, Vec<Wait>>| match answer {
                        None => all.push((Instant::now(), None)),
                        answer => all.last_mut().into_iter().for_each(|last| last.1 = answer),
                    })
                };
                let _ = wait(None);
                let answer = client.ask();
                let _ = wait(Some(answer));
                std::thread::sleep(PAUSE);
            }
        };
        Watch { over, waits, client: Some(std::thread::spawn(ask)) }
    }

    /// The longest wait of those that fell between two moments, in seconds, and how many of these were not answered with 200, or
    /// not yet.
    pub fn longest(&self, from: Instant, to: Instant) -> (f64, usize) {
        let waits = self.waits.lock().map(|w| w.clone()).unwrap_or_default();
        let over = |(at, answer): &Wait| at.checked_add(answer.map_or(Duration::MAX, |(took, _)| took));
        let within = || waits.iter().filter(|w| w.0 <= to && over(w).is_none_or(|over| over >= from));
        let took = |(at, answer): &Wait| {
            answer.map_or_else(|| to.saturating_duration_since(*at), |a| a.0).as_secs_f64()
        };
        let longest = within().map(took).fold(0.0, f64::max);
        // One is always under way.
        let unserved = |w: &&Wait| w.1.map_or(took(w) > 1.0, |(_, status)| status != 200);
        (longest, within().filter(unserved).count())
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.over.store(true, SeqCst);
        let _ = self.client.take().map(JoinHandle::join);
    }
}
