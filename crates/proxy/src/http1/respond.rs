//! Answers one request on a client connection, in the dialect of its listener.

use super::client_connection::ClientConnection;
use super::close_policy::RequestStage;
use super::responses::with_connection_close;
use super::service::Service;
use super::{general, platform};
use crate::body::AnswerBody;
use bytes::Bytes;
use corkhollow_engine::IncompleteBody;
use corkhollow_plan::plan::Dialect;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Answer body that keeps its connection from counting as idle until hyper has taken or dropped all of it.
pub(super) struct TrackedAnswerBody {
    body: AnswerBody,
    service: Rc<Service>,
    client: Rc<ClientConnection>,
}

impl Body for TrackedAnswerBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let this = self.get_mut();
        let frame = std::task::ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let (Some(Err(_)), Some(tracker)) = (&frame, &mut *this.client.tracker.borrow_mut()) {
            tracker.mark_truncated();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedAnswerBody {
    fn drop(&mut self) {
        self.client.tracker.take();
        self.client.answered_request.take();
        self.client.unread_body.take();
        self.client.stage.set(RequestStage::Idle);
        self.client.idle_since.set(self.service.clock.now());
        self.client.socket.end_request(self.client.request_body_length.get());
    }
}

/// Answers a request in the dialect of its listener. The answer carries `Connection: close` if the node
/// drains or shuts down, the connection is over the limit, or its listener was removed. It also does after a
/// chunked body if the listener is the platform's or the raw head was not captured: a `Content-Length` beside
/// `Transfer-Encoding` could then smuggle a request (RFC 9112, 6.1).
pub(super) async fn respond(
    service: &Rc<Service>,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<Response<TrackedAnswerBody>, Infallible> {
    client.stage.set(RequestStage::ReadingBody);
    let has_no_body = request.body().is_end_stream();
    client.request_complete.set(has_no_body);
    client.request_connected_at.set(client.connected_at.take());
    client.awaits_body.set(false);
    client.request_backlog_wait.set(client.backlog_wait.take());
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let head_captured = chunked && client.socket.has_whole_head(request.method().as_str());
    // Read once, so that a reload takes effect between requests and not within one.
    let active_plan = service.current_plan.get();
    let listener_index =
        active_plan.plan.listeners.iter().position(|listener| *listener.name == *client.listener_name);
    let dialect = listener_index.map_or(Dialect::Http, |index| active_plan.plan.listeners[index].dialect);
    client.request_body_length.set(request.body().size_hint().exact());
    let may_hide_request = chunked && !(head_captured && dialect == Dialect::Http);
    let mut response = match dialect {
        _ if header_bytes(&request) > active_plan.plan.limits.header_bytes => headers_too_large(),
        Dialect::Platform => platform::answer_request(service, &active_plan, client, request).await,
        Dialect::Http => {
            general::answer_request(service, &active_plan, client, listener_index, request).await
        }
    };
    client.stage.set(RequestStage::WritingAnswer);
    if let Some(tracker) = &mut *client.tracker.borrow_mut() {
        let by_server = matches!(response.body(), AnswerBody::Buffered(_) | AnswerBody::Stream { .. });
        tracker.record_answer(service.clock.now(), response.status().as_u16(), by_server);
    }
    let is_last_answer =
        !service.lifecycle.lock().allows_keep_alive() || client.over_limit || client.close_after_answer.get();
    if is_last_answer || may_hide_request || listener_index.is_none() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // The body of a request over the limit has been discarded already.
    let closes_connection = response.headers().get(header::CONNECTION).is_some_and(|v| v == "close");
    client.request_left_unread.set(closes_connection && !has_no_body && !client.over_limit);
    Ok(response.map(|body| TrackedAnswerBody { body, service: service.clone(), client: client.clone() }))
}

/// Length of a request head in bytes, without optional white space. hyper itself limits only what fits its
/// buffer.
fn header_bytes(request: &Request<Incoming>) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let request_line = request.method().as_str().len() + target + " HTTP/1.1\r\n ".len();
    request
        .headers()
        .iter()
        .fold(request_line, |sum, (name, value)| sum + name.as_str().len() + value.len() + 4)
}

fn headers_too_large() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Text(None));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    with_connection_close(response)
}
