//! Deterministic simulations on a simulated clock: the same seed gives the same run.
//!
//! - [`fleet`]: many nodes balance requests over the same servers.
//! - [`cold`]: the same with servers that start cold (slow start).
//! - [`histories`]: the request engine of one node under random failures, checked against its guarantees.
//! - [`membership`]: the membership protocol of many nodes over a faulty network.
//! - [`scale`]: generated configurations of the planned size, or of a fraction of it.

pub mod cold;
pub mod fleet;
pub mod histories;
pub mod membership;
pub mod scale;
