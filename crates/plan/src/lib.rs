//! The gateway's configuration, compiled into a plan, and its resource limits. Opens no sockets and reads no clock.

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

/// A hash that is the same in every process and version: FNV-1a with a final mix, so that its low bits are as
/// well distributed as its high bits.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
