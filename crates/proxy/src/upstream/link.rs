//! One connection to a server.

use super::upstreams::{Place, Upstreams};
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

/// Interim answers of one request that are passed on; a server that sends more says nothing by them.
const MOST_INTERIMS: usize = 16;

/// A connection with hyper's two halves. There is no task behind it: whoever uses it drives it.
pub(super) struct Link {
    pub(super) socket: Rc<Socket>,
    pub(super) sender: SendRequest<RequestBody>,
    /// In a place of its own: it is large, and a link is handed on twice for each attempt.
    pub(super) connection: Option<Box<Connection<TokioIo<SocketIo>, RequestBody>>>,
    pub(super) heard: Heard,
    /// More has come than the answer that was asked for.
    pub(super) surplus: bool,
    pub(super) _slot: Slot,
    pub(super) _place: Place,
}

/// A connection that waits for its next request.
pub(super) struct Idle {
    pub(super) link: Link,
    /// When it came up.
    pub(super) opened: Nanos,
    /// Since when it waits.
    pub(super) since: Nanos,
}

/// Interim answers (1xx) that have come on a connection and have not been passed on. (Hyper may tell of them on any
/// thread.)
#[derive(Clone, Default)]
pub(super) struct Heard(Arc<Mutex<Interim>>);

#[derive(Default)]
struct Interim {
    /// How many this request has brought.
    count: usize,
    left: Vec<(StatusCode, HeaderMap)>,
}

impl Heard {
    fn lock(&self) -> MutexGuard<'_, Interim> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn note(&self, status: StatusCode, headers: &HeaderMap) {
        let mut heard = self.lock();
        heard.count += 1;
        if heard.count <= MOST_INTERIMS {
            heard.left.push((status, headers.clone()));
        }
    }

    pub(super) fn take(&self) -> Option<Vec<(StatusCode, HeaderMap)>> {
        let mut heard = self.lock();
        (!heard.left.is_empty()).then(|| std::mem::take(&mut heard.left))
    }
}

impl Link {
    /// What comes of interim answers from here on.
    pub(super) fn interims(&self) -> Heard {
        *self.heard.lock() = Interim::default();
        self.heard.clone()
    }

    pub(super) fn turn(&mut self, cx: &mut Context<'_>) {
        if let Some(connection) = &mut self.connection {
            if let Poll::Ready(ended) = Pin::new(&mut **connection).poll(cx) {
                self.connection = None;
                // What the socket fails with has a source.
                let unasked =
                    |e: &hyper::Error| std::error::Error::source(e).is_none() && !e.is_incomplete_message();
                self.surplus = ended.as_ref().is_err_and(unasked);
            }
        }
    }

    /// Waits for something on the connection while that goes on.
    pub(super) async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.turn(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether the connection can carry another request, now that an answer is read to its end.
    pub(super) async fn reusable(&mut self) -> bool {
        poll_fn(|cx| {
            self.turn(cx);
            Poll::Ready(())
        })
        .await;
        self.connection.is_some() && self.sender.is_ready()
    }
}

/// Why no connection was to be had.
pub(super) enum NoLink {
    /// The server's side: it counts against the server.
    Failed,
    /// The node itself has no descriptor left.
    Exhausted,
}

/// Opens a connection, as soon as the pool and the program have a place for one.
pub(super) async fn connect(upstreams: &Rc<Upstreams>, dial: SocketAddr) -> Result<Link, NoLink> {
    let place = upstreams.place().await.ok_or(NoLink::Exhausted)?;
    let slot = loop {
        if let Some(slot) = upstreams.budget.server() {
            break slot;
        }
        if upstreams.evict() {
            continue;
        }
        if !upstreams.stop_lingering() {
            return Err(NoLink::Exhausted);
        }
        // What was told to stop gives its descriptor back when the runtime gets to it.
        tokio::task::yield_now().await;
    };
    let stream = match tokio::time::timeout(upstreams.connect_timeout.get(), TcpStream::connect(dial)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if is_out_of_descriptors(&e) => return Err(NoLink::Exhausted),
        Ok(Err(_)) | Err(_) => return Err(NoLink::Failed),
    };
    let socket = Socket::new(stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(upstreams.buffer);
    let handshake = builder.handshake(TokioIo::new(SocketIo(socket.clone()))).await;
    let (sender, connection) = handshake.map_err(|_| NoLink::Failed)?;
    Ok(Link {
        socket,
        sender,
        connection: Some(Box::new(connection)),
        heard: Heard::default(),
        surplus: false,
        _slot: slot,
        _place: place,
    })
}
