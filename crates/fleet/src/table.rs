//! Who is held for what: the other members, and the digests by which two nodes find where their views differ.

use crate::member::{Claim, MemberRecord, MemberState};
use crate::suspicion::Suspicion;
use crate::wire::BUCKETS;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Members that a node keeps at the most, gone ones included; of these the longest gone make room.
pub const MAX_MEMBERS: usize = 4096;
/// Gone members are remembered for so long, so that what is late cannot bring them back, and so that those from whom a cut has
/// parted the node are still asked after it.
const DEAD_FOR: Nanos = 24 * 3_600_000_000_000;
const LEFT_FOR: Nanos = 600_000_000_000;

/// One member.
#[derive(Clone, Debug)]
pub struct Held {
    /// What holds of it.
    pub claim: Claim,
    /// Since when its state holds.
    pub since: Nanos,
    /// When a datagram of its own last came; 0 for never.
    pub heard: Nanos,
    /// The digest of its view, as it last told.
    pub view: Option<u64>,
    /// While it is suspected.
    pub suspicion: Option<Suspicion>,
}

/// All other members by name, with the node itself in the digests.
#[derive(Default)]
pub struct Table {
    members: BTreeMap<String, Held>,
    suspects: BTreeSet<String>,
    digests: [u64; BUCKETS],
    present: usize,
}

/// The part of the table that a name belongs to, and what it adds to the part's digest while it is present.
fn hash(record: &MemberRecord) -> (usize, u64) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.name.as_bytes());
    let bucket = usize::from(hasher.finalize().as_bytes()[0]) % BUCKETS;
    hasher.update(&[0]);
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&record.instance_id.to_le_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    (bucket, u64::from_le_bytes(bytes))
}

impl Table {
    /// Counts a record in the digests, or no longer. The node's own goes in here too.
    pub fn count(&mut self, record: &MemberRecord, there: bool) {
        let (bucket, value) = hash(record);
        let digest = &mut self.digests[bucket];
        *digest = if there { digest.wrapping_add(value) } else { digest.wrapping_sub(value) };
    }

    /// The digest of the view: equal where names, incarnations and presence are.
    pub fn view(&self) -> u64 {
        self.digests.iter().fold(0, |sum, digest| sum.rotate_left(7) ^ digest)
    }

    /// Digests of the parts, as they are compared.
    pub fn parts(&self) -> [u32; BUCKETS] {
        self.digests.map(|digest| (digest ^ (digest >> 32)) as u32)
    }

    /// All claims on members in parts whose digests differ from these.
    pub fn differing(&self, digests: &[u32; BUCKETS]) -> impl Iterator<Item = &Claim> {
        let differs: Vec<_> = self.parts().iter().zip(digests).map(|(a, b)| a != b).collect();
        self.members.values().map(|held| &held.claim).filter(move |claim| differs[hash(&claim.record).0])
    }

    /// One member.
    pub fn get(&self, name: &str) -> Option<&Held> {
        self.members.get(name)
    }

    /// One member, for what does not touch its claim.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Held> {
        self.members.get_mut(name)
    }

    /// All others, by name.
    pub fn all(&self) -> impl Iterator<Item = &Held> {
        self.members.values()
    }

    /// Others that are there.
    pub fn present(&self) -> impl Iterator<Item = &Held> {
        self.members.values().filter(|held| held.claim.state.is_present())
    }

    /// How many others are there.
    pub fn count_present(&self) -> usize {
        self.present
    }

    /// Whether anybody is suspected.
    pub fn suspects(&self) -> &BTreeSet<String> {
        &self.suspects
    }

    /// Puts a claim in force, whatever held before; false where the table is full of members that are there.
    pub fn put(&mut self, now: Nanos, claim: Claim, suspicion: Option<Suspicion>) -> bool {
        let name = claim.record.name.clone();
        if !self.members.contains_key(&name)
            && self.members.len() >= MAX_MEMBERS
            && !self.forget_longest_gone()
        {
            return false;
        }
        let state = claim.state;
        let before = self.members.get(&name).cloned();
        if let Some(before) = before.as_ref().filter(|before| before.claim.state.is_present()) {
            self.count(&before.claim.record, false);
            self.present -= 1;
        }
        if state.is_present() {
            self.count(&claim.record, true);
            self.present += 1;
        }
        match state {
            MemberState::Suspect => self.suspects.insert(name.clone()),
            _ => self.suspects.remove(&name),
        };
        let (mut since, mut heard, mut view) = (now, 0, None);
        if let Some(before) =
            before.filter(|before| before.claim.record.instance_id == claim.record.instance_id)
        {
            (heard, view) = (before.heard, before.view);
            if before.claim.state == state {
                since = before.since;
            }
        }
        self.members.insert(name, Held { claim, since, heard, view, suspicion });
        true
    }

    fn forget_longest_gone(&mut self) -> bool {
        let gone = self.members.iter().filter(|(_, held)| !held.claim.state.is_present());
        let name = gone.min_by_key(|(_, held)| held.since).map(|(name, _)| name.clone());
        name.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Forgets those that have been gone for long.
    pub fn reap(&mut self, now: Nanos) {
        self.members.retain(|_, held| {
            let lasts = match held.claim.state {
                MemberState::Alive | MemberState::Suspect => return true,
                MemberState::Dead => DEAD_FOR,
                MemberState::Left => LEFT_FOR,
            };
            now.saturating_sub(held.since) < lasts
        });
    }

    /// The node stood still for so long: suspects get that time anew.
    pub fn put_off(&mut self, by: Nanos) {
        for name in &self.suspects {
            if let Some(suspicion) = self.members.get_mut(name).and_then(|held| held.suspicion.as_mut()) {
                suspicion.put_off(by);
            }
        }
    }

    /// When the next suspect is given up.
    pub fn next_end(&self) -> Option<Nanos> {
        let ends =
            self.suspects.iter().filter_map(|name| Some(self.members.get(name)?.suspicion.as_ref()?.end()));
        ends.min()
    }
}
