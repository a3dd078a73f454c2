//! SIGTERM with requests in every state: each accepted request is answered before the supervisor sends SIGKILL.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Earliest SIGKILL after SIGTERM: the longest deadline, of which at most 3 s count, and a margin of 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);

/// A configuration that gives requests this deadline.
fn config_with_deadline(discovery: SocketAddr, deadline_seconds: u64, max_sockets: u64) -> String {
    let give_up = format!("\"giveUpNs\":{deadline_seconds}000000000");
    platform_config(discovery, &NodeOptions { max_sockets, ..NodeOptions::default() })
        .replace("\"giveUpNs\":3000000000", &give_up)
}

/// Starts a node with servers that read requests and never answer.
fn start_with_hanging_servers(deadline_seconds: u64, max_sockets: u64) -> (Node, Discovery, Servers) {
    let servers = Servers::new(4, |_, _| Reply::NoAnswer);
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start_with_platform_file(&config_with_deadline(
        discovery.address,
        deadline_seconds,
        max_sockets,
    ));
    node.wait_until_ready();
    (node, discovery, servers)
}

/// A request without a timeout of its own: the deadline of its class applies.
fn post_without_timeout(path: &str) -> Vec<u8> {
    let request = String::from_utf8(post_request(path, b"body")).unwrap();
    request.replace("X-Timeout-Ms: 2500\r\n", "").into_bytes()
}

/// Waits until the listening socket is closed.
fn wait_until_refusing(node: &Node) {
    wait_until("new connections are refused", || TcpStream::connect(node.address).is_err());
}

#[test]
fn requests_that_hang_are_answered_before_the_kill_whatever_their_deadline() {
    for deadline_seconds in [3, 20] {
        let (mut node, _discovery, servers) = start_with_hanging_servers(deadline_seconds, 1024);
        let mut client = node.connect();
        client.write_all(&post_without_timeout("/once/1")).unwrap();
        wait_until("the request is in flight", || servers.request_count() == 1);
        let terminated_at = Instant::now();
        node.signal("-TERM");
        // Further signals have no effect.
        node.signal("-HUP");
        node.signal("-TERM");
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (504, Some("close")),
            "{deadline_seconds} s"
        );
        assert!(node.wait_for_exit().success());
        assert!(
            terminated_at.elapsed() < KILL_DELAY + Duration::from_millis(300),
            "{deadline_seconds} s: {:?}",
            terminated_at.elapsed()
        );
        let requests = servers.requests.lock().unwrap();
        assert_eq!(requests.len(), 1, "the unsafe request was retried: {requests:?}");
    }
}

/// Open connections may complete a request after SIGTERM. Its time is cut to what is left before the kill.
#[test]
fn requests_completed_late_in_the_shutdown_are_answered_before_the_kill() {
    let (mut node, _discovery, servers) = start_with_hanging_servers(3, 1024);
    // Connections with an incomplete request header stay open.
    let mut clients: Vec<_> = (0..3).map(|_| node.connect()).collect();
    let request = post_without_timeout("/once/1");
    for client in &mut clients {
        client.write_all(&request[..20]).unwrap();
    }
    wait_until("the clients are connected", || node.metric("gw_client_connections") == Some(3.0));
    let terminated_at = Instant::now();
    node.signal("-TERM");
    wait_until_refusing(&node);
    // The listener closes half a second after the signal; these requests complete 0.9 s after it.
    std::thread::sleep(Duration::from_millis(900).saturating_sub(terminated_at.elapsed()));
    for (k, client) in clients.iter_mut().enumerate() {
        let request = post_without_timeout("/once/1");
        client.write_all(&request[20..]).unwrap();
        wait_until("the request is in flight", || servers.request_count() == k + 1);
    }
    for mut client in clients {
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    }
    assert!(node.wait_for_exit().success());
    assert!(
        terminated_at.elapsed() < KILL_DELAY + Duration::from_millis(300),
        "{:?}",
        terminated_at.elapsed()
    );
}

/// All connection slots are held by requests that hang, and more clients wait in the backlog: the process exits
/// in time, and answers the requests that it sent to servers.
#[test]
fn a_full_connection_table_does_not_delay_the_shutdown() {
    let (mut node, _discovery, servers) = start_with_hanging_servers(20, 64);
    let mut clients = Vec::new();
    while servers.request_count() < 4 {
        let mut client = node.connect();
        client.write_all(&post_without_timeout("/once/1")).unwrap();
        clients.push(client);
        std::thread::sleep(Duration::from_millis(5));
        assert!(clients.len() < 200, "only {} requests reached a server", servers.request_count());
    }
    // Requests with incomplete bodies hold slots too.
    let incomplete = post_without_timeout("/once/1");
    for _ in 0..60 {
        let mut client = node.connect();
        let _ = client.write_all(&incomplete[..incomplete.len() - 2]);
        clients.push(client);
    }
    let terminated_at = Instant::now();
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    assert!(
        terminated_at.elapsed() < KILL_DELAY + Duration::from_millis(300),
        "{:?}",
        terminated_at.elapsed()
    );
    let answered = clients.iter_mut().filter_map(read_message).filter(|m| m.status() == 504).count();
    assert_eq!(answered, servers.request_count(), "a request that reached a server was not answered");
}

/// SIGTERM before discovery has answered: requests get 503, and the process exits.
#[test]
fn a_node_terminated_before_its_first_server_list_answers_its_requests() {
    let agent = ManualDiscovery::listen();
    let mut node = Node::start(agent.address, &NodeOptions::default());
    let unanswered_call = agent.next_call();
    let mut clients: Vec<_> = (0..5).map(|_| node.connect()).collect();
    for client in &mut clients {
        client.write_all(&post_request("/once/1", b"body")).unwrap();
    }
    node.signal("-TERM");
    for client in &mut clients {
        assert_eq!(read_message(client).expect("an answer").status(), 503);
    }
    assert!(node.wait_for_exit().success());
    drop(unanswered_call);
}

/// Closing a socket with unread bytes resets it, which could discard the answer that the client has not read
/// yet.
#[test]
fn unread_bytes_behind_the_last_request_do_not_truncate_its_answer() {
    let body = vec![b'x'; 60_000];
    let answer = response("200 OK", "", &body);
    let servers = Servers::new(20, move |_, _| Reply::Send(answer.clone()));
    let (mut node, _discovery) = Node::start_with_servers(&servers);
    let mut clients: Vec<_> = (0..20).map(|_| node.connect()).collect();
    let terminated_at = Instant::now();
    node.signal("-TERM");
    wait_until("/up answers 503", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    for client in &mut clients {
        let mut requests = post_request("/once/1", b"body");
        requests.extend(get_request("/safe/2", "").repeat(20));
        client.write_all(&requests).unwrap();
    }
    for client in &mut clients {
        let answer = read_message(client).expect("an answer");
        assert_eq!((answer.status(), answer.body.len(), answer.is_complete), (200, body.len(), true));
        let _ = client.read(&mut [0]);
    }
    assert!(node.wait_for_exit().success());
    assert!(
        terminated_at.elapsed() < KILL_DELAY + Duration::from_millis(300),
        "{:?}",
        terminated_at.elapsed()
    );
}

/// SIGTERM within a request header, a short body, and a long streamed body: each request is completed and
/// served, and its connection closed.
#[test]
fn requests_received_in_part_before_the_shutdown_are_served() {
    let servers =
        Servers::new(8, |_, m| Reply::Send(response("200 OK", "", m.body.len().to_string().as_bytes())));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let mut node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    let long_body_bytes = 6_000_000;
    let mut partial_requests = Vec::new();
    for (length, sent_bytes) in
        [(4, 20), (4, post_request("/once/1", b"").len() + 2), (long_body_bytes, long_body_bytes / 2)]
    {
        let request = post_request("/once/1", &vec![b'x'; length]);
        let mut client = node.connect();
        client.write_all(&request[..sent_bytes]).unwrap();
        partial_requests.push((client, request, sent_bytes, length));
    }
    wait_until("the clients are connected", || node.metric("gw_client_connections") == Some(3.0));
    node.signal("-TERM");
    wait_until("/up answers 503", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    for (mut client, request, sent_bytes, length) in partial_requests {
        client.write_all(&request[sent_bytes..]).unwrap();
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")), "{length} bytes");
        assert_eq!(answer.body, length.to_string().into_bytes());
    }
    assert!(node.wait_for_exit().success());
}

/// A request in flight is retried by the rules that it began with, although a reload removes its class and
/// lowers `maxAttempts`.
#[test]
fn a_request_in_flight_is_answered_across_two_reloads_and_a_shutdown() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let servers = Servers::new(2, move |n, _| {
        if n > 0 {
            return ok_reply("fine");
        }
        let _ = released.lock().unwrap().recv();
        Reply::Send(response("500 No", "", b""))
    });
    let (mut node, discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    client.write_all(&get_request("/safe/1", "")).unwrap();
    wait_until("the request is in flight", || servers.request_count() == 1);
    let without_class = platform_config(discovery.address, &NodeOptions::default())
        .replace("\"name\":\"safe\"", "\"name\":\"sure\"")
        .replace("\"maxAttempts\":3", "\"maxAttempts\":1");
    node.reload(&without_class);
    node.signal("-HUP");
    node.wait_for_log("reloaded: listeners", 1);
    assert_eq!(node.get("/safe/2", "").unwrap().status(), 404, "a removed class is still served");
    assert_eq!(node.get("/sure/2", "").unwrap().status(), 200);
    node.signal("-TERM");
    wait_until("/up answers 503", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    release.send(()).unwrap();
    assert_eq!(read_message(&mut client).expect("an answer").body, b"fine");
    assert_eq!(servers.request_count(), 3);
    assert!(node.wait_for_exit().success());
}
