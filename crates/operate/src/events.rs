//! The last events of requests and connections, kept in memory for whoever looks for a cause afterwards. Each names its subject and
//! the reason, where there was a choice.

use corkhollow_balance::interface::{Ending, Nanos, RequestId};
use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How many events are kept; older ones go.
const MAX_EVENTS: usize = 2_048;
/// How much of a client's own request id is kept, in bytes.
const MAX_ID: usize = 32;

/// A client's own id of a request, cut to what is kept of it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ClientRequestId {
    bytes: [u8; MAX_ID],
    length: u8,
}

impl ClientRequestId {
    /// Keeps the beginning of an id; bytes that are not printable become dots.
    pub fn new(id: &[u8]) -> Self {
        let mut bytes = [0; MAX_ID];
        let kept = id.len().min(MAX_ID);
        for (to, from) in bytes.iter_mut().zip(id) {
            *to = if from.is_ascii_graphic() { *from } else { b'.' };
        }
        ClientRequestId { bytes, length: kept as u8 }
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

/// Who an event is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request, by its number in its pool.
    Request {
        /// The pool's name.
        pool: Arc<str>,
        /// The number.
        number: RequestId,
    },
    /// A client's connection, by its number in the process.
    Connection(u64),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request was taken: its client's own id.
    Received(ClientRequestId),
    /// An attempt was sent on its way.
    AttemptSent {
        /// Its number among the request's attempts.
        attempt: u8,
        /// The server's name.
        server: Arc<str>,
        /// It runs beside another one.
        hedge: bool,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Its number.
        attempt: u8,
        /// How.
        ending: Ending,
    },
    /// What was proposed was denied, for this reason.
    Denied(&'static str),
    /// The request has its final answer, for this reason where there was a choice.
    Answered(&'static str),
    /// Its client left before there was an answer.
    ClientLeft,
    /// The connection ended, for this reason.
    Closed(&'static str),
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// When, on the process's clock.
    pub at: Nanos,
    /// Who it is about.
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

/// The last events. Cheap to clone; written by the serving thread, read by any.
#[derive(Clone, Debug, Default)]
pub struct EventLog(Arc<Mutex<VecDeque<Record>>>);

impl EventLog {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps an event, in place of the oldest one where there is no room.
    pub fn record(&self, at: Nanos, subject: Subject, event: Event) {
        let mut events = self.lock();
        if events.len() >= MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(Record { at, subject, event });
    }

    /// A line for each, the oldest first.
    pub fn render(&self) -> String {
        // Written without the lock: the serving thread must not wait for a reader.
        let events: Vec<Record> = self.lock().iter().cloned().collect();
        events.iter().map(|event| format!("{event}\n")).collect()
    }
}
