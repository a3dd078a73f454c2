//! The most recent events of requests and connections, kept in memory for diagnosis. Each names its subject,
//! and the reason of a decision.

use corkhollow_balance::interface::{Ending, Nanos, RequestId};
use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Capacity of the event log; the oldest events are dropped first.
const MAX_EVENTS: usize = 2_048;
/// Longer request ids of clients are truncated.
const MAX_CLIENT_REQUEST_ID_BYTES: usize = 32;

/// The request id that a client sent, truncated to a fixed size.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ClientRequestId {
    bytes: [u8; MAX_CLIENT_REQUEST_ID_BYTES],
    length: u8,
}

impl ClientRequestId {
    /// Truncates an id and replaces non-printable bytes with dots.
    pub fn new(id: &[u8]) -> Self {
        let mut bytes = [0; MAX_CLIENT_REQUEST_ID_BYTES];
        let length = id.len().min(MAX_CLIENT_REQUEST_ID_BYTES);
        for (target, byte) in bytes.iter_mut().zip(id) {
            *target = if byte.is_ascii_graphic() { *byte } else { b'.' };
        }
        ClientRequestId { bytes, length: length as u8 }
    }
}

impl fmt::Display for ClientRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = std::str::from_utf8(&self.bytes[..usize::from(self.length)]);
        f.write_str(text.unwrap_or_default())
    }
}

impl fmt::Debug for ClientRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClientRequestId({self})")
    }
}

/// What an event is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request.
    Request {
        /// Name of the pool.
        pool: Arc<str>,
        /// Number of the request, unique in its pool.
        number: RequestId,
    },
    /// A client connection, by its number, which is unique in the process.
    Connection(u64),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request was received, with this client request id.
    Received(ClientRequestId),
    /// An attempt was sent to a server.
    AttemptSent {
        /// Number among the request's attempts.
        attempt: u8,
        /// Name of the server.
        server: Arc<str>,
        /// Whether another attempt of the request is still running.
        hedge: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Number among the request's attempts.
        attempt: u8,
        /// How it ended.
        ending: Ending,
    },
    /// The rules denied a proposed attempt or answer, for this reason.
    Denied(&'static str),
    /// The request got its final answer: its kind or, for a refusal, the reason.
    Answered(&'static str),
    /// The client left before there was an answer.
    ClientLeft,
    /// The connection was closed, for this reason.
    Closed(&'static str),
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Time on the process's clock.
    pub at: Nanos,
    /// What the event is about.
    pub subject: Subject,
    /// What happened.
    pub event: Event,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06} ", self.at / 1_000_000_000, self.at % 1_000_000_000 / 1_000)?;
        match &self.subject {
            Subject::Request { pool, number } => write!(f, "pool={pool} request={number} ")?,
            Subject::Connection(number) => write!(f, "connection={number} ")?,
        }
        match &self.event {
            Event::Received(id) => write!(f, "taken id={id}"),
            Event::AttemptSent { attempt, server, hedge } => {
                write!(f, "sent attempt={attempt} server={server} hedge={hedge}")
            }
            Event::AttemptEnded { attempt, ending } => write!(f, "ended attempt={attempt} as={ending:?}"),
            Event::Denied(reason) => write!(f, "denied reason={reason}"),
            Event::Answered(reason) => write!(f, "answered reason={reason}"),
            Event::ClientLeft => f.write_str("client-left"),
            Event::Closed(reason) => write!(f, "closed reason={reason}"),
        }
    }
}

/// A ring of recent events. Clones share it; the serving thread writes, any thread reads.
#[derive(Clone, Debug, Default)]
pub struct EventLog(Arc<Mutex<VecDeque<Record>>>);

impl EventLog {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends an event, dropping the oldest one if the log is full.
    pub fn record(&self, at: Nanos, subject: Subject, event: Event) {
        let mut events = self.lock();
        if events.len() >= MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(Record { at, subject, event });
    }

    /// One line per event, oldest first.
    pub fn render(&self) -> String {
        // Format outside the lock, so that the serving thread does not wait for a reader.
        let events: Vec<Record> = self.lock().iter().cloned().collect();
        events.iter().map(|event| format!("{event}\n")).collect()
    }
}
