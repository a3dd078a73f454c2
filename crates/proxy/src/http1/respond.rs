//! The answer to one request on a client's connection, in the dialect of its listener.

use super::answers::closing;
use super::client::Client;
use super::closing::Stage;
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
pub(super) struct Outgoing {
    body: AnswerBody,
    service: Rc<Service>,
    client: Rc<Client>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let this = self.get_mut();
        let piece = std::task::ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let (Some(Err(_)), Some(tally)) = (&piece, &mut *this.client.tally.borrow_mut()) {
            tally.cut();
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

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.client.tally.take();
        self.client.rest.take();
        self.client.stage.set(Stage::Idle);
        self.client.idle_since.set(self.service.clock.now());
        self.client.socket.end_request(self.client.body_length.get());
    }
}

/// Answers a request in the dialect of its listener, and ends the connection with it where the program leaves, the
/// client has no place or the listener is no more. So it does behind a chunked body, on the platform and where the
/// head has not been seen as it came: a length beside it may hide another request in what follows (RFC 9112, 6.1).
pub(super) async fn respond(
    service: &Rc<Service>,
    client: &Rc<Client>,
    request: Request<Incoming>,
) -> Result<Response<Outgoing>, Infallible> {
    client.stage.set(Stage::Reading);
    client.whole.set(false);
    client.fresh_since.set(None);
    client.request_waited.set(client.waited.take());
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let seen = chunked && client.socket.has_whole_head(request.method().as_str());
    // Taken once: a new site takes over between two requests.
    let site = service.site.get();
    let listener = site.plan.listeners.iter().position(|l| *l.name == *client.listener);
    let dialect = listener.map_or(Dialect::Http, |l| site.plan.listeners[l].dialect);
    let bodiless = request.body().is_end_stream();
    client.body_length.set(request.body().size_hint().exact());
    let hides = chunked && !(seen && dialect == Dialect::Http);
    let mut response = match dialect {
        _ if head_length(&request) > site.plan.limits.header_bytes => too_long(),
        Dialect::Platform => platform::answer(service, &site, client, request).await,
        Dialect::Http => general::answer(service, &site, client, listener, request).await,
    };
    client.stage.set(Stage::Writing);
    if let Some(tally) = &mut *client.tally.borrow_mut() {
        let by_server = matches!(response.body(), AnswerBody::Whole(_) | AnswerBody::Stream { .. });
        tally.answer(service.clock.now(), response.status().as_u16(), by_server);
    }
    let last = !service.lifecycle.lock().allows_keep_alive() || client.surplus || client.last.get();
    if last || hides || listener.is_none() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // What the surplus have sent has been read.
    let closes = response.headers().get(header::CONNECTION).is_some_and(|v| v == "close");
    client.unread.set(closes && !bodiless && !client.surplus);
    Ok(response.map(|body| Outgoing { body, service: service.clone(), client: client.clone() }))
}

/// How long a head is, in bytes, but for white space that is optional. Hyper turns away only what does not fit its buffer.
fn head_length(request: &Request<Incoming>) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + " HTTP/1.1\r\n ".len();
    request.headers().iter().fold(line, |sum, (name, value)| sum + name.as_str().len() + value.len() + 4)
}

fn too_long() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Text(None));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    closing(response)
}
