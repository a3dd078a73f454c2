//! Fronts and sockets: clients' connections on one side, servers' connections on the other, the engine
//! between them. No decision is made here.

pub mod active_plan;
pub mod background;
mod body;
pub mod fleet;
mod headers;
pub mod http1;
pub mod operator;
mod socket;
pub mod upstream;
