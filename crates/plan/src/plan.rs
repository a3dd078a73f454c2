//! The plan: a configuration that has been checked, with every name resolved to an index.

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

/// All that the program does, as told by the operator's file.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Which file it was made of.
    pub version: Version,
    /// The zone it stands in, as an index into [`Plan::zones`].
    pub zone: u8,
    /// Zones by their index.
    pub zones: Vec<String>,
    /// How long SIGTERM waits for what is under way.
    pub drain_timeout: Nanos,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    /// The fleet that it is a member of.
    pub fleet: Option<Fleet>,
    /// What it may hold.
    pub limits: Limits,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Who requests are made for.
    pub tenants: Tenants,
    /// Pools of servers.
    pub pools: Vec<Arc<Pool>>,
    /// Which request goes where.
    pub routes: RouteTable,
    /// Settles random draws; none takes one of the moment.
    pub seed: Option<u64>,
}

/// The fleet that a node is a member of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its name.
    pub name: String,
    /// The node's own.
    pub node: String,
    /// Where datagrams come in.
    pub listen: SocketAddr,
    /// Where others reach it, if not there.
    pub advertise: Option<SocketAddr>,
    /// Where some members are reached.
    pub seeds: Vec<SocketAddr>,
    /// Where its key stands, if it has one.
    pub key_file: Option<PathBuf>,
    /// From one probe to the next.
    pub probe_every: Nanos,
    /// A probe goes by others after this.
    pub probe_timeout: Nanos,
    /// How long a suspect has to object.
    pub suspect_for: Nanos,
    /// The largest datagram, in bytes.
    pub max_datagram_bytes: usize,
}

impl Fleet {
    /// The first key that cannot change while the program runs, if it differs.
    pub fn changed_fixed_key(&self, other: &Fleet) -> Option<&'static str> {
        let differs = [
            ("name", self.name != other.name),
            ("node", self.node != other.node),
            ("listen", self.listen != other.listen),
            ("advertise", self.advertise != other.advertise),
        ];
        differs.into_iter().find(|(_, differs)| *differs).map(|(key, _)| key)
    }

    /// Reads a key: 64 hex digits, with blanks around them or not.
    ///
    /// # Errors
    /// Says what is wrong with the text, without showing any of it.
    pub fn parse_key(text: &str) -> Result<[u8; 32], String> {
        let text = text.trim();
        if text.len() != 64 || !text.is_ascii() {
            return Err(format!("a key has 64 hex digits; here are {} characters", text.chars().count()));
        }
        let mut key = [0; 32];
        for (at, byte) in key.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            let sound = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
            let value = u8::from_str_radix(digits, 16).ok().filter(|_| sound);
            *byte = value
                .ok_or_else(|| format!("characters {} and {} are no hex digits", 2 * at + 1, 2 * at + 2))?;
        }
        Ok(key)
    }
}

/// How a listener or a pool reads and words HTTP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dialect {
    /// As any site does.
    #[default]
    Http,
    /// By the platform's protocol: its headers, and 200 as the only good answer.
    Platform,
}

/// What the program may hold, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// File descriptors.
    pub descriptors: usize,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// The longest body of a request that is kept for another attempt, in bytes.
    pub replay_buffer_bytes: u64,
    /// The longest head, in bytes.
    pub header_bytes: usize,
    /// How long a client may take over a head.
    pub header_timeout: Nanos,
    /// How long a client's connection may stand idle.
    pub idle_timeout: Nanos,
    /// How long a body may stand still.
    pub stall_timeout: Nanos,
}

/// A connection reads no more than this at once, in bytes: more saves hardly any work.
const MOST_READ: u64 = 64 << 10;
/// Part of the memory that the reading of all connections may come to.
const READ_PART: u64 = 4;

impl Limits {
    /// How much a connection may read at once, in bytes: long bodies cost half the work where it is 64 KiB in place of 16,
    /// but all connections together keep to their part of the memory, and a head has to fit.
    pub fn read_buffer_bytes(&self) -> usize {
        let part = self.memory_bytes / READ_PART / (self.descriptors as u64).max(1);
        (part.min(MOST_READ) as usize).max(self.header_bytes)
    }
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// How its clients speak.
    pub dialect: Dialect,
    /// What it says of itself in `Via`.
    pub via: Option<HeaderValue>,
    /// Tells servers of the client by `X-Forwarded-For`, `-Host`, `-Proto`.
    pub x_forwarded: bool,
    /// Tells servers of the client by `Forwarded`.
    pub forwarded: bool,
    /// Adds to what clients say by these headers.
    pub trust_forwarded: bool,
    /// The header that names a request.
    pub request_id: HeaderName,
    /// How paths are read.
    pub paths: PathRules,
}

/// A class of requests with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// What the decision module is told of it.
    pub class: Class,
    /// Methods whose requests are of this class where their route names none.
    pub methods: Vec<Method>,
}

/// Servers that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Who its servers are.
    pub source: Source,
    /// How its servers speak.
    pub dialect: Dialect,
    /// What its decision module is told, but for the tenants' shares, which are the plan's.
    pub settings: Settings,
    /// A connection that is not up after this has failed.
    pub connect_timeout: Nanos,
    /// Servers may close connections that have stood idle for this long.
    pub idle_timeout: Nanos,
    /// Most connections in all.
    pub max_connections: Option<usize>,
    /// Most requests that wait for a connection.
    pub max_waiting: usize,
    /// Servers that come into the list are cold.
    pub slow_start: bool,
    /// Active checks.
    pub check: Option<HealthCheck>,
}

/// Who a pool's servers are.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// These.
    Static(Vec<Server>),
    /// Those that a file names, now and whenever it changes.
    Watch(PathBuf),
    /// Those that the platform's discovery names.
    Discovery(Box<Discovery>),
}

/// The platform's discovery, and in whose words it speaks.
#[derive(Clone, Debug, PartialEq)]
pub struct Discovery {
    /// Where it answers.
    pub address: SocketAddr,
    /// Zones by their index.
    pub zones: Vec<String>,
    /// Kinds of machines by their index.
    pub kinds: Vec<String>,
    /// The list as an earlier life of this node had it.
    pub known: Option<HostList>,
}

/// One server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its identity in the pool.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its zone, as an index into [`Plan::zones`].
    pub zone: u8,
    /// Its kind of machine, where told.
    pub kind: Option<String>,
    /// Finishes what it has and takes nothing new.
    pub drain: bool,
    /// Takes requests only while no other server can.
    pub backup: bool,
}

/// An active check of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheck {
    /// What is asked for.
    pub path: String,
    /// How often.
    pub interval: Nanos,
    /// An answer that takes longer is a failure.
    pub timeout: Nanos,
    /// Passes in a row that bring a server back.
    pub rise: u32,
    /// Failures in a row that take it out.
    pub fall: u32,
    /// Statuses that pass.
    pub status: Vec<u16>,
}

impl Pool {
    /// Whether a pool can go on as another one: with another list of servers, with other settings for its decision module,
    /// with other times for its connections, at most.
    pub fn can_be_reused_as(&self, other: &Pool) -> bool {
        let kind = |source: &Source| std::mem::discriminant(source);
        let fixed = |s: &Settings| (s.zone, s.backup_zone, s.must_subscribe);
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
    /// The servers that the file names by itself.
    pub fn servers(&self) -> &[Server] {
        match self {
            Source::Static(servers) => servers,
            Source::Watch(_) | Source::Discovery(_) => &[],
        }
    }
}

impl Plan {
    /// The class of a request: that of its route, or the one for its method. The last class stands for all methods
    /// that no class names.
    pub fn class_of(&self, route: Option<usize>, method: &Method) -> usize {
        let by_method = || self.classes.iter().position(|c| c.methods.contains(method));
        route.or_else(by_method).unwrap_or(self.classes.len() - 1)
    }

    /// Why a request goes where it goes, in lines for the operator.
    pub fn explain(&self, target: &RequestHead<'_>) -> Vec<String> {
        let mut lines = Vec::new();
        if let Some(listener) = self.listeners.get(target.listener) {
            lines.push(format!("listener  {} at {}", listener.name, listener.address));
        }
        lines.push(format!("host      {}", if target.host.is_empty() { "(none)" } else { target.host }));
        lines.push(format!("path      {}", target.path));
        for (at, mismatch) in self.routes.mismatches(target) {
            lines.push(format!("passed    route {}: {mismatch}", self.routes.routes()[at].name));
        }
        let Some((at, route)) = self.routes.find(target) else {
            let allowed = self.routes.allowed_methods(target);
            lines.push(match allowed.is_empty() {
                true => "answer    404: no route takes it".to_owned(),
                false => {
                    let names: Vec<_> = allowed.iter().map(Method::as_str).collect();
                    format!("answer    405: only with {}", names.join(", "))
                }
            });
            return lines;
        };
        lines.push(format!("route     {} (number {} of {})", route.name, at + 1, self.routes.routes().len()));
        self.explain_action(target, route, &mut lines);
        lines
    }

    fn explain_action(
        &self,
        target: &RequestHead<'_>,
        route: &crate::routes::Route,
        lines: &mut Vec<String>,
    ) {
        use crate::routes::RouteAction;
        match &route.action {
            RouteAction::Answer { status, .. } => {
                lines.push(format!("answer    {status}, fixed by the route"))
            }
            RouteAction::Redirect(redirect) => {
                let location = redirect.location("http", target.host, target.path, target.query);
                let location = location.as_ref().and_then(|l| l.to_str().ok()).unwrap_or("(no location)");
                lines.push(format!("redirect  {} to {location}", redirect.status));
            }
            RouteAction::Forward { pool, rewrite } => {
                let class = &self.classes[self.class_of(route.class, target.method)];
                let why = if route.class.is_some() { "named by the route" } else { "by the method" };
                let effect = format!("{:?}", class.class.effect).to_lowercase();
                lines.push(format!(
                    "class     {} ({why}): {effect}, wanted within {} ms, given up after {} ms",
                    class.name,
                    class.class.aim / 1_000_000,
                    class.class.give_up / 1_000_000,
                ));
                let pool = &self.pools[*pool];
                let servers = match &pool.source {
                    Source::Static(servers) => format!("{} servers", servers.len()),
                    Source::Watch(path) => format!("servers by {}", path.display()),
                    Source::Discovery(from) => format!("servers by discovery at {}", from.address),
                };
                lines.push(format!(
                    "pool      {}: {servers}, at most {} attempts",
                    pool.name, pool.settings.max_attempts
                ));
                lines.push(match rewrite.target(target.path, target.query) {
                    Ok(sent) => format!("sent as   {} {sent}", target.method),
                    Err(e) => format!("answer    500: {e}"),
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connections_read_what_the_memory_allows() {
        let limits = |memory_bytes, descriptors, header_bytes| Limits {
            memory_bytes,
            descriptors,
            header_bytes,
            replay_buffer_bytes: 0,
            header_timeout: 0,
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
