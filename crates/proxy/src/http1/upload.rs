//! Bodies of requests in the general dialect: kept where they are short enough to be sent again, passed on as they
//! come where they are not.

use bytes::Bytes;
use corkhollow_engine::{Broken, ClientBody, Clock, Payload, Piece, Pieces, Progress, Upload};
use corkhollow_plan::limits::Budget;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Why a body could not be had.
pub(super) enum UploadError {
    /// It stood still for too long.
    Late,
    /// It broke off, or its framing is spoilt.
    Broken,
}

/// What is done with bodies.
pub(super) struct Rules {
    /// A body up to this length is kept.
    pub most_kept: u64,
    /// How long it may stand still.
    pub stall: Duration,
    /// It is not asked for before a server asks for it.
    pub wait: bool,
}

/// Takes the body of a request: whole if it is short enough, else as it comes.
pub(super) async fn take(
    mut body: Incoming,
    rules: &Rules,
    budget: &Rc<Budget>,
    clock: Clock,
) -> Result<Payload, UploadError> {
    if body.is_end_stream() {
        return Ok(Payload::Whole(Rc::new(Pieces::new(budget.lease()))));
    }
    let mut first = VecDeque::new();
    if !rules.wait && body.size_hint().lower() <= rules.most_kept {
        let mut pieces = Pieces::new(budget.lease());
        loop {
            let next =
                tokio::time::timeout(rules.stall, body.frame()).await.map_err(|_| UploadError::Late)?;
            let Some(frame) = next else { return Ok(Payload::Whole(Rc::new(pieces))) };
            let frame = frame.map_err(|_| UploadError::Broken)?;
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
        let (kept, _lease) = pieces.into_parts();
        kept.into_iter().rev().for_each(|data| first.push_front(Frame::data(data)));
    }
    let progress = Rc::new(Progress::default());
    let passing = Passing {
        first,
        body,
        progress: progress.clone(),
        clock,
        stall: rules.stall,
        timer: Box::pin(sleep(rules.stall)),
        waiting: false,
    };
    let body: ClientBody = Box::pin(passing);
    Ok(Payload::Stream(Upload::new(body, progress)))
}

/// A body as it comes, behind what of it has been read already.
struct Passing {
    first: VecDeque<Frame<Bytes>>,
    body: Incoming,
    progress: Rc<Progress>,
    clock: Clock,
    stall: Duration,
    timer: Pin<Box<Sleep>>,
    /// The timer runs.
    waiting: bool,
}

impl Passing {
    fn ended(&self, failed: bool) {
        if self.progress.ended_at.get().is_none() {
            self.progress.ended_at.set(Some(self.clock.now()));
        }
        self.progress.failed.set(failed || self.progress.failed.get());
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Piece>> {
        let this = self.get_mut();
        if let Some(frame) = this.first.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.waiting = false;
                if this.body.is_end_stream() {
                    this.ended(false);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                this.ended(true);
                Poll::Ready(Some(Err(Broken)))
            }
            Poll::Ready(None) => {
                this.ended(false);
                Poll::Ready(None)
            }
            Poll::Pending => {
                if !std::mem::replace(&mut this.waiting, true) {
                    this.timer.as_mut().reset(Instant::now() + this.stall);
                }
                if this.timer.as_mut().poll(cx).is_ready() {
                    this.ended(true);
                    return Poll::Ready(Some(Err(Broken)));
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first.iter().filter_map(|f| f.data_ref()).map(|d| d.len() as u64).sum();
        let mut hint = self.body.size_hint();
        let upper = hint.upper();
        hint.set_lower(hint.lower() + first);
        if let Some(upper) = upper {
            hint.set_upper(upper + first);
        }
        hint
    }
}
