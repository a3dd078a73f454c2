//! Fault injection between nodes, as data: how each directed link treats datagrams, and scripts that change
//! the links and stall, kill and start nodes. The caller provides the clock and the nodes: a simulation, or
//! real processes.

mod network;
mod script;

pub use network::{LinkFaults, Network};
pub use script::{Action, Script};

/// Milliseconds, as a duration or since the start of a script.
pub type Millis = u64;
