//! Deadlines far longer than the platform's usual ones must not lengthen how long a failed server is avoided.

use corkhollow_test_support::*;
use std::time::{Duration, Instant};

/// A configuration with deadlines of 20 s, as for requests that take long.
fn long_deadline_config(discovery: std::net::SocketAddr) -> String {
    platform_config(discovery, &NodeOptions::default())
        .replace("\"giveUpNs\":3000000000", "\"giveUpNs\":20000000000")
}

/// A server whose connection timed out is avoided for a while and is used again within 8 s, however long
/// deadlines are.
#[test]
fn a_server_is_used_again_soon_after_a_connect_timeout_with_long_deadlines() {
    let server = FullBacklogServer::new();
    let discovery =
        Discovery::new(vec![list_json(1, true, &[host_json("s-0", server.address, "active")])], true);
    let node = Node::start_with_platform_file(&long_deadline_config(discovery.address));
    node.wait_until_ready();
    assert_eq!(node.post("/once/1", b"").unwrap().status(), 503, "no other server could serve the request");
    let failed_at = Instant::now();
    server.serve("fine");
    wait_until("the server is used again", || node.post("/once/1", b"").unwrap().status() == 200);
    assert!(failed_at.elapsed() < Duration::from_secs(8), "{:?}", failed_at.elapsed());
}
