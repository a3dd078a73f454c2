//! The servers of one pool and the idle connections to them.

use super::connection::IdleConnection;
use super::idle_lifetime::IdleLifetime;
use corkhollow_balance::interface::{ListKind, Nanos, Phase, Server, ServerId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
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
    /// As last listed. The start time is by the clock of another machine; 0 for long ago.
    listed: Server,
    /// The list that first announced its process: see [`ServerTable::lists_applied`].
    process_listed_in: u64,
    /// Connections opened before this, by our own clock, are not to its present process.
    connections_valid_from: Nanos,
    /// Since when it accepts no new requests: drained or removed from the list.
    closed_at: Option<Nanos>,
    /// Oldest first. The newest is reused first, so that connections beyond the need age and are closed.
    idle: Vec<IdleConnection>,
}

/// The listed servers by id, with their idle connections.
pub struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    /// Number of lists and changes applied.
    lists_applied: u64,
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
            lists_applied: 0,
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
        self.lists_applied += 1;
        let list_number = self.lists_applied;
        let mut servers = Vec::with_capacity(entries.len());
        for entry in entries {
            let id = self.id_for_host(&entry.host);
            let (address, server) = (entry.address, Server { id, ..entry.server });
            let state = self.servers.entry(id).or_insert_with(|| ServerState {
                host: entry.host.into(),
                address,
                listed: server,
                process_listed_in: list_number,
                connections_valid_from: 0,
                closed_at: None,
                idle: Vec::new(),
            });
            if state.address != address || state.listed.started_at != server.started_at {
                state.address = address;
                state.process_listed_in = list_number;
                state.discard_connections(now);
            }
            state.listed = server;
            match server.phase {
                Phase::Ready => state.closed_at = None,
                _ => state.close(now),
            }
            servers.push(server);
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            let listed: BTreeSet<_> = servers.iter().map(|server| server.id).collect();
            self.servers
                .iter_mut()
                .filter(|(id, _)| !listed.contains(id))
                .for_each(|(_, state)| state.close(now));
        }
        self.remove_superseded(now, &mut servers);
        self.servers.retain(|_, state| {
            state.closed_at.is_none_or(|at| now.saturating_sub(at) < REMOVED_SERVER_RETENTION)
        });
        servers
    }

    /// Closes servers whose address a process has that started later: their own processes must have gone, although
    /// the list does not say so yet. Marks them as removed in `servers`.
    fn remove_superseded(&mut self, now: Nanos, servers: &mut Vec<Server>) {
        let mut successors: HashMap<SocketAddr, ProcessAge> = HashMap::new();
        for state in self.servers.values().filter(|state| state.closed_at.is_none()) {
            let newest = successors.entry(state.address).or_insert(state.process_age());
            *newest = (*newest).max(state.process_age());
        }
        for (id, state) in &mut self.servers {
            let newest = successors.get(&state.address).filter(|_| state.closed_at.is_none());
            if !newest.is_some_and(|newest| newest.has_known_start() && state.process_age() < *newest) {
                continue;
            }
            state.close(now);
            let removed = Server { phase: Phase::Removed, ..state.listed };
            match servers.iter_mut().find(|server| server.id == *id) {
                Some(server) => *server = removed,
                None => servers.push(removed),
            }
        }
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
            if idle.idle_since >= earliest_idle_since && idle.connection.socket.check_before_request() {
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

    /// Whether connections rest before they are reused, so that bytes which no request asked for can be seen.
    pub(super) fn delays_reuse(&self, now: Nanos) -> bool {
        self.reuse_delay(now) > 0
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
            if state.closed_at.is_none()
                && state.address == address
                && state.connections_valid_from <= idle.opened_at
            {
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

/// How new a process is: by the list that first announced it, and within one list by its start time. Start times come
/// from clocks of other machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessAge {
    listed_in: u64,
    started_at: Nanos,
}

impl ProcessAge {
    fn has_known_start(&self) -> bool {
        self.started_at > 0
    }
}

impl ServerState {
    fn process_age(&self) -> ProcessAge {
        ProcessAge { listed_in: self.process_listed_in, started_at: self.listed.started_at }
    }

    /// Stops new requests to the server and discards its connections: should it be listed again, another process may
    /// have its address.
    fn close(&mut self, now: Nanos) {
        if self.closed_at.is_none() {
            self.closed_at = Some(now);
            self.discard_connections(now);
        }
    }

    /// Closes the idle connections; those in use are not kept.
    fn discard_connections(&mut self, now: Nanos) {
        self.connections_valid_from = now;
        self.idle.clear();
    }
}

#[cfg(test)]
#[path = "servers_tests.rs"]
mod tests;
