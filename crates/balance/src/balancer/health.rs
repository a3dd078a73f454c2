//! What an ending says of its server: its lag, the pressure on the fleet, strikes and ejection.

use super::Balancer;
use crate::interface::{Action, Ending, Nanos, Phase};

/// No more than this part of a zone is ejected on soft evidence.
const EJECT_CAP: f64 = 0.5;
/// Least weight of a new response in a server's lag.
const LAG_WEIGHT: f64 = 0.15;
/// Weight of a new response in the fleet's pressure, and how slowly a class's usual response follows.
const PRESSURE_WEIGHT: f64 = 0.1;
const TYPICAL_UP: f64 = 200.0;
const TYPICAL_DOWN: f64 = 50.0;
/// Weight of a new ending in a server's share of failures, and the least share of answers that is believed.
const FAILURE_WEIGHT: f64 = 0.15;
const LEAST_ANSWERED: f64 = 0.02;
/// Weight of a new answer in what is learnt of hints.
const HINT_WEIGHT: f64 = 0.01;

impl Balancer {
    /// A server is done with a request, or nobody waits for it any longer.
    pub(super) fn rests(&mut self, i: usize, weight: f64) {
        let node = &mut self.nodes[i];
        node.out = node.out.saturating_sub(1);
        node.load = if node.out == 0 { 0.0 } else { (node.load - weight).max(0.0) };
    }

    /// What an ending says of its server.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn judge(
        &mut self,
        now: Nanos,
        i: usize,
        (class, weight, hint): (usize, f64, Option<Nanos>),
        took: Nanos,
        ending: Ending,
        credit: f64,
        sink: &mut Vec<Action>,
    ) {
        let fleet = self.pressure_now(now);
        let node = &mut self.nodes[i];
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Rejected | Ending::Full | Ending::Reset) {
            node.silent_since = now;
        }
        if matches!(ending, Ending::Ok | Ending::TimedOut) {
            let typical = &mut self.typical[class];
            if let Some(hint) = hint {
                let [mean, spread, both] = &mut self.hints[class];
                let (far, late) = (hint as f64 - *mean, took as f64 - *typical);
                *mean += far * HINT_WEIGHT;
                *spread += (far * far - *spread) * HINT_WEIGHT;
                *both += (far * late - *both) * HINT_WEIGHT;
            }
            let ratio = took as f64 / (*typical * weight);
            // The yardstick follows slowly, upwards slowest: it has to outlive a jam. The guess that it
            // begins with counts for one answer.
            let slow = if ratio > 1.0 { TYPICAL_UP } else { TYPICAL_DOWN };
            let seen = &mut self.places[class].answers;
            *seen += f64::from(u8::from(ending == Ending::Ok));
            *typical +=
                (took as f64 - *typical) / if ending == Ending::Ok { slow.min(*seen + 1.0) } else { slow };
            let gap = (-(now.saturating_sub(node.lag_at) as f64) / self.memory).exp();
            node.lag = 1.0 + (node.lag - 1.0) * gap;
            node.lag += (ratio / fleet - node.lag) * LAG_WEIGHT.max(1.0 - gap);
            self.pressure = fleet + (ratio - fleet) * PRESSURE_WEIGHT;
            self.pressure_at = now;
            node.lag_at = now;
        }
        match ending {
            Ending::Ok => {
                self.fails(now, i, 0.0);
                if self.nodes[i].blocked_until <= now {
                    self.nodes[i].strikes = 0;
                }
            }
            Ending::Cancelled | Ending::NotSent => {}
            // A server that fails fast would drain its queue and climb: take back its credit.
            _ => {
                self.credit(i, -credit);
                if !matches!(ending, Ending::TimedOut | Ending::Rejected) {
                    self.fails(now, i, 1.0);
                }
                if ending != Ending::TimedOut {
                    self.strike(now, i, ending, sink);
                }
            }
        }
    }

    fn fails(&mut self, now: Nanos, i: usize, failed: f64) {
        let share = self.failure_share(now, i);
        self.nodes[i].failures = share + (failed - share) * FAILURE_WEIGHT;
        self.nodes[i].failures_at = now;
    }

    fn failure_share(&self, now: Nanos, i: usize) -> f64 {
        let node = &self.nodes[i];
        node.failures * (-(now.saturating_sub(node.failures_at) as f64) / self.memory).exp()
    }

    /// How many times a request goes to the server until it is answered. One that fails fast has the shortest
    /// queue of all, and would keep winning wherever it can't be ejected.
    pub(super) fn tries(&self, now: Nanos, i: usize) -> f64 {
        1.0 / (1.0 - self.failure_share(now, i)).max(LEAST_ANSWERED)
    }

    pub(super) fn strike(&mut self, now: Nanos, i: usize, ending: Ending, sink: &mut Vec<Action>) {
        let zone = usize::from(self.nodes[i].server.zone);
        if self.nodes[i].blocked_until > now || self.nodes[i].server.phase != Phase::Ready {
            return;
        }
        let hard = ending == Ending::ConnectFailed;
        let out = self.ranks[zone].iter().filter(|&j| self.nodes[j].blocked_until > now).count();
        if !hard && out as f64 >= EJECT_CAP * self.ranks[zone].len() as f64 {
            return;
        }
        let jitter = 0.75 + 0.5 * self.chance();
        let node = &mut self.nodes[i];
        node.strikes = (node.strikes + 1).min(4);
        if matches!(ending, Ending::Reset | Ending::Rejected) && node.strikes == 1 {
            return;
        }
        let pause = self.longest as f64 / 2.0 * f64::from(1 << node.strikes) * jitter;
        node.blocked_until = now + pause as Nanos;
        if node.strikes == 2 {
            let text = format!("ejected after {ending:?}");
            sink.push(Action::Log { server: Some(node.server.id), text });
        }
    }
}
