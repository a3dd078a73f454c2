//! A far site as the last resort of a near one: which requests go there, how much, and when.
//!
//! Nothing is known of the far site but what the requests that went there tell of it. The parts are small and know
//! nothing of each other: [`spill`] (when it begins and how it grows), [`limit`] (how much at once), [`breaker`]
//! (whether it answers at all), [`budget`] (repeats), [`trip`] (the time that the way takes), [`hops`] (loops).
//! [`site`] puts them together. All are given the time; none reads a clock, a socket or a file.

pub mod breaker;
pub mod budget;
pub mod hops;
pub mod limit;
pub mod site;
pub mod spill;
pub mod trip;

/// Seconds of a time in nanoseconds.
fn seconds(time: corkhollow_balance::interface::Nanos) -> f64 {
    time as f64 / 1e9
}
