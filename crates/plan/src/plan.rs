//! The plan: a validated configuration in which every name is resolved to an index.

use crate::discovery_list::HostList;
use crate::routes::{PathRules, RequestHead, RouteTable};
use crate::tenants::Tenants;
use crate::version::Version;
use corkhollow_balance::interface::{Class, Nanos, Settings};
use http::header::{HeaderName, HeaderValue};
use http::Method;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The compiled configuration of a gateway process.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The version of the file that it was compiled from.
    pub version: Version,
    /// The node's zone, as an index into [`Plan::zones`].
    pub zone: u8,
    /// The names of all zones.
    pub zones: Vec<String>,
    /// How long open requests may take to finish after SIGTERM.
    pub drain_timeout: Nanos,
    /// The address of the operator interface, if it is enabled.
    pub operator: Option<SocketAddr>,
    /// The fleet that the node is a member of.
    pub fleet: Option<Fleet>,
    /// Resource limits and client timeouts.
    pub limits: Limits,
    /// The addresses that clients connect to.
    pub listeners: Vec<Listener>,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants and their quotas.
    pub tenants: Tenants,
    /// The pools of servers.
    pub pools: Vec<Arc<Pool>>,
    /// The routes, in the order of the file.
    pub routes: RouteTable,
    /// The seed of all random numbers; without it, they differ with each start.
    pub seed: Option<u64>,
}

/// The fleet that a node is a member of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// The name of the fleet.
    pub name: String,
    /// The name of this node.
    pub node: String,
    /// The address to receive datagrams on.
    pub listen: SocketAddr,
    /// The address that other nodes send to, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The addresses of some members, to join through.
    pub seeds: Vec<SocketAddr>,
    /// The file that holds the shared key, if datagrams are authenticated (with a keyed BLAKE3 hash).
    pub key_file: Option<PathBuf>,
    /// The interval between probes.
    pub probe_every: Nanos,
    /// How long to wait for the answer to a direct probe before probing indirectly.
    pub probe_timeout: Nanos,
    /// How long a suspect has to refute the suspicion.
    pub suspect_for: Nanos,
    /// The size of the largest datagram.
    pub max_datagram_bytes: usize,
}

impl Fleet {
    /// The first key that differs and can only change with a restart.
    pub fn changed_fixed_key(&self, other: &Fleet) -> Option<&'static str> {
        let differs = [
            ("name", self.name != other.name),
            ("node", self.node != other.node),
            ("listen", self.listen != other.listen),
            ("advertise", self.advertise != other.advertise),
        ];
        differs.into_iter().find(|(_, differs)| *differs).map(|(key, _)| key)
    }

    /// Parses a shared key of 64 hex digits, ignoring surrounding white space.
    ///
    /// # Errors
    /// If the text is no such key. The message does not quote any of it.
    pub fn parse_key(text: &str) -> Result<[u8; 32], String> {
        let text = text.trim();
        if text.len() != 64 || !text.is_ascii() {
            return Err(format!(
                "a key must have 64 hex digits, but this one has {} characters",
                text.chars().count()
            ));
        }
        let mut key = [0; 32];
        for (index, byte) in key.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
            let value = u8::from_str_radix(digits, 16).ok().filter(|_| is_hex);
            *byte = value.ok_or_else(|| {
                format!("characters {} and {} are not hex digits", 2 * index + 1, 2 * index + 2)
            })?;
        }
        Ok(key)
    }
}

/// The conventions that a listener or a pool follows on top of HTTP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// Plain HTTP.
    #[default]
    Http,
    /// The platform's dialect: its headers, and 200 as the only successful status.
    Platform,
}

/// Resource limits and the timeouts of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of file descriptors.
    pub descriptors: usize,
    /// The amount of memory.
    pub memory_bytes: u64,
    /// The longest request body that is buffered for a retry.
    pub replay_buffer_bytes: u64,
    /// The longest head of a request.
    pub header_bytes: usize,
    /// How long a client may take to send a head.
    pub header_timeout: Nanos,
    /// How long after connecting a client may be at work on its first request without keeping the pace that is
    /// expected of a body, if limited.
    pub first_request_timeout: Option<Nanos>,
    /// How long a client connection may stay without a request.
    pub idle_timeout: Nanos,
    /// How long the transfer of a body may make no progress.
    pub stall_timeout: Nanos,
}

/// Larger read buffers save little CPU time.
const MAX_READ_BUFFER_BYTES: u64 = 64 << 10;
/// The read buffers of all connections together take at most the memory divided by this.
const READ_BUFFER_MEMORY_DIVISOR: u64 = 4;

impl Limits {
    /// The size of a connection's read buffer: large enough for a head, and otherwise limited by the memory that all
    /// connections share.
    pub fn read_buffer_bytes(&self) -> usize {
        let share = connection_buffer_share(self.memory_bytes, self.descriptors);
        (share.min(MAX_READ_BUFFER_BYTES) as usize).max(self.header_bytes)
    }
}

/// The memory that a connection's read buffer may take if all descriptors are in use.
pub(crate) fn connection_buffer_share(memory_bytes: u64, descriptors: usize) -> u64 {
    memory_bytes / READ_BUFFER_MEMORY_DIVISOR / (descriptors as u64).max(1)
}

/// An address that clients connect to, and how their requests are read.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The dialect of its clients.
    pub dialect: Dialect,
    /// The value that is added to `Via`, if any.
    pub via: Option<HeaderValue>,
    /// Whether to send `X-Forwarded-For`, `X-Forwarded-Host` and `X-Forwarded-Proto` to servers.
    pub x_forwarded: bool,
    /// Whether to send `Forwarded` to servers.
    pub forwarded: bool,
    /// Whether to append to the forwarding headers that clients send, instead of replacing them.
    pub trust_forwarded: bool,
    /// The header that holds the request ID.
    pub request_id: HeaderName,
    /// How paths are normalised.
    pub paths: PathRules,
}

/// A class of requests with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its settings in the decision module.
    pub class: Class,
    /// Methods whose requests have this class if their route names no class.
    pub methods: Vec<Method>,
}

/// A group of interchangeable servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Where its list of servers comes from.
    pub source: Source,
    /// The dialect of its servers.
    pub dialect: Dialect,
    /// The settings of its decision module, without the tenants' quotas, which are in [`Plan::tenants`].
    pub settings: Settings,
    /// How long connecting to a server may take.
    pub connect_timeout: Nanos,
    /// How long a connection may be idle before its server may close it.
    pub idle_timeout: Nanos,
    /// The largest number of connections to all its servers.
    pub max_connections: Option<usize>,
    /// The largest number of requests that wait for a connection.
    pub max_waiting: usize,
    /// Whether servers that are added to the list begin with a slow start.
    pub slow_start: bool,
    /// Active health checks.
    pub check: Option<HealthCheck>,
}

/// Where a pool's list of servers comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The configuration file itself.
    Static(Vec<Server>),
    /// Another file, which is read again whenever it changes.
    Watch(PathBuf),
    /// The platform's discovery.
    Discovery(Box<Discovery>),
}

/// How to reach the platform's discovery, and the names that it uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Discovery {
    /// Its address.
    pub address: SocketAddr,
    /// The names of zones; a zone's index is its number.
    pub zones: Vec<String>,
    /// The names of machine kinds; a kind's index is its number.
    pub kinds: Vec<String>,
    /// The last list that an earlier process of this node received.
    pub known: Option<HostList>,
}

/// A server of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name, unique in the pool.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its capacity relative to the other servers.
    pub weight: f64,
    /// Its zone, as an index into [`Plan::zones`].
    pub zone: u8,
    /// Its kind of machine, if given.
    pub kind: Option<String>,
    /// Whether it finishes its open requests and gets no new ones.
    pub drain: bool,
    /// Whether it gets requests only while no other server can take them.
    pub backup: bool,
}

/// An active health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheck {
    /// The path to request.
    pub path: String,
    /// The time from one check to the next.
    pub interval: Nanos,
    /// How long a check may take before it counts as failed.
    pub timeout: Nanos,
    /// The number of consecutive passes that bring a server back.
    pub rise: u32,
    /// The number of consecutive failures that take a server out.
    pub fall: u32,
    /// The statuses that count as a pass.
    pub status: Vec<u16>,
}

impl Pool {
    /// Whether the running pool can be kept for the pool `other` of a new plan. The list of servers, the timeouts and
    /// most settings of the decision module can change in place; everything else requires a new pool.
    pub fn can_be_reused_as(&self, other: &Pool) -> bool {
        let kind = |source: &Source| std::mem::discriminant(source);
        let fixed = |settings: &Settings| (settings.zone, settings.backup_zone, settings.must_subscribe);
        self.name == other.name
            && kind(&self.source) == kind(&other.source)
            && fixed(&self.settings) == fixed(&other.settings)
            && self.dialect == other.dialect
            && (self.max_connections, self.max_waiting) == (other.max_connections, other.max_waiting)
            && self.slow_start == other.slow_start
            && self.check == other.check
    }
}

impl Source {
    /// The servers that the configuration file lists; none if they come from another source.
    pub fn servers(&self) -> &[Server] {
        match self {
            Source::Static(servers) => servers,
            Source::Watch(_) | Source::Discovery(_) => &[],
        }
    }
}

impl Plan {
    /// The class of a request: that of its route or, if that names none, the one for its method. The last class
    /// takes all methods that no class names.
    pub fn class_of(&self, route_class: Option<usize>, method: &Method) -> usize {
        let by_method = || self.classes.iter().position(|c| c.methods.contains(method));
        route_class.or_else(by_method).unwrap_or(self.classes.len() - 1)
    }

    /// Explains, in lines for the operator, how a request is routed.
    pub fn explain(&self, head: &RequestHead<'_>) -> Vec<String> {
        let mut lines = Vec::new();
        if let Some(listener) = self.listeners.get(head.listener) {
            lines.push(format!("listener  {} at {}", listener.name, listener.address));
        }
        lines.push(format!("host      {}", if head.host.is_empty() { "(none)" } else { head.host }));
        lines.push(format!("path      {}", head.path));
        for (index, mismatch) in self.routes.mismatches(head) {
            lines.push(format!("passed    route {}: {mismatch}", self.routes.routes()[index].name));
        }
        let Some((index, route)) = self.routes.find(head) else {
            let allowed = self.routes.allowed_methods(head);
            lines.push(match allowed.is_empty() {
                true => "answer    404: no route takes it".to_owned(),
                false => {
                    let names: Vec<_> = allowed.iter().map(Method::as_str).collect();
                    format!("answer    405: only with {}", names.join(", "))
                }
            });
            return lines;
        };
        lines.push(format!(
            "route     {} (number {} of {})",
            route.name,
            index + 1,
            self.routes.routes().len()
        ));
        self.explain_action(head, route, &mut lines);
        lines
    }

    fn explain_action(&self, head: &RequestHead<'_>, route: &crate::routes::Route, lines: &mut Vec<String>) {
        use crate::routes::RouteAction;
        match &route.action {
            RouteAction::Answer { status, .. } => {
                lines.push(format!("answer    {status}, fixed by the route"))
            }
            RouteAction::Redirect(redirect) => {
                let location = redirect.location("http", head.host, head.path, head.query);
                let location = location.as_ref().and_then(|l| l.to_str().ok()).unwrap_or("(no location)");
                lines.push(format!("redirect  {} to {location}", redirect.status));
            }
            RouteAction::Forward { pool, rewrite } => {
                let class = &self.classes[self.class_of(route.class, head.method)];
                let chosen_by = if route.class.is_some() { "named by the route" } else { "by the method" };
                let effect = format!("{:?}", class.class.effect).to_lowercase();
                lines.push(format!(
                    "class     {} ({chosen_by}): {effect}, wanted within {} ms, given up after {} ms",
                    class.name,
                    class.class.aim / 1_000_000,
                    class.class.give_up / 1_000_000,
                ));
                let pool = &self.pools[*pool];
                let servers = match &pool.source {
                    Source::Static(servers) => format!("{} servers", servers.len()),
                    Source::Watch(path) => format!("servers by {}", path.display()),
                    Source::Discovery(discovery) => format!("servers by discovery at {}", discovery.address),
                };
                lines.push(format!(
                    "pool      {}: {servers}, at most {} attempts",
                    pool.name, pool.settings.max_attempts
                ));
                lines.push(match rewrite.target(head.path, head.query) {
                    Ok(rewritten) => format!("sent as   {} {rewritten}", head.method),
                    Err(error) => format!("answer    500: {error}"),
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn read_buffers_are_limited_by_memory_but_hold_a_head() {
        let limits = |memory_bytes, descriptors, header_bytes| Limits {
            memory_bytes,
            descriptors,
            header_bytes,
            replay_buffer_bytes: 0,
            header_timeout: 0,
            first_request_timeout: None,
            idle_timeout: 0,
            stall_timeout: 0,
        };
        for (memory_bytes, descriptors, header_bytes, expected) in [
            (1 << 30, 1024, 16 << 10, 64 << 10),
            (192_000_000, 1024, 16 << 10, 46_875),
            (32 << 20, 1024, 16 << 10, 16 << 10),
            (1 << 30, 1024, 1 << 20, 1 << 20),
            (1 << 30, 0, 16 << 10, 64 << 10),
        ] {
            assert_eq!(
                limits(memory_bytes, descriptors, header_bytes).read_buffer_bytes(),
                expected,
                "{memory_bytes} {descriptors}"
            );
        }
    }
}
