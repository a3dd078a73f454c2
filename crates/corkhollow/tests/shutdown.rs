//! The end of a process with requests at every point: all that it has taken is answered before it can be killed.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// SIGKILL comes no sooner than this after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const KILLED: Duration = Duration::from_millis(3700);

/// A configuration whose requests may take this long.
fn lasting(discovery: SocketAddr, seconds: u64, max_sockets: u64) -> String {
    let give_up = format!("\"giveUpNs\":{seconds}000000000");
    platform_config(discovery, &NodeOptions { max_sockets, ..NodeOptions::default() })
        .replace("\"giveUpNs\":3000000000", &give_up)
}

/// A node before servers that take requests and hang.
fn before_hanging(seconds: u64, sockets: u64) -> (Node, Discovery, Servers) {
    let servers = Servers::new(4, |_, _| Reply::NoAnswer);
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let node = Node::start_with_platform_file(&lasting(discovery.address, seconds, sockets));
    node.wait_until_ready();
    (node, discovery, servers)
}

/// A request without a word on its time: its class's counts.
fn patient(path: &str) -> Vec<u8> {
    let request = String::from_utf8(post_request(path, b"body")).unwrap();
    request.replace("X-Timeout-Ms: 2500\r\n", "").into_bytes()
}

/// Its listening socket is closed: new clients have stopped coming.
fn refuses(node: &Node) {
    wait_until("no more clients are taken", || TcpStream::connect(node.address).is_err());
}

#[test]
fn what_hangs_is_answered_before_the_end_whatever_its_deadline() {
    for seconds in [3, 20] {
        let (mut node, _discovery, servers) = before_hanging(seconds, 1024);
        let mut client = node.connect();
        client.write_all(&patient("/once/1")).unwrap();
        wait_until("the request is under way", || servers.request_count() == 1);
        let told = Instant::now();
        node.signal("-TERM");
        // Further signals change nothing.
        node.signal("-HUP");
        node.signal("-TERM");
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")), "{seconds} s");
        assert!(node.wait_for_exit().success());
        assert!(told.elapsed() < KILLED + Duration::from_millis(300), "{seconds} s: {:?}", told.elapsed());
        let requests = servers.requests.lock().unwrap();
        assert_eq!(requests.len(), 1, "an unsafe request goes nowhere else: {requests:?}");
    }
}

/// A connection that stays open carries requests after SIGTERM: one of them comes late. It does not get all of its time.
#[test]
fn what_comes_late_is_answered_before_the_end() {
    let (mut node, _discovery, servers) = before_hanging(3, 1024);
    // In the middle of their heads they stay open.
    let mut clients: Vec<_> = (0..3).map(|_| node.connect()).collect();
    let request = patient("/once/1");
    for client in &mut clients {
        client.write_all(&request[..20]).unwrap();
    }
    wait_until("they are there", || node.metric("gw_client_connections") == Some(3.0));
    let told = Instant::now();
    node.signal("-TERM");
    refuses(&node);
    // That is half a second after the signal; what is late is a matter of time, and nothing tells of it.
    std::thread::sleep(Duration::from_millis(900).saturating_sub(told.elapsed()));
    for (k, client) in clients.iter_mut().enumerate() {
        let own = patient("/once/1");
        client.write_all(&own[20..]).unwrap();
        wait_until("the request is under way", || servers.request_count() == k + 1);
    }
    for mut client in clients {
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (504, Some("close")));
    }
    assert!(node.wait_for_exit().success());
    assert!(told.elapsed() < KILLED + Duration::from_millis(300), "{:?}", told.elapsed());
}

/// All places are taken by requests that hang, and more clients wait in the backlog: the end does not wait for them without
/// bound, and those that hang are answered.
#[test]
fn a_full_table_does_not_hold_up_the_end() {
    let (mut node, _discovery, servers) = before_hanging(20, 64);
    let mut clients = Vec::new();
    while servers.request_count() < 4 {
        let mut client = node.connect();
        client.write_all(&patient("/once/1")).unwrap();
        clients.push(client);
        std::thread::sleep(Duration::from_millis(5));
        assert!(clients.len() < 200, "{} of them are sent on", servers.request_count());
    }
    // Bodies that do not come hold their places too.
    let half = patient("/once/1");
    for _ in 0..60 {
        let mut client = node.connect();
        let _ = client.write_all(&half[..half.len() - 2]);
        clients.push(client);
    }
    let told = Instant::now();
    node.signal("-TERM");
    assert!(node.wait_for_exit().success());
    assert!(told.elapsed() < KILLED + Duration::from_millis(300), "{:?}", told.elapsed());
    let answered = clients.iter_mut().filter_map(read_message).filter(|m| m.status() == 504).count();
    assert_eq!(answered, servers.request_count(), "of those that were sent on");
}

/// SIGTERM before the node has heard of its servers, with requests there: they are answered, and it ends.
#[test]
fn a_node_that_is_told_to_end_at_its_start_answers() {
    let agent = ManualDiscovery::listen();
    let mut node = Node::start(agent.address, &NodeOptions::default());
    let silent = agent.next_call();
    let mut clients: Vec<_> = (0..5).map(|_| node.connect()).collect();
    for client in &mut clients {
        client.write_all(&post_request("/once/1", b"body")).unwrap();
    }
    node.signal("-TERM");
    for client in &mut clients {
        assert_eq!(read_message(client).expect("an answer").status(), 503);
    }
    assert!(node.wait_for_exit().success());
    drop(silent);
}

/// The last answers arrive, also where the client has sent more behind its request, which nobody reads.
#[test]
fn unread_bytes_do_not_cost_the_last_answer() {
    let body = vec![b'x'; 60_000];
    let answer = response("200 OK", "", &body);
    let servers = Servers::new(20, move |_, _| Reply::Send(answer.clone()));
    let (mut node, _discovery) = Node::start_with_servers(&servers);
    let mut clients: Vec<_> = (0..20).map(|_| node.connect()).collect();
    let told = Instant::now();
    node.signal("-TERM");
    wait_until("the node says that it leaves", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    for client in &mut clients {
        let mut bytes = post_request("/once/1", b"body");
        bytes.extend(get_request("/safe/2", "").repeat(20));
        client.write_all(&bytes).unwrap();
    }
    for client in &mut clients {
        let answer = read_message(client).expect("an answer");
        assert_eq!((answer.status(), answer.body.len(), answer.is_complete), (200, body.len(), true));
        let _ = client.read(&mut [0]);
    }
    assert!(node.wait_for_exit().success());
    assert!(told.elapsed() < KILLED + Duration::from_millis(300), "{:?}", told.elapsed());
}

/// SIGTERM in the middle of a head, of a short body, and of a long one that goes on as it comes: each request is taken whole
/// after it, served, and the last on its connection.
#[test]
fn requests_that_are_still_coming_are_served() {
    let servers =
        Servers::new(8, |_, m| Reply::Send(response("200 OK", "", m.body.len().to_string().as_bytes())));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let mut node = Node::start(discovery.address, &NodeOptions { memory_mb: 48, ..NodeOptions::default() });
    node.wait_until_ready();
    let long = 6_000_000;
    let mut coming = Vec::new();
    for (length, here) in [(4, 20), (4, post_request("/once/1", b"").len() + 2), (long, long / 2)] {
        let request = post_request("/once/1", &vec![b'x'; length]);
        let mut client = node.connect();
        client.write_all(&request[..here]).unwrap();
        coming.push((client, request, here, length));
    }
    wait_until("they are there", || node.metric("gw_client_connections") == Some(3.0));
    node.signal("-TERM");
    wait_until("the node says that it leaves", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    for (mut client, request, here, length) in coming {
        client.write_all(&request[here..]).unwrap();
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")), "{length} bytes");
        assert_eq!(answer.body, length.to_string().into_bytes());
    }
    assert!(node.wait_for_exit().success());
}

/// New settings come twice at once, and the end right behind them: a request that is under way keeps its rules and its
/// answer, also where its class is gone by then and a server that it is tried at next came with the new list.
#[test]
fn new_settings_and_the_end_behind_them_cost_no_answer() {
    let (go, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let servers = Servers::new(2, move |n, _| {
        if n > 0 {
            return ok_reply("fine");
        }
        let _ = gate.lock().unwrap().recv();
        Reply::Send(response("500 No", "", b""))
    });
    let (mut node, discovery) = Node::start_with_servers(&servers);
    let mut client = node.connect();
    client.write_all(&get_request("/safe/1", "")).unwrap();
    wait_until("the request is under way", || servers.request_count() == 1);
    let other = platform_config(discovery.address, &NodeOptions::default())
        .replace("\"name\":\"safe\"", "\"name\":\"sure\"")
        .replace("\"maxAttempts\":3", "\"maxAttempts\":1");
    node.reload(&other);
    node.signal("-HUP");
    node.wait_for_log("reloaded: listeners", 1);
    assert_eq!(node.get("/safe/2", "").unwrap().status(), 404, "the class is gone");
    assert_eq!(node.get("/sure/2", "").unwrap().status(), 200);
    node.signal("-TERM");
    wait_until("the node says that it leaves", || node.get("/up", "").is_some_and(|m| m.status() == 503));
    go.send(()).unwrap();
    assert_eq!(read_message(&mut client).expect("an answer").body, b"fine");
    assert_eq!(servers.request_count(), 3);
    assert!(node.wait_for_exit().success());
}
