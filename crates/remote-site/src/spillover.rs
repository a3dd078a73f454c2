//! When requests begin to go to a far site, how their rate grows, and when they stay again.
//!
//! It begins when the near site turns away more than [`BEGIN`] of what comes, or has nobody at all to serve it, and
//! ends below [`END`]: what goes was turned away here as well, so that the spill does not hide its own cause. The
//! rate grows over the ramp, for a far site that was idle has cold servers, and falls as slowly when nothing goes.

use crate::as_seconds;
use corkhollow_balance::interface::Nanos;

/// Part of the arrivals that is turned away here when the spill begins ...
pub const START_REFUSED_SHARE: f64 = 0.05;
/// ... and when it ends.
pub const STOP_REFUSED_SHARE: f64 = 0.01;
/// So many arrivals are taken to have been served beside those that came: one refusal alone is no overload.
const PRIOR_SERVED_ARRIVALS: f64 = 20.0;
/// Arrivals are weighed over this long.
const ARRIVAL_DECAY_NANOS: Nanos = 1_000_000_000;
/// Part of the full rate with which it begins.
const INITIAL_RATE_SHARE: f64 = 0.05;
/// What was not used is saved up for this long, in seconds of the present rate.
const BURST_SECONDS: f64 = 0.1;

/// How much may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpilloverLimits {
    /// Part of the arrivals, 0 to 1.
    pub max_share: f64,
    /// Requests a second; none for no bound but the share.
    pub max_rate_per_second: Option<f64>,
    /// From the first request to the full rate.
    pub ramp: Nanos,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct Spillover {
    limits: SpilloverLimits,
    /// Arrivals and refusals of the last while, faded.
    arrivals: f64,
    refusals: f64,
    /// The far site as the ramp sees it, 0 (cold) to 1.
    ramp_progress: f64,
    active: bool,
    tokens: f64,
    updated_at: Nanos,
}

impl Spillover {
    /// Nothing goes yet.
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

    /// Whether requests go at present.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Requests a second that may go at present.
    pub fn rate_per_second(&self) -> f64 {
        let share_rate = self.limits.max_share * self.arrivals / as_seconds(ARRIVAL_DECAY_NANOS);
        self.limits.max_rate_per_second.map_or(share_rate, |rate| rate.min(share_rate))
            * (INITIAL_RATE_SHARE + (1.0 - INITIAL_RATE_SHARE) * self.ramp_progress)
    }

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

    /// A request has come, and the near site has taken it or not; `nobody` where it has no server to ask.
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

    /// Whether one more may go now; if so, it counts.
    pub fn try_take_token(&mut self, now: Nanos) -> bool {
        self.advance(now);
        let is_allowed = self.active && self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// The far site has been away, or has started again: it is cold.
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

    /// A thousand a second for so long, of which every so many-th is turned away; how many went.
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
            "2% turned away is no overload"
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
        // Half as many are turned away: all of those may go.
        assert!(send_arrivals(&mut spillover, &mut now, 1, 2, false) >= 499);
        assert!(spillover.is_active());
        send_arrivals(&mut spillover, &mut now, 10, 0, false);
        assert!(!spillover.is_active(), "it ends when nothing is turned away");
    }

    /// Between the two marks nothing changes.
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

    /// 5,000 that waited for the link do not arrive at once.
    #[test]
    fn a_burst_of_waiting_requests_is_not_forwarded_at_once() {
        let (mut spillover, mut now) = (new_spillover(), SECOND);
        send_arrivals(&mut spillover, &mut now, 12, 1, true);
        spillover.restart_ramp();
        let forwarded = (0..5_000).filter(|_| {
            spillover.record_arrival(now, true, true);
            spillover.try_take_token(now)
        });
        assert!(forwarded.count() <= 1, "at one moment");
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
