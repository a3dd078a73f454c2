//! Simulations on a clock of their own, seeded: the same seed gives the same run.
//!
//! [`fleet`] plays many nodes' decisions over one fleet of servers whose queues are all known, [`cold`] servers of it that start
//! cold; [`histories`] plays one node's
//! engine through random failures and holds the rules against what it does; [`membership`] plays many nodes that keep one view
//! of each other over a network that fails them; [`scale`] writes configurations of the size that is coming.

pub mod cold;
pub mod fleet;
pub mod histories;
pub mod membership;
pub mod scale;
