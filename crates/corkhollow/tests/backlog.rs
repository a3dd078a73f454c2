//! Requests that wait in the kernel's backlog, because a process has no place for their connections.

use corkhollow_test_support::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What may be announced to a server beyond what its client has left.
const ANNOUNCED_SLACK: Duration = Duration::from_millis(150);

/// Clients that stop in their heads hold all places for over two seconds. What waits behind them that long has that much less time: one
/// whose time is over goes to no server, and the other's announces what is left of it.
#[test]
fn time_in_the_backlog_counts() {
    let sent_at = Arc::new(Mutex::new(None::<Instant>));
    let announced = Arc::new(Mutex::new(Vec::new()));
    let (sent, announces) = (sent_at.clone(), announced.clone());
    let servers = Servers::new(1, move |_, message| {
        let passed = sent.lock().unwrap().map_or(Duration::ZERO, |at| at.elapsed());
        let timeout = message.header("x-timeout-ms").unwrap().parse().map(Duration::from_millis).unwrap();
        announces.lock().unwrap().push((passed, timeout, message.body.clone()));
        ok_reply("fine")
    });
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { max_sockets: 64, ..NodeOptions::default() });
    node.wait_until_ready();
    // An eighth more than the places for clients is kept for those that are only answered 503.
    let places = node.metric("gw_client_connections_most").unwrap() as usize;
    let stopped: Vec<_> = (0..places + places / 8)
        .map(|_| {
            let mut client = node.connect();
            client.write_all(b"GET /safe/1 HTTP/1.1\r\nHost:").unwrap();
            client
        })
        .collect();
    let all_held = || node.metric("gw_client_connections") == Some(stopped.len() as f64);
    wait_until("they hold all places", all_held);
    let ask = |body: &[u8], patience: &str| {
        let request = String::from_utf8(post_request("/once/1", body)).unwrap();
        let mut client = node.connect();
        client.write_all(request.replace("X-Timeout-Ms: 2500", patience).as_bytes()).unwrap();
        client
    };
    *sent_at.lock().unwrap() = Some(Instant::now());
    let mut short = ask(b"short", "X-Timeout-Ms: 1000");
    let mut kept = ask(b"long", "X-Timeout-Ms: 2900");
    let short = read_message(&mut short).expect("an answer").status();
    assert!([503, 504].contains(&short), "its time was over: {short}");
    let long = read_message(&mut kept).expect("an answer").status();
    assert!([200, 503, 504].contains(&long), "{long}");
    // Only the first request of a connection has waited with it.
    kept.write_all(&post_request("/once/2", b"next")).unwrap();
    assert_eq!(read_message(&mut kept).expect("an answer").status(), 200);
    for (passed, timeout, body) in announced.lock().unwrap().iter() {
        if body == b"next" {
            assert!(*timeout > Duration::from_millis(2_400), "{timeout:?} of 2.5 s");
            continue;
        }
        let patience = Duration::from_millis(if body == b"short" { 1_000 } else { 2_900 });
        let left = patience.saturating_sub(*passed);
        assert!(*timeout <= left + ANNOUNCED_SLACK, "{timeout:?} announced, {left:?} left after {passed:?}");
    }
}
