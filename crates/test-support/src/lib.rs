//! Scripted peers on loopback sockets: servers, clients, discovery, and the program between them.

mod clients;
mod discovery;
mod fleet;
mod link;
mod message;
mod program;
mod rig;
mod servers;

pub use clients::{get_request, half_close, post_request};
pub use discovery::{host, list, Agent, Call, Discovery};
pub use fleet::{Draw, Load, Machine, Tally};
pub use link::{End, Link, State, Way, Ways};
pub use message::{read_message, response, Message};
pub use program::{platform_config, program_path, Node, NodeOptions};
pub use rig::{Fleet, Member, Rig};
pub use servers::{
    ok_reply, refusing_address, reset_connection, spawn_raw_server, FullBacklogServer, Reply, Servers,
};

use std::thread;
use std::time::{Duration, Instant};

/// Far more than anything here takes: a test that gets this far has failed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for a condition.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A folder of its own for a test, gone with it.
pub struct TempFolder(pub std::path::PathBuf);

impl TempFolder {
    /// A new one; no two tests of a process may give it the same name.
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
