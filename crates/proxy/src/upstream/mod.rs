//! The server side: server lists, connections to servers and attempts.

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
