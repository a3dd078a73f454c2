//! What a node tells of its view, to operators and to the rest of the program.

use crate::member::MemberState;
use crate::wire::{DatagramError, DatagramKind};
use crate::Nanos;
use std::net::SocketAddr;

/// The node's place among those that are there: what it goes by where a sum over all nodes is to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPosition {
    /// Its number, from 0, in the order of names.
    pub ordinal: u32,
    /// How many are there: suspects count, and so does the node itself.
    pub size: u32,
}

/// One member, as the node holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// What it is held for.
    pub state: MemberState,
    /// Its incarnation.
    pub incarnation: u64,
    /// For how long the state has held, in nanoseconds.
    pub state_age: Nanos,
    /// Its operator empties it.
    pub is_draining: bool,
}

/// The view at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The fleet's name.
    pub fleet: String,
    /// The node's own.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Equal exactly where names, incarnations and presence are equal.
    pub view_digest: u64,
    /// Nobody is suspected, nothing has changed of late, and those who were heard of late have the same view.
    pub is_settled: bool,
    /// All members by name, itself included.
    pub members: Vec<MemberView>,
    /// What it counts as.
    pub group_position: GroupPosition,
}

/// What a node has done and seen, counted from its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Datagrams and bytes sent, by kind.
    pub sent: [(u64, u64); DatagramKind::ALL.len()],
    /// Datagrams and bytes taken in, by kind.
    pub received: [(u64, u64); DatagramKind::ALL.len()],
    /// Datagrams turned down, by reason.
    pub rejected: [u64; DatagramError::ALL.len()],
    /// Changes of a member's state.
    pub state_changes: u64,
    /// Accusations of itself that it has refuted.
    pub refutations: u64,
    /// How late it last was to its own timers, and how late at the worst, in nanoseconds.
    pub timer_lag: Nanos,
    /// The worst.
    pub max_timer_lag: Nanos,
}

impl Stats {
    /// Bytes sent in all.
    pub fn bytes_sent(&self) -> u64 {
        self.sent.iter().map(|(_, bytes)| bytes).sum()
    }
}
