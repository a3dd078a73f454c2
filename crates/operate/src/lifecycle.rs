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
pub enum LifecycleStage {
    /// It takes requests. Whether it is up depends on whether it knows its servers.
    Serving,
    /// The operator empties it, until it is told to resume.
    Draining {
        /// Since when.
        since: Nanos,
    },
    /// It ends.
    ShuttingDown {
        /// Since when.
        since: Nanos,
        /// Another process takes new connections from the same socket.
        has_successor: bool,
    },
}

/// The life of one node. All times are those of the node's clock.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    stage: LifecycleStage,
    /// It knows its servers.
    servers_known: bool,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { stage: LifecycleStage::Serving, servers_known: false }
    }
}

impl Lifecycle {
    /// Where it stands.
    pub fn stage(&self) -> LifecycleStage {
        self.stage
    }

    /// Whether it knows its servers.
    pub fn set_servers_known(&mut self, servers_known: bool) {
        self.servers_known = servers_known;
    }

    /// The operator empties the node. One that drains already does so since the first call; one that leaves is not
    /// kept from it.
    pub fn drain(&mut self, now: Nanos) {
        if self.stage == LifecycleStage::Serving {
            self.stage = LifecycleStage::Draining { since: now };
        }
    }

    /// Whether the operator empties the node.
    pub fn is_draining(&self) -> bool {
        matches!(self.stage, LifecycleStage::Draining { .. })
    }

    /// The operator takes the node back into service; false where it leaves for good.
    pub fn resume(&mut self) -> bool {
        if let LifecycleStage::Draining { .. } = self.stage {
            self.stage = LifecycleStage::Serving;
        }
        self.stage == LifecycleStage::Serving
    }

    /// The node ends. It does so since the first call.
    pub fn begin_shutdown(&mut self, now: Nanos, has_successor: bool) {
        if !matches!(self.stage, LifecycleStage::ShuttingDown { .. }) {
            self.stage = LifecycleStage::ShuttingDown { since: now, has_successor };
        }
    }

    /// Whether new clients should come.
    pub fn is_ready(&self) -> bool {
        self.servers_known && self.stage == LifecycleStage::Serving
    }

    /// Whether a client's connection may carry another request behind an answer.
    pub fn allows_keep_alive(&self) -> bool {
        self.stage == LifecycleStage::Serving
    }

    /// Whether connections are still taken from the listening socket. A draining node takes them for good: it must
    /// be able to say that it drains.
    pub fn accepts_connections(&self, now: Nanos) -> bool {
        match self.stage {
            LifecycleStage::Serving | LifecycleStage::Draining { .. } => true,
            LifecycleStage::ShuttingDown { since, has_successor } => {
                !has_successor && now.saturating_sub(since) < STILL_COME
            }
        }
    }

    /// By when a node that leaves has answered all that it has taken, also what came late on a connection that was still
    /// open, and by when it is gone, where it has `within` for that. None for one that stays.
    pub fn shutdown_deadlines(&self, within: Nanos) -> Option<(Nanos, Nanos)> {
        let LifecycleStage::ShuttingDown { since, .. } = self.stage else { return None };
        let gone = since.saturating_add(within);
        Some((gone - ANSWERED.min(within / 2), gone))
    }

    /// Since when connections that stand idle have to go, if they do: those idle since then stay for now. They go
    /// only when the clients have had time to use each once more, for a close that crosses a request turns it back.
    pub fn idle_close_cutoff(&self, now: Nanos) -> Option<Nanos> {
        match self.stage {
            LifecycleStage::Serving => None,
            LifecycleStage::Draining { since } | LifecycleStage::ShuttingDown { since, .. } => {
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
        assert!(!life.is_ready(), "it does not know its servers");
        life.set_servers_known(true);
        assert!(
            life.is_ready()
                && life.allows_keep_alive()
                && life.accepts_connections(0)
                && life.idle_close_cutoff(0).is_none()
        );
        life
    }

    #[test]
    fn a_drain_ends_and_counts_from_its_first_call() {
        let mut life = serving();
        life.drain(1000 * MS);
        life.drain(1900 * MS);
        assert!(!life.is_ready() && !life.allows_keep_alive());
        assert_eq!(life.idle_close_cutoff(1499 * MS), None, "clients still come");
        assert_eq!(life.idle_close_cutoff(1500 * MS), Some(1350 * MS));
        assert!(life.accepts_connections(60_000 * MS), "it has to be able to say no");
        assert!(life.resume() && life.is_ready() && life.allows_keep_alive());
        assert_eq!(life.idle_close_cutoff(60_000 * MS), None);
        assert!(life.resume(), "twice is no fault");
    }

    #[test]
    fn a_node_that_leaves_does_not_come_back() {
        let mut life = serving();
        life.drain(1000 * MS);
        life.begin_shutdown(2000 * MS, false);
        life.begin_shutdown(2400 * MS, true);
        assert!(!life.resume() && !life.is_ready() && !life.allows_keep_alive());
        assert!(life.accepts_connections(2499 * MS) && !life.accepts_connections(2500 * MS));
        life.drain(3000 * MS);
        assert_eq!(life.stage(), LifecycleStage::ShuttingDown { since: 2000 * MS, has_successor: false });
    }

    #[test]
    fn what_still_comes_is_the_successors() {
        let mut life = serving();
        life.begin_shutdown(2000 * MS, true);
        assert!(!life.accepts_connections(2000 * MS));
        assert_eq!(life.idle_close_cutoff(2600 * MS), Some(2450 * MS));
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
                    Step::Tell(told) => life.set_servers_known(told),
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
                        life.begin_shutdown(now, succeeded);
                        left = left.or(Some(now));
                    }
                    Step::Wait(ms) => now += ms * MS,
                }
                let empties = left.or(drained);
                prop_assert_eq!(life.allows_keep_alive(), empties.is_none());
                prop_assert!(!life.is_ready() || life.allows_keep_alive(), "clients are called to a node that empties");
                // Idle connections go only while it empties, and never at once.
                match (life.idle_close_cutoff(now), empties) {
                    (Some(before), Some(since)) => prop_assert!(before < now && now >= since + STILL_COME),
                    (Some(_), None) => prop_assert!(false, "a serving node lets go of its clients"),
                    (None, Some(since)) => prop_assert!(now < since + STILL_COME, "it never empties"),
                    (None, None) => {}
                }
                // One that leaves has answered before it is gone, and never later than it was given.
                prop_assert_eq!(life.shutdown_deadlines(3_700 * MS), left.map(|at| (at + 3_650 * MS, at + 3_700 * MS)));
                prop_assert!(life.shutdown_deadlines(0).is_none_or(|(answered, gone)| answered == gone));
                // One that leaves never takes connections for good, any other always.
                match left {
                    Some(since) => prop_assert!(!life.accepts_connections(now) || now < since + STILL_COME),
                    None => prop_assert!(life.accepts_connections(now)),
                }
            }
        }
    }
}
