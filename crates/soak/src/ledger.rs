//! What was seen on all sockets, with its times.

pub use corkhollow_balance::interface::Effect;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A time since the run began.
pub type Time = Duration;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status; whether it was a server's answer to this very request.
    Answered {
        /// Its status.
        status: u16,
        /// A served answer names this request.
        own: bool,
    },
    /// An answer had begun and did not come to its end.
    Cut,
    /// The connection ended without a byte of an answer.
    Closed,
    /// Nothing came for as long as the client waited, which is far beyond its time.
    Silence,
    /// Its last byte could not be written.
    NotSent,
    /// Its client left.
    Left,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its id.
    pub id: u64,
    /// The process that it went to.
    pub process: usize,
    /// How far it may be repeated.
    pub effect: Effect,
    /// When its connection was made.
    pub connected_at: Time,
    /// It was not the first on its connection.
    pub reused: bool,
    /// When its last byte was written.
    pub sent_at: Time,
    /// How long its client said that it would wait.
    pub patience: Duration,
    /// When it ended.
    pub ended_at: Time,
    /// How.
    pub outcome: Outcome,
}

/// How a server dealt with a request that came whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// It ran.
    Ran,
    /// It was turned away with a promise that it did not run.
    TurnedAway,
}

/// A request as a server saw it, once its last byte had come.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request's id.
    pub id: u64,
    /// The server's number.
    pub server: usize,
    /// When its first byte was read.
    pub first_byte_at: Time,
    /// When its last byte was read.
    pub whole_at: Time,
    /// When the server was done with it, or saw it given up.
    pub ended_at: Option<Time>,
    /// The timeout that the request announced.
    pub announced_timeout: Option<Duration>,
    /// What was done with it.
    pub treatment: Treatment,
}

/// What became of a process.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// Its number in the run; a restart has a new one.
    pub process: usize,
    /// When it was started.
    pub started_at: Time,
    /// When it first said that it was up.
    pub ready_at: Option<Time>,
    /// Discovery could not be reached while it started.
    pub started_blind: bool,
    /// When SIGTERM was sent to it.
    pub terminated_at: Option<Time>,
    /// When it was killed on purpose.
    pub killed_at: Option<Time>,
    /// When it was found to have ended.
    pub ended_at: Option<Time>,
    /// Its exit status in words, where that is a failure.
    pub failure: Option<String>,
}

/// A client that stopped in the middle of a request and stayed.
#[derive(Clone, Debug)]
pub struct StalledClient {
    /// The process.
    pub process: usize,
    /// What it stopped in.
    pub stopped_in: &'static str,
    /// When.
    pub stopped_at: Time,
    /// When it got an answer or its connection ended; none where neither came.
    pub freed_at: Option<Time>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Attempts.
    pub attempts: Vec<AttemptRecord>,
    /// Processes.
    pub processes: Vec<ProcessRecord>,
    /// Clients that stopped.
    pub stalled: Vec<StalledClient>,
    /// When each process was notified that a server drains or is gone, by process and server.
    pub notified_draining: HashMap<(usize, usize), Time>,
    /// Processes that may have had no descriptor for a request, and have closed its connection unread.
    pub crowded: HashSet<usize>,
    /// What processes say of themselves that must not be.
    pub self_reports: Vec<String>,
}

/// The ledger that all threads write to.
#[derive(Debug)]
pub struct Ledger {
    start: Instant,
    records: Mutex<Records>,
}

impl Ledger {
    /// Begins now.
    pub fn new() -> Self {
        Ledger { start: Instant::now(), records: Mutex::default() }
    }

    /// The time since it began.
    pub fn now(&self) -> Time {
        self.start.elapsed()
    }

    /// The records, for a moment.
    pub fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}
