//! One process replaces another under load, on a listening socket that both are handed.

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

/// Clients that come all the while, and one whose request is under way, lose nothing.
#[test]
fn no_request_is_turned_back_while_processes_change() {
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
    // Taken by the old process, which is alone as yet.
    let [mut slow, mut idle] = [old.connect(), old.connect()];
    for client in [&mut slow, &mut idle] {
        client.write_all(&get_request("/safe/1", "")).unwrap();
        assert_eq!(read_message(client).unwrap().header("connection"), None);
    }
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..3)
        .map(|_| {
            let (over, address) = (over.clone(), socket.local_addr().unwrap());
            std::thread::spawn(move || {
                let mut done = 0;
                while !over.load(SeqCst) {
                    let mut stream = std::net::TcpStream::connect(address).unwrap();
                    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
                    for _ in 0..20 {
                        stream.write_all(&get_request("/safe/1", "")).unwrap();
                        let answer = read_message(&mut stream).expect("a request is turned back");
                        // Refused is an answer too: the slow request makes the servers look busy.
                        assert!([200, 503].contains(&answer.status()), "{}", answer.head);
                        done += 1;
                        if answer.header("connection") == Some("close") {
                            break;
                        }
                    }
                }
                done
            })
        })
        .collect();
    let new = start();
    wait_until("the second process is ready", || is_ready(&new));
    let served = |node: &Node| node.metric("gw_succeeded{service=\"safe\"}").unwrap_or(0.0);
    slow.write_all(&get_request("/safe/slow", "")).unwrap();
    old.signal("-TERM");
    let told = Instant::now();
    let answer = read_message(&mut slow).unwrap();
    assert_eq!((&answer.body[..], answer.header("connection")), (&b"late"[..], Some("close")));
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "the idle connection is not closed");
    assert!(old.wait_for_exit().success());
    assert!(told.elapsed() < Duration::from_secs(8), "{:?}", told.elapsed());
    let before = served(&new);
    wait_until("the new process serves", || served(&new) > before + 50.0);
    over.store(true, SeqCst);
    let done: u32 = clients.into_iter().map(|c| c.join().expect("a client lost a request")).sum();
    assert!(done > 100, "{done}");
    assert!(is_ready(&new));
}

/// A process that cannot serve yet takes nothing away from the one that can.
#[test]
fn a_successor_that_knows_no_servers_takes_no_clients() {
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
    // When the old one has gone all the same, clients hear that the new one is not ready.
    drop(old);
    wait_until("the new process answers clients", || new.get("/up", "").is_some_and(|m| m.status() == 503));
}

#[test]
fn what_is_no_listening_socket_is_named() {
    // No number, a standard stream, a descriptor that is not open.
    for number in ["two", "0", "1000"] {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_corkhollow"));
        let output = command.arg("run").env("GW_LISTEN_FD", number).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && said.contains(&format!("GW_LISTEN_FD is `{number}`")), "{said}");
    }
}

/// A successor avoids from its first request on what the old process has found dead; where there is nothing that can be
/// read it begins blank, and serves all the same.
#[test]
fn a_successor_begins_with_what_the_old_process_has_learnt() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let hosts = [servers.addresses[0], servers.addresses[1], refusing_address()];
    let hosts: Vec<_> =
        hosts.iter().enumerate().map(|(k, d)| host_json(&format!("s-{k}"), *d, "active")).collect();
    let discovery = Discovery::new(vec![list_json(1, true, &hosts)], true);
    let folder = TempFolder::new("handover");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = || Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    let old = start();
    wait_until("the first process is ready", || is_ready(&old));
    let ejected = |node: &Node| node.metric("gw_ejected") == Some(1.0);
    let eject = |node: &Node| {
        wait_until("the dead server is ejected", || {
            node.get("/safe/1", "");
            ejected(node)
        })
    };
    let mut known = 0;
    for _ in 0..3 {
        eject(&old);
        let new = start();
        wait_until("the second process is ready", || is_ready(&new));
        wait_until("its figures are there", || new.metric("gw_discovered") == Some(3.0));
        assert_eq!(new.metric("gw_forwards"), Some(0.0), "it has asked no server");
        known += u32::from(ejected(&new));
    }
    assert!(known > 0, "no successor knew of the dead server");
}

/// An older process that holds on and never tells, beside a file that another version has left: the successor begins cold,
/// and serves.
#[test]
fn a_successor_that_is_told_nothing_begins_cold() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("untold");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let older = std::fs::File::create(folder.0.join(format!("corkhollow-serving-{address}"))).unwrap();
    older.lock().unwrap();
    let left = folder.0.join(format!("corkhollow-knowledge-{address}"));
    std::fs::write(&left, b"corkhollow-handover 9\n....").unwrap();
    let new = Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    wait_until("it is ready", || is_ready(&new));
    wait_until("it serves", || new.get("/safe/1", "").is_some_and(|m| m.status() == 200));
    new.wait_for_log("starting cold", 1);
}

/// Started twice: the second successor takes nothing until the first is the node, and then comes to its place.
#[test]
fn two_successors_have_their_turns() {
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
    // For longer than one waits that has only to hear what the other knows.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(1200) {
        assert!(!is_ready(&third) && !is_ready(&fourth), "it is not its turn");
        std::thread::sleep(Duration::from_millis(50));
    }
    // One that waits may be told to end at any time.
    fourth.signal("-TERM");
    assert!(fourth.wait_for_exit().success());
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    wait_until("the third process is ready", || is_ready(&third));
    assert!(is_ready(&second), "the second is the node until it is told to end");
    second.signal("-TERM");
    for k in 0..30 {
        assert_eq!(third.get("/safe/1", "").unwrap().status(), 200, "request {k}");
    }
    assert!(second.wait_for_exit().success());
}

/// The operator's word holds for the node, not for one process.
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
    wait_until("the new process says no", || new.get("/up", "").is_some_and(|m| m.status() == 503));
    assert_eq!(new.call_operator("POST", "/-/resume").unwrap().status(), 200);
    wait_until("the new process says yes", || new.get("/up", "").is_some_and(|m| m.status() == 200));
    assert!(is_ready(&new));
}

/// With an operator's file, sockets come by systemd's protocol, and each process has its own operator's address.
#[test]
fn two_services_share_a_socket_unit() {
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
    wait_until("its file is read anew", || new.metric("gw_sighup_applied") == Some(1.0));
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    for _ in 0..5 {
        assert_eq!(new.get("/", "").unwrap().status(), 200);
    }
}

/// A folder where nothing can be written costs the meeting, not the service.
#[test]
fn without_a_folder_to_meet_in_it_serves_alone() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let nowhere = std::env::temp_dir().join(format!("corkhollow-nowhere-{}", std::process::id()));
    let node = Node::start_with_listener(&socket, &nowhere, discovery.address, &NodeOptions::default());
    wait_until("it is ready", || is_ready(&node));
    assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
}

/// What a process that is being replaced writes down, with its drain, holds for the next one whichever way the wall clock was set
/// between their starts: each reads it once, so that their clocks differ by that.
#[test]
fn a_drain_is_handed_over_whichever_way_the_clock_was_set_between_the_starts() {
    const HOUR: i64 = 3_600_000_000_000;
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    for (name, shift) in [("right", 0), ("behind", -HOUR), ("ahead", HOUR)] {
        let folder = TempFolder::new(&format!("upgrade-clock-{name}"));
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let path = |kind: &str| folder.0.join(format!("corkhollow-{kind}-{}", socket.local_addr().unwrap()));
        // This test is the process that serves: it holds the lock, and writes what it knows.
        let serving = std::fs::File::create(path("serving")).unwrap();
        serving.lock().unwrap();
        let next = Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
        let begun = Instant::now();
        let drains = || next.log.lock().unwrap().iter().any(|line| line.contains("starting drained"));
        while !drains() {
            assert!(begun.elapsed() < Duration::from_secs(5), "{name}: {:?}", next.log.lock().unwrap());
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as i64;
            let knowledge = Knowledge { at: (now + shift) as u64, classes: Vec::new(), servers: Vec::new() };
            let pool = PoolHandover { name: "platform".into(), classes: Vec::new(), knowledge };
            let handover = Handover { drains: true, fleet: None, pools: vec![pool] };
            std::fs::write(path("draft"), handover.encode().unwrap()).unwrap();
            std::fs::rename(path("draft"), path("knowledge")).unwrap();
            std::thread::sleep(Duration::from_millis(50));
        }
        assert!(!is_ready(&next), "{name}: it is drained");
    }
}
