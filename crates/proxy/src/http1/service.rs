//! What all clients' connections of a process share.

use super::client_connection::ClientConnection;
use super::close_policy::CloseLimits;
use crate::active_plan::CurrentPlan;
use corkhollow_engine::Clock;
use corkhollow_operate::{Event, Metrics, SharedLifecycle, Subject};
use corkhollow_plan::limits::Budget;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What all clients' connections work with.
pub struct Service {
    /// What is in force.
    pub current_plan: Rc<CurrentPlan>,
    /// The program's clock.
    pub clock: Clock,
    /// What it may hold.
    pub budget: Rc<Budget>,
    /// Whether it is up, keeps connections and takes new ones.
    pub lifecycle: SharedLifecycle,
    /// Numbers requests that bring no id.
    pub request_id_counter: Cell<u64>,
    /// What it has done.
    pub metrics: Metrics,
}

impl Service {
    /// Counts the end of a connection, and whether it dropped a request.
    pub(super) fn record_close(&self, client: &ClientConnection, reason: &'static str, dropped: bool) {
        self.metrics.count_client_close(reason, dropped);
        let subject = Subject::Connection(client.number);
        self.metrics.events.record(self.clock.now(), subject, Event::Closed(reason));
    }

    pub(super) fn close_limits(&self) -> CloseLimits {
        let limits = self.current_plan.get().plan.limits;
        CloseLimits {
            header_timeout: Duration::from_nanos(limits.header_timeout),
            idle_timeout: Duration::from_nanos(limits.idle_timeout),
            stall_timeout: Duration::from_nanos(limits.stall_timeout),
        }
    }

    /// A number that no other request has, spread over all bits.
    pub(super) fn next_request_id(&self) -> u64 {
        self.request_id_counter.set(self.request_id_counter.get() + 1);
        corkhollow_plan::stable_hash(&self.request_id_counter.get().to_le_bytes())
    }
}
