//! One connection of a client: what is known of it, and its end.

use super::close_policy::{should_close, CloseLimits, CloseReason, ConnectionState, RequestStage};
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
const BACKLOG_READ_WINDOW: Duration = Duration::from_millis(100);

/// A connection as it was accepted.
pub(super) struct AcceptedConnection {
    /// Its number in this process.
    pub(super) number: u64,
    /// Its stream.
    pub(super) stream: TcpStream,
    /// The other end.
    pub(super) peer: SocketAddr,
    /// The name of the listener that it came to.
    pub(super) listener_name: Rc<str>,
    /// How long it may have waited in the backlog.
    pub(super) backlog_wait: Duration,
    /// It came when there was no place left.
    pub(super) over_limit: bool,
}

/// One connection.
pub(super) struct ClientConnection {
    /// Its number in this process.
    pub(super) number: u64,
    pub(super) socket: Rc<Socket>,
    /// The other end.
    pub(super) peer: SocketAddr,
    /// Its address without the port, as a header says it.
    pub(super) address: HeaderValue,
    /// The name of the listener that it came to.
    pub(super) listener_name: Rc<str>,
    pub(super) stage: Cell<RequestStage>,
    pub(super) idle_since: Cell<Nanos>,
    /// When it connected, until its first request is there.
    pub(super) awaiting_first_request_since: Cell<Option<Instant>>,
    pub(super) last_progress_at: Cell<Nanos>,
    /// How long its first request may have waited in the backlog, and until when it counts as one that did.
    pub(super) backlog_wait: Cell<Duration>,
    pub(super) backlog_wait_until: Instant,
    /// How long the request under way may have waited there; nothing for all but the first.
    pub(super) request_backlog_wait: Cell<Duration>,
    /// It came when there was no room left: it is only answered 503.
    pub(super) over_limit: bool,
    /// Why it is about to be closed.
    pub(super) pending_close: Cell<Option<CloseReason>>,
    /// The next answer is its last.
    pub(super) close_after_answer: Cell<bool>,
    /// All of the request under way is here.
    pub(super) request_complete: Cell<bool>,
    /// How long the body of the request under way is, where that is known.
    pub(super) request_body_length: Cell<Option<u64>>,
    /// The last answer may have left some of its request unread.
    pub(super) request_left_unread: Cell<bool>,
    pub(super) close_signal: Notify,
    /// The request under way, once its class is known.
    pub(super) tracker: RefCell<Option<RequestTracker>>,
    /// The rest of a body that was passed on in part and is not wanted any longer.
    pub(super) unread_body: RefCell<Option<Incoming>>,
    pub(super) _slot: Slot,
}

impl ClientConnection {
    /// A connection that has just been accepted.
    pub(super) fn new(connection: AcceptedConnection, now: Nanos, slot: Slot) -> Rc<Self> {
        let AcceptedConnection {
            number,
            stream,
            peer,
            listener_name: listener,
            backlog_wait: waited,
            over_limit: surplus,
        } = connection;
        let address = HeaderValue::try_from(peer.ip().to_string());
        Rc::new(ClientConnection {
            number,
            socket: Socket::new(stream),
            peer,
            address: address.unwrap_or(HeaderValue::from_static("unknown")),
            listener_name: listener,
            stage: Cell::new(RequestStage::Idle),
            idle_since: Cell::new(now),
            awaiting_first_request_since: Cell::new(Some(Instant::now())),
            last_progress_at: Cell::new(now),
            backlog_wait: Cell::new(waited),
            backlog_wait_until: Instant::now() + BACKLOG_READ_WINDOW,
            request_backlog_wait: Cell::default(),
            over_limit: surplus,
            pending_close: Cell::new(None),
            close_after_answer: Cell::new(false),
            request_complete: Cell::new(false),
            request_body_length: Cell::new(None),
            request_left_unread: Cell::new(false),
            close_signal: Notify::new(),
            tracker: RefCell::default(),
            unread_body: RefCell::default(),
            _slot: slot,
        })
    }

    /// What a decision on its end goes by, as of now.
    pub(super) fn state(&self, now: Nanos) -> ConnectionState {
        let since = |at: Option<Instant>| at.map(|at| at.elapsed());
        let stage = match self.stage.get() {
            // Hyper has the end of the answer, and the client has not taken it.
            RequestStage::Idle if !self.socket.has_flushed() => RequestStage::WritingAnswer,
            stage => stage,
        };
        ConnectionState {
            stage,
            since_first_byte: since(self.socket.first_byte_at.get()),
            since_accept: since(self.awaiting_first_request_since.get()),
            since_progress: Duration::from_nanos(now.saturating_sub(self.last_progress_at.get())),
        }
    }

    /// Between requests, as far as has been read.
    pub(super) fn is_between_requests(&self) -> bool {
        self.stage.get() == RequestStage::Idle && self.socket.first_byte_at.get().is_none()
    }

    /// A request of this class is being read.
    pub(super) fn track_request(&self, class: &ClassMetrics) {
        let mut tally = RequestTracker::new(class.clone());
        if self.over_limit {
            tally.mark_over_limit();
        }
        self.tracker.replace(Some(tally));
    }

    /// How long all of the request under way may have waited before it could be read. One whose last byte comes only now has not.
    pub(super) fn request_backlog_wait_nanos(&self) -> Nanos {
        match Instant::now() < self.backlog_wait_until {
            true => self.request_backlog_wait.get().as_nanos() as Nanos,
            false => 0,
        }
    }

    /// The last byte of the request has come.
    pub(super) fn mark_request_received(&self, now: Nanos) {
        self.request_complete.set(true);
        if let Some(tally) = &mut *self.tracker.borrow_mut() {
            tally.mark_received(now);
        }
    }

    /// Ends when the client has left while its request, of which all is here, waits for its answer. One that has only ended
    /// its sending has left too: it cannot be distinguished from one that has closed, and the protocol has both mean the same
    /// where a node does it. On the platform, whose clients send one request at a time, what else they send must not
    /// hide their end.
    pub(super) async fn client_left(&self, one_at_a_time: bool) {
        poll_fn(|cx| match self.stage.get() == RequestStage::AwaitingAnswer && self.request_complete.get() {
            true => self.socket.poll_peer_closed(cx, one_at_a_time.then_some(&self.close_after_answer)),
            false => Poll::Pending,
        })
        .await
    }

    /// Has the task that serves the connection close it; that task sleeps and has to be woken, or it holds its descriptor
    /// until the client leaves.
    pub(super) fn request_close(&self, reason: CloseReason) {
        self.pending_close.set(Some(reason));
        self.close_signal.notify_one();
    }

    /// Closes the connection for this reason where it may be closed; whether it is.
    pub(super) fn close_if_allowed(&self, reason: CloseReason, now: Nanos, limits: &CloseLimits) -> bool {
        // One that is closed behind its answer may still stall.
        let chosen = self.pending_close.get().is_some() && reason != CloseReason::Stalled;
        let closes = !chosen && should_close(reason, &self.state(now), limits, || !self.socket.is_quiet());
        if closes {
            self.request_close(reason);
        }
        closes
    }
}
