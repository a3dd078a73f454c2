//! A process replaces another on a listening socket that both inherit, under load.

use corkhollow_balance::Knowledge;
use corkhollow_operate::{Handover, PoolHandover};
use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn is_ready(node: &Node) -> bool {
    node.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200)
}

/// Clients that connect during the replacement and one with a request under way get all their answers; idle
/// connections are closed.
#[test]
fn no_request_is_lost_while_a_process_is_replaced() {
    let servers = Servers::new(2, |_, m| match m.head.starts_with("GET /safe/slow ") {
        true => Reply::Custom(Box::new(|stream| {
            std::thread::sleep(Duration::from_millis(900));
            let _ = stream.write_all(&response("200 OK", "", b"late"));
        })),
        false => ok_reply("fine"),
    });
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("upgrade");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = || Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    let mut old = start();
    wait_until("the first process is ready", || is_ready(&old));
    // Accepted by the old process, as no other runs yet.
    let [mut slow, mut idle] = [old.connect(), old.connect()];
    for client in [&mut slow, &mut idle] {
        client.write_all(&get_request("/safe/1", "")).unwrap();
        assert_eq!(read_message(client).unwrap().header("connection"), None);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..3)
        .map(|_| {
            let (is_over, address) = (is_over.clone(), socket.local_addr().unwrap());
            std::thread::spawn(move || {
                let mut answered = 0;
                while !is_over.load(SeqCst) {
                    let mut stream = std::net::TcpStream::connect(address).unwrap();
                    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
                    for _ in 0..20 {
                        stream.write_all(&get_request("/safe/1", "")).unwrap();
                        let answer = read_message(&mut stream).expect("the request is answered");
                        // A rejection counts as an answer: the slow request makes the servers look overloaded.
                        assert!([200, 503].contains(&answer.status()), "{}", answer.head);
                        answered += 1;
                        if answer.header("connection") == Some("close") {
                            break;
                        }
                    }
                }
                answered
            })
        })
        .collect();
    let new = start();
    wait_until("the second process is ready", || is_ready(&new));
    let served_count = |node: &Node| node.metric("gw_succeeded{service=\"safe\"}").unwrap_or(0.0);
    slow.write_all(&get_request("/safe/slow", "")).unwrap();
    old.signal("-TERM");
    let signalled_at = Instant::now();
    let answer = read_message(&mut slow).unwrap();
    assert_eq!((&answer.body[..], answer.header("connection")), (&b"late"[..], Some("close")));
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "the idle connection is not closed");
    assert!(old.wait_for_exit().success());
    assert!(signalled_at.elapsed() < Duration::from_secs(8), "{:?}", signalled_at.elapsed());
    let before = served_count(&new);
    wait_until("the new process serves", || served_count(&new) > before + 50.0);
    is_over.store(true, SeqCst);
    let answered: u32 = clients.into_iter().map(|c| c.join().expect("a client lost a request")).sum();
    assert!(answered > 100, "{answered}");
    assert!(is_ready(&new));
}

/// A successor that has no list of servers accepts no clients while its predecessor runs; alone, it reports
/// that it is not ready.
#[test]
fn a_successor_without_servers_accepts_no_clients() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("unready");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let old = Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    wait_until("the first process is ready", || is_ready(&old));
    let new = Node::start_with_listener(&socket, &folder.0, refusing_address(), &NodeOptions::default());
    assert!(!is_ready(&new));
    for k in 0..30 {
        assert_eq!(old.get("/safe/1", "").unwrap().status(), 200, "request {k}");
    }
    // Without the old process, the new one answers that it is not ready.
    drop(old);
    wait_until("the new process answers clients", || new.get("/up", "").is_some_and(|m| m.status() == 503));
}

#[test]
fn an_invalid_listening_descriptor_is_named_in_the_error() {
    // Not a number, a standard stream, and a descriptor that is not open.
    for number in ["two", "0", "1000"] {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_corkhollow"));
        let output = command.arg("run").env("GW_LISTEN_FD", number).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && stderr.contains(&format!("GW_LISTEN_FD is `{number}`")),
            "{stderr}"
        );
    }
}

/// A successor starts with the servers ejected that its predecessor had ejected, before it has sent a request.
#[test]
fn a_successor_starts_with_its_predecessors_ejected_servers() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let hosts = [servers.addresses[0], servers.addresses[1], refusing_address()];
    let hosts: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(k, address)| host_json(&format!("s-{k}"), *address, "active"))
        .collect();
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let folder = TempFolder::new("handover");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = || Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    let old = start();
    wait_until("the first process is ready", || is_ready(&old));
    let has_ejected = |node: &Node| node.metric("gw_ejected") == Some(1.0);
    let request_until_ejected = |node: &Node| {
        wait_until("the dead server is ejected", || {
            node.get("/safe/1", "");
            has_ejected(node)
        })
    };
    let mut informed_successors = 0;
    for _ in 0..3 {
        request_until_ejected(&old);
        let new = start();
        wait_until("the second process is ready", || is_ready(&new));
        wait_until("its metrics are available", || new.metric("gw_discovered") == Some(3.0));
        assert_eq!(new.metric("gw_forwards"), Some(0.0), "it has sent no request");
        informed_successors += u32::from(has_ejected(&new));
    }
    assert!(informed_successors > 0, "no successor knew of the dead server");
}

/// The predecessor writes no hand-over and a file of an unknown version is left: the successor starts without
/// knowledge and serves.
#[test]
fn a_successor_without_a_readable_handover_starts_cold_and_serves() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("untold");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let serving_lock = std::fs::File::create(folder.0.join(format!("corkhollow-serving-{address}"))).unwrap();
    serving_lock.lock().unwrap();
    let handover_path = folder.0.join(format!("corkhollow-knowledge-{address}"));
    std::fs::write(&handover_path, b"corkhollow-handover 9\n....").unwrap();
    let new = Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    wait_until("it is ready", || is_ready(&new));
    wait_until("it serves", || new.get("/safe/1", "").is_some_and(|m| m.status() == 200));
    new.wait_for_log("starting cold", 1);
}

/// Of two successors the later waits until the earlier has taken over, and then becomes its successor.
#[test]
fn a_second_successor_waits_for_the_first() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("twice");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = || Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    let mut old = start();
    wait_until("the first process is ready", || is_ready(&old));
    let mut second = start();
    wait_until("the second process is ready", || is_ready(&second));
    let third = start();
    let mut fourth = start();
    // Longer than a successor waits for the hand-over.
    let waiting_since = Instant::now();
    while waiting_since.elapsed() < Duration::from_millis(1200) {
        assert!(!is_ready(&third) && !is_ready(&fourth), "a later successor must wait");
        std::thread::sleep(Duration::from_millis(50));
    }
    // A waiting successor can be stopped at any time.
    fourth.signal("-TERM");
    assert!(fourth.wait_for_exit().success());
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    wait_until("the third process is ready", || is_ready(&third));
    assert!(is_ready(&second), "the second serves until it is stopped");
    second.signal("-TERM");
    for k in 0..30 {
        assert_eq!(third.get("/safe/1", "").unwrap().status(), 200, "request {k}");
    }
    assert!(second.wait_for_exit().success());
}

/// An operator's drain applies to the node: it outlasts the process until the operator resumes it.
#[test]
fn a_drained_node_stays_drained_when_its_process_is_replaced() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("drained");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = || Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    let mut old = start();
    wait_until("the first process is ready", || is_ready(&old));
    assert_eq!(old.call_operator("POST", "/-/drain").unwrap().status(), 200);
    let new = start();
    new.wait_for_log("starting drained", 1);
    assert!(!is_ready(&new));
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    wait_until("the new process answers 503", || new.get("/up", "").is_some_and(|m| m.status() == 503));
    assert_eq!(new.call_operator("POST", "/-/resume").unwrap().status(), 200);
    wait_until("the new process answers 200", || new.get("/up", "").is_some_and(|m| m.status() == 200));
    assert!(is_ready(&new));
}

/// With an operator's file, two processes share a socket of systemd's activation protocol, each with its own
/// operator address.
#[test]
fn two_services_share_a_systemd_socket() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let folder = TempFolder::new("units");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = format!(
        "[operator]\nlisten = \"127.0.0.1:1\"\n[[listener]]\nname = \"web\"\naddress = \"{}\"\n\
         [[pool]]\nname = \"app\"\nservers = [{{ address = \"{}\" }}]\n[[route]]\nname = \"all\"\npool = \"app\"\n",
        socket.local_addr().unwrap(),
        servers.addresses[0]
    );
    let start = || Node::start_socket_activated(&socket, &folder.0, "127.0.0.1:0", &text);
    let mut old = start();
    wait_until("the first process is ready", || is_ready(&old));
    assert_eq!(old.get("/", "").unwrap().status(), 200);
    let new = start();
    wait_until("the second process is ready", || is_ready(&new));
    new.reload(&text);
    wait_until("its file is reloaded", || new.metric("gw_sighup_applied") == Some(1.0));
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    for _ in 0..5 {
        assert_eq!(new.get("/", "").unwrap().status(), 200);
    }
}

/// Without a writable folder there is no hand-over, but the process serves.
#[test]
fn a_process_without_a_handover_folder_serves() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let missing_folder = std::env::temp_dir().join(format!("corkhollow-nowhere-{}", std::process::id()));
    let node =
        Node::start_with_listener(&socket, &missing_folder, discovery.address, &NodeOptions::default());
    wait_until("it is ready", || is_ready(&node));
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
}

/// A successor accepts its predecessor's drain although their clocks differ by an hour, since each process
/// reads the wall clock only once, at its start.
#[test]
fn a_drain_is_handed_over_although_the_wall_clock_was_changed() {
    const HOUR_NANOS: i64 = 3_600_000_000_000;
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    for (name, shift_nanos) in [("right", 0), ("behind", -HOUR_NANOS), ("ahead", HOUR_NANOS)] {
        let folder = TempFolder::new(&format!("upgrade-clock-{name}"));
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let path = |kind: &str| folder.0.join(format!("corkhollow-{kind}-{}", socket.local_addr().unwrap()));
        // The test acts as the serving process: it holds the lock and writes the hand-over.
        let serving = std::fs::File::create(path("serving")).unwrap();
        serving.lock().unwrap();
        let successor =
            Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
        let started_at = Instant::now();
        let is_drained =
            || successor.log.lock().unwrap().iter().any(|line| line.contains("starting drained"));
        while !is_drained() {
            assert!(
                started_at.elapsed() < Duration::from_secs(5),
                "{name}: {:?}",
                successor.log.lock().unwrap()
            );
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as i64;
            let knowledge =
                Knowledge { at: (now + shift_nanos) as u64, classes: Vec::new(), servers: Vec::new() };
            let pool = PoolHandover { name: "platform".into(), classes: Vec::new(), knowledge };
            let handover = Handover { drains: true, fleet: None, pools: vec![pool] };
            std::fs::write(path("draft"), handover.encode().unwrap()).unwrap();
            std::fs::rename(path("draft"), path("knowledge")).unwrap();
            std::thread::sleep(Duration::from_millis(50));
        }
        assert!(!is_ready(&successor), "{name}: the successor is drained");
    }
}
