//! The order of servers beside one plain list.

use super::*;
use rand_core::{RngCore, SeedableRng};

/// What it has to be: one list in which a node steps past its neighbours.
#[derive(Default)]
struct Plain(Vec<(f64, usize)>);

impl Plain {
    fn settle(&mut self, mut at: usize) {
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
fn it_is_the_plain_list() {
    for (seed, nodes) in [(1, 3), (2, 40), (3, 700), (4, 2500)] {
        let mut draw = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let (mut plain, mut order) = (Plain::default(), Order::default());
        let mut pick = |below: usize| (draw.next_u64() % below as u64) as usize;
        for step in 0..30_000 {
            let node = pick(nodes);
            match plain.0.iter().position(|m| m.1 == node) {
                None => {
                    plain.0.push((0.0, node));
                    plain.settle(plain.0.len() - 1);
                    order.insert(node, 0.0);
                }
                Some(at) if pick(50) == 0 || (step / 5000 == 3 && plain.0.len() > 2) => {
                    plain.0.remove(at);
                    order.remove(node);
                }
                Some(at) => {
                    // Few different steps, so that many are equal; some too small to count.
                    let by = [1.0, 1.0, 2.0, 0.0, -1.0, 1e-30][pick(6)];
                    let old = plain.0[at].0;
                    plain.0[at].0 += by;
                    plain.settle(at);
                    order.change(node, old, old + by);
                }
            }
            if step % 997 == 0 {
                plain.0.iter_mut().for_each(|m| m.0 /= 2.0);
                order.shrink(2.0);
            }
            let place = pick(nodes);
            assert_eq!(order.len(), plain.0.len());
            assert_eq!(order.place(place), plain.0.iter().position(|m| m.1 == place), "step {step}");
            if let Some(m) = plain.0.get(place) {
                assert_eq!(order.get(place), m.1, "step {step}");
            }
            if step % 101 == 0 {
                assert!(order.iter().eq(plain.0.iter().map(|m| m.1)), "step {step}");
            }
        }
        assert!(order.runs.len() <= 2 + 2 * nodes / SHORT, "{} runs", order.runs.len());
    }
}
