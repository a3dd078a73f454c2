//! What a request and its answer are made of between a front and the servers.

use crate::body::BufferedBody;
use bytes::Bytes;
use corkhollow_balance::interface::{Nanos, RequestId};
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body::{Body, Frame};
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A client's request as every attempt sends it.
#[derive(Debug)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the message, none of the connection.
    pub headers: HeaderMap,
    /// The body.
    pub payload: Payload,
    /// When the client abandons it.
    pub deadline: Nanos,
    /// Where servers' interim answers go; none where the client's side cannot take them.
    pub interim_handler: Option<InterimHandler>,
}

/// What takes servers' interim answers (1xx) to a client that waits (RFC 9110, 15.2).
#[derive(Clone)]
pub struct InterimHandler(Rc<dyn Fn(StatusCode, HeaderMap)>);

impl InterimHandler {
    /// Calls this with each.
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
    /// All of it is here: it can be sent more than once.
    Buffered(Rc<BufferedBody>),
    /// It is still coming, and can be sent once.
    Stream(Rc<Upload>),
}

impl Message {
    /// The body has gone, in whole or in part, and is not there for another attempt.
    pub fn is_body_consumed(&self) -> bool {
        matches!(&self.payload, Payload::Stream(upload) if upload.body.borrow().is_none())
    }

    /// The body as it comes, where it is still coming.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match &self.payload {
            Payload::Buffered(_) => None,
            Payload::Stream(upload) => Some(upload),
        }
    }
}

/// A body as it comes from a client.
pub type ClientBody = Pin<Box<dyn Body<Data = Bytes, Error = IncompleteBody>>>;

/// The body of a request that is passed on while it comes.
pub struct Upload {
    body: RefCell<Option<ClientBody>>,
    /// How far it is.
    pub progress: Rc<UploadProgress>,
}

/// How far a body has come.
#[derive(Debug)]
pub struct UploadProgress {
    /// When a piece of it last went on towards a server; at first when it began.
    pub last_progress_at: Cell<Nanos>,
    /// How long it may stand still on its way, no less than whoever reads it gives the client for its next piece.
    pub stall_timeout: Nanos,
    /// When its last byte came, or it broke off.
    pub ended_at: Cell<Option<Nanos>>,
    /// The client's side has failed: what follows from that says nothing of the server.
    pub client_failed: Cell<bool>,
}

impl UploadProgress {
    /// Of a body that begins now.
    pub fn new(now: Nanos, stall_timeout: Nanos) -> Self {
        UploadProgress {
            last_progress_at: Cell::new(now),
            stall_timeout,
            ended_at: Cell::new(None),
            client_failed: Cell::new(false),
        }
    }
}

impl Upload {
    /// The body of one request; whoever reads it from the client notes its progress.
    pub fn new(body: ClientBody, progress: Rc<UploadProgress>) -> Rc<Self> {
        Rc::new(Upload { body: RefCell::new(Some(body)), progress })
    }

    /// The body, for an attempt; none where another has it.
    pub fn take_body(&self) -> Option<ClientBody> {
        self.body.borrow_mut().take()
    }

    /// Gives back a body of which nothing has been read.
    pub fn put_back(&self, body: ClientBody) {
        *self.body.borrow_mut() = Some(body);
    }
}

impl std::fmt::Debug for Upload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Upload({:?})", self.progress)
    }
}

/// A piece of an answer's body, or word that the rest will not come.
pub type BodyFrame = Result<Frame<Bytes>, IncompleteBody>;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A server's answer, read to its end.
    Buffered {
        /// Its status.
        status: StatusCode,
        /// Its headers, none of the connection.
        headers: HeaderMap,
        /// Its body.
        body: BufferedBody,
    },
    /// A server's answer of which the rest is still to come.
    Stream {
        /// Its status.
        status: StatusCode,
        /// Its headers, none of the connection.
        headers: HeaderMap,
        /// The length of its body, where told.
        length: Option<u64>,
        /// Its body, piece by piece.
        frames: mpsc::Receiver<BodyFrame>,
    },
    /// Turned away; a repeat is harmless.
    Refused {
        /// When to come back; 0 for no advice.
        retry_after: Nanos,
    },
    /// Failed, with no word on its effect.
    Failed {
        /// Its time was up.
        timed_out: bool,
    },
}

/// The rest of a body will not come: whoever reads it has to see that it is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl std::fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body broke off")
    }
}

impl std::error::Error for IncompleteBody {}

/// What an attempt is known by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub number: u8,
}
