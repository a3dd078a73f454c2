//! What an ending says of its server: its lag, the pressure on the fleet, strikes and ejection.

use super::{Attempt, Balancer, Sink};
use crate::interface::{Action, Ending, Nanos, Phase, Request};

/// No more than this part of a zone is ejected on soft evidence.
const EJECT_CAP: f64 = 0.5;
/// Of a give-up time 3 s count, as in PROTOCOL: no server is back later because its clients wait longer.
const LONGEST_COUNTED: Nanos = 3_000_000_000;
/// Least weight of a new response in a server's lag.
const LAG_WEIGHT: f64 = 0.15;
/// Weight of a new response in what waits at the fleet, and how slowly a class's usual response follows.
const WAITS_WEIGHT: f64 = 0.1;
const TYPICAL_UP: f64 = 200.0;
const TYPICAL_DOWN: f64 = 50.0;
/// How quickly the least that a class takes follows a shorter answer, and a longer one that waited for none
/// of this node's.
const LEAST_DOWN: f64 = 0.2;
const LEAST_UP: f64 = 0.002;
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
    pub(super) fn judge(&mut self, now: Nanos, a: Attempt, request: &Request, ending: Ending, sink: Sink) {
        let class = usize::from(request.class);
        let fleet = self.pressure(now, self.places[class].typical_nanos);
        let place = &mut self.places[class];
        let (i, weight, took, node) = (a.node, a.weight, a.took as f64, &mut self.nodes[a.node]);
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Rejected | Ending::Full | Ending::Reset) {
            node.silent_since = now;
        }
        if matches!(ending, Ending::Ok | Ending::TimedOut) {
            let usual = place.typical_nanos * weight;
            if let Some(hint) = request.work_hint {
                let [mean, spread, both] = &mut place.hints;
                let (far, late) = (hint as f64 - *mean, took - place.typical_nanos);
                *mean += far * HINT_WEIGHT;
                *spread += (far * far - *spread) * HINT_WEIGHT;
                *both += (far * late - *both) * HINT_WEIGHT;
            }
            // The yardstick follows slowly, upwards slowest: it has to outlive a jam. The guess that it
            // begins with counts for one answer.
            let slow = if took > usual { TYPICAL_UP } else { TYPICAL_DOWN };
            place.answer_count += f64::from(u8::from(ending == Ending::Ok));
            let over = if ending == Ending::Ok { slow.min(place.answer_count + 1.0) } else { slow };
            place.typical_nanos += (took - place.typical_nanos) / over;
            let (own, up) = (took / weight, if a.alone { LEAST_UP } else { 0.0 });
            place.min_nanos = if place.min_nanos == 0.0 { own } else { place.min_nanos };
            place.min_nanos += (own - place.min_nanos) * if own < place.min_nanos { LEAST_DOWN } else { up };
            place.waits.learn(now, self.relief, own - place.min_nanos, WAITS_WEIGHT);
            self.waits.learn(now, self.relief, took - usual, WAITS_WEIGHT);
            let gap = 1.0 - (-(now.saturating_sub(node.lag.at) as f64) / self.memory).exp();
            node.lag.learn(now, self.memory, took / usual - fleet, LAG_WEIGHT.max(gap));
        }
        match ending {
            Ending::Ok => {
                self.nodes[i].failure_rate.learn(now, self.memory, 0.0, FAILURE_WEIGHT);
                if self.nodes[i].ejected_until <= now {
                    self.nodes[i].consecutive_failures = 0;
                }
            }
            Ending::Cancelled | Ending::NotSent => {}
            // A server that fails fast would drain its queue and climb: take back its credit.
            _ => {
                self.credit(i, -a.credit);
                if !matches!(ending, Ending::TimedOut | Ending::Rejected) {
                    self.nodes[i].failure_rate.learn(now, self.memory, 1.0, FAILURE_WEIGHT);
                }
                if ending != Ending::TimedOut {
                    self.strike(now, i, ending, sink);
                }
            }
        }
    }

    /// How many times a request goes to the server until it is answered. One that fails fast has the shortest
    /// queue of all, and would keep winning wherever it can't be ejected.
    pub(super) fn tries(&self, now: Nanos, i: usize) -> f64 {
        1.0 / (1.0 - self.nodes[i].failure_rate.read(now, self.memory)).max(LEAST_ANSWERED)
    }

    pub(super) fn strike(&mut self, now: Nanos, i: usize, ending: Ending, sink: Sink) {
        let zone = usize::from(self.nodes[i].server.zone);
        if self.nodes[i].ejected_until > now || self.nodes[i].server.phase != Phase::Ready {
            return;
        }
        let out = self.ranks[zone].iter().filter(|&j| self.nodes[j].ejected_until > now).count();
        if ending != Ending::ConnectFailed && out as f64 >= EJECT_CAP * self.ranks[zone].len() as f64 {
            return;
        }
        let jitter = 0.75 + 0.5 * self.chance();
        let node = &mut self.nodes[i];
        node.consecutive_failures = (node.consecutive_failures + 1).min(4);
        if matches!(ending, Ending::Reset | Ending::Rejected) && node.consecutive_failures == 1 {
            return;
        }
        let pause = self.longest.min(LONGEST_COUNTED) as f64 / 2.0
            * f64::from(1 << node.consecutive_failures)
            * jitter;
        node.ejected_until = now + pause as Nanos;
        if node.consecutive_failures == 2 {
            let text = format!("ejected after {ending:?}");
            sink.push(Action::Log { server: Some(node.server.id), text });
        }
    }
}
