//! The types between a proxy node and its [`Balancer`](crate::Balancer): settings, events and actions.
//!
//! All times and durations are nanoseconds. The node owns connections, clocks and timers; the balancer owns
//! nothing but its own picture of the fleet.

pub use crate::quotas::Quotas;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// The node's own number for one request; never used twice.
pub type RequestId = u32;
/// The most classes that settings may have.
pub const MAX_CLASSES: usize = 256;

/// A server's identity, the same for as long as lists name it. Nodes that share a list should agree on the order of
/// their servers' identities, for each ranks a window of that order; the value means nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct ServerId(pub u64);

impl std::fmt::Display for ServerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Where a server stands in its life, as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Finishes what it has; takes nothing new.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// The server's identity.
    pub id: ServerId,
    /// Zone it stands in, as an index into the node's zones.
    pub zone: u8,
    /// Machine kind, as an index.
    pub kind: u16,
    /// Group of servers with shared memory of keys.
    pub cell: u16,
    /// Ready, draining or gone.
    pub phase: Phase,
    /// Listed size for comparison with other servers; no unit, 0 when unknown.
    pub size: f32,
    /// When its process last started; 0 when long ago.
    pub started_at: Nanos,
}

impl Server {
    /// A ready, long-started server of size 1 in zone 0.
    pub fn warm(id: ServerId) -> Self {
        Server { id, zone: 0, kind: 0, cell: 0, phase: Phase::Ready, size: 1.0, started_at: 0 }
    }
}

/// How far a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Servers of one group drop repeats within a window.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this earns the full worth.
    pub aim: Nanos,
    /// How long a client waits over all its tries.
    pub give_up: Nanos,
    /// Worth of one request (or of a unit of its work, see [`Settings::worth_by_work`]).
    pub worth: f64,
    /// Share of the worth left for an answer after the aim, 0 to 1.
    pub late_worth: f64,
    /// How far it may be repeated.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub group: Group,
    /// For keyed classes: for how long, from the first attempt that may have run.
    pub window: Nanos,
    /// The answer is a stream.
    pub stream: bool,
}

/// The values that a load report may carry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in hand.
    pub concurrent: Option<f32>,
    /// Requests that wait.
    pub queued: Option<f32>,
    /// Share of its processor in use, 0 to 1.
    pub utilisation: Option<f32>,
    /// Recent service time without waiting, milliseconds.
    pub service_ms: Option<f32>,
    /// Requests served a second.
    pub rate: Option<f32>,
    /// Errors a second.
    pub error_rate: Option<f32>,
}

/// What a node is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes; at least one.
    pub classes: Vec<Class>,
    /// Each tenant's share in requests a second over all nodes; empty where there are none.
    pub tenant_quota: Quotas,
    /// Part of its worth that a request over its tenant's share keeps, 0 to 1.
    pub over_share_worth: f64,
    /// Requests count by their work, not each alike.
    pub worth_by_work: bool,
    /// The node's own zone.
    pub zone: u8,
    /// The node's number in its group, from 0, below `group_size`.
    pub ordinal: u32,
    /// Number of nodes in the group; at least one.
    pub group_size: u32,
    /// The list comes only to those who subscribe.
    pub must_subscribe: bool,
    /// Most attempts for one request; at least one.
    pub max_attempts: u32,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Nodes may send each other messages.
    pub peers: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such advice that a client heeds.
    pub max_retry_after: Nanos,
    /// A server starts at this share of its capacity or more; above 0, at most 1.
    pub cold_from: f64,
    /// A started server is warm after this.
    pub ramp: Nanos,
    /// More than this multiple of its present capacity, for `overload_window`, pushes a cold server over.
    pub tip_multiple: f64,
    /// See `tip_multiple`.
    pub overload_window: Nanos,
    /// Listed sizes can be compared between servers.
    pub sizes_known: bool,
    /// Servers that met a key lately do less work for it.
    pub warm_keys: bool,
    /// Points lost for each request that crosses zones, as a share of 1.
    pub cross_price: f64,
    /// Requests that a server of size 1 works on at once; what it has beyond them waits there. At least 1.
    pub slots: f64,
    /// Servers of zones from this one on are backups: they are chosen only while no other can be.
    pub backup_zone: u8,
}

impl Settings {
    /// Settings for one safe class on a plain site, to start from.
    pub fn single_class(aim: Nanos, give_up: Nanos) -> Self {
        let class = Class {
            aim,
            give_up,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            group: Group::All,
            window: 0,
            stream: false,
        };
        Settings {
            classes: vec![class],
            tenant_quota: Quotas::default(),
            over_share_worth: 1.0,
            worth_by_work: false,
            zone: 0,
            ordinal: 0,
            group_size: 1,
            must_subscribe: false,
            max_attempts: 3,
            second_copies: false,
            cancel: true,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after: give_up,
            cold_from: 0.3,
            ramp: 10 * give_up,
            tip_multiple: 3.0,
            overload_window: give_up,
            sizes_known: true,
            warm_keys: false,
            cross_price: 0.0,
            slots: 1.0,
            backup_zone: u8::MAX,
        }
    }

    /// Refuses settings that no node could act on, naming the one at fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Empty("classes"));
        }
        if self.classes.len() > MAX_CLASSES {
            return Err(SettingsError::OutOfRange("classes"));
        }
        for class in &self.classes {
            for (name, value) in [("aim", class.aim), ("give_up", class.give_up)] {
                if value == 0 {
                    return Err(SettingsError::Zero(name));
                }
            }
            share("late_worth", class.late_worth)?;
            if !(class.worth.is_finite() && class.worth >= 0.0) {
                return Err(SettingsError::OutOfRange("worth"));
            }
        }
        for (name, value) in [
            ("group_size", u64::from(self.group_size)),
            ("max_attempts", u64::from(self.max_attempts)),
            ("ramp", self.ramp),
            ("fall", self.overload_window),
        ] {
            if value == 0 {
                return Err(SettingsError::Zero(name));
            }
        }
        if self.ordinal >= self.group_size {
            return Err(SettingsError::OutOfRange("ordinal"));
        }
        share("over_share_worth", self.over_share_worth)?;
        share("cold_from", self.cold_from)?;
        share("cross_price", self.cross_price)?;
        if self.cold_from == 0.0 {
            return Err(SettingsError::Zero("cold_from"));
        }
        if !(self.tip_multiple.is_finite() && self.tip_multiple > 0.0) {
            return Err(SettingsError::OutOfRange("tip_multiple"));
        }
        if !(self.slots.is_finite() && self.slots >= 1.0) {
            return Err(SettingsError::OutOfRange("slots"));
        }
        validate_quotas(&self.tenant_quota)
    }
}

pub(crate) fn validate_quotas(quotas: &Quotas) -> Result<(), SettingsError> {
    match quotas.are_valid() {
        true => Ok(()),
        false => Err(SettingsError::OutOfRange("tenant_quota")),
    }
}

fn share(name: &'static str, value: f64) -> Result<(), SettingsError> {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::NotAShare(name))
    }
}

/// Why settings were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A list has no items.
    #[error("setting `{0}` must not be empty")]
    Empty(&'static str),
    /// A value must be above zero.
    #[error("setting `{0}` must be above zero")]
    Zero(&'static str),
    /// A value must lie between 0 and 1.
    #[error("setting `{0}` must lie between 0 and 1")]
    NotAShare(&'static str),
    /// A value makes no sense.
    #[error("setting `{0}` is out of range")]
    OutOfRange(&'static str),
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The node's number for it.
    pub id: RequestId,
    /// Its class: its index in [`Settings::classes`], or its place as [`update_settings`](crate::Balancer::update_settings) told it.
    pub class: u16,
    /// Its tenant, by its number in [`Settings::tenant_quota`]; any other number is nobody's.
    pub tenant: u32,
    /// Routing key, 0 for none.
    pub key: u64,
    /// When the client abandons this try.
    pub give_up_at: Nanos,
    /// Rough work, as time on a standard core, where known.
    pub work_hint: Option<Nanos>,
    /// The client says that it tries again.
    pub is_retry: bool,
    /// It writes.
    pub is_write: bool,
    /// Its body is still coming and goes on as it comes: [`Event::BodyWritten`] tells when a server has all of it.
    pub has_streaming_body: bool,
}

impl Request {
    /// A first try of class 0 without tenant or key.
    pub fn new(id: RequestId, give_up_at: Nanos) -> Self {
        Request {
            id,
            class: 0,
            tenant: 0,
            key: 0,
            give_up_at,
            work_hint: None,
            is_retry: false,
            is_write: false,
            has_streaming_body: false,
        }
    }
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All servers; whoever is absent is gone.
    Full,
    /// All servers as last seen by this node's earlier life, possibly out of date.
    Cached,
    /// A call to the list service failed or the subscription broke; the old list stands.
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// The server will not have the request as it is (4xx). Others would say the same, and it is the client's
    /// doing before it is the server's; it may have run.
    Rejected,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection came about; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off by the node; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Ending {
    /// True where the attempt is proved never to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// What a node tells its balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list service spoke.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        servers: Vec<Server>,
    },
    /// A client's request came in; it is owed exactly one final answer.
    Request(Request),
    /// An attempt ended; each send gets exactly one.
    Outcome {
        /// The request.
        request: RequestId,
        /// The server it was sent to.
        server: ServerId,
        /// Attempt number, from 0 in the order of sending.
        attempt: u8,
        /// Nothing more is owed for the request.
        finished: bool,
        /// Time since it was sent.
        took: Nanos,
        /// How it ended.
        ending: Ending,
        /// The request's body has gone with it: there is nothing to send again.
        body_consumed: bool,
        /// The server's load, where told.
        report: Option<Report>,
    },
    /// A server has the last byte of a request whose body came bit by bit.
    BodyWritten {
        /// The request.
        request: RequestId,
        /// Attempt number.
        attempt: u8,
    },
    /// The answer of a streamed request has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Attempt number.
        attempt: u8,
        /// The server it was sent to.
        server: ServerId,
        /// Time since it was sent.
        took: Nanos,
    },
    /// The client is gone; nothing more is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A probe came back.
    Probed {
        /// The server.
        server: ServerId,
        /// How it went.
        ending: Ending,
        /// How long it took.
        took: Nanos,
        /// The server's load, where told.
        report: Option<Report>,
    },
    /// Bytes from another node.
    Message {
        /// The sender's number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A timer asked for has run out.
    Timer {
        /// The token given with it.
        token: u32,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server may be sent to: none is listed and ready, or all are ejected or paced.
    NoServer,
    /// The best server's answer is expected too late.
    TooSlow,
    /// Its attempts have failed without effect, and no other one is allowed.
    AttemptsFailed,
}

impl Refusal {
    /// All there are, in the order of their numbers.
    pub const ALL: [Refusal; 3] = [Refusal::NoServer, Refusal::TooSlow, Refusal::AttemptsFailed];

    /// Its name in metrics and events.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoServer => "no-server",
            Refusal::TooSlow => "too-slow",
            Refusal::AttemptsFailed => "attempts-failed",
        }
    }
}

/// What a balancer asks its node to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the server as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// The attempt's time-out; 0 means until the client gives up.
        timeout: Nanos,
    },
    /// Final answer: turned away, a repeat is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, for whoever looks for the cause.
        reason: Refusal,
        /// Advice when to come back; 0 for none.
        retry_after: Nanos,
    },
    /// Final answer: failed, with no word on its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Call off an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Attempt number.
        attempt: u8,
    },
    /// Check a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Send bytes to another node, or to all when `to` is `None`.
    SendMessage {
        /// The peer's number.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Open a standing subscription to list changes.
    Subscribe,
    /// Ask for the whole list once.
    FetchList,
    /// Wake the balancer with this token after this time.
    StartTimer {
        /// Time from now.
        after: Nanos,
        /// Comes back with the event.
        token: u32,
    },
    /// A line for the operator's log.
    Log {
        /// The server that it is about; who reads the log knows it by its name.
        server: Option<ServerId>,
        /// The text.
        text: String,
    },
}
