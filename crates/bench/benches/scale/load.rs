//! Clients that send requests one after another and record how long the answers take.

use corkhollow_test_support::read_message;
use hdrhistogram::Histogram;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(300);
/// Pause between two requests of a [`LatencyMonitor`].
const MONITOR_PAUSE: Duration = Duration::from_millis(1);

/// A client with one connection, which repeats the same request.
pub struct Client {
    stream: TcpStream,
    request: Vec<u8>,
}

impl Client {
    pub fn new(address: SocketAddr, host: &str, path: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Client { stream, request: format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes() })
    }

    /// Sends the request and returns the time until the answer and its status, or 0 if there was no answer.
    pub fn send(&mut self) -> (Duration, u16) {
        let start = Instant::now();
        let sent = self.stream.write_all(&self.request).is_ok();
        let status = if sent { read_message(&mut self.stream).map_or(0, |m| m.status()) } else { 0 };
        (start.elapsed(), status)
    }
}

/// Measures the answer times of this many requests, in microseconds. All must be answered with 200.
pub fn measure_answer_times(mut client: Client, requests: usize) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits");
    for _ in 0..100 {
        client.send();
    }
    for _ in 0..requests {
        let (elapsed, status) = client.send();
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&client.request));
        times.saturating_record(elapsed.as_micros() as u64);
    }
    times
}

/// A client that sends requests until it is dropped, and records when it sent each and how long the answer
/// took.
pub struct LatencyMonitor {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    client: Option<JoinHandle<()>>,
}

/// When a request was sent, and the time and status of its answer; none while it is open.
type RequestRecord = (Instant, Option<(Duration, u16)>);

impl LatencyMonitor {
    pub fn start(mut client: Client) -> Self {
        let (stop, records) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (is_stopped, shared_records) = (stop.clone(), records.clone());
        let send = move || {
            while !is_stopped.load(SeqCst) {
                let record = |answer| {
                    shared_records.lock().map(|mut records: std::sync::MutexGuard<'_, Vec<RequestRecord>>| {
                        match answer {
                            None => records.push((Instant::now(), None)),
                            answer => records.last_mut().into_iter().for_each(|last| last.1 = answer),
                        }
                    })
                };
                let _ = record(None);
                let answer = client.send();
                let _ = record(Some(answer));
                std::thread::sleep(MONITOR_PAUSE);
            }
        };
        LatencyMonitor { stop, records, client: Some(std::thread::spawn(send)) }
    }

    /// The longest answer time, in seconds, of the requests that were open between two moments, and how many
    /// of them were not answered with 200.
    pub fn longest_wait(&self, from: Instant, to: Instant) -> (f64, usize) {
        let records = self.records.lock().map(|w| w.clone()).unwrap_or_default();
        let answered_at = |(at, answer): &RequestRecord| {
            at.checked_add(answer.map_or(Duration::MAX, |(elapsed, _)| elapsed))
        };
        let overlapping =
            || records.iter().filter(|w| w.0 <= to && answered_at(w).is_none_or(|end| end >= from));
        let elapsed = |(at, answer): &RequestRecord| {
            answer.map_or_else(|| to.saturating_duration_since(*at), |a| a.0).as_secs_f64()
        };
        let longest_wait = overlapping().map(elapsed).fold(0.0, f64::max);
        // The request that is still open counts only after a second, as one always is.
        let unserved = |w: &&RequestRecord| w.1.map_or(elapsed(w) > 1.0, |(_, status)| status != 200);
        (longest_wait, overlapping().filter(unserved).count())
    }
}

impl Drop for LatencyMonitor {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        let _ = self.client.take().map(JoinHandle::join);
    }
}
