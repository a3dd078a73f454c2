//! Closes of client connections: bytes may arrive between the request of a close and its execution.

use corkhollow_engine::Clock;
use corkhollow_operate::{Metrics, SharedLifecycle};
use corkhollow_plan::config::parse_config;
use corkhollow_plan::limits::Budget;
use corkhollow_proxy::active_plan::{ActivePlan, CurrentPlan};
use corkhollow_proxy::http1::{ClientConnections, Service};
use corkhollow_proxy::upstream::{Engines, PoolContext};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};

/// The `header_timeout` of [`CONFIG`].
const HEADER_TIMEOUT: Duration = Duration::from_millis(60);
const REQUEST: &[u8] = b"GET /nowhere HTTP/1.1\r\nHost: app.svc\r\n\r\n";
const CONFIG: &str = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[limits]\nheader_timeout = \"60ms\"\n\
                    [[pool]]\nname = \"main\"\nservers = []\n[[route]]\nname = \"some\"\npath = \"/some\"\npool = \"main\"\n";

/// The gateway and one client connected to it, on a single thread: the gateway runs only while the test
/// awaits.
struct TestConnection {
    clients: Rc<ClientConnections>,
    client: TcpStream,
}

impl TestConnection {
    async fn new() -> Self {
        let plan = parse_config(CONFIG, Path::new("")).unwrap_or_else(|errors| panic!("{}", errors[0])).plan;
        let context = PoolContext {
            clock: Clock::start(),
            budget: Budget::new(1_000, 64 << 20, 16 << 10),
            metrics: Metrics::new().unwrap(),
            engines: Engines::default(),
        };
        let active_plan = ActivePlan::start(plan, &context, 7, None).unwrap();
        let service = Rc::new(Service {
            current_plan: CurrentPlan::new(active_plan),
            clock: context.clock,
            budget: context.budget,
            lifecycle: SharedLifecycle::default(),
            request_id_counter: Cell::new(1),
            metrics: context.metrics,
        });
        let clients = ClientConnections::new(service);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(clients.clone().accept("web".into(), listener, Rc::new(Notify::new())));
        let client = TcpStream::connect(address).unwrap();
        client.set_nonblocking(true).unwrap();
        TestConnection { clients, client }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.client.write_all(bytes).unwrap();
    }

    /// Lets the gateway read what the client has sent.
    async fn let_gateway_run(&self) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// Reads until the connection ends or is silent for a while; returns the bytes, and whether the
    /// connection ended.
    async fn receive(&mut self) -> (String, bool) {
        let (mut received, mut last_byte_at) = (Vec::new(), Instant::now());
        let mut bytes = [0; 4096];
        loop {
            match self.client.read(&mut bytes) {
                Ok(0) => return (String::from_utf8(received).unwrap(), true),
                Ok(count) => {
                    received.extend_from_slice(&bytes[..count]);
                    last_byte_at = Instant::now();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if last_byte_at.elapsed() > Duration::from_millis(300) {
                        return (String::from_utf8(received).unwrap(), false);
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(_) => return (String::from_utf8(received).unwrap(), true),
            }
        }
    }
}

fn run_local_test<F: std::future::Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test());
}

/// Guards against dropping a request that arrived while the process was paused beyond the header timeout.
#[test]
fn head_completed_before_its_timeout_is_carried_out_is_answered() {
    run_local_test(|| async {
        let mut connection = TestConnection::new().await;
        connection.send(&REQUEST[..20]);
        connection.let_gateway_run().await;
        // A blocking sleep: the gateway does not run meanwhile.
        std::thread::sleep(2 * HEADER_TIMEOUT);
        connection.send(&REQUEST[20..]);
        connection.clients.close_slow_heads();
        let (answer, _) = connection.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 "), "{answer:?}");
    });
}

#[test]
fn incomplete_head_is_closed_after_its_timeout() {
    run_local_test(|| async {
        let mut connection = TestConnection::new().await;
        connection.send(&REQUEST[..20]);
        connection.let_gateway_run().await;
        tokio::time::sleep(2 * HEADER_TIMEOUT).await;
        connection.clients.close_slow_heads();
        assert_eq!(connection.receive().await, (String::new(), true));
    });
}

/// The second request on a connection has begun when its listener is removed: it is answered, then the
/// connection closes.
#[test]
fn request_begun_before_its_listener_is_removed_is_answered() {
    run_local_test(|| async {
        let mut connection = TestConnection::new().await;
        connection.send(REQUEST);
        let (answer, ended) = connection.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 ") && !ended, "{answer:?}, ended: {ended}");
        connection.send(&REQUEST[..20]);
        connection.let_gateway_run().await;
        connection.clients.close_listener("web");
        connection.let_gateway_run().await;
        connection.send(&REQUEST[20..]);
        let (answer, ended) = connection.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 ") && ended, "{answer:?}, ended: {ended}");
    });
}

/// Guards against a header timeout that does not start when a head arrives in one segment with the previous
/// request.
#[test]
fn incomplete_pipelined_head_is_closed_after_its_timeout() {
    run_local_test(|| async {
        let mut connection = TestConnection::new().await;
        connection.send(&[REQUEST, &REQUEST[..20]].concat());
        let (answer, ended) = connection.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 ") && !ended, "{answer:?}, ended: {ended}");
        tokio::time::sleep(2 * HEADER_TIMEOUT).await;
        connection.clients.close_slow_heads();
        assert_eq!(connection.receive().await, (String::new(), true));
    });
}

/// Guards against a header timeout that is not cleared once a pipelined head is complete.
#[test]
fn completed_pipelined_head_is_answered_and_the_connection_kept() {
    run_local_test(|| async {
        let mut connection = TestConnection::new().await;
        connection.send(&[REQUEST, &REQUEST[..20]].concat());
        connection.let_gateway_run().await;
        connection.send(&REQUEST[20..]);
        let (answers, ended) = connection.receive().await;
        assert!(answers.matches("HTTP/1.1 404 ").count() == 2 && !ended, "{answers:?}, ended: {ended}");
        tokio::time::sleep(2 * HEADER_TIMEOUT).await;
        connection.clients.close_slow_heads();
        assert_eq!(connection.receive().await, (String::new(), false));
    });
}
