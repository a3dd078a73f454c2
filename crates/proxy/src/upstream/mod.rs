//! Towards the servers: where they are, connections to them, attempts.

mod discovery;
mod servers;

pub use discovery::{Following, Watcher};
pub use servers::{Entry, Sender, Upstreams};
