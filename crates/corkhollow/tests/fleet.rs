//! Fleets of several processes of the program, with network faults between them.

use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_test_support::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Failure detection in less time than by default.
const DETECTION_TIMES: &str = "probe_every = \"250ms\"\nprobe_timeout = \"100ms\"\nsuspect_for = \"1200ms\"";
/// Far longer than these times need, as the machine may be busy.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

fn site_config(addresses: &[SocketAddr]) -> String {
    let servers: String =
        addresses.iter().map(|address| format!("{{ address = \"{address}\" }}, ")).collect();
    format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\nmethods = [\"GET\"]\ndeadline = \"8s\"\n\
         [[class]]\nname = \"write\"\neffect = \"unsafe\"\nmethods = [\"POST\"]\ndeadline = \"8s\"\n\
         [[pool]]\nname = \"boxes\"\nservers = [{servers}]\n[[route]]\nname = \"all\"\npool = \"boxes\"\n"
    )
}

/// A rig with this many processes, not started, before three servers.
fn new_rig(count: usize, seeds: &[usize], fleet_lines: &str) -> (Rig, Servers) {
    let servers = Servers::new(3, |_, _| ok_reply("fine"));
    let text = site_config(&servers.addresses);
    (Rig::new(count, 7, seeds, &format!("{DETECTION_TIMES}\n{fleet_lines}"), move |_| text.clone()), servers)
}

fn wait_until_seen_as(rig: &Rig, name: &str, state: &str) {
    wait_until(&format!("{name} is {state} everywhere"), || {
        rig.views().iter().flatten().all(|fleet| fleet.member(name).is_some_and(|m| m.state == state))
    });
}

/// Clients that send requests to the nodes that a front proxy would choose: those that accept clients.
struct Clients {
    targets: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    is_over: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    failures: Arc<Mutex<Vec<String>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(count: usize) -> Self {
        let mut clients = Clients {
            targets: Arc::default(),
            is_over: Arc::default(),
            sent: Arc::default(),
            failures: Arc::default(),
            threads: Vec::new(),
        };
        for client in 0..count {
            let (targets, is_over, sent, failures) = (
                clients.targets.clone(),
                clients.is_over.clone(),
                clients.sent.clone(),
                clients.failures.clone(),
            );
            clients.threads.push(thread::spawn(move || {
                let mut request_number = client;
                while !is_over.load(SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                    request_number += 1;
                    let targets: Vec<_> = targets.lock().unwrap().iter().flatten().copied().collect();
                    let Some(address) = targets.get(request_number % targets.len().max(1)) else { continue };
                    let is_write = request_number % 3 == 0;
                    let request = if is_write { post_request("/w", b"x") } else { get_request("/r", "") };
                    sent.fetch_add(1, SeqCst);
                    match send(*address, &request) {
                        Some(200) => {}
                        // The connection broke before the answer: the write may have run, so it is not retried.
                        Some(502) if is_write => {}
                        other => failures.lock().unwrap().push(format!("{address} answered {other:?}")),
                    }
                }
            }));
        }
        clients
    }

    fn set_targets(&self, rig: &Rig, except: Option<usize>) {
        let address = |(k, node): (usize, &Option<Node>)| {
            node.as_ref().filter(|_| Some(k) != except).map(|n| n.address)
        };
        *self.targets.lock().unwrap() = rig.nodes.iter().enumerate().map(address).collect();
    }

    fn stop(self) -> (u64, Vec<String>) {
        self.is_over.store(true, SeqCst);
        self.threads.into_iter().for_each(|client| client.join().unwrap());
        let failures = self.failures.lock().unwrap().clone();
        (self.sent.load(SeqCst), failures)
    }
}

/// Sends a request on a new connection; the status of its answer, if that is complete.
fn send(address: SocketAddr, request: &[u8]) -> Option<u16> {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut stream).filter(|m| m.is_complete).map(|m| m.status())
}

/// Joins, a crash, a stalled process, a partition and its healing, and a rolling restart, under load: after
/// each all nodes have the same view, each request gets one answer, and no unsafe request runs twice.
#[test]
fn nodes_agree_and_requests_succeed_after_crash_stall_partition_and_restart() {
    let servers = Servers::new(3, |_, _| ok_reply("fine"));
    // One server is behind a slow link, one behind a link that resets every ninth connection before the answer.
    let slow_faults = ConnectionFaults {
        to_client: corkhollow_test_support::DirectionFaults {
            delay: Duration::from_millis(20),
            jitter: Duration::from_millis(20),
            ..Default::default()
        },
        ..ConnectionFaults::default()
    };
    let slow = Link::new(servers.addresses[0], 1, move |_| slow_faults);
    let reset_faults = ConnectionFaults {
        to_client: corkhollow_test_support::DirectionFaults {
            end: Some((0, LinkEnd::Reset)),
            ..Default::default()
        },
        ..ConnectionFaults::default()
    };
    let lossy = Link::new(servers.addresses[1], 2, move |n| {
        if n % 9 == 8 {
            reset_faults
        } else {
            ConnectionFaults::default()
        }
    });
    let text = site_config(&[slow.address, lossy.address, servers.addresses[2]]);
    let mut rig = Rig::new(7, 7, &[0, 1], DETECTION_TIMES, move |_| text.clone());
    rig.start_all(0..6);
    rig.wait_until_settled("joined", SETTLE_TIMEOUT);
    let clients = Clients::start(6);
    clients.set_targets(&rig, Some(5));
    rig.apply(&Action::Kill(5));
    wait_until_seen_as(&rig, "n5", "dead");
    rig.wait_until_settled("crashed", SETTLE_TIMEOUT);
    // A new process under the same name, without any state.
    rig.apply(&Action::Start(5));
    rig.wait_until_settled("restarted", SETTLE_TIMEOUT);
    assert!(FleetView::fetch(rig.node(0)).unwrap().member("n5").unwrap().incarnation > 1);
    rig.apply(&Action::Start(6));
    rig.wait_until_settled("joined later", SETTLE_TIMEOUT);
    clients.set_targets(&rig, Some(4));
    rig.run_script(&Script::new().at(0, Action::Stall(4, 5_000)));
    rig.wait_until_settled("resumed", SETTLE_TIMEOUT);
    let fleet_events = rig.count_timeline_lines("n4: corkhollow: fleet: n");
    let count_declared_dead =
        |name: &str| rig.count_timeline_lines(&format!("n4: corkhollow: fleet: {name} is dead"));
    assert!(
        fleet_events > 0 && [0, 1, 2, 3, 6].iter().all(|k| count_declared_dead(&format!("n{k}")) == 0),
        "{}",
        rig.timeline().join("\n")
    );
    clients.set_targets(&rig, None);
    rig.apply(&Action::Partition(vec![vec![0, 2, 4, 6], vec![1, 3, 5]]));
    wait_until("each side of the partition counts its own nodes", || {
        let sizes: Vec<_> = rig.views().iter().flatten().map(|fleet| fleet.size).collect();
        sizes == [4, 3, 4, 3, 4, 3, 4]
    });
    rig.apply(&Action::Heal);
    rig.wait_until_settled("healed", SETTLE_TIMEOUT);
    for number in 0..7 {
        clients.set_targets(&rig, Some(number));
        rig.apply(&Action::Leave(number));
        wait_until_seen_as(&rig, &format!("n{number}"), "left");
        rig.apply(&Action::Start(number));
    }
    clients.set_targets(&rig, None);
    rig.wait_until_settled("restarted one by one", SETTLE_TIMEOUT);
    assert_eq!(
        rig.count_timeline_lines("this node is number"),
        rig.count_timeline_lines("fleet: this node is number")
    );
    let (sent, failures) = clients.stop();
    assert!(
        sent > 500 && failures.is_empty(),
        "{sent} requests sent: {failures:#?}\n{}",
        rig.timeline().join("\n")
    );
    let mut runs = BTreeMap::new();
    for request in servers.requests.lock().unwrap().iter().filter(|m| m.head.starts_with("POST")) {
        *runs.entry(request.header("x-request-id").unwrap_or_default().to_owned()).or_insert(0) += 1;
    }
    assert!(runs.len() > 100 && runs.values().all(|count| *count == 1));
}

/// Two links blocked in one direction, and datagrams lost, duplicated and delayed on all: no node is declared
/// dead, since indirect probes and gossip by other nodes still arrive.
#[test]
fn no_node_is_declared_dead_over_one_way_and_lossy_links() {
    let (mut rig, _servers) = new_rig(5, &[0], "datagram_bytes = 256");
    rig.start_all(0..5);
    rig.wait_until_settled("joined", SETTLE_TIMEOUT);
    let lossy = LinkFaults { loss: 0.1, delay: 1, jitter: 60, duplication: 0.2, blocked: false };
    let script = Script::new()
        .at(0, Action::SetAllLinks(lossy))
        .at(0, Action::BlockLink(3, 1))
        .at(0, Action::BlockLink(0, 4));
    rig.run_script(&script.at(8_000, Action::Heal));
    rig.apply(&Action::SetAllLinks(LinkFaults::default()));
    rig.wait_until_settled("healed", SETTLE_TIMEOUT);
    assert_eq!(rig.count_timeline_lines(" is dead"), 0, "{}", rig.timeline().join("\n"));
}

/// All nodes learn that a node drains, resumes or leaves, without suspecting it first.
#[test]
fn drain_resume_and_leave_are_known_to_all_nodes() {
    let (mut rig, _servers) = new_rig(3, &[0], "");
    rig.start_all(0..3);
    rig.wait_until_settled("joined", SETTLE_TIMEOUT);
    assert_eq!(rig.node(2).call_operator("POST", "/-/drain").unwrap().status(), 200);
    let all_see_draining = |expected: bool| {
        rig.views()
            .iter()
            .flatten()
            .all(|fleet| fleet.member("n2").is_some_and(|m| m.is_draining == expected))
    };
    wait_until("all nodes know that it drains", || all_see_draining(true));
    assert_eq!(rig.node(2).call_operator("POST", "/-/resume").unwrap().status(), 200);
    wait_until("all nodes know that it resumed", || all_see_draining(false));
    rig.apply(&Action::Leave(2));
    wait_until_seen_as(&rig, "n2", "left");
    assert_eq!(rig.count_timeline_lines("n2 is suspect"), 0);
    rig.wait_until_settled("left", SETTLE_TIMEOUT);
    for metric in ["gw_fleet_members{state=\"alive\"}", "gw_fleet_size"] {
        wait_until(metric, || rig.node(0).metric(metric) == Some(2.0));
    }
    assert_eq!(rig.node(0).metric("gw_fleet_members{state=\"left\"}"), Some(1.0));
    assert!(rig.node(0).metric("gw_fleet_datagrams{kind=\"ping\",way=\"out\"}").unwrap() > 0.0);
    let operator_option = |node: &Node| format!("--operator={}", node.operator_address.unwrap());
    let table = Command::new(program_path())
        .arg("fleet")
        .args(rig.nodes.iter().flatten().map(operator_option))
        .output()
        .unwrap();
    let table = String::from_utf8(table.stdout).unwrap();
    assert!(table.contains("views are equal; nodes that did not answer: 0"), "{table}");
    assert!(table.contains("fleet rig, seen by n0: number 0 of 2") && table.contains("left"), "{table}");
}

/// A process whose name or port is taken does not start and says why; the view of the running fleet does not
/// change.
#[test]
fn a_process_whose_name_or_port_is_taken_does_not_start() {
    let (mut rig, _servers) = new_rig(3, &[0], "");
    rig.start_all(0..2);
    rig.wait_until_settled("joined", SETTLE_TIMEOUT);
    let before = FleetView::fetch(rig.node(0)).unwrap();
    // At an address of its own, under the name of n1.
    let path = std::env::temp_dir().join(format!("corkhollow-double-{}.toml", std::process::id()));
    let text = rig
        .config_text(2, "n1")
        .replace("127.0.0.1:0\"\nadvertise", "127.0.0.1:0\"\n#")
        .replace(&format!("# = \"{}\"", rig.relay_address(2)), "");
    std::fs::write(&path, text).unwrap();
    let mut duplicate = Command::new(program_path());
    duplicate.args(["run", "--config"]).arg(&path).stdout(Stdio::null());
    let output = duplicate.output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let name_error = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{name_error}");
    // A port that another socket has.
    let port_holder = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = port_holder.local_addr().unwrap();
    let path = std::env::temp_dir().join(format!("corkhollow-taken-{}.toml", std::process::id()));
    let file =
        rig.config_text(2, "n2").replace("127.0.0.1:0\"\nadvertise", &format!("{address}\"\nadvertise"));
    std::fs::write(&path, file).unwrap();
    let output = Command::new(program_path()).args(["run", "--config"]).arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let port_error = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && port_error.contains(&format!("cannot listen on {address}")),
        "{port_error}"
    );
    let expected = format!("the name n1 is already used by the process at {}", rig.relay_address(1));
    assert!(name_error.contains(&expected), "{name_error}");
    assert_eq!(FleetView::fetch(rig.node(0)).unwrap().view_digest, before.view_digest);
    rig.wait_until_settled("unchanged", SETTLE_TIMEOUT);
}

/// Thousands of random datagrams are rejected and counted as malformed; requests are served and no node is
/// declared dead.
#[test]
fn a_flood_of_random_datagrams_is_rejected_and_requests_are_served() {
    let key = TempFolder::new("fleet-key");
    let path = key.0.join("key");
    std::fs::write(&path, "ab".repeat(32)).unwrap();
    let (mut rig, _servers) = new_rig(3, &[0], &format!("key_file = \"{}\"", path.display()));
    rig.start_all(0..3);
    rig.wait_until_settled("joined", SETTLE_TIMEOUT);
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = rig.relay_address(0);
    let mut rng = SeededRng::new(3);
    let served = (0..40).filter(|_| {
        for _ in 0..500 {
            let bytes: Vec<u8> = (0..rng.next_u64() % 600).map(|_| rng.next_u64() as u8).collect();
            let _ = sender.send_to(&bytes, target);
        }
        rig.node(0).get("/r", "").is_some_and(|m| m.status() == 200)
    });
    assert_eq!(served.count(), 40);
    wait_until("the datagrams are counted", || {
        rig.node(0).metric("gw_fleet_refused{reason=\"garbled\"}") > Some(100.0)
    });
    rig.wait_until_settled("flooded", SETTLE_TIMEOUT);
    assert_eq!(rig.count_timeline_lines(" is dead"), 0);
}

/// A reload may change the fleet's times; a file that changes a key that requires a restart is rejected whole.
#[test]
fn a_reload_that_changes_a_fixed_fleet_key_is_rejected_whole() {
    let (mut rig, _servers) = new_rig(2, &[0], "");
    rig.start_all(0..2);
    rig.wait_until_settled("joined", SETTLE_TIMEOUT);
    let file = rig.config_text(0, "n0");
    let node = rig.node(0);
    let renamed =
        file.replace("node = \"n0\"", "node = \"n9\"").replace("deadline = \"8s\"", "deadline = \"9s\"");
    for (k, (text, key)) in [
        (renamed, "`fleet.node` can only change with a restart"),
        (file.replace("name = \"rig\"", "name = \"other\""), "`fleet.name` can only change with a restart"),
        (
            file.replace("127.0.0.1:0\"\nadvertise", "127.0.0.1:9\"\nadvertise"),
            "`fleet.listen` can only change with a restart",
        ),
        (file.replace(DETECTION_TIMES, &format!("{DETECTION_TIMES}\nkey_file = \"none\"")), "not reloaded"),
    ]
    .into_iter()
    .enumerate()
    {
        assert_ne!(text, file);
        node.reload(&text);
        wait_until(key, || node.metric("gw_sighup_rejected") == Some(k as f64 + 1.0));
        node.wait_for_log(key, 1);
    }
    node.reload(&file.replace("probe_every = \"250ms\"", "probe_every = \"300ms\""));
    node.wait_for_log("reloaded: listeners", 1);
    rig.wait_until_settled("reloaded", SETTLE_TIMEOUT);
    assert_eq!(FleetView::fetch(rig.node(0)).unwrap().size, 2);
}

/// A successor takes over its predecessor's name and address: no node sees the member as left, dead or
/// duplicate.
#[test]
fn a_successor_takes_over_its_predecessors_membership() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let text = site_config(&servers.addresses);
    let mut rig = Rig::new(1, 1, &[0], DETECTION_TIMES, {
        let text = text.clone();
        move |_| text.clone()
    });
    rig.start(0);
    let folder = TempFolder::new("fleet-successor");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let udp_address = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let file = text.replace("127.0.0.1:0", &listener.local_addr().unwrap().to_string());
    let file = format!(
        "[fleet]\nname = \"rig\"\nnode = \"x\"\nlisten = \"{udp_address}\"\nseeds = [\"{}\"]\n{DETECTION_TIMES}\n{file}",
        rig.relay_address(0)
    );
    let start = || Node::start_socket_activated(&listener, &folder.0, "127.0.0.1:0", &file);
    let mut first = start();
    let is_seen_by_other = |condition: fn(&Member) -> bool| {
        let fleet = FleetView::fetch(rig.node(0));
        fleet.is_some_and(|fleet| fleet.size == 2 && fleet.member("x").is_some_and(condition))
    };
    wait_until("the first has joined", || is_seen_by_other(|m| m.state == "alive"));
    let second = start();
    second.wait_for_log("this node is number 1 of 2", 1);
    assert_eq!(
        second.call_operator("GET", "/-/fleet").unwrap().status(),
        404,
        "the first is still the member"
    );
    wait_until("the second is ready", || {
        second.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200)
    });
    first.signal("-TERM");
    assert!(first.wait_for_exit().success());
    wait_until("the second is the member", || is_seen_by_other(|m| m.state == "alive" && m.incarnation > 1));
    wait_until("the second reports a settled fleet", || {
        FleetView::fetch(&second).is_some_and(|fleet| fleet.size == 2 && fleet.is_settled)
    });
    let timeline = rig.timeline();
    assert!(
        !timeline.iter().any(|line| line.contains("x is left") || line.contains("x is dead")),
        "{timeline:#?}"
    );
}

/// The key is changed by reloads: the first node with the new key is alone until the others have it too, and
/// both serve clients meanwhile. Replayed datagrams change nothing under either key.
#[test]
fn the_fleets_key_is_changed_by_reloads_and_replays_change_nothing() {
    let folder = TempFolder::new("fleet-new-key");
    let path = folder.0.join("key");
    std::fs::write(&path, "ab".repeat(32)).unwrap();
    let (mut rig, _servers) = new_rig(3, &[0], &format!("key_file = \"{}\"", path.display()));
    rig.start_all(0..2);
    rig.wait_until_settled("joined", SETTLE_TIMEOUT);
    // The third node has an eavesdropper among its seeds, which records its request to join.
    let eavesdropper = UdpSocket::bind("127.0.0.1:0").unwrap();
    eavesdropper.set_read_timeout(Some(SETTLE_TIMEOUT)).unwrap();
    let seeds = format!("seeds = [\"{}\", ", eavesdropper.local_addr().unwrap());
    let own = rig.config_text(2, "n2").replace(&format!("advertise = \"{}\"\n", rig.relay_address(2)), "");
    let mut third = Node::start_with_operator_file(&own.replace("seeds = [", &seeds));
    let sees_as = |k: usize, name: &str, state: &str| {
        FleetView::fetch(rig.node(k)).is_some_and(|f| f.member(name).is_some_and(|m| m.state == state))
    };
    wait_until("the third has joined", || (0..2).all(|k| sees_as(k, "n2", "alive")));
    let mut bytes = [0; 1500];
    let (size, _) = eavesdropper.recv_from(&mut bytes).unwrap();
    third.signal("-TERM");
    assert!(third.wait_for_exit().success());
    wait_until("the third has left", || (0..2).all(|k| sees_as(k, "n2", "left")));
    let replay = || {
        for _ in 0..300 {
            eavesdropper.send_to(&bytes[..size], rig.relay_address(0)).unwrap();
        }
    };
    replay();
    let refused = |k: usize, reason: &str| {
        rig.node(k).metric(&format!("gw_fleet_refused{{reason=\"{reason}\"}}")).unwrap_or_default()
    };
    // A request to join is answered, but does not make its sender a member.
    let received_joins = "gw_fleet_datagrams{kind=\"join\",way=\"in\"}";
    wait_until("replayed datagrams are received", || rig.node(0).metric(received_joins) > Some(100.0));
    assert!((0..2).all(|k| sees_as(k, "n2", "left")));
    // The first node alone gets another key.
    std::fs::write(&path, "cd".repeat(32)).unwrap();
    rig.node(0).reload(&rig.config_text(0, "n0"));
    wait_until("the first's datagrams are rejected", || refused(1, "key") > 0.0);
    wait_until("the first is declared dead", || sees_as(1, "n0", "dead"));
    assert!((0..2).all(|k| rig.node(k).get("/r", "").is_some_and(|m| m.status() == 200)));
    let before = refused(0, "key");
    replay();
    wait_until("replayed datagrams are rejected for their key", || refused(0, "key") > before);
    rig.node(1).reload(&rig.config_text(1, "n1"));
    rig.wait_until_settled("both have the new key", SETTLE_TIMEOUT);
}

/// Nodes join over IPv6. Without IPv6 on the machine nothing is checked.
#[test]
fn nodes_join_over_ipv6() {
    if UdpSocket::bind("[::1]:0").is_err() {
        return;
    }
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let address: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let node = |name: &str, seeds: &str| {
        let datagram_address = address.clone();
        let text = format!(
            "[operator]\nlisten = \"127.0.0.1:0\"\n[fleet]\nname = \"six\"\nnode = \"{name}\"\n\
             listen = \"[::1]:0\"\nseeds = [{seeds}]\n{DETECTION_TIMES}\n{}",
            site_config(&servers.addresses)
        );
        Node::start_with_log_observer(&text, move |line| {
            if let Some((_, at)) = line.split_once("receives datagrams at ") {
                datagram_address.lock().unwrap().get_or_insert(at.parse().expect("an address"));
            }
        })
    };
    let first = node("n0", "");
    wait_until("the first logs its datagram address", || address.lock().unwrap().is_some());
    let seed = format!("\"{}\"", address.lock().unwrap().unwrap());
    let nodes = [first, node("n1", &seed)];
    wait_until("both have joined", || {
        nodes.iter().all(|n| {
            FleetView::fetch(n).is_some_and(|f| f.size == 2 && f.is_settled && f.member("n1").is_some())
        })
    });
}
