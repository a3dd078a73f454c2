//! Towards the servers: where they are, connections to them, attempts.

mod attempt;
mod connection;
mod discovery;
mod health_check;
mod http;
mod idle_lifetime;
mod platform;
mod pool;
mod servers;
mod upstreams;

pub use pool::{CommonSettings, Engines, Pool, PoolContext};
