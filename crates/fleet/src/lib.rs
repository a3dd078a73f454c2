//! The fleet's own view: which nodes are there, kept by the nodes themselves by datagrams that may be lost, doubled, late or
//! one-way, with no clock, disk or store in common. SWIM with suspicion, Lifeguard's additions, and a comparison of digests
//! that settles what rumours have missed; see `docs/design/fleet-view.md` for what is promised.
//!
//! Nothing here does input or output: [`Node`] is given the time and what has come, and writes down what is to be sent.

mod health;
mod member;
mod node;
mod probe;
mod rumours;
mod snapshot;
mod suspicion;
mod table;
mod wire;

pub use health::Health;
pub use member::{Claim, MemberRecord, MemberState, MAX_INCARNATION, MAX_NAME_BYTES};
pub use node::{Cause, Config, Event, Extensions, Node, NodeStatus, Outbox, Timing};
pub use snapshot::{GroupPosition, MemberView, Snapshot, Stats};
pub use table::MAX_MEMBERS;
pub use wire::{DatagramError, DatagramKind, MAX_DATAGRAM_BYTES, MIN_DATAGRAM_BYTES};

/// Time in nanoseconds on the node's own monotonic clock. No node ever compares it with another's.
pub type Nanos = u64;
