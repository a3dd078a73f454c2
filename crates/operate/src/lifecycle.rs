//! The life of a node: whether it says that it is up, keeps clients' connections and takes new ones.

use corkhollow_balance::interface::Nanos;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// New connections go on coming for a while after the front has been told, and are answered as long.
const STILL_COME: Nanos = 500_000_000;
/// One that has just come is about to ask: it does not count as idle for this long.
const FRESH: Nanos = 150_000_000;

/// What a leaving node has taken is answered so long before it has to be gone: an answer has to be written, and whoever ends
/// the process goes by a clock of its own.
const ANSWERED: Nanos = 50_000_000;

/// Where a node stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It takes requests. Whether it is up depends on whether it knows its servers.
    Serving,
    /// The operator empties it, until it is told to resume.
    Draining {
        /// Since when.
        since: Nanos,
    },
    /// It ends.
    Leaving {
        /// Since when.
        since: Nanos,
        /// Another process takes new connections from the same socket.
        succeeded: bool,
    },
}

/// The life of one node. All times are those of the node's clock.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    stage: Stage,
    /// It knows its servers.
    told: bool,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { stage: Stage::Serving, told: false }
    }
}

impl Lifecycle {
    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether it knows its servers.
    pub fn tell(&mut self, told: bool) {
        self.told = told;
    }

    /// The operator empties the node. One that drains already does so since the first call; one that leaves is not
    /// kept from it.
    pub fn drain(&mut self, now: Nanos) {
        if self.stage == Stage::Serving {
            self.stage = Stage::Draining { since: now };
        }
    }

    /// Whether the operator empties the node.
    pub fn drains(&self) -> bool {
        matches!(self.stage, Stage::Draining { .. })
    }

    /// The operator takes the node back into service; false where it leaves for good.
    pub fn resume(&mut self) -> bool {
        if let Stage::Draining { .. } = self.stage {
            self.stage = Stage::Serving;
        }
        self.stage == Stage::Serving
    }

    /// The node ends. It does so since the first call.
    pub fn leave(&mut self, now: Nanos, succeeded: bool) {
        if !matches!(self.stage, Stage::Leaving { .. }) {
            self.stage = Stage::Leaving { since: now, succeeded };
        }
    }

    /// Whether new clients should come.
    pub fn up(&self) -> bool {
        self.told && self.stage == Stage::Serving
    }

    /// Whether a client's connection may carry another request behind an answer.
    pub fn keeps(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Whether connections are still taken from the listening socket. A draining node takes them for good: it must
    /// be able to say that it drains.
    pub fn accepts(&self, now: Nanos) -> bool {
        match self.stage {
            Stage::Serving | Stage::Draining { .. } => true,
            Stage::Leaving { since, succeeded } => !succeeded && now.saturating_sub(since) < STILL_COME,
        }
    }

    /// By when a node that leaves has answered all that it has taken, also what came late on a connection that was still
    /// open, and by when it is gone, where it has `within` for that. None for one that stays.
    pub fn ends_by(&self, within: Nanos) -> Option<(Nanos, Nanos)> {
        let Stage::Leaving { since, .. } = self.stage else { return None };
        let gone = since.saturating_add(within);
        Some((gone - ANSWERED.min(within / 2), gone))
    }

    /// Since when connections that stand idle have to go, if they do: those idle since then stay for now. They go
    /// only when the clients have had time to use each once more, for a close that crosses a request turns it back.
    pub fn closes_idle_before(&self, now: Nanos) -> Option<Nanos> {
        match self.stage {
            Stage::Serving => None,
            Stage::Draining { since } | Stage::Leaving { since, .. } => {
                (now >= since + STILL_COME).then(|| now.saturating_sub(FRESH))
            }
        }
    }
}

/// A life that the operator's side and the serving side share.
#[derive(Clone, Debug, Default)]
pub struct SharedLifecycle(Arc<Mutex<Lifecycle>>);

impl SharedLifecycle {
    /// The life, for a moment.
    pub fn lock(&self) -> MutexGuard<'_, Lifecycle> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const MS: Nanos = 1_000_000;

    fn serving() -> Lifecycle {
        let mut life = Lifecycle::default();
        assert!(!life.up(), "it does not know its servers");
        life.tell(true);
        assert!(life.up() && life.keeps() && life.accepts(0) && life.closes_idle_before(0).is_none());
        life
    }

    #[test]
    fn a_drain_ends_and_counts_from_its_first_call() {
        let mut life = serving();
        life.drain(1000 * MS);
        life.drain(1900 * MS);
        assert!(!life.up() && !life.keeps());
        assert_eq!(life.closes_idle_before(1499 * MS), None, "clients still come");
        assert_eq!(life.closes_idle_before(1500 * MS), Some(1350 * MS));
        assert!(life.accepts(60_000 * MS), "it has to be able to say no");
        assert!(life.resume() && life.up() && life.keeps());
        assert_eq!(life.closes_idle_before(60_000 * MS), None);
        assert!(life.resume(), "twice is no fault");
    }

    #[test]
    fn a_node_that_leaves_does_not_come_back() {
        let mut life = serving();
        life.drain(1000 * MS);
        life.leave(2000 * MS, false);
        life.leave(2400 * MS, true);
        assert!(!life.resume() && !life.up() && !life.keeps());
        assert!(life.accepts(2499 * MS) && !life.accepts(2500 * MS));
        life.drain(3000 * MS);
        assert_eq!(life.stage(), Stage::Leaving { since: 2000 * MS, succeeded: false });
    }

    #[test]
    fn what_still_comes_is_the_successors() {
        let mut life = serving();
        life.leave(2000 * MS, true);
        assert!(!life.accepts(2000 * MS));
        assert_eq!(life.closes_idle_before(2600 * MS), Some(2450 * MS));
    }

    #[derive(Clone, Copy, Debug)]
    enum Step {
        Tell(bool),
        Drain,
        Resume,
        Leave(bool),
        Wait(u64),
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            any::<bool>().prop_map(Step::Tell),
            Just(Step::Drain),
            Just(Step::Resume),
            any::<bool>().prop_map(Step::Leave),
            (0..2_000u64).prop_map(Step::Wait),
        ]
    }

    proptest! {
        // The same cases every time.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever operators and signals do, in whatever order.
        #[test]
        fn a_life_keeps_its_word(steps in proptest::collection::vec(step(), 0..60)) {
            let (mut life, mut now, mut left, mut drained) = (Lifecycle::default(), 1_000 * MS, None, None);
            for step in steps {
                match step {
                    Step::Tell(told) => life.tell(told),
                    Step::Drain => {
                        life.drain(now);
                        drained = drained.or(Some(now));
                    }
                    Step::Resume => {
                        let serves = life.resume();
                        prop_assert_eq!(serves, left.is_none());
                        drained = None;
                    }
                    Step::Leave(succeeded) => {
                        life.leave(now, succeeded);
                        left = left.or(Some(now));
                    }
                    Step::Wait(ms) => now += ms * MS,
                }
                let empties = left.or(drained);
                prop_assert_eq!(life.keeps(), empties.is_none());
                prop_assert!(!life.up() || life.keeps(), "clients are called to a node that empties");
                // Idle connections go only while it empties, and never at once.
                match (life.closes_idle_before(now), empties) {
                    (Some(before), Some(since)) => prop_assert!(before < now && now >= since + STILL_COME),
                    (Some(_), None) => prop_assert!(false, "a serving node lets go of its clients"),
                    (None, Some(since)) => prop_assert!(now < since + STILL_COME, "it never empties"),
                    (None, None) => {}
                }
                // One that leaves has answered before it is gone, and never later than it was given.
                prop_assert_eq!(life.ends_by(3_700 * MS), left.map(|at| (at + 3_650 * MS, at + 3_700 * MS)));
                prop_assert!(life.ends_by(0).is_none_or(|(answered, gone)| answered == gone));
                // One that leaves never takes connections for good, any other always.
                match left {
                    Some(since) => prop_assert!(!life.accepts(now) || now < since + STILL_COME),
                    None => prop_assert!(life.accepts(now)),
                }
            }
        }
    }
}
