//! What a request and its answer are made of between a front and the servers.

use crate::body::Pieces;
use bytes::Bytes;
use corkhollow_balance::interface::{Nanos, RequestId};
use http::{HeaderMap, Method, Uri};
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
    /// The whole body.
    pub body: Rc<Pieces>,
    /// When the client abandons it.
    pub give_up_at: Nanos,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A server's answer, read to its end.
    Whole {
        /// Its headers, none of the connection.
        headers: HeaderMap,
        /// Its body.
        body: Pieces,
    },
    /// A server's answer of which the rest is still to come.
    Stream {
        /// Its headers, none of the connection.
        headers: HeaderMap,
        /// The length of its body, where told.
        length: Option<u64>,
        /// Its body, piece by piece.
        pieces: mpsc::Receiver<Result<Bytes, Broken>>,
    },
    /// Turned away; a repeat is harmless.
    Refused {
        /// When to come back; 0 for no advice.
        retry_after: Nanos,
    },
    /// Failed, with no word on its effect.
    Failed {
        /// Its time was up.
        late: bool,
    },
}

/// The server's side of a long answer has broken: the client has to see that it is cut.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// What an attempt is known by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its number among the request's attempts, from 0.
    pub number: u8,
}
