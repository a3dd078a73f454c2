//! What is said of a member, and which of two sayings holds.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// The longest name of a node or of its zone, in bytes: with both of them, a claim fits into the smallest datagram.
pub const MAX_NAME_BYTES: usize = 32;
/// No node ever comes near so many incarnations: what says so is turned down, so that each can still be refuted.
pub const MAX_INCARNATION: u64 = 1 << 48;

/// What a member is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// There.
    Alive,
    /// It has missed probes, and can still object. It counts as there.
    Suspect,
    /// Given up: it has not objected in time.
    Dead,
    /// It has said that it leaves.
    Left,
}

impl MemberState {
    /// All of them.
    pub const ALL: [MemberState; 4] =
        [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];

    /// Whether a member in this state counts as there.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }

    /// Its word, for operators.
    pub fn name(self) -> &'static str {
        ["alive", "suspect", "dead", "left"][self as usize]
    }
}

/// A member as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Raised by the member alone, whenever it objects to what is said of it or tells something new of itself.
    pub incarnation: u64,
    /// Drawn anew by each process: tells a restarted one, or a second one of the same name, from the first.
    pub instance_id: u32,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Its operator empties it.
    pub is_draining: bool,
}

impl MemberRecord {
    /// Whether it keeps to the bounds that every node keeps to.
    pub fn is_valid(&self) -> bool {
        let named = |text: &str| {
            text.len() <= MAX_NAME_BYTES
                && text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
        };
        !self.name.is_empty()
            && named(&self.name)
            && named(&self.zone)
            && (1..=MAX_INCARNATION).contains(&self.incarnation)
            && self.address.port() != 0
    }
}

/// What one node says of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What it is held for.
    pub state: MemberState,
    /// Who.
    pub record: MemberRecord,
    /// Who said so first; empty where it said so itself.
    pub reported_by: String,
}

impl Claim {
    /// A member's word on itself.
    pub fn alive(record: MemberRecord) -> Self {
        Claim { state: MemberState::Alive, record, reported_by: String::new() }
    }

    /// Which of two claims on one member holds: the greater. The same at every node, in whatever order they come: first the
    /// incarnation, then the graver state, then the life.
    pub fn compare_precedence(&self, other: &Claim) -> Ordering {
        let key = |claim: &Claim| (claim.record.incarnation, claim.state, claim.record.instance_id);
        key(self).cmp(&key(other))
    }
}
