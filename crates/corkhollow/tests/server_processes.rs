//! A server is its process, not its address.

use corkhollow_test_support::*;
use std::time::{SystemTime, UNIX_EPOCH};

/// Guards against work for a server that has gone: a new one has come up at its address, and the list still names the
/// old one. The new process would get the work of both.
#[test]
fn a_server_whose_address_a_new_process_has_gets_no_work() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    wait_until("both servers are listed", || node.metric("gw_discovered") == Some(2.0));
    let started_now = |host: String| host.replace("\"born_ms\":0", &format!("\"born_ms\":{started_ms}"));
    let third = Servers::new(1, |_, _| ok_reply("fine"));
    let change = [("s-new", servers.addresses[0]), ("s-third", third.addresses[0])];
    let change = change.map(|(name, address)| started_now(host_json(name, address, "active")));
    discovery.push_line(list_json(2, false, &change) + "\n");
    wait_until("the change is applied", || node.metric("gw_discovered").is_some_and(|count| count > 2.0));
    assert_eq!(node.metric("gw_discovered"), Some(3.0), "the server that has gone is in use");
}
