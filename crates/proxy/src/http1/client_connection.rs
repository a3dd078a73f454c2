//! State of one client connection, and requests to close it.

use super::close_policy::{
    should_close, CloseLimits, CloseReason, ConnectionState, RequestPace, RequestStage,
};
use crate::socket::Socket;
use corkhollow_balance::interface::Nanos;
use corkhollow_engine::PendingAnswer;
use corkhollow_operate::{ClassMetrics, RequestTracker};
use corkhollow_plan::limits::Slot;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A request that arrived complete while its connection was in the backlog is read within this time after
/// accept.
const BACKLOG_READ_WINDOW: Duration = Duration::from_millis(100);

/// A connection just accepted from a listener.
pub(super) struct AcceptedConnection {
    /// Number unique in this process.
    pub(super) number: u64,
    pub(super) stream: TcpStream,
    pub(super) peer: SocketAddr,
    pub(super) listener_name: Rc<str>,
    /// Upper bound on the time that the connection spent in the backlog.
    pub(super) backlog_wait: Duration,
    /// Whether the connection limit was reached when it was accepted, and nothing could be closed for it.
    pub(super) over_limit: bool,
}

/// State of one client connection, shared by the task that serves it and by the code that closes it.
pub(super) struct ClientConnection {
    /// Number unique in this process.
    pub(super) number: u64,
    pub(super) socket: Rc<Socket>,
    pub(super) peer: SocketAddr,
    /// The peer's IP address, for `X-Forwarded-For`.
    pub(super) address: HeaderValue,
    pub(super) listener_name: Rc<str>,
    pub(super) stage: Cell<RequestStage>,
    pub(super) idle_since: Cell<Nanos>,
    /// The earliest time at which the client may have connected; `None` once its first request head has been read.
    pub(super) connected_at: Cell<Option<Instant>>,
    /// The same for the current request; `None` for all but the first.
    pub(super) request_connected_at: Cell<Option<Instant>>,
    /// The body of the current request is passed on as it comes, and its next bytes have not come yet.
    pub(super) awaits_body: Cell<bool>,
    /// When bytes were last found to have moved, or an answer to be awaited, by the periodic check.
    pub(super) last_progress_at: Cell<Nanos>,
    /// Upper bound on the time that the connection spent in the backlog; zero once its first request has
    /// begun.
    pub(super) backlog_wait: Cell<Duration>,
    /// A request that is complete before this instant may have waited in the backlog.
    pub(super) backlog_wait_until: Instant,
    /// Upper bound on the time that the current request spent in the backlog; zero for all but the first.
    pub(super) request_backlog_wait: Cell<Duration>,
    /// The connection was accepted beyond the connection limit: its request is answered 503.
    pub(super) over_limit: bool,
    /// Reason of a close that was requested and has not been carried out.
    pub(super) pending_close: Cell<Option<CloseReason>>,
    /// The connection is closed after the current or next answer.
    pub(super) close_after_answer: Cell<bool>,
    /// The last byte of the current request has been received.
    pub(super) request_complete: Cell<bool>,
    /// Length of the current request's body in bytes, if known.
    pub(super) request_body_length: Cell<Option<u64>>,
    /// The connection closes with part of a request possibly unread, so the close must linger.
    pub(super) request_left_unread: Cell<bool>,
    /// Wakes the serving task when a close is requested.
    pub(super) close_signal: Notify,
    /// Counts the current request; `None` until its class is known.
    pub(super) tracker: RefCell<Option<RequestTracker>>,
    /// The current request at its pool while its answer is passed on.
    pub(super) answered_request: RefCell<Option<PendingAnswer>>,
    /// Remainder of a request body that was forwarded in part and is no longer wanted by any attempt.
    pub(super) unread_body: RefCell<Option<Incoming>>,
    /// Holds the connection's place in the budget.
    pub(super) _slot: Slot,
}

impl ClientConnection {
    /// Wraps an accepted connection; `now` is the start of its idle time.
    pub(super) fn new(connection: AcceptedConnection, now: Nanos, slot: Slot) -> Rc<Self> {
        let AcceptedConnection { number, stream, peer, listener_name, backlog_wait, over_limit } = connection;
        let address = HeaderValue::try_from(peer.ip().to_string());
        Rc::new(ClientConnection {
            number,
            socket: Socket::new(stream),
            peer,
            address: address.unwrap_or(HeaderValue::from_static("unknown")),
            listener_name,
            stage: Cell::new(RequestStage::Idle),
            idle_since: Cell::new(now),
            connected_at: Cell::new(Some(Instant::now() - backlog_wait)),
            request_connected_at: Cell::default(),
            awaits_body: Cell::default(),
            last_progress_at: Cell::new(now),
            backlog_wait: Cell::new(backlog_wait),
            backlog_wait_until: Instant::now() + BACKLOG_READ_WINDOW,
            request_backlog_wait: Cell::default(),
            over_limit,
            pending_close: Cell::new(None),
            close_after_answer: Cell::new(false),
            request_complete: Cell::new(false),
            request_body_length: Cell::new(None),
            request_left_unread: Cell::new(false),
            close_signal: Notify::new(),
            tracker: RefCell::default(),
            answered_request: RefCell::default(),
            unread_body: RefCell::default(),
            _slot: slot,
        })
    }

    /// Snapshot for a close decision at `now`.
    pub(super) fn state(&self, now: Nanos) -> ConnectionState {
        let since = |instant: Option<Instant>| instant.map(|instant| instant.elapsed());
        let stage = match self.stage.get() {
            // hyper has taken the whole answer but has not flushed it to the client.
            RequestStage::Idle if !self.socket.has_flushed() => RequestStage::WritingAnswer,
            stage => stage,
        };
        ConnectionState {
            stage,
            since_first_byte: since(self.socket.first_byte_at.get()),
            since_connect: since(self.connected_at.get()),
            owes_bytes: self.owes_bytes(),
            since_last_byte: self.socket.last_received_at.get().elapsed(),
            since_progress: Duration::from_nanos(now.saturating_sub(self.last_progress_at.get())),
            written_bytes: self.socket.written_bytes.get(),
        }
    }

    /// Whether no byte of a further request has been read.
    pub(super) fn is_between_requests(&self) -> bool {
        self.stage.get() == RequestStage::Idle && self.socket.first_byte_at.get().is_none()
    }

    /// Whether the client has begun to send something and has yet to send the rest of it.
    pub(super) fn owes_bytes(&self) -> bool {
        match self.stage.get() {
            RequestStage::Idle => self.socket.first_byte_at.get().is_some(),
            RequestStage::ReadingBody => !self.request_complete.get(),
            RequestStage::Lingering => true,
            RequestStage::AwaitingAnswer => self.awaits_body.get() && !self.request_complete.get(),
            RequestStage::WritingAnswer => false,
        }
    }

    /// Where the connection stands among those that owe bytes: the first are refused first.
    pub(super) fn refusal_rank(&self) -> (RequestPace, Instant) {
        let (last, first) = (self.socket.last_received_at.get(), self.socket.first_byte_at.get());
        let since_first_byte = first.map_or(Duration::ZERO, |first| first.elapsed());
        let pace =
            RequestPace::of(self.socket.has_resumed.get(), self.socket.received_bytes(), since_first_byte);
        match pace {
            RequestPace::Slow => (pace, first.unwrap_or(last)),
            RequestPace::Stopped | RequestPace::Steady => (pace, last),
        }
    }

    /// Whether the kernel may hold the rest of what the client owes. Asks the kernel.
    pub(super) fn may_have_unread_rest(&self) -> bool {
        let missing_bytes = match (self.stage.get(), self.request_body_length.get()) {
            (RequestStage::Lingering, _) => return false,
            (RequestStage::ReadingBody | RequestStage::AwaitingAnswer, Some(length)) => {
                self.socket.missing_bytes(length)
            }
            _ => None,
        };
        missing_bytes.unwrap_or(0) == 0 && !self.socket.is_quiet()
    }

    /// Whether the kernel holds input that decides on a close for this reason. Asks the kernel.
    pub(super) fn has_unread(&self, reason: CloseReason) -> bool {
        match reason {
            CloseReason::Incomplete => self.may_have_unread_rest(),
            _ => !self.socket.is_quiet(),
        }
    }

    /// Starts counting the current request under this class.
    pub(super) fn track_request(&self, class: &ClassMetrics) {
        let mut tracker = RequestTracker::new(class.clone());
        if self.over_limit {
            tracker.mark_over_limit();
        }
        self.tracker.replace(Some(tracker));
    }

    /// How long the current request, complete by now, may have waited in the backlog. Zero where its last
    /// byte came after [`BACKLOG_READ_WINDOW`]: the client was still sending.
    pub(super) fn effective_backlog_wait(&self) -> Nanos {
        match Instant::now() < self.backlog_wait_until {
            true => self.request_backlog_wait.get().as_nanos() as Nanos,
            false => 0,
        }
    }

    /// Notes that the last byte of the current request has been received.
    pub(super) fn mark_request_received(&self, now: Nanos) {
        self.request_complete.set(true);
        // The serving task looks out for the client's close from now on.
        self.close_signal.notify_one();
        if let Some(tracker) = &mut *self.tracker.borrow_mut() {
            tracker.mark_received(now);
        }
    }

    /// Completes when the client closes the connection while its complete request awaits an answer. A
    /// half-close counts as leaving: it cannot be told from a full close. Bytes that the client sends
    /// meanwhile are buffered for hyper. With `one_at_a_time` (no pipelining, as on the platform), bytes
    /// beyond the buffer are discarded, so that they cannot hide the close behind them, and the connection
    /// closes after the answer.
    pub(super) async fn client_left(&self, one_at_a_time: bool) {
        poll_fn(|cx| match self.stage.get() == RequestStage::AwaitingAnswer && self.request_complete.get() {
            true => self.socket.poll_peer_closed(cx, one_at_a_time.then_some(&self.close_after_answer)),
            false => Poll::Pending,
        })
        .await
    }

    /// Completes when a client that sends one request at a time has closed the connection, also behind bytes that it
    /// should not have sent.
    pub(super) fn poll_peer_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.socket.poll_peer_closed(cx, Some(&self.close_after_answer))
    }

    /// Requests a close and wakes the task that serves the connection, which would otherwise keep the
    /// descriptor until the client leaves.
    pub(super) fn request_close(&self, reason: CloseReason) {
        self.pending_close.set(Some(reason));
        self.close_signal.notify_one();
    }

    /// Requests a close for this reason if the connection's state allows it; returns whether it did.
    pub(super) fn close_if_allowed(&self, reason: CloseReason, now: Nanos, limits: &CloseLimits) -> bool {
        // A connection that closes after its answer may still stall while writing it, or before that.
        let waits_for_client = matches!(reason, CloseReason::Stalled | CloseReason::Incomplete);
        let already_closing = self.pending_close.get().is_some_and(|p| p == reason || !waits_for_client);
        let may_close =
            !already_closing && should_close(reason, &self.state(now), limits, || self.has_unread(reason));
        if may_close {
            self.request_close(reason);
        }
        may_close
    }
}
