//! Stand-ins for the platform (discovery and process control), servers and clients, on loopback addresses and the
//! real clock. Standard library only.

pub mod client;
pub mod config;
pub mod discovery;
pub mod http;
pub mod node;
pub mod record;
pub mod server;

/// Whether the run includes the disruption (`TROUBLE` is not `0`).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A new request id: 16 hexadecimal digits, unique in this run.
pub fn new_request_id() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst) ^ (u64::from(std::process::id()) << 32);
    format!("{:016x}", number.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}
