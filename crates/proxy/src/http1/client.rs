//! One connection of a client: what is known of it, and its end.

use super::closing::{should_close, CloseLimits, CloseReason, ConnectionState, Stage};
use crate::socket::Socket;
use corkhollow_balance::interface::Nanos;
use corkhollow_operate::{ClassMetrics, RequestTracker};
use corkhollow_plan::limits::Slot;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What has waited whole in the backlog is read within this from when its connection is accepted.
const READ_AT_ONCE: Duration = Duration::from_millis(100);

/// A connection as it was accepted.
pub(super) struct Connection {
    /// Its number in this process.
    pub(super) number: u64,
    /// Its stream.
    pub(super) stream: TcpStream,
    /// The other end.
    pub(super) peer: SocketAddr,
    /// The name of the listener that it came to.
    pub(super) listener: Rc<str>,
    /// How long it may have waited in the backlog.
    pub(super) waited: Duration,
    /// It came when there was no place left.
    pub(super) surplus: bool,
}

/// One connection.
pub(super) struct Client {
    /// Its number in this process.
    pub(super) number: u64,
    pub(super) socket: Rc<Socket>,
    /// The other end.
    pub(super) peer: SocketAddr,
    /// Its address without the port, as a header says it.
    pub(super) address: HeaderValue,
    /// The name of the listener that it came to.
    pub(super) listener: Rc<str>,
    pub(super) stage: Cell<Stage>,
    pub(super) idle_since: Cell<Nanos>,
    /// When it connected, until its first request is there.
    pub(super) fresh_since: Cell<Option<Instant>>,
    pub(super) still_since: Cell<Nanos>,
    /// How long its first request may have waited in the backlog, and until when it counts as one that did.
    pub(super) waited: Cell<Duration>,
    pub(super) waited_until: Instant,
    /// How long the request under way may have waited there; nothing for all but the first.
    pub(super) request_waited: Cell<Duration>,
    /// It came when there was no room left: it is only answered 503.
    pub(super) surplus: bool,
    /// Why it is about to be closed.
    pub(super) closing: Cell<Option<CloseReason>>,
    /// The next answer is its last.
    pub(super) last: Cell<bool>,
    /// All of the request under way is here.
    pub(super) whole: Cell<bool>,
    /// How long the body of the request under way is, where that is known.
    pub(super) body_length: Cell<Option<u64>>,
    /// The last answer may have left some of its request unread.
    pub(super) unread: Cell<bool>,
    pub(super) close: Notify,
    /// The request under way, once its class is known.
    pub(super) tally: RefCell<Option<RequestTracker>>,
    /// The rest of a body that was passed on in part and is not wanted any longer.
    pub(super) rest: RefCell<Option<Incoming>>,
    pub(super) _slot: Slot,
}

impl Client {
    /// A connection that has just been accepted.
    pub(super) fn new(connection: Connection, now: Nanos, slot: Slot) -> Rc<Self> {
        let Connection { number, stream, peer, listener, waited, surplus } = connection;
        let address = HeaderValue::try_from(peer.ip().to_string());
        Rc::new(Client {
            number,
            socket: Socket::new(stream),
            peer,
            address: address.unwrap_or(HeaderValue::from_static("unknown")),
            listener,
            stage: Cell::new(Stage::Idle),
            idle_since: Cell::new(now),
            fresh_since: Cell::new(Some(Instant::now())),
            still_since: Cell::new(now),
            waited: Cell::new(waited),
            waited_until: Instant::now() + READ_AT_ONCE,
            request_waited: Cell::default(),
            surplus,
            closing: Cell::new(None),
            last: Cell::new(false),
            whole: Cell::new(false),
            body_length: Cell::new(None),
            unread: Cell::new(false),
            close: Notify::new(),
            tally: RefCell::default(),
            rest: RefCell::default(),
            _slot: slot,
        })
    }

    /// What a decision on its end goes by, as of now.
    pub(super) fn state(&self, now: Nanos) -> ConnectionState {
        let since = |at: Option<Instant>| at.map(|at| at.elapsed());
        let stage = match self.stage.get() {
            // Hyper has the end of the answer, and the client has not taken it.
            Stage::Idle if !self.socket.has_flushed() => Stage::Writing,
            stage => stage,
        };
        ConnectionState {
            stage,
            head_for: since(self.socket.first_byte_at.get()),
            silent_for: since(self.fresh_since.get()),
            still_for: Duration::from_nanos(now.saturating_sub(self.still_since.get())),
        }
    }

    /// Between requests, as far as has been read.
    pub(super) fn resting(&self) -> bool {
        self.stage.get() == Stage::Idle && self.socket.first_byte_at.get().is_none()
    }

    /// A request of this class is being read.
    pub(super) fn count(&self, class: &ClassMetrics) {
        let mut tally = RequestTracker::new(class.clone());
        if self.surplus {
            tally.no_place();
        }
        self.tally.replace(Some(tally));
    }

    /// How long all of the request under way may have waited before it could be read. One whose last byte comes only now has not.
    pub(super) fn waited(&self) -> Nanos {
        match Instant::now() < self.waited_until {
            true => self.request_waited.get().as_nanos() as Nanos,
            false => 0,
        }
    }

    /// The last byte of the request has come.
    pub(super) fn taken(&self, now: Nanos) {
        self.whole.set(true);
        if let Some(tally) = &mut *self.tally.borrow_mut() {
            tally.take(now);
        }
    }

    /// Ends when the client has left while its request, of which all is here, waits for its answer. One that has only ended
    /// its sending has left too: it cannot be distinguished from one that has closed, and the protocol has both mean the same
    /// where a node does it. On the platform, whose clients send one request at a time, what else they send must not
    /// hide their end.
    pub(super) async fn leaves(&self, one_at_a_time: bool) {
        poll_fn(|cx| match self.stage.get() == Stage::Waiting && self.whole.get() {
            true => self.socket.poll_peer_closed(cx, one_at_a_time.then_some(&self.last)),
            false => Poll::Pending,
        })
        .await
    }

    /// Has the task that serves the connection close it; that task sleeps and has to be woken, or it holds its descriptor
    /// until the client leaves.
    pub(super) fn close_for(&self, reason: CloseReason) {
        self.closing.set(Some(reason));
        self.close.notify_one();
    }

    /// Closes the connection for this reason where it may be closed; whether it is.
    pub(super) fn close_if(&self, reason: CloseReason, now: Nanos, limits: &CloseLimits) -> bool {
        // One that is closed behind its answer may still stall.
        let chosen = self.closing.get().is_some() && reason != CloseReason::Stalled;
        let closes = !chosen && should_close(reason, &self.state(now), limits, || !self.socket.is_quiet());
        if closes {
            self.close_for(reason);
        }
        closes
    }
}
