//! The task that serves one client connection from its accept to its close.

use super::client_connection::ClientConnection;
use super::close_policy::{decide_close, CloseDecision, RequestStage};
use super::respond::respond;
use super::service::Service;
use crate::socket::SocketIo;
use corkhollow_plan::plan::Dialect;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// A lingering close ends once the client has sent nothing for this long.
const LINGER_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// A lingering close ends after this time at the latest.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// Answers a request that has not arrived whole, right before its connection is closed. No server has run it: on the
/// platform, whose clients send `one_at_a_time`, servers begin a request with its last byte.
fn refuse_incomplete_request(client: &ClientConnection, one_at_a_time: bool) {
    if let Some(tracker) = &mut *client.tracker.borrow_mut() {
        tracker.mark_over_limit();
    }
    let answer: &[u8] = match one_at_a_time {
        true => b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        false => b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    };
    client.socket.write_own_message(answer);
}

/// Serves one connection until it is closed, by the client or by the node, and records why.
pub(super) async fn serve_connection(service: &Rc<Service>, client: Rc<ClientConnection>) {
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(service.current_plan.get().plan.limits.read_buffer_bytes())
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(None);
    // Boxed, so that a connection without a request has no memory for one.
    let handler = service_fn(|request| Box::pin(respond(service, &client, request)));
    let io = TokioIo::new(SocketIo(client.socket.clone()));
    let mut connection = pin!(builder.serve_connection(io, handler));
    let active_plan = service.current_plan.get();
    let listener = active_plan.plan.listeners.iter().find(|l| *l.name == *client.listener_name);
    let one_at_a_time = listener.is_some_and(|l| l.dialect == Dialect::Platform);
    drop(active_plan);
    loop {
        tokio::select! {
            biased;
            // An error here is the client's: it left, or its request was malformed and answered 400.
            ended = connection.as_mut() => {
                let malformed = ended.is_err_and(|error| error.is_parse());
                client.request_left_unread.set(malformed || client.request_left_unread.get());
                break;
            }
            () = client.client_left(one_at_a_time) => return service.record_close(&client, "client-left", false),
            _ = client.close_signal.notified() => {
                let Some(reason) = client.pending_close.get() else { continue };
                let has_unread = || client.has_unread(reason);
                let state = client.state(service.clock.now());
                match decide_close(reason, &state, &service.close_limits(), has_unread) {
                    CloseDecision::Keep => client.pending_close.set(None),
                    CloseDecision::CloseAfterNextAnswer => {
                        client.pending_close.set(None);
                        client.close_after_answer.set(true);
                    }
                    CloseDecision::CloseGracefully => connection.as_mut().graceful_shutdown(),
                    CloseDecision::Refuse => {
                        refuse_incomplete_request(&client, one_at_a_time);
                        return service.record_close(&client, reason.name(), false);
                    }
                    CloseDecision::Abort => {
                        let dropped = client.stage.get() == RequestStage::AwaitingAnswer && client.request_complete.get();
                        service.record_close(&client, reason.name(), dropped);
                        return;
                    }
                }
            }
        }
    }
    let reason = match client.pending_close.get() {
        Some(reason) => reason.name(),
        None if client.request_left_unread.get() => "answered",
        None => "client",
    };
    service.record_close(&client, reason, false);
    if client.request_left_unread.get() {
        client.stage.set(RequestStage::Lingering);
        // Boxed for its buffer, which few connections need.
        let lingering_close = Box::pin(client.socket.lingering_close(LINGER_SILENCE_TIMEOUT, MAX_LINGER));
        tokio::select! {
            () = lingering_close => {}
            () = client.close_signal.notified() => {}
        }
    }
}
