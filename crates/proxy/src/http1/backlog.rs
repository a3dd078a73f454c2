//! What is known of the connections that wait in the listen backlog while the node is at its connection
//! limit: how long they have waited, and how many of them to accept next.

use super::listen_queue::ListenQueue;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop::has_budget_remaining;

/// How long a connection may wait in the backlog while others can be closed for it.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// How often connections are closed for those in the backlog.
pub(super) const ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// The rounds in which all that wait now are to be accepted.
const ROUNDS_PER_WAIT: usize = (MAX_WAIT.as_millis() / ROUND_INTERVAL.as_millis()) as usize;
/// Taken for the length of the backlog where the kernel does not tell it: most systems allow no longer one.
const MAX_BACKLOG: usize = 4096;

/// The backlog of one listener.
#[derive(Debug)]
pub(super) struct Backlog {
    queue: Option<ListenQueue>,
    waits: BacklogWaits,
    next_round_at: Option<Instant>,
    /// How many more connections may be accepted in place of others that are being closed.
    places: usize,
}

impl Backlog {
    pub(super) fn new(listener: &TcpListener) -> Self {
        let queue = ListenQueue::of(listener);
        Backlog { queue, waits: BacklogWaits::default(), next_round_at: None, places: 0 }
    }

    /// Accepts the next connection, and notes when none waits.
    pub(super) async fn accept_next(
        &mut self,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, SocketAddr)> {
        poll_fn(|cx| {
            let accepted = listener.poll_accept(cx);
            // A task that has used up its budget has to yield, whatever waits.
            if accepted.is_pending() && has_budget_remaining() {
                self.waits.mark_empty();
            }
            accepted
        })
        .await
    }

    /// Notes that accepting is held up.
    pub(super) fn mark_blocked(&mut self) {
        self.waits.mark_blocked(Instant::now());
    }

    /// Notes that a connection was accepted; returns the time after which it arrived, if it had to wait.
    pub(super) fn record_accept(&mut self) -> Option<Instant> {
        self.waits.record_accept()
    }

    /// The time after which the next connection arrives, if it has to wait.
    pub(super) fn arrived_after(&self) -> Option<Instant> {
        self.waits.arrived_after
    }

    /// Sets how many more connections may be accepted in place of others that are being closed.
    pub(super) fn set_places(&mut self, places: usize) {
        self.places = places;
    }

    /// Takes one of these places; returns whether there was one.
    pub(super) fn take_place(&mut self) -> bool {
        let is_taken = self.places > 0;
        self.places = self.places.saturating_sub(1);
        is_taken
    }

    /// When the next round begins.
    pub(super) fn next_round_at(&self) -> Instant {
        self.next_round_at.unwrap_or_else(Instant::now)
    }

    /// Begins a round if its time has come; returns how many connections to accept in it, so that none waits for
    /// longer than [`MAX_WAIT`]. Without a known queue length, `connection_limit` of them are accepted in that time.
    pub(super) fn begin_round(&mut self, connection_limit: usize) -> Option<usize> {
        let now = Instant::now();
        if self.next_round_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_round_at = Some(now + ROUND_INTERVAL);
        let length = self.queue.as_ref().and_then(ListenQueue::length);
        self.waits.record_length(now, length.unwrap_or(MAX_BACKLOG));
        // The connection for which room is being made has been accepted already.
        Some((length.unwrap_or(connection_limit) + 1).div_ceil(ROUNDS_PER_WAIT))
    }
}

/// Bounds how long connections have waited in the backlog. The kernel hands them out in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct BacklogWaits {
    /// How many connections have been accepted.
    accepted: usize,
    /// The next connection arrived after this time; `None` while accepting is not held up.
    arrived_after: Option<Instant>,
    /// Times at which the backlog's length was known, with the number of connections that had arrived by then.
    arrivals: VecDeque<(Instant, usize)>,
}

impl BacklogWaits {
    /// Notes that no connection waits.
    pub(super) fn mark_empty(&mut self) {
        self.arrived_after = None;
        self.arrivals.clear();
    }

    /// Notes that accepting is held up at `now`.
    pub(super) fn mark_blocked(&mut self, now: Instant) {
        self.arrived_after.get_or_insert(now);
    }

    /// Notes that at most this many connections wait at `now`.
    pub(super) fn record_length(&mut self, now: Instant, length: usize) {
        self.arrivals.push_back((now, self.accepted + length));
    }

    /// Notes that a connection was accepted; returns the time after which it arrived, if it had to wait.
    pub(super) fn record_accept(&mut self) -> Option<Instant> {
        while let Some((at, _)) = self.arrivals.front().filter(|(_, arrived)| *arrived <= self.accepted) {
            self.arrived_after = Some(*at);
            self.arrivals.pop_front();
        }
        self.accepted += 1;
        self.arrived_after
    }
}
