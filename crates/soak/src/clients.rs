//! Clients that send requests on persistent connections. Some are slow, leave early or stall in the middle of
//! a request.

use crate::cluster::{Cluster, SlotState};
use crate::connection::{Connection, ReadError};
use crate::records::{Effect, Outcome, Recorder, RequestRecord, StalledClient, Timestamp};
use corkhollow_test_support::SeededRng;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Mean time between two requests of a client.
const MEAN_REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// How long a client waits for a response after the request's deadline, to tell a late response from none.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(2_500);
/// How long a stalled client waits to be disconnected.
const STALL_TIME: Duration = Duration::from_millis(4_500);
/// How long clients still connect to a process after SIGTERM.
const CONNECT_AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// What a client does with its next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehaviour {
    /// Sends the request and reads the response.
    Normal,
    /// Sends the request in several pieces.
    Slow,
    /// Sends a long body.
    LongBody,
    /// Requests a long response and reads it late.
    LongResponse,
    /// Leaves some time after sending the request.
    Leaves,
    /// Like `Leaves`, with a long body.
    LeavesAfterLongBody,
    /// Stalls in a request head.
    StallsInHead,
    /// Stalls in a request body.
    StallsInBody,
    /// Stalls in the head of a pipelined second request.
    StallsInPipelinedHead,
}

impl ClientBehaviour {
    fn choose(rng: &mut SeededRng) -> Self {
        match rng.next_u64() % 100 {
            0..=5 => ClientBehaviour::Slow,
            6..=8 => ClientBehaviour::LongBody,
            9..=10 => ClientBehaviour::LongResponse,
            11..=18 => ClientBehaviour::Leaves,
            19..=20 => ClientBehaviour::LeavesAfterLongBody,
            21 => ClientBehaviour::StallsInHead,
            22 => ClientBehaviour::StallsInBody,
            23 => ClientBehaviour::StallsInPipelinedHead,
            _ => ClientBehaviour::Normal,
        }
    }
}

/// The state shared by all clients.
pub struct Clients {
    cluster: Arc<Cluster>,
    recorder: Arc<Recorder>,
    stop: AtomicBool,
    next_id: AtomicU64,
}

struct ClientConnection {
    connection: Connection,
    process: usize,
    connected_at: Timestamp,
    is_used: bool,
}

/// A request ready to be sent.
struct PreparedRequest {
    id: u64,
    effect: Effect,
    timeout: Duration,
    bytes: Vec<u8>,
}

impl Clients {
    /// Creates the shared state without starting a client.
    pub fn new(cluster: Arc<Cluster>, recorder: Arc<Recorder>) -> Arc<Self> {
        Arc::new(Clients { cluster, recorder, stop: AtomicBool::new(false), next_id: AtomicU64::new(1) })
    }

    /// Starts a client of a slot.
    pub fn start_client(self: &Arc<Self>, slot: usize, seed: u64) -> thread::JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || clients.run_client(slot, SeededRng::new(seed)))
    }

    /// Tells all clients to end after their current request.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn run_client(&self, slot: usize, mut rng: SeededRng) {
        let mut idle_connection: Option<ClientConnection> = None;
        while !self.is_stopped() {
            thread::sleep(rng.next_duration(MEAN_REQUEST_INTERVAL));
            let Some(client) = idle_connection.take().or_else(|| self.connect(slot)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            idle_connection = match ClientBehaviour::choose(&mut rng) {
                ClientBehaviour::StallsInHead => self.stall(client, "request head", &mut rng),
                ClientBehaviour::StallsInBody => self.stall(client, "request body", &mut rng),
                ClientBehaviour::StallsInPipelinedHead => self.stall(client, "pipelined head", &mut rng),
                behaviour => self.send_request(client, behaviour, &mut rng),
            };
        }
    }

    fn connect(&self, slot: usize) -> Option<ClientConnection> {
        let now = self.recorder.now();
        let accepts_clients = match self.cluster.slots[slot].state() {
            SlotState::Up => true,
            SlotState::Terminating(since) => now < since + CONNECT_AFTER_SIGTERM,
            SlotState::Down => false,
        };
        let address = self.cluster.slots[slot].address().filter(|_| accepts_clients)?;
        let process = self.cluster.process(slot);
        let connection = Connection::open(address)?;
        let connected_at = self.recorder.now();
        (self.cluster.process(slot) == process).then_some(ClientConnection {
            connection,
            process,
            connected_at,
            is_used: false,
        })
    }

    fn prepare_request(&self, long_answer: bool, long_body: bool, rng: &mut SeededRng) -> PreparedRequest {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let effect = match rng.next_u64() % 3 {
            _ if long_answer => Effect::Safe,
            0 => Effect::Safe,
            1 => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        let timeout = Duration::from_millis(300 + rng.next_u64() % 1_200);
        let (method, class, key) = match effect {
            Effect::Safe => ("GET", "safe", String::new()),
            Effect::Keyed => ("POST", "keyed", format!("Idempotency-Key: {id:x}\r\n")),
            Effect::Unsafe => ("POST", "once", String::new()),
        };
        let length = match (effect, long_body) {
            (Effect::Safe, _) => 0,
            (_, true) => 200_000 + rng.next_u64() as usize % 700_000,
            (_, false) => rng.next_u64() as usize % 600,
        };
        let path = if long_answer { "long" } else { "short" };
        let mut bytes = format!(
            "{method} /{class}/{path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id:x}\r\nX-Timeout-Ms: {}\r\n{key}",
            timeout.as_millis()
        )
        .into_bytes();
        if effect != Effect::Safe {
            bytes.extend(format!("Content-Length: {length}\r\n").into_bytes());
        }
        bytes.extend(b"\r\n");
        bytes.resize(bytes.len() + length, b'b');
        PreparedRequest { id, effect, timeout, bytes }
    }

    fn send_request(
        &self,
        mut client: ClientConnection,
        behaviour: ClientBehaviour,
        rng: &mut SeededRng,
    ) -> Option<ClientConnection> {
        let long_body = matches!(behaviour, ClientBehaviour::LongBody | ClientBehaviour::LeavesAfterLongBody);
        let request = self.prepare_request(behaviour == ClientBehaviour::LongResponse, long_body, rng);
        let leaves = matches!(behaviour, ClientBehaviour::Leaves | ClientBehaviour::LeavesAfterLongBody);
        let resets = leaves && rng.next_u64().is_multiple_of(2);
        let leaves_after = Duration::from_millis(rng.next_u64() % 200);
        let is_written = match behaviour {
            ClientBehaviour::Slow => write_slowly(&mut client.connection, &request.bytes, rng),
            _ => client.connection.write(&request.bytes),
        };
        let sent_at = self.recorder.now();
        let mut record = RequestRecord {
            id: request.id,
            process: client.process,
            effect: request.effect,
            connected_at: client.connected_at,
            connection_reused: client.is_used,
            sent_at,
            timeout: request.timeout,
            ended_at: sent_at,
            outcome: Outcome::NotSent,
        };
        if !is_written {
            self.recorder.lock().requests.push(record);
            return None;
        }
        if leaves {
            let answered = client.connection.wait_for_activity(Instant::now() + leaves_after);
            if !answered {
                match resets {
                    true => client.connection.reset(),
                    false => drop(client),
                }
                record.ended_at = self.recorder.now();
                record.outcome = Outcome::ClientLeft;
                self.recorder.lock().requests.push(record);
                return None;
            }
        }
        if behaviour == ClientBehaviour::LongResponse {
            thread::sleep(Duration::from_millis(rng.next_u64() % 300));
        }
        let deadline = Instant::now() + request.timeout + LATE_ANSWER_WAIT;
        let read = client.connection.read(deadline, false);
        record.ended_at = self.recorder.now();
        let mut keeps_connection = false;
        record.outcome = match &read {
            Ok(answer) => {
                let is_own = answer.body.starts_with(format!("id={:x} ", request.id).as_bytes());
                keeps_connection = answer.header("connection") != Some("close");
                Outcome::Answered { status: answer.status(), is_own }
            }
            Err(ReadError::Closed) => Outcome::Closed,
            Err(ReadError::Truncated) => Outcome::Truncated,
            Err(ReadError::TimedOut) => Outcome::NoAnswer,
        };
        self.recorder.lock().requests.push(record);
        client.is_used = true;
        keeps_connection.then_some(client)
    }

    /// Sends part of a request and waits to be disconnected, but no longer than `STALL_TIME`.
    fn stall(
        &self,
        mut client: ClientConnection,
        stalled_in: &'static str,
        rng: &mut SeededRng,
    ) -> Option<ClientConnection> {
        let request = self.prepare_request(false, false, rng);
        let head = request.bytes.windows(4).position(|w| w == b"\r\n\r\n").map_or(0, |at| at + 4);
        let id = request.id;
        let with_body = format!(
            "POST /once/short HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id:x}\r\nContent-Length: 90\r\n\r\nhalf"
        );
        let mut bytes = match stalled_in {
            "request body" => with_body.into_bytes(),
            _ => request.bytes[..head / 2].to_vec(),
        };
        if stalled_in == "pipelined head" {
            bytes.splice(0..0, *b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        if !client.connection.write(&bytes) {
            return None;
        }
        let mut stalled_at = self.recorder.now();
        let deadline = Instant::now() + STALL_TIME;
        if stalled_in == "pipelined head" {
            if client.connection.read(deadline, false).is_err() {
                return None;
            }
            stalled_at = self.recorder.now();
        }
        let released = client.connection.wait_for_activity(deadline);
        let released_at = released.then(|| self.recorder.now());
        let process = client.process;
        let record = StalledClient { process, stalled_in, stalled_at, released_at };
        self.recorder.lock().stalled_clients.push(record);
        None
    }
}

/// Writes a request in pieces, pausing for less than 150 ms before each.
fn write_slowly(connection: &mut Connection, bytes: &[u8], rng: &mut SeededRng) -> bool {
    let size = (bytes.len() / 4).max(1);
    bytes.chunks(size).all(|piece| {
        thread::sleep(Duration::from_millis(rng.next_u64() % 150));
        connection.write(piece)
    })
}
