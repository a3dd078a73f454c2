//! State shared by all client connections of a process.

use super::client_connection::ClientConnection;
use super::close_policy::CloseLimits;
use crate::active_plan::CurrentPlan;
use corkhollow_engine::Clock;
use corkhollow_operate::{Event, Metrics, SharedLifecycle, Subject};
use corkhollow_plan::limits::Budget;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// State shared by all client connections of a process.
pub struct Service {
    /// The plan in force.
    pub current_plan: Rc<CurrentPlan>,
    /// The process's clock.
    pub clock: Clock,
    /// Limits on connections and buffered bytes.
    pub budget: Rc<Budget>,
    /// Whether the node serves, drains or shuts down.
    pub lifecycle: SharedLifecycle,
    /// Counter from which ids of requests without one are made.
    pub request_id_counter: Cell<u64>,
    /// The node's metrics and event log.
    pub metrics: Metrics,
}

impl Service {
    /// Counts a closed connection and records it as an event; `dropped` tells whether it lost a complete
    /// request.
    pub(super) fn record_close(&self, client: &ClientConnection, reason: &'static str, dropped: bool) {
        self.metrics.count_client_close(reason, dropped);
        let subject = Subject::Connection(client.number);
        self.metrics.events.record(self.clock.now(), subject, Event::Closed(reason));
    }

    pub(super) fn close_limits(&self) -> CloseLimits {
        let limits = self.current_plan.get().plan.limits;
        CloseLimits {
            header_timeout: Duration::from_nanos(limits.header_timeout),
            first_request_timeout: limits.first_request_timeout.map_or(Duration::MAX, Duration::from_nanos),
            idle_timeout: Duration::from_nanos(limits.idle_timeout),
            stall_timeout: Duration::from_nanos(limits.stall_timeout),
        }
    }

    /// A number unique in this process, with its entropy spread over all bits.
    pub(super) fn next_request_id(&self) -> u64 {
        self.request_id_counter.set(self.request_id_counter.get() + 1);
        corkhollow_plan::stable_hash(&self.request_id_counter.get().to_le_bytes())
    }
}
