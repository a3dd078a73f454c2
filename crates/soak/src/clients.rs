//! Clients: most of them ask one request after the other on kept connections; some leave, stop in the middle, or are slow.

use crate::cluster::{Cluster, SlotState};
use crate::connection::{Connection, NoMessage};
use crate::ledger::{Effect, Ledger, Outcome, RequestRecord, StalledClient, Time};
use corkhollow_test_support::SeededRng;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The mean time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(40);
/// An answer is waited for so long beyond the request's time, to see whether it comes at all.
const BEYOND: Duration = Duration::from_millis(2_500);
/// Clients that stop in the middle of a request stay for so long.
const STAYS: Duration = Duration::from_millis(4_500);
/// New connections come for so long after SIGTERM.
const STILL_COME: Duration = Duration::from_millis(300);

/// What a client does with its next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehaviour {
    /// It sends it and waits.
    Usual,
    /// It writes it in pieces.
    Slow,
    /// It has a long body.
    LongBody,
    /// It asks for a long answer and reads that slowly.
    LongAnswer,
    /// It leaves some time after the last byte.
    Leaves,
    /// The same, behind a long body.
    LeavesBehindLongBody,
    /// It stops in its first head, and stays.
    StopsInHead,
    /// It stops in a body, and stays.
    StopsInBody,
    /// It stops in a head that begins in one piece with the request before it, and stays.
    StopsInNextHead,
}

impl ClientBehaviour {
    fn draw(draw: &mut SeededRng) -> Self {
        match draw.next_u64() % 100 {
            0..=5 => ClientBehaviour::Slow,
            6..=8 => ClientBehaviour::LongBody,
            9..=10 => ClientBehaviour::LongAnswer,
            11..=18 => ClientBehaviour::Leaves,
            19..=20 => ClientBehaviour::LeavesBehindLongBody,
            21 => ClientBehaviour::StopsInHead,
            22 => ClientBehaviour::StopsInBody,
            23 => ClientBehaviour::StopsInNextHead,
            _ => ClientBehaviour::Usual,
        }
    }
}

/// What all clients have in common.
pub struct Clients {
    cluster: Arc<Cluster>,
    ledger: Arc<Ledger>,
    stop: AtomicBool,
    next_id: AtomicU64,
}

struct Kept {
    connection: Connection,
    process: usize,
    connected_at: Time,
    used: bool,
}

/// A request as it is about to be sent.
struct Draft {
    id: u64,
    effect: Effect,
    patience: Duration,
    bytes: Vec<u8>,
}

impl Clients {
    /// None yet.
    pub fn new(cluster: Arc<Cluster>, ledger: Arc<Ledger>) -> Arc<Self> {
        Arc::new(Clients { cluster, ledger, stop: AtomicBool::new(false), next_id: AtomicU64::new(1) })
    }

    /// Starts a client of a slot.
    pub fn begin(self: &Arc<Self>, slot: usize, seed: u64) -> thread::JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || clients.ask_on(slot, SeededRng::new(seed)))
    }

    /// Has all of them end behind what they are doing.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn ask_on(&self, slot: usize, mut draw: SeededRng) {
        let mut kept: Option<Kept> = None;
        while !self.stopped() {
            thread::sleep(draw.next_duration(PAUSE));
            let Some(client) = kept.take().or_else(|| self.connect(slot)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            kept = match ClientBehaviour::draw(&mut draw) {
                ClientBehaviour::StopsInHead => self.stop_in(client, "its head", &mut draw),
                ClientBehaviour::StopsInBody => self.stop_in(client, "its body", &mut draw),
                ClientBehaviour::StopsInNextHead => self.stop_in(client, "its next head", &mut draw),
                behaviour => self.ask(client, behaviour, &mut draw),
            };
        }
    }

    fn connect(&self, slot: usize) -> Option<Kept> {
        let now = self.ledger.now();
        let open = match self.cluster.slots[slot].state() {
            SlotState::Up => true,
            SlotState::Leaving(since) => now < since + STILL_COME,
            SlotState::Down => false,
        };
        let address = self.cluster.slots[slot].address().filter(|_| open)?;
        let process = self.cluster.process(slot);
        let connection = Connection::open(address)?;
        let connected_at = self.ledger.now();
        (self.cluster.process(slot) == process).then_some(Kept {
            connection,
            process,
            connected_at,
            used: false,
        })
    }

    fn draft(&self, long: bool, long_body: bool, draw: &mut SeededRng) -> Draft {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let effect = match draw.next_u64() % 3 {
            _ if long => Effect::Safe,
            0 => Effect::Safe,
            1 => Effect::Keyed,
            _ => Effect::Unsafe,
        };
        let patience = Duration::from_millis(300 + draw.next_u64() % 1_200);
        let (method, class, key) = match effect {
            Effect::Safe => ("GET", "safe", String::new()),
            Effect::Keyed => ("POST", "keyed", format!("Idempotency-Key: {id:x}\r\n")),
            Effect::Unsafe => ("POST", "once", String::new()),
        };
        let length = match (effect, long_body) {
            (Effect::Safe, _) => 0,
            (_, true) => 200_000 + draw.next_u64() as usize % 700_000,
            (_, false) => draw.next_u64() as usize % 600,
        };
        let path = if long { "long" } else { "short" };
        let mut bytes = format!(
            "{method} /{class}/{path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id:x}\r\nX-Timeout-Ms: {}\r\n{key}",
            patience.as_millis()
        )
        .into_bytes();
        if effect != Effect::Safe {
            bytes.extend(format!("Content-Length: {length}\r\n").into_bytes());
        }
        bytes.extend(b"\r\n");
        bytes.resize(bytes.len() + length, b'b');
        Draft { id, effect, patience, bytes }
    }

    fn ask(&self, mut client: Kept, behaviour: ClientBehaviour, draw: &mut SeededRng) -> Option<Kept> {
        let long_body =
            matches!(behaviour, ClientBehaviour::LongBody | ClientBehaviour::LeavesBehindLongBody);
        let draft = self.draft(behaviour == ClientBehaviour::LongAnswer, long_body, draw);
        let leaves = matches!(behaviour, ClientBehaviour::Leaves | ClientBehaviour::LeavesBehindLongBody);
        let resets = leaves && draw.next_u64().is_multiple_of(2);
        let leaves_after = Duration::from_millis(draw.next_u64() % 200);
        let written = match behaviour {
            ClientBehaviour::Slow => write_slowly(&mut client.connection, &draft.bytes, draw),
            _ => client.connection.write(&draft.bytes),
        };
        let sent_at = self.ledger.now();
        let mut record = RequestRecord {
            id: draft.id,
            process: client.process,
            effect: draft.effect,
            connected_at: client.connected_at,
            reused: client.used,
            sent_at,
            patience: draft.patience,
            ended_at: sent_at,
            outcome: Outcome::NotSent,
        };
        if !written {
            self.ledger.lock().requests.push(record);
            return None;
        }
        if leaves {
            let answered = client.connection.stirs(Instant::now() + leaves_after);
            if !answered {
                match resets {
                    true => client.connection.reset(),
                    false => drop(client),
                }
                record.ended_at = self.ledger.now();
                record.outcome = Outcome::Left;
                self.ledger.lock().requests.push(record);
                return None;
            }
        }
        if behaviour == ClientBehaviour::LongAnswer {
            thread::sleep(Duration::from_millis(draw.next_u64() % 300));
        }
        let until = Instant::now() + draft.patience + BEYOND;
        let read = client.connection.read(until, false);
        record.ended_at = self.ledger.now();
        let mut keeps = false;
        record.outcome = match &read {
            Ok(answer) => {
                let own = answer.body.starts_with(format!("id={:x} ", draft.id).as_bytes());
                keeps = answer.header("connection") != Some("close");
                Outcome::Answered { status: answer.status(), own }
            }
            Err(NoMessage::Closed) => Outcome::Closed,
            Err(NoMessage::Cut) => Outcome::Cut,
            Err(NoMessage::TimeOut) => Outcome::Silence,
        };
        self.ledger.lock().requests.push(record);
        client.used = true;
        keeps.then_some(client)
    }

    /// Stops in the middle of a request and stays, until it is let go or long after it should have been.
    fn stop_in(&self, mut client: Kept, stopped_in: &'static str, draw: &mut SeededRng) -> Option<Kept> {
        let draft = self.draft(false, false, draw);
        let head = draft.bytes.windows(4).position(|w| w == b"\r\n\r\n").map_or(0, |at| at + 4);
        let id = draft.id;
        let with_body = format!(
            "POST /once/short HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id:x}\r\nContent-Length: 90\r\n\r\nhalf"
        );
        let mut bytes = match stopped_in {
            "its body" => with_body.into_bytes(),
            _ => draft.bytes[..head / 2].to_vec(),
        };
        if stopped_in == "its next head" {
            bytes.splice(0..0, *b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        if !client.connection.write(&bytes) {
            return None;
        }
        let mut stopped_at = self.ledger.now();
        let until = Instant::now() + STAYS;
        if stopped_in == "its next head" {
            if client.connection.read(until, false).is_err() {
                return None;
            }
            stopped_at = self.ledger.now();
        }
        let freed = client.connection.stirs(until);
        let freed_at = freed.then(|| self.ledger.now());
        let process = client.process;
        let record = StalledClient { process, stopped_in, stopped_at, freed_at };
        self.ledger.lock().stalled.push(record);
        None
    }
}

/// Writes a request in a few pieces, with pauses that the platform allows.
fn write_slowly(connection: &mut Connection, bytes: &[u8], draw: &mut SeededRng) -> bool {
    let size = (bytes.len() / 4).max(1);
    bytes.chunks(size).all(|piece| {
        thread::sleep(Duration::from_millis(draw.next_u64() % 150));
        connection.write(piece)
    })
}
