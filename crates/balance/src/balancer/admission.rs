//! Admission: sends a request to a server, or refuses it at once.

use super::{Balancer, Pending, Sink, TimerTask};
use crate::interface::{Action, Effect, Nanos, Refusal, Request, RequestId};
use std::cmp::Reverse;

/// A request is hedged after this fraction of its aim.
const HEDGE_DELAY_AIMS: f64 = 0.5;
/// Retries and hedges per request, where the fleet is not under pressure.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// The retry budget's ratio is divided by this power of the fleet's pressure.
const RETRY_PRESSURE_EXPONENT: i32 = 4;
/// While answers are delayed, a request is refused if its answer is expected after this fraction of its aim.
const MAX_EXPECTED_AIMS: f64 = 0.75;
/// Exponent of a request's worth relative to the best, by which its latency limit is multiplied.
const WORTH_EXPONENT: f64 = 0.5;
/// Fraction of its tolerable delay at which a class has full priority over classes of lower worth.
const FULL_PRIORITY_DELAY: f64 = 0.1;
/// After this many refusals of a class, one request is admitted to measure its response time. One per aim
/// would be too many on a node with few requests.
const REFUSALS_PER_TRIAL: u32 = 10;
/// A tenant exceeds its share by more than this many standard deviations of a Poisson count.
const SHARE_TOLERANCE_DEVIATIONS: f64 = 1.0;

impl Balancer {
    pub(super) fn admit(&mut self, now: Nanos, request: Request, sink: Sink) {
        let max_budget =
            1.0 + RETRY_BUDGET_RATIO * self.recent_sends.value_at(now, self.settings.ramp as f64);
        // Retries and hedges make an overload worse: the budget shrinks as answers take longer than usual.
        let mean = self.class_states.get(usize::from(request.class)).map_or(1.0, |state| state.typical_nanos);
        let pressure_factor = self.fleet_pressure(now, mean).max(1.0).powi(-RETRY_PRESSURE_EXPONENT);
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_RATIO * pressure_factor).min(max_budget);
        let pending = Pending {
            request,
            arrived_at: now,
            attempts: Vec::new(),
            max_attempts: self.settings.max_attempts.min(request.max_attempts),
            first_run: None,
            closed: false,
            response_started: false,
        };
        let class = usize::from(request.class);
        let is_known = class < self.class_states.len();
        if let Some((index, queue)) = is_known.then(|| self.choose_server(now, &pending)).flatten() {
            let excess = self.expected_latency(class, queue) - self.max_latency(now, &request);
            // A class whose requests are all refused gets no answers that could show that it is fast again.
            let state = &mut self.class_states[class];
            let is_stale = now.saturating_sub(state.admitted_at) > self.settings.classes[class].aim;
            let is_trial = is_stale && state.refusals >= REFUSALS_PER_TRIAL && !request.is_retry;
            if excess <= 0.0 || (is_trial && self.servers[index].outstanding == 0) {
                (state.admitted_at, state.refusals) = (now, 0);
                if self.settings.tenant_quota.get(request.tenant).is_some() {
                    self.tenant_requests.entry(request.tenant).or_default().add(now, self.decay_nanos, 1.0);
                }
                self.pending.insert(request.id, pending);
                self.send_attempt(now, request.id, index, sink);
                let class = &self.settings.classes[class];
                let hedging = self.settings.second_copies && request.allows_hedges;
                let may_hedge = class.effect == Effect::Safe && hedging && !class.stream;
                let hedge_at = now + (HEDGE_DELAY_AIMS * class.aim as f64) as Nanos;
                if may_hedge && hedge_at < request.give_up_at {
                    self.timers.push(Reverse((hedge_at, TimerTask::Hedge(request.id))));
                }
                return;
            }
            state.refusals += 1;
            return self.refuse(request.id, excess, Refusal::TooSlow, sink);
        }
        self.refuse(request.id, self.max_give_up as f64, Refusal::NoServer, sink);
    }

    /// Whether a tenant already gets its share from this node. Only admitted requests count: with refused
    /// ones, clients that retry would keep their tenant over its share.
    pub(super) fn is_over_share(&self, now: Nanos, tenant: u32) -> bool {
        let Some(quota) = self.settings.tenant_quota.get(tenant) else { return false };
        let expected = quota / f64::from(self.settings.group_size) * self.decay_nanos / 1e9;
        let admitted =
            self.tenant_requests.get(&tenant).map_or(0.0, |count| count.value_at(now, self.decay_nanos));
        admitted > expected + SHARE_TOLERANCE_DEVIATIONS * expected.sqrt()
    }

    /// The worth of a request of this class per unit of its work.
    fn worth_per_work(&self, class: usize) -> f64 {
        let work = if self.settings.worth_by_work { 1.0 } else { self.class_states[class].typical_nanos };
        self.settings.classes[class].worth / work
    }

    /// How far the answers of a class are delayed: 0 for not at all, 1 for full priority over lower classes.
    fn delay_ratio(&self, now: Nanos, class: usize) -> f64 {
        let state = &self.class_states[class];
        let tolerable = MAX_EXPECTED_AIMS * self.settings.classes[class].aim as f64 - state.min_nanos;
        let delay = state.delay.value_at(now, self.delay_decay_nanos);
        (delay / tolerable.max(1.0) / FULL_PRIORITY_DELAY).clamp(0.0, 1.0)
    }

    /// The longest expected response time with which a request is admitted, in nanoseconds. Worth counts only
    /// as far as classes of higher worth are delayed: without contention it lowers no limit.
    pub(super) fn max_latency(&self, now: Nanos, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        let mut own = self.worth_per_work(usize::from(request.class));
        if self.is_over_share(now, request.tenant) {
            own *= self.settings.over_share_worth;
        }
        let (mut best, mut delayed) = (own.max(f64::MIN_POSITIVE), 0.0f64);
        let others = (0..self.class_states.len()).filter(|c| self.class_states[*c].is_in_force);
        for other in others.filter(|c| self.worth_per_work(*c) > own) {
            (best, delayed) =
                (best.max(self.worth_per_work(other)), delayed.max(self.delay_ratio(now, other)));
        }
        let left = request.give_up_at.saturating_sub(now) as f64;
        // The aim counts from the client's first try: later answers to retries only delay other requests.
        let age = if request.is_retry { (class.give_up as f64 - left).max(0.0) } else { 0.0 };
        let wanted = (1.0 + class.late_worth) * class.aim as f64 - age;
        let aims =
            1.0 - (1.0 - MAX_EXPECTED_AIMS) * delayed.max(self.delay_ratio(now, usize::from(request.class)));
        (aims * wanted).min(left) * (own / best).powf(WORTH_EXPONENT * delayed)
    }

    /// Refuses a request, with the advice to retry after about this time.
    pub(super) fn refuse(&mut self, id: RequestId, wait_nanos: f64, reason: Refusal, sink: Sink) {
        let jitter = 0.5 + self.random_fraction();
        let advice = (wait_nanos * jitter).min(self.settings.max_retry_after as f64) as Nanos;
        let retry_after = if self.settings.retry_after { advice } else { 0 };
        sink.push(Action::Refuse { request: id, reason, retry_after });
    }
}
