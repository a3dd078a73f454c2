//! Closes of clients' connections, chosen at one moment and carried out at another, with bytes that come in between.

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

/// How long a client may take for its head here.
const HEAD_WITHIN: Duration = Duration::from_millis(60);
const REQUEST: &[u8] = b"GET /nowhere HTTP/1.1\r\nHost: app.svc\r\n\r\n";
const FILE: &str = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[limits]\nheader_timeout = \"60ms\"\n\
                    [[pool]]\nname = \"main\"\nservers = []\n[[route]]\nname = \"some\"\npath = \"/some\"\npool = \"main\"\n";

/// The clients' side of a process, and a client of it. Nothing but the test decides when the clients' side runs.
struct TestClients {
    clients: Rc<ClientConnections>,
    client: TcpStream,
}

impl TestClients {
    async fn new() -> Self {
        let plan = parse_config(FILE, Path::new("")).unwrap_or_else(|faults| panic!("{}", faults[0])).plan;
        let shared = PoolContext {
            clock: Clock::start(),
            budget: Budget::new(1_000, 64 << 20),
            metrics: Metrics::new().unwrap(),
            engines: Engines::default(),
        };
        let site = ActivePlan::start(plan, &shared, 7, None).unwrap();
        let service = Rc::new(Service {
            current_plan: CurrentPlan::new(site),
            clock: shared.clock,
            budget: shared.budget,
            lifecycle: SharedLifecycle::default(),
            request_id_counter: Cell::new(1),
            metrics: shared.metrics,
        });
        let clients = ClientConnections::new(service);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(clients.clone().accept("web".into(), listener, Rc::new(Notify::new())));
        let client = TcpStream::connect(address).unwrap();
        client.set_nonblocking(true).unwrap();
        TestClients { clients, client }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.client.write_all(bytes).unwrap();
    }

    /// Lets the clients' side read what has come.
    async fn run(&self) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    /// What comes until the connection ends or nothing has come for a while, and whether it has ended.
    async fn receive(&mut self) -> (String, bool) {
        let (mut all, mut last) = (Vec::new(), Instant::now());
        let mut bytes = [0; 4096];
        loop {
            match self.client.read(&mut bytes) {
                Ok(0) => return (String::from_utf8(all).unwrap(), true),
                Ok(count) => {
                    all.extend_from_slice(&bytes[..count]);
                    last = Instant::now();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if last.elapsed() > Duration::from_millis(300) {
                        return (String::from_utf8(all).unwrap(), false);
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(_) => return (String::from_utf8(all).unwrap(), true),
            }
        }
    }
}

fn play<F: std::future::Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test());
}

/// The process stands still while the last bytes of a slow head come, and finds them late: the request is there, and is answered.
#[test]
fn a_request_whose_last_bytes_cross_the_cut_of_its_head_is_answered() {
    play(|| async {
        let mut test = TestClients::new().await;
        test.send(&REQUEST[..20]);
        test.run().await;
        // Nothing runs meanwhile.
        std::thread::sleep(2 * HEAD_WITHIN);
        test.send(&REQUEST[20..]);
        test.clients.close_slow_heads();
        let (answer, _) = test.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 "), "{answer:?}");
    });
}

/// A head that stops is cut all the same.
#[test]
fn a_head_that_stops_is_cut() {
    play(|| async {
        let mut test = TestClients::new().await;
        test.send(&REQUEST[..20]);
        test.run().await;
        tokio::time::sleep(2 * HEAD_WITHIN).await;
        test.clients.close_slow_heads();
        assert_eq!(test.receive().await, (String::new(), true));
    });
}

/// A request whose head has begun when its listener is removed is answered, and is the last on its connection, also where it is not the
/// first there.
#[test]
fn a_request_that_has_begun_when_its_listener_is_removed_is_answered() {
    play(|| async {
        let mut test = TestClients::new().await;
        test.send(REQUEST);
        let (answer, ended) = test.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 ") && !ended, "{answer:?}, ended: {ended}");
        test.send(&REQUEST[..20]);
        test.run().await;
        test.clients.close_listener("web");
        test.run().await;
        test.send(&REQUEST[20..]);
        let (answer, ended) = test.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 ") && ended, "{answer:?}, ended: {ended}");
    });
}

/// A client that stops in a head which came in one piece with the request before it is let go as any other one.
#[test]
fn a_head_that_stops_behind_another_request_is_cut() {
    play(|| async {
        let mut test = TestClients::new().await;
        test.send(&[REQUEST, &REQUEST[..20]].concat());
        let (answer, ended) = test.receive().await;
        assert!(answer.starts_with("HTTP/1.1 404 ") && !ended, "{answer:?}, ended: {ended}");
        tokio::time::sleep(2 * HEAD_WITHIN).await;
        test.clients.close_slow_heads();
        assert_eq!(test.receive().await, (String::new(), true));
    });
}

/// Where the rest of that head comes, the request is answered and its connection is kept.
#[test]
fn a_head_that_comes_to_its_end_behind_another_request_is_answered_and_its_connection_kept() {
    play(|| async {
        let mut test = TestClients::new().await;
        test.send(&[REQUEST, &REQUEST[..20]].concat());
        test.run().await;
        test.send(&REQUEST[20..]);
        let (answers, ended) = test.receive().await;
        assert!(answers.matches("HTTP/1.1 404 ").count() == 2 && !ended, "{answers:?}, ended: {ended}");
        tokio::time::sleep(2 * HEAD_WITHIN).await;
        test.clients.close_slow_heads();
        assert_eq!(test.receive().await, (String::new(), false));
    });
}
