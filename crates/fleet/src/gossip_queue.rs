//! What is to be passed on: each claim a bounded number of times, on whatever is sent anyway and on datagrams of its own.

use crate::member::Claim;
use std::collections::{BTreeMap, VecDeque};

struct Rumour {
    name: String,
    number: u64,
    bytes: Vec<u8>,
    told: u32,
}

/// Claims under way, what was told least in front.
#[derive(Default)]
pub struct Rumours {
    queue: VecDeque<Rumour>,
    /// By member, the one claim that is still passed on: older ones are dropped as they come up.
    latest: BTreeMap<String, u64>,
    count: u64,
}

impl Rumours {
    /// Passes a claim on; an older one on the same member is not passed on any longer.
    pub fn spread(&mut self, claim: &Claim) {
        // A claim is sound and small: it can be written.
        if let Ok(bytes) = postcard::to_stdvec(claim) {
            let name = claim.record.name.clone();
            self.count += 1;
            self.latest.insert(name.clone(), self.count);
            self.queue.push_front(Rumour { name, number: self.count, bytes, told: 0 });
        }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Fills a datagram up to its size. Each claim is told `most` times.
    pub fn fill(&mut self, datagram: &mut Vec<u8>, size: usize, most: u32) {
        for _ in 0..self.queue.len() {
            let Some(rumour) = self.queue.front_mut() else { return };
            let stands = self.latest.get(&rumour.name) == Some(&rumour.number);
            if stands && datagram.len() + rumour.bytes.len() > size {
                return;
            }
            let Some(mut rumour) = self.queue.pop_front() else { return };
            if !stands {
                continue;
            }
            datagram.extend(&rumour.bytes);
            rumour.told += 1;
            if rumour.told < most {
                self.queue.push_back(rumour);
            } else {
                self.latest.remove(&rumour.name);
            }
        }
    }
}

/// In a small fleet, and where only some reach each other, many of them go back to who told it, or to nobody.
const LEAST_TIMES: u32 = 10;

/// How often each claim is told in a fleet of so many: it reaches all but a few, which the comparison of digests finds.
pub fn times(members: usize) -> u32 {
    (usize::BITS - members.leading_zeros() + 2).max(LEAST_TIMES)
}
