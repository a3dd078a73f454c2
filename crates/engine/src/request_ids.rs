//! The ids under which clients sent requests. An id is accepted once: a second request with the same id would
//! run the first one again.

use corkhollow_balance::interface::{Nanos, RequestId};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;

/// How long an id stays rejected once its request is over and its answer has been passed on.
pub const ID_RETENTION: Nanos = 30_000_000_000;
/// At most this many ids of requests that are over; the oldest are forgotten first.
const MAX_RETIRED_IDS: usize = 1 << 16;

/// A client's request id in a short form of fixed size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey(pub u64);

/// The ids that this process and others have claimed, while several processes accept from one listening socket.
pub trait SharedIds {
    /// Claims an id, and returns the ids that other processes have claimed before that and that were not
    /// returned yet. Of two processes that claim the same id, one gets it returned.
    fn claim(&mut self, key: RequestKey) -> Vec<RequestKey>;
}

/// The ids of open and recent requests.
pub(crate) struct RequestIds<C> {
    /// All ids that are rejected.
    claimed: HashSet<C>,
    /// Ids of requests that are over while their answer is still being passed on to the client.
    in_delivery: HashMap<RequestId, C>,
    /// Ids of requests that are over, oldest first, and when each was retired.
    retired: VecDeque<(Nanos, C)>,
}

impl<C: Clone + Eq + Hash> RequestIds<C> {
    pub(crate) fn new() -> Self {
        RequestIds { claimed: HashSet::new(), in_delivery: HashMap::new(), retired: VecDeque::new() }
    }

    /// Claims an id for a new request; false if the id is taken.
    pub(crate) fn claim(&mut self, now: Nanos, id: &C) -> bool {
        self.forget_expired(now);
        self.claimed.insert(id.clone())
    }

    /// Rejects an id from now on that another process has claimed.
    pub(crate) fn reject(&mut self, now: Nanos, id: C) {
        if self.claimed.insert(id.clone()) {
            self.retire(now, id);
        }
    }

    /// All ids that are rejected.
    pub(crate) fn claimed(&self) -> impl Iterator<Item = &C> {
        self.claimed.iter()
    }

    /// Frees the id of a request that no server can have run.
    pub(crate) fn release(&mut self, id: &C) {
        self.claimed.remove(id);
    }

    /// Keeps the id of a request that is over until its answer has been passed on.
    pub(crate) fn hold_for_delivery(&mut self, request: RequestId, id: C) {
        self.in_delivery.insert(request, id);
    }

    /// Retires the id of a request whose answer has been passed on, if it is held for that.
    pub(crate) fn end_delivery(&mut self, now: Nanos, request: RequestId) {
        if let Some(id) = self.in_delivery.remove(&request) {
            self.retire(now, id);
        }
    }

    /// Keeps the id of a request that is over for [`ID_RETENTION`].
    pub(crate) fn retire(&mut self, now: Nanos, id: C) {
        self.forget_expired(now);
        self.retired.push_back((now, id));
        if self.retired.len() > MAX_RETIRED_IDS {
            self.forget_oldest();
        }
    }

    fn forget_expired(&mut self, now: Nanos) {
        while self.retired.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= ID_RETENTION) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.retired.pop_front() {
            self.claimed.remove(&id);
        }
    }
}
