//! What the program has been told to do, and how much it may hold: no sockets, no clock.

pub mod change;
pub mod config;
pub mod discovery_list;
pub mod limits;
pub mod plan;
pub mod platform;
mod raw_config;
pub mod roster;
pub mod routes;
pub mod stable_read;
pub mod tenants;
pub mod version;

/// A stable hash: FNV-1a with its bits mixed, so that its low ones are as good as its high ones.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
