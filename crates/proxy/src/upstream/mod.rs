//! Towards the servers: where they are, connections to them, attempts.

mod attempt;
mod check;
mod discovery;
mod fleet;
mod general;
mod link;
mod lives;
mod platform;
mod pool;
mod upstreams;

pub use pool::{CommonSettings, Engines, Pool, PoolContext};
