//! Lifecycle of a node: when it is ready, keeps client connections open and accepts new ones.

use corkhollow_balance::interface::Nanos;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Connections are accepted and kept for this long after a drain or shutdown begins, until load balancers in
/// front of the node have noticed.
const DRAIN_GRACE: Nanos = 500_000_000;
/// A connection idle for less than this is not closed: its next request may be on the way.
const MIN_IDLE_TIME: Nanos = 150_000_000;

/// Answers are due this long before the process must exit, to leave time for writing them and for clock
/// differences with the process's supervisor.
const ANSWER_MARGIN: Nanos = 50_000_000;

/// Stage of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleStage {
    /// The node serves requests; it is ready once it knows its servers.
    Serving,
    /// The operator drains the node, until told to resume.
    Draining {
        /// When this stage began.
        since: Nanos,
    },
    /// The process shuts down.
    ShuttingDown {
        /// When this stage began.
        since: Nanos,
        /// Whether a successor accepts new connections from the same socket.
        has_successor: bool,
    },
}

/// Lifecycle of one node. All times are on the node's clock.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    stage: LifecycleStage,
    /// Whether every pool knows its servers.
    servers_known: bool,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { stage: LifecycleStage::Serving, servers_known: false }
    }
}

impl Lifecycle {
    /// The current stage.
    pub fn stage(&self) -> LifecycleStage {
        self.stage
    }

    /// Sets whether the node knows its servers, without which it is not ready.
    pub fn set_servers_known(&mut self, servers_known: bool) {
        self.servers_known = servers_known;
    }

    /// Begins a drain. No effect if the node already drains or shuts down.
    pub fn drain(&mut self, now: Nanos) {
        if self.stage == LifecycleStage::Serving {
            self.stage = LifecycleStage::Draining { since: now };
        }
    }

    /// Whether the operator drains the node.
    pub fn is_draining(&self) -> bool {
        matches!(self.stage, LifecycleStage::Draining { .. })
    }

    /// Ends a drain. Returns false if the node shuts down.
    pub fn resume(&mut self) -> bool {
        if let LifecycleStage::Draining { .. } = self.stage {
            self.stage = LifecycleStage::Serving;
        }
        self.stage == LifecycleStage::Serving
    }

    /// Begins the shutdown. Further calls have no effect.
    pub fn begin_shutdown(&mut self, now: Nanos, has_successor: bool) {
        if !matches!(self.stage, LifecycleStage::ShuttingDown { .. }) {
            self.stage = LifecycleStage::ShuttingDown { since: now, has_successor };
        }
    }

    /// Whether load balancers should send new clients to this node.
    pub fn is_ready(&self) -> bool {
        self.servers_known && self.stage == LifecycleStage::Serving
    }

    /// Whether client connections stay open after an answer.
    pub fn allows_keep_alive(&self) -> bool {
        self.stage == LifecycleStage::Serving
    }

    /// Whether connections are accepted. A draining node keeps accepting, so that it can answer that it is
    /// not ready.
    pub fn accepts_connections(&self, now: Nanos) -> bool {
        match self.stage {
            LifecycleStage::Serving | LifecycleStage::Draining { .. } => true,
            LifecycleStage::ShuttingDown { since, has_successor } => {
                !has_successor && now.saturating_sub(since) < DRAIN_GRACE
            }
        }
    }

    /// For a node that shuts down: when every request must be answered, including late ones on connections
    /// that are still open, and when the process must exit. `None` in other stages.
    pub fn shutdown_deadlines(&self, drain_timeout: Nanos) -> Option<(Nanos, Nanos)> {
        let LifecycleStage::ShuttingDown { since, .. } = self.stage else { return None };
        let exit_at = since.saturating_add(drain_timeout);
        Some((exit_at - ANSWER_MARGIN.min(drain_timeout / 2), exit_at))
    }

    /// Connections idle since before this time are to be closed; `None` if none are. Closing starts after
    /// [`DRAIN_GRACE`]: until then, clients may reuse a connection and learn from the answer that it closes,
    /// where a close that crosses a request would lose it.
    pub fn idle_close_cutoff(&self, now: Nanos) -> Option<Nanos> {
        match self.stage {
            LifecycleStage::Serving => None,
            LifecycleStage::Draining { since } | LifecycleStage::ShuttingDown { since, .. } => {
                (now >= since + DRAIN_GRACE).then(|| now.saturating_sub(MIN_IDLE_TIME))
            }
        }
    }
}

/// A [`Lifecycle`] shared between the operator's thread and the serving thread.
#[derive(Clone, Debug, Default)]
pub struct SharedLifecycle(Arc<Mutex<Lifecycle>>);

impl SharedLifecycle {
    /// Locks the lifecycle.
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
        let mut lifecycle = Lifecycle::default();
        assert!(!lifecycle.is_ready(), "it does not know its servers");
        lifecycle.set_servers_known(true);
        assert!(
            lifecycle.is_ready()
                && lifecycle.allows_keep_alive()
                && lifecycle.accepts_connections(0)
                && lifecycle.idle_close_cutoff(0).is_none()
        );
        lifecycle
    }

    #[test]
    fn drain_counts_from_its_first_call_and_ends_with_resume() {
        let mut lifecycle = serving();
        lifecycle.drain(1000 * MS);
        lifecycle.drain(1900 * MS);
        assert!(!lifecycle.is_ready() && !lifecycle.allows_keep_alive());
        assert_eq!(lifecycle.idle_close_cutoff(1499 * MS), None, "clients may still reuse connections");
        assert_eq!(lifecycle.idle_close_cutoff(1500 * MS), Some(1350 * MS));
        assert!(
            lifecycle.accepts_connections(60_000 * MS),
            "a draining node must answer that it is not ready"
        );
        assert!(lifecycle.resume() && lifecycle.is_ready() && lifecycle.allows_keep_alive());
        assert_eq!(lifecycle.idle_close_cutoff(60_000 * MS), None);
        assert!(lifecycle.resume(), "resuming twice is not an error");
    }

    #[test]
    fn shutdown_cannot_be_resumed_or_drained() {
        let mut lifecycle = serving();
        lifecycle.drain(1000 * MS);
        lifecycle.begin_shutdown(2000 * MS, false);
        lifecycle.begin_shutdown(2400 * MS, true);
        assert!(!lifecycle.resume() && !lifecycle.is_ready() && !lifecycle.allows_keep_alive());
        assert!(lifecycle.accepts_connections(2499 * MS) && !lifecycle.accepts_connections(2500 * MS));
        lifecycle.drain(3000 * MS);
        assert_eq!(
            lifecycle.stage(),
            LifecycleStage::ShuttingDown { since: 2000 * MS, has_successor: false }
        );
    }

    #[test]
    fn shutdown_with_a_successor_stops_accepting_at_once() {
        let mut lifecycle = serving();
        lifecycle.begin_shutdown(2000 * MS, true);
        assert!(!lifecycle.accepts_connections(2000 * MS));
        assert_eq!(lifecycle.idle_close_cutoff(2600 * MS), Some(2450 * MS));
    }

    #[derive(Clone, Copy, Debug)]
    enum Step {
        SetServersKnown(bool),
        Drain,
        Resume,
        BeginShutdown(bool),
        Wait(u64),
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            any::<bool>().prop_map(Step::SetServersKnown),
            Just(Step::Drain),
            Just(Step::Resume),
            any::<bool>().prop_map(Step::BeginShutdown),
            (0..2_000u64).prop_map(Step::Wait),
        ]
    }

    proptest! {
        // A fixed seed: every run tests the same cases.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn lifecycle_holds_its_guarantees_for_any_sequence_of_steps(steps in proptest::collection::vec(step(), 0..60)) {
            let (mut lifecycle, mut now, mut shutdown_at, mut drained_at) = (Lifecycle::default(), 1_000 * MS, None, None);
            for step in steps {
                match step {
                    Step::SetServersKnown(servers_known) => lifecycle.set_servers_known(servers_known),
                    Step::Drain => {
                        lifecycle.drain(now);
                        drained_at = drained_at.or(Some(now));
                    }
                    Step::Resume => {
                        let is_serving = lifecycle.resume();
                        prop_assert_eq!(is_serving, shutdown_at.is_none());
                        drained_at = None;
                    }
                    Step::BeginShutdown(has_successor) => {
                        lifecycle.begin_shutdown(now, has_successor);
                        shutdown_at = shutdown_at.or(Some(now));
                    }
                    Step::Wait(ms) => now += ms * MS,
                }
                let stopped_serving_at = shutdown_at.or(drained_at);
                prop_assert_eq!(lifecycle.allows_keep_alive(), stopped_serving_at.is_none());
                prop_assert!(!lifecycle.is_ready() || lifecycle.allows_keep_alive(), "a draining node reports ready");
                // Idle connections are closed only after a drain or shutdown began, and only after the grace.
                match (lifecycle.idle_close_cutoff(now), stopped_serving_at) {
                    (Some(cutoff), Some(since)) => prop_assert!(cutoff < now && now >= since + DRAIN_GRACE),
                    (Some(_), None) => prop_assert!(false, "a serving node closes idle connections"),
                    (None, Some(since)) => prop_assert!(now < since + DRAIN_GRACE, "idle connections are never closed"),
                    (None, None) => {}
                }
                // Answers are due before the exit, and the exit is within the drain timeout.
                prop_assert_eq!(lifecycle.shutdown_deadlines(3_700 * MS), shutdown_at.map(|at| (at + 3_650 * MS, at + 3_700 * MS)));
                prop_assert!(lifecycle.shutdown_deadlines(0).is_none_or(|(answer_by, exit_at)| answer_by == exit_at));
                // A node that shuts down accepts only during the grace, any other always.
                match shutdown_at {
                    Some(since) => prop_assert!(!lifecycle.accepts_connections(now) || now < since + DRAIN_GRACE),
                    None => prop_assert!(lifecycle.accepts_connections(now)),
                }
            }
        }
    }
}
