//! Requests that wait in the kernel's backlog because the process has reached its limit of client connections.

use corkhollow_test_support::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much longer than its client's remaining time a request's `X-Timeout-Ms` may be.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);

/// Clients with incomplete request headers hold all connection slots for over two seconds. Of the requests
/// behind them, one that has expired by then is not sent to a server, and one that has not is sent with its
/// remaining time.
#[test]
fn time_in_the_backlog_counts_against_the_timeout() {
    let sent_at = Arc::new(Mutex::new(None::<Instant>));
    let received = Arc::new(Mutex::new(Vec::new()));
    let (server_sent_at, server_received) = (sent_at.clone(), received.clone());
    let servers = Servers::new(1, move |_, message| {
        let elapsed = server_sent_at.lock().unwrap().map_or(Duration::ZERO, |at| at.elapsed());
        let timeout = message.header("x-timeout-ms").unwrap().parse().map(Duration::from_millis).unwrap();
        server_received.lock().unwrap().push((elapsed, timeout, message.body.clone()));
        ok_reply("fine")
    });
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start(discovery.address, &NodeOptions { max_sockets: 64, ..NodeOptions::default() });
    node.wait_until_ready();
    // An eighth more connections are accepted, whose requests are only answered 503.
    let max_clients = node.metric("gw_client_connections_most").unwrap() as usize;
    let stalled_clients: Vec<_> = (0..max_clients + max_clients / 8)
        .map(|_| {
            let mut client = node.connect();
            client.write_all(b"GET /safe/1 HTTP/1.1\r\nHost:").unwrap();
            client
        })
        .collect();
    let all_connected = || node.metric("gw_client_connections") == Some(stalled_clients.len() as f64);
    wait_until("the stalled clients hold all connection slots", all_connected);
    let connect_and_post = |body: &[u8], client_timeout: &str| {
        let request = String::from_utf8(post_request("/once/1", body)).unwrap();
        let mut client = node.connect();
        client.write_all(request.replace("X-Timeout-Ms: 2500", client_timeout).as_bytes()).unwrap();
        client
    };
    *sent_at.lock().unwrap() = Some(Instant::now());
    let mut short = connect_and_post(b"short", "X-Timeout-Ms: 1000");
    let mut long_client = connect_and_post(b"long", "X-Timeout-Ms: 2900");
    let short = read_message(&mut short).expect("an answer").status();
    assert!([503, 504].contains(&short), "the expired request got {short}");
    let long = read_message(&mut long_client).expect("an answer").status();
    assert!([200, 503, 504].contains(&long), "the other request got {long}");
    // Only the first request on a connection has waited in the backlog.
    long_client.write_all(&post_request("/once/2", b"next")).unwrap();
    assert_eq!(read_message(&mut long_client).expect("an answer").status(), 200);
    for (elapsed, timeout, body) in received.lock().unwrap().iter() {
        if body == b"next" {
            assert!(*timeout > Duration::from_millis(2_400), "{timeout:?} of 2.5 s");
            continue;
        }
        let client_timeout = Duration::from_millis(if body == b"short" { 1_000 } else { 2_900 });
        let left = client_timeout.saturating_sub(*elapsed);
        assert!(*timeout <= left + TIMEOUT_SLACK, "sent with {timeout:?}, {left:?} left after {elapsed:?}");
    }
}
