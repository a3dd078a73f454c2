//! Connections to servers.

use super::upstreams::{ConnectionPermit, Upstreams};
use crate::body::RequestBody;
use crate::shortage::reclaim;
use crate::socket::{is_out_of_descriptors, Socket, SocketIo};
use corkhollow_balance::interface::Nanos;
use corkhollow_plan::limits::{Arrival, Slot};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{HeaderMap, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// Interim answers forwarded for one request; further ones are dropped.
const MAX_INTERIM_ANSWERS: usize = 16;

/// A connection with the two halves of hyper's client. No task drives it: its user polls the driver.
pub(super) struct ServerConnection {
    pub(super) socket: Rc<Socket>,
    pub(super) sender: SendRequest<RequestBody>,
    /// Boxed because it is large and a connection is moved twice for each attempt. `None` once it has ended.
    pub(super) driver: Option<Box<Connection<TokioIo<SocketIo>, RequestBody>>>,
    pub(super) interim_answers: InterimAnswers,
    /// The server sent bytes beyond the answer to the request.
    pub(super) has_surplus_bytes: bool,
    pub(super) _slot: Slot,
    pub(super) _permit: ConnectionPermit,
}

/// A connection that is kept for reuse.
pub(super) struct IdleConnection {
    pub(super) connection: ServerConnection,
    pub(super) opened_at: Nanos,
    pub(super) idle_since: Nanos,
}

/// Interim answers (1xx) received on a connection and not forwarded yet. Behind a mutex because hyper's
/// callback must be `Send`.
#[derive(Clone, Default)]
pub(super) struct InterimAnswers(Arc<Mutex<InterimBuffer>>);

#[derive(Default)]
struct InterimBuffer {
    /// Received for this request.
    count: usize,
    pending: Vec<(StatusCode, HeaderMap)>,
}

impl InterimAnswers {
    fn lock(&self) -> MutexGuard<'_, InterimBuffer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn push(&self, status: StatusCode, headers: &HeaderMap) {
        let mut buffer = self.lock();
        buffer.count += 1;
        if buffer.count <= MAX_INTERIM_ANSWERS {
            buffer.pending.push((status, headers.clone()));
        }
    }

    pub(super) fn take(&self) -> Option<Vec<(StatusCode, HeaderMap)>> {
        let mut buffer = self.lock();
        (!buffer.pending.is_empty()).then(|| std::mem::take(&mut buffer.pending))
    }
}

impl ServerConnection {
    /// Clears the buffer for a new request and returns a handle to it.
    pub(super) fn start_interim_answers(&self) -> InterimAnswers {
        *self.interim_answers.lock() = InterimBuffer::default();
        self.interim_answers.clone()
    }

    /// Lets hyper make progress on the connection.
    pub(super) fn poll_driver(&mut self, cx: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver {
            if let Poll::Ready(result) = Pin::new(&mut **driver).poll(cx) {
                self.driver = None;
                // An I/O error has a source; an unexpected message from the server has none.
                let is_unexpected_message = |error: &hyper::Error| {
                    std::error::Error::source(error).is_none() && !error.is_incomplete_message()
                };
                self.has_surplus_bytes = result.as_ref().is_err_and(is_unexpected_message);
            }
        }
    }

    /// Drives the connection until the future completes.
    pub(super) async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll_driver(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether the connection can carry another request, after an answer was read to its end.
    pub(super) async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_driver(cx);
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready()
    }
}

/// Why no connection was opened.
pub(super) enum ConnectError {
    /// The server refused the connection or did not accept it in time; counts against the server.
    Failed,
    /// A limit of the pool or of this process is reached; does not count against the server.
    NoCapacity,
}

/// Counts one more connection, if need be in place of idle ones.
fn acquire_server_slot(upstreams: &Upstreams, arrival: Arrival) -> Option<Slot> {
    loop {
        let slot = upstreams.budget.server_slot(arrival);
        if slot.is_some() || !upstreams.close_oldest_idle() {
            return slot;
        }
    }
}

/// Opens a connection for such a request once the limits of the pool and of this process allow for one.
pub(super) async fn connect(
    upstreams: &Rc<Upstreams>,
    address: SocketAddr,
    arrival: Arrival,
) -> Result<ServerConnection, ConnectError> {
    let permit = upstreams.acquire_permit().await.ok_or(ConnectError::NoCapacity)?;
    let slot = loop {
        if let Some(slot) = acquire_server_slot(upstreams, arrival) {
            break slot;
        }
        if !upstreams.abort_oldest_abandoned() {
            let slot = reclaim(&upstreams.budget, || acquire_server_slot(upstreams, arrival)).await;
            break slot.ok_or(ConnectError::NoCapacity)?;
        }
        // An aborted task releases its descriptor only when the runtime drops it.
        tokio::task::yield_now().await;
    };
    let stream =
        match tokio::time::timeout(upstreams.connect_timeout.get(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_out_of_descriptors(&error) => return Err(ConnectError::NoCapacity),
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Failed),
        };
    let socket = Socket::new_upstream(stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(upstreams.read_buffer_bytes);
    let handshake = builder.handshake(TokioIo::new(SocketIo(socket.clone()))).await;
    let (sender, driver) = handshake.map_err(|_| ConnectError::Failed)?;
    Ok(ServerConnection {
        socket,
        sender,
        driver: Some(Box::new(driver)),
        interim_answers: InterimAnswers::default(),
        has_surplus_bytes: false,
        _slot: slot,
        _permit: permit,
    })
}
