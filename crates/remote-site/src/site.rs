//! Decides whether a request that the local site refused is forwarded to a remote site, and records its
//! outcome.

use crate::circuit_breaker::{CircuitBreaker, CircuitState};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::hops::{HopError, Hops};
use crate::retry_budget::RetryBudgets;
use crate::round_trip::RoundTripTime;
use crate::spillover::{Spillover, SpilloverLimits};
use corkhollow_balance::interface::{Effect, Ending, Nanos};

/// What the operator allows to be forwarded.
#[derive(Clone, Debug)]
pub struct ForwardingRules {
    /// Name of the local site in hop lists.
    pub local_site: String,
    /// Name of the remote site in hop lists.
    pub remote_site: String,
    /// Whether requests of a class may be forwarded, by class index.
    pub allowed_classes: Vec<bool>,
    /// Tenants whose requests may be forwarded, by tenant index. None allows all requests, including those
    /// without a tenant.
    pub allowed_tenants: Option<Vec<u32>>,
    /// Limits on the rate of forwarded requests.
    pub spillover_limits: SpilloverLimits,
    /// Upper bound of the adaptive limit on requests in flight.
    pub max_concurrency: u32,
    /// Maximum length of the hop list of a forwarded request.
    pub max_hops: usize,
    /// The servers of both sites form one idempotency group: each drops repeats of requests that ran at the
    /// other.
    pub same_idempotency_group: bool,
    /// Base open time of the circuit breaker.
    pub breaker_open_time: Nanos,
}

/// A request that the local site does not serve.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Index of the class.
    pub class: u8,
    /// Index of the tenant; `u32::MAX` for none.
    pub tenant: u32,
    /// Whether the request may run twice.
    pub effect: Effect,
    /// Time until the client gives up.
    pub remaining: Nanos,
    /// Sites that the request has passed through.
    pub hops: &'a Hops,
    /// An earlier attempt may have run, at either site.
    pub may_have_run: bool,
    /// The request was forwarded over this link before; the earlier attempt may still be in flight.
    pub is_retry: bool,
}

/// Why a request is not forwarded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotForwarded {
    /// The local site is not overloaded, so spillover is inactive.
    #[error("spillover is inactive: the local site is not overloaded")]
    NoOverload,
    /// Requests of this class may not be forwarded.
    #[error("requests of this class may not be forwarded")]
    ClassNotAllowed,
    /// Requests of this tenant may not be forwarded.
    #[error("requests of this tenant may not be forwarded")]
    TenantNotAllowed,
    /// The request would loop or exceed the hop limit.
    #[error(transparent)]
    Hops(#[from] HopError),
    /// The request may have run already and must not run twice.
    #[error("the request may have run already and must not run twice")]
    MayHaveRun,
    /// The client gives up before a response could arrive.
    #[error("the round trip takes longer than the client waits")]
    TooLate,
    /// The circuit is open, or half-open and not admitting this request.
    #[error("the circuit breaker of the remote site is open")]
    CircuitOpen,
    /// The limit on requests in flight is reached.
    #[error("the concurrency limit of the remote site is reached")]
    ConcurrencyLimited,
    /// The limit on the rate of forwarded requests is reached.
    #[error("the rate limit on forwarded requests is reached")]
    RateLimited,
    /// The retry budget of the class and tenant is used up.
    #[error("the retry budget of the class and tenant is used up")]
    RetryBudgetExhausted,
}

/// What a forwarded request carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// Time that the remote site has to answer.
    pub remaining: Nanos,
    /// Hop list that includes the local site.
    pub hops: Hops,
}

/// State of a remote site, for the log and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Whether spillover is active.
    pub spilling: bool,
    /// Which requests the circuit breaker admits.
    pub circuit: CircuitState,
    /// Rate at which requests may be forwarded now.
    pub rate_per_second: f64,
    /// Forwarded requests in flight.
    pub in_flight: u32,
    /// Current limit on requests in flight.
    pub concurrency_limit: u32,
    /// Upper bound of the estimated round-trip time.
    pub round_trip: Nanos,
}

/// A remote site as seen by the local site.
#[derive(Clone, Debug)]
pub struct RemoteSite {
    rules: ForwardingRules,
    spillover: Spillover,
    limit: ConcurrencyLimit,
    breaker: CircuitBreaker,
    retry_budgets: RetryBudgets,
    round_trip: RoundTripTime,
    in_flight: u32,
}

impl RemoteSite {
    /// Creates a remote site with no measurements. The seed determines the jitter of the circuit breaker.
    pub fn new(rules: ForwardingRules, seed: u64) -> Self {
        RemoteSite {
            spillover: Spillover::new(rules.spillover_limits),
            limit: ConcurrencyLimit::new(rules.max_concurrency),
            breaker: CircuitBreaker::new(rules.breaker_open_time, seed),
            retry_budgets: RetryBudgets::default(),
            round_trip: RoundTripTime::default(),
            in_flight: 0,
            rules,
        }
    }

    /// Records a request at the local site and whether it was refused; `has_no_server` if no server is
    /// available.
    pub fn record_arrival(&mut self, now: Nanos, refused: bool, has_no_server: bool) {
        self.spillover.record_arrival(now, refused, has_no_server);
    }

    /// Records the round-trip time of a PING.
    pub fn record_ping(&mut self, round_trip: Nanos) {
        self.round_trip.record_sample(round_trip);
    }

    /// Decides whether to forward a request that the local site refused. A forwarded request is in flight
    /// until [`RemoteSite::record_ending`].
    ///
    /// # Errors
    /// Why the request is not forwarded; nothing of it has been sent.
    pub fn try_forward(&mut self, now: Nanos, candidate: &Candidate<'_>) -> Result<Forward, NotForwarded> {
        let rules = &self.rules;
        if !rules.allowed_classes.get(usize::from(candidate.class)).copied().unwrap_or(false) {
            return Err(NotForwarded::ClassNotAllowed);
        }
        if rules.allowed_tenants.as_ref().is_some_and(|all| !all.contains(&candidate.tenant)) {
            return Err(NotForwarded::TenantNotAllowed);
        }
        let hops = candidate.hops.forwarded(&rules.local_site, &rules.remote_site, rules.max_hops)?;
        let is_repeatable = match candidate.effect {
            Effect::Safe => true,
            Effect::Keyed => rules.same_idempotency_group,
            Effect::Unsafe => false,
        };
        if candidate.may_have_run && !is_repeatable {
            return Err(NotForwarded::MayHaveRun);
        }
        let remaining =
            self.round_trip.remaining_at_remote(candidate.remaining).ok_or(NotForwarded::TooLate)?;
        match self.breaker.state_at(now) {
            CircuitState::Closed => {}
            CircuitState::HalfOpen if candidate.effect == Effect::Safe => {}
            CircuitState::HalfOpen | CircuitState::Open => return Err(NotForwarded::CircuitOpen),
        }
        if self.in_flight >= self.limit.current() {
            return Err(NotForwarded::ConcurrencyLimited);
        }
        if candidate.is_retry && !self.retry_budgets.can_retry(candidate.class, candidate.tenant) {
            return Err(NotForwarded::RetryBudgetExhausted);
        }
        if !self.spillover.is_active() {
            return Err(NotForwarded::NoOverload);
        }
        if !self.spillover.try_take_token(now) {
            return Err(NotForwarded::RateLimited);
        }
        match candidate.is_retry {
            true => self.retry_budgets.withdraw(candidate.class, candidate.tenant),
            false => self.retry_budgets.deposit(candidate.class, candidate.tenant),
        }
        self.breaker.on_request_sent(now);
        self.in_flight += 1;
        Ok(Forward { remaining, hops })
    }

    /// Records how a forwarded request ended; called once for each.
    pub fn record_ending(&mut self, now: Nanos, ending: Ending, latency: Nanos) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        let failed = match ending {
            Ending::Ok => {
                self.limit.record_response(now, latency, in_flight);
                false
            }
            // The remote site is available but has no capacity.
            Ending::Full => {
                self.limit.record_drop();
                false
            }
            // These tell nothing about the health of the remote site.
            Ending::Rejected | Ending::Cancelled | Ending::NotSent => return self.breaker.release_probe(),
            Ending::TimedOut => {
                self.limit.record_drop();
                true
            }
            Ending::Error | Ending::ConnectFailed | Ending::Reset => true,
        };
        if self.breaker.record_response(now, failed) {
            self.restart_cold();
        }
    }

    /// Opens the circuit because the link is down. The requests in flight are still reported one by one with
    /// [`RemoteSite::record_ending`].
    pub fn on_link_lost(&mut self, now: Nanos) {
        self.breaker.on_link_lost(now);
    }

    fn restart_cold(&mut self) {
        self.spillover.restart_ramp();
        self.limit.reset();
    }

    /// Returns the current state.
    pub fn status(&self, now: Nanos) -> Status {
        Status {
            spilling: self.spillover.is_active(),
            circuit: self.breaker.state_at(now),
            rate_per_second: self.spillover.rate_per_second(),
            in_flight: self.in_flight,
            concurrency_limit: self.limit.current(),
            round_trip: self.round_trip.upper_bound(),
        }
    }
}
