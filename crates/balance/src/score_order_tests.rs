//! Compares `ScoreOrder` with a plain sorted list.

use super::*;
use rand_core::{RngCore, SeedableRng};

/// Reference implementation: a list in which entries swap places with their neighbours.
#[derive(Default)]
struct SortedList(Vec<(f64, usize)>);

impl SortedList {
    fn restore_order(&mut self, mut at: usize) {
        while at > 0 && self.0[at - 1].0 < self.0[at].0 {
            self.0.swap(at - 1, at);
            at -= 1;
        }
        while at + 1 < self.0.len() && self.0[at + 1].0 > self.0[at].0 {
            self.0.swap(at + 1, at);
            at += 1;
        }
    }
}

#[test]
fn matches_a_sorted_list() {
    for (seed, servers) in [(1, 3), (2, 40), (3, 700), (4, 2500)] {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let (mut list, mut order) = (SortedList::default(), ScoreOrder::default());
        let mut pick = |bound: usize| (rng.next_u64() % bound as u64) as usize;
        for step in 0..30_000 {
            let server = pick(servers);
            match list.0.iter().position(|entry| entry.1 == server) {
                None => {
                    list.0.push((0.0, server));
                    list.restore_order(list.0.len() - 1);
                    order.insert(server, 0.0);
                }
                Some(at) if pick(50) == 0 || (step / 5000 == 3 && list.0.len() > 2) => {
                    list.0.remove(at);
                    order.remove(server);
                }
                Some(at) => {
                    // Few different increments, so that many scores are equal; one is too small to change a
                    // score.
                    let change = [1.0, 1.0, 2.0, 0.0, -1.0, 1e-30][pick(6)];
                    let old = list.0[at].0;
                    list.0[at].0 += change;
                    list.restore_order(at);
                    order.update_score(server, old, old + change);
                }
            }
            if step % 997 == 0 {
                list.0.iter_mut().for_each(|entry| entry.0 /= 2.0);
                order.divide_scores(2.0);
            }
            let index = pick(servers);
            assert_eq!(order.len(), list.0.len());
            assert_eq!(order.rank(index), list.0.iter().position(|entry| entry.1 == index), "step {step}");
            if let Some(entry) = list.0.get(index) {
                assert_eq!(order.get(index), entry.1, "step {step}");
            }
            if step % 101 == 0 {
                assert!(order.iter().eq(list.0.iter().map(|entry| entry.1)), "step {step}");
            }
        }
        assert!(order.chunks.len() <= 2 + 2 * servers / MERGE_BELOW_LEN, "{} chunks", order.chunks.len());
    }
}
