//! What operators see and steer: the node's life, its figures. The choices here have no input or output; whoever
//! holds sockets asks them.

mod events;
mod figures;
mod fleet_page;
mod handover;
mod lifecycle;
mod succession;
mod tally;

pub use events::{ClientId, Event, Record, Recorder, Subject};
pub use figures::{Figures, FleetFigures, Held, PoolFigures, Proposed};
pub use fleet_page::{FleetMember, FleetPage};
pub use prometheus::{Error as FiguresError, IntCounter};

pub use handover::{FleetHandover, Handover, HandoverError, PoolHandover, LONGEST as LONGEST_HANDOVER};
pub use lifecycle::{Control, Lifecycle, Stage};
pub use succession::Succession;
pub use tally::{ClassFigures, Reason, Tally};
