//! What becomes of a datagram on its way.

use crate::Millis;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// One direction between two nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// The part of the datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// The least that a datagram takes, in milliseconds.
    pub delay: Millis,
    /// The most that it takes beyond that; nine in ten take less than a third of it (a heavy tail).
    pub jitter: Millis,
    /// The part that comes twice, the second time later.
    pub duplication: f64,
    /// Nothing gets through.
    pub blocked: bool,
}

/// All directions between any two nodes, by their numbers.
#[derive(Clone, Debug)]
pub struct Network {
    rng: Pcg64Mcg,
    all: LinkFaults,
    own: BTreeMap<(usize, usize), LinkFaults>,
}

impl Network {
    /// One that loses nothing; what it does is settled by the seed.
    pub fn new(seed: u64) -> Self {
        Network { rng: Pcg64Mcg::seed_from_u64(seed), all: LinkFaults::default(), own: BTreeMap::new() }
    }

    /// From 0 up to 1.
    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// All directions are like this now, but for those that are cut.
    pub fn set_all_links(&mut self, way: LinkFaults) {
        self.all = way;
    }

    /// One direction is like this.
    pub fn set_link(&mut self, from: usize, to: usize, way: LinkFaults) {
        self.own.insert((from, to), way);
    }

    /// Only members of one group hear each other. Who is in none hears nobody.
    pub fn partition(&mut self, groups: &[Vec<usize>], nodes: usize) {
        self.heal();
        let group = |node: usize| groups.iter().position(|group| group.contains(&node));
        for from in 0..nodes {
            for to in 0..nodes {
                if from != to && (group(from).is_none() || group(from) != group(to)) {
                    self.block(from, to);
                }
            }
        }
    }

    /// One direction is cut.
    pub fn block(&mut self, from: usize, to: usize) {
        self.own.insert((from, to), LinkFaults { blocked: true, ..self.all });
    }

    /// No direction is different from the others any longer.
    pub fn heal(&mut self) {
        self.own.clear();
    }

    /// When each copy of a datagram arrives, in milliseconds from now; none where it is lost.
    pub fn delivery_times(&mut self, from: usize, to: usize) -> Vec<Millis> {
        let way = self.own.get(&(from, to)).copied().unwrap_or(self.all);
        if way.blocked || (way.loss > 0.0 && self.draw() < way.loss) {
            return Vec::new();
        }
        let mut copies = vec![self.time(way)];
        if way.duplication > 0.0 && self.draw() < way.duplication {
            let again = self.time(way) + way.jitter;
            copies.push(again);
        }
        copies
    }

    fn time(&mut self, way: LinkFaults) -> Millis {
        // The square of the square keeps most of them short.
        let tail = if way.jitter > 0 { self.draw().powi(4) * way.jitter as f64 } else { 0.0 };
        way.delay + tail as Millis
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_direction_is_its_own_and_a_seed_settles_all() {
        let mut network = Network::new(1);
        assert_eq!(network.delivery_times(0, 1), [0]);
        network.block(0, 1);
        assert!(network.delivery_times(0, 1).is_empty() && network.delivery_times(1, 0) == [0]);
        network.partition(&[vec![0, 1], vec![2]], 4);
        assert!(
            network.delivery_times(0, 2).is_empty()
                && network.delivery_times(3, 0).is_empty()
                && network.delivery_times(1, 0) == [0]
        );
        network.heal();
        network.set_all_links(LinkFaults {
            loss: 0.3,
            delay: 10,
            jitter: 400,
            duplication: 0.1,
            blocked: false,
        });
        let mut play = |seed| {
            network.rng = Pcg64Mcg::seed_from_u64(seed);
            (0..2000).map(|_| network.delivery_times(0, 1)).collect::<Vec<_>>()
        };
        let first = play(5);
        assert_eq!(first, play(5));
        let lost = first.iter().filter(|copies| copies.is_empty()).count();
        let doubled = first.iter().filter(|copies| copies.len() == 2).count();
        let slow = first.iter().flatten().filter(|time| **time > 143).count();
        assert!((540..660).contains(&lost) && (90..200).contains(&doubled), "{lost} {doubled}");
        assert!(slow > 100 && first.iter().flatten().all(|time| (10..=810).contains(time)), "{slow}");
    }
}
