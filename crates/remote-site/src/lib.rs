//! A far site as the last resort of a near one: which requests go there, how much, and when.
//!
//! Nothing is known of the far site but what the requests that went there tell of it. The parts are small and know
//! nothing of each other: [`spill`] (when it begins and how it grows), [`limit`] (how much at once), [`breaker`]
//! (whether it answers at all), [`budget`] (repeats), [`trip`] (the time that the way takes), [`hops`] (loops).
//! [`site`] puts them together. All are given the time; none reads a clock, a socket or a file.

pub mod circuit_breaker;
pub mod concurrency_limit;
pub mod hops;
pub mod retry_budget;
pub mod round_trip;
pub mod site;
pub mod spillover;

/// Seconds of a time in nanoseconds.
fn as_seconds(duration: corkhollow_balance::interface::Nanos) -> f64 {
    duration as f64 / 1e9
}
