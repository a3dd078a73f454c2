//! Timed fault scripts.

use crate::{LinkFaults, Millis, Network};
use std::fmt;

/// An action on the network or on one node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the faults of all links that have none of their own.
    SetAllLinks(LinkFaults),
    /// Heals all links, then blocks those between different groups.
    Partition(Vec<Vec<usize>>),
    /// Blocks the link from the first node to the second.
    BlockLink(usize, usize),
    /// Removes the faults of single links, including blocks.
    Heal,
    /// Suspends a node for this long; it then resumes with its state unchanged.
    Stall(usize, Millis),
    /// Ends a node without notice to the others.
    Kill(usize),
    /// Ends a node after it has announced that it leaves.
    Leave(usize),
    /// Starts a node without any earlier state.
    Start(usize),
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::SetAllLinks(faults) => {
                let LinkFaults { loss, delay, jitter, duplication, .. } = faults;
                write!(
                    f,
                    "all links: loss {loss}, delay {delay} to {} ms, duplication {duplication}",
                    delay + jitter
                )
            }
            Action::Partition(groups) => write!(f, "network partitioned into {groups:?}"),
            Action::BlockLink(from, to) => write!(f, "link from {from} to {to} blocked"),
            Action::Heal => f.write_str("network healed"),
            Action::Stall(node, ms) => write!(f, "node {node} stalled for {ms} ms"),
            Action::Kill(node) => write!(f, "node {node} killed"),
            Action::Leave(node) => write!(f, "node {node} leaves"),
            Action::Start(node) => write!(f, "node {node} starts"),
        }
    }
}

/// Actions in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(Vec<(Millis, Action)>);

impl Script {
    /// An empty script.
    pub fn new() -> Self {
        Script::default()
    }

    /// Adds an action at a time, after those already added for the same time.
    #[must_use]
    pub fn at(mut self, time: Millis, action: Action) -> Self {
        let index = self.0.partition_point(|(earlier, _)| *earlier <= time);
        self.0.insert(index, (time, action));
        self
    }

    /// Adds an action for each node in turn, the first at `start`, with `interval` between them.
    #[must_use]
    pub fn staggered(
        self,
        start: Millis,
        interval: Millis,
        nodes: impl IntoIterator<Item = usize>,
        action: impl Fn(usize) -> Action,
    ) -> Self {
        let nodes = nodes.into_iter().enumerate();
        nodes.fold(self, |script, (index, node)| script.at(start + index as Millis * interval, action(node)))
    }

    /// All actions with their times, in order.
    pub fn actions(&self) -> &[(Millis, Action)] {
        &self.0
    }

    /// When the last action is over: a stall lasts for its duration, any other action takes no time.
    pub fn end(&self) -> Millis {
        let end_of = |(time, action): &(Millis, Action)| match action {
            Action::Stall(_, duration) => time + duration,
            _ => *time,
        };
        self.0.iter().map(end_of).max().unwrap_or(0)
    }

    /// Applies an action on the network. Returns false for an action on a node, which is left to the caller.
    pub fn apply_to_network(action: &Action, network: &mut Network, nodes: usize) -> bool {
        match action {
            Action::SetAllLinks(faults) => network.set_all_links(*faults),
            Action::Partition(groups) => network.partition(groups, nodes),
            Action::BlockLink(from, to) => network.block_link(*from, *to),
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
    fn actions_are_ordered_by_time() {
        let script = Script::new()
            .at(500, Action::Heal)
            .at(0, Action::Stall(1, 900))
            .staggered(100, 50, [3, 4], Action::Kill)
            .at(100, Action::Partition(vec![vec![0], vec![1]]));
        let lines: Vec<_> =
            script.actions().iter().map(|(time, action)| format!("{time} {action}")).collect();
        let expected = [
            "0 node 1 stalled for 900 ms",
            "100 node 3 killed",
            "100 network partitioned into [[0], [1]]",
            "150 node 4 killed",
            "500 network healed",
        ];
        assert_eq!(lines, expected);
        assert_eq!(script.end(), 900);
    }
}
