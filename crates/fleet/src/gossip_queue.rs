//! Dissemination of claims: each is sent a limited number of times, piggybacked on other datagrams or in
//! gossip datagrams.

use crate::member::Claim;
use std::collections::{BTreeMap, VecDeque};

struct QueuedClaim {
    member: String,
    number: u64,
    encoded: Vec<u8>,
    transmissions: u32,
}

/// Claims to disseminate; those with the fewest transmissions are in front.
#[derive(Default)]
pub struct GossipQueue {
    queue: VecDeque<QueuedClaim>,
    /// The number of the newest claim on each member: superseded claims are dropped when they reach the
    /// front.
    latest: BTreeMap<String, u64>,
    last_number: u64,
}

impl GossipQueue {
    /// Queues a claim, which supersedes any queued claim on the same member.
    pub fn push(&mut self, claim: &Claim) {
        // Encoding a valid claim cannot fail.
        if let Ok(encoded) = postcard::to_stdvec(claim) {
            let member = claim.record.name.clone();
            self.last_number += 1;
            self.latest.insert(member.clone(), self.last_number);
            self.queue.push_front(QueuedClaim {
                member,
                number: self.last_number,
                encoded,
                transmissions: 0,
            });
        }
    }

    /// Whether no claim is left to send.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Appends queued claims to a datagram while it stays within `max_bytes`. A claim leaves the queue after
    /// `max_transmissions`.
    pub fn append_claims(&mut self, datagram: &mut Vec<u8>, max_bytes: usize, max_transmissions: u32) {
        for _ in 0..self.queue.len() {
            let Some(claim) = self.queue.front_mut() else { return };
            let is_latest = self.latest.get(&claim.member) == Some(&claim.number);
            if is_latest && datagram.len() + claim.encoded.len() > max_bytes {
                return;
            }
            let Some(mut claim) = self.queue.pop_front() else { return };
            if !is_latest {
                continue;
            }
            datagram.extend(&claim.encoded);
            claim.transmissions += 1;
            if claim.transmissions < max_transmissions {
                self.queue.push_back(claim);
            } else {
                self.latest.remove(&claim.member);
            }
        }
    }
}

/// Lower bound for small fleets and partial connectivity, where many transmissions reach the claim's source
/// or nobody.
const MIN_TRANSMISSIONS: u32 = 10;

/// How often each claim is sent in a fleet of this size: enough to reach nearly all members; anti-entropy
/// reaches the rest.
pub fn max_transmissions(members: usize) -> u32 {
    (usize::BITS - members.leading_zeros() + 2).max(MIN_TRANSMISSIONS)
}
