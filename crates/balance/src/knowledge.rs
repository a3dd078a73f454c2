//! What a balancer has learnt of its classes and servers, for a balancer that replaces it.
//!
//! Request rates and requests in flight are not included: while two balancers serve side by side, each counts
//! its own part, so that both together send no more to a cold server than one would. The fleet's delay is not
//! included either: the new balancer measures it within a few answers.

use crate::balancer::DecayingValue;
use crate::interface::{Nanos, Phase, ServerId};
use crate::Balancer;
use serde::{Deserialize, Serialize};

/// Older knowledge is not imported.
const MAX_AGE: Nanos = 5_000_000_000;
const MAX_CONSECUTIVE_FAILURES: u32 = 4;
/// Longest imported ejection, in multiples of the longest give-up time.
const MAX_EJECTION_GIVE_UPS: Nanos = 16;
/// Least imported typical response time, in aims: with a shorter one, any answer would look delayed.
const MIN_TYPICAL_AIMS: f64 = 1e-3;
/// Largest valid score or lag.
const MAX_SCORE_OR_LAG: f64 = 1e9;

/// What is known of one class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassKnowledge {
    /// Typical response time, in nanoseconds; above 0.
    #[serde(rename = "typical")]
    pub typical_nanos: f64,
    /// Number of answers that the typical time is based on; 0 or more.
    #[serde(rename = "answers")]
    pub answer_count: f64,
    /// Estimate of the minimal response time, in nanoseconds; 0 where unknown.
    #[serde(rename = "least", default)]
    pub min_nanos: f64,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerKnowledge {
    /// The server's identity.
    pub id: ServerId,
    /// Start time of the process that the knowledge is about, as the list announced it.
    pub started_at: Nanos,
    /// Response time relative to the class's typical one, minus the fleet's, plus 1, as of `lag_at`: 1 for a
    /// server as slow as the fleet, below 0 for one that answers at once while the fleet is overloaded.
    pub lag: f64,
    /// When `lag` was last updated.
    pub lag_at: Nanos,
    /// Score, in units of one request sent now; 0 or more.
    pub score: f64,
    /// Consecutive failures that count towards ejection.
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    /// When the server's ejection ends.
    #[serde(rename = "blocked_until")]
    pub ejected_until: Nanos,
    /// Fraction of attempts that failed, as of `failure_rate_at`; from 0 to 1.
    #[serde(rename = "failures")]
    pub failure_rate: f64,
    /// When `failure_rate` was last updated.
    #[serde(rename = "failures_at")]
    pub failure_rate_at: Nanos,
}

/// What a balancer hands over to its successor. All times are on one clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Knowledge {
    /// When it was exported.
    pub at: Nanos,
    /// The classes, in the order in which they were asked for.
    pub classes: Vec<ClassKnowledge>,
    /// The ready servers.
    pub servers: Vec<ServerKnowledge>,
}

impl Knowledge {
    /// Converts all times to another clock, which is ahead by this many nanoseconds.
    pub fn shift(&mut self, ahead: i64) {
        let shift = |time: &mut Nanos| *time = time.saturating_add_signed(ahead);
        shift(&mut self.at);
        for server in &mut self.servers {
            shift(&mut server.lag_at);
            shift(&mut server.failure_rate_at);
            shift(&mut server.ejected_until);
        }
    }

    /// Whether it was exported shortly before `now` and all its values are in range.
    pub fn is_valid(&self, now: Nanos) -> bool {
        let within = |value: f64, max: f64| (0.0..=max).contains(&value);
        let is_valid_class = |class: &ClassKnowledge| {
            class.typical_nanos > 0.0
                && class.typical_nanos.is_finite()
                && within(class.answer_count, f64::MAX)
                && within(class.min_nanos, f64::MAX)
        };
        let is_valid_server = |server: &ServerKnowledge| {
            within(server.lag.abs(), MAX_SCORE_OR_LAG)
                && within(server.score, MAX_SCORE_OR_LAG)
                && within(server.failure_rate, 1.0)
                && server.consecutive_failures <= MAX_CONSECUTIVE_FAILURES
                && server.lag_at <= now
                && server.failure_rate_at <= now
        };
        self.at <= now
            && now - self.at <= MAX_AGE
            && self.classes.iter().all(is_valid_class)
            && self.servers.iter().all(is_valid_server)
    }
}

impl Balancer {
    /// Exports what is known now of all ready servers, and of the classes at these indices (see
    /// [`Balancer::update_settings`]).
    pub fn export_knowledge(&mut self, now: Nanos, class_indices: &[u16]) -> Knowledge {
        let unit = self.score_unit(now);
        let class = |index: &u16| {
            let index = usize::from(*index);
            ClassKnowledge {
                typical_nanos: self.class_states[index].typical_nanos,
                answer_count: self.class_states[index].answer_count,
                min_nanos: self.class_states[index].min_nanos,
            }
        };
        let ready = self.servers.iter().filter(|state| state.entry.phase == Phase::Ready);
        Knowledge {
            at: now,
            classes: class_indices
                .iter()
                .filter(|index| usize::from(**index) < self.class_states.len())
                .map(class)
                .collect(),
            servers: ready
                .map(|state| ServerKnowledge {
                    id: state.entry.id,
                    started_at: state.entry.started_at,
                    lag: 1.0 + state.lag.value,
                    lag_at: state.lag.updated_at,
                    score: (state.score / unit).max(0.0),
                    consecutive_failures: state.consecutive_failures,
                    ejected_until: state.ejected_until,
                    failure_rate: state.failure_rate.value,
                    failure_rate_at: state.failure_rate.updated_at,
                })
                .collect(),
        }
    }

    /// Imports what another balancer knew, before the first request. For each of its classes, `successors`
    /// has the index of the class of that name here. Servers that are not listed here, or are listed with
    /// another start time, are skipped. Returns how many servers were imported; none, with nothing imported,
    /// if the knowledge is invalid.
    pub fn import_knowledge(
        &mut self,
        now: Nanos,
        known: &Knowledge,
        successors: &[Option<u16>],
    ) -> Option<usize> {
        if !known.is_valid(now) {
            return None;
        }
        for (class, successor) in known.classes.iter().zip(successors) {
            let Some(index) = successor.map(usize::from).filter(|index| *index < self.class_states.len())
            else {
                continue;
            };
            let (aim, give_up) =
                (self.settings.classes[index].aim as f64, self.settings.classes[index].give_up as f64);
            self.class_states[index].typical_nanos =
                class.typical_nanos.clamp((aim * MIN_TYPICAL_AIMS).min(give_up), give_up);
            self.class_states[index].answer_count = class.answer_count;
            self.class_states[index].min_nanos = class.min_nanos.min(self.class_states[index].typical_nanos);
        }
        let unit = self.score_unit(now);
        let mut imported = 0;
        for server in &known.servers {
            let Some(&index) = self.by_id.get(&server.id) else { continue };
            let state = &mut self.servers[index];
            if state.entry.phase != Phase::Ready || state.entry.started_at != server.started_at {
                continue;
            }
            state.lag = DecayingValue { value: server.lag - 1.0, updated_at: server.lag_at };
            state.failure_rate =
                DecayingValue { value: server.failure_rate, updated_at: server.failure_rate_at };
            state.consecutive_failures = server.consecutive_failures;
            state.ejected_until = server.ejected_until.min(now + MAX_EJECTION_GIVE_UPS * self.max_give_up);
            let score_change = server.score * unit - state.score;
            self.add_score(index, score_change);
            imported += 1;
        }
        Some(imported)
    }
}
