//! A soak test over real sockets and processes: gateways between scripted servers, discovery agents and clients, with faults that
//! overlap in time. Everything that crosses a socket is written into a ledger, and the ledger is judged by the rules afterwards.
//!
//! The same seed gives the same script of faults; what meets what in them depends on the machine, as it does in production.

pub mod check;
mod clients;
mod cluster;
mod connection;
mod discovery;
mod faults;
pub mod ledger;
mod run;
mod servers;

pub use faults::{Fault, Script};
pub use run::{run, Options, Report};
