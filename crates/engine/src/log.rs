//! Lines for the operator, on standard error.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Lines that one life of the program writes at most: a log that grows with the trouble is trouble itself.
const MOST_LINES: u32 = 500;

thread_local! {
    static LINES: Cell<u32> = const { Cell::new(0) };
}

/// Writes a line to standard error, as long as there have not been too many.
pub fn log(line: std::fmt::Arguments<'_>) {
    let n = LINES.get() + 1;
    LINES.set(n);
    if n <= MOST_LINES {
        use std::io::Write;
        // Nobody reads the log, perhaps: that must not end the program.
        let _ = writeln!(std::io::stderr(), "corkhollow: {line}");
    }
}

/// Lines of one kind, paced: as many at once as a large change makes, then a few a second; those left out are counted. They do
/// not take from what [`log`] may write.
#[derive(Debug)]
pub struct LogLimiter {
    /// Lines that may be written at once.
    burst: f64,
    /// And so many a second.
    rate: f64,
    left: f64,
    at: Instant,
    left_out: u64,
}

impl LogLimiter {
    /// So many at once, and so many a second.
    pub fn new(burst: u32, rate: f64) -> Self {
        let burst = f64::from(burst);
        LogLimiter { burst, rate, left: burst, at: Instant::now(), left_out: 0 }
    }

    /// Whether a line may be written `after` the last one that was asked for; how many were left out before it.
    fn admit(&mut self, after: Duration) -> Option<u64> {
        self.left = (self.left + after.as_secs_f64() * self.rate).min(self.burst);
        if self.left < 1.0 {
            self.left_out += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.left_out))
    }

    /// Writes a line to standard error, or leaves it out.
    pub fn log(&mut self, line: std::fmt::Arguments<'_>) {
        let now = Instant::now();
        let after = now.saturating_duration_since(self.at);
        self.at = now;
        let Some(left_out) = self.admit(after) else { return };
        use std::io::Write;
        let mut out = std::io::stderr().lock();
        // Nobody reads the log, perhaps: that must not end the program.
        let _ = match left_out {
            0 => writeln!(out, "corkhollow: {line}"),
            count => writeln!(out, "corkhollow: {line} ({count} such lines before it left out)"),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_paced_and_those_left_out_counted() {
        let mut pace = LogLimiter::new(3, 2.0);
        let now: Vec<_> = (0..5).map(|_| pace.admit(Duration::ZERO)).collect();
        assert_eq!(now, [Some(0), Some(0), Some(0), None, None]);
        assert_eq!(pace.admit(Duration::from_millis(400)), None);
        assert_eq!(pace.admit(Duration::from_millis(100)), Some(3));
        assert_eq!(pace.admit(Duration::from_secs(3_600)), Some(0));
    }
}
