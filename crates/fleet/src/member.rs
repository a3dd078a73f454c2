//! What is said of a member, and which of two sayings holds.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;

/// The longest name of a node or of its zone, in bytes: with both of them, a claim fits into the smallest datagram.
pub const LONGEST_NAME: usize = 32;
/// No node ever comes near so many incarnations: what says so is turned down, so that each can still be refuted.
pub const MOST_INCARNATION: u64 = 1 << 48;

/// What a member is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// There.
    Alive,
    /// It has missed probes, and can still object. It counts as there.
    Suspect,
    /// Given up: it has not objected in time.
    Dead,
    /// It has said that it leaves.
    Left,
}

impl State {
    /// All of them.
    pub const ALL: [State; 4] = [State::Alive, State::Suspect, State::Dead, State::Left];

    /// Whether a member in this state counts as there.
    pub fn present(self) -> bool {
        self <= State::Suspect
    }

    /// Its word, for operators.
    pub fn name(self) -> &'static str {
        ["alive", "suspect", "dead", "left"][self as usize]
    }
}

/// A member as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Raised by the member alone, whenever it objects to what is said of it or tells something new of itself.
    pub incarnation: u64,
    /// Drawn anew by each process: tells a restarted one, or a second one of the same name, from the first.
    pub life: u32,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Its operator empties it.
    pub drains: bool,
}

impl Record {
    /// Whether it keeps to the bounds that every node keeps to.
    pub fn is_sound(&self) -> bool {
        let named = |text: &str| {
            text.len() <= LONGEST_NAME
                && text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
        };
        !self.name.is_empty()
            && named(&self.name)
            && named(&self.zone)
            && (1..=MOST_INCARNATION).contains(&self.incarnation)
            && self.address.port() != 0
    }
}

/// What one node says of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What it is held for.
    pub state: State,
    /// Who.
    pub record: Record,
    /// Who said so first; empty where it said so itself.
    pub by: String,
}

impl Claim {
    /// A member's word on itself.
    pub fn alive(record: Record) -> Self {
        Claim { state: State::Alive, record, by: String::new() }
    }

    /// Which of two claims on one member holds: the greater. The same at every node, in whatever order they come: first the
    /// incarnation, then the graver state, then the life.
    pub fn order(&self, other: &Claim) -> Ordering {
        let key = |claim: &Claim| (claim.record.incarnation, claim.state, claim.record.life);
        key(self).cmp(&key(other))
    }
}
