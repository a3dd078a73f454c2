//! Servers in the order of their scores, with quick moves in a large fleet.
//!
//! The order is cut into short runs: a move shifts the members of two runs and the counts before the runs
//! between them, where one long list would shift every server that it passes.

/// A run longer than this is cut in two.
const LONGEST: usize = 128;
/// Neighbours shorter than this together are joined.
const SHORT: usize = 32;
const NONE: u32 = u32::MAX;

#[derive(Clone, Debug, Default)]
struct Run {
    /// Scores and nodes, greatest first.
    members: Vec<(f64, u32)>,
    /// Where the run stands among the runs.
    at: usize,
}

/// Nodes by their index, greatest score first. A node that gains stands behind its equals, one that loses
/// before them.
#[derive(Clone, Debug, Default)]
pub(super) struct Order {
    runs: Vec<Run>,
    /// Runs out of use, to be used again.
    spare: Vec<u32>,
    /// Runs in their order.
    sequence: Vec<u32>,
    /// How many nodes stand before each run of the sequence.
    starts: Vec<usize>,
    /// The run of each node.
    home: Vec<u32>,
    len: usize,
}

impl Order {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn holds(&self, node: usize) -> bool {
        self.home.get(node).is_some_and(|run| *run != NONE)
    }

    /// The node at a place, counted from 0, below the length.
    pub(super) fn get(&self, place: usize) -> usize {
        let at = self.starts.partition_point(|start| *start <= place) - 1;
        self.run(at).members[place - self.starts[at]].1 as usize
    }

    /// A node's place, where it has one.
    pub(super) fn place(&self, node: usize) -> Option<usize> {
        let run = &self.runs[*self.home.get(node).filter(|run| **run != NONE)? as usize];
        let within = run.members.iter().position(|m| m.1 as usize == node)?;
        Some(self.starts[run.at] + within)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let runs = self.sequence.iter().map(|run| &self.runs[*run as usize]);
        runs.flat_map(|run| run.members.iter().map(|m| m.1 as usize))
    }

    /// Adds a node that is not there, behind its equals.
    pub(super) fn insert(&mut self, node: usize, score: f64) {
        self.put(node, score, |other| other >= score);
    }

    pub(super) fn remove(&mut self, node: usize) {
        if self.holds(node) {
            let run = &mut self.runs[self.home[node] as usize];
            run.members.retain(|m| m.1 as usize != node);
            let at = run.at;
            self.left(node, at);
        }
    }

    /// A node has been taken out of the run at this place.
    fn left(&mut self, node: usize, at: usize) {
        self.home[node] = NONE;
        self.len -= 1;
        self.starts[at + 1..].iter_mut().for_each(|start| *start -= 1);
        self.join(at);
    }

    /// Moves a node to where its new score puts it.
    pub(super) fn change(&mut self, node: usize, from: f64, to: f64) {
        if from == to || !self.holds(node) {
            return;
        }
        let run = &mut self.runs[self.home[node] as usize];
        let (at, members) = (run.at, &mut run.members);
        // Its equals stand with it.
        let first = members.partition_point(|m| m.0 > from);
        let Some(now) = (first..members.len()).find(|&k| members[k].1 as usize == node) else { return };
        let (new, last) = if to > from {
            (members[..now].partition_point(|m| m.0 >= to), 0)
        } else {
            (now + members[now + 1..].partition_point(|m| m.0 > to), members.len() - 1)
        };
        if new != last {
            // Most moves are short, and end where a neighbour in the same run stops them.
            match now < new {
                true => members.copy_within(now + 1..new + 1, now),
                false => members.copy_within(new..now, new + 1),
            }
            members[new] = (to, node as u32);
        } else {
            members.remove(now);
            self.left(node, at);
            self.put(node, to, |other| if to > from { other >= to } else { other > to });
        }
    }

    /// Divides all scores.
    pub(super) fn shrink(&mut self, by: f64) {
        self.runs.iter_mut().flat_map(|run| &mut run.members).for_each(|m| m.0 /= by);
    }

    fn run(&self, at: usize) -> &Run {
        &self.runs[self.sequence[at] as usize]
    }

    /// Puts a node behind all whose score says so.
    fn put(&mut self, node: usize, score: f64, before: impl Fn(f64) -> bool) {
        if self.sequence.is_empty() {
            self.open(0, Vec::new());
        }
        // The last run that begins before it: where it stands there is where it stands in all.
        let first = |run: &u32| self.runs[*run as usize].members.first().is_some_and(|m| before(m.0));
        let at = self.sequence.partition_point(first).saturating_sub(1);
        let id = self.sequence[at];
        let run = &mut self.runs[id as usize];
        let within = run.members.partition_point(|m| before(m.0));
        run.members.insert(within, (score, node as u32));
        let long = run.members.len() > LONGEST;
        if self.home.len() <= node {
            self.home.resize(node + 1, NONE);
        }
        self.home[node] = id;
        self.len += 1;
        self.starts[at + 1..].iter_mut().for_each(|start| *start += 1);
        if long {
            let rest = self.runs[id as usize].members.split_off(LONGEST / 2);
            self.open(at + 1, rest);
        }
    }

    /// Opens a run with members that have left the one before it.
    fn open(&mut self, at: usize, members: Vec<(f64, u32)>) {
        let id = self.spare.pop().unwrap_or(self.runs.len() as u32);
        if id as usize == self.runs.len() {
            self.runs.push(Run::default());
        }
        members.iter().for_each(|m| self.home[m.1 as usize] = id);
        let start = if at == 0 { 0 } else { self.starts[at - 1] + self.run(at - 1).members.len() };
        self.runs[id as usize].members = members;
        self.sequence.insert(at, id);
        self.starts.insert(at, start);
        self.number(at);
    }

    /// Closes a run that has grown short: what it has goes to the one before it.
    fn join(&mut self, at: usize) {
        let (mine, others) =
            (self.run(at).members.len(), at.checked_sub(1).map(|b| self.run(b).members.len()));
        let Some(others) = others.filter(|o| o + mine < SHORT).or((mine == 0).then_some(0)) else { return };
        let id = self.sequence.remove(at);
        self.starts.remove(at);
        let members = std::mem::take(&mut self.runs[id as usize].members);
        self.spare.push(id);
        debug_assert!(members.is_empty() || others < SHORT);
        if !members.is_empty() {
            let before = self.sequence[at - 1];
            members.iter().for_each(|m| self.home[m.1 as usize] = before);
            self.runs[before as usize].members.extend(members);
        }
        self.number(at);
    }

    fn number(&mut self, from: usize) {
        for at in from..self.sequence.len() {
            self.runs[self.sequence[at] as usize].at = at;
        }
    }
}

#[cfg(test)]
#[path = "../score_order_tests.rs"]
mod tests;
