//! The servers of one pool and the idle connections to them.

use super::connection::IdleConnection;
use super::idle_lifetime::IdleLifetime;
use corkhollow_balance::interface::{ListKind, Nanos, Phase, Server, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long drained and removed servers are remembered, for the attempts that are still open.
const REMOVED_SERVER_RETENTION: Nanos = 60_000_000_000;

/// One entry of a server list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Its name, the same at every node.
    pub host: String,
    /// The address that this node connects to; may differ between nodes.
    pub address: SocketAddr,
    /// What the decision module needs to know; [`ServerTable::apply_list`] fills in the id.
    pub server: Server,
}

/// A listed server with its idle connections.
struct ServerState {
    host: Arc<str>,
    address: SocketAddr,
    /// When its process started, by the clock of another machine: only compared for equality.
    started_at: Nanos,
    /// When its address or start time last changed, by our own clock; 0 if never.
    restarted_at: Nanos,
    /// Since when it accepts no new requests: drained or removed from the list.
    closed_at: Option<Nanos>,
    /// Oldest first. The newest is reused first, so that connections beyond the need age and are closed.
    idle: Vec<IdleConnection>,
}

/// The listed servers by id, with their idle connections.
pub struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    reuse_delay: ReuseDelay,
    /// When a server last sent bytes that no request asked for.
    surplus_at: Option<Nanos>,
    pub(super) idle_lifetime: IdleLifetime,
}

/// When a connection must be idle for a minimum time before it is reused.
///
/// Some servers answer a request twice, a few milliseconds apart. The second answer would be taken for the
/// answer to the next request on the connection; after the delay it is found as unread bytes instead. A
/// request waits for such a connection, because a new one costs the server more and may fail to open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseDelay {
    /// Always: for servers that are known to answer twice.
    Always,
    /// For [`SURPLUS_RETENTION`] after a server has sent surplus bytes. Under steady load the delay costs
    /// additional connections.
    AfterSurplusBytes,
}

/// How long the delay applies after surplus bytes were seen.
const SURPLUS_RETENTION: Nanos = 60_000_000_000;
const MIN_IDLE_BEFORE_REUSE: Nanos = 10_000_000;

/// Connections are reused for this fraction of the server's idle timeout, so that the server does not close
/// them first.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;

/// Hashes a server's name to its id; the salt separates names whose hashes collide.
fn hash_server_id(host: &str, salt: u8) -> ServerId {
    let mut name = host.as_bytes().to_vec();
    name.extend((salt > 0).then_some(salt));
    ServerId(corkhollow_plan::stable_hash(&name))
}

impl ServerTable {
    pub fn new(server_idle_timeout: Nanos, reuse_delay: ReuseDelay) -> Self {
        ServerTable {
            servers: BTreeMap::new(),
            reuse_delay,
            surplus_at: None,
            idle_lifetime: IdleLifetime::new(Self::idle_limit(server_idle_timeout)),
        }
    }

    fn idle_limit(server_idle_timeout: Nanos) -> Nanos {
        (server_idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Nanos
    }

    /// Sets the idle time after which servers may close connections.
    pub(super) fn set_server_idle_timeout(&mut self, server_idle_timeout: Nanos) {
        self.idle_lifetime.set_upper_limit(Self::idle_limit(server_idle_timeout));
    }

    fn id_for_host(&self, host: &str) -> ServerId {
        let is_unclaimed = |id: &ServerId| self.servers.get(id).is_none_or(|state| &*state.host == host);
        (0..=u8::MAX)
            .map(|salt| hash_server_id(host, salt))
            .find(is_unclaimed)
            .unwrap_or(hash_server_id(host, 0))
    }

    /// Applies a list or changes to one, and returns the entries with their ids, as the decision module takes
    /// them.
    pub fn apply_list(&mut self, now: Nanos, kind: ListKind, entries: Vec<ListedServer>) -> Vec<Server> {
        let mut servers = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.id_for_host(&entry.host);
            let (address, started_at) = (entry.address, entry.server.started_at);
            let state = self.servers.entry(id).or_insert_with(|| ServerState {
                host: entry.host.into(),
                address,
                started_at,
                restarted_at: 0,
                closed_at: None,
                idle: Vec::new(),
            });
            if state.address != address || state.started_at != started_at {
                (state.address, state.started_at) = (address, started_at);
                state.restarted_at = now;
                state.idle.clear();
            }
            if entry.server.phase == Phase::Ready {
                state.closed_at = None;
            } else {
                state.close(now);
            }
            servers.push(Server { id, ..entry.server });
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: BTreeSet<_> = servers.iter().map(|server| server.id).collect();
            self.servers
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id))
                .for_each(|(_, state)| state.close(now));
        }
        self.servers.retain(|_, state| {
            state.closed_at.is_none_or(|at| now.saturating_sub(at) < REMOVED_SERVER_RETENTION)
        });
        servers
    }

    /// The server's name in the list.
    pub(super) fn name(&self, server: ServerId) -> Option<Arc<str>> {
        self.servers.get(&server).map(|state| state.host.clone())
    }

    /// The address to connect to; `None` if the server accepts no new requests.
    pub(super) fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).filter(|state| state.closed_at.is_none()).map(|state| state.address)
    }

    /// Takes the newest idle connection that can be reused now, and closes those that can no longer be.
    pub(super) fn checkout(&mut self, server: ServerId, now: Nanos) -> Option<IdleConnection> {
        let earliest_idle_since = now.saturating_sub(self.idle_lifetime.max_idle);
        let latest_idle_since = now.saturating_sub(self.reuse_delay(now));
        let state = self.servers.get_mut(&server)?;
        while let Some(index) = state.idle.iter().rposition(|idle| idle.idle_since <= latest_idle_since) {
            let idle = state.idle.remove(index);
            // Unread bytes would be taken for the next request's answer, and a close would lose that request.
            // The check asks the kernel, because the runtime may not have been notified yet.
            if idle.idle_since >= earliest_idle_since && idle.connection.socket.is_quiet() {
                return Some(idle);
            }
            if idle.connection.socket.has_unread_bytes() {
                self.surplus_at = Some(now);
            }
        }
        None
    }

    /// How long a connection must have been idle before it is reused.
    fn reuse_delay(&self, now: Nanos) -> Nanos {
        let seen_recently = self.surplus_at.is_some_and(|at| now.saturating_sub(at) < SURPLUS_RETENTION);
        match self.reuse_delay {
            ReuseDelay::Always => MIN_IDLE_BEFORE_REUSE,
            ReuseDelay::AfterSurplusBytes if seen_recently => MIN_IDLE_BEFORE_REUSE,
            ReuseDelay::AfterSurplusBytes => 0,
        }
    }

    /// When the oldest idle connection to the server may be reused; `None` if none waits for that.
    pub(super) fn reusable_at(&self, server: ServerId, now: Nanos) -> Option<Nanos> {
        let oldest = self.servers.get(&server)?.idle.first()?;
        Some(oldest.idle_since + self.reuse_delay(now)).filter(|at| *at > now)
    }

    /// Records that a server sent bytes that no request asked for.
    pub(super) fn record_surplus(&mut self, now: Nanos) {
        self.surplus_at = Some(now);
    }

    /// Keeps a connection for reuse, unless its server was closed, moved or restarted since it was opened.
    pub(super) fn checkin(&mut self, server: ServerId, address: SocketAddr, idle: IdleConnection) {
        if let Some(state) = self.servers.get_mut(&server) {
            if state.closed_at.is_none() && state.address == address && state.restarted_at <= idle.opened_at {
                state.idle.push(idle);
            }
        }
    }

    /// Closes connections that have been idle for too long, were closed by their server or have unread bytes.
    pub fn sweep(&mut self, now: Nanos) {
        let earliest_idle_since = now.saturating_sub(self.idle_lifetime.max_idle);
        let mut has_surplus = false;
        for state in self.servers.values_mut() {
            state.idle.retain(|idle| {
                has_surplus |= idle.connection.socket.has_unread_bytes();
                idle.idle_since >= earliest_idle_since && idle.connection.socket.is_quiet()
            });
        }
        self.surplus_at = has_surplus.then_some(now).or(self.surplus_at);
    }

    /// Closes the connection that has been idle for longest; false if there is none.
    pub(super) fn close_oldest_idle(&mut self) -> bool {
        let oldest_idle_since = |state: &ServerState| state.idle.first().map(|idle| idle.idle_since);
        let idle_servers = self.servers.values_mut().filter(|state| !state.idle.is_empty());
        idle_servers.min_by_key(|state| oldest_idle_since(state)).map(|state| state.idle.remove(0)).is_some()
    }
}

impl ServerState {
    /// Stops new requests to the server and closes its idle connections.
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
        let socket = Socket::new_upstream(TcpStream::connect(address).await.unwrap());
        let peer = listener.accept().unwrap().0;
        let io = TokioIo::new(SocketIo(socket.clone()));
        let (sender, driver) = http1::handshake::<_, crate::body::RequestBody>(io).await.unwrap();
        let connection = ServerConnection {
            socket,
            sender,
            driver: Some(Box::new(driver)),
            interim_answers: Default::default(),
            has_surplus_bytes: false,
            _slot: Budget::new(100, 100, 100).server_slot().unwrap(),
            _permit: super::super::upstreams::ConnectionPermit::unlimited(),
        };
        (connection, peer, address)
    }

    #[tokio::test]
    async fn reuse_is_delayed_only_while_surplus_bytes_are_recent() {
        let (connection, _peer, address) = connection().await;
        let mut table = ServerTable::new(10_000 * MS, ReuseDelay::AfterSurplusBytes);
        let entry = ListedServer { host: "s-0".into(), address, server: Server::warm(ServerId(0)) };
        let server = table.apply_list(0, ListKind::Full, vec![entry])[0].id;
        let checked_in_at = 100 * MS;
        table.checkin(
            server,
            address,
            IdleConnection { connection, opened_at: 0, idle_since: checked_in_at },
        );
        assert_eq!(table.reusable_at(server, checked_in_at), None);
        let idle = table.checkout(server, checked_in_at).expect("it is reused without a delay");
        table.record_surplus(checked_in_at);
        table.checkin(server, address, IdleConnection { idle_since: checked_in_at, ..idle });
        assert!(table.checkout(server, checked_in_at + MIN_IDLE_BEFORE_REUSE - 1).is_none());
        assert_eq!(
            table.reusable_at(server, checked_in_at + MIN_IDLE_BEFORE_REUSE - 1),
            Some(checked_in_at + MIN_IDLE_BEFORE_REUSE)
        );
        let idle = table
            .checkout(server, checked_in_at + MIN_IDLE_BEFORE_REUSE)
            .expect("it is reused after the delay");
        let later = checked_in_at + SURPLUS_RETENTION;
        table.checkin(server, address, IdleConnection { idle_since: later, ..idle });
        assert!(table.checkout(server, later).is_some(), "the surplus bytes are forgotten");
    }

    #[tokio::test]
    async fn reuse_is_delayed_from_the_start_for_servers_that_answer_twice() {
        let (connection, _peer, address) = connection().await;
        let mut table = ServerTable::new(10_000 * MS, ReuseDelay::Always);
        let entry = ListedServer { host: "s-0".into(), address, server: Server::warm(ServerId(0)) };
        let server = table.apply_list(0, ListKind::Full, vec![entry])[0].id;
        let checked_in_at = 100 * MS;
        table.checkin(
            server,
            address,
            IdleConnection { connection, opened_at: 0, idle_since: checked_in_at },
        );
        assert!(table.checkout(server, checked_in_at + MIN_IDLE_BEFORE_REUSE - 1).is_none());
        assert_eq!(table.reusable_at(server, checked_in_at), Some(checked_in_at + MIN_IDLE_BEFORE_REUSE));
        assert!(table.checkout(server, checked_in_at + MIN_IDLE_BEFORE_REUSE).is_some());
    }

    /// Start times come from another machine's clock, which may be ahead. Only a change of the start time
    /// closes connections.
    #[tokio::test]
    async fn connections_are_reused_unless_the_listed_start_time_changes() {
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
        let idle = table.checkout(server, 200 * MS).expect("it is reused");
        table.apply_list(300 * MS, ListKind::Changes, list(far_ahead - MS));
        table.checkin(server, address, idle);
        assert!(table.checkout(server, 300 * MS).is_none(), "it was opened to the previous process");
        let (second, _peer, _) = connection().await;
        table.checkin(
            server,
            address,
            IdleConnection { connection: second, opened_at: 400 * MS, idle_since: 400 * MS },
        );
        assert!(table.checkout(server, 400 * MS).is_some());
    }

    /// Unread bytes would be taken for the answer to the next request, and a close would lose that request.
    /// The runtime may not have been notified of either yet.
    #[tokio::test]
    async fn an_idle_connection_with_unread_bytes_or_a_close_is_not_reused() {
        for bytes in [&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..], b""] {
            let (connection, mut peer, address) = connection().await;
            let socket = connection.socket.clone();
            let mut table = ServerTable::new(10_000 * MS, ReuseDelay::AfterSurplusBytes);
            let entry = ListedServer { host: "s-0".into(), address, server: Server::warm(ServerId(0)) };
            let server = table.apply_list(0, ListKind::Full, vec![entry])[0].id;
            table.checkin(server, address, IdleConnection { connection, opened_at: 0, idle_since: 0 });
            let idle = table.checkout(server, 0).expect("a quiet connection is reused");
            table.checkin(server, address, idle);
            peer.write_all(bytes).unwrap();
            drop(peer);
            let start = std::time::Instant::now();
            while socket.is_quiet() {
                assert!(start.elapsed().as_secs() < 20, "neither bytes nor a close arrived");
            }
            assert!(table.checkout(server, 0).is_none(), "{} bytes and a close", bytes.len());
        }
    }

    /// All nodes must derive the same ids, and a server's address may differ between nodes.
    #[test]
    fn server_ids_depend_on_the_name_and_not_on_the_address() {
        let list = |addresses: [&str; 2]| {
            let entry = |(k, address): (usize, &&str)| ListedServer {
                host: format!("s-{k}"),
                address: address.parse().unwrap(),
                server: Server::warm(ServerId(0)),
            };
            let entries = addresses.iter().enumerate().map(entry).collect();
            ServerTable::new(1, ReuseDelay::Always).apply_list(0, ListKind::Full, entries)
        };
        let (first, second) = (list(["127.0.0.1:1", "127.0.0.1:2"]), list(["127.0.0.2:9", "127.0.0.1:1"]));
        assert_eq!(first, second);
        assert_ne!(first[0].id, first[1].id);
    }
}
