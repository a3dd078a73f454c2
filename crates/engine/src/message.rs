//! The request and answer types that pass between the client side, the engine and the
//! [`Transport`](crate::Transport).

use crate::body::BufferedBody;
use crate::stored_headers::StoredHeaders;
use bytes::Bytes;
use corkhollow_balance::interface::{Nanos, RequestId};
use corkhollow_plan::limits::write_stall_timeout;
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body::{Body, Frame};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// A client's request in the form in which each attempt sends it.
#[derive(Debug)]
pub struct Message {
    /// The request method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The end-to-end headers; hop-by-hop headers are removed.
    pub headers: StoredHeaders,
    /// The request body.
    pub payload: Payload,
    /// When the client gives up waiting.
    pub deadline: Nanos,
    /// Receives interim (1xx) answers; `None` if the client cannot be sent any.
    pub interim_handler: Option<InterimHandler>,
}

/// A callback that forwards a server's interim (1xx) answers to the waiting client (RFC 9110, section 15.2).
#[derive(Clone)]
pub struct InterimHandler(Rc<dyn Fn(StatusCode, HeaderMap)>);

impl InterimHandler {
    /// Calls `handler` with the status and headers of each interim answer.
    pub fn new(handler: impl Fn(StatusCode, HeaderMap) + 'static) -> Self {
        InterimHandler(Rc::new(handler))
    }

    pub(crate) fn forward(&self, status: StatusCode, headers: HeaderMap) {
        (self.0)(status, headers);
    }
}

impl std::fmt::Debug for InterimHandler {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("InterimHandler")
    }
}

/// The body of a request.
#[derive(Debug)]
pub enum Payload {
    /// Received completely; it can be sent more than once.
    Buffered(Rc<BufferedBody>),
    /// Still being received; it can be sent only once.
    Stream(Rc<Upload>),
}

impl Message {
    /// Whether an attempt has taken the streamed body, which leaves none for another attempt.
    pub fn is_body_consumed(&self) -> bool {
        matches!(&self.payload, Payload::Stream(upload) if upload.body.borrow().is_none())
    }

    /// The streamed body, if the body is not buffered.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match &self.payload {
            Payload::Buffered(_) => None,
            Payload::Stream(upload) => Some(upload),
        }
    }
}

/// A request body that is read from the client's connection.
pub type ClientBody = Pin<Box<dyn Body<Data = Bytes, Error = IncompleteBody>>>;

/// A request body that is forwarded while it is received.
pub struct Upload {
    body: RefCell<Option<ClientBody>>,
    /// The body's progress, updated by its reader.
    pub progress: Rc<UploadProgress>,
}

/// Tells whether all of a message has reached this machine, although it may not have been read yet.
pub struct ArrivalProbe(Box<dyn Fn() -> bool>);

impl ArrivalProbe {
    /// A probe that calls `has_arrived`.
    pub fn new(has_arrived: impl Fn() -> bool + 'static) -> Self {
        ArrivalProbe(Box::new(has_arrived))
    }

    fn has_arrived(&self) -> bool {
        (self.0)()
    }
}

impl std::fmt::Debug for ArrivalProbe {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ArrivalProbe")
    }
}

/// The progress of a streamed request body.
#[derive(Debug)]
pub struct UploadProgress {
    /// When a frame was last passed on towards a server; initially, when the body began.
    pub last_progress_at: Cell<Nanos>,
    /// Bytes passed on towards a server.
    pub forwarded_bytes: Cell<u64>,
    /// How long forwarding may stall, beside the time in which the server reads what was forwarded. At least the
    /// time that the reader allows the client for its next frame.
    pub stall_timeout: Duration,
    /// When the last byte was read or the body was cut off.
    pub ended_at: Cell<Option<Nanos>>,
    /// When the last byte was found to have reached this machine.
    arrived_at: Cell<Option<Nanos>>,
    arrival_probe: Option<ArrivalProbe>,
    /// The client failed to deliver the body; a failure of the attempt then does not count against the
    /// server.
    pub client_failed: Cell<bool>,
}

impl UploadProgress {
    /// The progress of a body that begins at `now`.
    pub fn new(now: Nanos, stall_timeout: Duration) -> Self {
        UploadProgress {
            last_progress_at: Cell::new(now),
            forwarded_bytes: Cell::new(0),
            stall_timeout,
            ended_at: Cell::new(None),
            arrived_at: Cell::new(None),
            arrival_probe: None,
            client_failed: Cell::new(false),
        }
    }

    /// The same progress with a probe for the arrival of the body's last byte.
    pub fn with_arrival_probe(self, probe: ArrivalProbe) -> Self {
        UploadProgress { arrival_probe: Some(probe), ..self }
    }

    /// When the last byte reached this machine, as of `now`, or the body was cut off; `None` if it is still on
    /// its way. A server that does not read keeps the rest of a body unread, and its client waits all the same.
    pub fn arrived_at(&self, now: Nanos) -> Option<Nanos> {
        let known = self.arrived_at.get().or(self.ended_at.get());
        if known.is_none() && self.arrival_probe.as_ref().is_some_and(ArrivalProbe::has_arrived) {
            self.arrived_at.set(Some(now));
        }
        known.or(self.arrived_at.get())
    }

    /// Notes that a frame of this length is passed on towards a server.
    pub fn record_forwarded(&self, now: Nanos, bytes: u64) {
        self.last_progress_at.set(now);
        self.forwarded_bytes.set(self.forwarded_bytes.get() + bytes);
    }

    /// When forwarding counts as stalled unless another frame is passed on.
    pub fn stalled_at(&self) -> Nanos {
        let timeout = write_stall_timeout(self.stall_timeout, self.forwarded_bytes.get());
        self.last_progress_at.get().saturating_add(timeout.as_nanos() as Nanos)
    }
}

impl Upload {
    /// Wraps a body whose reader updates `progress`.
    pub fn new(body: ClientBody, progress: Rc<UploadProgress>) -> Rc<Self> {
        Rc::new(Upload { body: RefCell::new(Some(body)), progress })
    }

    /// Takes the body for an attempt; `None` if another attempt has it.
    pub fn take_body(&self) -> Option<ClientBody> {
        self.body.borrow_mut().take()
    }

    /// Returns a body from which nothing has been read, so that another attempt can take it.
    pub fn put_back(&self, body: ClientBody) {
        *self.body.borrow_mut() = Some(body);
    }
}

impl std::fmt::Debug for Upload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Upload({:?})", self.progress)
    }
}

/// A frame of a message body, or the error that the rest of the body will not arrive.
pub type BodyFrame = Result<Frame<Bytes>, IncompleteBody>;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A server's complete answer.
    Buffered {
        /// The status code.
        status: StatusCode,
        /// The end-to-end headers.
        headers: HeaderMap,
        /// The complete body.
        body: BufferedBody,
    },
    /// A server's answer whose body is still being received.
    Stream {
        /// The status code.
        status: StatusCode,
        /// The end-to-end headers.
        headers: HeaderMap,
        /// The length of the body in bytes, if the server declared it.
        length: Option<u64>,
        /// The frames of the body as they arrive.
        frames: mpsc::Receiver<BodyFrame>,
    },
    /// Refused without effect; the client may safely retry.
    Refused {
        /// Advised delay before a retry (`Retry-After`); 0 for none.
        retry_after: Nanos,
    },
    /// Failed; the request may or may not have taken effect.
    Failed {
        /// The request's deadline passed.
        timed_out: bool,
    },
}

/// The error that a body ended early. Readers must report the truncation instead of treating the body as
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl std::fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("body ended before it was complete")
    }
}

impl std::error::Error for IncompleteBody {}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within the request, starting at 0.
    pub number: u8,
}
