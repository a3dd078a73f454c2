//! Estimates the round-trip time to a remote site from PINGs.

use corkhollow_balance::interface::Nanos;

/// Round-trip time estimator (RFC 6298, section 2).
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTripTime {
    /// Smoothed round-trip time and its variation, in nanoseconds.
    estimate: Option<(f64, f64)>,
}

impl RoundTripTime {
    /// Adds a measured round-trip time to the estimate.
    pub fn record_sample(&mut self, sample: Nanos) {
        let sample = sample as f64;
        self.estimate = Some(match self.estimate {
            None => (sample, sample / 2.0),
            Some((smoothed, variation)) => {
                (0.875 * smoothed + 0.125 * sample, 0.75 * variation + 0.25 * (smoothed - sample).abs())
            }
        });
    }

    /// Returns a bound that few round trips exceed; 0 without a measurement.
    pub fn upper_bound(&self) -> Nanos {
        self.estimate.map_or(0, |(smoothed, variation)| (smoothed + 4.0 * variation) as Nanos)
    }

    /// Returns how much of a request's remaining time is left after the round trip, if any.
    ///
    /// The deadline is a duration because the clocks of two sites may differ.
    pub fn remaining_at_remote(&self, remaining: Nanos) -> Option<Nanos> {
        remaining.checked_sub(self.upper_bound()).filter(|remaining| *remaining > 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_round_trip_is_subtracted_from_the_remaining_time() {
        let mut round_trip = RoundTripTime::default();
        assert_eq!(
            (round_trip.upper_bound(), round_trip.remaining_at_remote(5), round_trip.remaining_at_remote(0)),
            (0, Some(5), None)
        );
        round_trip.record_sample(100);
        assert_eq!(round_trip.upper_bound(), 300);
        (0..200).for_each(|_| round_trip.record_sample(100));
        assert!((100..105).contains(&round_trip.upper_bound()), "{}", round_trip.upper_bound());
        assert_eq!(round_trip.remaining_at_remote(100), None);
        round_trip.record_sample(1_000);
        assert!(
            round_trip.upper_bound() > 1_000,
            "a slow round trip raises the bound: {}",
            round_trip.upper_bound()
        );
    }
}
