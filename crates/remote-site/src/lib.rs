//! Decides which requests that the local site cannot serve are forwarded to a remote site, how many, and
//! when.
//!
//! The remote site is observed only through the requests forwarded to it and the PINGs on the link. The
//! modules are independent of each other: [`spillover`] (when forwarding starts and how fast it ramps up),
//! [`concurrency_limit`] (requests in flight), [`circuit_breaker`] (whether the remote site is available),
//! [`retry_budget`] (retries), [`round_trip`] (deadlines) and [`hops`] (loop prevention). [`site`] combines
//! them. The caller passes in the current time; nothing here reads a clock, a socket or a file.

pub mod circuit_breaker;
pub mod concurrency_limit;
pub mod hops;
pub mod retry_budget;
pub mod round_trip;
pub mod site;
pub mod spillover;

fn as_seconds(duration: corkhollow_balance::interface::Nanos) -> f64 {
    duration as f64 / 1e9
}
