//! When requests begin to go to a far site, how their rate grows, and when they stay again.
//!
//! It begins when the near site turns away more than [`BEGIN`] of what comes, or has nobody at all to serve it, and
//! ends below [`END`]: what goes was turned away here as well, so that the spill does not hide its own cause. The
//! rate grows over the ramp, for a far site that was idle has cold servers, and falls as slowly when nothing goes.

use crate::seconds;
use corkhollow_balance::interface::Nanos;

/// Part of the arrivals that is turned away here when the spill begins ...
pub const BEGIN: f64 = 0.05;
/// ... and when it ends.
pub const END: f64 = 0.01;
/// So many arrivals are taken to have been served beside those that came: one refusal alone is no overload.
const SERVED: f64 = 20.0;
/// Arrivals are weighed over this long.
const MEMORY: Nanos = 1_000_000_000;
/// Part of the full rate with which it begins.
const FROM: f64 = 0.05;
/// What was not used is saved up for this long, in seconds of the present rate.
const SAVED: f64 = 0.1;

/// How much may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Most {
    /// Part of the arrivals, 0 to 1.
    pub share: f64,
    /// Requests a second; none for no bound but the share.
    pub rate: Option<f64>,
    /// From the first request to the full rate.
    pub ramp: Nanos,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct Spill {
    most: Most,
    /// Arrivals and refusals of the last while, faded.
    arrivals: f64,
    refusals: f64,
    /// The far site as the ramp sees it, 0 (cold) to 1.
    warm: f64,
    going: bool,
    tokens: f64,
    at: Nanos,
}

impl Spill {
    /// Nothing goes yet.
    pub fn new(most: Most) -> Self {
        Spill { most, arrivals: 0.0, refusals: 0.0, warm: 0.0, going: false, tokens: 1.0, at: 0 }
    }

    /// Whether requests go at present.
    pub fn going(&self) -> bool {
        self.going
    }

    /// Requests a second that may go at present.
    pub fn rate(&self) -> f64 {
        let share = self.most.share * self.arrivals / seconds(MEMORY);
        self.most.rate.map_or(share, |rate| rate.min(share)) * (FROM + (1.0 - FROM) * self.warm)
    }

    fn pass(&mut self, now: Nanos) {
        let gone = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let fade = (-(gone as f64) / MEMORY as f64).exp();
        self.arrivals *= fade;
        self.refusals *= fade;
        let step = gone as f64 / self.most.ramp.max(1) as f64;
        self.warm = (self.warm + if self.going { step } else { -step }).clamp(0.0, 1.0);
        let rate = self.rate();
        self.tokens = (self.tokens + rate * seconds(gone)).min((rate * SAVED).max(1.0));
    }

    /// A request has come, and the near site has taken it or not; `nobody` where it has no server to ask.
    pub fn arrived(&mut self, now: Nanos, refused: bool, nobody: bool) {
        self.pass(now);
        self.arrivals += 1.0;
        self.refusals += f64::from(u8::from(refused));
        let part = self.refusals / (self.arrivals + SERVED);
        if nobody || part > BEGIN {
            self.going = true;
        } else if part < END {
            self.going = false;
        }
    }

    /// Whether one more may go now; if so, it counts.
    pub fn take(&mut self, now: Nanos) -> bool {
        self.pass(now);
        let may = self.going && self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// The far site has been away, or has started again: it is cold.
    pub fn cool(&mut self) {
        self.warm = 0.0;
        self.tokens = self.tokens.min(1.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;
    const S: Nanos = 1_000 * MS;

    fn spill() -> Spill {
        Spill::new(Most { share: 1.0, rate: None, ramp: 10 * S })
    }

    /// A thousand a second for so long, of which every so many-th is turned away; how many went.
    fn play(spill: &mut Spill, now: &mut Nanos, seconds: u64, every: u64, nobody: bool) -> u64 {
        let mut went = 0;
        for k in 0..seconds * 1000 {
            *now += MS;
            let refused = every > 0 && k % every == 0;
            spill.arrived(*now, refused, nobody);
            went += u64::from(refused && spill.take(*now));
        }
        went
    }

    #[test]
    fn load_that_is_served_stays() {
        let (mut spill, mut now) = (spill(), S);
        assert_eq!(play(&mut spill, &mut now, 10, 0, false), 0);
        assert_eq!(play(&mut spill, &mut now, 10, 50, false), 0, "2% turned away is no overload");
    }

    #[test]
    fn a_spill_grows_over_its_ramp_and_ends_in_order() {
        let (mut spill, mut now) = (spill(), S);
        let first = play(&mut spill, &mut now, 1, 1, true);
        assert!(first < 150, "{first} in the first second");
        let mut last = first;
        for second in 0..9 {
            let went = play(&mut spill, &mut now, 1, 1, true);
            assert!(went > last, "second {second}: {went} after {last}");
            last = went;
        }
        assert!(last > 800, "{last}");
        // Half as many are turned away: all of those may go.
        assert!(play(&mut spill, &mut now, 1, 2, false) >= 499);
        assert!(spill.going());
        play(&mut spill, &mut now, 10, 0, false);
        assert!(!spill.going(), "it ends when nothing is turned away");
    }

    /// Between the two marks nothing changes.
    #[test]
    fn it_does_not_flap() {
        let (mut spill, mut now) = (spill(), S);
        play(&mut spill, &mut now, 5, 50, false);
        assert!(!spill.going());
        play(&mut spill, &mut now, 3, 5, false);
        assert!(spill.going());
        let mut changes = 0;
        for _ in 0..100 {
            let before = spill.going();
            play(&mut spill, &mut now, 1, 40, false);
            changes += u32::from(spill.going() != before);
        }
        assert_eq!(changes, 0);
    }

    /// 5,000 that waited for the link do not arrive at once.
    #[test]
    fn a_wave_is_broken() {
        let (mut spill, mut now) = (spill(), S);
        play(&mut spill, &mut now, 12, 1, true);
        spill.cool();
        let went = (0..5_000).filter(|_| {
            spill.arrived(now, true, true);
            spill.take(now)
        });
        assert!(went.count() <= 1, "at one moment");
        now += 100 * MS;
        let went = (0..5_000).filter(|_| spill.take(now)).count();
        assert!(went < 100, "{went} after 100 ms");
    }

    #[test]
    fn rate_and_share_are_bounds() {
        let ramp = S;
        let mut now = S;
        let mut rated = Spill::new(Most { share: 1.0, rate: Some(100.0), ramp });
        play(&mut rated, &mut now, 2, 1, true);
        let went = play(&mut rated, &mut now, 10, 1, true);
        assert!((950..=1020).contains(&went), "{went}");
        let mut shared = Spill::new(Most { share: 0.2, rate: None, ramp });
        play(&mut shared, &mut now, 5, 1, true);
        let went = play(&mut shared, &mut now, 10, 1, true);
        assert!((1900..=2050).contains(&went), "{went}");
    }
}
