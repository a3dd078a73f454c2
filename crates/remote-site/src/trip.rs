//! The time that the way to a far site and back takes, as its PINGs measure it.

use corkhollow_balance::interface::Nanos;

/// Smoothed round trip and its variation (RFC 6298, 2).
#[derive(Clone, Copy, Debug, Default)]
pub struct Trip {
    known: Option<(f64, f64)>,
}

impl Trip {
    /// Takes one round trip into account.
    pub fn sample(&mut self, round: Nanos) {
        let round = round as f64;
        self.known = Some(match self.known {
            None => (round, round / 2.0),
            Some((smooth, varies)) => {
                (0.875 * smooth + 0.125 * round, 0.75 * varies + 0.25 * (smooth - round).abs())
            }
        });
    }

    /// A round trip that few exceed; 0 where none was measured.
    pub fn round(&self) -> Nanos {
        self.known.map_or(0, |(smooth, varies)| (smooth + 4.0 * varies) as Nanos)
    }

    /// What a far site has for a request that has this left here; none where the way takes it all.
    ///
    /// Deadlines travel as durations: the clocks of two sites need not agree.
    pub fn left(&self, left: Nanos) -> Option<Nanos> {
        left.checked_sub(self.round()).filter(|left| *left > 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_way_is_taken_off() {
        let mut trip = Trip::default();
        assert_eq!((trip.round(), trip.left(5), trip.left(0)), (0, Some(5), None));
        trip.sample(100);
        assert_eq!(trip.round(), 300);
        (0..200).for_each(|_| trip.sample(100));
        assert!((100..105).contains(&trip.round()), "{}", trip.round());
        assert_eq!(trip.left(100), None);
        trip.sample(1_000);
        assert!(trip.round() > 1_000, "one late trip makes room for the next: {}", trip.round());
    }
}
