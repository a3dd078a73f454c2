//! Members, claims about their state, and the precedence between claims.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// Maximum length of the name of a node or of its zone: a claim with both fits into the smallest datagram.
pub const MAX_NAME_BYTES: usize = 32;
/// Records with a higher incarnation are rejected, so that a member can always refute a claim by a higher
/// incarnation.
pub const MAX_INCARNATION: u64 = 1 << 48;

/// State of a member, in ascending precedence between claims of one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is considered reachable.
    Alive,
    /// It failed a probe and can still refute the suspicion. It counts as present.
    Suspect,
    /// Its suspicion expired without a refutation.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// All states, in the order of their discriminants.
    pub const ALL: [MemberState; 4] =
        [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];

    /// Whether a member in this state counts as present in the fleet.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }

    /// The name that the fleet page, metrics and logs show.
    pub fn name(self) -> &'static str {
        ["alive", "suspect", "dead", "left"][self as usize]
    }
}

/// A member's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name, unique in the fleet.
    pub name: String,
    /// Raised only by the member itself, to refute a claim or to publish a changed record.
    pub incarnation: u64,
    /// Random number of the process: distinguishes a restarted process, or a second one of the same name,
    /// from the first.
    pub instance_id: u32,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Zone, or empty.
    pub zone: String,
    /// Whether its operator drains it.
    pub is_draining: bool,
}

impl MemberRecord {
    /// Whether the names, the incarnation and the port are within the bounds that every node enforces.
    pub fn is_valid(&self) -> bool {
        let is_valid_name = |text: &str| {
            text.len() <= MAX_NAME_BYTES
                && text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
        };
        !self.name.is_empty()
            && is_valid_name(&self.name)
            && is_valid_name(&self.zone)
            && (1..=MAX_INCARNATION).contains(&self.incarnation)
            && self.address.port() != 0
    }
}

/// A statement about the state of a member, as nodes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Claimed state.
    pub state: MemberState,
    /// The member that the claim is about.
    pub record: MemberRecord,
    /// Name of the node that made the claim first; empty if the member made it about itself.
    pub reported_by: String,
}

impl Claim {
    /// A member's claim that it is alive.
    pub fn alive(record: MemberRecord) -> Self {
        Claim { state: MemberState::Alive, record, reported_by: String::new() }
    }

    /// Compares two claims about one member; the greater one takes precedence. By incarnation, then state,
    /// then instance, so that all nodes agree whatever the order of arrival.
    pub fn compare_precedence(&self, other: &Claim) -> Ordering {
        let key = |claim: &Claim| (claim.record.incarnation, claim.state, claim.record.instance_id);
        key(self).cmp(&key(other))
    }
}
