//! Faults between nodes, as data: how each direction between each two nodes treats datagrams, and a script that changes it and
//! stops, kills and starts nodes. Whoever plays it holds the clock and the nodes: a simulation, or real processes.

mod network;
mod script;

pub use network::{LinkFaults, Network};
pub use script::{Action, Script};

/// Time in milliseconds since a play began.
pub type Millis = u64;
