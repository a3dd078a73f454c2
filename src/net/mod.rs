//! The node around the module: sockets, clocks and memory, and no decisions.

pub mod body;
pub mod budget;
pub mod clients;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod gateway;
pub mod io;
pub mod servers;

use std::cell::Cell;

/// Lines that one life of the node writes at most: a log that grows with the trouble is trouble itself.
const MOST_LINES: u32 = 500;

thread_local! {
    static LINES: Cell<u32> = const { Cell::new(0) };
}

/// Writes a line to standard error, as long as there have not been too many.
pub fn log(line: std::fmt::Arguments<'_>) {
    let n = LINES.get() + 1;
    LINES.set(n);
    if n <= MOST_LINES {
        use std::io::Write;
        // Nobody reads the log, perhaps: that must not end the node.
        let _ = writeln!(std::io::stderr(), "yarrowfield: {line}");
    }
}

/// A stable hash: FNV-1a with its bits mixed, so that its low ones are as good as its high ones.
pub fn mix(bytes: &[u8]) -> u64 {
    let hash = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
