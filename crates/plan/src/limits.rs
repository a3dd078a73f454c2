//! Limits on client connections, server connections and the bytes of buffered bodies.

use std::cell::{Cell, OnceCell};
use std::fmt::{self, Debug, Formatter};
use std::rc::Rc;
use std::time::Duration;

/// The longest body of a request or of an answer.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Descriptors that no client or server connection may use: 20 for standard streams, listeners, pollers, locks and
/// discovery, and 8 for operators. On a small node each further one costs a connection.
const RESERVED_DESCRIPTORS: usize = 28;
/// The fraction of the unreserved descriptors that client connections may use; server connections get the rest.
/// Clients get more, because their connections may be idle while a server connection carries a request.
const CLIENT_FRACTION: f64 = 0.55;
/// The fraction of the memory limit that bodies may use; connection buffers and heap fragmentation need the rest.
const BODY_MEMORY_FRACTION: f64 = 0.35;
/// The overhead counted for each block of a body: its entry in the list of blocks, its reference count, and the
/// allocator's headers.
const BLOCK_OVERHEAD_BYTES: usize = 128;

/// What a process takes without any connection: its program and what the runtime and the pools begin with.
const BASE_MEMORY_BYTES: usize = 8 << 20;
/// What a client connection takes beside its buffers.
const CLIENT_CONNECTION_BYTES: usize = 12 << 10;
/// How many read buffers' worth of a request a client connection holds at most: what is being read, and what waits to be
/// taken.
const BUFFERS_PER_CLIENT: usize = 2;
/// The fraction of the memory that client connections may take. On a node with little memory for each descriptor it
/// limits their number, to no less than a third of the descriptors.
const CLIENT_MEMORY_FRACTION: f64 = 0.33;
/// What a header field takes while its request is under way, beside its bytes: the field as stored, and as parsed for a
/// server.
pub const HEADER_FIELD_BYTES: usize = 320;
/// What a connection to a server takes beside its read buffer: most of it are the HTTP library's queues.
const SERVER_CONNECTION_BYTES: usize = 28 << 10;
/// How many read buffers' worth of a message is on its way between two connections at most: in the two queues between
/// them and in the write queue, which is flushed once it holds more than one.
const BUFFERS_PER_EXCHANGE: usize = 4;
/// However little memory there is, this many exchanges with servers have room.
const MIN_EXCHANGES: usize = 8;

/// The fraction of the connections to servers, and of the memory that these share with bodies, that requests may use which
/// have not arrived whole; the rest is reserved for those that have.
const INCOMPLETE_FRACTION: f64 = 0.75;
/// The fraction of the connections to servers up to which clients get the room of those that are not open.
const BORROWED_FRACTION: f64 = 0.75;
/// The fraction of the body memory that requests may use which have not arrived whole; the rest is reserved for those that
/// have.
const INCOMPLETE_BODY_MEMORY_FRACTION: f64 = 0.875;
/// The fraction of the body memory that large bodies may use; the rest is reserved for small ones.
const LARGE_BODY_FRACTION: f64 = 0.75;
/// A body whose declared length is at most this is small. With overhead it may use up to twice as much.
const MAX_SMALL_BODY_BYTES: u64 = 64 << 10;

/// A peer that reads at this rate or faster does not count as stalled.
const MIN_READ_BYTES_PER_SECOND: u64 = 64_000;

/// How long a message may make no progress once `written_bytes` of it have been written: the stall timeout, and up to
/// as much again in which the peer reads what was written. The peer's kernel makes room in steps of a sixteenth of its
/// receive buffer, which has grown to megabytes where the peer read fast before.
pub fn write_stall_timeout(stall_timeout: Duration, written_bytes: u64) -> Duration {
    let read_time = Duration::from_secs_f64(written_bytes as f64 / MIN_READ_BYTES_PER_SECOND as f64);
    stall_timeout + read_time.min(stall_timeout)
}

#[derive(Clone, Copy, Debug)]
struct BudgetLimits {
    clients: usize,
    /// How many there may be with those that have the room of connections to servers.
    max_clients_with_borrowed: usize,
    servers: usize,
    bytes: usize,
    /// What bodies and connections to servers may take together.
    shared_bytes: usize,
}

/// Counts connections, exchanges with servers and body bytes in use, and limits them. Bodies, connections to servers and
/// exchanges share the memory that the program and the client connections leave.
#[derive(Debug)]
pub struct Budget {
    memory_bytes: usize,
    /// What a client connection takes.
    client_bytes: usize,
    /// What a connection to a server takes.
    server_bytes: usize,
    /// What a message takes that is passed on between a client and a server.
    exchange_bytes: usize,
    /// The limits that the configuration allows.
    configured: BudgetLimits,
    /// The limits in force; see [`Budget::set_limit_share`].
    limits: Cell<BudgetLimits>,
    clients: Cell<usize>,
    /// How many of the clients have the descriptors and the memory of connections to servers that are not open.
    borrowed_clients: Cell<usize>,
    servers: Cell<usize>,
    exchanges: Cell<usize>,
    /// Exchanges whose requests have not arrived whole.
    uploads: Cell<usize>,
    bytes: Cell<usize>,
    reclaimer: OnceCell<Reclaimer>,
}

/// Whether all of a request has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It has.
    Whole,
    /// Its client owes bytes, and may never send them.
    Incomplete,
}

/// Closes what can be given up for others; returns whether there was something.
struct Reclaimer(Box<dyn Fn() -> bool>);

impl Debug for Reclaimer {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("Reclaimer")
    }
}

impl Budget {
    /// Divides descriptors and memory between clients, servers and bodies. `read_buffer_bytes` is the size of a
    /// connection's read buffer.
    pub fn new(descriptors: usize, memory_bytes: u64, read_buffer_bytes: usize) -> Rc<Self> {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(8);
        let client_bytes = CLIENT_CONNECTION_BYTES + BUFFERS_PER_CLIENT * read_buffer_bytes;
        let clients = (available as f64 * CLIENT_FRACTION) as usize;
        let servers = available - clients;
        let clients_in_memory = (memory_bytes as f64 * CLIENT_MEMORY_FRACTION) as usize / client_bytes;
        let clients = clients.min(clients_in_memory).max(1);
        let mut budget = Budget {
            memory_bytes: memory_bytes as usize,
            server_bytes: SERVER_CONNECTION_BYTES + read_buffer_bytes,
            exchange_bytes: BUFFERS_PER_EXCHANGE * read_buffer_bytes,
            client_bytes,
            configured: BudgetLimits {
                // An eighth of the client connections is reserved for clients that are refused with an answer.
                clients: (clients - clients / 8).max(1),
                max_clients_with_borrowed: clients_in_memory - clients / 8,
                servers,
                bytes: (memory_bytes as f64 * BODY_MEMORY_FRACTION) as usize,
                shared_bytes: 0,
            },
            limits: Cell::new(BudgetLimits {
                clients: 0,
                max_clients_with_borrowed: 0,
                servers: 0,
                bytes: 0,
                shared_bytes: 0,
            }),
            clients: Cell::new(0),
            borrowed_clients: Cell::new(0),
            servers: Cell::new(0),
            exchanges: Cell::new(0),
            uploads: Cell::new(0),
            bytes: Cell::new(0),
            reclaimer: OnceCell::new(),
        };
        let shared_bytes = budget.shared_bytes(1.0);
        budget.configured.shared_bytes = shared_bytes;
        // Half at least is left for exchanges with servers.
        budget.configured.bytes = budget.configured.bytes.min(shared_bytes / 2);
        budget.limits.set(budget.configured);
        Rc::new(budget)
    }

    /// What is left for bodies and connections to servers of this share of the memory if all client connections are
    /// open. The program itself is not shared.
    fn shared_bytes(&self, share: f64) -> usize {
        let max_clients = self.configured.clients + self.configured.clients / 8;
        let variable_bytes = self.memory_bytes as f64 - (max_clients * self.client_bytes) as f64;
        let left = (variable_bytes * share) as usize;
        left.saturating_sub(BASE_MEMORY_BYTES).max(MIN_EXCHANGES * (self.server_bytes + self.exchange_bytes))
    }

    /// Sets the limits to a fraction of the configured ones. What is in use beyond them stays until it is released.
    pub fn set_limit_share(&self, share: f64) {
        let scale = |limit: usize| ((limit as f64 * share) as usize).max(1);
        let BudgetLimits { clients, max_clients_with_borrowed, servers, bytes, .. } = self.configured;
        self.limits.set(BudgetLimits {
            clients: scale(clients),
            max_clients_with_borrowed: scale(max_clients_with_borrowed),
            servers: scale(servers),
            bytes: scale(bytes),
            shared_bytes: self.shared_bytes(share),
        });
    }

    /// Sets what [`Budget::reclaim`] calls; only the first call counts.
    pub fn set_reclaimer(&self, reclaimer: impl Fn() -> bool + 'static) {
        let _ = self.reclaimer.set(Reclaimer(Box::new(reclaimer)));
    }

    /// Asks for connections or memory that others hold and can give up. Returns whether some will be released soon.
    pub fn reclaim(&self) -> bool {
        self.reclaimer.get().is_some_and(|reclaimer| (reclaimer.0)())
    }

    /// Whether the shared memory has room for this much more, beside what is reserved from requests that have not arrived
    /// whole.
    fn has_room_for(&self, arrival: Arrival, more_bytes: usize) -> bool {
        let reserved_fraction = match arrival {
            Arrival::Whole => 0.0,
            Arrival::Incomplete => 1.0 - INCOMPLETE_FRACTION,
        };
        let reserved_bytes = (self.limits.get().shared_bytes as f64 * reserved_fraction) as usize;
        self.has_room(more_bytes + reserved_bytes)
    }

    /// Whether the shared memory has room for this much more.
    fn has_room(&self, more_bytes: usize) -> bool {
        let connection_bytes =
            self.servers.get() * self.server_bytes + self.borrowed_clients() * self.client_bytes;
        let exchange_bytes = self.exchanges.get() * self.exchange_bytes;
        self.bytes.get() + connection_bytes + exchange_bytes + more_bytes <= self.limits.get().shared_bytes
    }

    /// The number of connections that may be open to servers.
    pub fn max_server_connections(&self) -> usize {
        self.limits.get().servers
    }

    /// Whether more connections to servers are open than allowed.
    pub fn is_over_server_limit(&self) -> bool {
        self.servers.get() > self.limits.get().servers
    }

    /// Whether new client connections have to be refused with an answer.
    pub fn must_refuse_clients(&self) -> bool {
        self.clients.get() >= self.limits.get().clients + self.borrowed_clients()
    }

    /// Whether not even a refusal is possible, so that new connections have to wait in the listen backlog.
    pub fn must_stop_accepting(&self) -> bool {
        let max_clients = self.limits.get().clients;
        self.clients.get() >= max_clients + max_clients / 8 + self.borrowed_clients()
    }

    /// How many client connections beyond the limit have the room of connections to servers.
    pub fn borrowed_clients(&self) -> usize {
        // The connection that room has just been given to may not be counted yet.
        let max_borrowed = (self.clients.get() + 1).saturating_sub(self.limits.get().clients);
        self.borrowed_clients.set(self.borrowed_clients.get().min(max_borrowed));
        self.borrowed_clients.get()
    }

    /// Gives room that connections to servers do not use to one more client connection beyond the limit; false if there
    /// is too little.
    pub fn borrow_client(&self) -> bool {
        let (limits, borrowed) = (self.limits.get(), self.borrowed_clients());
        let used = self.servers.get() + borrowed;
        let is_spare = used < (limits.servers as f64 * BORROWED_FRACTION) as usize;
        let is_within_memory = self.clients.get() < limits.max_clients_with_borrowed;
        let may_borrow = is_spare && is_within_memory && self.has_room(self.client_bytes);
        self.borrowed_clients.set(borrowed + usize::from(may_borrow));
        may_borrow
    }

    /// Counts one more client connection. The caller checks the limit.
    pub fn client_slot(self: &Rc<Self>) -> Slot {
        Slot::acquire(self, |b| &b.clients)
    }

    /// Counts one more server connection for such a request, unless the limit is reached or the memory has no room for it.
    pub fn server_slot(self: &Rc<Self>, arrival: Arrival) -> Option<Slot> {
        let servers = self.servers.get();
        let has_room = servers < MIN_EXCHANGES || self.has_room_for(arrival, self.server_bytes);
        (servers + self.borrowed_clients() < self.limits.get().servers && has_room)
            .then(|| Slot::acquire(self, |b| &b.servers))
    }

    /// Counts one more exchange with a server, unless the memory has no room for it.
    pub fn exchange_slot(self: &Rc<Self>) -> Option<Slot> {
        let has_room = self.exchanges.get() < MIN_EXCHANGES || self.has_room(self.exchange_bytes);
        has_room.then(|| Slot::acquire(self, |b| &b.exchanges))
    }

    /// Counts one more exchange whose request has not arrived whole, unless that would use what is reserved for others.
    /// It needs an [exchange slot](Budget::exchange_slot) besides.
    pub fn upload_slot(self: &Rc<Self>) -> Option<Slot> {
        let max_uploads = (self.limits.get().servers as f64 * INCOMPLETE_FRACTION) as usize;
        let uploads = self.uploads.get();
        let has_room =
            uploads < MIN_EXCHANGES / 2 || self.has_room_for(Arrival::Incomplete, self.exchange_bytes);
        (uploads < max_uploads.max(1) && has_room).then(|| Slot::acquire(self, |b| &b.uploads))
    }

    /// The number of client connections, and its limit.
    pub fn client_usage(&self) -> (usize, usize) {
        (self.clients.get(), self.limits.get().clients)
    }

    /// The number of server connections, and its limit.
    pub fn server_usage(&self) -> (usize, usize) {
        (self.servers.get(), self.limits.get().servers)
    }

    /// The number of body bytes, and its limit.
    pub fn body_bytes_usage(&self) -> (usize, usize) {
        (self.bytes.get(), self.limits.get().bytes)
    }

    /// An empty lease for the head of such a request, or for the answer to it; see [`Lease::grow`].
    pub fn small_lease(self: &Rc<Self>, arrival: Arrival) -> Lease {
        Lease { budget: self.clone(), held: 0, is_small: true, arrival }
    }

    /// An empty lease for the body of a request, of the declared length. A body of unknown length counts as large.
    pub fn lease_for(self: &Rc<Self>, length: Option<u64>) -> Lease {
        let is_small = length.is_some_and(|l| l <= MAX_SMALL_BODY_BYTES);
        let arrival = if length == Some(0) { Arrival::Whole } else { Arrival::Incomplete };
        Lease { budget: self.clone(), held: 0, is_small, arrival }
    }
}

/// A counted connection or exchange, released when dropped.
#[derive(Debug)]
pub struct Slot {
    budget: Rc<Budget>,
    counter: fn(&Budget) -> &Cell<usize>,
}

impl Slot {
    fn acquire(budget: &Rc<Budget>, counter: fn(&Budget) -> &Cell<usize>) -> Self {
        counter(budget).set(counter(budget).get() + 1);
        Slot { budget: budget.clone(), counter }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let counter = (self.counter)(&self.budget);
        counter.set(counter.get() - 1);
    }
}

/// The bytes of one head or body, released when dropped.
#[derive(Debug)]
pub struct Lease {
    budget: Rc<Budget>,
    /// The bytes counted for it, with overhead.
    held: usize,
    is_small: bool,
    /// Of the request that it is for, while the lease grows.
    arrival: Arrival,
}

impl Lease {
    /// Counts one more block, unless the limit forbids it; true if it was counted. A small body may use all free
    /// bytes. A large one may hold at most as much as remains free for large bodies, so that each gets less the more
    /// there are.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let cost = bytes + BLOCK_OVERHEAD_BYTES;
        let (total, held) = (self.budget.bytes.get() + cost, self.held + cost);
        let limit = self.budget.limits.get().bytes;
        let large_limit = (limit as f64 * LARGE_BODY_FRACTION) as usize;
        let limit = match self.arrival {
            Arrival::Incomplete => (limit as f64 * INCOMPLETE_BODY_MEMORY_FRACTION) as usize,
            Arrival::Whole => limit,
        };
        let is_small = self.is_small && held as u64 <= 2 * MAX_SMALL_BODY_BYTES;
        if total > limit
            || !self.budget.has_room_for(self.arrival, cost)
            || (!is_small && held > large_limit.saturating_sub(total))
        {
            return false;
        }
        self.budget.bytes.set(total);
        self.held = held;
        true
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.bytes.set(self.budget.bytes.get() - self.held);
    }
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
