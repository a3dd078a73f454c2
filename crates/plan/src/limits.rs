//! What the node may hold: file descriptors and bytes of bodies.

use std::cell::Cell;
use std::rc::Rc;

/// The most that the body of a request or of an answer may hold.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Descriptors that are neither a client's nor a server's: standard streams, listeners, pollers, locks, discovery (20 in
/// all), and 8 operators. On a small node each one more is a connection less.
const OWN_SOCKETS: usize = 28;
/// Part of the rest that clients may hold. A server connection carries a request, a client's may stand idle.
const CLIENT_PART: f64 = 0.55;
/// Part of the memory limit that bodies may fill; connection buffers and the heap's slack need the rest.
const BODY_PART: f64 = 0.35;
/// Bookkeeping for one piece of a body: without it a body of one-byte chunks would cost far more than counted.
const PIECE: usize = 64;

/// Part of the bytes that bodies beyond `SMALL` may fill: short requests keep the rest.
const LARGE_PART: f64 = 0.75;
/// A body that says that it has no more than this is small; with its bookkeeping it may come to twice that.
const SMALL: u64 = 64 << 10;

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
    pub fn set_limit_share(&self, share: f64) {
        let part = |of: usize| ((of as f64 * share) as usize).max(1);
        let Most { clients, servers, bytes } = self.full;
        self.most.set(Most { clients: part(clients), servers: part(servers), bytes: part(bytes) });
    }

    /// Connections that may be open to servers.
    pub fn max_server_connections(&self) -> usize {
        self.most.get().servers
    }

    /// More connections to servers are open than may be.
    pub fn is_over_server_limit(&self) -> bool {
        self.servers.get() > self.most.get().servers
    }

    /// New clients can only be told to come back.
    pub fn must_refuse_clients(&self) -> bool {
        self.clients.get() >= self.most.get().clients
    }

    /// No further client may even be turned away: the backlog has to hold it.
    pub fn must_stop_accepting(&self) -> bool {
        self.clients.get() >= self.most.get().clients + self.most.get().clients / 8
    }

    /// A place for one more client; the caller sees to it that there is one.
    pub fn client_slot(self: &Rc<Self>) -> Slot {
        Slot::take(self, |b| &b.clients)
    }

    /// A place for one more connection to a server, if there is any.
    pub fn server_slot(self: &Rc<Self>) -> Option<Slot> {
        (self.servers.get() < self.most.get().servers).then(|| Slot::take(self, |b| &b.servers))
    }

    /// Connections of clients: how many there are, and how many there may be.
    pub fn client_usage(&self) -> (usize, usize) {
        (self.clients.get(), self.most.get().clients)
    }

    /// Connections to servers, likewise.
    pub fn server_usage(&self) -> (usize, usize) {
        (self.servers.get(), self.most.get().servers)
    }

    /// Bytes of bodies, likewise.
    pub fn body_bytes_usage(&self) -> (usize, usize) {
        (self.bytes.get(), self.most.get().bytes)
    }

    /// Nothing held yet, for a body of at most 64 KiB; it grows with `Lease::grow`.
    pub fn small_lease(self: &Rc<Self>) -> Lease {
        self.lease_for(Some(0))
    }

    /// Nothing held yet, for a body of this length; one that tells none has to share with the long ones.
    pub fn lease_for(self: &Rc<Self>, length: Option<u64>) -> Lease {
        Lease { budget: self.clone(), held: 0, small: length.is_some_and(|l| l <= SMALL) }
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
    /// Of a small body.
    small: bool,
}

impl Lease {
    /// Takes one more piece into account; false where there is no room for it. A small body may take all that is free.
    /// A larger one may hold as much as it leaves of what is there for its kind: the more come, the less each may keep.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let cost = bytes + PIECE;
        let (sum, held) = (self.budget.bytes.get() + cost, self.held + cost);
        let most = self.budget.most.get().bytes;
        let large = (most as f64 * LARGE_PART) as usize;
        let small = self.small && held as u64 <= 2 * SMALL;
        if sum > most || (!small && held > large.saturating_sub(sum)) {
            return false;
        }
        self.budget.bytes.set(sum);
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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// A body that grows by pieces until there is no room for it or it is whole; how much of it is held.
    fn keep(lease: &mut Lease, bytes: usize) -> usize {
        (0..bytes / 16_384).take_while(|_| lease.grow(16_384)).count() * 16_384
    }

    #[test]
    fn two_hundred_uploads_leave_room_for_short_requests() {
        let budget = Budget::new(1024, 48 << 20);
        let mut uploads: Vec<_> = (0..200).map(|_| budget.lease_for(Some(3 << 20))).collect();
        // One alone may hold all that the platform keeps of a body, a sixteenth of the memory.
        assert_eq!(keep(&mut uploads[0], 3 << 20), 3 << 20);
        for upload in &mut uploads[1..] {
            keep(upload, 3 << 20);
        }
        let mut short: Vec<_> = (0..500).map(|_| budget.small_lease()).collect();
        assert!(short.iter_mut().all(|lease| lease.grow(2048)), "short requests find no room");
    }

    #[test]
    fn what_is_given_back_is_there_again() {
        let budget = Budget::new(1024, 48 << 20);
        for _ in 0..100 {
            let mut uploads: Vec<_> = (0..3).map(|_| budget.lease_for(Some(2 << 20))).collect();
            assert!(uploads.iter_mut().all(|upload| keep(upload, 2 << 20) == 2 << 20));
        }
    }

    proptest! {
        // The same cases every time.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever comes and goes: never over the room, and none is lost.
        #[test]
        fn the_room_is_kept(steps in proptest::collection::vec((0..30usize, 0..400_000usize, any::<bool>()), 1..300)) {
            let budget = Budget::new(1024, 32 << 20);
            let most = budget.most.get().bytes;
            let mut leases: Vec<Lease> = Vec::new();
            for (at, bytes, end) in steps {
                match leases.get_mut(at) {
                    Some(_) if end => drop(leases.swap_remove(at)),
                    Some(lease) => {
                        let (held, taken) = (lease.held, lease.grow(bytes));
                        prop_assert_eq!(lease.held, held + if taken { bytes + PIECE } else { 0 });
                    }
                    None => leases.push(budget.lease_for([None, Some(0), Some(bytes as u64)][at % 3])),
                }
                let sum: usize = leases.iter().map(|lease| lease.held).sum();
                prop_assert_eq!(budget.bytes.get(), sum);
                prop_assert!(sum <= most);
                let large: usize = leases.iter().filter(|l| !l.small).map(|l| l.held).sum();
                prop_assert!(large as f64 <= most as f64 * LARGE_PART);
            }
            leases.clear();
            prop_assert_eq!(budget.bytes.get(), 0);
        }
    }
}
