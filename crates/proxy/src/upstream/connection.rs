//! One connection to a server.

use super::upstreams::{ConnectionPermit, Upstreams};
use crate::body::RequestBody;
use crate::socket::{is_out_of_descriptors, Socket, SocketIo};
use corkhollow_balance::interface::Nanos;
use corkhollow_plan::limits::Slot;
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

/// InterimBuffer answers of one request that are passed on; a server that sends more says nothing by them.
const MOST_INTERIMS: usize = 16;

/// A connection with hyper's two halves. There is no task behind it: whoever uses it drives it.
pub(super) struct ServerConnection {
    pub(super) socket: Rc<Socket>,
    pub(super) sender: SendRequest<RequestBody>,
    /// In a permit of its own: it is large, and a connection is handed on twice for each attempt.
    pub(super) driver: Option<Box<Connection<TokioIo<SocketIo>, RequestBody>>>,
    pub(super) interim_answers: InterimAnswers,
    /// More has come than the answer that was asked for.
    pub(super) has_surplus_bytes: bool,
    pub(super) _slot: Slot,
    pub(super) _permit: ConnectionPermit,
}

/// A connection that waits for its next request.
pub(super) struct IdleConnection {
    pub(super) connection: ServerConnection,
    /// When it came up.
    pub(super) opened_at: Nanos,
    /// Since when it waits.
    pub(super) idle_since: Nanos,
}

/// InterimBuffer answers (1xx) that have come on a connection and have not been passed on. (Hyper may tell of them on any
/// thread.)
#[derive(Clone, Default)]
pub(super) struct InterimAnswers(Arc<Mutex<InterimBuffer>>);

#[derive(Default)]
struct InterimBuffer {
    /// How many this request has brought.
    count: usize,
    left: Vec<(StatusCode, HeaderMap)>,
}

impl InterimAnswers {
    fn lock(&self) -> MutexGuard<'_, InterimBuffer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn note(&self, status: StatusCode, headers: &HeaderMap) {
        let mut interim_answers = self.lock();
        interim_answers.count += 1;
        if interim_answers.count <= MOST_INTERIMS {
            interim_answers.left.push((status, headers.clone()));
        }
    }

    pub(super) fn take(&self) -> Option<Vec<(StatusCode, HeaderMap)>> {
        let mut interim_answers = self.lock();
        (!interim_answers.left.is_empty()).then(|| std::mem::take(&mut interim_answers.left))
    }
}

impl ServerConnection {
    /// What comes of interim answers from here on.
    pub(super) fn start_interim_answers(&self) -> InterimAnswers {
        *self.interim_answers.lock() = InterimBuffer::default();
        self.interim_answers.clone()
    }

    pub(super) fn poll_driver(&mut self, cx: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver {
            if let Poll::Ready(ended) = Pin::new(&mut **driver).poll(cx) {
                self.driver = None;
                // What the socket fails with has a source.
                let unasked =
                    |e: &hyper::Error| std::error::Error::source(e).is_none() && !e.is_incomplete_message();
                self.has_surplus_bytes = ended.as_ref().is_err_and(unasked);
            }
        }
    }

    /// Waits for something on the connection while that goes on.
    pub(super) async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.poll_driver(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether the connection can carry another request, now that an answer is read to its end.
    pub(super) async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_driver(cx);
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready()
    }
}

/// Why no connection was to be had.
pub(super) enum ConnectError {
    /// The server's side: it counts against the server.
    Failed,
    /// The node itself has no descriptor left.
    NoCapacity,
}

/// Opens a connection, as soon as the pool and the program have a permit for one.
pub(super) async fn connect(
    upstreams: &Rc<Upstreams>,
    address: SocketAddr,
) -> Result<ServerConnection, ConnectError> {
    let permit = upstreams.acquire_permit().await.ok_or(ConnectError::NoCapacity)?;
    let slot = loop {
        if let Some(slot) = upstreams.budget.server_slot() {
            break slot;
        }
        if upstreams.close_oldest_idle() {
            continue;
        }
        if !upstreams.abort_oldest_abandoned() {
            return Err(ConnectError::NoCapacity);
        }
        // What was told to stop gives its descriptor back when the runtime gets to it.
        tokio::task::yield_now().await;
    };
    let stream =
        match tokio::time::timeout(upstreams.connect_timeout.get(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if is_out_of_descriptors(&e) => return Err(ConnectError::NoCapacity),
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Failed),
        };
    let socket = Socket::new(stream);
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
