//! The operator's log on standard error, with limits on its volume.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The most lines that [`log`] writes per thread, so that a persistent fault cannot flood the log.
const MAX_LOG_LINES: u32 = 500;

thread_local! {
    static LOG_CALLS: Cell<u32> = const { Cell::new(0) };
}

/// Writes a line to standard error, up to a fixed number per thread; later lines are dropped.
pub fn log(line: std::fmt::Arguments<'_>) {
    let calls = LOG_CALLS.get() + 1;
    LOG_CALLS.set(calls);
    if calls <= MAX_LOG_LINES {
        use std::io::Write;
        // Standard error may be closed, which must not end the process.
        let _ = writeln!(std::io::stderr(), "corkhollow: {line}");
    }
}

/// A token bucket for log lines of one kind. It counts the lines that it suppresses, and is independent of
/// the limit on [`log`].
#[derive(Debug)]
pub struct LogLimiter {
    burst_lines: f64,
    lines_per_second: f64,
    tokens: f64,
    refilled_at: Instant,
    suppressed: u64,
}

impl LogLimiter {
    /// Allows bursts of `burst_lines` and a sustained rate of `lines_per_second`.
    pub fn new(burst_lines: u32, lines_per_second: f64) -> Self {
        let burst_lines = f64::from(burst_lines);
        LogLimiter {
            burst_lines,
            lines_per_second,
            tokens: burst_lines,
            refilled_at: Instant::now(),
            suppressed: 0,
        }
    }

    /// Decides on a line that comes `elapsed` after the previous one. If it is admitted, returns how many
    /// lines were suppressed before it.
    fn admit(&mut self, elapsed: Duration) -> Option<u64> {
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.lines_per_second).min(self.burst_lines);
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Writes a line to standard error, or suppresses it if the rate is exceeded.
    pub fn log(&mut self, line: std::fmt::Arguments<'_>) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let Some(suppressed) = self.admit(elapsed) else { return };
        use std::io::Write;
        let mut out = std::io::stderr().lock();
        // Standard error may be closed, which must not end the process.
        let _ = match suppressed {
            0 => writeln!(out, "corkhollow: {line}"),
            count => writeln!(out, "corkhollow: {line} ({count} similar lines suppressed before this one)"),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_rate_are_suppressed_and_counted() {
        let mut limiter = LogLimiter::new(3, 2.0);
        let admitted_at_once: Vec<_> = (0..5).map(|_| limiter.admit(Duration::ZERO)).collect();
        assert_eq!(admitted_at_once, [Some(0), Some(0), Some(0), None, None]);
        assert_eq!(limiter.admit(Duration::from_millis(400)), None);
        assert_eq!(limiter.admit(Duration::from_millis(100)), Some(3));
        assert_eq!(limiter.admit(Duration::from_secs(3_600)), Some(0));
    }
}
