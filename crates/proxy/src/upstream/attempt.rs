//! One attempt: a connection, the request on it, and what becomes of that.

use super::link::{connect, Heard, Idle, Link, NoLink};
use super::upstreams::Upstreams;
use super::{general, platform};
use crate::body::{PieceBody, RequestBody};
use crate::headers::TIMEOUT_MS;
use crate::socket::Socket;
use corkhollow_balance::interface::{Ending, Nanos, ServerId};
use corkhollow_engine::{AttemptId, ClientBody, Engine, Message, Payload};
use corkhollow_plan::plan::Dialect;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// A reset that comes later than this is the end of a process that had the request.
const AT_ONCE: Nanos = 20_000_000;
/// A server that does not say `100 Continue` within this gets the body all the same (RFC 9110, 10.1.1).
const CONTINUE: Duration = Duration::from_secs(1);

/// Plays one attempt to its end and tells the engine how it went. Where the engine has stopped waiting, the
/// attempt may go on for a while, so that its connection can be kept.
pub(super) async fn attempt(
    upstreams: Rc<Upstreams>,
    engine: Rc<Engine>,
    id: AttemptId,
    server: ServerId,
    message: Rc<Message>,
    seen: Rc<RefCell<Option<Rc<Socket>>>>,
) {
    let _fault = Fault { engine: &engine, id };
    if let Err(ending) = exchange(&upstreams, &engine, id, server, &message, &seen).await {
        // What a client spoils says nothing of the server.
        let spoilt = message.upload().is_some_and(|upload| upload.progress.client_failed.get());
        engine.on_attempt_ended(id, if spoilt { Ending::Cancelled } else { ending });
    }
}

/// Concludes an attempt whose task panics: its request is owed an answer all the same, and its server is not to blame.
struct Fault<'e> {
    engine: &'e Rc<Engine>,
    id: AttemptId,
}

impl Drop for Fault<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.engine.on_attempt_ended(self.id, Ending::Cancelled);
        }
    }
}

async fn exchange(
    upstreams: &Rc<Upstreams>,
    engine: &Rc<Engine>,
    id: AttemptId,
    server: ServerId,
    message: &Rc<Message>,
    seen: &RefCell<Option<Rc<Socket>>>,
) -> Result<(), Ending> {
    let mut begun = upstreams.clock.now();
    let mut kept = upstreams.fleet(|f| f.checkout(server, begun));
    if kept.is_none() {
        if let Some(at) = upstreams.fleet(|f| f.rested_at(server, begun)) {
            tokio::time::sleep_until(upstreams.clock.instant(at)).await;
            begun = upstreams.clock.now();
            kept = upstreams.fleet(|f| f.checkout(server, begun));
        }
    }
    let Some(dial) = upstreams.fleet(|f| f.dial(server)) else { return Err(Ending::NotSent) };
    loop {
        let rested = kept.as_ref().map(|idle| begun.saturating_sub(idle.since));
        let (mut link, opened) = match kept.take() {
            Some(idle) => (idle.link, idle.opened),
            // Rare and large: apart from the attempt, which is made for every request.
            None => match Box::pin(connect(upstreams, dial)).await {
                Ok(link) => {
                    // Connecting takes time, and discovery may have spoken: nothing new to a server that drains.
                    if upstreams.fleet(|f| f.dial(server)) != Some(dial) {
                        return Err(Ending::ConnectFailed);
                    }
                    begun = upstreams.clock.now();
                    (link, begun)
                }
                Err(NoLink::Failed) => return Err(Ending::ConnectFailed),
                Err(NoLink::Exhausted) => return Err(Ending::NotSent),
            },
        };
        // Whatever has been decided, the moment that counts is this one.
        if !engine.may_begin(id) {
            return Err(Ending::NotSent);
        }
        let heard = message.interim_handler.as_ref().map(|_| link.interims());
        let Some(request) = request(upstreams, message, begun, heard.clone()) else {
            return Err(Ending::NotSent);
        };
        *seen.borrow_mut() = Some(link.socket.clone());
        // A server of the platform begins a request with its last byte; any other may do so with its head.
        let body = match (&message.payload, upstreams.dialect) {
            (Payload::Buffered(body), Dialect::Platform) => body.len(),
            (Payload::Stream(_), Dialect::Platform) => length(message),
            _ => 0,
        };
        link.socket.begin_request(body, upstreams.forwards.clone());
        let socket = link.socket.clone();
        let mut coming = message.upload().is_some();
        let mut response = pin!(link.sender.try_send_request(request));
        let response = poll_fn(|cx| {
            // Interim answers first: they came before the final one.
            heard
                .iter()
                .filter_map(Heard::take)
                .flatten()
                .for_each(|(status, headers)| engine.on_interim_answer(id, status, headers));
            let polled = response.as_mut().poll(cx);
            if coming && socket.is_request_written() {
                coming = false;
                engine.on_request_written(id);
            }
            polled
        });
        return match link.drive(response).await {
            Ok(response) => {
                let now = upstreams.clock.now();
                upstreams.fleet(|f| f.lives.note(now, rested, false));
                if let Some(took) = socket.time_since_written() {
                    engine.on_answer_head(id, took.as_nanos() as Nanos);
                }
                let keep = answer(upstreams, engine, id, message, &mut link, response).await;
                let reusable = keep && link.reusable().await;
                if keep && link.surplus {
                    upstreams.fleet(|f| f.spoke(upstreams.clock.now()));
                }
                if reusable && !upstreams.crowded() {
                    let idle = Idle { link, opened, since: upstreams.clock.now() };
                    upstreams.fleet(|f| f.checkin(server, dial, idle));
                }
                Ok(())
            }
            Err(_) if socket.is_request_written() => {
                let now = upstreams.clock.now();
                let lost = now.saturating_sub(begun) < AT_ONCE;
                upstreams.fleet(|f| f.lives.note(now, rested, lost));
                Err(Ending::Reset)
            }
            Err(mut error) => {
                let unread = error.take_message().map(Request::into_body);
                if let (Some(RequestBody::Stream { body, .. }), Some(upload)) = (unread, message.upload()) {
                    upload.put_back(body);
                }
                // A kept connection that the server was just closing: it does not have the request, whose
                // attempt has not begun. A new connection tells whether the server is there.
                if rested.is_some() && !message.is_body_consumed() {
                    continue;
                }
                Err(Ending::ConnectFailed)
            }
        };
    }
}

async fn answer(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    message: &Message,
    link: &mut Link,
    response: Response<Incoming>,
) -> bool {
    match upstreams.dialect {
        Dialect::Platform => platform::answer(upstreams, engine, id, link, response).await,
        Dialect::Http => {
            let bodiless = message.method == Method::HEAD;
            general::answer(upstreams, engine, id, link, response, bodiless).await
        }
    }
}

/// The length that the client has told of a body, 0 where it has told none.
fn length(message: &Message) -> u64 {
    let told = message.headers.get(header::CONTENT_LENGTH).and_then(|l| l.to_str().ok()?.parse().ok());
    told.unwrap_or(0)
}

/// The client's request as it goes to a server; none where its body has gone elsewhere.
fn request(
    upstreams: &Upstreams,
    message: &Message,
    now: Nanos,
    heard: Option<Heard>,
) -> Option<Request<RequestBody>> {
    let asked = message.headers.contains_key(header::EXPECT).then(|| Arc::new(Notify::new()));
    let body = match &message.payload {
        Payload::Buffered(pieces) => RequestBody::Whole(PieceBody::new(pieces.clone())),
        Payload::Stream(upload) => {
            let body: ClientBody = upload.take_body()?;
            RequestBody::Stream { body, wait: asked.clone().map(until_asked) }
        }
    };
    let mut request = Request::new(body);
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    if upstreams.dialect == Dialect::Platform {
        let left = message.deadline.saturating_sub(now).div_ceil(1_000_000).max(1);
        request.headers_mut().insert(TIMEOUT_MS, HeaderValue::from(left));
    }
    if asked.is_some() || heard.is_some() {
        // `100 Continue` is the program's own affair: it asks its client by itself.
        hyper::ext::on_informational(&mut request, move |interim| match (interim.status(), &asked, &heard) {
            (StatusCode::CONTINUE, Some(asked), _) => asked.notify_one(),
            (StatusCode::CONTINUE, None, _) | (_, _, None) => {}
            (status, _, Some(heard)) => heard.note(status, interim.headers()),
        });
    }
    Some(request)
}

/// Ends when the server has asked for the body, or has said nothing for long enough.
fn until_asked(asked: Arc<Notify>) -> Pin<Box<dyn std::future::Future<Output = ()>>> {
    Box::pin(async move {
        let _ = tokio::time::timeout(CONTINUE, asked.notified()).await;
    })
}
