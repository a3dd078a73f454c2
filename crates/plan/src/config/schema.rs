//! The schema of the configuration file, from which its validation, the messages and the reference of all keys
//! are derived.

use super::values;

/// The type and the allowed range of a value.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A string in a given format.
    Text(&'static TextFormat),
    /// `true` or `false`.
    Boolean,
    /// An integer from the first bound to the second, inclusive.
    Integer(i64, i64),
    /// An integer or a float from the first bound to the second, inclusive.
    Number(f64, f64),
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// One of these integers.
    OneOfIntegers(&'static [i64]),
    /// An array of values of one kind.
    Array(&'static Kind),
    /// A table.
    Table(&'static Table),
    /// An array of tables.
    ArrayOfTables(&'static Table),
    /// A table of strings with arbitrary keys: the format of the keys and that of the values.
    Map(&'static TextFormat, &'static TextFormat),
}

/// A format of strings.
#[derive(Debug)]
pub struct TextFormat {
    /// What is allowed, for messages and the reference.
    pub allowed: &'static str,
    /// Checks a string; the error says what is wrong with it.
    pub check: fn(&str) -> Result<(), String>,
}

/// What applies if a key is absent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyDefault {
    /// The key is required.
    Required,
    /// This value, in TOML syntax.
    Value(&'static str),
    /// A default that is not a single value, described in a few words.
    Described(&'static str),
}

/// One key of a table.
#[derive(Debug)]
pub struct Key {
    /// The name in the file.
    pub name: &'static str,
    /// The values that it accepts.
    pub kind: Kind,
    /// What applies if it is absent.
    pub default: KeyDefault,
    /// The description for the reference.
    pub doc: &'static str,
}

/// A table and its keys.
#[derive(Debug)]
pub struct Table {
    /// The description for the reference.
    pub doc: &'static str,
    /// The keys, in the order of the reference.
    pub keys: &'static [Key],
}

impl Kind {
    /// Describes the allowed values, for messages and the reference.
    pub fn allowed(&self) -> String {
        let join = |items: Vec<String>| items.join(", ");
        match self {
            Kind::Text(format) => format.allowed.to_owned(),
            Kind::Boolean => "true or false".to_owned(),
            Kind::Integer(min, max) => format!("an integer from {min} to {max}"),
            Kind::Number(min, max) => format!("a number from {min} to {max}"),
            Kind::OneOf(allowed) => join(allowed.iter().map(|t| format!("{t:?}")).collect()),
            Kind::OneOfIntegers(allowed) => join(allowed.iter().map(i64::to_string).collect()),
            Kind::Array(item_kind) => format!("an array, each item {}", item_kind.allowed()),
            Kind::Table(_) => "a table".to_owned(),
            Kind::ArrayOfTables(_) => "an array of tables".to_owned(),
            Kind::Map(key_format, value_format) => {
                format!("a table, each key {}, each value {}", key_format.allowed, value_format.allowed)
            }
        }
    }
}

macro_rules! text_formats {
    ($($name:ident: $allowed:expr, $check:path;)*) => {
        $(static $name: TextFormat = TextFormat { allowed: $allowed, check: $check };)*
    };
}

text_formats! {
    ANY_STRING: "a string", values::check_any;
    NAME: "a name of 1 to 64 letters, digits, `-`, `_` and `.`", values::check_name;
    DURATION: "a duration such as \"250ms\", \"2s\" or \"5m\"", values::check_duration;
    SIZE: "a size such as \"64KiB\" or \"192MB\"", values::check_size;
    ADDRESS: "an IP address with a port, such as \"127.0.0.1:8080\" or \"[::1]:8080\"", values::check_address;
    HOST: "a host name without a port, or `*.` followed by a host name", values::check_host;
    PATH: "a path that begins with `/`", values::check_path;
    REGEX: "a regular expression in the syntax of Rust's regex crate", values::check_regex;
    METHOD: "a method in upper case, such as \"GET\"", values::check_method;
    HEADER_NAME: "a header name", values::check_header_name;
    HEADER_VALUE: "a header value: visible ASCII characters, spaces and tabs", values::check_header_value;
    LOCATION: "a location; {scheme}, {host}, {path} and {query} are replaced with those of the request",
        values::check_location_template;
}

macro_rules! table {
    ($name:ident, $doc:expr, $($key:ident: $kind:expr, $default:expr, $key_doc:expr;)*) => {
        static $name: Table = Table {
            doc: $doc,
            keys: &[$(Key { name: stringify!($key), kind: $kind, default: $default, doc: $key_doc }),*],
        };
    };
}

use KeyDefault::{Described, Required, Value};
use Kind::{Array, ArrayOfTables, Boolean, Integer, Map, Number, OneOf, OneOfIntegers, Text};

table! { NODE, "This gateway process.",
    zone: Text(&NAME), Described("no zone"),
        "The zone that the node runs in. Servers of this zone are preferred.";
    zones: Array(&Text(&NAME)), Value("[]"),
        "Further zones. Zones of servers listed in this file are known without it; those of watched files \
         and of discovery must be listed here.";
    drain_timeout: Text(&DURATION), Value("\"30s\""),
        "How long the process waits after SIGTERM for requests in progress.";
}

table! { OPERATOR, "The operator endpoint.",
    listen: Text(&ADDRESS), Described("no endpoint"),
        "The address of the endpoint for readiness, metrics, drain and resume. Changing it requires a \
         restart.";
}

table! { FLEET, "The fleet that the node is a member of. Its nodes track each other by UDP datagrams, so \
    that what is meant for the fleet as a whole is divided among the nodes that are alive. Without this \
    table no UDP socket is opened.",
    name: Text(&NAME), Required,
        "The name of the fleet, the same on all its nodes. Changing it requires a restart.";
    node: Text(&NAME), Required,
        "The name of this node, unique in the fleet, at most 32 characters. Changing it requires a restart.";
    listen: Text(&ADDRESS), Required,
        "The UDP address to listen on; port 0 picks a free port. Changing it requires a restart.";
    advertise: Text(&ADDRESS), Described("`listen`"),
        "The address at which other nodes reach this one. Changing it requires a restart.";
    seeds: Array(&Text(&ADDRESS)), Value("[]"),
        "The addresses of some members; the node's own may be among them. Without seeds the node waits for \
         others to join.";
    key_file: Text(&ANY_STRING), Described("no key"),
        "A file of 64 hex digits, relative to this file, the same on all nodes. Datagrams then carry a keyed \
         hash, and those without a valid one are dropped. Without a key, anyone who can reach the port can \
         send datagrams to the fleet.";
    probe_every: Text(&DURATION), Value("\"500ms\""),
        "How often the node probes one of the others, from 50ms to 1m.";
    probe_timeout: Text(&DURATION), Value("\"200ms\""),
        "If a probe is not answered within this time, other nodes are asked to probe too; shorter than \
         `probe_every`.";
    suspect_for: Text(&DURATION), Value("\"2500ms\""),
        "How long a suspected node has to refute the suspicion of several nodes; twice as long if only one \
         suspects it. At least twice `probe_every`: a node that is paused for less is not declared dead.";
    datagram_bytes: Integer(256, 1400), Value("1200"),
        "The maximum size of the datagrams that the node sends.";
}

table! { LIMITS, "Resource limits of the process.",
    descriptors: Integer(48, 1_000_000), Value("1024"),
        "The maximum number of file descriptors, for clients and servers together.";
    memory: Text(&SIZE), Value("\"192MB\""),
        "Memory, 16MB or more. Client connections may use about a third of it, bodies in transit about another.";
    replay_buffer: Text(&SIZE), Value("\"64KiB\""),
        "A request body up to this size is kept until the request is answered, so that the request can be \
         retried. A request with a longer body is sent only once.";
    header_bytes: Text(&SIZE), Value("\"16KiB\""),
        "The maximum size of the head of a request or response, from 8KiB to 1MiB.";
    header_timeout: Text(&DURATION), Value("\"10s\""),
        "How long a client may take to send the head of a request.";
    idle_timeout: Text(&DURATION), Value("\"90s\""),
        "How long a client connection may be idle.";
    stall_timeout: Text(&DURATION), Value("\"20s\""),
        "How long the transfer of a body may make no progress, to or from clients and servers. Up to twice \
         as long to a peer that may still be reading what it was sent.";
}

table! { LISTENER, "An address on which clients connect.",
    name: Text(&NAME), Required, "The name that routes refer to.";
    address: Text(&ADDRESS), Required, "The address to listen on; port 0 picks a free port.";
    via: Text(&NAME), Described("no `Via`"), "The name that is added to `Via` in requests and responses.";
    forwarded: OneOf(&["none", "x-forwarded", "forwarded", "both"]), Value("\"none\""),
        "The headers that tell servers about the client: `X-Forwarded-For`, `-Host` and `-Proto`, or \
         `Forwarded` (RFC 7239).";
    trust_forwarded: Boolean, Value("false"),
        "Whether to append to these headers as received from the client instead of replacing them.";
    request_id: Text(&HEADER_NAME), Value("\"x-request-id\""),
        "The header that holds the request ID; an ID is generated if the client sends none.";
    merge_slashes: Boolean, Value("true"), "Whether to merge consecutive slashes in paths.";
    keep_escaped_slashes: Boolean, Value("false"),
        "Whether to accept `%2F`, `%5C` and backslashes in paths instead of answering 400.";
}

table! { CLASS, "A class of requests: whether they may be repeated, and how long they may take. Methods for \
    which the file defines no class belong to `read` (GET, HEAD, OPTIONS, TRACE: safe) or `write` (all \
    others: unsafe).",
    name: Text(&NAME), Required, "The name that routes refer to.";
    effect: OneOf(&["safe", "keyed", "unsafe"]), Required,
        "`safe`: repeats do no harm. `keyed`: the servers of a group discard repeats within a window. \
         `unsafe`: must not be executed twice.";
    methods: Array(&Text(&METHOD)), Value("[]"),
        "The methods whose requests belong to this class if their route sets no class.";
    aim: Text(&DURATION), Value("\"1s\""), "The desired time to an answer.";
    deadline: Text(&DURATION), Value("\"30s\""), "The time within which the response must begin.";
    worth: Number(0.0, 1e9), Value("1.0"),
        "The value of an answer relative to other classes: under overload, requests of the lowest worth are \
         refused first.";
    late_worth: Number(0.0, 1.0), Value("0.5"), "The fraction of the worth that an answer has after the aim.";
    group: OneOf(&["all", "zone"]), Value("\"all\""),
        "For `keyed` only: the servers that discard each other's repeats.";
    window: Text(&DURATION), Value("\"10s\""), "For `keyed` only: how long they discard repeats.";
}

table! { TENANTS, "The tenants on whose behalf requests are made.",
    header: Text(&HEADER_NAME), Value("\"x-tenant-id\""), "The header that names the tenant.";
    over_share_worth: Number(0.0, 1.0), Value("0.05"),
        "The fraction of its worth that a request keeps if its tenant exceeds its share.";
    tenant: ArrayOfTables(&TENANT), Value("[]"), "The tenants.";
}

table! { TENANT, "One tenant.",
    name: Text(&NAME), Required, "The name, as in the header.";
    rate: Number(0.0, 1e9), Required, "The tenant's share, in requests per second across all nodes.";
}

table! { POOL, "A pool of interchangeable servers. Exactly one of `servers`, `watch` and `discovery` must be \
    set.",
    name: Text(&NAME), Required, "The name that routes refer to.";
    servers: ArrayOfTables(&SERVER), Described("see `watch` and `discovery`"), "The servers.";
    watch: Text(&ANY_STRING), Described("see `servers` and `discovery`"),
        "A TOML file with `[[servers]]`, relative to this file. It is read again whenever it changes; while \
         it has errors, the last good list stays in use.";
    discovery: Text(&ADDRESS), Described("see `servers` and `watch`"),
        "The address of the platform's discovery service.";
    max_attempts: Integer(1, 16), Value("3"), "The maximum number of attempts per request.";
    second_copies: Boolean, Value("false"),
        "Whether a slow safe request may be hedged, that is, also sent to a second server.";
    concurrency: Integer(1, 100_000), Value("64"),
        "The number of requests that a server of weight 1 processes at once. Further ones queue at the \
         server; a request whose turn would come too late for its aim is refused instead.";
    connect_timeout: Text(&DURATION), Value("\"500ms\""),
        "The time within which a connection must be established.";
    idle_timeout: Text(&DURATION), Value("\"10s\""),
        "The time after which servers may close idle connections; the gateway closes them earlier.";
    max_connections: Integer(1, 1_000_000), Described("what `limits.descriptors` leaves"),
        "The maximum number of connections to all servers of the pool together.";
    max_waiting: Integer(0, 1_000_000), Value("256"),
        "The maximum number of requests that wait for a connection; further ones are refused at once.";
    cold_from: Number(0.001, 1.0), Value("0.3"),
        "With `cold_ramp`: the fraction of its capacity that a server has when it starts.";
    cold_ramp: Text(&DURATION), Described("no slow start"),
        "Slow start: how long a server takes to reach its full capacity after it joins the list or passes \
         its checks again. Until then it gets a correspondingly smaller share of the requests, and those \
         that no other server can take are refused.";
    check: Kind::Table(&CHECK), Described("no checks"), "Active health checks of the servers.";
}

table! { SERVER, "One server.",
    address: Text(&ADDRESS), Required, "The address that it listens on.";
    name: Text(&NAME), Described("the address"), "Its identity within the pool.";
    weight: Number(0.001, 1e6), Value("1.0"), "Its capacity relative to the other servers.";
    zone: Text(&NAME), Described("the node's zone"), "The zone that it runs in.";
    kind: Text(&NAME), Described("none"), "Its type of machine.";
    drain: Boolean, Value("false"), "Whether it finishes its requests and gets no new ones.";
    backup: Boolean, Value("false"),
        "Whether it gets requests only while no other server of the pool can take them.";
}

table! { CHECK, "An active health check: a `GET` of a path. A server that fails gets no new requests until \
    it passes again.",
    path: Text(&PATH), Required, "The path to request.";
    every: Text(&DURATION), Value("\"2s\""), "The interval between checks, randomised.";
    timeout: Text(&DURATION), Value("\"1s\""), "A check that is not answered within this time fails.";
    rise: Integer(1, 100), Value("2"), "The number of consecutive passes after which a server is used again.";
    fall: Integer(1, 100), Value("3"),
        "The number of consecutive failures after which a server is no longer used.";
    status: Array(&Integer(100, 599)), Value("[200]"), "The statuses that pass.";
}

table! { FIELD_CONDITION, "A condition on a header or a query parameter: exactly one of `is`, `begins`, \
    `matches`, `present`.",
    name: Text(&ANY_STRING), Required, "The name of the header or the parameter.";
    is: Text(&ANY_STRING), Described("no condition"), "One of the values equals this string.";
    begins: Text(&ANY_STRING), Described("no condition"), "One of the values begins with this string.";
    matches: Text(&REGEX), Described("no condition"), "One of the values matches this expression as a whole.";
    present: Boolean, Described("no condition"), "`true`: it must be present; `false`: it must be absent.";
}

table! { HEADER_EDITS, "Changes to headers, applied in this order.",
    remove: Array(&Text(&HEADER_NAME)), Value("[]"), "Headers to remove.";
    set: Map(&HEADER_NAME, &HEADER_VALUE), Value("{}"), "Headers to set, replacing existing values.";
    add: Map(&HEADER_NAME, &HEADER_VALUE), Value("{}"), "Headers to add to existing values.";
}

table! { REWRITE, "Changes to the request sent to the server and to its response. At most one of `path`, \
    `prefix` and `regex`.",
    path: Text(&PATH), Described("unchanged"), "Replaces the whole path.";
    prefix: Text(&PATH), Described("unchanged"), "Replaces the route's `path_prefix`.";
    regex: Text(&REGEX), Described("unchanged"),
        "An expression to search for in the path; it need not match all of it.";
    with: Text(&ANY_STRING), Described("required with `regex`"),
        "Replaces the first match; `$1` or `${name}` stands for a capture group.";
    host: Text(&HEADER_VALUE), Described("the client's"), "The `Host` header sent to the server.";
    request: Kind::Table(&HEADER_EDITS), Described("unchanged"), "Changes to the request's headers.";
    response: Kind::Table(&HEADER_EDITS), Described("unchanged"), "Changes to the response's headers.";
}

table! { REDIRECT, "A redirect.",
    to: Text(&LOCATION), Required, "The target location.";
    status: OneOfIntegers(&[301, 302, 303, 307, 308]), Value("302"), "The status.";
}

table! { ANSWER, "A fixed response.",
    status: Integer(200, 599), Required, "The status.";
    body: Text(&ANY_STRING), Value("\"\""), "The body.";
    content_type: Text(&HEADER_VALUE), Value("\"text/plain; charset=utf-8\""), "The content type.";
}

table! { ROUTE, "Conditions, all of which must hold, and exactly one of `pool`, `redirect` and `answer`. \
    Routes are tried in the order of the file, and the first match is taken.",
    name: Text(&NAME), Required, "The name, for logs and `explain`.";
    listeners: Array(&Text(&NAME)), Value("[]"), "The listeners that the route applies to; empty for all.";
    hosts: Array(&Text(&HOST)), Value("[]"),
        "The hosts that the route applies to; empty for all. `*.a.org` matches all subdomains of a.org, at \
         any depth.";
    path: Text(&PATH), Described("any path"), "Matches this path only.";
    path_prefix: Text(&PATH), Described("any path"), "Matches this path and all below it, by whole segments.";
    path_regex: Text(&REGEX), Described("any path"), "Matches paths that match this expression as a whole.";
    methods: Array(&Text(&METHOD)), Value("[]"), "The methods that the route applies to; empty for all.";
    headers: ArrayOfTables(&FIELD_CONDITION), Value("[]"), "Conditions on headers.";
    query: ArrayOfTables(&FIELD_CONDITION), Value("[]"), "Conditions on query parameters.";
    class: Text(&NAME), Described("by the method"), "The class of the requests.";
    pool: Text(&NAME), Described("see `redirect` and `answer`"), "The pool that requests are forwarded to.";
    rewrite: Kind::Table(&REWRITE), Described("unchanged"),
        "With `pool`: changes to the request and the response.";
    redirect: Kind::Table(&REDIRECT), Described("see `pool` and `answer`"), "A redirect.";
    answer: Kind::Table(&ANSWER), Described("see `pool` and `redirect`"), "A fixed response.";
}

/// The schema of the configuration file.
pub static CONFIG: Table = Table {
    doc: "The configuration file.",
    keys: &[
        Key {
            name: "node",
            kind: Kind::Table(&NODE),
            default: Described("all defaults"),
            doc: "This gateway process.",
        },
        Key {
            name: "operator",
            kind: Kind::Table(&OPERATOR),
            default: Described("no endpoint"),
            doc: "The operator endpoint.",
        },
        Key {
            name: "fleet",
            kind: Kind::Table(&FLEET),
            default: Described("no fleet"),
            doc: "The fleet that the node is a member of.",
        },
        Key {
            name: "limits",
            kind: Kind::Table(&LIMITS),
            default: Described("all defaults"),
            doc: "Resource limits of the process.",
        },
        Key {
            name: "listener",
            kind: ArrayOfTables(&LISTENER),
            default: Required,
            doc: "Addresses on which clients connect; at least one.",
        },
        Key {
            name: "class",
            kind: ArrayOfTables(&CLASS),
            default: Described("`read` and `write`"),
            doc: "Classes of requests.",
        },
        Key {
            name: "tenants",
            kind: Kind::Table(&TENANTS),
            default: Described("no tenants"),
            doc: "The tenants on whose behalf requests are made.",
        },
        Key { name: "pool", kind: ArrayOfTables(&POOL), default: Value("[]"), doc: "Pools of servers." },
        Key {
            name: "route",
            kind: ArrayOfTables(&ROUTE),
            default: Required,
            doc: "Routes, in the order in which they are tried; at least one.",
        },
    ],
};

/// The schema of the file named by a pool's `watch`.
pub static SERVER_LIST: Table = Table {
    doc: "The servers of one pool.",
    keys: &[Key { name: "servers", kind: ArrayOfTables(&SERVER), default: Required, doc: "The servers." }],
};
