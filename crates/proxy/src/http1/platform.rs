//! Requests in the platform's HTTP dialect: its headers, its body limits and its error responses.

use super::body_pace::PaceLimits;
use super::client_connection::ClientConnection;
use super::close_policy::RequestStage;
use super::platform_head::PlatformHead;
use super::responses::with_connection_close;
use super::service::Service;
use super::upload::{self, BodyLimits, UploadError};
use crate::active_plan::ActivePlan;
use crate::body::{AnswerBody, BufferedBodyReader};
use crate::headers::has_supported_transfer_coding;
use crate::shortage::reclaim;
use bytes::Bytes;
use corkhollow_balance::interface::{Nanos, Settings};
use corkhollow_engine::{Answer, Message, Payload};
use corkhollow_plan::limits::{Arrival, Budget, Lease, MAX_BODY_BYTES};
use corkhollow_plan::plan::Limits;
use corkhollow_plan::routes::{RequestHead, RouteAction};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time between two parts of a request body.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(2200);
/// Half of the rate at which the platform's slowest clients send.
const MIN_BODY_BYTES_PER_SECOND: u64 = 32_000;
const BODY_PACE: PaceLimits =
    PaceLimits { stall_timeout: BODY_STALL_TIMEOUT, min_bytes_per_second: Some(MIN_BODY_BYTES_PER_SECOND) };
/// An answer decided this long after its request's deadline violates the platform's rule on late answers.
const LATE_ANSWER_SLACK: Nanos = 500_000_000;

/// Answers one request: checks its headers, receives its body and submits it to its pool.
pub(super) async fn answer_request(
    service: &Rc<Service>,
    active_plan: &ActivePlan,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/up" && head.method == Method::GET {
        let is_ready = service.lifecycle.lock().is_ready();
        return text_response(if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
    }
    if let Err(text) = check_form(&head, client) {
        return reject(StatusCode::BAD_REQUEST, text);
    }
    let Some((class, pool_index)) = find_class_and_pool(active_plan, &head) else {
        return reject(StatusCode::NOT_FOUND, "no such class of requests\n");
    };
    let (pool, settings) = (&active_plan.pools[pool_index], &active_plan.plan.pools[pool_index].settings);
    client.track_request(&active_plan.class_metrics[class]);
    let limits = body_limits(&active_plan.plan.limits);
    let head = PlatformHead::parse(head, &active_plan.plan.tenants);
    let head_bytes = head.as_ref().map_or(0, |head| head.headers.memory_bytes());
    let lease = reserve_head(&service.budget, head_bytes, client, &body).await;
    let Some((_head_lease, waited)) = lease.filter(|_| !client.over_limit) else {
        // Answer 503 with `Retry-After`, but only after reading the body, so that the client sees the answer.
        if body.size_hint().lower() <= MAX_BODY_BYTES {
            upload::discard_body(body, &limits, client).await;
        }
        return with_connection_close(refusal_response(Nanos::MAX, settings));
    };
    let payload = match upload::receive_body(body, &limits, &service.budget, service.clock, client).await {
        Ok(payload) => payload,
        Err(error) => return reject_upload(error),
    };
    let mut head = match head {
        Ok(head) => head,
        Err(text) => return reject(StatusCode::BAD_REQUEST, text),
    };
    // A timeout longer than the class allows would only hold memory.
    let max_time = settings.classes[class].give_up;
    let time_left = head.timeout.unwrap_or(max_time).min(max_time);
    // The client's timeout includes the time that its connection spent in the backlog, and its wait for memory.
    let waited = client.effective_backlog_wait() + waited.as_nanos() as Nanos;
    let time_left = time_left.saturating_sub(waited);
    client.stage.set(RequestStage::AwaitingAnswer);
    let is_buffered = matches!(payload, Payload::Buffered(_));
    if is_buffered {
        client.mark_request_received(service.clock.now());
    }
    let deadline = service.clock.now() + time_left;
    let request = head.request(active_plan.class_indexes[pool_index][class], deadline, !is_buffered);
    let request = request.with_limits_of(settings);
    match &payload {
        Payload::Buffered(body) if !head.headers.contains(&header::CONTENT_LENGTH) && !body.is_empty() => {
            head.headers.push(&header::CONTENT_LENGTH, &HeaderValue::from(body.len()));
        }
        _ => {}
    }
    let PlatformHead { method, uri, headers, id, .. } = head;
    let message = Message { method, uri, headers, payload, deadline, interim_handler: None };
    let upload_progress = message.upload().map(|upload| upload.progress.clone());
    pool.wait_for_servers().await;
    let Some(mut pending_answer) = pool.engine.submit(Some(id), request, message) else {
        return reject(StatusCode::CONFLICT, "a request with this X-Request-ID has been received\n");
    };
    let answer = pending_answer.answer().await;
    if is_buffered && service.clock.now() > deadline + LATE_ANSWER_SLACK {
        service.metrics.count_late_answer();
    }
    client.answered_request.replace(Some(pending_answer));
    // The body has been read to its end, or its unread remainder has been returned to the connection.
    let unread_body = client.unread_body.take();
    // A client that stopped in the middle of its body has had its time for the rest.
    let client_failed = upload_progress.is_some_and(|progress| progress.client_failed.get());
    let body_consumed = match unread_body {
        Some(unread_body) => !client_failed && upload::discard_body(unread_body, &limits, client).await,
        None => true,
    };
    let response = answer_response(answer, settings);
    if body_consumed {
        response
    } else {
        with_connection_close(response)
    }
}

fn body_limits(limits: &Limits) -> BodyLimits {
    BodyLimits {
        max_buffered_bytes: limits.replay_buffer_bytes,
        max_bytes: MAX_BODY_BYTES,
        pace: BODY_PACE,
        first_request_timeout: limits.first_request_timeout.map(Duration::from_nanos),
        forward_stall_timeout: Duration::from_nanos(limits.stall_timeout),
        returns_unread: true,
        one_request_at_a_time: true,
        forwards_trailers: false,
        awaits_continue: false,
    }
}

/// The request's class and the index of its pool. The path is matched and forwarded without normalisation.
fn find_class_and_pool(active_plan: &ActivePlan, head: &Parts) -> Option<(usize, usize)> {
    let request_head = RequestHead {
        listener: 0,
        host: "",
        path: head.uri.path(),
        query: None,
        method: &head.method,
        headers: &head.headers,
    };
    let (_, route) = active_plan.plan.routes.find(&request_head)?;
    match route.action {
        RouteAction::Forward { pool, .. } => Some((route.class?, pool)),
        _ => None,
    }
}

/// Reserves memory for the head of a request with this body; returns how long that took, beside the lease. `None` if there
/// is no room.
async fn reserve_head(
    budget: &Rc<Budget>,
    head_bytes: usize,
    client: &ClientConnection,
    body: &Incoming,
) -> Option<(Lease, Duration)> {
    let arrival = if body.is_end_stream() { Arrival::Whole } else { Arrival::Incomplete };
    let mut lease = budget.small_lease(arrival);
    if head_bytes == 0 || lease.grow(head_bytes) {
        return Some((lease, Duration::ZERO));
    }
    // The kernel is asked only where it matters.
    if body.size_hint().exact().is_some_and(|length| client.socket.has_received_message(length)) {
        lease = budget.small_lease(Arrival::Whole);
    }
    let waiting_since = Instant::now();
    let mut reserve = || lease.grow(head_bytes).then_some(());
    if reserve().is_none() {
        Box::pin(reclaim(budget, reserve)).await?;
    }
    Some((lease, waiting_since.elapsed()))
}

/// Rejects requests that servers could not read, or could read in another way, although hyper accepts them.
fn check_form(head: &Parts, client: &ClientConnection) -> Result<(), &'static str> {
    // hyper drops the length beside a transfer coding. In a head that came in one read with the request before it,
    // where it cannot be looked for, it may be hidden.
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    let may_have_length = || {
        !client.socket.has_head_start(head.method.as_str())
            || client.socket.head_contains("\ncontent-length:")
    };
    if is_chunked && may_have_length() {
        return Err("two lengths\n");
    }
    if !has_supported_transfer_coding(&head.headers) {
        return Err("the only transfer coding is chunked\n");
    }
    if head.headers.get_all(header::HOST).iter().count() > 1 {
        return Err("two hosts\n");
    }
    if head.method == Method::CONNECT {
        return Err("this is no proxy for tunnels\n");
    }
    Ok(())
}

fn server_response(headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.headers_mut() = headers;
    response
}

/// A 503 with `Retry-After`, if the settings allow that header.
fn refusal_response(retry_after: Nanos, settings: &Settings) -> Response<AnswerBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    let seconds = retry_after.min(settings.max_retry_after) as f64 / 1e9;
    if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
        if retry_after > 0 && settings.retry_after {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Converts a request's answer to the response for the client.
fn answer_response(answer: Answer, settings: &Settings) -> Response<AnswerBody> {
    match answer {
        Answer::Buffered { headers, body, .. } => {
            server_response(headers, AnswerBody::Buffered(BufferedBodyReader::new(Rc::new(body))))
        }
        Answer::Stream { headers, length, frames, .. } => {
            server_response(headers, AnswerBody::Stream { frames, length })
        }
        Answer::Refused { retry_after } => refusal_response(retry_after, settings),
        Answer::Failed { timed_out: true } => {
            text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
        }
        Answer::Failed { timed_out: false } => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

fn reject_upload(error: UploadError) -> Response<AnswerBody> {
    match error {
        UploadError::TooLarge => reject(StatusCode::PAYLOAD_TOO_LARGE, "over 32 MiB\n"),
        UploadError::TimedOut => reject(StatusCode::REQUEST_TIMEOUT, "the body took too long\n"),
        UploadError::Incomplete => reject(StatusCode::BAD_REQUEST, "the body broke off\n"),
    }
}

/// An error response behind which the connection is closed.
fn reject(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    with_connection_close(text_response(status, text))
}

fn text_response(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let text = (!text.is_empty()).then(|| Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(AnswerBody::Text(text));
    *response.status_mut() = status;
    response
}
