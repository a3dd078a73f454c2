//! Request bodies: buffered for replay if short enough, streamed to the server otherwise.

use super::body_pace::{BodyPace, PaceLimits};
use super::client_connection::ClientConnection;
use super::close_policy::RequestStage;
use bytes::Bytes;
use corkhollow_engine::{
    ArrivalProbe, BodyBuffer, BodyFrame, BufferedBody, ClientBody, Clock, IncompleteBody, Payload, Upload,
    UploadProgress,
};
use corkhollow_plan::limits::{Arrival, Budget, Lease};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout, timeout_at, Instant, Sleep};

/// Why a request body could not be received.
pub(super) enum UploadError {
    /// The client stalled or sent too slowly.
    TimedOut,
    /// The body ended early or its framing is invalid.
    Incomplete,
    /// The body exceeds [`BodyLimits::max_bytes`].
    TooLarge,
}

/// How a request body is received and forwarded.
#[derive(Clone, Copy)]
pub(super) struct BodyLimits {
    /// Bodies up to this length are buffered whole, so that the request can be retried.
    pub max_buffered_bytes: u64,
    /// Longer bodies are rejected.
    pub max_bytes: u64,
    /// How fast the client has to send.
    pub pace: PaceLimits,
    /// Longest time from a client's connecting in which its first request may be behind its pace, if limited.
    pub first_request_timeout: Option<Duration>,
    /// Whether an unread remainder goes back to the connection ([`ClientConnection::unread_body`]) when
    /// dropped.
    pub returns_unread: bool,
    /// Longest time without progress on the way to a server; at least the stall timeout of `pace`.
    pub forward_stall_timeout: Duration,
    /// Whether clients send no further request before they are answered.
    pub one_request_at_a_time: bool,
    /// Whether trailers are forwarded; otherwise they are dropped.
    pub forwards_trailers: bool,
    /// Whether to read nothing until a server asks for the body (`Expect: 100-continue`).
    pub awaits_continue: bool,
}

/// The pace of the body that this client begins to send, or goes on with.
fn body_pace(limits: &BodyLimits, client: &ClientConnection) -> BodyPace {
    let connected_at = client.request_connected_at.get().map(Instant::from_std);
    let first_request_due = connected_at.zip(limits.first_request_timeout).map(|(at, timeout)| at + timeout);
    BodyPace::new(limits.pace, first_request_due, Instant::now(), client.socket.received_bytes())
}

/// The next frame of a body; an error if the client is behind its pace.
async fn next_frame(
    body: &mut Incoming,
    pace: &mut BodyPace,
    client: &ClientConnection,
) -> Result<Option<hyper::Result<Frame<Bytes>>>, Elapsed> {
    let frame = timeout_at(pace.start_waiting(Instant::now()), body.frame()).await?;
    pace.record_received(Instant::now(), client.socket.received_bytes());
    Ok(frame)
}

/// The length of a frame's data.
fn frame_bytes(frame: &Frame<Bytes>) -> u64 {
    frame.data_ref().map_or(0, |data| data.len() as u64)
}

/// Receives a request body: buffers it whole if it is short enough, or returns a stream of it.
pub(super) async fn receive_body(
    mut body: Incoming,
    limits: &BodyLimits,
    budget: &Rc<Budget>,
    clock: Clock,
    client: &Rc<ClientConnection>,
) -> Result<Payload, UploadError> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Rc::new(BufferedBody::empty(budget.small_lease(Arrival::Whole)))));
    }
    if body.size_hint().lower() > limits.max_bytes {
        return Err(UploadError::TooLarge);
    }
    let body_length = body.size_hint().exact();
    let mut pace = body_pace(limits, client);
    let mut read_frames = VecDeque::new();
    let (mut received_bytes, mut read_lease) = (0, None);
    if !limits.awaits_continue && body.size_hint().lower() <= limits.max_buffered_bytes {
        let mut buffer = BodyBuffer::new(budget.lease_for(body.size_hint().exact()));
        loop {
            let next = next_frame(&mut body, &mut pace, client).await;
            let next = next.map_err(|_| UploadError::TimedOut)?;
            let Some(frame) = next else { return Ok(Payload::Buffered(Rc::new(buffer.finish()))) };
            let frame = frame.map_err(|_| UploadError::Incomplete)?;
            received_bytes += frame_bytes(&frame);
            if received_bytes > limits.max_bytes {
                return Err(UploadError::TooLarge);
            }
            if frame.is_trailers() && !limits.forwards_trailers {
                continue;
            }
            let fits = |data: &Bytes| buffer.len() + data.len() as u64 <= limits.max_buffered_bytes;
            if frame.data_ref().is_some_and(fits) {
                let data = frame.into_data().unwrap_or_default();
                if buffer.push(&data) {
                    continue;
                }
                read_frames.push_back(Frame::data(data));
            } else {
                read_frames.push_back(frame);
            }
            break;
        }
        let (buffered, lease) = buffer.finish().into_parts();
        read_lease = Some(lease);
        buffered.into_iter().rev().for_each(|data| read_frames.push_front(Frame::data(data)));
    }
    let progress = UploadProgress::new(clock.now(), limits.forward_stall_timeout);
    let progress = Rc::new(progress.with_arrival_probe(arrival_probe(client, body_length)));
    let streamed_body = StreamedBody {
        read_frames,
        read_lease,
        body: Some(body),
        client: client.clone(),
        progress: progress.clone(),
        clock,
        limits: *limits,
        pace,
        received_bytes,
        stall_timer: Box::pin(sleep(limits.pace.stall_timeout)),
        stall_timer_armed: false,
        held_end: None,
    };
    if streamed_body.is_drained() || streamed_body.read_frames.back().is_some_and(Frame::is_trailers) {
        streamed_body.mark_ended(false);
    }
    let body: ClientBody = Box::pin(streamed_body);
    Ok(Payload::Stream(Upload::new(body, progress)))
}

/// Tells whether all of a request has reached this machine, whose body has this length or is chunked.
fn arrival_probe(client: &Rc<ClientConnection>, body_length: Option<u64>) -> ArrivalProbe {
    let client = client.clone();
    // How much was unread at the last look, and at the last search for the end, which reads all of it.
    let (last_unread_bytes, searched_unread_bytes) = (Cell::new(None), Cell::new(None));
    ArrivalProbe::new(move || match body_length {
        Some(length) => client.socket.has_received_message(length),
        None => {
            let unread_bytes = Some(client.socket.unread_bytes());
            let stands_still = last_unread_bytes.replace(unread_bytes) == unread_bytes;
            let is_searched = stands_still && searched_unread_bytes.replace(unread_bytes) == unread_bytes;
            stands_still && !is_searched && client.socket.has_received_chunked_message()
        }
    })
}

/// A request body streamed from the client: frames already read, then the rest as it arrives.
struct StreamedBody {
    read_frames: VecDeque<Frame<Bytes>>,
    /// Reserves `read_frames` in the budget.
    read_lease: Option<Lease>,
    /// `None` only while dropping.
    body: Option<Incoming>,
    client: Rc<ClientConnection>,
    progress: Rc<UploadProgress>,
    clock: Clock,
    limits: BodyLimits,
    pace: BodyPace,
    received_bytes: u64,
    stall_timer: Pin<Box<Sleep>>,
    /// Whether `stall_timer` is set for the frame now awaited.
    stall_timer_armed: bool,
    held_end: Option<HeldEnd>,
}

/// The end of a body that is held back until it is known whether the client has left.
struct HeldEnd {
    frame: Option<BodyFrame>,
    until: Pin<Box<Sleep>>,
}

/// How long a close may take to arrive behind bytes that the client has sent before it.
const HIDDEN_CLOSE_WINDOW: Duration = Duration::from_millis(10);

impl StreamedBody {
    /// The next frame, from those already read or from the connection, within the client's time for it.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        if let Some(frame) = self.read_frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        self.read_lease = None;
        let Some(body) = &mut self.body else { return Poll::Ready(Some(Err(IncompleteBody))) };
        if let Poll::Ready(frame) = Pin::new(body).poll_frame(cx) {
            self.stall_timer_armed = false;
            self.client.awaits_body.set(false);
            self.pace.record_received(Instant::now(), self.client.socket.received_bytes());
            self.received_bytes +=
                frame.as_ref().and_then(|frame| frame.as_ref().ok()).map_or(0, frame_bytes);
            return Poll::Ready(frame.map(|frame| frame.map_err(|_| IncompleteBody)));
        }
        if !std::mem::replace(&mut self.stall_timer_armed, true) {
            self.client.awaits_body.set(true);
            self.stall_timer.as_mut().reset(self.pace.start_waiting(Instant::now()));
        }
        self.stall_timer.as_mut().poll(cx).map(|()| Some(Err(IncompleteBody)))
    }

    /// Whether the connection has no further frame of the body.
    fn is_drained(&self) -> bool {
        self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    /// Whether the body ends with this frame, which has just been taken. Nobody asks for another frame then.
    fn is_last(&self, frame: &Frame<Bytes>) -> bool {
        frame.is_trailers() || (self.read_frames.is_empty() && self.is_drained())
    }

    /// Whether the client may have closed the connection behind bytes that are not read yet. Clients of the platform
    /// send nothing before they are answered.
    fn may_hide_close(&self) -> bool {
        let is_new_end = self.progress.ended_at.get().is_none();
        is_new_end && self.limits.one_request_at_a_time && self.client.socket.has_unread_bytes()
    }

    /// Hands out the end of the body, unless the client has already left: the body must then not be completed towards
    /// the server, which would start to process the request.
    fn finish(&self, frame: Option<BodyFrame>) -> Poll<Option<BodyFrame>> {
        if self.progress.ended_at.get().is_none() && self.client.socket.is_closed_by_peer() {
            return self.fail();
        }
        self.mark_ended(false);
        Poll::Ready(frame)
    }

    /// Breaks off the body towards the server.
    fn fail(&self) -> Poll<Option<BodyFrame>> {
        self.mark_ended(true);
        Poll::Ready(Some(Err(IncompleteBody)))
    }

    /// Notes that nothing more will come from the client; `failed` if the body is incomplete or the client
    /// left.
    fn mark_ended(&self, failed: bool) {
        if self.progress.ended_at.get().is_none() {
            self.progress.ended_at.set(Some(self.clock.now()));
            self.client.mark_request_received(self.clock.now());
        }
        self.progress.client_failed.set(failed || self.progress.client_failed.get());
    }
}

/// Returns an unread remainder to the connection, where it is discarded before the answer is written.
impl Drop for StreamedBody {
    fn drop(&mut self) {
        let returns_unread =
            self.limits.returns_unread && self.client.stage.get() == RequestStage::AwaitingAnswer;
        if let Some(body) = self.body.take().filter(|body| returns_unread && !body.is_end_stream()) {
            self.client.unread_body.replace(Some(body));
        }
    }
}

/// Reads and discards the rest of a body whose answer is already decided. A client that reads only after it
/// has sent everything would lose the answer if the connection were reset. Returns false if the body does not
/// end within the limits.
pub(super) async fn discard_body(mut body: Incoming, limits: &BodyLimits, client: &ClientConnection) -> bool {
    let (mut pace, mut received_bytes) = (body_pace(limits, client), 0);
    client.awaits_body.set(true);
    loop {
        match next_frame(&mut body, &mut pace, client).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => received_bytes += frame_bytes(&frame),
            Ok(Some(Err(_))) | Err(_) => return false,
        }
        if received_bytes > limits.max_bytes {
            return false;
        }
    }
}

/// Longest unread remainder of a body that is discarded to keep the connection open.
const MAX_DISCARD_BYTES: u64 = 64 << 10;
/// Longest time to wait for such a remainder.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// Discards an unread remainder that is short and arrives soon; returns false if it is not.
pub(super) async fn discard_short_body(unread_body: Incoming, client: &ClientConnection) -> bool {
    if unread_body.size_hint().lower() > MAX_DISCARD_BYTES {
        return false;
    }
    let limits = BodyLimits {
        max_buffered_bytes: 0,
        max_bytes: MAX_DISCARD_BYTES,
        pace: PaceLimits { stall_timeout: DISCARD_TIMEOUT, min_bytes_per_second: None },
        first_request_timeout: None,
        forward_stall_timeout: DISCARD_TIMEOUT,
        returns_unread: false,
        one_request_at_a_time: false,
        forwards_trailers: false,
        awaits_continue: false,
    };
    timeout(DISCARD_TIMEOUT, discard_body(unread_body, &limits, client)).await.unwrap_or(false)
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        let this = self.get_mut();
        if this.held_end.is_none() {
            let frame = ready!(this.poll_next(cx));
            if let Some(Ok(frame)) = &frame {
                this.progress.record_forwarded(this.clock.now(), frame_bytes(frame));
            }
            let is_end = match &frame {
                Some(Ok(_)) if this.received_bytes > this.limits.max_bytes => return this.fail(),
                Some(Ok(last)) => this.is_last(last),
                Some(Err(_)) => return this.fail(),
                None => true,
            };
            if !is_end {
                return Poll::Ready(frame);
            }
            if !this.may_hide_close() {
                return this.finish(frame);
            }
            this.held_end = Some(HeldEnd { frame, until: Box::pin(sleep(HIDDEN_CLOSE_WINDOW)) });
        }
        if this.client.poll_peer_closed(cx).is_ready() {
            return this.fail();
        }
        if let Some(held) = &mut this.held_end {
            ready!(held.until.as_mut().poll(cx));
        }
        let frame = this.held_end.take().and_then(|held| held.frame);
        this.finish(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.held_end.is_none() && self.read_frames.is_empty() && self.is_drained()
    }

    fn size_hint(&self) -> SizeHint {
        let read_bytes: u64 =
            self.read_frames.iter().filter_map(|frame| frame.data_ref()).map(|data| data.len() as u64).sum();
        let rest = self.body.as_ref().map_or_else(SizeHint::default, Body::size_hint);
        // Set the upper bound first: `set_lower` panics beyond it.
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read_bytes);
        }
        hint.set_lower(rest.lower() + read_bytes);
        hint
    }
}
