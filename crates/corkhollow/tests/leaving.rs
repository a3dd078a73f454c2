//! Requests that are over while they wait: their clients have left, or they have been answered. Nothing is sent on for them,
//! whatever the settings say of cancelling.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The kernel tries a connection again a second after its first try; what would come, comes within this.
const COMES: Duration = Duration::from_millis(1700);

/// A configuration without cancelling, whose connections may take their time.
fn patient(discovery: std::net::SocketAddr) -> String {
    platform_config(discovery, &NodeOptions::default())
        .replace("\"cancelling\":true", "\"cancelling\":false")
        .replace("\"connectTimeoutNs\":120000000", "\"connectTimeoutNs\":2900000000")
}

/// A node before so many servers, all at this address.
fn before(dial: std::net::SocketAddr, servers: usize) -> (Node, Discovery) {
    let hosts: Vec<_> = (0..servers).map(|k| host_json(&format!("s-{k}"), dial, "active")).collect();
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let node = Node::start_with_platform_file(&patient(discovery.address));
    node.wait_until_ready();
    (node, discovery)
}

fn outstanding(node: &Node, count: usize) {
    let what = format!("{count} requests are under way");
    wait_until(&what, || node.metric("gw_outstanding") == Some(count as f64));
}

/// The ways in which a client leaves: what it still sends, and whether with a reset.
const WAYS: [(&str, usize, bool); 6] = [
    ("a close", 0, false),
    ("a reset", 0, true),
    ("bytes and a close", 10, false),
    ("bytes and a reset", 10, true),
    ("much and a close", 60_000, false),
    ("much and a reset", 60_000, true),
];

fn leave(mut client: TcpStream, bytes: usize, resets: bool) {
    // Requests of its own would be served if it did not leave.
    let more: Vec<u8> = std::iter::repeat_with(|| get_request("/safe/2", "")).flatten().take(bytes).collect();
    client.write_all(&more).unwrap();
    if resets {
        reset_connection(client);
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_left_in_a_connect() {
    for (way, bytes, resets) in WAYS {
        for request in [post_request("/once/1", b"body"), get_request("/safe/1", "")] {
            let server = FullBacklogServer::new();
            let (node, _discovery) = before(server.address, 1);
            let mut client = node.connect();
            client.write_all(&request).unwrap();
            outstanding(&node, 1);
            let left = Instant::now();
            leave(client, bytes, resets);
            outstanding(&node, 0);
            assert!(left.elapsed() < Duration::from_millis(1200), "{way}: over {:?} later", left.elapsed());
            // Its id is free, and no connection is held.
            let mut again = node.connect();
            again.write_all(&request).unwrap();
            outstanding(&node, 1);
            drop(again);
            outstanding(&node, 0);
            wait_until("no connection is held", || node.metric("gw_server_connections") == Some(0.0));
            let seen = server.accept_and_collect(COMES);
            assert!(seen.is_empty(), "{way}: {}", String::from_utf8_lossy(&seen));
        }
    }
}

/// A body that goes on as it comes is read only once there is a connection for it, and the end of its client is seen only behind it:
/// the last byte, with which its server would begin, is not sent on.
#[test]
fn nothing_whole_is_sent_for_a_client_that_left_behind_a_long_body() {
    let play = |resets: bool| {
        let server = FullBacklogServer::new();
        let discovery =
            Discovery::new(vec![list_json(1, true, &[host_json("s-0", server.address, "active")])], true);
        // A sixteenth of the memory, 1 MiB, is kept of a body.
        let node = Node::start_with_platform_file(
            &patient(discovery.address).replace("\"memory_mb\":192", "\"memory_mb\":16"),
        );
        node.wait_until_ready();
        let request = post_request("/once/1", &[b'x'; 1_200_000]);
        let mut client = node.connect();
        client.write_all(&request).unwrap();
        wait_until("its connection is coming up", || node.metric("gw_server_connections") == Some(1.0));
        leave(client, 0, resets);
        let seen = server.accept_and_collect(COMES);
        outstanding(&node, 0);
        // The request goes on with the same length.
        assert!(seen.len() < request.len(), "resets: {resets}: all {} bytes are sent on", seen.len());
    };
    // What reads the end and what writes the last byte race: of so many one loses.
    std::thread::scope(|all| {
        for number in 0..24 {
            all.spawn(move || play(number == 0));
        }
    });
}

#[test]
fn nor_for_two_hundred_at_once() {
    let server = FullBacklogServer::new();
    let (node, _discovery) = before(server.address, 200);
    let mut clients: Vec<_> = (0..200).map(|_| node.connect()).collect();
    for client in &mut clients {
        client.write_all(&post_request("/once/1", b"body")).unwrap();
    }
    wait_until("they wait", || node.metric("gw_outstanding").is_some_and(|n| n > 150.0));
    let left = Instant::now();
    for (k, client) in clients.into_iter().enumerate() {
        let (_, bytes, resets) = WAYS[k % WAYS.len()];
        leave(client, bytes, resets);
    }
    outstanding(&node, 0);
    assert!(left.elapsed() < Duration::from_millis(1500), "over {:?} later", left.elapsed());
    wait_until("no connection is held", || node.metric("gw_server_connections") == Some(0.0));
    let seen = server.accept_and_collect(COMES);
    assert!(seen.is_empty(), "{}", String::from_utf8_lossy(&seen));
}

/// A close right behind the last byte: the request is there with the end of its client.
#[test]
fn a_client_that_leaves_with_its_last_byte_is_gone() {
    let server = FullBacklogServer::new();
    let (node, _discovery) = before(server.address, 50);
    for k in 0..40 {
        let mut client = node.connect();
        client.write_all(&post_request("/once/1", b"body")).unwrap();
        if k % 2 == 0 {
            reset_connection(client);
        }
    }
    outstanding(&node, 0);
    assert!(server.accept_and_collect(COMES).is_empty());
}

/// A request that has been answered by its second copy is over: the first, whose connection is still coming up, is not
/// written any more, nor the other way round.
#[test]
fn no_copy_is_sent_behind_the_answer() {
    let server = FullBacklogServer::new();
    let quick = Servers::new(1, |_, _| {
        std::thread::sleep(Duration::from_millis(700));
        ok_reply("fine")
    });
    let hosts = [host_json("s-0", server.address, "active"), host_json("s-1", quick.addresses[0], "active")];
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let text = patient(discovery.address).replace("\"secondCopies\":false", "\"secondCopies\":true");
    let node = Node::start_with_platform_file(&text);
    node.wait_until_ready();
    assert_eq!(node.get("/safe/1", "").unwrap().body, b"fine");
    assert_eq!(node.metric("gw_hedges{pool=\"platform\"}"), Some(1.0));
    let seen = server.accept_and_collect(COMES);
    assert!(seen.is_empty(), "{}", String::from_utf8_lossy(&seen));
    assert_eq!(quick.request_count(), 1);
}

/// A client that leaves before a retry: the first server's error comes, and nobody else gets the request.
#[test]
fn nothing_is_tried_again_for_a_client_that_left() {
    for (way, bytes, resets) in WAYS {
        let (error, wait) = std::sync::mpsc::channel();
        let wait = std::sync::Mutex::new(wait);
        let servers = Servers::new(2, move |n, _| {
            if n == 0 {
                let _ = wait.lock().unwrap().recv();
                return Reply::Send(response("500 No", "", b""));
            }
            ok_reply("fine")
        });
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let node = Node::start_with_platform_file(&patient(discovery.address));
        node.wait_until_ready();
        let mut client = node.connect();
        client.write_all(&get_request("/safe/1", "")).unwrap();
        wait_until("the request is under way", || servers.request_count() == 1);
        leave(client, bytes, resets);
        outstanding(&node, 0);
        error.send(()).unwrap();
        // One that comes behind it is served; whatever was to be tried again has been by then.
        assert_eq!(node.post("/once/1", b"").unwrap().body, b"fine", "{way}");
        assert_eq!(servers.request_count(), 2, "{way}");
    }
}

/// What was decided before a list is carried out after it: a server that drains by then does not get the request.
#[test]
fn a_connection_that_comes_up_after_the_drain_is_not_used() {
    let server = FullBacklogServer::new();
    let other = Servers::new(1, |_, _| ok_reply("other"));
    let (node, discovery) = before(server.address, 1);
    let mut client = node.connect();
    client.write_all(&post_request("/once/1", b"body")).unwrap();
    outstanding(&node, 1);
    let hosts = [host_json("s-0", server.address, "leaving"), host_json("s-1", other.addresses[0], "active")];
    discovery.push_line(list_json(2, false, &hosts));
    wait_until("the list is taken in", || node.metric("gw_discovered") == Some(2.0));
    let seen = server.accept_and_collect(COMES);
    assert!(seen.is_empty(), "{}", String::from_utf8_lossy(&seen));
    assert_eq!(read_message(&mut client).unwrap().body, b"other");
}

/// A client that leaves while its request waits for a place in a pool: the place goes to the next one, and the server never
/// hears of it.
#[test]
fn nothing_is_sent_for_a_client_that_left_while_it_waited_for_a_place() {
    let (go, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(1, move |_, _| {
        let _ = gate.lock().unwrap().recv();
        ok_reply("fine")
    });
    let dial = servers.addresses[0];
    let node = Node::start_with_operator_file(&format!(
        "[operator]\nlisten = \"127.0.0.1:0\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"boxes\"\nservers = [{{ address = \"{dial}\" }}]\nmax_connections = 1\nmax_waiting = 4\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n"
    ));
    let ask = |path: &str| {
        let mut client = node.connect();
        client.write_all(&post_request(path, b"body")).unwrap();
        client
    };
    let mut first = ask("/first");
    wait_until("the first is under way", || servers.request_count() == 1);
    let left = ask("/left");
    outstanding(&node, 2);
    drop(left);
    outstanding(&node, 1);
    let mut next = ask("/next");
    outstanding(&node, 2);
    drop(go);
    for client in [&mut first, &mut next] {
        assert_eq!(read_message(client).unwrap().body, b"fine");
    }
    let requests = servers.requests.lock().unwrap();
    assert!(requests.iter().all(|m| !m.head.contains("/left")), "{requests:?}");
    assert_eq!(requests.len(), 2);
}
