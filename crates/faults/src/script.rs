//! What is done when, in a form that a person can write and read.

use crate::{LinkFaults, Millis, Network};
use std::fmt;

/// One thing that is done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// All directions treat datagrams so.
    SetAllLinks(LinkFaults),
    /// Only nodes of one group hear each other.
    Partition(Vec<Vec<usize>>),
    /// Nothing gets from the first to the second.
    BlockLink(usize, usize),
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

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::SetAllLinks(way) => {
                let LinkFaults { loss, delay, jitter, duplication, .. } = way;
                write!(f, "everywhere {loss} lost, {delay} to {} ms, {duplication} doubled", delay + jitter)
            }
            Action::Partition(groups) => write!(f, "parted into {groups:?}"),
            Action::BlockLink(from, to) => write!(f, "cut from {from} to {to}"),
            Action::Heal => f.write_str("healed"),
            Action::Stall(node, ms) => write!(f, "{node} stands still for {ms} ms"),
            Action::Kill(node) => write!(f, "{node} is killed"),
            Action::Leave(node) => write!(f, "{node} leaves"),
            Action::Start(node) => write!(f, "{node} starts"),
        }
    }
}

/// Acts by their time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(Vec<(Millis, Action)>);

impl Script {
    /// Nothing yet.
    pub fn new() -> Self {
        Script::default()
    }

    /// Something is done at a time; of two at one time the earlier written comes first.
    #[must_use]
    pub fn at(mut self, time: Millis, act: Action) -> Self {
        let place = self.0.partition_point(|(earlier, _)| *earlier <= time);
        self.0.insert(place, (time, act));
        self
    }

    /// Each of several nodes in turn, so far apart from each other.
    #[must_use]
    pub fn staggered(
        self,
        from: Millis,
        apart: Millis,
        nodes: impl IntoIterator<Item = usize>,
        act: impl Fn(usize) -> Action,
    ) -> Self {
        let nodes = nodes.into_iter().enumerate();
        nodes.fold(self, |script, (k, node)| script.at(from + k as Millis * apart, act(node)))
    }

    /// What is done, by time.
    pub fn actions(&self) -> &[(Millis, Action)] {
        &self.0
    }

    /// When the last thing is over: a stall ends later than it begins.
    pub fn end(&self) -> Millis {
        let over = |(time, act): &(Millis, Action)| match act {
            Action::Stall(_, lasts) => time + lasts,
            _ => *time,
        };
        self.0.iter().map(over).max().unwrap_or(0)
    }

    /// Does what concerns the network; false for what is to be done with a node.
    pub fn apply_to_network(act: &Action, network: &mut Network, nodes: usize) -> bool {
        match act {
            Action::SetAllLinks(way) => network.set_all_links(*way),
            Action::Partition(groups) => network.partition(groups, nodes),
            Action::BlockLink(from, to) => network.block(*from, *to),
            Action::Heal => network.heal(),
            Action::Stall(..) | Action::Kill(_) | Action::Leave(_) | Action::Start(_) => return false,
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
            .at(500, Action::Heal)
            .at(0, Action::Stall(1, 900))
            .staggered(100, 50, [3, 4], Action::Kill)
            .at(100, Action::Partition(vec![vec![0], vec![1]]));
        let told: Vec<_> = script.actions().iter().map(|(time, act)| format!("{time} {act}")).collect();
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
