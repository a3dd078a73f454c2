//! Settings of other customers: what is right for one's deadlines must not be wrong for another's.

use corkhollow_test_support::*;
use std::time::{Duration, Instant};

/// Deadlines of 20 s, as a customer with heavy work has them.
fn long(discovery: std::net::SocketAddr) -> String {
    platform_config(discovery, &NodeOptions::default())
        .replace("\"giveUpNs\":3000000000", "\"giveUpNs\":20000000000")
}

/// A connection that comes up late is no connection; its server is avoided for a while and is there again when the trouble is
/// over, however long clients would wait.
#[test]
fn a_server_is_back_soon_whatever_the_deadlines() {
    let late = FullBacklogServer::new();
    let discovery =
        Discovery::new(vec![list_json(1, true, &[host_json("s-0", late.address, "active")])], true);
    let node = Node::start_with_platform_file(&long(discovery.address));
    node.wait_until_ready();
    assert_eq!(node.post("/once/1", b"").unwrap().status(), 503, "nobody else could have it");
    let failed = Instant::now();
    late.serve("fine");
    wait_until("it is tried again", || node.post("/once/1", b"").unwrap().status() == 200);
    assert!(failed.elapsed() < Duration::from_secs(8), "{:?}", failed.elapsed());
}
