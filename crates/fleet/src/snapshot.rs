//! The node's view and counters, for operators and the rest of the program.

use crate::member::MemberState;
use crate::wire::{DatagramError, DatagramKind};
use crate::Nanos;
use std::net::SocketAddr;

/// The node's position among the present members, by which it takes its share of fleet-wide limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPosition {
    /// Index of the node, from 0, among the present members sorted by name.
    pub ordinal: u32,
    /// Number of present members, including suspects and the node itself.
    pub size: u32,
}

/// One member in the node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name.
    pub name: String,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Zone, or empty.
    pub zone: String,
    /// State.
    pub state: MemberState,
    /// Incarnation.
    pub incarnation: u64,
    /// Time since the member entered its state.
    pub state_age: Nanos,
    /// Whether its operator drains it.
    pub is_draining: bool,
}

/// The view at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the node.
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Digest of the view: equal where the present members, their incarnations and their instances are equal.
    pub view_digest: u64,
    /// Whether no member is suspect, nothing has changed recently, and the members heard recently have the
    /// same view.
    pub is_settled: bool,
    /// All members by name, including the node itself and those that are dead or have left.
    pub members: Vec<MemberView>,
    /// The node's position among the present members.
    pub group_position: GroupPosition,
}

/// Counters since the node started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams and bytes sent, by [`DatagramKind`].
    pub sent: [(u64, u64); DatagramKind::ALL.len()],
    /// Datagrams and bytes decoded, by [`DatagramKind`].
    pub received: [(u64, u64); DatagramKind::ALL.len()],
    /// Datagrams rejected, by [`DatagramError`].
    pub rejected: [u64; DatagramError::ALL.len()],
    /// Changes of the state of other members.
    pub state_changes: u64,
    /// Claims about the node itself that it has refuted.
    pub refutations: u64,
    /// How late the node was at its last run, compared with its earliest timer.
    pub timer_lag: Nanos,
    /// Maximum of `timer_lag`.
    pub max_timer_lag: Nanos,
}

impl Stats {
    /// Total number of bytes sent.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.iter().map(|(_, bytes)| bytes).sum()
    }
}
