//! Fleet membership among gateway nodes by datagrams that may be lost, duplicated, delayed or blocked in one
//! direction, without a common clock, disk or store: SWIM with suspicion, the Lifeguard extensions, and
//! anti-entropy by digests, which delivers the claims that gossip has missed. `docs/design/fleet-view.md`
//! states the guarantees.
//!
//! The crate does no input or output: [`Node`] is given the time and the received datagrams, and returns the
//! datagrams to send.

mod gossip_queue;
mod health;
mod member;
mod node;
mod probe;
mod snapshot;
mod suspicion;
mod table;
mod wire;

pub use health::LocalHealth;
pub use member::{Claim, MemberRecord, MemberState, MAX_INCARNATION, MAX_NAME_BYTES};
pub use node::{Cause, Config, Event, Extensions, Node, NodeStatus, Outbox, Timing};
pub use snapshot::{GroupPosition, MemberView, Snapshot, Stats};
pub use table::MAX_MEMBERS;
pub use wire::{DatagramError, DatagramKind, MAX_DATAGRAM_BYTES, MIN_DATAGRAM_BYTES};

/// Nanoseconds on the node's own monotonic clock, which is never compared with that of another node.
pub type Nanos = u64;
