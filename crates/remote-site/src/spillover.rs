//! When spillover to a remote site starts and stops, and how its rate ramps up.
//!
//! Spillover starts when the local site refuses more than [`START_REFUSED_SHARE`] of the arrivals or has no
//! server, and stops below [`STOP_REFUSED_SHARE`]. Forwarded requests count as refused too; otherwise
//! spillover would lower the share that keeps it active. The rate ramps up because the servers of an idle
//! remote site are cold, and the ramp runs backwards at the same speed while spillover is inactive.

use crate::as_seconds;
use corkhollow_balance::interface::Nanos;

/// Spillover starts when a larger share of the arrivals is refused locally.
pub const START_REFUSED_SHARE: f64 = 0.05;
/// Spillover stops when a smaller share of the arrivals is refused locally.
pub const STOP_REFUSED_SHARE: f64 = 0.01;
/// Served arrivals added to those counted, so that a few refusals at low traffic do not start spillover.
const PRIOR_SERVED_ARRIVALS: f64 = 20.0;
/// Time constant of the exponential decay of the arrival and refusal counts.
const ARRIVAL_DECAY_NANOS: Nanos = 1_000_000_000;
/// Fraction of the full rate at the start of the ramp.
const INITIAL_RATE_SHARE: f64 = 0.05;
/// Capacity of the token bucket, in seconds of the current rate.
const BURST_SECONDS: f64 = 0.1;

/// Limits on the rate of forwarded requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpilloverLimits {
    /// Share of the arrivals that may be forwarded, 0 to 1.
    pub max_share: f64,
    /// Absolute limit on forwarded requests; with none, only the share applies.
    pub max_rate_per_second: Option<f64>,
    /// Time to ramp up to the full rate.
    pub ramp: Nanos,
}

/// Spillover state and its token bucket; see the [module documentation](self).
#[derive(Clone, Debug)]
pub struct Spillover {
    limits: SpilloverLimits,
    /// Exponentially decayed count of arrivals.
    arrivals: f64,
    /// Exponentially decayed count of refusals.
    refusals: f64,
    /// From 0 (cold) to 1 (full rate).
    ramp_progress: f64,
    active: bool,
    tokens: f64,
    updated_at: Nanos,
}

impl Spillover {
    /// Creates an inactive spillover.
    pub fn new(limits: SpilloverLimits) -> Self {
        Spillover {
            limits,
            arrivals: 0.0,
            refusals: 0.0,
            ramp_progress: 0.0,
            active: false,
            tokens: 1.0,
            updated_at: 0,
        }
    }

    /// Returns whether spillover is active.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Returns the rate at which requests may be forwarded now.
    pub fn rate_per_second(&self) -> f64 {
        let share_rate = self.limits.max_share * self.arrivals / as_seconds(ARRIVAL_DECAY_NANOS);
        self.limits.max_rate_per_second.map_or(share_rate, |rate| rate.min(share_rate))
            * (INITIAL_RATE_SHARE + (1.0 - INITIAL_RATE_SHARE) * self.ramp_progress)
    }

    /// Applies decay, ramp and token refill up to `now`.
    fn advance(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let decay = (-(elapsed as f64) / ARRIVAL_DECAY_NANOS as f64).exp();
        self.arrivals *= decay;
        self.refusals *= decay;
        let step = elapsed as f64 / self.limits.ramp.max(1) as f64;
        self.ramp_progress = (self.ramp_progress + if self.active { step } else { -step }).clamp(0.0, 1.0);
        let rate = self.rate_per_second();
        self.tokens = (self.tokens + rate * as_seconds(elapsed)).min((rate * BURST_SECONDS).max(1.0));
    }

    /// Records a request at the local site and whether it was refused; `has_no_server` if no server is
    /// available.
    pub fn record_arrival(&mut self, now: Nanos, refused: bool, has_no_server: bool) {
        self.advance(now);
        self.arrivals += 1.0;
        self.refusals += f64::from(u8::from(refused));
        let refused_share = self.refusals / (self.arrivals + PRIOR_SERVED_ARRIVALS);
        if has_no_server || refused_share > START_REFUSED_SHARE {
            self.active = true;
        } else if refused_share < STOP_REFUSED_SHARE {
            self.active = false;
        }
    }

    /// Takes a token if spillover is active and one is available; returns whether it did.
    pub fn try_take_token(&mut self, now: Nanos) -> bool {
        self.advance(now);
        let is_allowed = self.active && self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Restarts the ramp, after the remote site was unavailable and its servers may be cold.
    pub fn restart_ramp(&mut self) {
        self.ramp_progress = 0.0;
        self.tokens = self.tokens.min(1.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MILLISECOND: Nanos = 1_000_000;
    const SECOND: Nanos = 1_000 * MILLISECOND;

    fn new_spillover() -> Spillover {
        Spillover::new(SpilloverLimits { max_share: 1.0, max_rate_per_second: None, ramp: 10 * SECOND })
    }

    /// Sends 1,000 arrivals a second, of which every `refuse_every`th is refused (0: none). Returns how many
    /// are forwarded.
    fn send_arrivals(
        spillover: &mut Spillover,
        now: &mut Nanos,
        seconds: u64,
        refuse_every: u64,
        has_no_server: bool,
    ) -> u64 {
        let mut forwarded = 0;
        for k in 0..seconds * 1000 {
            *now += MILLISECOND;
            let refused = refuse_every > 0 && k % refuse_every == 0;
            spillover.record_arrival(*now, refused, has_no_server);
            forwarded += u64::from(refused && spillover.try_take_token(*now));
        }
        forwarded
    }

    #[test]
    fn a_low_refused_share_starts_no_spillover() {
        let (mut spillover, mut now) = (new_spillover(), SECOND);
        assert_eq!(send_arrivals(&mut spillover, &mut now, 10, 0, false), 0);
        assert_eq!(
            send_arrivals(&mut spillover, &mut now, 10, 50, false),
            0,
            "2% refused is below the start threshold"
        );
    }

    #[test]
    fn spillover_ramps_up_and_stops_when_nothing_is_refused() {
        let (mut spillover, mut now) = (new_spillover(), SECOND);
        let first = send_arrivals(&mut spillover, &mut now, 1, 1, true);
        assert!(first < 150, "{first} in the first second");
        let mut previous = first;
        for second in 0..9 {
            let forwarded = send_arrivals(&mut spillover, &mut now, 1, 1, true);
            assert!(forwarded > previous, "second {second}: {forwarded} after {previous}");
            previous = forwarded;
        }
        assert!(previous > 800, "{previous}");
        // Half of the arrivals are refused: all of them are forwarded.
        assert!(send_arrivals(&mut spillover, &mut now, 1, 2, false) >= 499);
        assert!(spillover.is_active());
        send_arrivals(&mut spillover, &mut now, 10, 0, false);
        assert!(!spillover.is_active(), "nothing is refused any more");
    }

    /// A refused share between the thresholds changes nothing.
    #[test]
    fn spillover_does_not_flap_between_the_start_and_stop_thresholds() {
        let (mut spillover, mut now) = (new_spillover(), SECOND);
        send_arrivals(&mut spillover, &mut now, 5, 50, false);
        assert!(!spillover.is_active());
        send_arrivals(&mut spillover, &mut now, 3, 5, false);
        assert!(spillover.is_active());
        let mut changes = 0;
        for _ in 0..100 {
            let before = spillover.is_active();
            send_arrivals(&mut spillover, &mut now, 1, 40, false);
            changes += u32::from(spillover.is_active() != before);
        }
        assert_eq!(changes, 0);
    }

    /// 5,000 requests that waited for the link are not all forwarded when it returns.
    #[test]
    fn a_burst_of_waiting_requests_is_not_forwarded_at_once() {
        let (mut spillover, mut now) = (new_spillover(), SECOND);
        send_arrivals(&mut spillover, &mut now, 12, 1, true);
        spillover.restart_ramp();
        let forwarded = (0..5_000).filter(|_| {
            spillover.record_arrival(now, true, true);
            spillover.try_take_token(now)
        });
        assert!(forwarded.count() <= 1, "at the same moment");
        now += 100 * MILLISECOND;
        let forwarded = (0..5_000).filter(|_| spillover.try_take_token(now)).count();
        assert!(forwarded < 100, "{forwarded} after 100 ms");
    }

    #[test]
    fn forwarded_requests_stay_within_the_rate_and_share_limits() {
        let ramp = SECOND;
        let mut now = SECOND;
        let mut rate_limited =
            Spillover::new(SpilloverLimits { max_share: 1.0, max_rate_per_second: Some(100.0), ramp });
        send_arrivals(&mut rate_limited, &mut now, 2, 1, true);
        let forwarded = send_arrivals(&mut rate_limited, &mut now, 10, 1, true);
        assert!((950..=1020).contains(&forwarded), "{forwarded}");
        let mut share_limited =
            Spillover::new(SpilloverLimits { max_share: 0.2, max_rate_per_second: None, ramp });
        send_arrivals(&mut share_limited, &mut now, 5, 1, true);
        let forwarded = send_arrivals(&mut share_limited, &mut now, 10, 1, true);
        assert!((1900..=2050).contains(&forwarded), "{forwarded}");
    }
}
