//! The operator's endpoints (HTTP/1.1, one request per connection): readiness, metrics, events, the fleet
//! page, drain and resume. They run on a thread and a runtime of their own, so that they answer under any
//! load.

use crate::fleet::{Fleet, FleetCell};
use crate::socket::{Socket, SocketIo};
use bytes::Bytes;
use corkhollow_engine::{log, Clock};
use corkhollow_fleet::NodeStatus;
use corkhollow_operate::{FleetPage, Metrics, SharedLifecycle};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, LocalSet};

/// Open connections; a new one closes the oldest, which has most likely stalled, since requests take
/// milliseconds.
pub const MAX_CONNECTIONS: usize = 8;
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Limits a connection as a whole, also if the client reads slowly.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// No endpoint needs a body; a short one is read and ignored.
const MAX_BODY_BYTES: usize = 8 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the operator's endpoints.
#[derive(Clone)]
pub struct OperatorServer {
    /// The node's lifecycle.
    pub lifecycle: SharedLifecycle,
    /// The metrics and events to show.
    pub metrics: Metrics,
    /// The clock of the lifecycle.
    pub clock: Clock,
    /// Notified when an operator has changed the lifecycle.
    pub lifecycle_changed: Arc<Notify>,
    /// The node's fleet handle, if it is a member of a fleet.
    pub fleet: FleetCell,
}

impl OperatorServer {
    /// Serves on a thread of its own, without end.
    ///
    /// # Errors
    /// If the system is out of threads or file descriptors.
    pub fn start(self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let serve = move || runtime.block_on(LocalSet::new().run_until(self.serve(listener)));
        std::thread::Builder::new().name("operator".to_owned()).spawn(serve).map(drop)
    }

    async fn serve(self, listener: TcpListener) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => return log(format_args!("operator listener: {error}")),
        };
        let mut connections: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            connections.retain(|connection| !connection.is_finished());
            while connections.len() >= MAX_CONNECTIONS {
                connections.pop_front().inspect(AbortHandle::abort);
            }
            connections
                .push_back(tokio::task::spawn_local(serve_connection(self.clone(), stream)).abort_handle());
        }
    }

    fn answer(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let allowed = match path {
            "/-/ready" | "/-/metrics" | "/-/events" | "/-/fleet" => Method::GET,
            "/-/drain" | "/-/resume" => Method::POST,
            _ => return text(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if *method != allowed {
            let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "not with this method\n");
            let allow = HeaderValue::from_static(if allowed == Method::GET { "GET" } else { "POST" });
            response.headers_mut().insert(header::ALLOW, allow);
            return response;
        }
        match path {
            "/-/ready" if self.lifecycle.lock().is_ready() => text(StatusCode::OK, "ready\n"),
            "/-/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/-/metrics" => match self.metrics.render() {
                Ok((page, kind)) => {
                    let mut response = Response::new(Full::new(Bytes::from(page)));
                    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
                    response
                }
                Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "the figures cannot be written\n"),
            },
            "/-/events" => plain(Bytes::from(self.metrics.events.render())),
            "/-/fleet" => match self.fleet.get() {
                Some(fleet) => json(fleet_page(fleet)),
                None => text(StatusCode::NOT_FOUND, "no member of a fleet\n"),
            },
            "/-/drain" => {
                self.lifecycle.lock().drain(self.clock.now());
                self.lifecycle_changed.notify_one();
                log(format_args!("an operator drains the node"));
                text(StatusCode::OK, "draining\n")
            }
            _ => {
                let resumed = self.lifecycle.lock().resume();
                self.lifecycle_changed.notify_one();
                log(format_args!("an operator resumes the node"));
                match resumed {
                    true => text(StatusCode::OK, "serving\n"),
                    false => text(StatusCode::CONFLICT, "the node ends\n"),
                }
            }
        }
    }
}

/// The node's view of its fleet, as JSON.
fn fleet_page(fleet: &Fleet) -> String {
    let view = fleet.view();
    let refused_by = match view.status {
        NodeStatus::Refused { by } => Some(by),
        _ => None,
    };
    FleetPage::new(&view.snapshot, refused_by, view.at.elapsed().as_nanos() as u64).to_json()
}

fn json(page: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(page)));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

async fn serve_connection(operator: OperatorServer, stream: TcpStream) {
    let (operator, socket) = (&operator, &Socket::new(stream));
    let service = service_fn(|request: Request<Incoming>| async move {
        let (head, body) = request.into_parts();
        Ok::<_, Infallible>(match read_body(&head.headers, socket, body).await {
            Ok(()) => operator.answer(&head.method, head.uri.path()),
            Err((status, why)) => text(status, why),
        })
    });
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    // Errors of the connection concern only the client.
    let _ = tokio::time::timeout(
        CONNECTION_TIMEOUT,
        builder.serve_connection(TokioIo::new(SocketIo(socket.clone())), service),
    )
    .await;
}

/// The status and text of a rejected request.
type Refusal = (StatusCode, &'static str);

/// Reads the body to its end: an incomplete request must have no effect. Rejects two lengths (RFC 9112, 6.3).
async fn read_body(headers: &HeaderMap, socket: &Socket, mut body: Incoming) -> Result<(), Refusal> {
    // Hyper removes `Content-Length` if there is also `Transfer-Encoding`, so look at the raw head.
    if headers.contains_key(header::TRANSFER_ENCODING) && socket.head_contains("\ncontent-length:") {
        return Err((StatusCode::BAD_REQUEST, "both Content-Length and Transfer-Encoding\n"));
    }
    let read_to_end = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "the body breaks off\n"))?;
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_BODY_BYTES {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "calls have no body to speak of\n"));
            }
        }
        Ok(())
    };
    let timed_out = |_| Err((StatusCode::REQUEST_TIMEOUT, "the body did not come\n"));
    tokio::time::timeout(BODY_TIMEOUT, read_to_end).await.unwrap_or_else(timed_out)
}

fn text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(Bytes::from_static(text.as_bytes()));
    *response.status_mut() = status;
    response
}

fn plain(text: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
