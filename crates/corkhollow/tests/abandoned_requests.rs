//! Requests that end while an attempt still waits to be sent, as the client left or the request was answered:
//! nothing is sent for them, even where the settings do not allow cancelling.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The kernel repeats a SYN after a second: a connection that waits for the backlog comes up within this time.
const BACKLOG_CONNECT_TIME: Duration = Duration::from_millis(1700);

/// A configuration without cancelling and with a connection timeout of 2.9 s.
fn slow_connect_config(discovery: std::net::SocketAddr) -> String {
    platform_config(discovery, &NodeOptions::default())
        .replace("\"cancelling\":true", "\"cancelling\":false")
        .replace("\"connectTimeoutNs\":120000000", "\"connectTimeoutNs\":2900000000")
}

/// A node with this many servers, all at this address.
fn start_node(address: std::net::SocketAddr, servers: usize) -> (Node, Discovery) {
    let hosts: Vec<_> = (0..servers).map(|k| host_json(&format!("s-{k}"), address, "active")).collect();
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let node = Node::start_with_platform_file(&slow_connect_config(discovery.address));
    node.wait_until_ready();
    (node, discovery)
}

fn wait_until_outstanding(node: &Node, count: usize) {
    let what = format!("{count} requests are under way");
    wait_until(&what, || node.metric("gw_outstanding") == Some(count as f64));
}

/// Ways in which a client leaves: a name, how many bytes it sends first, and whether it resets the connection.
const DEPARTURES: [(&str, usize, bool); 6] = [
    ("a close", 0, false),
    ("a reset", 0, true),
    ("bytes and a close", 10, false),
    ("bytes and a reset", 10, true),
    ("much and a close", 60_000, false),
    ("much and a reset", 60_000, true),
];

fn leave(mut client: TcpStream, bytes: usize, resets: bool) {
    // The bytes are further requests, which would be served if the client stayed.
    let pipelined: Vec<u8> =
        std::iter::repeat_with(|| get_request("/safe/2", "")).flatten().take(bytes).collect();
    client.write_all(&pipelined).unwrap();
    if resets {
        reset_connection(client);
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_left_during_the_connect() {
    for (departure, bytes, resets) in DEPARTURES {
        for request in [post_request("/once/1", b"body"), get_request("/safe/1", "")] {
            let server = FullBacklogServer::new();
            let (node, _discovery) = start_node(server.address, 1);
            let mut client = node.connect();
            client.write_all(&request).unwrap();
            wait_until_outstanding(&node, 1);
            let left_at = Instant::now();
            leave(client, bytes, resets);
            wait_until_outstanding(&node, 0);
            assert!(
                left_at.elapsed() < Duration::from_millis(1200),
                "{departure}: ended {:?} later",
                left_at.elapsed()
            );
            // The request id can be used again, and no connection to a server stays open.
            let mut second_client = node.connect();
            second_client.write_all(&request).unwrap();
            wait_until_outstanding(&node, 1);
            drop(second_client);
            wait_until_outstanding(&node, 0);
            wait_until("no connection to a server stays open", || {
                node.metric("gw_server_connections") == Some(0.0)
            });
            let received = server.accept_and_collect(BACKLOG_CONNECT_TIME);
            assert!(received.is_empty(), "{departure}: {}", String::from_utf8_lossy(&received));
        }
    }
}

/// A streamed body is read only once its connection to a server is up, so that the client's close is seen
/// only after the body: the last byte must not be forwarded, as the server would start on a complete request.
#[test]
fn no_complete_request_is_sent_for_a_client_that_left_after_a_long_body() {
    let run_case = |pipelined_bytes: usize, resets: bool| {
        let server = FullBacklogServer::new();
        let discovery =
            Discovery::new(vec![list_json(1, true, &[host_json("s-0", server.address, "active")])], true);
        // The replay buffer is a sixteenth of the memory, 1 MiB; the body is longer.
        let node = Node::start_with_platform_file(
            &slow_connect_config(discovery.address).replace("\"memory_mb\":192", "\"memory_mb\":16"),
        );
        node.wait_until_ready();
        let request = post_request("/once/1", &[b'x'; 1_200_000]);
        let mut client = node.connect();
        client.write_all(&request).unwrap();
        wait_until("the connection to the server is being opened", || {
            node.metric("gw_server_connections") == Some(1.0)
        });
        leave(client, pipelined_bytes, resets);
        let received = server.accept_and_collect(BACKLOG_CONNECT_TIME);
        wait_until_outstanding(&node, 0);
        // The forwarded request would be as long as the client's.
        assert!(
            received.len() < request.len(),
            "{pipelined_bytes} bytes behind it, resets: {resets}: all {} bytes are forwarded",
            received.len()
        );
    };
    // Reading the close and writing the last byte race: many runs make both orders likely.
    std::thread::scope(|all| {
        for number in 0..24 {
            // Bytes behind the body hide the close.
            let pipelined_bytes = if number % 2 == 0 { 0 } else { 20_000 };
            all.spawn(move || run_case(pipelined_bytes, number < 2));
        }
    });
}

#[test]
fn nothing_is_sent_for_two_hundred_clients_that_left_at_once() {
    let server = FullBacklogServer::new();
    let (node, _discovery) = start_node(server.address, 200);
    let mut clients: Vec<_> = (0..200).map(|_| node.connect()).collect();
    for client in &mut clients {
        client.write_all(&post_request("/once/1", b"body")).unwrap();
    }
    wait_until("requests wait for connections", || node.metric("gw_outstanding").is_some_and(|n| n > 150.0));
    let left_at = Instant::now();
    for (k, client) in clients.into_iter().enumerate() {
        let (_, bytes, resets) = DEPARTURES[k % DEPARTURES.len()];
        leave(client, bytes, resets);
    }
    wait_until_outstanding(&node, 0);
    assert!(left_at.elapsed() < Duration::from_millis(1500), "ended {:?} later", left_at.elapsed());
    wait_until("no connection to a server stays open", || node.metric("gw_server_connections") == Some(0.0));
    let received = server.accept_and_collect(BACKLOG_CONNECT_TIME);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}

/// A client that closes or resets right after its last byte has left: the request and the close arrive
/// together.
#[test]
fn nothing_is_sent_for_a_client_that_closes_right_after_its_request() {
    let server = FullBacklogServer::new();
    let (node, _discovery) = start_node(server.address, 50);
    for k in 0..40 {
        let mut client = node.connect();
        client.write_all(&post_request("/once/1", b"body")).unwrap();
        if k % 2 == 0 {
            reset_connection(client);
        }
    }
    wait_until_outstanding(&node, 0);
    assert!(server.accept_and_collect(BACKLOG_CONNECT_TIME).is_empty());
}

/// Once one of the two attempts of a hedged request is answered, the other, whose connection is still being
/// opened, is not sent.
#[test]
fn a_hedged_attempt_is_not_sent_after_the_answer() {
    let unreachable = FullBacklogServer::new();
    let answering = Servers::new(1, |_, _| {
        std::thread::sleep(Duration::from_millis(700));
        ok_reply("fine")
    });
    let hosts =
        [host_json("s-0", unreachable.address, "active"), host_json("s-1", answering.addresses[0], "active")];
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let text =
        slow_connect_config(discovery.address).replace("\"secondCopies\":false", "\"secondCopies\":true");
    let node = Node::start_with_platform_file(&text);
    node.wait_until_ready();
    assert_eq!(node.get("/safe/1", "").unwrap().body, b"fine");
    assert_eq!(node.metric("gw_hedges{pool=\"platform\"}"), Some(1.0));
    let received = unreachable.accept_and_collect(BACKLOG_CONNECT_TIME);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
    assert_eq!(answering.request_count(), 1);
}

/// No retry is made for a client that left before the first server's error.
#[test]
fn no_retry_is_made_for_a_client_that_left() {
    for (departure, bytes, resets) in DEPARTURES {
        let (send_error, error_signal) = std::sync::mpsc::channel();
        let error_signal = std::sync::Mutex::new(error_signal);
        let servers = Servers::new(2, move |n, _| {
            if n == 0 {
                let _ = error_signal.lock().unwrap().recv();
                return Reply::Send(response("500 No", "", b""));
            }
            ok_reply("fine")
        });
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let node = Node::start_with_platform_file(&slow_connect_config(discovery.address));
        node.wait_until_ready();
        let mut client = node.connect();
        client.write_all(&get_request("/safe/1", "")).unwrap();
        wait_until("the request is under way", || servers.request_count() == 1);
        leave(client, bytes, resets);
        wait_until_outstanding(&node, 0);
        send_error.send(()).unwrap();
        // A later request is served; a retry would have been made by then.
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"fine", "{departure}");
        assert_eq!(servers.request_count(), 2, "{departure}");
    }
}

/// A server that starts to drain while its connection is being opened does not get the request.
#[test]
fn a_server_that_drains_during_the_connect_gets_no_request() {
    let draining = FullBacklogServer::new();
    let other = Servers::new(1, |_, _| ok_reply("other"));
    let (node, discovery) = start_node(draining.address, 1);
    let mut client = node.connect();
    client.write_all(&post_request("/once/1", b"body")).unwrap();
    wait_until_outstanding(&node, 1);
    let hosts =
        [host_json("s-0", draining.address, "leaving"), host_json("s-1", other.addresses[0], "active")];
    discovery.push_line(list_json(2, false, &hosts));
    wait_until("the list is applied", || node.metric("gw_discovered") == Some(2.0));
    let received = draining.accept_and_collect(BACKLOG_CONNECT_TIME);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
    assert_eq!(read_message(&mut client).unwrap().body, b"other");
}

/// A client leaves while its request waits for a connection of a full pool: the connection goes to the next
/// request, and the server does not get the abandoned one.
#[test]
fn nothing_is_sent_for_a_client_that_left_while_it_waited_for_a_connection() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(1, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok_reply("fine")
    });
    let address = servers.addresses[0];
    let node = Node::start_with_operator_file(&format!(
        "[operator]\nlisten = \"127.0.0.1:0\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"boxes\"\nservers = [{{ address = \"{address}\" }}]\nmax_connections = 1\nmax_waiting = 4\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n"
    ));
    let send_request = |path: &str| {
        let mut client = node.connect();
        client.write_all(&post_request(path, b"body")).unwrap();
        client
    };
    let mut first = send_request("/first");
    wait_until("the first request is under way", || servers.request_count() == 1);
    let left = send_request("/left");
    wait_until_outstanding(&node, 2);
    drop(left);
    wait_until_outstanding(&node, 1);
    let mut next = send_request("/next");
    wait_until_outstanding(&node, 2);
    drop(release);
    for client in [&mut first, &mut next] {
        assert_eq!(read_message(client).unwrap().body, b"fine");
    }
    let requests = servers.requests.lock().unwrap();
    assert!(requests.iter().all(|m| !m.head.contains("/left")), "{requests:?}");
    assert_eq!(requests.len(), 2);
}
