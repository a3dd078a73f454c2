//! What is let in, and what is refused at once.

use super::{Balancer, Job, Pending, Sink};
use crate::interface::{Action, Effect, Nanos, Refusal, Request, RequestId};
use std::cmp::Reverse;

/// A second copy goes out when this part of the aim is over.
const HEDGE_AT: f64 = 0.5;
/// Repeats that may cost servers work, as a part of requests.
const RETRY_SHARE: f64 = 0.1;
/// ... which shrinks with this power of the fleet's pressure.
const CALM_STEEP: i32 = 4;
/// Refuse when the answer is expected after this multiple of the aim.
const ADMIT_AIMS: f64 = 0.75;
/// Lesser worth for the work lowers the limit with this power of its ratio to the best.
const WORTH_POWER: f64 = 0.5;
/// Delayed by this part of what it bears, a class is one to which all of less worth yield as far as they can.
const DELAY_BORNE: f64 = 0.1;
/// So many refusals of a class pay for one trial: a node of many sees fewer in an aim.
const REFUSED_A_TRIAL: u32 = 10;
/// A tenant is over its share when it gets this many deviations of chance more.
const CHANCE: f64 = 1.0;

impl Balancer {
    pub(super) fn admit(&mut self, now: Nanos, request: Request, sink: Sink) {
        let most = 1.0 + RETRY_SHARE * self.sent.read(now, self.settings.ramp as f64);
        // Copies into a jam make it worse: the budget dries up as answers take longer than usual.
        let mean = self.places.get(usize::from(request.class)).map_or(1.0, |place| place.typical_nanos);
        let calm = self.pressure(now, mean).max(1.0).powi(-CALM_STEEP);
        self.budget = (self.budget + RETRY_SHARE * calm).min(most);
        let pending = Pending {
            request,
            arrived: now,
            attempts: Vec::new(),
            most: self.settings.max_attempts,
            fence: None,
            answered: false,
            streaming: false,
        };
        let class = usize::from(request.class);
        let known = class < self.places.len();
        if let Some((i, queue)) = known.then(|| self.choose(now, &pending)).flatten() {
            let wait = self.expected(class, queue) - self.limit(now, &request);
            // What is always refused brings no answer that could show that it would be quick.
            let place = &mut self.places[class];
            let forgotten = now.saturating_sub(place.tried_at) > self.settings.classes[class].aim;
            let trial = forgotten && place.refused >= REFUSED_A_TRIAL && !request.is_retry;
            if wait <= 0.0 || (trial && self.nodes[i].out == 0) {
                (place.tried_at, place.refused) = (now, 0);
                if self.settings.tenant_quota.get(request.tenant).is_some() {
                    self.tenants.entry(request.tenant).or_default().add(now, self.memory, 1.0);
                }
                self.pending.insert(request.id, pending);
                self.send(now, request.id, i, sink);
                let class = &self.settings.classes[class];
                let copied = class.effect == Effect::Safe && self.settings.second_copies && !class.stream;
                let at = now + (HEDGE_AT * class.aim as f64) as Nanos;
                if copied && at < request.give_up_at {
                    self.jobs.push(Reverse((at, Job::Hedge(request.id))));
                }
                return;
            }
            place.refused += 1;
            return self.refuse(request.id, wait, Refusal::TooSlow, sink);
        }
        self.refuse(request.id, self.longest as f64, Refusal::NoServer, sink);
    }

    /// Whether a tenant already gets its share here. What is let in counts: clients that ask again after a
    /// refusal would put their tenant over its share and be refused the more.
    pub(super) fn over_share(&self, now: Nanos, tenant: u32) -> bool {
        let Some(quota) = self.settings.tenant_quota.get(tenant) else { return false };
        let usual = quota / f64::from(self.settings.group_size) * self.memory / 1e9;
        let rate = self.tenants.get(&tenant).map_or(0.0, |rate| rate.read(now, self.memory));
        rate > usual + CHANCE * usual.sqrt()
    }

    /// What a request is worth to others: by its class, for the work that it takes.
    fn value(&self, class: usize) -> f64 {
        let cost = if self.settings.worth_by_work { 1.0 } else { self.places[class].typical_nanos };
        self.settings.classes[class].worth / cost
    }

    /// How far the answers of a class are delayed: from 0, not at all, to 1, so that others have to yield.
    fn delayed(&self, now: Nanos, class: usize) -> f64 {
        let place = &self.places[class];
        let bears = ADMIT_AIMS * self.settings.classes[class].aim as f64 - place.min_nanos;
        let wait = place.waits.read(now, self.relief);
        (wait / bears.max(1.0) / DELAY_BORNE).clamp(0.0, 1.0)
    }

    /// The latest that an answer may be expected. Worth decides who yields, and nobody yields to nobody: it
    /// counts as far as those who are worth more are kept waiting.
    pub(super) fn limit(&self, now: Nanos, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        let mut own = self.value(usize::from(request.class));
        if self.over_share(now, request.tenant) {
            own *= self.settings.over_share_worth;
        }
        let (mut best, mut delayed) = (own.max(f64::MIN_POSITIVE), 0.0f64);
        let others = (0..self.places.len()).filter(|c| self.places[*c].retired.is_none());
        for c in others.filter(|c| self.value(*c) > own) {
            (best, delayed) = (best.max(self.value(c)), delayed.max(self.delayed(now, c)));
        }
        let left = request.give_up_at.saturating_sub(now) as f64;
        // A client's clock runs on over its retries: what is served past the aim makes others wait in vain.
        let age = if request.is_retry { (class.give_up as f64 - left).max(0.0) } else { 0.0 };
        let wanted = (1.0 + class.late_worth) * class.aim as f64 - age;
        let aims = 1.0 - (1.0 - ADMIT_AIMS) * delayed.max(self.delayed(now, usize::from(request.class)));
        (aims * wanted).min(left) * (own / best).powf(WORTH_POWER * delayed)
    }

    pub(super) fn refuse(&mut self, id: RequestId, wait: f64, reason: Refusal, sink: Sink) {
        let spread = 0.5 + self.chance();
        let advice = (wait * spread).min(self.settings.max_retry_after as f64) as Nanos;
        let retry_after = if self.settings.retry_after { advice } else { 0 };
        sink.push(Action::Refuse { request: id, reason, retry_after });
    }
}
