//! The discovery client: fetches the server list and watches it for changes. An invalid list leaves the
//! previous one in use, and the watch is reopened.

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

/// Discovery sends a heartbeat at least every 2 s; a watch that is silent for longer is closed.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// A call may have to queue at discovery. This and [`WATCH_SILENCE_TIMEOUT`] together must stay below 6 s, by
/// which time a change that a silent watch missed has to be in use.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// While no call is answered, another one is started at this interval, so that a recent call is open when an
/// agent that pushes lists starts to answer again: what it has then counts as notified at once. Calls to an agent
/// cost discovery nothing.
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Calls open at a time: the oldest, in case its answer is only slow, and the newest.
const MAX_OPEN_CALLS: usize = 4;
/// Delays before a watch is reopened, without jitter: starts at the minimum, and doubles up to the maximum
/// while the watch delivers unusable lists.
const MIN_REOPEN_DELAY_SECS: f64 = 0.05;
const MAX_REOPEN_DELAY_SECS: f64 = 1.0;
/// A subscribed watch that lasted for longer than this is reopened without asking the decision module, after
/// a random delay of up to [`REOPEN_DELAY_FRACTION`] of it: the watches of all nodes may have broken
/// together. The delay is short, because what the watch misses counts as notified soon.
const STABLE_WATCH_AGE: Duration = Duration::from_secs(1);
const REOPEN_DELAY_FRACTION: f64 = 0.2;
/// A list that has not continued for this long is checked for being truncated.
const TRUNCATION_CHECK_DELAY: Duration = Duration::from_millis(100);
/// A full list with an older version is accepted only once discovery has sent older lists this many times in
/// a row. It may have lost its version counter, but a single stale replica is more likely, and its list would
/// bring drained servers back.
const MIN_OLDER_LISTS_TO_ACCEPT: u32 = 4;

/// Waits until the configured address of discovery changes.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending().await
    }
}

/// Why a watch or a call ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("timed out")]
    TimedOut,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("{0}")]
    InvalidList(#[from] ListError),
    #[error("list version {0} is older than {1}")]
    OlderList(u64, u64),
    #[error("the response ended")]
    Ended,
}

/// What a watcher needs to know of its pool.
#[derive(Clone, Debug)]
pub struct WatcherConfig {
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the machine kinds, by index.
    pub kinds: Vec<String>,
    /// Discovery sends lists only on request, rather than pushing them.
    pub must_subscribe: bool,
    /// The cached list of a previous process of this node.
    pub known: Option<HostList>,
    /// Seed of the jitter of delays.
    pub seed: u64,
}

/// Keeps a pool's server list up to date from discovery.
pub struct Watcher {
    engine: Rc<Engine>,
    upstreams: Rc<Upstreams>,
    config: WatcherConfig,
    /// Set once discovery has sent a list.
    ready: Rc<watch::Sender<bool>>,
    /// The configured address of discovery.
    address: watch::Receiver<SocketAddr>,
    /// The version of the list in use.
    seq: u64,
    /// There is no list yet that changes could be applied to.
    has_no_list: bool,
    /// Lists in a row that were older than the one in use.
    older_in_a_row: u32,
    /// When the last watch delivered its first data; `None` if it has not.
    opened_at: Option<Instant>,
    rng: Pcg64Mcg,
}

impl Watcher {
    /// Starts with the cached list, if there is one.
    pub fn new(
        engine: Rc<Engine>,
        upstreams: Rc<Upstreams>,
        mut config: WatcherConfig,
        address: watch::Receiver<SocketAddr>,
        ready: Rc<watch::Sender<bool>>,
    ) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.seed ^ 0x6469_7363);
        let known = config.known.take();
        let (seq, has_no_list) = (known.as_ref().map_or(0, |list| list.seq), known.is_none());
        let watcher = Watcher {
            engine,
            upstreams,
            config,
            ready,
            address,
            seq,
            has_no_list,
            older_in_a_row: 0,
            opened_at: None,
            rng,
        };
        watcher.apply(ListKind::Cached, known.map(|list| list.hosts).unwrap_or_default());
        watcher
    }

    /// A random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Watches lists that discovery pushes; reopens the watch whenever it ends.
    pub async fn follow_pushed(mut self) {
        let mut address_updates = self.address.clone();
        let (mut delay, mut failures_in_a_row) = (MIN_REOPEN_DELAY_SECS, 0u32);
        loop {
            let jitter = 0.5 + self.random_fraction();
            self.opened_at = None;
            let watch_ended = async {
                let error = self.watch().await;
                // An agent that refuses connections is called many times a second: log only the first,
                // second, fourth, ... failure.
                failures_in_a_row = if self.opened_at.is_some() { 1 } else { failures_in_a_row + 1 };
                if failures_in_a_row.is_power_of_two() {
                    log(format_args!("discovery: {error}"));
                }
                // An unusable list is likely to be sent again, so back off. A watch that merely ended is
                // reopened soon, because changes are missed until then.
                let is_unusable = matches!(error, WatchError::InvalidList(_) | WatchError::OlderList(..));
                delay = if is_unusable {
                    (delay * 2.0).min(MAX_REOPEN_DELAY_SECS)
                } else {
                    MIN_REOPEN_DELAY_SECS
                };
                sleep(Duration::from_secs_f64(delay * jitter)).await;
            };
            tokio::select! {
                () = watch_ended => {}
                // Dropping the old watch loses nothing: the new one continues from the same version.
                () = address_changed(&mut address_updates) => delay = MIN_REOPEN_DELAY_SECS,
            }
        }
    }

    /// Fetches and watches lists when the decision module asks for it.
    pub async fn follow_on_demand(mut self, mut calls: mpsc::UnboundedReceiver<DiscoveryCall>) {
        let mut address_updates = self.address.clone();
        let mut next = calls.recv().await;
        while let Some(call) = next.take() {
            self.opened_at = None;
            let error = match call {
                DiscoveryCall::Fetch => tokio::select! {
                    fetched = self.fetch() => fetched.err(),
                    () = address_changed(&mut address_updates) => { next = Some(call); continue }
                },
                DiscoveryCall::Subscribe => tokio::select! {
                    error = self.watch() => Some(error),
                    newer_call = calls.recv() => { next = newer_call; continue }
                    () = address_changed(&mut address_updates) => { next = Some(call); continue }
                },
            };
            if let Some(error) = error {
                log(format_args!("discovery: {error}"));
                if self.opened_at.is_some_and(|at| at.elapsed() > STABLE_WATCH_AGE) {
                    let delay = STABLE_WATCH_AGE.mul_f64(REOPEN_DELAY_FRACTION * self.random_fraction());
                    sleep(delay).await;
                    next = Some(call);
                    continue;
                }
                self.engine.on_server_list(ListKind::Failed, Vec::new());
            }
            next = calls.recv().await;
        }
    }

    /// Fetches the list once.
    async fn fetch(&mut self) -> Result<(), WatchError> {
        let (body, _connection) = self.get("/discovery/hosts".to_owned(), CALL_TIMEOUT).await?;
        let limited = http_body_util::Limited::new(body, MAX_LIST_BYTES);
        let collected = timeout(CALL_TIMEOUT, limited.collect()).await.map_err(|_| WatchError::TimedOut)?;
        let bytes = collected.map_err(|_| WatchError::Ended)?.to_bytes();
        self.accept(serde_json::from_slice(&bytes).map_err(ListError::from)?)
    }

    async fn watch(&mut self) -> WatchError {
        match self.read_watch().await {
            Ok(()) => WatchError::Ended,
            Err(error) => error,
        }
    }

    /// Opens a watch and applies its lists until the response ends.
    async fn read_watch(&mut self) -> Result<(), WatchError> {
        let mut path = "/discovery/hosts?follow=1".to_owned();
        if !self.has_no_list && self.older_in_a_row == 0 {
            path += &format!("&since={}", self.seq);
        }
        let OpenWatch { first, mut body, _connection } = self.open(path).await?;
        self.opened_at = Some(Instant::now());
        let mut reader = ListReader::default();
        self.read_chunk(&mut reader, &first)?;
        self.engine.observe_discovery();
        let (mut last_data_at, mut checked) = (Instant::now(), false);
        loop {
            let silent_at = last_data_at + WATCH_SILENCE_TIMEOUT;
            let check_at = Instant::now() + TRUNCATION_CHECK_DELAY;
            let until = if reader.is_mid_list() && !checked { check_at.min(silent_at) } else { silent_at };
            match timeout_at(until, body.frame()).await {
                Ok(None) => return Ok(()),
                Ok(Some(frame)) => {
                    let Ok(data) = frame?.into_data() else { continue };
                    // White space in the middle of a list is a heartbeat after a truncated list, not its
                    // continuation.
                    if !reader.is_mid_list() || !data.trim_ascii().is_empty() {
                        (last_data_at, checked) = (Instant::now(), false);
                    }
                    self.read_chunk(&mut reader, &data)?;
                    self.engine.observe_discovery();
                }
                Err(_) if until < silent_at => {
                    reader.check()?;
                    checked = true;
                }
                Err(_) => return Err(WatchError::TimedOut),
            }
        }
    }

    fn read_chunk(&mut self, reader: &mut ListReader, data: &[u8]) -> Result<(), WatchError> {
        reader.feed(data)?.into_iter().try_for_each(|list| self.accept(list))
    }

    /// Applies a list, unless it is older than the one in use.
    fn accept(&mut self, list: HostList) -> Result<(), WatchError> {
        if list.seq < self.seq && !self.has_no_list {
            self.older_in_a_row += 1;
            if !list.whole || self.older_in_a_row < MIN_OLDER_LISTS_TO_ACCEPT {
                return Err(WatchError::OlderList(list.seq, self.seq));
            }
        }
        self.older_in_a_row = 0;
        self.seq = list.seq;
        self.has_no_list = false;
        self.apply(if list.whole { ListKind::Full } else { ListKind::Changes }, list.hosts);
        self.ready.send_replace(true);
        Ok(())
    }

    fn apply(&self, kind: ListKind, hosts: Vec<HostEntry>) {
        // Names that are not in the settings share one more index after the known ones.
        let index_of = |names: &[String], name: &Option<String>| {
            let name = name.as_deref().unwrap_or_default();
            names.iter().position(|candidate| candidate == name).unwrap_or(names.len())
        };
        let listed_server = |host: HostEntry| ListedServer {
            host: host.host,
            address: host.dial,
            server: Server {
                id: ServerId(0),
                zone: index_of(&self.config.zones, &host.site).min(255) as u8,
                kind: index_of(&self.config.kinds, &host.class).min(usize::from(u16::MAX)) as u16,
                cell: host.block.unwrap_or(0),
                phase: match host.health {
                    Health::Active => Phase::Ready,
                    Health::Leaving => Phase::Draining,
                    Health::Left => Phase::Removed,
                },
                size: host.share.filter(|s| s.is_finite()).unwrap_or(0.0),
                started_at: host.born_ms.unwrap_or(0).saturating_mul(1_000_000),
            },
        };
        let servers = self.upstreams.apply_list(kind, hosts.into_iter().map(listed_server).collect());
        self.engine.on_server_list(kind, servers);
    }

    /// Opens a watch and waits for its first data.
    async fn open(&self, path: String) -> Result<OpenWatch, WatchError> {
        if self.config.must_subscribe {
            return timeout(CALL_TIMEOUT, self.call(path, CALL_TIMEOUT))
                .await
                .unwrap_or(Err(WatchError::TimedOut));
        }
        let mut calls: Vec<PendingCall<'_>> = Vec::new();
        let mut next_call = interval(CALL_INTERVAL);
        next_call.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let first_answer = poll_fn(|cx| {
                let finished =
                    calls.iter_mut().enumerate().find_map(|(index, call)| match call.as_mut().poll(cx) {
                        Poll::Ready(answer) => Some((index, answer)),
                        Poll::Pending => None,
                    });
                finished.map_or(Poll::Pending, Poll::Ready)
            });
            tokio::select! {
                biased;
                (index, answer) = first_answer => {
                    drop(calls.swap_remove(index));
                    if answer.is_ok() || calls.is_empty() {
                        return answer;
                    }
                }
                _ = next_call.tick() => {
                    if calls.len() == MAX_OPEN_CALLS {
                        drop(calls.remove(1));
                    }
                    calls.push(Box::pin(self.call(path.clone(), WATCH_SILENCE_TIMEOUT)));
                }
            }
        }
    }

    /// Makes one call and waits for its first data.
    async fn call(&self, path: String, call_timeout: Duration) -> Result<OpenWatch, WatchError> {
        let (mut body, _connection) = self.get(path, call_timeout).await?;
        loop {
            let frame = timeout(call_timeout, body.frame()).await.map_err(|_| WatchError::TimedOut)?;
            if let Ok(first) = frame.ok_or(WatchError::Ended)??.into_data() {
                return Ok(OpenWatch { first, body, _connection });
            }
        }
    }

    async fn get(&self, path: String, call_timeout: Duration) -> Result<(Incoming, AbortOnDrop), WatchError> {
        let address = *self.address.borrow();
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(WatchError::Connect)?,
            Err(_) => return Err(WatchError::TimedOut),
        };
        let io = TokioIo::new(SocketIo(Socket::new(stream)));
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
        let connection_task = AbortOnDrop(tokio::task::spawn_local(connection).abort_handle());
        let mut request = Request::new(Empty::<Bytes>::new());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = hyper::header::HeaderValue::try_from(address.to_string());
        request.headers_mut().extend(host.ok().map(|host| (hyper::header::HOST, host)));
        let answer =
            timeout(call_timeout, sender.send_request(request)).await.map_err(|_| WatchError::TimedOut)??;
        match answer.status() {
            StatusCode::OK => Ok((answer.into_body(), connection_task)),
            status => Err(WatchError::Status(status)),
        }
    }
}

/// A call that waits for its first data.
type PendingCall<'c> = Pin<Box<dyn Future<Output = Result<OpenWatch, WatchError>> + 'c>>;

/// A watch that has delivered its first data.
struct OpenWatch {
    first: Bytes,
    body: Incoming,
    _connection: AbortOnDrop,
}

/// Aborts a connection's task when dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
