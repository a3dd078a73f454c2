//! Simulated links between nodes, which lose, delay, duplicate or block datagrams.

use crate::Millis;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Treatment of datagrams on one directed link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Probability that a datagram is lost, 0 to 1.
    pub loss: f64,
    /// Minimum delay.
    pub delay: Millis,
    /// Maximum additional delay, with a heavy tail: three in four datagrams get less than a third of it.
    pub jitter: Millis,
    /// Probability that a datagram is duplicated. The duplicate is delayed by a further `jitter`, so that it is
    /// never delivered before the first copy.
    pub duplication: f64,
    /// Whether all datagrams are lost.
    pub blocked: bool,
}

/// All directed links between nodes, which are identified by number.
#[derive(Clone, Debug)]
pub struct Network {
    rng: Pcg64Mcg,
    default_faults: LinkFaults,
    link_faults: BTreeMap<(usize, usize), LinkFaults>,
}

impl Network {
    /// A network without faults. Its random decisions depend only on the seed.
    pub fn new(seed: u64) -> Self {
        Network {
            rng: Pcg64Mcg::seed_from_u64(seed),
            default_faults: LinkFaults::default(),
            link_faults: BTreeMap::new(),
        }
    }

    /// A random number from 0 to below 1.
    fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Sets the faults of all links that have none of their own.
    pub fn set_all_links(&mut self, faults: LinkFaults) {
        self.default_faults = faults;
    }

    /// Sets the faults of one link.
    pub fn set_link(&mut self, from: usize, to: usize, faults: LinkFaults) {
        self.link_faults.insert((from, to), faults);
    }

    /// Heals all links, then blocks those between different groups. A node in no group is cut off entirely.
    pub fn partition(&mut self, groups: &[Vec<usize>], nodes: usize) {
        self.heal();
        let group_of = |node: usize| groups.iter().position(|group| group.contains(&node));
        for from in 0..nodes {
            for to in 0..nodes {
                if from != to && (group_of(from).is_none() || group_of(from) != group_of(to)) {
                    self.block_link(from, to);
                }
            }
        }
    }

    /// Blocks one link.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.link_faults.insert((from, to), LinkFaults { blocked: true, ..self.default_faults });
    }

    /// Removes the faults of single links, so that all links are treated alike again.
    pub fn heal(&mut self) {
        self.link_faults.clear();
    }

    /// The delay of each delivered copy of a datagram; empty if it is lost.
    pub fn delivery_delays(&mut self, from: usize, to: usize) -> Vec<Millis> {
        let faults = self.link_faults.get(&(from, to)).copied().unwrap_or(self.default_faults);
        if faults.blocked || (faults.loss > 0.0 && self.random_fraction() < faults.loss) {
            return Vec::new();
        }
        let mut delays = vec![self.random_delay(faults)];
        if faults.duplication > 0.0 && self.random_fraction() < faults.duplication {
            let duplicate = self.random_delay(faults) + faults.jitter;
            delays.push(duplicate);
        }
        delays
    }

    fn random_delay(&mut self, faults: LinkFaults) -> Millis {
        // The fourth power keeps most delays short.
        let tail =
            if faults.jitter > 0 { self.random_fraction().powi(4) * faults.jitter as f64 } else { 0.0 };
        faults.delay + tail as Millis
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn links_are_independent_and_a_seed_determines_all_deliveries() {
        let mut network = Network::new(1);
        assert_eq!(network.delivery_delays(0, 1), [0]);
        network.block_link(0, 1);
        assert!(network.delivery_delays(0, 1).is_empty() && network.delivery_delays(1, 0) == [0]);
        network.partition(&[vec![0, 1], vec![2]], 4);
        assert!(
            network.delivery_delays(0, 2).is_empty()
                && network.delivery_delays(3, 0).is_empty()
                && network.delivery_delays(1, 0) == [0]
        );
        network.heal();
        network.set_all_links(LinkFaults {
            loss: 0.3,
            delay: 10,
            jitter: 400,
            duplication: 0.1,
            blocked: false,
        });
        let mut delays = |seed| {
            network.rng = Pcg64Mcg::seed_from_u64(seed);
            (0..2000).map(|_| network.delivery_delays(0, 1)).collect::<Vec<_>>()
        };
        let first = delays(5);
        assert_eq!(first, delays(5));
        let lost = first.iter().filter(|copies| copies.is_empty()).count();
        let duplicated = first.iter().filter(|copies| copies.len() == 2).count();
        let slow = first.iter().flatten().filter(|delay| **delay > 143).count();
        assert!((540..660).contains(&lost) && (90..200).contains(&duplicated), "{lost} {duplicated}");
        assert!(slow > 100 && first.iter().flatten().all(|delay| (10..=810).contains(delay)), "{slow}");
    }
}
