//! What a balancer has learnt of its classes and servers, for one that takes its place.
//!
//! Rates of arrivals and requests in flight are left out: while two balancers serve side by side each counts its own
//! part, so that what both send to a cold server adds up to what one would. So is the pressure on the fleet: it is a
//! reading of the moment, which the other one takes for itself within a few answers.

use crate::balancer::Faded;
use crate::interface::{Nanos, Phase, ServerId};
use crate::Balancer;
use serde::{Deserialize, Serialize};

/// Knowledge is as of now for this long, in nanoseconds.
const FRESH: Nanos = 5_000_000_000;
/// The most strikes and the longest ejection that are believed, the latter in the longest give-up times.
const MOST_STRIKES: u32 = 4;
const LONGEST_EJECTION: Nanos = 16;
/// A yardstick below this part of the aim would make any answer look like a jam.
const LEAST_TYPICAL: f64 = 1e-3;
/// Rank and lag beyond this are no figures of a balancer that works.
const MOST: f64 = 1e9;

/// What is known of one class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassKnowledge {
    /// Its yardstick of answer times, in nanoseconds; above 0.
    #[serde(rename = "typical")]
    pub typical_nanos: f64,
    /// How many answers that rests on; 0 or more.
    #[serde(rename = "answers")]
    pub answer_count: f64,
    /// About the least that its answers take, in nanoseconds; 0 where that is not known.
    #[serde(rename = "least", default)]
    pub min_nanos: f64,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerKnowledge {
    /// Which one.
    pub id: ServerId,
    /// The start of which all this is known, as the list told it.
    pub started_at: Nanos,
    /// Its answer times beyond the fleet's, in usual ones of a class, as of `lag_at`: 1 where it is as the fleet,
    /// below 0 where it answers at once in a jam.
    pub lag: f64,
    /// When it last answered.
    pub lag_at: Nanos,
    /// Accomplishment, in units of one request sent now; 0 or more.
    pub score: f64,
    /// Failures in a row that count towards ejection.
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    /// Ejected until then.
    #[serde(rename = "blocked_until")]
    pub ejected_until: Nanos,
    /// Its share of failures as of `failure_rate_at`, from 0 to 1.
    #[serde(rename = "failures")]
    pub failure_rate: f64,
    /// When that was last told.
    #[serde(rename = "failures_at")]
    pub failure_rate_at: Nanos,
}

/// All that goes from one balancer to its successor. Times are those of a clock that both share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Knowledge {
    /// When it was written down.
    pub at: Nanos,
    /// By class, in the order asked for.
    pub classes: Vec<ClassKnowledge>,
    /// The servers that take work.
    pub servers: Vec<ServerKnowledge>,
}

impl Knowledge {
    /// The same on another clock, which is ahead by this many nanoseconds.
    pub fn shift(&mut self, ahead: i64) {
        let shift = |time: &mut Nanos| *time = time.saturating_add_signed(ahead);
        shift(&mut self.at);
        for server in &mut self.servers {
            shift(&mut server.lag_at);
            shift(&mut server.failure_rate_at);
            shift(&mut server.ejected_until);
        }
    }

    /// Whether this can be what a balancer knew shortly before `now`.
    pub fn is_valid(&self, now: Nanos) -> bool {
        let within = |value: f64, most: f64| (0.0..=most).contains(&value);
        let class = |c: &ClassKnowledge| {
            c.typical_nanos > 0.0
                && c.typical_nanos.is_finite()
                && within(c.answer_count, f64::MAX)
                && within(c.min_nanos, f64::MAX)
        };
        let server = |s: &ServerKnowledge| {
            within(s.lag.abs(), MOST)
                && within(s.score, MOST)
                && within(s.failure_rate, 1.0)
                && s.consecutive_failures <= MOST_STRIKES
                && s.lag_at <= now
                && s.failure_rate_at <= now
        };
        self.at <= now
            && now - self.at <= FRESH
            && self.classes.iter().all(class)
            && self.servers.iter().all(server)
    }
}

impl Balancer {
    /// What is known now; of classes, those at these places (see [`Balancer::update_settings`]).
    pub fn export_knowledge(&mut self, now: Nanos, places: &[u16]) -> Knowledge {
        let unit = self.increment(now);
        let class = |place: &u16| {
            let at = usize::from(*place);
            ClassKnowledge {
                typical_nanos: self.places[at].typical_nanos,
                answer_count: self.places[at].answer_count,
                min_nanos: self.places[at].min_nanos,
            }
        };
        let ready = self.nodes.iter().filter(|n| n.server.phase == Phase::Ready);
        Knowledge {
            at: now,
            classes: places.iter().filter(|p| usize::from(**p) < self.places.len()).map(class).collect(),
            servers: ready
                .map(|n| ServerKnowledge {
                    id: n.server.id,
                    started_at: n.server.started_at,
                    lag: 1.0 + n.lag.value,
                    lag_at: n.lag.at,
                    score: (n.score / unit).max(0.0),
                    consecutive_failures: n.consecutive_failures,
                    ejected_until: n.ejected_until,
                    failure_rate: n.failure_rate.value,
                    failure_rate_at: n.failure_rate.at,
                })
                .collect(),
        }
    }

    /// Takes over what another balancer knew, before the first request. `successors` says for each class that it knew
    /// whose place has that name here. Servers that the list has not, or has with another start, stay blank.
    /// Returns how many servers it knows now; none, with nothing taken, where the knowledge is not sound.
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
            let Some(at) = successor.map(usize::from).filter(|at| *at < self.places.len()) else { continue };
            let (aim, give_up) =
                (self.settings.classes[at].aim as f64, self.settings.classes[at].give_up as f64);
            self.places[at].typical_nanos =
                class.typical_nanos.clamp((aim * LEAST_TYPICAL).min(give_up), give_up);
            self.places[at].answer_count = class.answer_count;
            self.places[at].min_nanos = class.min_nanos.min(self.places[at].typical_nanos);
        }
        let unit = self.increment(now);
        let mut taken = 0;
        for server in &known.servers {
            let Some(&i) = self.by_id.get(&server.id) else { continue };
            let node = &mut self.nodes[i];
            if node.server.phase != Phase::Ready || node.server.started_at != server.started_at {
                continue;
            }
            node.lag = Faded { value: server.lag - 1.0, at: server.lag_at };
            node.failure_rate = Faded { value: server.failure_rate, at: server.failure_rate_at };
            node.consecutive_failures = server.consecutive_failures;
            node.ejected_until = server.ejected_until.min(now + LONGEST_EJECTION * self.longest);
            let more = server.score * unit - node.score;
            self.credit(i, more);
            taken += 1;
        }
        Some(taken)
    }
}
