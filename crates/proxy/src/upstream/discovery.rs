//! The list of servers: read once, then watched. Nonsense leaves the old list in place and the watch is opened
//! anew.

use super::servers::ListedServer;
use super::upstreams::Upstreams;
use crate::socket::{Socket, SocketIo};
use corkhollow_balance::interface::{ListKind, Phase, Server, ServerId};
use corkhollow_engine::{log, DiscoveryCall, Engine};
use corkhollow_plan::discovery_list::{Health, HostEntry, HostList, ListError, ListReader, MAX_LIST_BYTES};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{interval, sleep, timeout, timeout_at, Instant, MissedTickBehavior};

/// A watch says something at least every 2 s; one that is silent for longer hangs.
const SILENCE: Duration = Duration::from_millis(2600);
/// Discovery that is asked lets a call wait in turn. What a silent watch misses counts as told 6 s after it fell silent:
/// this and the silence have to be over by then.
const CALL: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_millis(500);
/// Lists that are pushed cost nothing to ask for, and what the agent gets after a silence counts as told at once: as long as
/// no call is answered, there is another one this often, so that one of them is new whenever the silence ends ...
const ANOTHER: Duration = Duration::from_millis(100);
/// ... of which this many wait: the oldest, in case an answer just takes its time, and the newest.
const MOST_CALLS: usize = 4;
/// Waits before a watch is opened again: from the first, doubled up to the last where what it brings is of no use, and
/// spread.
const PAUSE_FIRST: f64 = 0.05;
const PAUSE_LAST: f64 = 1.0;
/// A watch on lists that are asked for has stood if it lasted for this long. When it breaks, those of all nodes may have:
/// it is opened again after a part of this, for what it misses counts as told soon.
const STOOD: Duration = Duration::from_secs(1);
const STOOD_PART: f64 = 0.2;
/// A list of which nothing more has come for this long may have been cut short.
const PAUSED: Duration = Duration::from_millis(100);
/// An older whole list is taken only when discovery has stuck to it in this many watches: it may have lost its
/// numbers, but more likely it was one stale copy, which would bring drained servers back.
const STUBBORN: u32 = 4;

/// Waits until another address for discovery is in force.
async fn moved(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Why a watch or a call has ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("no answer in time")]
    Silent,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("{0}")]
    Nonsense(#[from] ListError),
    #[error("version {0} after {1}")]
    Backwards(u64, u64),
    #[error("the watch ended")]
    Ended,
}

/// What a watcher has to know of its pool.
#[derive(Clone, Debug)]
pub struct WatcherConfig {
    /// Zones by their index.
    pub zones: Vec<String>,
    /// Kinds of machines by their index.
    pub kinds: Vec<String>,
    /// Lists come only to those who ask.
    pub must_subscribe: bool,
    /// The list as an earlier life of this node had it.
    pub known: Option<HostList>,
    /// Settles the spread of its waits.
    pub seed: u64,
}

/// Follows discovery.
pub struct Watcher {
    engine: Rc<Engine>,
    upstreams: Rc<Upstreams>,
    following: WatcherConfig,
    /// Set once discovery has told the list.
    ready: Rc<watch::Sender<bool>>,
    /// Where discovery is, by the configuration in force.
    address: watch::Receiver<SocketAddr>,
    seq: u64,
    /// Nothing is held that changes could build on.
    blank: bool,
    older: u32,
    /// When the watch last began to speak.
    opened_at: Option<Instant>,
    rng: Pcg64Mcg,
}

impl Watcher {
    /// Starts with the list that the configuration holds.
    pub fn new(
        engine: Rc<Engine>,
        upstreams: Rc<Upstreams>,
        mut following: WatcherConfig,
        address: watch::Receiver<SocketAddr>,
        ready: Rc<watch::Sender<bool>>,
    ) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(following.seed ^ 0x6469_7363);
        let known = following.known.take();
        let (seq, blank) = (known.as_ref().map_or(0, |k| k.seq), known.is_none());
        let watcher = Watcher {
            engine,
            upstreams,
            following,
            ready,
            address,
            seq,
            blank,
            older: 0,
            opened_at: None,
            rng,
        };
        watcher.tell(ListKind::Cached, known.map(|k| k.hosts).unwrap_or_default());
        watcher
    }

    fn spread(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Lists come unasked: the watch is the node's to keep alive.
    pub async fn follow(mut self) {
        let mut moves = self.address.clone();
        let (mut pause, mut lost_in_a_row) = (PAUSE_FIRST, 0u32);
        loop {
            let spread = 0.5 + self.spread();
            self.opened_at = None;
            let lost = async {
                let error = self.watch().await;
                // An agent that refuses is asked twenty times a second: the log is told with growing gaps.
                lost_in_a_row = if self.opened_at.is_some() { 1 } else { lost_in_a_row + 1 };
                if lost_in_a_row.is_power_of_two() {
                    log(format_args!("discovery: {error}"));
                }
                // What is told badly is told badly again. A watch that has only ended is missed from here on.
                let useless = matches!(error, WatchError::Nonsense(_) | WatchError::Backwards(..));
                pause = if useless { (pause * 2.0).min(PAUSE_LAST) } else { PAUSE_FIRST };
                sleep(Duration::from_secs_f64(pause * spread)).await;
            };
            tokio::select! {
                () = lost => {}
                // What the old address still had to say, the new one tells: it is asked from the same version on.
                () = moved(&mut moves) => pause = PAUSE_FIRST,
            }
        }
    }

    /// Lists come to those who ask: the module says when.
    pub async fn obey(mut self, mut calls: mpsc::UnboundedReceiver<DiscoveryCall>) {
        let mut moves = self.address.clone();
        let mut next = calls.recv().await;
        while let Some(call) = next.take() {
            self.opened_at = None;
            let error = match call {
                DiscoveryCall::Fetch => tokio::select! {
                    fetched = self.fetch() => fetched.err(),
                    () = moved(&mut moves) => { next = Some(call); continue }
                },
                DiscoveryCall::Subscribe => tokio::select! {
                    error = self.watch() => Some(error),
                    asked = calls.recv() => { next = asked; continue }
                    () = moved(&mut moves) => { next = Some(call); continue }
                },
            };
            if let Some(error) = error {
                log(format_args!("discovery: {error}"));
                if self.opened_at.is_some_and(|at| at.elapsed() > STOOD) {
                    let pause = STOOD.mul_f64(STOOD_PART * self.spread());
                    sleep(pause).await;
                    next = Some(call);
                    continue;
                }
                self.engine.on_server_list(ListKind::Failed, Vec::new());
            }
            next = calls.recv().await;
        }
    }

    async fn fetch(&mut self) -> Result<(), WatchError> {
        let (body, _connection) = self.get("/discovery/hosts".to_owned(), CALL).await?;
        let limited = http_body_util::Limited::new(body, MAX_LIST_BYTES);
        let whole = timeout(CALL, limited.collect()).await.map_err(|_| WatchError::Silent)?;
        let bytes = whole.map_err(|_| WatchError::Ended)?.to_bytes();
        self.take(serde_json::from_slice(&bytes).map_err(ListError::from)?)
    }

    async fn watch(&mut self) -> WatchError {
        match self.listen().await {
            Ok(()) => WatchError::Ended,
            Err(error) => error,
        }
    }

    async fn listen(&mut self) -> Result<(), WatchError> {
        let mut path = "/discovery/hosts?follow=1".to_owned();
        if !self.blank && self.older == 0 {
            path += &format!("&since={}", self.seq);
        }
        let OpenWatch { first, mut body, _connection } = self.open(path).await?;
        self.opened_at = Some(Instant::now());
        let mut reader = ListReader::default();
        self.read(&mut reader, &first)?;
        self.engine.observe_discovery();
        let (mut moved_at, mut looked) = (Instant::now(), false);
        loop {
            let silent_at = moved_at + SILENCE;
            let pause = Instant::now() + PAUSED;
            let until = if reader.is_mid_list() && !looked { pause.min(silent_at) } else { silent_at };
            match timeout_at(until, body.frame()).await {
                Ok(None) => return Ok(()),
                Ok(Some(frame)) => {
                    let Ok(data) = frame?.into_data() else { continue };
                    // White space in a list that does not go on is the heartbeat, behind one that was cut short.
                    if !reader.is_mid_list() || !data.trim_ascii().is_empty() {
                        (moved_at, looked) = (Instant::now(), false);
                    }
                    self.read(&mut reader, &data)?;
                    self.engine.observe_discovery();
                }
                Err(_) if until < silent_at => {
                    reader.check()?;
                    looked = true;
                }
                Err(_) => return Err(WatchError::Silent),
            }
        }
    }

    fn read(&mut self, reader: &mut ListReader, data: &[u8]) -> Result<(), WatchError> {
        reader.feed(data)?.into_iter().try_for_each(|list| self.take(list))
    }

    fn take(&mut self, list: HostList) -> Result<(), WatchError> {
        if list.seq < self.seq && !self.blank {
            self.older += 1;
            if !list.whole || self.older < STUBBORN {
                return Err(WatchError::Backwards(list.seq, self.seq));
            }
        }
        self.older = 0;
        self.seq = list.seq;
        self.blank = false;
        self.tell(if list.whole { ListKind::Full } else { ListKind::Changes }, list.hosts);
        self.ready.send_replace(true);
        Ok(())
    }

    fn tell(&self, kind: ListKind, hosts: Vec<HostEntry>) {
        // A name that the settings do not hold stands for something of its own, after all that they hold.
        let place = |names: &[String], name: &Option<String>| {
            let name = name.as_deref().unwrap_or_default();
            names.iter().position(|n| n == name).unwrap_or(names.len())
        };
        let entry = |h: HostEntry| ListedServer {
            host: h.host,
            address: h.dial,
            server: Server {
                id: ServerId(0),
                zone: place(&self.following.zones, &h.site).min(255) as u8,
                kind: place(&self.following.kinds, &h.class).min(usize::from(u16::MAX)) as u16,
                cell: h.block.unwrap_or(0),
                phase: match h.health {
                    Health::Active => Phase::Ready,
                    Health::Leaving => Phase::Draining,
                    Health::Left => Phase::Removed,
                },
                size: h.share.filter(|s| s.is_finite()).unwrap_or(0.0),
                started_at: h.born_ms.unwrap_or(0).saturating_mul(1_000_000),
            },
        };
        let servers = self.upstreams.apply_list(kind, hosts.into_iter().map(entry).collect());
        self.engine.on_server_list(kind, servers);
    }

    /// Opens a watch and waits for the first that it says.
    async fn open(&self, path: String) -> Result<OpenWatch, WatchError> {
        if self.following.must_subscribe {
            return timeout(CALL, self.call(path, CALL)).await.unwrap_or(Err(WatchError::Silent));
        }
        let mut calls: Vec<PendingCall<'_>> = Vec::new();
        let mut another = interval(ANOTHER);
        another.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let answered = poll_fn(|cx| {
                let over = calls.iter_mut().enumerate().find_map(|(k, call)| match call.as_mut().poll(cx) {
                    Poll::Ready(answer) => Some((k, answer)),
                    Poll::Pending => None,
                });
                over.map_or(Poll::Pending, Poll::Ready)
            });
            tokio::select! {
                biased;
                (at, answer) = answered => {
                    drop(calls.swap_remove(at));
                    if answer.is_ok() || calls.is_empty() {
                        return answer;
                    }
                }
                _ = another.tick() => {
                    if calls.len() == MOST_CALLS {
                        drop(calls.remove(1));
                    }
                    calls.push(Box::pin(self.call(path.clone(), SILENCE)));
                }
            }
        }
    }

    /// One call, up to the first that it says.
    async fn call(&self, path: String, patience: Duration) -> Result<OpenWatch, WatchError> {
        let (mut body, _connection) = self.get(path, patience).await?;
        loop {
            let frame = timeout(patience, body.frame()).await.map_err(|_| WatchError::Silent)?;
            if let Ok(first) = frame.ok_or(WatchError::Ended)??.into_data() {
                return Ok(OpenWatch { first, body, _connection });
            }
        }
    }

    async fn get(&self, path: String, patience: Duration) -> Result<(Incoming, AbortOnDrop), WatchError> {
        let address = *self.address.borrow();
        let stream = match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(WatchError::Connect)?,
            Err(_) => return Err(WatchError::Silent),
        };
        let io = TokioIo::new(SocketIo(Socket::new(stream)));
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
        let ends = AbortOnDrop(tokio::task::spawn_local(connection).abort_handle());
        let mut request = Request::new(Empty::<Bytes>::new());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = hyper::header::HeaderValue::try_from(address.to_string());
        request.headers_mut().extend(host.ok().map(|h| (hyper::header::HOST, h)));
        let answer =
            timeout(patience, sender.send_request(request)).await.map_err(|_| WatchError::Silent)??;
        match answer.status() {
            StatusCode::OK => Ok((answer.into_body(), ends)),
            status => Err(WatchError::Status(status)),
        }
    }
}

/// A call that is out.
type PendingCall<'c> = Pin<Box<dyn Future<Output = Result<OpenWatch, WatchError>> + 'c>>;

/// A watch that has said something.
struct OpenWatch {
    first: Bytes,
    body: Incoming,
    _connection: AbortOnDrop,
}

/// A connection's task, which ends with it.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
