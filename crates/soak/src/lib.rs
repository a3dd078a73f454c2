//! A soak test over real sockets and processes: several nodes between scripted servers, discovery agents and
//! clients, under overlapping faults. All observations are recorded and checked against the rules afterwards.
//!
//! A seed determines the script of faults. How the faults interleave with requests depends on the machine's
//! timing.

pub mod check;
mod clients;
mod cluster;
mod connection;
mod discovery;
mod faults;
pub mod records;
mod run;
mod servers;

pub use faults::{Fault, Script};
pub use run::{run, Report, RunOptions};
