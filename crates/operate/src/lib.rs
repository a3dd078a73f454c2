//! What operators see and steer: the node's life, its figures. The choices here have no input or output; whoever
//! holds sockets asks them.

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
