//! The servers that a list has named, and the connections to them that are kept.

use super::connection::IdleConnection;
use super::idle_lifetime::IdleLifetime;
use corkhollow_balance::interface::{ListKind, Nanos, Phase, Server, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Servers that left are remembered for this long, for what is still under way to them.
const MEMORY: Nanos = 60_000_000_000;

/// One entry of discovery's list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Its name, the same at every node.
    pub host: String,
    /// Where it listens for this node.
    pub address: SocketAddr,
    /// All that the module is told; its id is filled in by the table.
    pub server: Server,
}

struct ServerState {
    host: Arc<str>,
    address: SocketAddr,
    /// When its process started, by another machine's clock: compared with itself alone.
    started_at: Nanos,
    /// Since when it has been listed with this start, on our own clock; 0 for the first.
    started_anew_at: Nanos,
    /// Since when it takes nothing new.
    closed_at: Option<Nanos>,
    /// Oldest first: the newest is used first, so that the others can age and close.
    idle: Vec<IdleConnection>,
}

/// The servers that the list has named, by the identity under which the module knows them.
pub struct ServerTable {
    upstreams: BTreeMap<ServerId, ServerState>,
    /// When connections rest before they are used again.
    rests: ReuseDelay,
    /// When a server last said more than it was asked for.
    surplus_at: Option<Nanos>,
    pub(super) idle_lifetime: IdleLifetime,
}

/// When a connection rests before it is used again. Some servers answer twice, the second time some milliseconds later: it would be
/// taken for the answer to the next request on that connection. One that has rested is found to have spoken. A request waits for one
/// that rests: a new one costs the server more, and may not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseDelay {
    /// Always, where servers are known to do so: the first such answer must not be another client's either.
    Always,
    /// For a while after a server has done so. Where requests come without a pause, a rest would cost a connection for each.
    AfterSurplusBytes,
}

/// For so long after it has been seen.
const SPOKEN: Nanos = 60_000_000_000;
const REST: Nanos = 10_000_000;

/// Part of the idle time after which a server may close that its connections are kept.
const IDLE_PART: f64 = 0.6;

fn identity(host: &str, round: u8) -> ServerId {
    let mut name = host.as_bytes().to_vec();
    name.extend((round > 0).then_some(round));
    ServerId(corkhollow_plan::stable_hash(&name))
}

impl ServerTable {
    pub fn new(conn_idle: Nanos, rests: ReuseDelay) -> Self {
        ServerTable {
            upstreams: BTreeMap::new(),
            rests,
            surplus_at: None,
            idle_lifetime: IdleLifetime::new(Self::keep(conn_idle)),
        }
    }

    fn keep(conn_idle: Nanos) -> Nanos {
        (conn_idle as f64 * IDLE_PART) as Nanos
    }

    /// Servers may close connections that have stood idle for this long, from here on.
    pub(super) fn set_server_idle_timeout(&mut self, conn_idle: Nanos) {
        self.idle_lifetime.set_upper_limit(Self::keep(conn_idle));
    }

    fn id(&self, host: &str) -> ServerId {
        let free = |id: &ServerId| self.upstreams.get(id).is_none_or(|u| &*u.host == host);
        (0..=u8::MAX).map(|round| identity(host, round)).find(free).unwrap_or(identity(host, 0))
    }

    /// Takes over a list or changes to it, and puts it into the module's words.
    pub fn apply_list(&mut self, now: Nanos, kind: ListKind, entries: Vec<ListedServer>) -> Vec<Server> {
        let mut servers = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.id(&entry.host);
            let (address, started_at) = (entry.address, entry.server.started_at);
            let upstream = self.upstreams.entry(id).or_insert_with(|| ServerState {
                host: entry.host.into(),
                address,
                started_at,
                started_anew_at: 0,
                closed_at: None,
                idle: Vec::new(),
            });
            if upstream.address != address || upstream.started_at != started_at {
                (upstream.address, upstream.started_at) = (address, started_at);
                upstream.started_anew_at = now;
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

    /// The name by which lists know it.
    pub(super) fn name(&self, server: ServerId) -> Option<Arc<str>> {
        self.upstreams.get(&server).map(|u| u.host.clone())
    }

    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.upstreams.get(&server).filter(|u| u.closed_at.is_none()).map(|u| u.address)
    }

    pub(super) fn checkout(&mut self, server: ServerId, now: Nanos) -> Option<IdleConnection> {
        let oldest = now.saturating_sub(self.idle_lifetime.max_idle);
        let newest = now.saturating_sub(self.rest(now));
        let upstream = self.upstreams.get_mut(&server)?;
        while let Some(at) = upstream.idle.iter().rposition(|idle| idle.idle_since <= newest) {
            let idle = upstream.idle.remove(at);
            // What has come since it was kept (a close, a second copy of the last answer, noise) would be taken
            // for the next request's end or answer. The kernel knows; the runtime may not yet.
            if idle.idle_since >= oldest && idle.connection.socket.is_quiet() {
                return Some(idle);
            }
            if idle.connection.socket.has_unread_bytes() {
                self.surplus_at = Some(now);
            }
        }
        None
    }

    /// How long connections rest before they are used again.
    fn rest(&self, now: Nanos) -> Nanos {
        let spoken = self.surplus_at.is_some_and(|at| now.saturating_sub(at) < SPOKEN);
        match self.rests {
            ReuseDelay::Always => REST,
            ReuseDelay::AfterSurplusBytes if spoken => REST,
            ReuseDelay::AfterSurplusBytes => 0,
        }
    }

    /// When a connection to this server that rests may be used; none where none does.
    pub(super) fn reusable_at(&self, server: ServerId, now: Nanos) -> Option<Nanos> {
        let oldest = self.upstreams.get(&server)?.idle.first()?;
        Some(oldest.idle_since + self.rest(now)).filter(|at| *at > now)
    }

    /// A server has said more than it was asked for.
    pub(super) fn record_surplus(&mut self, now: Nanos) {
        self.surplus_at = Some(now);
    }

    pub(super) fn checkin(&mut self, server: ServerId, address: SocketAddr, idle: IdleConnection) {
        if let Some(u) = self.upstreams.get_mut(&server) {
            if u.closed_at.is_none() && u.address == address && u.started_anew_at <= idle.opened_at {
                u.idle.push(idle);
            }
        }
    }

    /// Closes what has stood idle for too long or was closed by its server.
    pub fn sweep(&mut self, now: Nanos) {
        let oldest = now.saturating_sub(self.idle_lifetime.max_idle);
        let mut surplus = false;
        for upstream in self.upstreams.values_mut() {
            upstream.idle.retain(|i| {
                surplus |= i.connection.socket.has_unread_bytes();
                i.idle_since >= oldest && i.connection.socket.is_quiet()
            });
        }
        self.surplus_at = surplus.then_some(now).or(self.surplus_at);
    }

    pub(super) fn close_oldest_idle(&mut self) -> bool {
        let since = |u: &ServerState| u.idle.first().map(|i| i.idle_since);
        let upstreams = self.upstreams.values_mut().filter(|u| !u.idle.is_empty());
        upstreams.min_by_key(|u| since(u)).map(|u| u.idle.remove(0)).is_some()
    }
}

impl ServerState {
    fn close(&mut self, now: Nanos) {
        self.closed_at.get_or_insert(now);
        self.idle.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::super::connection::ServerConnection;
    use super::*;
    use crate::socket::{Socket, SocketIo};
    use corkhollow_plan::limits::Budget;
    use hyper::client::conn::http1;
    use hyper_util::rt::TokioIo;
    use std::io::Write;
    use tokio::net::TcpStream;

    const MS: Nanos = 1_000_000;

    /// A connection to a peer, the peer's end of it, and its address.
    async fn connection() -> (ServerConnection, std::net::TcpStream, SocketAddr) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let socket = Socket::new(TcpStream::connect(address).await.unwrap());
        let peer = listener.accept().unwrap().0;
        let io = TokioIo::new(SocketIo(socket.clone()));
        let (sender, driver) = http1::handshake::<_, crate::body::RequestBody>(io).await.unwrap();
        let connection = ServerConnection {
            socket,
            sender,
            driver: Some(Box::new(driver)),
            interim_answers: Default::default(),
            has_surplus_bytes: false,
            _slot: Budget::new(100, 100).server_slot().unwrap(),
            _permit: super::super::upstreams::ConnectionPermit::free(),
        };
        (connection, peer, address)
    }

    /// Where servers have been interim_answers to say more than they were asked for, and there alone, connections rest.
    #[tokio::test]
    async fn connections_rest_where_servers_speak_unasked() {
        let (connection, _peer, address) = connection().await;
        let mut table = ServerTable::new(10_000 * MS, ReuseDelay::AfterSurplusBytes);
        let entry = ListedServer { host: "s-0".into(), address, server: Server::warm(ServerId(0)) };
        let server = table.apply_list(0, ListKind::Full, vec![entry])[0].id;
        let put_back = 100 * MS;
        table.checkin(server, address, IdleConnection { connection, opened_at: 0, idle_since: put_back });
        assert_eq!(table.reusable_at(server, put_back), None);
        let idle = table.checkout(server, put_back).expect("it is used at once");
        table.record_surplus(put_back);
        table.checkin(server, address, IdleConnection { idle_since: put_back, ..idle });
        assert!(table.checkout(server, put_back + REST - 1).is_none());
        assert_eq!(table.reusable_at(server, put_back + REST - 1), Some(put_back + REST));
        let idle = table.checkout(server, put_back + REST).expect("it has rested");
        let later = put_back + SPOKEN;
        table.checkin(server, address, IdleConnection { idle_since: later, ..idle });
        assert!(table.checkout(server, later).is_some(), "that is long ago");
    }

    /// Where servers are known to answer twice, connections rest whether or not one of them has done so yet.
    #[tokio::test]
    async fn connections_rest_from_the_start_where_servers_answer_twice() {
        let (connection, _peer, address) = connection().await;
        let mut table = ServerTable::new(10_000 * MS, ReuseDelay::Always);
        let entry = ListedServer { host: "s-0".into(), address, server: Server::warm(ServerId(0)) };
        let server = table.apply_list(0, ListKind::Full, vec![entry])[0].id;
        let put_back = 100 * MS;
        table.checkin(server, address, IdleConnection { connection, opened_at: 0, idle_since: put_back });
        assert!(table.checkout(server, put_back + REST - 1).is_none());
        assert_eq!(table.reusable_at(server, put_back), Some(put_back + REST));
        assert!(table.checkout(server, put_back + REST).is_some());
    }

    /// A start is listed by another machine's clock, which may be ahead: connections are kept all the same. Those from before another
    /// start was listed are not.
    #[tokio::test]
    async fn connections_are_kept_whatever_clock_dates_a_start() {
        let far_ahead = 3_600_000 * MS;
        let mut table = ServerTable::new(10_000 * MS, ReuseDelay::AfterSurplusBytes);
        let (first, _peer, address) = connection().await;
        let list = |started_at| {
            let server = Server { started_at, ..Server::warm(ServerId(0)) };
            vec![ListedServer { host: "s-0".into(), address, server }]
        };
        let server = table.apply_list(100 * MS, ListKind::Full, list(far_ahead))[0].id;
        table.checkin(
            server,
            address,
            IdleConnection { connection: first, opened_at: 200 * MS, idle_since: 200 * MS },
        );
        let kept = table.checkout(server, 200 * MS).expect("it is kept");
        table.apply_list(300 * MS, ListKind::Changes, list(far_ahead - MS));
        table.checkin(server, address, kept);
        assert!(table.checkout(server, 300 * MS).is_none(), "it led to the process before");
        let (second, _peer, _) = connection().await;
        table.checkin(
            server,
            address,
            IdleConnection { connection: second, opened_at: 400 * MS, idle_since: 400 * MS },
        );
        assert!(table.checkout(server, 400 * MS).is_some());
    }

    /// What has come on a connection while it was kept is not the answer to the next request, and a close there
    /// would lose it. The runtime may not have been told of either yet.
    #[tokio::test]
    async fn a_kept_connection_that_has_spoken_is_not_used() {
        for word in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b""] {
            let (connection, mut peer, address) = connection().await;
            let socket = connection.socket.clone();
            let mut table = ServerTable::new(10_000 * MS, ReuseDelay::AfterSurplusBytes);
            let entry = ListedServer { host: "s-0".into(), address, server: Server::warm(ServerId(0)) };
            let server = table.apply_list(0, ListKind::Full, vec![entry])[0].id;
            table.checkin(server, address, IdleConnection { connection, opened_at: 0, idle_since: 0 });
            let idle = table.checkout(server, 0).expect("a quiet one is used");
            table.checkin(server, address, idle);
            peer.write_all(word).unwrap();
            drop(peer);
            let start = std::time::Instant::now();
            while socket.is_quiet() {
                assert!(start.elapsed().as_secs() < 20, "nothing came");
            }
            assert!(table.checkout(server, 0).is_none(), "{} bytes and a close", word.len());
        }
    }

    /// All nodes must agree on the order of servers: the address under which one is reached has no say.
    #[test]
    fn identity_comes_from_the_name() {
        let list = |dials: [&str; 2]| {
            let entry = |(k, address): (usize, &&str)| ListedServer {
                host: format!("s-{k}"),
                address: address.parse().unwrap(),
                server: Server::warm(ServerId(0)),
            };
            let entries = dials.iter().enumerate().map(entry).collect();
            ServerTable::new(1, ReuseDelay::Always).apply_list(0, ListKind::Full, entries)
        };
        let (a, b) = (list(["127.0.0.1:1", "127.0.0.1:2"]), list(["127.0.0.2:9", "127.0.0.1:1"]));
        assert_eq!(a, b);
        assert_ne!(a[0].id, a[1].id);
    }
}
