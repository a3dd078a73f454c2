//! The list of servers: read once, then watched. Nonsense leaves the old list in place and the watch is opened
//! anew.

use super::fleet::Entry;
use super::upstreams::Upstreams;
use crate::socket::{Socket, SocketIo};
use corkhollow_balance::interface::{ListKind, Phase, Server, ServerId};
use corkhollow_engine::{log, Engine, ListCall};
use corkhollow_plan::hosts::{Health, Host, HostList};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// A watch says something at least every 2 s; one that is silent for longer hangs.
const SILENCE: Duration = Duration::from_millis(2600);
/// Discovery that is asked may let a call wait in turn.
const CALL: Duration = Duration::from_secs(6);
const CONNECT: Duration = Duration::from_millis(500);
/// Waits before a watch is opened again: from the first, doubled up to the last, and spread.
const PAUSE_FIRST: f64 = 0.05;
const PAUSE_LAST: f64 = 1.0;
/// The longest line; a list of 10,000 servers has a fifth of that.
const LONGEST: usize = 8 << 20;
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
    #[error("a line of over {LONGEST} bytes")]
    TooLong,
    #[error("a line that cannot be read: {0}")]
    Nonsense(#[from] serde_json::Error),
    #[error("version {0} after {1}")]
    Backwards(u64, u64),
    #[error("the watch ended")]
    Ended,
}

/// What a watcher has to know of its pool.
#[derive(Clone, Debug)]
pub struct Following {
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
    following: Following,
    /// Set once discovery has told the list.
    ready: Rc<Cell<bool>>,
    /// Where discovery is, by the configuration in force.
    address: watch::Receiver<SocketAddr>,
    seq: u64,
    /// Nothing is held that changes could build on.
    blank: bool,
    older: u32,
    lines: u64,
    rng: Pcg64Mcg,
}

impl Watcher {
    /// Starts with the list that the configuration holds.
    pub fn new(
        engine: Rc<Engine>,
        upstreams: Rc<Upstreams>,
        mut following: Following,
        address: watch::Receiver<SocketAddr>,
        ready: Rc<Cell<bool>>,
    ) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(following.seed ^ 0x6469_7363);
        let known = following.known.take();
        let (seq, blank) = (known.as_ref().map_or(0, |k| k.seq), known.is_none());
        let watcher =
            Watcher { engine, upstreams, following, ready, address, seq, blank, older: 0, lines: 0, rng };
        watcher.tell(ListKind::Cached, known.map(|k| k.hosts).unwrap_or_default());
        watcher
    }

    /// Lists come unasked: the watch is the node's to keep alive.
    pub async fn follow(mut self) {
        let mut moves = self.address.clone();
        let mut pause = PAUSE_FIRST;
        loop {
            let lines = self.lines;
            let spread = 0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            let lost = async {
                let error = self.watch().await;
                if self.lines > lines {
                    pause = PAUSE_FIRST;
                }
                log(format_args!("discovery: {error}"));
                tokio::time::sleep(Duration::from_secs_f64(pause * spread)).await;
            };
            tokio::select! {
                () = lost => pause = (pause * 2.0).min(PAUSE_LAST),
                // What the old address still had to say, the new one tells: it is asked from the same version on.
                () = moved(&mut moves) => pause = PAUSE_FIRST,
            }
        }
    }

    /// Lists come to those who ask: the module says when.
    pub async fn obey(mut self, mut calls: mpsc::UnboundedReceiver<ListCall>) {
        let mut moves = self.address.clone();
        let mut next = calls.recv().await;
        while let Some(call) = next.take() {
            let error = match call {
                ListCall::Fetch => self.fetch().await.err(),
                ListCall::Subscribe => tokio::select! {
                    error = self.watch() => Some(error),
                    call = calls.recv() => { next = call; continue }
                    () = moved(&mut moves) => { next = Some(call); continue }
                },
            };
            if let Some(error) = error {
                log(format_args!("discovery: {error}"));
                self.engine.list(ListKind::Failed, Vec::new());
            }
            next = calls.recv().await;
        }
    }

    async fn fetch(&mut self) -> Result<(), WatchError> {
        let body = self.get("/discovery/hosts".to_owned()).await?;
        let limited = http_body_util::Limited::new(body, LONGEST);
        let whole = timeout(CALL, limited.collect()).await.map_err(|_| WatchError::Silent)?;
        let bytes = whole.map_err(|_| WatchError::Ended)?.to_bytes();
        self.line(&bytes)
    }

    async fn watch(&mut self) -> WatchError {
        match self.lines_of_watch().await {
            Ok(()) => WatchError::Ended,
            Err(error) => error,
        }
    }

    async fn lines_of_watch(&mut self) -> Result<(), WatchError> {
        let mut path = "/discovery/hosts?follow=1".to_owned();
        if !self.blank && self.older == 0 {
            path += &format!("&since={}", self.seq);
        }
        let mut body = self.get(path).await?;
        let mut held: Vec<u8> = Vec::new();
        let patience = if self.following.must_subscribe { CALL } else { SILENCE };
        let mut within = patience;
        while let Some(frame) = timeout(within, body.frame()).await.map_err(|_| WatchError::Silent)? {
            within = SILENCE;
            let Ok(data) = frame?.into_data() else { continue };
            let mut rest = &data[..];
            while let Some(end) = rest.iter().position(|b| *b == b'\n') {
                held.extend_from_slice(&rest[..end]);
                rest = &rest[end + 1..];
                // The empty line is the heartbeat.
                if !held.trim_ascii().is_empty() {
                    self.line(&held)?;
                }
                held.clear();
            }
            held.extend_from_slice(rest);
            if held.len() > LONGEST {
                return Err(WatchError::TooLong);
            }
        }
        Ok(())
    }

    fn line(&mut self, bytes: &[u8]) -> Result<(), WatchError> {
        let list: HostList = serde_json::from_slice(bytes)?;
        if list.seq < self.seq && !self.blank {
            self.older += 1;
            if !list.whole || self.older < STUBBORN {
                return Err(WatchError::Backwards(list.seq, self.seq));
            }
        }
        self.older = 0;
        self.lines += 1;
        self.seq = list.seq;
        self.blank = false;
        self.tell(if list.whole { ListKind::Full } else { ListKind::Changes }, list.hosts);
        self.ready.set(true);
        Ok(())
    }

    fn tell(&self, kind: ListKind, hosts: Vec<Host>) {
        // A name that the settings do not hold stands for something of its own, after all that they hold.
        let place = |names: &[String], name: &Option<String>| {
            let name = name.as_deref().unwrap_or_default();
            names.iter().position(|n| n == name).unwrap_or(names.len())
        };
        let entry = |h: Host| Entry {
            host: h.host,
            dial: h.dial,
            server: Server {
                id: ServerId(0),
                zone: place(&self.following.zones, &h.site).min(255) as u8,
                kind: place(&self.following.kinds, &h.class).min(usize::from(u16::MAX)) as u16,
                cell: h.block.unwrap_or(0),
                phase: match h.health {
                    Health::Active => Phase::Ready,
                    Health::Leaving => Phase::Draining,
                    Health::Left => Phase::Gone,
                },
                size: h.share.filter(|s| s.is_finite()).unwrap_or(0.0),
                started_at: h.born_ms.unwrap_or(0).saturating_mul(1_000_000),
            },
        };
        let servers = self.upstreams.follow(kind, hosts.into_iter().map(entry).collect());
        self.engine.list(kind, servers);
    }

    async fn get(&self, path: String) -> Result<Incoming, WatchError> {
        let address = *self.address.borrow();
        let stream = match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(stream) => stream.map_err(WatchError::Connect)?,
            Err(_) => return Err(WatchError::Silent),
        };
        let io = TokioIo::new(SocketIo(Socket::new(stream)));
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
        // Ends with the answer's body: nothing else holds the connection.
        tokio::task::spawn_local(connection);
        let mut request = Request::new(Empty::<Bytes>::new());
        *request.uri_mut() = path.parse().unwrap_or_default();
        let host = hyper::header::HeaderValue::try_from(address.to_string());
        request.headers_mut().extend(host.ok().map(|h| (hyper::header::HOST, h)));
        let wait = if self.following.must_subscribe { CALL } else { SILENCE };
        let answer = timeout(wait, sender.send_request(request)).await.map_err(|_| WatchError::Silent)??;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            status => Err(WatchError::Status(status)),
        }
    }
}
