//! The operator's address (HTTP/1.1, one call to a connection): ready, metrics, drain, resume. It has a thread and a
//! runtime of its own, so that no load keeps an answer back.

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

/// Callers that may be connected at once; the oldest goes for a new one. Calls take milliseconds: one that is still
/// there says nothing.
pub const MAX_CONNECTIONS: usize = 8;
/// A head that is not there after this will not come.
const HEAD_WITHIN: Duration = Duration::from_secs(2);
/// The whole of a call takes no longer, whoever reads slowly.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// The longest head of a call, in bytes.
const HEAD: usize = 8 * 1024;
/// The longest body, which no call needs, and how long it may take to come.
const BODY: usize = 8 * 1024;
const BODY_WITHIN: Duration = Duration::from_secs(2);

/// What calls are answered from.
#[derive(Clone)]
pub struct Operator {
    /// The node's life.
    pub control: SharedLifecycle,
    /// What it has done.
    pub metrics: Metrics,
    /// The clock that its life goes by.
    pub clock: Clock,
    /// Tells the serving side that the life has changed.
    pub changed: Arc<Notify>,
    /// The node's place in its fleet, if it has one.
    pub fleet: FleetCell,
}

impl Operator {
    /// Serves on a thread of its own, for good.
    ///
    /// # Errors
    /// Where the system has no thread or no descriptor left.
    pub fn start(self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let serve = move || runtime.block_on(LocalSet::new().run_until(self.serve(listener)));
        std::thread::Builder::new().name("operator".to_owned()).spawn(serve).map(drop)
    }

    async fn serve(self, listener: TcpListener) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => return log(format_args!("operator's address: {error}")),
        };
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            callers.retain(|caller| !caller.is_finished());
            while callers.len() >= MAX_CONNECTIONS {
                callers.pop_front().inspect(AbortHandle::abort);
            }
            callers.push_back(tokio::task::spawn_local(call(self.clone(), stream)).abort_handle());
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
            "/-/ready" if self.control.lock().is_ready() => text(StatusCode::OK, "ready\n"),
            "/-/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/-/metrics" => match self.metrics.render() {
                Ok((page, kind)) => {
                    let mut response = Response::new(Full::new(Bytes::from(page)));
                    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
                    response
                }
                Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "the metrics cannot be written\n"),
            },
            "/-/events" => plain(Bytes::from(self.metrics.events.render())),
            "/-/fleet" => match self.fleet.get() {
                Some(fleet) => json(page(fleet)),
                None => text(StatusCode::NOT_FOUND, "no member of a fleet\n"),
            },
            "/-/drain" => {
                self.control.lock().drain(self.clock.now());
                self.changed.notify_one();
                log(format_args!("the operator drains the node"));
                text(StatusCode::OK, "draining\n")
            }
            _ => {
                let serving = self.control.lock().resume();
                self.changed.notify_one();
                log(format_args!("the operator resumes the node"));
                match serving {
                    true => text(StatusCode::OK, "serving\n"),
                    false => text(StatusCode::CONFLICT, "the node ends\n"),
                }
            }
        }
    }
}

/// What the node holds of its fleet, in JSON.
fn page(fleet: &Fleet) -> String {
    let view = fleet.view();
    let refused_by = match view.standing {
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

async fn call(operator: Operator, stream: TcpStream) {
    let (operator, socket) = (&operator, &Socket::new(stream));
    let answering = service_fn(|request: Request<Incoming>| async move {
        let (head, body) = request.into_parts();
        Ok::<_, Infallible>(match whole(&head.headers, socket, body).await {
            Ok(()) => operator.answer(&head.method, head.uri.path()),
            Err((status, why)) => text(status, why),
        })
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(HEAD).timer(TokioTimer::new()).header_read_timeout(HEAD_WITHIN);
    // What goes wrong here is the caller's.
    let _ = tokio::time::timeout(
        CALL_WITHIN,
        builder.serve_connection(TokioIo::new(SocketIo(socket.clone())), answering),
    )
    .await;
}

/// Why a call is turned down.
type Refusal = (StatusCode, &'static str);

/// Waits for all of a call: what its caller never finishes must not have acted. Two lengths are no length (RFC 9112, 6.3).
async fn whole(headers: &HeaderMap, socket: &Socket, mut body: Incoming) -> Result<(), Refusal> {
    // hyper keeps one of the two only.
    if headers.contains_key(header::TRANSFER_ENCODING) && socket.head_contains("\ncontent-length:") {
        return Err((StatusCode::BAD_REQUEST, "both Content-Length and Transfer-Encoding\n"));
    }
    let reading = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "the body breaks off\n"))?;
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > BODY {
                return Err((StatusCode::PAYLOAD_TOO_LARGE, "calls have no body to speak of\n"));
            }
        }
        Ok(())
    };
    let late = |_| Err((StatusCode::REQUEST_TIMEOUT, "the body did not come\n"));
    tokio::time::timeout(BODY_WITHIN, reading).await.unwrap_or_else(late)
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
