//! One far site: whether a request that the near site has turned away goes there, and what becomes of it.

use crate::circuit_breaker::{CircuitBreaker, CircuitState};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::hops::{HopError, Hops};
use crate::retry_budget::RetryBudgets;
use crate::round_trip::RoundTripTime;
use crate::spillover::{Spillover, SpilloverLimits};
use corkhollow_balance::interface::{Effect, Ending, Nanos};

/// What the operator allows.
#[derive(Clone, Debug)]
pub struct ForwardingRules {
    /// The near site's name, as hop lists say it.
    pub local_site: String,
    /// The far site's name.
    pub remote_site: String,
    /// Classes that may go, by their index.
    pub allowed_classes: Vec<bool>,
    /// Tenants that may go, by their index; none for all, those without a name too.
    pub allowed_tenants: Option<Vec<u32>>,
    /// How much may go.
    pub spillover_limits: SpilloverLimits,
    /// Most requests that are there at once.
    pub max_concurrency: u32,
    /// Most sites that a request may have passed.
    pub max_hops: usize,
    /// The far site's servers drop repeats of what ran here, and the other way round.
    pub same_idempotency_group: bool,
    /// How long it is left alone after it has failed.
    pub breaker_open_time: Nanos,
}

/// A request that the near site does not serve.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its class.
    pub class: u8,
    /// Its tenant; `u32::MAX` for none.
    pub tenant: u32,
    /// What its class permits.
    pub effect: Effect,
    /// How long its client still waits.
    pub remaining: Nanos,
    /// Sites that it has passed.
    pub hops: &'a Hops,
    /// An earlier attempt, here or there, may have run it.
    pub may_have_run: bool,
    /// It has crossed this link before, or still does.
    pub is_retry: bool,
}

/// Why a request does not go.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotForwarded {
    /// The near site serves nearly all that comes.
    #[error("the near site turns too little away")]
    NoOverload,
    /// Its class may not.
    #[error("its class may not go")]
    ClassNotAllowed,
    /// Its tenant may not.
    #[error("its tenant may not go")]
    TenantNotAllowed,
    /// A loop, or too long a way.
    #[error(transparent)]
    Hops(#[from] HopError),
    /// It may have run, and must not run twice.
    #[error("it may have run already")]
    MayHaveRun,
    /// The way there and back takes longer than its client waits.
    #[error("the way takes longer than its client waits")]
    TooLate,
    /// The far site does not answer.
    #[error("the far site does not answer")]
    CircuitOpen,
    /// As much is there as it can do.
    #[error("the far site has as much as it can do")]
    ConcurrencyLimited,
    /// As many have gone of late as may.
    #[error("as many have gone as may for now")]
    RateLimited,
    /// Its class and tenant have had their repeats.
    #[error("no repeat is left for its class and tenant")]
    RetryBudgetExhausted,
}

/// A request on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// What the far site is told that it has.
    pub remaining: Nanos,
    /// The list of sites that it travels with.
    pub hops: Hops,
}

/// How a far site stands, for the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Whether requests go.
    pub spilling: bool,
    /// What the breaker lets through.
    pub circuit: CircuitState,
    /// Requests a second that may go.
    pub rate_per_second: f64,
    /// Requests that are there.
    pub in_flight: u32,
    /// Requests that may be there at once.
    pub concurrency_limit: u32,
    /// The round trip with its variation.
    pub round_trip: Nanos,
}

/// One far site as the near one sees it.
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
    /// Nothing known yet. The seed settles its random draws.
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

    /// A request came to the near site, which has taken it or turned it away; `nobody` where it has no server.
    pub fn record_arrival(&mut self, now: Nanos, refused: bool, has_no_server: bool) {
        self.spillover.record_arrival(now, refused, has_no_server);
    }

    /// A PING has come back.
    pub fn record_ping(&mut self, round_trip: Nanos) {
        self.round_trip.record_sample(round_trip);
    }

    /// Whether a request goes that the near site has turned away. One that does is out until [`Site::ended`].
    ///
    /// # Errors
    /// Why it stays: nothing of it has left.
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

    /// What became of a request that went; each is told of once.
    pub fn record_ending(&mut self, now: Nanos, ending: Ending, latency: Nanos) {
        let in_flight = self.in_flight;
        self.in_flight = in_flight.saturating_sub(1);
        let failed = match ending {
            Ending::Ok => {
                self.limit.record_response(now, latency, in_flight);
                false
            }
            // It answers, and has no room.
            Ending::Full => {
                self.limit.record_drop();
                false
            }
            // Evidence on the request, or none at all.
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

    /// The link is known to be lost. What was out is told of one by one.
    pub fn on_link_lost(&mut self, now: Nanos) {
        self.breaker.on_link_lost(now);
    }

    fn restart_cold(&mut self) {
        self.spillover.restart_ramp();
        self.limit.reset();
    }

    /// How it stands.
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
