//! Requests in standard HTTP/1.1 (RFC 9110, RFC 9112): routing, forwarding and error responses.

use super::body_pace::PaceLimits;
use super::client_connection::ClientConnection;
use super::close_policy::RequestStage;
use super::responses::with_connection_close;
use super::service::Service;
use super::upload::{self, UploadError};
use crate::active_plan::ActivePlan;
use crate::body::{AnswerBody, BufferedBodyReader};
use crate::headers::{has_supported_transfer_coding, strip_hop_by_hop};
use bytes::Bytes;
use corkhollow_balance::interface::{self, Nanos};
use corkhollow_engine::{Answer, InterimHandler, Message, Payload, StoredHeaders};
use corkhollow_plan::plan::Listener;
use corkhollow_plan::routes::path::normalise;
use corkhollow_plan::routes::{Host, RequestHead, Rewrite, RouteAction};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use std::borrow::Cow;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

const X_FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const X_FORWARDED_HOST: HeaderName = HeaderName::from_static("x-forwarded-host");
const X_FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");

/// An error response made by the gateway itself (RFC 9457).
struct Problem {
    status: StatusCode,
    /// Machine-readable name of the error.
    reason: &'static str,
    /// Human-readable explanation.
    detail: Cow<'static, str>,
    retry_after: Option<Nanos>,
    allow: Option<HeaderValue>,
    /// Whether the connection is closed after the response.
    close: bool,
}

impl Problem {
    fn new(status: StatusCode, reason: &'static str, detail: impl Into<Cow<'static, str>>) -> Self {
        Problem { status, reason, detail: detail.into(), retry_after: None, allow: None, close: false }
    }

    /// A request that cannot be parsed unambiguously. The connection closes: the start of the next request is
    /// unknown.
    fn malformed(detail: impl Into<Cow<'static, str>>) -> Self {
        Problem { close: true, ..Problem::new(StatusCode::BAD_REQUEST, "unreadable", detail) }
    }

    /// Converts to a response with an `application/problem+json` body.
    fn into_response(self) -> Response<AnswerBody> {
        let body = serde_json::json!({
            "type": "about:blank",
            "status": self.status.as_u16(),
            "title": self.status.canonical_reason().unwrap_or_default(),
            "reason": self.reason,
            "detail": self.detail,
        });
        let mut response = Response::new(AnswerBody::Text(Some(Bytes::from(format!("{body}\n")))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(wait) = self.retry_after.filter(|nanos| *nanos > 0) {
            // `Retry-After` takes whole seconds only (RFC 9110, 10.2.3).
            headers.insert(header::RETRY_AFTER, HeaderValue::from(wait.div_ceil(1_000_000_000)));
        }
        if let Some(allow) = self.allow {
            headers.insert(header::ALLOW, allow);
        }
        if self.close {
            return with_connection_close(response);
        }
        response
    }
}

/// Answers one request; `listener_index` is `None` if the listener was removed.
pub(super) async fn answer_request(
    service: &Rc<Service>,
    active_plan: &ActivePlan,
    client: &Rc<ClientConnection>,
    listener_index: Option<usize>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let is_head_request = request.method() == Method::HEAD;
    let sends_body_unasked = !request.headers().contains_key(header::EXPECT);
    let (head, body) = request.into_parts();
    let mut body = Some(body);
    let mut response =
        match route_request(service, active_plan, client, listener_index, head, &mut body).await {
            Ok(response) => response,
            Err(problem) => problem.into_response(),
        };
    // Discard a short unread body to keep the connection. A client that still awaits `100 Continue` may never
    // send it.
    if let Some(unread_body) = body.filter(|body| !body.is_end_stream()) {
        if !sends_body_unasked || !upload::discard_short_body(unread_body, client).await {
            response = with_connection_close(response);
        }
    }
    if is_head_request {
        if let AnswerBody::Text(text) = response.body_mut() {
            let length = text.take().map_or(0, |text| text.len());
            response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
    }
    response
}

/// Routes one request and carries out the route's outcome. Takes the body out of `body` if it is read.
async fn route_request(
    service: &Rc<Service>,
    active_plan: &ActivePlan,
    client: &Rc<ClientConnection>,
    listener_index: Option<usize>,
    head: Parts,
    body: &mut Option<Incoming>,
) -> Result<Response<AnswerBody>, Problem> {
    let Some(listener_index) = listener_index else {
        let detail = "the listener has been taken away";
        return Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, "listener-gone", detail));
    };
    let listener = &active_plan.plan.listeners[listener_index];
    check_framing(&head, client)?;
    let authority = authority(&head)?;
    let host = Host::parse(authority.to_str().unwrap_or_default())
        .map_err(|error| Problem::malformed(error.to_string()))?;
    let path = match head.uri.path() {
        "*" if head.method == Method::OPTIONS => Cow::Borrowed("*"),
        raw => normalise(raw, listener.paths).map_err(|error| Problem::malformed(error.to_string()))?,
    };
    let request_head = RequestHead {
        listener: listener_index,
        host: host.as_str(),
        path: &path,
        query: head.uri.query(),
        method: &head.method,
        headers: &head.headers,
    };
    let Some((_, route)) = active_plan.plan.routes.find(&request_head) else {
        return Err(no_route_problem(active_plan, &request_head));
    };
    match &route.action {
        RouteAction::Answer { status, content_type, body } => {
            let mut response = Response::new(AnswerBody::Text((!body.is_empty()).then(|| body.clone())));
            *response.status_mut() = StatusCode::from_u16(*status).unwrap_or(StatusCode::OK);
            response.headers_mut().insert(header::CONTENT_TYPE, content_type.clone());
            Ok(response)
        }
        RouteAction::Redirect(redirect) => {
            let location = redirect.location("http", host.as_str(), &path, head.uri.query());
            let location =
                location.ok_or_else(|| Problem::malformed("no location can be made of this target"))?;
            let mut response = Response::new(AnswerBody::Text(None));
            *response.status_mut() = StatusCode::from_u16(redirect.status).unwrap_or(StatusCode::FOUND);
            response.headers_mut().insert(header::LOCATION, location);
            Ok(response)
        }
        RouteAction::Forward { pool, rewrite } => {
            let class = active_plan.plan.class_of(route.class, &head.method);
            client.track_request(&active_plan.class_metrics[class]);
            let upstream_path = upstream_target(rewrite, &path, &head.uri)?;
            let tenant = active_plan.plan.tenants.number(head.headers.get(&active_plan.plan.tenants.header));
            let mut headers = head.headers;
            let awaits_continue = expects_continue(&headers)?;
            set_request_headers(&mut headers, listener, client, &authority, service);
            headers.insert(header::HOST, rewrite.host.clone().unwrap_or(authority));
            rewrite.request.apply(&mut headers);
            let mut headers = StoredHeaders::new(&headers);
            let limits = &active_plan.plan.limits;
            let body_limits = upload::BodyLimits {
                max_buffered_bytes: limits.replay_buffer_bytes,
                max_bytes: u64::MAX,
                pace: PaceLimits {
                    stall_timeout: Duration::from_nanos(limits.stall_timeout),
                    min_bytes_per_second: None,
                },
                first_request_timeout: None,
                forward_stall_timeout: Duration::from_nanos(limits.stall_timeout),
                returns_unread: false,
                one_request_at_a_time: false,
                forwards_trailers: true,
                awaits_continue,
            };
            let Some(body) = body.take() else { return Err(Problem::malformed("no body")) };
            let payload = upload::receive_body(body, &body_limits, &service.budget, service.clock, client)
                .await
                .map_err(|error| match error {
                    UploadError::TimedOut => {
                        let detail = "the body stood still for too long";
                        Problem {
                            close: true,
                            ..Problem::new(StatusCode::REQUEST_TIMEOUT, "body-late", detail)
                        }
                    }
                    UploadError::TooLarge => {
                        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "too-large", "the body is too long")
                    }
                    UploadError::Incomplete => Problem::malformed("the body broke off or cannot be read"),
                })?;
            if let Payload::Buffered(body) = &payload {
                if !headers.contains(&header::CONTENT_LENGTH) && !body.is_empty() {
                    headers.push(&header::CONTENT_LENGTH, &HeaderValue::from(body.len()));
                }
                headers.remove(&header::EXPECT);
            }
            let settings = &active_plan.plan.pools[*pool].settings;
            let (pool, class_indexes) = (&active_plan.pools[*pool], &active_plan.class_indexes[*pool]);
            let deadline = service.clock.now() + active_plan.plan.classes[class].class.give_up;
            let request = interface::Request {
                class: class_indexes[class],
                tenant: tenant.unwrap_or(u32::MAX),
                is_write: !head.method.is_safe(),
                has_streaming_body: matches!(payload, Payload::Stream(_)),
                ..interface::Request::new(0, deadline).with_limits_of(settings)
            };
            let interim_handler =
                (head.version == Version::HTTP_11).then(|| interim_handler(client, listener));
            let message = Message {
                method: head.method,
                uri: Uri::from(upstream_path),
                headers,
                payload,
                deadline,
                interim_handler,
            };
            client.stage.set(RequestStage::AwaitingAnswer);
            if matches!(message.payload, Payload::Buffered(_)) {
                client.mark_request_received(service.clock.now());
            }
            let upload_progress = message.upload().map(|upload| upload.progress.clone());
            let Some(mut pending_answer) = pool.engine.submit(None, request, message) else {
                return Err(Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "engine", "not taken"));
            };
            let answer = pending_answer.answer().await;
            let body_consumed = upload_progress.is_none_or(|progress| progress.ended_at.get().is_some());
            match client_response(answer, rewrite, listener) {
                Ok(response) if body_consumed => Ok(response),
                Ok(response) => Ok(with_connection_close(response)),
                Err(problem) => Err(Problem { close: problem.close || !body_consumed, ..problem }),
            }
        }
    }
}

/// Rejects messages whose framing another parser could read differently (request smuggling), and `CONNECT`.
fn check_framing(head: &Parts, client: &ClientConnection) -> Result<(), Problem> {
    if head.headers.contains_key(header::TRANSFER_ENCODING)
        && client.socket.head_contains("\ncontent-length:")
    {
        return Err(Problem::malformed("a length beside a transfer coding"));
    }
    if !has_supported_transfer_coding(&head.headers) {
        let detail = "the only transfer coding is chunked";
        return Err(Problem { close: true, ..Problem::new(StatusCode::NOT_IMPLEMENTED, "coding", detail) });
    }
    if client.socket.head_has_bare_line_feed() {
        return Err(Problem::malformed("a line that ends with a bare line feed"));
    }
    if head.method == Method::CONNECT {
        let detail = "this is no proxy for tunnels";
        return Err(Problem { close: true, ..Problem::new(StatusCode::NOT_IMPLEMENTED, "connect", detail) });
    }
    Ok(())
}

/// The request target sent to the server: unchanged unless normalisation or the route rewrites it.
fn upstream_target(rewrite: &Rewrite, path: &str, uri: &Uri) -> Result<PathAndQuery, Problem> {
    if let (None, Some(original)) = (&rewrite.path, uri.path_and_query()) {
        // A target in absolute form may have an empty path.
        if original.path() == path && original.as_str().starts_with(['/', '*']) {
            return Ok(original.clone());
        }
    }
    let target = rewrite.target(path, uri.query());
    target.map_err(|error| Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "rewrite", error.to_string()))
}

/// Host and port of the request: those of an absolute-form target, else of `Host` (RFC 9112, 3.2).
fn authority(head: &Parts) -> Result<HeaderValue, Problem> {
    let mut hosts = head.headers.get_all(header::HOST).into_iter();
    let (host, second) = (hosts.next(), hosts.next());
    if second.is_some() || (host.is_none() && head.version >= Version::HTTP_11) {
        return Err(Problem::malformed("one Host is needed"));
    }
    let authority = match head.uri.authority() {
        Some(authority) => HeaderValue::try_from(authority.as_str()).ok(),
        None => Some(host.cloned().unwrap_or(HeaderValue::from_static(""))),
    };
    authority.filter(|host| host.to_str().is_ok()).ok_or_else(|| Problem::malformed("Host is no text"))
}

/// Whether the client awaits `100 Continue` before it sends the body.
fn expects_continue(headers: &HeaderMap) -> Result<bool, Problem> {
    match headers.get(header::EXPECT) {
        None => Ok(false),
        Some(value) if value.as_bytes().eq_ignore_ascii_case(b"100-continue") => Ok(true),
        Some(_) => {
            let detail = "only 100-continue can be expected";
            Err(Problem {
                close: true,
                ..Problem::new(StatusCode::EXPECTATION_FAILED, "expectation", detail)
            })
        }
    }
}

/// 405 if a route matches with another method, else 404.
fn no_route_problem(active_plan: &ActivePlan, request_head: &RequestHead<'_>) -> Problem {
    let allowed = active_plan.plan.routes.allowed_methods(request_head);
    if allowed.is_empty() {
        return Problem::new(StatusCode::NOT_FOUND, "no-route", "no route takes this request");
    }
    let names: Vec<_> = allowed.iter().map(Method::as_str).collect();
    let allow = HeaderValue::try_from(names.join(", ")).ok();
    Problem { allow, ..Problem::new(StatusCode::METHOD_NOT_ALLOWED, "method", "not with this method") }
}

/// Prepares headers for the server: removes hop-by-hop headers, adds forwarding headers, `Via` and a request
/// id.
fn set_request_headers(
    headers: &mut HeaderMap,
    listener: &Listener,
    client: &ClientConnection,
    authority: &HeaderValue,
    service: &Service,
) {
    strip_hop_by_hop(headers);
    let trust_previous = listener.trust_forwarded;
    if listener.x_forwarded {
        set_forwarding_header(headers, X_FORWARDED_FOR, client.address.clone(), trust_previous, true);
        set_forwarding_header(headers, X_FORWARDED_HOST, authority.clone(), trust_previous, false);
        set_forwarding_header(
            headers,
            X_FORWARDED_PROTO,
            HeaderValue::from_static("http"),
            trust_previous,
            false,
        );
    }
    if listener.forwarded {
        let node = match client.peer.ip() {
            IpAddr::V4(v4) => v4.to_string(),
            IpAddr::V6(v6) => format!("\"[{v6}]\""),
        };
        let host = match authority.to_str() {
            Ok(host) if !host.is_empty() => format!(";host=\"{host}\""),
            _ => String::new(),
        };
        if let Ok(value) = HeaderValue::try_from(format!("for={node}{host};proto=http")) {
            set_forwarding_header(headers, header::FORWARDED, value, trust_previous, true);
        }
    }
    if let Some(via) = &listener.via {
        headers.append(header::VIA, via.clone());
    }
    if !headers.contains_key(&listener.request_id) {
        let id = corkhollow_plan::stable_hash(&service.clock.now().to_le_bytes()) ^ service.next_request_id();
        if let Ok(id) = HeaderValue::try_from(format!("{id:016x}")) {
            headers.insert(&listener.request_id, id);
        }
    }
}

/// Sets a forwarding header. If `trust_previous`, an existing value is kept: as the start of the list for a
/// list header, in place of `value` otherwise.
fn set_forwarding_header(
    headers: &mut HeaderMap,
    name: HeaderName,
    value: HeaderValue,
    trust_previous: bool,
    is_list: bool,
) {
    if trust_previous {
        let previous = headers.get_all(&name).into_iter().filter_map(|v| v.to_str().ok());
        let previous = previous.collect::<Vec<_>>().join(", ");
        if !previous.is_empty() {
            let combined = if is_list {
                format!("{previous}, {}", value.to_str().unwrap_or_default())
            } else {
                previous
            };
            if let Ok(combined) = HeaderValue::try_from(combined) {
                headers.insert(name, combined);
            }
            return;
        }
    }
    headers.insert(name, value);
}

/// Forwards interim (1xx) answers. hyper's server cannot send them, so they are written directly to the
/// socket, which accepts them only between two messages.
fn interim_handler(client: &Rc<ClientConnection>, listener: &Listener) -> InterimHandler {
    let (client, via) = (client.clone(), listener.via.clone());
    InterimHandler::new(move |status, mut headers| {
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        if let Some(via) = &via {
            headers.append(header::VIA, via.clone());
        }
        let reason = status.canonical_reason().unwrap_or_default();
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).into_bytes();
        for (name, value) in &headers {
            head.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
        }
        head.extend(b"\r\n");
        client.socket.write_own_message(&head);
    })
}

/// Converts a request's answer to the response for the client.
fn client_response(
    answer: Answer,
    rewrite: &Rewrite,
    listener: &Listener,
) -> Result<Response<AnswerBody>, Problem> {
    let (status, mut headers, body) = match answer {
        Answer::Buffered { status, headers, body } => {
            (status, headers, AnswerBody::Buffered(BufferedBodyReader::new(Rc::new(body))))
        }
        Answer::Stream { status, headers, length, frames } => {
            (status, headers, AnswerBody::Stream { frames, length })
        }
        Answer::Refused { retry_after } => {
            let detail = "no server can take it now; it has not run";
            let problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, "refused", detail);
            return Err(Problem { retry_after: Some(retry_after), ..problem });
        }
        Answer::Failed { timed_out: true } => {
            let detail = "no answer in time; it may have run";
            return Err(Problem::new(StatusCode::GATEWAY_TIMEOUT, "late", detail));
        }
        Answer::Failed { timed_out: false } => {
            let detail = "no server answered; it may have run";
            return Err(Problem::new(StatusCode::BAD_GATEWAY, "failed", detail));
        }
    };
    rewrite.response.apply(&mut headers);
    if let Some(via) = &listener.via {
        headers.append(header::VIA, via.clone());
    }
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}
