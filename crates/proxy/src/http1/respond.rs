//! The answer to one request on a client's connection, in the dialect of its listener.

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

/// An answer that keeps its connection from counting as idle until hyper has taken all of it.
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
        let piece = std::task::ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let (Some(Err(_)), Some(tally)) = (&piece, &mut *this.client.tracker.borrow_mut()) {
            tally.mark_truncated();
        }
        Poll::Ready(piece)
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
        self.client.unread_body.take();
        self.client.stage.set(RequestStage::Idle);
        self.client.idle_since.set(self.service.clock.now());
        self.client.socket.end_request(self.client.request_body_length.get());
    }
}

/// Answers a request in the dialect of its listener, and ends the connection with it where the program leaves, the
/// client has no place or the listener is no more. So it does behind a chunked body, on the platform and where the
/// head has not been seen as it came: a length beside it may hide another request in what follows (RFC 9112, 6.1).
pub(super) async fn respond(
    service: &Rc<Service>,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<Response<TrackedAnswerBody>, Infallible> {
    client.stage.set(RequestStage::ReadingBody);
    client.request_complete.set(false);
    client.awaiting_first_request_since.set(None);
    client.request_backlog_wait.set(client.backlog_wait.take());
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let seen = chunked && client.socket.has_whole_head(request.method().as_str());
    // Taken once: a new site takes over between two requests.
    let site = service.current_plan.get();
    let listener = site.plan.listeners.iter().position(|l| *l.name == *client.listener_name);
    let dialect = listener.map_or(Dialect::Http, |l| site.plan.listeners[l].dialect);
    let bodiless = request.body().is_end_stream();
    client.request_body_length.set(request.body().size_hint().exact());
    let hides = chunked && !(seen && dialect == Dialect::Http);
    let mut response = match dialect {
        _ if header_bytes(&request) > site.plan.limits.header_bytes => headers_too_large(),
        Dialect::Platform => platform::answer_request(service, &site, client, request).await,
        Dialect::Http => general::answer_request(service, &site, client, listener, request).await,
    };
    client.stage.set(RequestStage::WritingAnswer);
    if let Some(tally) = &mut *client.tracker.borrow_mut() {
        let by_server = matches!(response.body(), AnswerBody::Buffered(_) | AnswerBody::Stream { .. });
        tally.record_answer(service.clock.now(), response.status().as_u16(), by_server);
    }
    let last =
        !service.lifecycle.lock().allows_keep_alive() || client.over_limit || client.close_after_answer.get();
    if last || hides || listener.is_none() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // What the surplus have sent has been read.
    let closes = response.headers().get(header::CONNECTION).is_some_and(|v| v == "close");
    client.request_left_unread.set(closes && !bodiless && !client.over_limit);
    Ok(response.map(|body| TrackedAnswerBody { body, service: service.clone(), client: client.clone() }))
}

/// How long a head is, in bytes, but for white space that is optional. Hyper turns away only what does not fit its buffer.
fn header_bytes(request: &Request<Incoming>) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + " HTTP/1.1\r\n ".len();
    request.headers().iter().fold(line, |sum, (name, value)| sum + name.as_str().len() + value.len() + 4)
}

fn headers_too_large() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Text(None));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    with_connection_close(response)
}
