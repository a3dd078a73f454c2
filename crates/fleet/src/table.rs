//! The other members, and the digests by which two nodes find the differences between their views.

use crate::member::{Claim, MemberRecord, MemberState};
use crate::suspicion::Suspicion;
use crate::wire::DIGEST_BUCKETS;
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of members in the table, dead and left ones included. The one that departed first makes
/// room.
pub const MAX_MEMBERS: usize = 4096;
/// Dead members are kept so that late datagrams cannot revive them, and to contact them again after a
/// partition.
const DEAD_RETENTION: Nanos = 24 * 3_600_000_000_000;
/// Left members are kept so that late datagrams cannot revive them.
const LEFT_RETENTION: Nanos = 600_000_000_000;

/// What the node knows of one member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The accepted claim.
    pub claim: Claim,
    /// When the member entered its state.
    pub state_since: Nanos,
    /// When a datagram from the member last arrived; 0 for never.
    pub last_heard_at: Nanos,
    /// The view digest in the member's last datagram.
    pub view_digest: Option<u64>,
    /// The running suspicion while the member is suspect.
    pub suspicion: Option<Suspicion>,
}

/// All other members by name. The digests also cover the node itself.
#[derive(Default)]
pub struct MemberTable {
    members: BTreeMap<String, MemberEntry>,
    suspects: BTreeSet<String>,
    digests: [u64; DIGEST_BUCKETS],
    present_count: usize,
}

/// The digest bucket of a member's name, and the hash that the record adds to the bucket while the member is
/// present.
fn bucket_and_hash(record: &MemberRecord) -> (usize, u64) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.name.as_bytes());
    let bucket = usize::from(hasher.finalize().as_bytes()[0]) % DIGEST_BUCKETS;
    hasher.update(&[0]);
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&record.instance_id.to_le_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    (bucket, u64::from_le_bytes(bytes))
}

impl MemberTable {
    /// Adds a record to the digests or removes it. Called from outside only for the node's own record, which
    /// is not in the table.
    pub fn update_digest(&mut self, record: &MemberRecord, is_present: bool) {
        let (bucket, hash) = bucket_and_hash(record);
        let digest = &mut self.digests[bucket];
        *digest = if is_present { digest.wrapping_add(hash) } else { digest.wrapping_sub(hash) };
    }

    /// The digest of the whole view: equal where the present members, their incarnations and their instances
    /// are equal.
    pub fn view_digest(&self) -> u64 {
        self.digests.iter().fold(0, |sum, digest| sum.rotate_left(7) ^ digest)
    }

    /// The digests of all buckets, as they are sent.
    pub fn bucket_digests(&self) -> [u32; DIGEST_BUCKETS] {
        self.digests.map(|digest| (digest ^ (digest >> 32)) as u32)
    }

    /// All claims on members in buckets whose digests differ from the given ones.
    pub fn claims_in_differing_buckets(
        &self,
        digests: &[u32; DIGEST_BUCKETS],
    ) -> impl Iterator<Item = &Claim> {
        let differs: Vec<_> =
            self.bucket_digests().iter().zip(digests).map(|(own, other)| own != other).collect();
        self.members
            .values()
            .map(|entry| &entry.claim)
            .filter(move |claim| differs[bucket_and_hash(&claim.record).0])
    }

    /// Looks up a member by name.
    pub fn get(&self, name: &str) -> Option<&MemberEntry> {
        self.members.get(name)
    }

    /// Looks up a member to change anything but its claim, which [`MemberTable::put`] replaces.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut MemberEntry> {
        self.members.get_mut(name)
    }

    /// All other members, by name.
    pub fn all(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// The other members that are present, by name.
    pub fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|entry| entry.claim.state.is_present())
    }

    /// Number of other members that are present.
    pub fn present_count(&self) -> usize {
        self.present_count
    }

    /// Names of the suspect members.
    pub fn suspects(&self) -> &BTreeSet<String> {
        &self.suspects
    }

    /// Stores a claim in place of any former one on the member, whatever its precedence. Returns false if the
    /// table is full of present members.
    pub fn put(&mut self, now: Nanos, claim: Claim, suspicion: Option<Suspicion>) -> bool {
        let name = claim.record.name.clone();
        if !self.members.contains_key(&name)
            && self.members.len() >= MAX_MEMBERS
            && !self.evict_longest_departed()
        {
            return false;
        }
        let state = claim.state;
        let previous = self.members.get(&name).cloned();
        if let Some(previous) = previous.as_ref().filter(|previous| previous.claim.state.is_present()) {
            self.update_digest(&previous.claim.record, false);
            self.present_count -= 1;
        }
        if state.is_present() {
            self.update_digest(&claim.record, true);
            self.present_count += 1;
        }
        match state {
            MemberState::Suspect => self.suspects.insert(name.clone()),
            _ => self.suspects.remove(&name),
        };
        let (mut state_since, mut last_heard_at, mut view_digest) = (now, 0, None);
        if let Some(previous) =
            previous.filter(|previous| previous.claim.record.instance_id == claim.record.instance_id)
        {
            (last_heard_at, view_digest) = (previous.last_heard_at, previous.view_digest);
            if previous.claim.state == state {
                state_since = previous.state_since;
            }
        }
        self.members.insert(name, MemberEntry { claim, state_since, last_heard_at, view_digest, suspicion });
        true
    }

    fn evict_longest_departed(&mut self) -> bool {
        let departed = self.members.iter().filter(|(_, entry)| !entry.claim.state.is_present());
        let name = departed.min_by_key(|(_, entry)| entry.state_since).map(|(name, _)| name.clone());
        name.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Removes dead and left members whose retention has expired.
    pub fn reap(&mut self, now: Nanos) {
        self.members.retain(|_, entry| {
            let retention = match entry.claim.state {
                MemberState::Alive | MemberState::Suspect => return true,
                MemberState::Dead => DEAD_RETENTION,
                MemberState::Left => LEFT_RETENTION,
            };
            now.saturating_sub(entry.state_since) < retention
        });
    }

    /// Postpones all suspicion deadlines by the time during which this node was stalled.
    pub fn postpone_suspicions(&mut self, stall: Nanos) {
        for name in &self.suspects {
            if let Some(suspicion) = self.members.get_mut(name).and_then(|entry| entry.suspicion.as_mut()) {
                suspicion.postpone(stall);
            }
        }
    }

    /// The earliest suspicion deadline.
    pub fn next_suspicion_deadline(&self) -> Option<Nanos> {
        let deadlines = self
            .suspects
            .iter()
            .filter_map(|name| Some(self.members.get(name)?.suspicion.as_ref()?.deadline()));
        deadlines.min()
    }
}
