//! What the operator's file may hold: the one description that the checker, its messages and the operators' guide
//! are made from.

use super::values;

/// A kind of value.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A text of some form.
    Text(&'static TextFormat),
    /// `true` or `false`.
    Boolean,
    /// A whole number within bounds.
    Integer(i64, i64),
    /// A number within bounds.
    Number(f64, f64),
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// One of these whole numbers.
    OneOfIntegers(&'static [i64]),
    /// A list of values.
    Array(&'static Kind),
    /// A table.
    Table(&'static Table),
    /// A list of tables.
    ArrayOfTables(&'static Table),
    /// A table of texts under names of the operator's choosing: the form of the names, that of the values.
    Map(&'static TextFormat, &'static TextFormat),
}

/// A form of text.
#[derive(Debug)]
pub struct TextFormat {
    /// What is allowed, in words.
    pub allowed: &'static str,
    /// Says what is wrong with a text.
    pub check: fn(&str) -> Result<(), String>,
}

/// What holds where a key is absent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyDefault {
    /// It must be there.
    Required,
    /// This value, as it would stand in the file.
    Value(&'static str),
    /// In words.
    Described(&'static str),
}

/// One key.
#[derive(Debug)]
pub struct Key {
    /// Its name.
    pub name: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// What holds where it is absent.
    pub default: KeyDefault,
    /// What it is for.
    pub doc: &'static str,
}

/// A table and its keys.
#[derive(Debug)]
pub struct Table {
    /// What it is for.
    pub doc: &'static str,
    /// Its keys, in the order in which they are explained.
    pub keys: &'static [Key],
}

impl Kind {
    /// What is allowed, in words.
    pub fn allowed(&self) -> String {
        let listed = |texts: Vec<String>| texts.join(", ");
        match self {
            Kind::Text(form) => form.allowed.to_owned(),
            Kind::Boolean => "true or false".to_owned(),
            Kind::Integer(least, most) => format!("a whole number from {least} to {most}"),
            Kind::Number(least, most) => format!("a number from {least} to {most}"),
            Kind::OneOf(texts) => listed(texts.iter().map(|t| format!("{t:?}")).collect()),
            Kind::OneOfIntegers(all) => listed(all.iter().map(i64::to_string).collect()),
            Kind::Array(of) => format!("a list, each item {}", of.allowed()),
            Kind::Table(_) => "a table".to_owned(),
            Kind::ArrayOfTables(_) => "a list of tables".to_owned(),
            Kind::Map(keys, values) => {
                format!("a table, each key {}, each value {}", keys.allowed, values.allowed)
            }
        }
    }
}

macro_rules! forms {
    ($($name:ident: $allowed:expr, $check:path;)*) => {
        $(static $name: TextFormat = TextFormat { allowed: $allowed, check: $check };)*
    };
}

forms! {
    ANY: "a text", values::any;
    NAME: "a name of letters, digits, `-`, `_` and `.`, at most 64", values::name;
    DURATION: "a duration such as \"250ms\", \"2s\" or \"5m\"", values::duration;
    SIZE: "a size such as \"64KiB\" or \"192MB\"", values::size;
    ADDRESS: "an IP address with a port, such as \"127.0.0.1:8080\" or \"[::1]:8080\"", values::address;
    HOST: "a host name without port, or `*.` and a host name", values::host;
    PATH: "a path that begins with `/`", values::path;
    REGEX: "a regular expression in the syntax of Rust's regex crate", values::regex;
    METHOD: "a method in capitals, such as \"GET\"", values::method;
    HEADER: "a header's name", values::header_name;
    HEADER_VALUE: "a header's value: visible ASCII, blanks and tabs", values::header_value;
    TEMPLATE: "a location; {scheme}, {host}, {path} and {query} stand for the request's", values::template;
}

macro_rules! table {
    ($name:ident, $doc:expr, $($field:ident: $kind:expr, $default:expr, $what:expr;)*) => {
        static $name: Table = Table {
            doc: $doc,
            keys: &[$(Key { name: stringify!($field), kind: $kind, default: $default, doc: $what }),*],
        };
    };
}

use KeyDefault::{Described, Required, Value};
use Kind::{Array, ArrayOfTables, Boolean, Integer, Map, Number, OneOf, OneOfIntegers, Text};

table! { NODE, "The program as a whole.",
    zone: Text(&NAME), Described("no zone"),
        "The zone it stands in; servers of other zones are second choice.";
    zones: Array(&Text(&NAME)), Value("[]"),
        "Further zones. Servers in this file bring theirs by themselves; those of watched files and of discovery need \
         them named here.";
    drain_timeout: Text(&DURATION), Value("\"30s\""),
        "How long SIGTERM waits for what is under way.";
}

table! { OPERATOR, "The operator's address.",
    listen: Text(&ADDRESS), Described("no calls"),
        "Where operators ask for readiness and figures, drain and resume. Needs a restart to change.";
}

table! { FLEET, "The fleet that the node is a member of: nodes that keep a view of each other by datagrams (UDP), so that what is \
    meant for all of them together is divided by those that are there. Without this table nothing is opened.",
    name: Text(&NAME), Required, "The fleet's name, the same at all of its nodes. Needs a restart to change.";
    node: Text(&NAME), Required,
        "The node's own name, unique in the fleet, at most 32 characters. Needs a restart to change.";
    listen: Text(&ADDRESS), Required,
        "Where datagrams come in; port 0 takes a free one. Needs a restart to change.";
    advertise: Text(&ADDRESS), Described("`listen`"),
        "Where other nodes reach it. Needs a restart to change.";
    seeds: Array(&Text(&ADDRESS)), Value("[]"),
        "Where some members are reached, its own address may be among them. Without any it waits for others to come.";
    key_file: Text(&ANY), Described("no key"),
        "A file of 64 hex digits, relative to this file, the same at all nodes: datagrams carry a keyed hash, and others are \
         turned down. Without it whoever reaches the port may say what he likes.";
    probe_every: Text(&DURATION), Value("\"500ms\""),
        "How often it probes one of the others, 50ms to 1m.";
    probe_timeout: Text(&DURATION), Value("\"200ms\""),
        "A probe that is not answered after this goes by others too; shorter than `probe_every`.";
    suspect_for: Text(&DURATION), Value("\"2500ms\""),
        "How long a suspect has to object where several accuse it; twice as long where one does. At least twice \
         `probe_every`: a node that stands still for less is not given up.";
    datagram_bytes: Integer(256, 1400), Value("1200"), "The largest datagram that it sends.";
}

table! { LIMITS, "What the program may hold in all.",
    descriptors: Integer(48, 1_000_000), Value("1024"),
        "File descriptors, for clients and servers together.";
    memory: Text(&SIZE), Value("\"192MB\""),
        "Memory, 16MB or more. About a third of it may be bodies under way.";
    replay_buffer: Text(&SIZE), Value("\"64KiB\""),
        "A request's body up to this size is kept until the request is answered, so that it can be sent again. A \
         longer one is sent once.";
    header_bytes: Text(&SIZE), Value("\"16KiB\""),
        "The longest head of a request or an answer, 8KiB to 1MiB.";
    header_timeout: Text(&DURATION), Value("\"10s\""),
        "How long a client may take over a request's head.";
    idle_timeout: Text(&DURATION), Value("\"90s\""),
        "How long a client's connection may stand idle.";
    stall_timeout: Text(&DURATION), Value("\"20s\""),
        "How long a body may stand still, on either side.";
}

table! { LISTENER, "Where clients connect.",
    name: Text(&NAME), Required, "Its name, for routes.";
    address: Text(&ADDRESS), Required, "Where it listens; port 0 takes a free one.";
    via: Text(&NAME), Described("no `Via`"), "The name that it puts into `Via`, in requests and answers.";
    forwarded: OneOf(&["none", "x-forwarded", "forwarded", "both"]), Value("\"none\""),
        "Which headers tell servers of the client: `X-Forwarded-For`, `-Host` and `-Proto`, or `Forwarded` \
         (RFC 7239).";
    trust_forwarded: Boolean, Value("false"),
        "Adds to what the client's own such headers say, instead of replacing them.";
    request_id: Text(&HEADER), Value("\"x-request-id\""),
        "The header that names a request; an id is made where none came.";
    merge_slashes: Boolean, Value("true"), "Makes runs of slashes in paths one.";
    keep_escaped_slashes: Boolean, Value("false"),
        "Lets `%2F`, `%5C` and a backslash in paths pass, instead of answering 400.";
}

table! { CLASS, "A class of requests: how far they may be repeated, and how long they may take. Where the file has \
    none for a method, `read` (GET, HEAD, OPTIONS, TRACE: safe) or `write` (all others: unsafe) takes its place.",
    name: Text(&NAME), Required, "Its name, for routes.";
    effect: OneOf(&["safe", "keyed", "unsafe"]), Required,
        "`safe`: repeats do no harm. `keyed`: the servers of one group drop repeats within a window. `unsafe`: must \
         not run twice.";
    methods: Array(&Text(&METHOD)), Value("[]"),
        "Methods whose requests are of this class where their route names none.";
    aim: Text(&DURATION), Value("\"1s\""), "The time within which an answer is wanted.";
    deadline: Text(&DURATION), Value("\"30s\""), "The time within which an answer must have begun.";
    worth: Number(0.0, 1e9), Value("1.0"),
        "What one answer is worth beside those of other classes: under overload the least worth goes first.";
    late_worth: Number(0.0, 1.0), Value("0.5"), "The part of the worth that is left after the aim.";
    group: OneOf(&["all", "zone"]), Value("\"all\""), "Keyed only: the servers that drop each other's repeats.";
    window: Text(&DURATION), Value("\"10s\""), "Keyed only: for how long they do.";
}

table! { TENANTS, "Who requests are made for.",
    header: Text(&HEADER), Value("\"x-tenant-id\""), "The header that names the tenant.";
    over_share_worth: Number(0.0, 1.0), Value("0.05"),
        "The part of its worth that a request over its tenant's share keeps.";
    tenant: ArrayOfTables(&TENANT), Value("[]"), "The tenants.";
}

table! { TENANT, "One tenant.",
    name: Text(&NAME), Required, "As the header names it.";
    rate: Number(0.0, 1e9), Required, "Its share, in requests a second over all nodes.";
}

table! { POOL, "Servers that do the same work. Exactly one of `servers`, `watch` and `discovery` says which.",
    name: Text(&NAME), Required, "Its name, for routes.";
    servers: ArrayOfTables(&SERVER), Described("see `watch` and `discovery`"), "The servers.";
    watch: Text(&ANY), Described("see `servers` and `discovery`"),
        "A TOML file of `[[servers]]`, relative to this file. It is read again when it changes; a bad one leaves \
         the old list in force.";
    discovery: Text(&ADDRESS), Described("see `servers` and `watch`"), "Where the platform's discovery answers.";
    max_attempts: Integer(1, 16), Value("3"), "Most attempts for one request.";
    second_copies: Boolean, Value("false"), "Lets a safe request that is slow go to a second server too.";
    concurrency: Integer(1, 100_000), Value("64"),
        "Requests that a server of weight 1 works on at once. Beyond it they wait there, and a request whose turn \
         would come too late for its aim is refused instead.";
    connect_timeout: Text(&DURATION), Value("\"500ms\""), "A connection that is not up after this has failed.";
    idle_timeout: Text(&DURATION), Value("\"10s\""),
        "Servers may close connections that have stood idle for this long; the program closes them before.";
    max_connections: Integer(1, 1_000_000), Described("what `limits.descriptors` leaves"),
        "Most connections to its servers in all.";
    max_waiting: Integer(0, 1_000_000), Value("256"),
        "Most requests that wait for a connection; more are refused at once.";
    cold_from: Number(0.001, 1.0), Value("0.3"),
        "With `cold_ramp`: the share of its capacity that a server has when it starts.";
    cold_ramp: Text(&DURATION), Described("servers are warm from the start"),
        "A server that comes into the list, or back from failed checks, is warm after this. Until then it gets its \
         share of what a like warm one gets, and the rest is refused where no other server can take it.";
    check: Kind::Table(&CHECK), Described("no checks"), "Active checks of its servers.";
}

table! { SERVER, "One server.",
    address: Text(&ADDRESS), Required, "Where it listens.";
    name: Text(&NAME), Described("its address"), "Its identity in the pool.";
    weight: Number(0.001, 1e6), Value("1.0"), "Its size beside the others'.";
    zone: Text(&NAME), Described("the program's own"), "The zone it stands in.";
    kind: Text(&NAME), Described("none"), "Its kind of machine.";
    drain: Boolean, Value("false"), "Finishes what it has and takes nothing new.";
    backup: Boolean, Value("false"), "Takes requests only while no other server of the pool can.";
}

table! { CHECK, "An active check: `GET` of a path. A server that fails takes nothing new until it passes again.",
    path: Text(&PATH), Required, "What is asked for.";
    every: Text(&DURATION), Value("\"2s\""), "How often, spread by chance.";
    timeout: Text(&DURATION), Value("\"1s\""), "An answer that takes longer is a failure.";
    rise: Integer(1, 100), Value("2"), "Passes in a row that bring a server back.";
    fall: Integer(1, 100), Value("3"), "Failures in a row that take it out.";
    status: Array(&Integer(100, 599)), Value("[200]"), "Statuses that pass.";
}

table! { FIELD, "A condition on a header or a query parameter: exactly one of `is`, `begins`, `matches`, `present`.",
    name: Text(&ANY), Required, "The header's or the parameter's name.";
    is: Text(&ANY), Described("no condition"), "One of its values is this.";
    begins: Text(&ANY), Described("no condition"), "One of its values begins with this.";
    matches: Text(&REGEX), Described("no condition"), "The whole of one of its values matches.";
    present: Boolean, Described("no condition"), "It is there, or it is not.";
}

table! { EDITS, "Changes to headers, made in this order.",
    remove: Array(&Text(&HEADER)), Value("[]"), "Headers taken out.";
    set: Map(&HEADER, &HEADER_VALUE), Value("{}"), "Headers put in place of what there is.";
    add: Map(&HEADER, &HEADER_VALUE), Value("{}"), "Headers put beside what there is.";
}

table! { REWRITE, "What changes on the way to a server and back. At most one of `path`, `prefix` and `regex`.",
    path: Text(&PATH), Described("unchanged"), "The path, whatever it was.";
    prefix: Text(&PATH), Described("unchanged"), "Stands in place of the route's `path_prefix`.";
    regex: Text(&REGEX), Described("unchanged"), "What is looked for in the path; it need not be all of it.";
    with: Text(&ANY), Described("needed with `regex`"),
        "Stands in place of the first match; `$1` or `${name}` is a group.";
    host: Text(&HEADER_VALUE), Described("the client's"), "`Host` for the server.";
    request: Kind::Table(&EDITS), Described("unchanged"), "The request's headers.";
    response: Kind::Table(&EDITS), Described("unchanged"), "The answer's headers.";
}

table! { REDIRECT, "Sends the client elsewhere.",
    to: Text(&TEMPLATE), Required, "Where to.";
    status: OneOfIntegers(&[301, 302, 303, 307, 308]), Value("302"), "The status.";
}

table! { ANSWER, "A fixed answer.",
    status: Integer(200, 599), Required, "The status.";
    body: Text(&ANY), Value("\"\""), "The body.";
    content_type: Text(&HEADER_VALUE), Value("\"text/plain; charset=utf-8\""), "Its type.";
}

table! { ROUTE, "Conditions, of which all have to hold, and exactly one of `pool`, `redirect` and `answer`. Routes are \
    tried in the order of the file; the first that fits is taken.",
    name: Text(&NAME), Required, "Its name, for logs and `explain`.";
    listeners: Array(&Text(&NAME)), Value("[]"), "The listeners it is for; none means all.";
    hosts: Array(&Text(&HOST)), Value("[]"),
        "The hosts it is for; none means all. `*.a.org` stands for all below a.org, at any depth.";
    path: Text(&PATH), Described("any path"), "This path only.";
    path_prefix: Text(&PATH), Described("any path"), "This path and all below it, by whole segments.";
    path_regex: Text(&REGEX), Described("any path"), "Paths that match as a whole.";
    methods: Array(&Text(&METHOD)), Value("[]"), "The methods it is for; none means all.";
    headers: ArrayOfTables(&FIELD), Value("[]"), "Conditions on headers.";
    query: ArrayOfTables(&FIELD), Value("[]"), "Conditions on query parameters.";
    class: Text(&NAME), Described("by the method"), "The class of its requests.";
    pool: Text(&NAME), Described("see `redirect` and `answer`"), "The pool that serves it.";
    rewrite: Kind::Table(&REWRITE), Described("nothing changes"), "With `pool`: what changes on the way.";
    redirect: Kind::Table(&REDIRECT), Described("see `pool` and `answer`"), "Sends the client elsewhere.";
    answer: Kind::Table(&ANSWER), Described("see `pool` and `redirect`"), "A fixed answer.";
}

/// The whole file.
pub static CONFIG: Table = Table {
    doc: "The operator's file.",
    keys: &[
        Key {
            name: "node",
            kind: Kind::Table(&NODE),
            default: Described("all defaults"),
            doc: "The program as a whole.",
        },
        Key {
            name: "operator",
            kind: Kind::Table(&OPERATOR),
            default: Described("no calls"),
            doc: "The operator's address.",
        },
        Key {
            name: "fleet",
            kind: Kind::Table(&FLEET),
            default: Described("no fleet"),
            doc: "The fleet that it is a member of.",
        },
        Key {
            name: "limits",
            kind: Kind::Table(&LIMITS),
            default: Described("all defaults"),
            doc: "What the program may hold in all.",
        },
        Key {
            name: "listener",
            kind: ArrayOfTables(&LISTENER),
            default: Required,
            doc: "Where clients connect; at least one.",
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
            doc: "Who requests are made for.",
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

/// A file that a pool watches.
pub static SERVER_LIST: Table = Table {
    doc: "The servers of one pool.",
    keys: &[Key { name: "servers", kind: ArrayOfTables(&SERVER), default: Required, doc: "The servers." }],
};
