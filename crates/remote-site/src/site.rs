//! One far site: whether a request that the near site has turned away goes there, and what becomes of it.

use crate::breaker::{Breaker, Gate};
use crate::budget::Budgets;
use crate::hops::{HopError, Hops};
use crate::limit::Limit;
use crate::spill::{Most, Spill};
use crate::trip::Trip;
use corkhollow_balance::interface::{Effect, Ending, Nanos};

/// What the operator allows.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The near site's name, as hop lists say it.
    pub own: String,
    /// The far site's name.
    pub name: String,
    /// Classes that may go, by their index.
    pub classes: Vec<bool>,
    /// Tenants that may go, by their index; none for all, those without a name too.
    pub tenants: Option<Vec<u32>>,
    /// How much may go.
    pub most: Most,
    /// Most requests that are there at once.
    pub concurrency: u32,
    /// Most sites that a request may have passed.
    pub hops: usize,
    /// The far site's servers drop repeats of what ran here, and the other way round.
    pub same_group: bool,
    /// How long it is left alone after it has failed.
    pub pause: Nanos,
}

/// A request that the near site does not serve.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Its class.
    pub class: u8,
    /// Its tenant; `u32::MAX` for none.
    pub tenant: u32,
    /// What its class permits.
    pub effect: Effect,
    /// How long its client still waits.
    pub left: Nanos,
    /// Sites that it has passed.
    pub hops: &'a Hops,
    /// An earlier attempt, here or there, may have run it.
    pub may_have_run: bool,
    /// It has crossed this link before, or still does.
    pub again: bool,
}

/// Why a request does not go.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Stays {
    /// The near site serves nearly all that comes.
    #[error("the near site turns too little away")]
    Served,
    /// Its class may not.
    #[error("its class may not go")]
    Class,
    /// Its tenant may not.
    #[error("its tenant may not go")]
    Tenant,
    /// A loop, or too long a way.
    #[error(transparent)]
    Hops(#[from] HopError),
    /// It may have run, and must not run twice.
    #[error("it may have run already")]
    MayHaveRun,
    /// The way there and back takes longer than its client waits.
    #[error("the way takes longer than its client waits")]
    Late,
    /// The far site does not answer.
    #[error("the far site does not answer")]
    Broken,
    /// As much is there as it can do.
    #[error("the far site has as much as it can do")]
    Full,
    /// As many have gone of late as may.
    #[error("as many have gone as may for now")]
    Rate,
    /// Its class and tenant have had their repeats.
    #[error("no repeat is left for its class and tenant")]
    Budget,
}

/// A request on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Goes {
    /// What the far site is told that it has.
    pub left: Nanos,
    /// The list of sites that it travels with.
    pub hops: Hops,
}

/// How a far site stands, for the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Whether requests go.
    pub going: bool,
    /// What the breaker lets through.
    pub gate: Gate,
    /// Requests a second that may go.
    pub rate: f64,
    /// Requests that are there.
    pub out: u32,
    /// Requests that may be there at once.
    pub limit: u32,
    /// The round trip with its variation.
    pub round: Nanos,
}

/// One far site as the near one sees it.
#[derive(Clone, Debug)]
pub struct Site {
    rules: Rules,
    spill: Spill,
    limit: Limit,
    breaker: Breaker,
    budgets: Budgets,
    trip: Trip,
    out: u32,
}

impl Site {
    /// Nothing known yet. The seed settles its random draws.
    pub fn new(rules: Rules, seed: u64) -> Self {
        Site {
            spill: Spill::new(rules.most),
            limit: Limit::new(rules.concurrency),
            breaker: Breaker::new(rules.pause, seed),
            budgets: Budgets::default(),
            trip: Trip::default(),
            out: 0,
            rules,
        }
    }

    /// A request came to the near site, which has taken it or turned it away; `nobody` where it has no server.
    pub fn arrived(&mut self, now: Nanos, refused: bool, nobody: bool) {
        self.spill.arrived(now, refused, nobody);
    }

    /// A PING has come back.
    pub fn pinged(&mut self, round: Nanos) {
        self.trip.sample(round);
    }

    /// Whether a request goes that the near site has turned away. One that does is out until [`Site::ended`].
    ///
    /// # Errors
    /// Why it stays: nothing of it has left.
    pub fn offer(&mut self, now: Nanos, ask: &Ask<'_>) -> Result<Goes, Stays> {
        let rules = &self.rules;
        if !rules.classes.get(usize::from(ask.class)).copied().unwrap_or(false) {
            return Err(Stays::Class);
        }
        if rules.tenants.as_ref().is_some_and(|all| !all.contains(&ask.tenant)) {
            return Err(Stays::Tenant);
        }
        let hops = ask.hops.onwards(&rules.own, &rules.name, rules.hops)?;
        let harmless = match ask.effect {
            Effect::Safe => true,
            Effect::Keyed => rules.same_group,
            Effect::Unsafe => false,
        };
        if ask.may_have_run && !harmless {
            return Err(Stays::MayHaveRun);
        }
        let left = self.trip.left(ask.left).ok_or(Stays::Late)?;
        match self.breaker.gate(now) {
            Gate::Closed => {}
            Gate::HalfOpen if ask.effect == Effect::Safe => {}
            Gate::HalfOpen | Gate::Open => return Err(Stays::Broken),
        }
        if self.out >= self.limit.get() {
            return Err(Stays::Full);
        }
        if ask.again && !self.budgets.has(ask.class, ask.tenant) {
            return Err(Stays::Budget);
        }
        if !self.spill.going() {
            return Err(Stays::Served);
        }
        if !self.spill.take(now) {
            return Err(Stays::Rate);
        }
        match ask.again {
            true => self.budgets.spend(ask.class, ask.tenant),
            false => self.budgets.earn(ask.class, ask.tenant),
        }
        self.breaker.sent(now);
        self.out += 1;
        Ok(Goes { left, hops })
    }

    /// What became of a request that went; each is told of once.
    pub fn ended(&mut self, now: Nanos, ending: Ending, took: Nanos) {
        let out = self.out;
        self.out = out.saturating_sub(1);
        let failed = match ending {
            Ending::Ok => {
                self.limit.answered(now, took, out);
                false
            }
            // It answers, and has no room.
            Ending::Full => {
                self.limit.dropped();
                false
            }
            // Evidence on the request, or none at all.
            Ending::Rejected | Ending::Cancelled | Ending::NotSent => return self.breaker.spared(),
            Ending::TimedOut => {
                self.limit.dropped();
                true
            }
            Ending::Error | Ending::ConnectFailed | Ending::Reset => true,
        };
        if self.breaker.ended(now, failed) {
            self.cold();
        }
    }

    /// The link is known to be lost. What was out is told of one by one.
    pub fn lost(&mut self, now: Nanos) {
        self.breaker.lost(now);
    }

    fn cold(&mut self) {
        self.spill.cool();
        self.limit.forget();
    }

    /// How it stands.
    pub fn standing(&self, now: Nanos) -> Standing {
        Standing {
            going: self.spill.going(),
            gate: self.breaker.gate(now),
            rate: self.spill.rate(),
            out: self.out,
            limit: self.limit.get(),
            round: self.trip.round(),
        }
    }
}
