//! What the node may hold: file descriptors and bytes of bodies.

use std::cell::Cell;
use std::rc::Rc;

/// The most that the body of a request or of an answer may hold.
pub const MOST_BODY: u64 = 32 << 20;
/// Descriptors that are neither a client's nor a server's: standard streams, listeners, pollers, locks, discovery (20 in
/// all), and 8 operators. On a small node each one more is a connection less.
const OWN_SOCKETS: usize = 28;
/// Part of the rest that clients may hold. A server connection carries a request, a client's may stand idle.
const CLIENT_PART: f64 = 0.55;
/// Part of the memory limit that bodies may fill; connection buffers and the heap's slack need the rest.
const BODY_PART: f64 = 0.35;
/// Bookkeeping for one piece of a body: without it a body of one-byte chunks would cost far more than counted.
const PIECE: usize = 64;

/// How much of each may be held.
#[derive(Clone, Copy, Debug)]
struct Most {
    clients: usize,
    servers: usize,
    bytes: usize,
}

/// Counts what is held against the limits of the configuration.
#[derive(Debug)]
pub struct Budget {
    full: Most,
    most: Cell<Most>,
    clients: Cell<usize>,
    servers: Cell<usize>,
    bytes: Cell<usize>,
}

impl Budget {
    /// What these limits leave for clients, servers and bodies.
    pub fn new(sockets: usize, memory: u64) -> Rc<Self> {
        let rest = sockets.saturating_sub(OWN_SOCKETS).max(8);
        // One in eight of the clients' is kept for those that are only told to come back.
        let clients = (rest as f64 * CLIENT_PART) as usize;
        let full = Most {
            clients: (clients - clients / 8).max(1),
            servers: rest - clients,
            bytes: (memory as f64 * BODY_PART) as usize,
        };
        Rc::new(Budget {
            full,
            most: Cell::new(full),
            clients: Cell::new(0),
            servers: Cell::new(0),
            bytes: Cell::new(0),
        })
    }

    /// Keeps to a part of the limits from here on; what is held beyond it goes when its holders let go.
    pub fn keep_to(&self, share: f64) {
        let part = |of: usize| ((of as f64 * share) as usize).max(1);
        let Most { clients, servers, bytes } = self.full;
        self.most.set(Most { clients: part(clients), servers: part(servers), bytes: part(bytes) });
    }

    /// Connections that may be open to servers.
    pub fn most_servers(&self) -> usize {
        self.most.get().servers
    }

    /// More connections to servers are open than may be.
    pub fn servers_over(&self) -> bool {
        self.servers.get() > self.most.get().servers
    }

    /// New clients can only be told to come back.
    pub fn clients_full(&self) -> bool {
        self.clients.get() >= self.most.get().clients
    }

    /// No further client may even be turned away: the backlog has to hold it.
    pub fn clients_exhausted(&self) -> bool {
        self.clients.get() >= self.most.get().clients + self.most.get().clients / 8
    }

    /// A place for one more client; the caller sees to it that there is one.
    pub fn client(self: &Rc<Self>) -> Slot {
        Slot::take(self, |b| &b.clients)
    }

    /// A place for one more connection to a server, if there is any.
    pub fn server(self: &Rc<Self>) -> Option<Slot> {
        (self.servers.get() < self.most.get().servers).then(|| Slot::take(self, |b| &b.servers))
    }

    /// Nothing held yet; it grows with `Lease::grow`.
    pub fn lease(self: &Rc<Self>) -> Lease {
        Lease { budget: self.clone(), held: 0 }
    }
}

/// One descriptor in use, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    budget: Rc<Budget>,
    counter: fn(&Budget) -> &Cell<usize>,
}

impl Slot {
    fn take(budget: &Rc<Budget>, counter: fn(&Budget) -> &Cell<usize>) -> Self {
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

/// Bytes of one body, given back when dropped.
#[derive(Debug)]
pub struct Lease {
    budget: Rc<Budget>,
    held: usize,
}

impl Lease {
    /// Takes one more piece into account; false where the budget has no room for it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let cost = bytes + PIECE;
        let sum = self.budget.bytes.get() + cost;
        if sum > self.budget.most.get().bytes {
            return false;
        }
        self.budget.bytes.set(sum);
        self.held += cost;
        true
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.bytes.set(self.budget.bytes.get() - self.held);
    }
}
