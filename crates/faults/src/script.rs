//! What is done when, in a form that a person can write and read.

use crate::{Millis, Network, Way};
use std::fmt;

/// One thing that is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// All directions treat datagrams so.
    All(Way),
    /// Only nodes of one group hear each other.
    Part(Vec<Vec<usize>>),
    /// Nothing gets from the first to the second.
    Cut(usize, usize),
    /// Nothing is cut any longer.
    Heal,
    /// A node stands still for so long, and goes on as if nothing had been.
    Stall(usize, Millis),
    /// A node ends without a word.
    Kill(usize),
    /// A node says that it leaves, and ends.
    Leave(usize),
    /// A node starts, with nothing but its name.
    Start(usize),
}

impl fmt::Display for Act {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Act::All(way) => {
                let Way { loss, delay, jitter, doubled, .. } = way;
                write!(f, "everywhere {loss} lost, {delay} to {} ms, {doubled} doubled", delay + jitter)
            }
            Act::Part(groups) => write!(f, "parted into {groups:?}"),
            Act::Cut(from, to) => write!(f, "cut from {from} to {to}"),
            Act::Heal => f.write_str("healed"),
            Act::Stall(node, ms) => write!(f, "{node} stands still for {ms} ms"),
            Act::Kill(node) => write!(f, "{node} is killed"),
            Act::Leave(node) => write!(f, "{node} leaves"),
            Act::Start(node) => write!(f, "{node} starts"),
        }
    }
}

/// Acts by their time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(Vec<(Millis, Act)>);

impl Script {
    /// Nothing yet.
    pub fn new() -> Self {
        Script::default()
    }

    /// Something is done at a time; of two at one time the earlier written comes first.
    #[must_use]
    pub fn at(mut self, time: Millis, act: Act) -> Self {
        let place = self.0.partition_point(|(earlier, _)| *earlier <= time);
        self.0.insert(place, (time, act));
        self
    }

    /// Each of several nodes in turn, so far apart from each other.
    #[must_use]
    pub fn each(
        self,
        from: Millis,
        apart: Millis,
        nodes: impl IntoIterator<Item = usize>,
        act: impl Fn(usize) -> Act,
    ) -> Self {
        let nodes = nodes.into_iter().enumerate();
        nodes.fold(self, |script, (k, node)| script.at(from + k as Millis * apart, act(node)))
    }

    /// What is done, by time.
    pub fn acts(&self) -> &[(Millis, Act)] {
        &self.0
    }

    /// When the last thing is over: a stall ends later than it begins.
    pub fn end(&self) -> Millis {
        let over = |(time, act): &(Millis, Act)| match act {
            Act::Stall(_, lasts) => time + lasts,
            _ => *time,
        };
        self.0.iter().map(over).max().unwrap_or(0)
    }

    /// Does what concerns the network; false for what is to be done with a node.
    pub fn on_network(act: &Act, network: &mut Network, nodes: usize) -> bool {
        match act {
            Act::All(way) => network.set_all(*way),
            Act::Part(groups) => network.part(groups, nodes),
            Act::Cut(from, to) => network.cut(*from, *to),
            Act::Heal => network.heal(),
            Act::Stall(..) | Act::Kill(_) | Act::Leave(_) | Act::Start(_) => return false,
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn acts_come_by_time() {
        let script = Script::new()
            .at(500, Act::Heal)
            .at(0, Act::Stall(1, 900))
            .each(100, 50, [3, 4], Act::Kill)
            .at(100, Act::Part(vec![vec![0], vec![1]]));
        let told: Vec<_> = script.acts().iter().map(|(time, act)| format!("{time} {act}")).collect();
        let expected = [
            "0 1 stands still for 900 ms",
            "100 3 is killed",
            "100 parted into [[0], [1]]",
            "150 4 is killed",
            "500 healed",
        ];
        assert_eq!(told, expected);
        assert_eq!(script.end(), 900);
    }
}
