//! The operator's side of a node: metrics, recent events, readiness and drain, and the hand-over to a
//! successor process. Nothing here does I/O; the callers own the sockets and files.

mod events;
mod fleet_page;
mod handover;
mod lifecycle;
mod metrics;
mod request_tracker;
mod succession;

pub use events::{ClientRequestId, Event, EventLog, Record, Subject};
pub use fleet_page::{FleetMember, FleetPage};
pub use metrics::{DenialPoint, FleetMetrics, Metrics, PoolMetrics, UsageGauges};
pub use prometheus::{Error as MetricsError, IntCounter};

pub use handover::{FleetHandover, Handover, HandoverError, PoolHandover, MAX_HANDOVER_BYTES};
pub use lifecycle::{Lifecycle, LifecycleStage, SharedLifecycle};
pub use request_tracker::{ClassMetrics, RequestTracker, UnservedReason};
pub use succession::Succession;
