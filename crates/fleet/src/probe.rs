//! Whom to probe next, and the probe under way.

use crate::Nanos;
use rand_core::RngCore;
use std::net::SocketAddr;

/// A number below `below`, which is not 0.
pub(crate) fn draw(rng: &mut impl RngCore, below: usize) -> usize {
    ((u128::from(rng.next_u64()) * below as u128) >> 64) as usize
}

/// Picks up to `count` of the items, each as likely as any other.
pub(crate) fn pick<T>(rng: &mut impl RngCore, mut from: Vec<T>, count: usize) -> Vec<T> {
    for at in 0..count.min(from.len()) {
        let other = at + draw(rng, from.len() - at);
        from.swap(at, other);
    }
    from.truncate(count);
    from
}

/// Every member in turn, in an order that is drawn anew for each round: the time until a dead one is probed is bounded.
#[derive(Default)]
pub struct Turns(Vec<String>);

impl Turns {
    /// The next name; none where there are none.
    pub fn next<'n>(
        &mut self,
        rng: &mut impl RngCore,
        names: impl Fn() -> Vec<&'n str>,
        there: impl Fn(&str) -> bool,
    ) -> Option<String> {
        for _ in 0..2 {
            while let Some(name) = self.0.pop() {
                if there(&name) {
                    return Some(name);
                }
            }
            let all = names();
            let count = all.len();
            self.0 = pick(rng, all, count).into_iter().map(str::to_owned).collect();
        }
        None
    }

    /// This one's turn comes next.
    pub fn first(&mut self, name: &str) {
        self.0.retain(|other| other != name);
        self.0.push(name.to_owned());
    }

    /// A new member comes at a place of its own in this round.
    pub fn join(&mut self, rng: &mut impl RngCore, name: &str) {
        let at = draw(rng, self.0.len() + 1);
        self.0.insert(at, name.to_owned());
    }
}

/// The probe under way.
pub struct Probe {
    /// Who is probed.
    pub name: String,
    /// At which incarnation.
    pub incarnation: u64,
    /// What its answer has to name.
    pub seq: u32,
    /// When others are asked to try; none once they have been.
    pub ask_others: Option<Nanos>,
    /// When it has failed.
    pub end: Nanos,
    /// Others that were asked.
    pub helpers: u32,
    /// Of these, those that have at least said that they could not reach it either.
    pub nacks: u32,
}

/// A probe for somebody else.
pub struct Relay {
    /// What the asker wants its answer to name.
    pub asked: u32,
    /// Who asked, and where it is reached.
    pub asker: (String, SocketAddr),
    /// When it is told that nothing has come.
    pub nack_at: Nanos,
}
