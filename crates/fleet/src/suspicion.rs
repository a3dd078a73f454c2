//! Lifeguard's dynamic suspicion timeout: longest while one node alone suspects a member, shorter with each
//! confirmation by another node. A claim that the member is dead shortens it further but leaves time to
//! refute, since the claim may come from nodes that a partition has separated from the member.

use crate::Nanos;

/// Confirmations, beyond the first accuser, after which the minimum timeout applies.
const EXPECTED_CONFIRMATIONS: usize = 3;
/// The maximum timeout, as a multiple of the minimum timeout.
const MAX_TIMEOUT_MULTIPLIER: u64 = 2;

/// Suspicion of one member at one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    started_at: Nanos,
    min_timeout: Nanos,
    expected_confirmations: usize,
    /// Names of the nodes that suspect the member, the first accuser first.
    accusers: Vec<String>,
    /// Upper bound of the deadline once a node has claimed that the member is dead.
    max_deadline: Option<Nanos>,
}

impl Suspicion {
    /// Starts a suspicion that up to `potential_confirmers` other nodes can confirm.
    pub fn new(
        now: Nanos,
        min_timeout: Nanos,
        potential_confirmers: usize,
        accuser: &str,
        is_dynamic: bool,
    ) -> Self {
        let expected_confirmations =
            if is_dynamic { EXPECTED_CONFIRMATIONS.min(potential_confirmers) } else { 0 };
        Suspicion {
            started_at: now,
            min_timeout,
            expected_confirmations,
            accusers: vec![accuser.to_owned()],
            max_deadline: None,
        }
    }

    /// Records a confirmation by another node. Returns whether it should be disseminated.
    pub fn confirm(&mut self, accuser: &str) -> bool {
        let is_new = self.accusers.len() <= self.expected_confirmations
            && !self.accusers.iter().any(|known| known == accuser);
        if is_new {
            self.accusers.push(accuser.to_owned());
        }
        is_new
    }

    /// Limits the deadline to `deadline` at the latest.
    pub fn limit_deadline(&mut self, deadline: Nanos) {
        self.max_deadline = Some(self.max_deadline.map_or(deadline, |current| current.min(deadline)));
    }

    /// When the member is declared dead unless it refutes the suspicion.
    pub fn deadline(&self) -> Nanos {
        let max_timeout = self.min_timeout.saturating_mul(MAX_TIMEOUT_MULTIPLIER) as f64;
        let min_timeout = self.min_timeout as f64;
        let confirmations = self.accusers.len() - 1;
        let reduction = match self.expected_confirmations {
            0 => 1.0,
            expected => ((confirmations + 1) as f64).ln() / ((expected + 1) as f64).ln(),
        };
        let timeout = (max_timeout - (max_timeout - min_timeout) * reduction.min(1.0)) as Nanos;
        let deadline = self.started_at.saturating_add(timeout);
        self.max_deadline.map_or(deadline, |max_deadline| max_deadline.min(deadline))
    }

    /// Postpones the deadline by the time during which this node was stalled and could not receive a
    /// refutation.
    pub fn postpone(&mut self, stall: Nanos) {
        self.started_at = self.started_at.saturating_add(stall);
        self.max_deadline = self.max_deadline.map(|deadline| deadline.saturating_add(stall));
    }

    /// Names of the nodes that suspect the member.
    pub fn accusers(&self) -> &[String] {
        &self.accusers
    }
}
