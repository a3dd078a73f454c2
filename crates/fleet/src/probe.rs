//! Selection of probe targets, and the state of probes in progress.

use crate::Nanos;
use rand_core::RngCore;
use std::net::SocketAddr;

/// Returns a random number below `bound`, which must not be 0.
pub(crate) fn random_below(rng: &mut impl RngCore, bound: usize) -> usize {
    ((u128::from(rng.next_u64()) * bound as u128) >> 64) as usize
}

/// Returns up to `count` of the items, chosen uniformly without replacement, in random order.
pub(crate) fn sample<T>(rng: &mut impl RngCore, mut items: Vec<T>, count: usize) -> Vec<T> {
    for index in 0..count.min(items.len()) {
        let other = index + random_below(rng, items.len() - index);
        items.swap(index, other);
    }
    items.truncate(count);
    items
}

/// Round-robin over the members in an order that is shuffled for each round, which bounds the time until a
/// dead member is probed. Holds the names that remain in this round, the next one last.
#[derive(Default)]
pub struct ProbeSchedule(Vec<String>);

impl ProbeSchedule {
    /// The next member to probe, or `None` if no member is present.
    pub fn next_target<'n>(
        &mut self,
        rng: &mut impl RngCore,
        names: impl Fn() -> Vec<&'n str>,
        is_present: impl Fn(&str) -> bool,
    ) -> Option<String> {
        for _ in 0..2 {
            while let Some(name) = self.0.pop() {
                if is_present(&name) {
                    return Some(name);
                }
            }
            let all_names = names();
            let count = all_names.len();
            self.0 = sample(rng, all_names, count).into_iter().map(str::to_owned).collect();
        }
        None
    }

    /// Makes a member the next target.
    pub fn prioritize(&mut self, name: &str) {
        self.0.retain(|other| other != name);
        self.0.push(name.to_owned());
    }

    /// Inserts a new member at a random position of this round.
    pub fn insert(&mut self, rng: &mut impl RngCore, name: &str) {
        let index = random_below(rng, self.0.len() + 1);
        self.0.insert(index, name.to_owned());
    }
}

/// The probe in progress.
pub struct Probe {
    /// Name of the probed member.
    pub target: String,
    /// Incarnation of the target when the probe started.
    pub incarnation: u64,
    /// Sequence number that the ack must carry.
    pub seq: u32,
    /// When indirect probes are requested; `None` once they have been.
    pub indirect_at: Option<Nanos>,
    /// When the probe fails.
    pub deadline: Nanos,
    /// Number of members that were asked for an indirect probe.
    pub indirect_probes: u32,
    /// Number of these that replied with a nack.
    pub nacks: u32,
}

/// An indirect probe on behalf of another member.
pub struct RelayedProbe {
    /// Sequence number of the requester's probe, which the ack or nack to it carries.
    pub requester_seq: u32,
    /// Name and address of the requester.
    pub requester: (String, SocketAddr),
    /// When the requester is sent a nack unless the target has answered.
    pub nack_at: Nanos,
}
