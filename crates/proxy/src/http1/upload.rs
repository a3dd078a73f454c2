//! Bodies of requests: kept where they are short enough to be sent again, passed on as they
//! come where they are not.

use super::client_connection::ClientConnection;
use super::close_policy::RequestStage;
use bytes::Bytes;
use corkhollow_engine::{
    BodyFrame, BufferedBody, ClientBody, Clock, IncompleteBody, Payload, Upload, UploadProgress,
};
use corkhollow_plan::limits::{Budget, Lease};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, timeout, timeout_at, Instant, Sleep};

/// Why a body could not be had.
pub(super) enum UploadError {
    /// It stood still for too long.
    TimedOut,
    /// It broke off, or its framing is spoilt.
    Incomplete,
    /// It is longer than any may be.
    TooLarge,
}

/// What is done with bodies.
#[derive(Clone, Copy)]
pub(super) struct BodyLimits {
    /// A body up to this length is kept.
    pub max_buffered_bytes: u64,
    /// A longer one is cut.
    pub max_bytes: u64,
    /// How long it may stand still.
    pub stall_timeout: Duration,
    /// How slowly it may come.
    pub min_pace: Option<MinPace>,
    /// What nobody wants of it any longer is kept for the front to read.
    pub returns_unread: bool,
    /// How long it may stand still on its way to a server; no less than `stall`.
    pub forward_stall_timeout: Duration,
    /// It is not asked for before a server asks for it.
    pub awaits_continue: bool,
}

/// A body has to keep to so many bytes a second once a grace is over.
#[derive(Clone, Copy)]
pub(super) struct MinPace {
    pub grace: Duration,
    pub bytes_per_second: u64,
}

impl MinPace {
    /// When the next byte has to be there, with so many there already.
    fn next_byte_deadline(&self, begun: Instant, got: u64) -> Instant {
        begun + self.grace + Duration::from_secs_f64(got as f64 / self.bytes_per_second as f64)
    }
}

/// When the next piece has to be there.
fn next_frame_deadline(rules: &BodyLimits, begun: Instant, got: u64) -> Instant {
    let still = Instant::now() + rules.stall_timeout;
    rules.min_pace.map_or(still, |pace| pace.next_byte_deadline(begun, got).min(still))
}

/// Takes the body of a request: whole if it is short enough, else as it comes.
pub(super) async fn receive_body(
    mut body: Incoming,
    limits: &BodyLimits,
    budget: &Rc<Budget>,
    clock: Clock,
    client: &Rc<ClientConnection>,
) -> Result<Payload, UploadError> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Rc::new(BufferedBody::new(budget.small_lease()))));
    }
    if body.size_hint().lower() > limits.max_bytes {
        return Err(UploadError::TooLarge);
    }
    let begun = Instant::now();
    let mut first = VecDeque::new();
    let (mut got, mut held) = (0, None);
    if !limits.awaits_continue && body.size_hint().lower() <= limits.max_buffered_bytes {
        let mut pieces = BufferedBody::new(budget.lease_for(body.size_hint().exact()));
        loop {
            let next = timeout_at(next_frame_deadline(limits, begun, got), body.frame()).await;
            let next = next.map_err(|_| UploadError::TimedOut)?;
            let Some(frame) = next else { return Ok(Payload::Buffered(Rc::new(pieces))) };
            let frame = frame.map_err(|_| UploadError::Incomplete)?;
            got += frame.data_ref().map_or(0, |d| d.len() as u64);
            if got > limits.max_bytes {
                return Err(UploadError::TooLarge);
            }
            let fits = |data: &Bytes| pieces.len() + data.len() as u64 <= limits.max_buffered_bytes;
            if frame.data_ref().is_some_and(fits) {
                let data = frame.into_data().unwrap_or_default();
                if pieces.push(data.clone()) {
                    continue;
                }
                first.push_back(Frame::data(data));
            } else {
                first.push_back(frame);
            }
            break;
        }
        let (kept, lease) = pieces.into_parts();
        held = Some(lease);
        kept.into_iter().rev().for_each(|data| first.push_front(Frame::data(data)));
    }
    let progress = Rc::new(UploadProgress::new(clock.now(), limits.forward_stall_timeout.as_nanos() as u64));
    let passing = StreamedBody {
        read_frames: first,
        read_lease: held,
        body: Some(body),
        client: client.clone(),
        progress: progress.clone(),
        clock,
        limits: *limits,
        begun,
        received_bytes: got,
        stall_timer: Box::pin(sleep(limits.stall_timeout)),
        stall_timer_armed: false,
    };
    let body: ClientBody = Box::pin(passing);
    Ok(Payload::Stream(Upload::new(body, progress)))
}

/// A body as it comes, behind what of it has been read already.
struct StreamedBody {
    read_frames: VecDeque<Frame<Bytes>>,
    /// What holds these in the budget.
    read_lease: Option<Lease>,
    /// None once it has been handed back.
    body: Option<Incoming>,
    client: Rc<ClientConnection>,
    progress: Rc<UploadProgress>,
    clock: Clock,
    limits: BodyLimits,
    begun: Instant,
    received_bytes: u64,
    stall_timer: Pin<Box<Sleep>>,
    /// The timer runs.
    stall_timer_armed: bool,
}

impl StreamedBody {
    /// The last byte has come. Where its client has left behind it, it must not go on: the server would begin with it. False then.
    fn finish(&self) -> bool {
        let left = self.progress.ended_at.get().is_none() && self.client.socket.is_closed_by_peer();
        self.mark_ended(left);
        !left
    }

    fn mark_ended(&self, failed: bool) {
        if self.progress.ended_at.get().is_none() {
            self.progress.ended_at.set(Some(self.clock.now()));
            self.client.mark_request_received(self.clock.now());
        }
        self.progress.client_failed.set(failed || self.progress.client_failed.get());
    }
}

/// What has not come of a body that nobody wants any longer is the front's to read.
impl Drop for StreamedBody {
    fn drop(&mut self) {
        let wanted = self.limits.returns_unread && self.client.stage.get() == RequestStage::AwaitingAnswer;
        if let Some(body) = self.body.take().filter(|body| wanted && !body.is_end_stream()) {
            self.client.unread_body.replace(Some(body));
        }
    }
}

/// Reads the rest of a body whose request is answered already, and throws it away: its client listens when it has sent
/// all, and a reset in the middle would cost it the answer. False where the rest does not come.
pub(super) async fn discard_body(mut body: Incoming, rules: &BodyLimits) -> bool {
    let (begun, mut got) = (Instant::now(), 0);
    loop {
        match timeout_at(next_frame_deadline(rules, begun, got), body.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => got += frame.data_ref().map_or(0, |d| d.len() as u64),
            Ok(Some(Err(_))) | Err(_) => return false,
        }
        if got > rules.max_bytes {
            return false;
        }
    }
}

/// A rest of a body that is read to its end, to keep the connection: no longer than this, in bytes,
const MAX_DISCARD_BYTES: u64 = 64 << 10;
/// and there within this.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// Reads the rest of a body that nobody has asked for, where it is short and comes soon; false where it isn't.
pub(super) async fn discard_short_body(rest: Incoming) -> bool {
    if rest.size_hint().lower() > MAX_DISCARD_BYTES {
        return false;
    }
    let rules = BodyLimits {
        max_buffered_bytes: 0,
        max_bytes: MAX_DISCARD_BYTES,
        stall_timeout: DISCARD_TIMEOUT,
        forward_stall_timeout: DISCARD_TIMEOUT,
        min_pace: None,
        returns_unread: false,
        awaits_continue: false,
    };
    timeout(DISCARD_TIMEOUT, discard_body(rest, &rules)).await.unwrap_or(false)
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        let this = self.get_mut();
        if let Some(frame) = this.read_frames.pop_front() {
            this.progress.last_progress_at.set(this.clock.now());
            return Poll::Ready(Some(Ok(frame)));
        }
        this.read_lease = None;
        let Some(body) = &mut this.body else { return Poll::Ready(Some(Err(IncompleteBody))) };
        match Pin::new(&mut *body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let over = body.is_end_stream();
                this.stall_timer_armed = false;
                this.progress.last_progress_at.set(this.clock.now());
                this.received_bytes += frame.data_ref().map_or(0, |d| d.len() as u64);
                if this.received_bytes > this.limits.max_bytes {
                    this.mark_ended(true);
                    return Poll::Ready(Some(Err(IncompleteBody)));
                }
                if over && !this.finish() {
                    return Poll::Ready(Some(Err(IncompleteBody)));
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                this.mark_ended(true);
                Poll::Ready(Some(Err(IncompleteBody)))
            }
            Poll::Ready(None) => match this.finish() {
                true => Poll::Ready(None),
                false => Poll::Ready(Some(Err(IncompleteBody))),
            },
            Poll::Pending => {
                if !std::mem::replace(&mut this.stall_timer_armed, true) {
                    this.stall_timer.as_mut().reset(next_frame_deadline(
                        &this.limits,
                        this.begun,
                        this.received_bytes,
                    ));
                }
                if this.stall_timer.as_mut().poll(cx).is_ready() {
                    this.mark_ended(true);
                    return Poll::Ready(Some(Err(IncompleteBody)));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.read_frames.is_empty() && self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let first: u64 = self.read_frames.iter().filter_map(|f| f.data_ref()).map(|d| d.len() as u64).sum();
        let rest = self.body.as_ref().map_or_else(SizeHint::default, Body::size_hint);
        // The upper bound first: a lower one beyond it is a panic.
        let mut hint = SizeHint::new();
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + first);
        }
        hint.set_lower(rest.lower() + first);
        hint
    }
}
