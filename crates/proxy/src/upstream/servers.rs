//! Towards the servers: the fleet's addresses, kept connections and attempts.

use crate::body::PieceBody;
use crate::headers::{strip, TIMEOUT};
use crate::socket::{exhausted, Socket, SocketIo};
use bytes::Bytes;
use corkhollow_balance::interface::{Ending, ListKind, Nanos, Phase, Server, ServerId};
use corkhollow_engine::{
    Answer, AttemptId, Broken, Carrier, Clock, Engine, ListCall, Message, Pieces, Running,
};
use corkhollow_plan::limits::{Budget, Slot, MOST_BODY};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Longer answers are passed on as they come.
const WHOLE: u64 = 64 * 1024;
/// An answer that is longer is spoilt: whatever keeps coming is not made for one request.
const LONGEST: u64 = MOST_BODY;
/// The head of a short answer has come: its body cannot be held up for this long, and is never coming.
const SHORT_STALL: Duration = Duration::from_millis(250);
/// Read buffer of a connection to a server: it bounds what 1,000 of them hold.
const BUFFER: usize = 16 * 1024;
/// A long answer that stands still for this long has broken: a vanished machine never says so.
const STALL: Duration = Duration::from_millis(2500);
/// Servers that left are remembered for this long, for what is still under way to them.
const MEMORY: Nanos = 60_000_000_000;

/// One entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name, the same at every node.
    pub host: String,
    /// Where it listens for this node.
    pub dial: SocketAddr,
    /// All that the module is told; its id is filled in by the fleet.
    pub server: Server,
}

struct Upstream {
    host: String,
    dial: SocketAddr,
    started_at: Nanos,
    /// Since when it takes nothing new.
    closed_at: Option<Nanos>,
    /// Oldest first: the newest is used first, so that the others can age and close.
    idle: Vec<Idle>,
}

/// The servers that the list has named, by the identity under which the module knows them.
pub struct Fleet {
    upstreams: BTreeMap<ServerId, Upstream>,
    lives: Lives,
}

/// Part of the idle time after which a server may close that its connections are kept.
const IDLE_PART: f64 = 0.6;
/// A reset that comes later than this is the end of a process that had the request.
const AT_ONCE: Nanos = 20_000_000;
/// Evidence on how long connections live is halved this often.
const FORGET: Nanos = 10_000_000_000;
/// It counts from so many losses on, above this share of uses and with so many times the share below.
const LOSSES: f64 = 1.5;
const LOSS_SHARE: f64 = 0.1;
const LOSS_RATIO: f64 = 2.0;

/// How long connections live. What lies between the servers and us may forget them sooner than they say, and
/// without a word: the next request is answered by a reset at once, and has failed if it must not run twice.
/// But connections are reset for other reasons too, new ones as well as old, and a new connection costs the
/// server work: only if those that have stood idle for long are lost more often is it their age.
struct Lives {
    /// Uses and losses by idle time: at 0 new connections, then from 2^(k-1) ms.
    seen: [(f64, f64); 16],
    halved_at: Nanos,
    most: Nanos,
    keep: Nanos,
}

impl Lives {
    fn edge(k: usize) -> Nanos {
        1_000_000 << (k - 1)
    }

    fn note(&mut self, now: Nanos, idle: Option<Nanos>, lost: bool) {
        let over = |ns| (1..self.seen.len()).take_while(|k| Self::edge(*k) <= ns).count().max(1);
        let (uses, losses) = &mut self.seen[idle.map_or(0, over)];
        *uses += 1.0;
        *losses += f64::from(u8::from(lost));
        let stale = now.saturating_sub(self.halved_at) > FORGET;
        if stale {
            self.halved_at = now;
            self.seen.iter_mut().for_each(|(u, l)| (*u, *l) = (*u / 2.0, *l / 2.0));
        }
        if stale || lost {
            let too_old = (1..self.seen.len()).find(|k| self.dies(*k));
            self.keep = too_old.map_or(self.most, Self::edge).min(self.most);
        }
    }

    fn dies(&self, k: usize) -> bool {
        let sum = |part: &[(f64, f64)]| part.iter().fold((1.0, 0.0), |s, p| (s.0 + p.0, s.1 + p.1));
        let (below, above) = (sum(&self.seen[..k]), sum(&self.seen[k..]));
        let share = above.1 / above.0;
        self.seen[k].1 > 0.0
            && above.1 >= LOSSES
            && share > LOSS_SHARE
            && share > LOSS_RATIO * below.1 / below.0
    }
}

fn identity(host: &str, round: u8) -> ServerId {
    let mut name = host.as_bytes().to_vec();
    name.extend((round > 0).then_some(round));
    ServerId(corkhollow_plan::mix(&name))
}

impl Fleet {
    pub fn new(conn_idle: Nanos) -> Self {
        let most = (conn_idle as f64 * IDLE_PART) as Nanos;
        let lives = Lives { seen: [(0.0, 0.0); 16], halved_at: 0, most, keep: most };
        Fleet { upstreams: BTreeMap::new(), lives }
    }

    fn id(&self, host: &str) -> ServerId {
        let free = |id: &ServerId| self.upstreams.get(id).is_none_or(|u| u.host == host);
        (0..=u8::MAX).map(|round| identity(host, round)).find(free).unwrap_or(identity(host, 0))
    }

    /// Takes over a list or changes to it, and puts it into the module's words.
    pub fn follow(&mut self, now: Nanos, kind: ListKind, entries: Vec<Entry>) -> Vec<Server> {
        let mut servers = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.id(&entry.host);
            let (dial, started_at) = (entry.dial, entry.server.started_at);
            let upstream = self.upstreams.entry(id).or_insert_with(|| Upstream {
                host: entry.host,
                dial,
                started_at,
                closed_at: None,
                idle: Vec::new(),
            });
            if upstream.dial != dial || upstream.started_at != started_at {
                (upstream.dial, upstream.started_at) = (dial, started_at);
                upstream.idle.clear();
            }
            if entry.server.phase == Phase::Ready {
                upstream.closed_at = None;
            } else {
                upstream.close(now);
            }
            servers.push(Server { id, ..entry.server });
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: BTreeSet<_> = servers.iter().map(|s| s.id).collect();
            self.upstreams.iter_mut().filter(|(id, _)| !listed.contains(id)).for_each(|(_, u)| u.close(now));
        }
        self.upstreams.retain(|_, u| u.closed_at.is_none_or(|at| now.saturating_sub(at) < MEMORY));
        servers
    }

    fn dial(&self, server: ServerId) -> Option<SocketAddr> {
        self.upstreams.get(&server).filter(|u| u.closed_at.is_none()).map(|u| u.dial)
    }

    fn checkout(&mut self, server: ServerId, now: Nanos) -> Option<Idle> {
        let oldest = now.saturating_sub(self.lives.keep);
        let upstream = self.upstreams.get_mut(&server)?;
        while let Some(idle) = upstream.idle.pop() {
            // What has come since it was kept (a close, a second copy of the last answer, noise) would be taken
            // for the next request's end or answer. The kernel knows; the runtime may not yet.
            if idle.since >= oldest && idle.link.socket.quiet() {
                return Some(idle);
            }
        }
        None
    }

    fn checkin(&mut self, server: ServerId, dial: SocketAddr, idle: Idle) {
        if let Some(u) = self.upstreams.get_mut(&server) {
            if u.closed_at.is_none() && u.dial == dial && u.started_at <= idle.opened {
                u.idle.push(idle);
            }
        }
    }

    /// Closes what has stood idle for too long or was closed by its server.
    pub fn sweep(&mut self, now: Nanos) {
        let oldest = now.saturating_sub(self.lives.keep);
        for upstream in self.upstreams.values_mut() {
            upstream.idle.retain(|i| i.since >= oldest && i.link.socket.quiet());
        }
    }

    fn evict(&mut self) -> bool {
        let since = |u: &Upstream| u.idle.first().map(|i| i.since);
        let upstreams = self.upstreams.values_mut().filter(|u| !u.idle.is_empty());
        upstreams.min_by_key(|u| since(u)).map(|u| u.idle.remove(0)).is_some()
    }
}

impl Upstream {
    fn close(&mut self, now: Nanos) {
        self.closed_at.get_or_insert(now);
        self.idle.clear();
    }
}

/// A connection with hyper's two halves. There is no task behind it: whoever uses it drives it.
struct Link {
    socket: Rc<Socket>,
    sender: SendRequest<PieceBody>,
    connection: Option<Connection<TokioIo<SocketIo>, PieceBody>>,
    _slot: Slot,
}

struct Idle {
    link: Link,
    opened: Nanos,
    since: Nanos,
}

impl Link {
    fn turn(&mut self, cx: &mut Context<'_>) {
        if let Some(connection) = &mut self.connection {
            if Pin::new(connection).poll(cx).is_ready() {
                self.connection = None;
            }
        }
    }

    /// Waits for something on the connection while that goes on.
    async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| {
            self.turn(cx);
            future.as_mut().poll(cx)
        })
        .await
    }

    /// Whether the connection can carry another request, now that an answer is read to its end.
    async fn reusable(&mut self) -> bool {
        poll_fn(|cx| {
            self.turn(cx);
            Poll::Ready(())
        })
        .await;
        self.connection.is_some() && self.sender.is_ready()
    }
}

/// How long an attempt that was given up may go on, so that its connection can be used again. Giving it up by
/// closing costs the server a new handshake, and the work goes on there all the same.
const LINGER: Nanos = 1_000_000_000;

/// The servers of one pool with their connections, and the attempts on these.
pub struct Upstreams {
    fleet: RefCell<Fleet>,
    budget: Rc<Budget>,
    clock: Clock,
    connect_timeout: Duration,
    /// Attempts that were given up and go on for a while; bounded by the connections to servers.
    lingering: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    /// Bounded by the module, which asks again only after an answer.
    list_calls: mpsc::UnboundedSender<ListCall>,
}

impl Upstreams {
    /// No servers yet. Kept connections are closed before `conn_idle` is over.
    pub fn new(
        conn_idle: Nanos,
        connect_timeout: Nanos,
        budget: Rc<Budget>,
        clock: Clock,
        list_calls: mpsc::UnboundedSender<ListCall>,
    ) -> Rc<Self> {
        Rc::new(Upstreams {
            fleet: RefCell::new(Fleet::new(conn_idle)),
            budget,
            clock,
            connect_timeout: Duration::from_nanos(connect_timeout),
            lingering: Rc::default(),
            list_calls,
        })
    }

    /// Runs `f` on the fleet's connections.
    fn fleet<T>(&self, f: impl FnOnce(&mut Fleet) -> T) -> T {
        f(&mut self.fleet.borrow_mut())
    }

    /// Takes over a list or changes to it, and puts it into the module's words.
    pub fn follow(&self, kind: ListKind, entries: Vec<Entry>) -> Vec<Server> {
        self.fleet(|f| f.follow(self.clock.now(), kind, entries))
    }

    /// Closes what has stood idle for too long or was closed by its server.
    pub fn sweep(&self) {
        self.fleet(|f| f.sweep(self.clock.now()));
    }

    /// Ends attempts that have lingered for long enough.
    pub fn cut_lingering(&self) {
        let now = self.clock.now();
        let mut lingering = self.lingering.borrow_mut();
        while let Some((_, task)) = lingering.pop_front_if(|(at, _)| *at <= now) {
            task.abort();
        }
    }

    /// Closes one connection whose attempt is long told of, to make room; false where there is none.
    fn stop_lingering(&self) -> bool {
        let oldest = self.lingering.borrow_mut().pop_front();
        oldest.inspect(|(_, task)| task.abort()).is_some()
    }
}

/// A handle on the upstreams that an engine can own.
pub struct Sender(pub Rc<Upstreams>);

impl Carrier for Sender {
    fn send(
        &self,
        engine: &Rc<Engine>,
        id: AttemptId,
        server: ServerId,
        message: Rc<Message>,
    ) -> Box<dyn Running> {
        let socket = Rc::default();
        let task = attempt(self.0.clone(), engine.clone(), id, server, message, Rc::clone(&socket));
        Box::new(Sent {
            socket,
            task: tokio::task::spawn_local(task).abort_handle(),
            lingering: self.0.lingering.clone(),
            clock: self.0.clock,
        })
    }

    fn ask(&self, call: ListCall) {
        let _ = self.0.list_calls.send(call);
    }
}

struct Sent {
    /// The connection that it has, once it has one.
    socket: Rc<RefCell<Option<Rc<Socket>>>>,
    task: AbortHandle,
    lingering: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    clock: Clock,
}

impl Running for Sent {
    fn give_up(self: Box<Self>) {
        let written = self.socket.borrow().as_ref().is_some_and(|s| s.written());
        if written {
            self.lingering.borrow_mut().push_back((self.clock.now() + LINGER, self.task));
        } else {
            self.task.abort();
        }
    }
}

/// Why no connection was to be had.
enum NoLink {
    /// The server's side: it counts against the server.
    Failed,
    /// The node itself has no descriptor left.
    Exhausted,
}

async fn connect(upstreams: &Upstreams, dial: SocketAddr) -> Result<Link, NoLink> {
    let slot = loop {
        if let Some(slot) = upstreams.budget.server() {
            break slot;
        }
        if upstreams.fleet(Fleet::evict) {
            continue;
        }
        if !upstreams.stop_lingering() {
            return Err(NoLink::Exhausted);
        }
        // What was told to stop gives its descriptor back when the runtime gets to it.
        tokio::task::yield_now().await;
    };
    let stream = match tokio::time::timeout(upstreams.connect_timeout, TcpStream::connect(dial)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if exhausted(&e) => return Err(NoLink::Exhausted),
        Ok(Err(_)) | Err(_) => return Err(NoLink::Failed),
    };
    let socket = Socket::new(stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER);
    let handshake = builder.handshake(TokioIo::new(SocketIo(socket.clone()))).await;
    let (sender, connection) = handshake.map_err(|_| NoLink::Failed)?;
    Ok(Link { socket, sender, connection: Some(connection), _slot: slot })
}

/// Plays one attempt to its end and tells the engine how it went. Where the engine has stopped waiting, the
/// attempt may go on for a while, so that its connection can be kept.
pub async fn attempt(
    upstreams: Rc<Upstreams>,
    engine: Rc<Engine>,
    id: AttemptId,
    server: ServerId,
    message: Rc<Message>,
    seen: Rc<RefCell<Option<Rc<Socket>>>>,
) {
    if let Err(ending) = exchange(&upstreams, &engine, id, server, &message, &seen).await {
        engine.ended(id, ending);
    }
}

async fn exchange(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    server: ServerId,
    message: &Rc<Message>,
    seen: &RefCell<Option<Rc<Socket>>>,
) -> Result<(), Ending> {
    let Some(dial) = upstreams.fleet(|f| f.dial(server)) else { return Err(Ending::NotSent) };
    let mut kept = upstreams.fleet(|f| f.checkout(server, upstreams.clock.now()));
    loop {
        let rested = kept.as_ref().map(|idle| upstreams.clock.now().saturating_sub(idle.since));
        let (mut link, opened) = match kept.take() {
            Some(idle) => (idle.link, idle.opened),
            None => match connect(upstreams, dial).await {
                Ok(link) => (link, upstreams.clock.now()),
                Err(NoLink::Failed) => return Err(Ending::ConnectFailed),
                Err(NoLink::Exhausted) => return Err(Ending::NotSent),
            },
        };
        // Connecting takes time, and discovery may have spoken: nothing new to a server that drains.
        if upstreams.fleet(|f| f.dial(server)) != Some(dial) {
            return Err(Ending::ConnectFailed);
        }
        link.socket.expect_request(message.body.len());
        *seen.borrow_mut() = Some(link.socket.clone());
        let begun = upstreams.clock.now();
        let response = link.sender.send_request(request(message, begun));
        let socket = link.socket.clone();
        return match link.drive(response).await {
            Ok(response) => {
                upstreams.fleet(|f| f.lives.note(upstreams.clock.now(), rested, false));
                let keep = answer(upstreams, engine, id, &mut link, response).await;
                if keep && link.reusable().await {
                    let idle = Idle { link, opened, since: upstreams.clock.now() };
                    upstreams.fleet(|f| f.checkin(server, dial, idle));
                }
                Ok(())
            }
            Err(_) if socket.written() => {
                let now = upstreams.clock.now();
                let lost = now.saturating_sub(begun) < AT_ONCE;
                upstreams.fleet(|f| f.lives.note(now, rested, lost));
                Err(Ending::Reset)
            }
            // A kept connection that the server was just closing: it does not have the request, whose
            // attempt has not begun. A new connection tells whether the server is there.
            Err(_) if rested.is_some() => continue,
            Err(_) => Err(Ending::ConnectFailed),
        };
    }
}

/// The client's request as it goes to a server, with the time that is left.
fn request(message: &Message, now: Nanos) -> Request<PieceBody> {
    let mut request = Request::new(PieceBody::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    let mut headers = message.headers.clone();
    let left = message.give_up_at.saturating_sub(now).div_ceil(1_000_000).max(1);
    headers.insert(TIMEOUT, HeaderValue::from(left));
    *request.headers_mut() = headers;
    request
}

/// A server's word that the request never ran.
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// Takes an answer and tells of it; true where the connection came to the answer's end.
async fn answer(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    link: &mut Link,
    response: Response<Incoming>,
) -> bool {
    let (head, mut body) = response.into_parts();
    let not_processed = head.headers.get(NOT_PROCESSED).is_some_and(|v| v == "1");
    let turned_away = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    if head.status != StatusCode::OK {
        let ending = match head.status {
            _ if turned_away && not_processed => Ending::Full,
            status if status.is_client_error() => Ending::Rejected,
            _ => Ending::Error,
        };
        engine.ended(id, ending);
        return drain(link, body).await;
    }
    let mut headers = head.headers;
    strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let length = body.size_hint().exact();
    if length.is_some_and(|l| l > LONGEST) {
        engine.ended(id, Ending::Reset);
        return false;
    }
    let mut pieces = Pieces::new(upstreams.budget.lease());
    let mut next = None;
    while length.is_none_or(|l| l <= WHOLE) {
        match tokio::time::timeout(SHORT_STALL, link.drive(body.frame())).await {
            Ok(None) => {
                engine.served(id, headers, pieces);
                return true;
            }
            // It may have run. Waited for to the deadline it would look to the module like a server in a jam.
            Ok(Some(Err(_))) | Err(_) => {
                engine.ended(id, Ending::Reset);
                return false;
            }
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                let fits = pieces.len() + data.len() as u64 <= WHOLE;
                if !fits || !pieces.push(data.clone()) {
                    next = Some(data);
                    break;
                }
            }
        }
    }
    stream(engine, id, link, headers, length, pieces, next, body).await
}

/// Reads the rest of an answer that nobody wants, so that the connection can be kept; not for long.
async fn drain(link: &mut Link, mut body: Incoming) -> bool {
    let mut left = WHOLE as usize;
    let all = async {
        loop {
            match link.drive(body.frame()).await {
                None => return true,
                Some(Ok(frame)) => match left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) {
                    Some(rest) => left = rest,
                    None => return false,
                },
                Some(Err(_)) => return false,
            }
        }
    };
    tokio::time::timeout(Duration::from_millis(200), all).await.unwrap_or(false)
}

/// Passes a long answer on as fast as the client takes it.
#[allow(clippy::too_many_arguments)]
async fn stream(
    engine: &Rc<Engine>,
    id: AttemptId,
    link: &mut Link,
    headers: HeaderMap,
    length: Option<u64>,
    held: Pieces,
    mut next: Option<Bytes>,
    mut body: Incoming,
) -> bool {
    let (to_client, pieces) = mpsc::channel(1);
    if !engine.streams(id, Answer::Stream { headers, length, pieces }) {
        return false;
    }
    let (held, _lease) = held.into_parts();
    let mut held = held.into_iter();
    let mut left = LONGEST;
    loop {
        let piece = match held.next().or_else(|| next.take()) {
            Some(piece) => piece,
            None => match tokio::time::timeout(STALL, link.drive(body.frame())).await {
                Ok(None) => return true,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Ok(Some(Err(_))) | Err(_) => {
                    let _ = to_client.send(Err(Broken)).await;
                    return false;
                }
            },
        };
        let Some(rest) = left.checked_sub(piece.len() as u64) else {
            let _ = to_client.send(Err(Broken)).await;
            return false;
        };
        left = rest;
        if to_client.send(Ok(piece)).await.is_err() {
            return false;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;

    const MS: Nanos = 1_000_000;

    /// Two thirds of what has stood idle for 100 ms is lost, nothing sooner; and then nothing any more.
    #[test]
    fn connections_are_kept_for_as_long_as_they_live() {
        let mut lives = Fleet::new(10_000 * MS).lives;
        for k in 0..60 {
            lives.note(k * 10 * MS, None, false);
            lives.note(k * 10 * MS, Some(k % 60 * MS), false);
            lives.note(k * 10 * MS, Some((100 + k) * MS), k % 3 != 0);
        }
        assert_eq!(lives.keep, 64 * MS);
        (0..100).for_each(|k| lives.note(k * 1000 * MS, Some(30 * MS), false));
        assert_eq!(lives.keep, lives.most);
    }

    /// Where all are lost alike, new ones would be no better.
    #[test]
    fn resets_that_hit_all_alike_say_nothing_of_age() {
        let mut lives = Fleet::new(10_000 * MS).lives;
        for k in 0..400 {
            lives.note(k * 10 * MS, None, k % 8 == 0);
            lives.note(k * 10 * MS, Some((k * 7) % 200 * MS), k % 8 == 0);
            assert_eq!(lives.keep, lives.most, "after {k}");
        }
    }

    /// What has come on a connection while it was kept is not the answer to the next request, and a close there
    /// would lose it. The runtime may not have been told of either yet.
    #[tokio::test]
    async fn a_kept_connection_that_has_spoken_is_not_used() {
        for word in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b""] {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let dial = listener.local_addr().unwrap();
            let socket = Socket::new(TcpStream::connect(dial).await.unwrap());
            let mut peer = listener.accept().unwrap().0;
            let io = TokioIo::new(SocketIo(socket.clone()));
            let (sender, connection) = http1::handshake(io).await.unwrap();
            let slot = Budget::new(100, 100).server().unwrap();
            let link = Link { socket: socket.clone(), sender, connection: Some(connection), _slot: slot };
            let mut fleet = Fleet::new(10_000 * MS);
            let entry = Entry { host: "s-0".into(), dial, server: Server::warm(ServerId(0)) };
            let server = fleet.follow(0, ListKind::Full, vec![entry])[0].id;
            fleet.checkin(server, dial, Idle { link, opened: 0, since: 0 });
            let idle = fleet.checkout(server, 0).expect("a quiet one is used");
            fleet.checkin(server, dial, idle);
            peer.write_all(word).unwrap();
            drop(peer);
            let start = std::time::Instant::now();
            while socket.quiet() {
                assert!(start.elapsed().as_secs() < 20, "nothing came");
            }
            assert!(fleet.checkout(server, 0).is_none(), "{} bytes and a close", word.len());
        }
    }

    /// All nodes must agree on the order of servers: the address under which one is reached has no say.
    #[test]
    fn identity_comes_from_the_name() {
        let list = |dials: [&str; 2]| {
            let entry = |(k, dial): (usize, &&str)| Entry {
                host: format!("s-{k}"),
                dial: dial.parse().unwrap(),
                server: Server::warm(ServerId(0)),
            };
            let entries = dials.iter().enumerate().map(entry).collect();
            Fleet::new(1).follow(0, ListKind::Full, entries)
        };
        let (a, b) = (list(["127.0.0.1:1", "127.0.0.1:2"]), list(["127.0.0.2:9", "127.0.0.1:1"]));
        assert_eq!(a, b);
        assert_ne!(a[0].id, a[1].id);
    }
}
