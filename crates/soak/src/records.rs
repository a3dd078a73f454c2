//! What clients, servers and processes did, with times.

pub use corkhollow_balance::interface::Effect;
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time since the start of the run.
pub type Timestamp = Duration;

/// How a request ended, from its client's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Answered {
        /// The status code.
        status: u16,
        /// The response names this request's ID.
        is_own: bool,
    },
    /// The response began and was incomplete.
    Truncated,
    /// The connection ended before the first byte of a response.
    Closed,
    /// No response until the client gave up, long after the request's deadline.
    NoAnswer,
    /// The request could not be written completely.
    NotSent,
    /// The client left.
    ClientLeft,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request ID.
    pub id: u64,
    /// The process that received it.
    pub process: usize,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// When the connection was opened.
    pub connected_at: Timestamp,
    /// The request was not the first on its connection.
    pub connection_reused: bool,
    /// When the last byte was written.
    pub sent_at: Timestamp,
    /// The timeout that the client announced.
    pub timeout: Duration,
    /// When the request ended.
    pub ended_at: Timestamp,
    /// How the request ended.
    pub outcome: Outcome,
}

/// What a server did with a complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// The request was executed.
    Executed,
    /// The request was rejected, with a promise that it was not executed.
    Rejected,
}

/// An attempt as its server saw it, recorded once the request was complete.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The request ID.
    pub id: u64,
    /// The index of the server.
    pub server: usize,
    /// When the first byte was read.
    pub first_byte_at: Timestamp,
    /// When the last byte was read.
    pub received_at: Timestamp,
    /// When the server finished the request or noticed that it was abandoned.
    pub ended_at: Option<Timestamp>,
    /// The timeout that the request announced.
    pub announced_timeout: Option<Duration>,
    /// What the server did with the request.
    pub treatment: Treatment,
}

/// The life of a process.
#[derive(Clone, Debug)]
pub struct ProcessRecord {
    /// The number of the process in the run; a restarted process has a new one.
    pub process: usize,
    /// When it was started.
    pub started_at: Timestamp,
    /// When it was first seen ready.
    pub ready_at: Option<Timestamp>,
    /// Discovery was unavailable when it was started.
    pub started_without_discovery: bool,
    /// When SIGTERM was sent.
    pub terminated_at: Option<Timestamp>,
    /// When it was killed deliberately.
    pub killed_at: Option<Timestamp>,
    /// When it was found to have ended.
    pub ended_at: Option<Timestamp>,
    /// The exit status, where it is a failure.
    pub failure: Option<String>,
}

/// A client that stalled in the middle of a request.
#[derive(Clone, Debug)]
pub struct StalledClient {
    /// The process that it is connected to.
    pub process: usize,
    /// The part of the request in which it stalled.
    pub stalled_in: &'static str,
    /// When it stalled.
    pub stalled_at: Timestamp,
    /// When it received a response or its connection ended; none where neither happened.
    pub released_at: Option<Timestamp>,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests as their clients saw them.
    pub requests: Vec<RequestRecord>,
    /// Attempts as their servers saw them.
    pub attempts: Vec<AttemptRecord>,
    /// Processes in the order of their start.
    pub processes: Vec<ProcessRecord>,
    /// Stalled clients.
    pub stalled_clients: Vec<StalledClient>,
    /// When a process was first told that a server is draining or gone, by process and server.
    pub notified_draining: HashMap<(usize, usize), Timestamp>,
    /// Processes whose descriptors were exhausted by idle connections: they may close a connection without
    /// reading its request.
    pub flooded_processes: HashSet<usize>,
    /// Faults that processes reported themselves, in logs and metrics.
    pub self_reports: Vec<String>,
}

/// Collects the records of all threads.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    records: Mutex<Records>,
}

impl Recorder {
    /// Starts the clock of the run.
    pub fn new() -> Self {
        Recorder { start: Instant::now(), records: Mutex::default() }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// Locks the records.
    pub fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}
