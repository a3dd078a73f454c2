//! Bodies of requests: kept where they are short enough to be sent again, passed on as they
//! come where they are not.

use super::client::Client;
use super::closing::Stage;
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
    Late,
    /// It broke off, or its framing is spoilt.
    Broken,
    /// It is longer than any may be.
    TooLarge,
}

/// What is done with bodies.
#[derive(Clone, Copy)]
pub(super) struct Rules {
    /// A body up to this length is kept.
    pub most_kept: u64,
    /// A longer one is cut.
    pub most: u64,
    /// How long it may stand still.
    pub stall: Duration,
    /// How slowly it may come.
    pub pace: Option<Pace>,
    /// What nobody wants of it any longer is kept for the front to read.
    pub hand_back: bool,
    /// How long it may stand still on its way to a server; no less than `stall`.
    pub on_way: Duration,
    /// It is not asked for before a server asks for it.
    pub wait: bool,
}

/// A body has to keep to so many bytes a second once a grace is over.
#[derive(Clone, Copy)]
pub(super) struct Pace {
    pub grace: Duration,
    pub bytes_per_second: u64,
}

impl Pace {
    /// When the next byte has to be there, with so many there already.
    fn due(&self, begun: Instant, got: u64) -> Instant {
        begun + self.grace + Duration::from_secs_f64(got as f64 / self.bytes_per_second as f64)
    }
}

/// When the next piece has to be there.
fn due(rules: &Rules, begun: Instant, got: u64) -> Instant {
    let still = Instant::now() + rules.stall;
    rules.pace.map_or(still, |pace| pace.due(begun, got).min(still))
}

/// Takes the body of a request: whole if it is short enough, else as it comes.
pub(super) async fn take(
    mut body: Incoming,
    rules: &Rules,
    budget: &Rc<Budget>,
    clock: Clock,
    client: &Rc<Client>,
) -> Result<Payload, UploadError> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Rc::new(BufferedBody::new(budget.lease()))));
    }
    if body.size_hint().lower() > rules.most {
        return Err(UploadError::TooLarge);
    }
    let begun = Instant::now();
    let mut first = VecDeque::new();
    let (mut got, mut held) = (0, None);
    if !rules.wait && body.size_hint().lower() <= rules.most_kept {
        let mut pieces = BufferedBody::new(budget.lease_for(body.size_hint().exact()));
        loop {
            let next = timeout_at(due(rules, begun, got), body.frame()).await;
            let next = next.map_err(|_| UploadError::Late)?;
            let Some(frame) = next else { return Ok(Payload::Buffered(Rc::new(pieces))) };
            let frame = frame.map_err(|_| UploadError::Broken)?;
            got += frame.data_ref().map_or(0, |d| d.len() as u64);
            if got > rules.most {
                return Err(UploadError::TooLarge);
            }
            let fits = |data: &Bytes| pieces.len() + data.len() as u64 <= rules.most_kept;
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
    let progress = Rc::new(UploadProgress::new(clock.now(), rules.on_way.as_nanos() as u64));
    let passing = Passing {
        first,
        held,
        body: Some(body),
        client: client.clone(),
        progress: progress.clone(),
        clock,
        rules: *rules,
        begun,
        got,
        timer: Box::pin(sleep(rules.stall)),
        waiting: false,
    };
    let body: ClientBody = Box::pin(passing);
    Ok(Payload::Stream(Upload::new(body, progress)))
}

/// A body as it comes, behind what of it has been read already.
struct Passing {
    first: VecDeque<Frame<Bytes>>,
    /// What holds these in the budget.
    held: Option<Lease>,
    /// None once it has been handed back.
    body: Option<Incoming>,
    client: Rc<Client>,
    progress: Rc<UploadProgress>,
    clock: Clock,
    rules: Rules,
    begun: Instant,
    got: u64,
    timer: Pin<Box<Sleep>>,
    /// The timer runs.
    waiting: bool,
}

impl Passing {
    /// The last byte has come. Where its client has left behind it, it must not go on: the server would begin with it. False then.
    fn end(&self) -> bool {
        let left = self.progress.ended_at.get().is_none() && self.client.socket.is_closed_by_peer();
        self.ended(left);
        !left
    }

    fn ended(&self, failed: bool) {
        if self.progress.ended_at.get().is_none() {
            self.progress.ended_at.set(Some(self.clock.now()));
            self.client.taken(self.clock.now());
        }
        self.progress.client_failed.set(failed || self.progress.client_failed.get());
    }
}

/// What has not come of a body that nobody wants any longer is the front's to read.
impl Drop for Passing {
    fn drop(&mut self) {
        let wanted = self.rules.hand_back && self.client.stage.get() == Stage::Waiting;
        if let Some(body) = self.body.take().filter(|body| wanted && !body.is_end_stream()) {
            self.client.rest.replace(Some(body));
        }
    }
}

/// Reads the rest of a body whose request is answered already, and throws it away: its client listens when it has sent
/// all, and a reset in the middle would cost it the answer. False where the rest does not come.
pub(super) async fn discard(mut body: Incoming, rules: &Rules) -> bool {
    let (begun, mut got) = (Instant::now(), 0);
    loop {
        match timeout_at(due(rules, begun, got), body.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => got += frame.data_ref().map_or(0, |d| d.len() as u64),
            Ok(Some(Err(_))) | Err(_) => return false,
        }
        if got > rules.most {
            return false;
        }
    }
}

/// A rest of a body that is read to its end, to keep the connection: no longer than this, in bytes,
const SHORT: u64 = 64 << 10;
/// and there within this.
const SOON: Duration = Duration::from_millis(250);

/// Reads the rest of a body that nobody has asked for, where it is short and comes soon; false where it isn't.
pub(super) async fn discard_short(rest: Incoming) -> bool {
    if rest.size_hint().lower() > SHORT {
        return false;
    }
    let rules = Rules {
        most_kept: 0,
        most: SHORT,
        stall: SOON,
        on_way: SOON,
        pace: None,
        hand_back: false,
        wait: false,
    };
    timeout(SOON, discard(rest, &rules)).await.unwrap_or(false)
}

impl Body for Passing {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        let this = self.get_mut();
        if let Some(frame) = this.first.pop_front() {
            this.progress.last_progress_at.set(this.clock.now());
            return Poll::Ready(Some(Ok(frame)));
        }
        this.held = None;
        let Some(body) = &mut this.body else { return Poll::Ready(Some(Err(IncompleteBody))) };
        match Pin::new(&mut *body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                let over = body.is_end_stream();
                this.waiting = false;
                this.progress.last_progress_at.set(this.clock.now());
                this.got += frame.data_ref().map_or(0, |d| d.len() as u64);
                if this.got > this.rules.most {
                    this.ended(true);
                    return Poll::Ready(Some(Err(IncompleteBody)));
                }
                if over && !this.end() {
                    return Poll::Ready(Some(Err(IncompleteBody)));
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                this.ended(true);
                Poll::Ready(Some(Err(IncompleteBody)))
            }
            Poll::Ready(None) => match this.end() {
                true => Poll::Ready(None),
                false => Poll::Ready(Some(Err(IncompleteBody))),
            },
            Poll::Pending => {
                if !std::mem::replace(&mut this.waiting, true) {
                    this.timer.as_mut().reset(due(&this.rules, this.begun, this.got));
                }
                if this.timer.as_mut().poll(cx).is_ready() {
                    this.ended(true);
                    return Poll::Ready(Some(Err(IncompleteBody)));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first.iter().filter_map(|f| f.data_ref()).map(|d| d.len() as u64).sum();
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
