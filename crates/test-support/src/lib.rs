//! Scripted servers, clients and discovery services on loopback sockets, and helpers that run the program
//! under test.

mod clients;
mod demo;
mod discovery;

mod link;
mod message;
mod program;
mod rig;
mod servers;

pub use clients::{get_request, half_close, post_request};
pub use demo::{DemoServer, LoadGenerator, LoadStats, SeededRng};
pub use discovery::{host_json, list_json, Discovery, ManualDiscovery, ReceivedCall};
pub use link::{ConnectionFaults, DirectionFaults, Link, LinkEnd, LinkState};
pub use message::{read_message, response, Message};
pub use program::{platform_config, program_path, Node, NodeOptions};
pub use rig::{FleetView, Member, Rig};
pub use servers::{
    ok_reply, refusing_address, reset_connection, spawn_raw_server, FullBacklogServer, Reply, Servers,
};

use std::thread;
use std::time::{Duration, Instant};

/// Longer than any operation of a passing test; a wait that takes this long fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls `condition` until it holds.
///
/// # Panics
/// If the condition does not hold within 20 s; `what` names it.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A temporary directory, removed when dropped.
pub struct TempFolder(pub std::path::PathBuf);

impl TempFolder {
    /// Creates the directory. Each test of a process needs a name of its own.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("corkhollow-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
