//! Several processes of the program that keep a view of each other, with faults between them.

use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_test_support::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Quicker than the defaults: 1.2 s to object where several accuse.
const TIMES: &str = "probe_every = \"250ms\"\nprobe_timeout = \"100ms\"\nsuspect_for = \"1200ms\"";
/// Far beyond what `docs/design/fleet-view.md` states for these times: a machine may be busy.
const SOON: Duration = Duration::from_secs(15);

fn site(dials: &[SocketAddr]) -> String {
    let servers: String = dials.iter().map(|d| format!("{{ address = \"{d}\" }}, ")).collect();
    format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\nmethods = [\"GET\"]\ndeadline = \"8s\"\n\
         [[class]]\nname = \"write\"\neffect = \"unsafe\"\nmethods = [\"POST\"]\ndeadline = \"8s\"\n\
         [[pool]]\nname = \"boxes\"\nservers = [{servers}]\n[[route]]\nname = \"all\"\npool = \"boxes\"\n"
    )
}

fn rig(count: usize, seeds: &[usize], more: &str) -> (Rig, Servers) {
    let servers = Servers::new(3, |_, _| ok_reply("fine"));
    let text = site(&servers.addresses);
    (Rig::new(count, 7, seeds, &format!("{TIMES}\n{more}"), move |_| text.clone()), servers)
}

fn away(rig: &Rig, name: &str, state: &str) {
    wait_until(&format!("{name} is {state} everywhere"), || {
        rig.views().iter().flatten().all(|fleet| fleet.member(name).is_some_and(|m| m.state == state))
    });
}

/// Clients that go where a front would send them: to nodes that take clients.
struct Clients {
    open: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    over: Arc<AtomicBool>,
    asked: Arc<AtomicU64>,
    wrong: Arc<Mutex<Vec<String>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(count: usize) -> Self {
        let mut clients = Clients {
            open: Arc::default(),
            over: Arc::default(),
            asked: Arc::default(),
            wrong: Arc::default(),
            threads: Vec::new(),
        };
        for client in 0..count {
            let (open, over, asked, wrong) =
                (clients.open.clone(), clients.over.clone(), clients.asked.clone(), clients.wrong.clone());
            clients.threads.push(thread::spawn(move || {
                let mut turn = client;
                while !over.load(SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                    turn += 1;
                    let open: Vec<_> = open.lock().unwrap().iter().flatten().copied().collect();
                    let Some(address) = open.get(turn % open.len().max(1)) else { continue };
                    let writes = turn % 3 == 0;
                    let request = if writes { post_request("/w", b"x") } else { get_request("/r", "") };
                    asked.fetch_add(1, SeqCst);
                    match ask(*address, &request) {
                        Some(200) => {}
                        // Its answer was cut off: nobody knows whether it has run, and it must not run again.
                        Some(502) if writes => {}
                        other => wrong.lock().unwrap().push(format!("{address} answered {other:?}")),
                    }
                }
            }));
        }
        clients
    }

    fn open(&self, rig: &Rig, but: Option<usize>) {
        let address =
            |(k, node): (usize, &Option<Node>)| node.as_ref().filter(|_| Some(k) != but).map(|n| n.address);
        *self.open.lock().unwrap() = rig.nodes.iter().enumerate().map(address).collect();
    }

    fn end(self) -> (u64, Vec<String>) {
        self.over.store(true, SeqCst);
        self.threads.into_iter().for_each(|client| client.join().unwrap());
        let wrong = self.wrong.lock().unwrap().clone();
        (self.asked.load(SeqCst), wrong)
    }
}

fn ask(address: SocketAddr, request: &[u8]) -> Option<u16> {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut stream).filter(|m| m.is_complete).map(|m| m.status())
}

/// Joins, a crash, a process that stands still, a cut in two, its healing, and a restart of all one by one, under load: all have
/// the same view after each, each request has one answer, and nothing unsafe runs twice.
#[test]
fn a_fleet_lives_through_what_befalls_it() {
    let servers = Servers::new(3, |_, _| ok_reply("fine"));
    // One of the servers is reached by a slow link, one by a link that cuts every ninth connection before an answer.
    let late = ConnectionFaults {
        to_client: corkhollow_test_support::DirectionFaults {
            delay: Duration::from_millis(20),
            jitter: Duration::from_millis(20),
            ..Default::default()
        },
        ..ConnectionFaults::default()
    };
    let slow = Link::new(servers.addresses[0], 1, move |_| late);
    let cut = ConnectionFaults {
        to_client: corkhollow_test_support::DirectionFaults {
            end: Some((0, LinkEnd::Reset)),
            ..Default::default()
        },
        ..ConnectionFaults::default()
    };
    let lossy =
        Link::new(
            servers.addresses[1],
            2,
            move |n| if n % 9 == 8 { cut } else { ConnectionFaults::default() },
        );
    let text = site(&[slow.address, lossy.address, servers.addresses[2]]);
    let mut rig = Rig::new(7, 7, &[0, 1], TIMES, move |_| text.clone());
    rig.start_all(0..6);
    rig.wait_until_settled("joined", SOON);
    let clients = Clients::start(6);
    clients.open(&rig, Some(5));
    rig.apply(&Action::Kill(5));
    away(&rig, "n5", "dead");
    rig.wait_until_settled("crashed", SOON);
    // Under its name, with nothing.
    rig.apply(&Action::Start(5));
    rig.wait_until_settled("came back", SOON);
    assert!(FleetView::fetch(rig.node(0)).unwrap().member("n5").unwrap().incarnation > 1);
    rig.apply(&Action::Start(6));
    rig.wait_until_settled("joined later", SOON);
    clients.open(&rig, Some(4));
    rig.run_script(&Script::new().at(0, Action::Stall(4, 5_000)));
    rig.wait_until_settled("went on", SOON);
    let others = rig.count_timeline_lines("n4: corkhollow: fleet: n");
    let given_up = |name: &str| rig.count_timeline_lines(&format!("n4: corkhollow: fleet: {name} is dead"));
    assert!(
        others > 0 && [0, 1, 2, 3, 6].iter().all(|k| given_up(&format!("n{k}")) == 0),
        "{}",
        rig.timeline().join("\n")
    );
    clients.open(&rig, None);
    rig.apply(&Action::Partition(vec![vec![0, 2, 4, 6], vec![1, 3, 5]]));
    wait_until("each side counts its own", || {
        let sizes: Vec<_> = rig.views().iter().flatten().map(|fleet| fleet.size).collect();
        sizes == [4, 3, 4, 3, 4, 3, 4]
    });
    rig.apply(&Action::Heal);
    rig.wait_until_settled("healed", SOON);
    for number in 0..7 {
        clients.open(&rig, Some(number));
        rig.apply(&Action::Leave(number));
        away(&rig, &format!("n{number}"), "left");
        rig.apply(&Action::Start(number));
    }
    clients.open(&rig, None);
    rig.wait_until_settled("rolled", SOON);
    assert_eq!(
        rig.count_timeline_lines("this node is number"),
        rig.count_timeline_lines("fleet: this node is number")
    );
    let (asked, wrong) = clients.end();
    assert!(asked > 500 && wrong.is_empty(), "{asked} asked: {wrong:#?}\n{}", rig.timeline().join("\n"));
    let mut runs = BTreeMap::new();
    for request in servers.requests.lock().unwrap().iter().filter(|m| m.head.starts_with("POST")) {
        *runs.entry(request.header("x-request-id").unwrap_or_default().to_owned()).or_insert(0) += 1;
    }
    assert!(runs.len() > 100 && runs.values().all(|count| *count == 1));
}

/// One direction cut for good, and a tenth of all datagrams lost, doubled and late: nobody is given up, as others' probes and
/// rumours get round it.
#[test]
fn a_one_way_cut_and_a_bad_network_take_nobody_out() {
    let (mut rig, _servers) = rig(5, &[0], "datagram_bytes = 256");
    rig.start_all(0..5);
    rig.wait_until_settled("joined", SOON);
    let bad = LinkFaults { loss: 0.1, delay: 1, jitter: 60, duplication: 0.2, blocked: false };
    let script = Script::new()
        .at(0, Action::SetAllLinks(bad))
        .at(0, Action::BlockLink(3, 1))
        .at(0, Action::BlockLink(0, 4));
    rig.run_script(&script.at(8_000, Action::Heal));
    rig.apply(&Action::SetAllLinks(LinkFaults::default()));
    rig.wait_until_settled("healed", SOON);
    assert_eq!(rig.count_timeline_lines(" is dead"), 0, "{}", rig.timeline().join("\n"));
}

/// A process that leaves says so, one that is emptied says so too, and both are known at once.
#[test]
fn what_a_node_says_of_itself_is_known_everywhere() {
    let (mut rig, _servers) = rig(3, &[0], "");
    rig.start_all(0..3);
    rig.wait_until_settled("joined", SOON);
    assert_eq!(rig.node(2).call_operator("POST", "/-/drain").unwrap().status(), 200);
    let drains = |told: bool| {
        rig.views().iter().flatten().all(|fleet| fleet.member("n2").is_some_and(|m| m.is_draining == told))
    };
    wait_until("all know that it drains", || drains(true));
    assert_eq!(rig.node(2).call_operator("POST", "/-/resume").unwrap().status(), 200);
    wait_until("all know that it resumes", || drains(false));
    rig.apply(&Action::Leave(2));
    away(&rig, "n2", "left");
    assert_eq!(rig.count_timeline_lines("n2 is suspect"), 0);
    rig.wait_until_settled("left", SOON);
    for figure in ["gw_fleet_members{state=\"alive\"}", "gw_fleet_size"] {
        wait_until(figure, || rig.node(0).metric(figure) == Some(2.0));
    }
    assert_eq!(rig.node(0).metric("gw_fleet_members{state=\"left\"}"), Some(1.0));
    assert!(rig.node(0).metric("gw_fleet_datagrams{kind=\"ping\",way=\"out\"}").unwrap() > 0.0);
    let calls = |node: &Node| format!("--operator={}", node.operator_address.unwrap());
    let table = Command::new(program_path())
        .arg("fleet")
        .args(rig.nodes.iter().flatten().map(calls))
        .output()
        .unwrap();
    let table = String::from_utf8(table.stdout).unwrap();
    assert!(table.contains("views are equal; nodes that did not answer: 0"), "{table}");
    assert!(table.contains("fleet rig, seen by n0: number 0 of 2") && table.contains("left"), "{table}");
}

/// Of two processes under one name the later does not start, and says why; what holds of the first is not shaken.
#[test]
fn a_second_process_under_a_name_does_not_start() {
    let (mut rig, _servers) = rig(3, &[0], "");
    rig.start_all(0..2);
    rig.wait_until_settled("joined", SOON);
    let before = FleetView::fetch(rig.node(0)).unwrap();
    // At an address of its own, under the first's name.
    let path = std::env::temp_dir().join(format!("corkhollow-double-{}.toml", std::process::id()));
    let text = rig
        .config_text(2, "n1")
        .replace("127.0.0.1:0\"\nadvertise", "127.0.0.1:0\"\n#")
        .replace(&format!("# = \"{}\"", rig.relay_address(2)), "");
    std::fs::write(&path, text).unwrap();
    let mut double = Command::new(program_path());
    double.args(["run", "--config"]).arg(&path).stdout(Stdio::null());
    let output = double.output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success(), "{said}");
    // A port that somebody else has.
    let taken = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let path = std::env::temp_dir().join(format!("corkhollow-taken-{}.toml", std::process::id()));
    let file =
        rig.config_text(2, "n2").replace("127.0.0.1:0\"\nadvertise", &format!("{address}\"\nadvertise"));
    std::fs::write(&path, file).unwrap();
    let output = Command::new(program_path()).args(["run", "--config"]).arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let told = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && told.contains(&format!("cannot listen on {address}")), "{told}");
    let words = format!("the name n1 is already used by the process at {}", rig.relay_address(1));
    assert!(said.contains(&words), "{said}");
    assert_eq!(FleetView::fetch(rig.node(0)).unwrap().view_digest, before.view_digest);
    rig.wait_until_settled("unshaken", SOON);
}

/// Garbage, cut and replayed datagrams by the thousand, and another fleet's: counted by their reason, and requests go on.
#[test]
fn a_flood_of_garbage_harms_nobody() {
    let key = TempFolder::new("fleet-key");
    let path = key.0.join("key");
    std::fs::write(&path, "ab".repeat(32)).unwrap();
    let (mut rig, _servers) = rig(3, &[0], &format!("key_file = \"{}\"", path.display()));
    rig.start_all(0..3);
    rig.wait_until_settled("joined", SOON);
    let flood = UdpSocket::bind("127.0.0.1:0").unwrap();
    let target = rig.relay_address(0);
    let mut draw = SeededRng::new(3);
    let served = (0..40).filter(|_| {
        for _ in 0..500 {
            let bytes: Vec<u8> = (0..draw.next_u64() % 600).map(|_| draw.next_u64() as u8).collect();
            let _ = flood.send_to(&bytes, target);
        }
        rig.node(0).get("/r", "").is_some_and(|m| m.status() == 200)
    });
    assert_eq!(served.count(), 40);
    wait_until("it is counted", || rig.node(0).metric("gw_fleet_refused{reason=\"garbled\"}") > Some(100.0));
    rig.wait_until_settled("unharmed", SOON);
    assert_eq!(rig.count_timeline_lines(" is dead"), 0);
}

/// What can be taken over while it runs is; a file that changes more is turned down whole.
#[test]
fn a_new_file_is_taken_whole_or_not_at_all() {
    let (mut rig, _servers) = rig(2, &[0], "");
    rig.start_all(0..2);
    rig.wait_until_settled("joined", SOON);
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
        (file.replace(TIMES, &format!("{TIMES}\nkey_file = \"none\"")), "not reloaded"),
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
    rig.wait_until_settled("goes on", SOON);
    assert_eq!(FleetView::fetch(rig.node(0)).unwrap().size, 2);
}

/// A process that comes to another's place takes over its name and its address: nobody holds it for gone, or for a double.
#[test]
fn a_successor_keeps_its_place() {
    let servers = Servers::new(2, |_, _| ok_reply("fine"));
    let text = site(&servers.addresses);
    let mut rig = Rig::new(1, 1, &[0], TIMES, {
        let text = text.clone();
        move |_| text.clone()
    });
    rig.start(0);
    let folder = TempFolder::new("fleet-successor");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let free = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let file = text.replace("127.0.0.1:0", &listener.local_addr().unwrap().to_string());
    let file = format!(
        "[fleet]\nname = \"rig\"\nnode = \"x\"\nlisten = \"{free}\"\nseeds = [\"{}\"]\n{TIMES}\n{file}",
        rig.relay_address(0)
    );
    let run = || Node::start_socket_activated(&listener, &folder.0, "127.0.0.1:0", &file);
    let mut first = run();
    let other = |seen: fn(&Member) -> bool| {
        let fleet = FleetView::fetch(rig.node(0));
        fleet.is_some_and(|fleet| fleet.size == 2 && fleet.member("x").is_some_and(seen))
    };
    wait_until("the first is there", || other(|m| m.state == "alive"));
    let second = run();
    second.wait_for_log("this node is number 1 of 2", 1);
    assert_eq!(second.call_operator("GET", "/-/fleet").unwrap().status(), 404, "the place is the first's");
    wait_until("it takes clients", || {
        second.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200)
    });
    first.signal("-TERM");
    assert!(first.wait_for_exit().success());
    wait_until("the second has its place", || other(|m| m.state == "alive" && m.incarnation > 1));
    wait_until("it says so", || {
        FleetView::fetch(&second).is_some_and(|fleet| fleet.size == 2 && fleet.is_settled)
    });
    let said = rig.timeline();
    assert!(!said.iter().any(|line| line.contains("x is left") || line.contains("x is dead")), "{said:#?}");
}

/// A key that is changed by SIGHUP: the first that has it is on its own until the others have it too, and clients are served meanwhile.
/// What was overheard before, and is sent again, changes nothing under either key.
#[test]
fn a_key_is_changed_while_the_fleet_runs() {
    let folder = TempFolder::new("fleet-new-key");
    let path = folder.0.join("key");
    std::fs::write(&path, "ab".repeat(32)).unwrap();
    let (mut rig, _servers) = rig(3, &[0], &format!("key_file = \"{}\"", path.display()));
    rig.start_all(0..2);
    rig.wait_until_settled("joined", SOON);
    // One who overhears what a third says when it joins: it takes him for a seed.
    let overhears = UdpSocket::bind("127.0.0.1:0").unwrap();
    overhears.set_read_timeout(Some(SOON)).unwrap();
    let seeds = format!("seeds = [\"{}\", ", overhears.local_addr().unwrap());
    let own = rig.config_text(2, "n2").replace(&format!("advertise = \"{}\"\n", rig.relay_address(2)), "");
    let mut third = Node::start_with_operator_file(&own.replace("seeds = [", &seeds));
    let knows = |k: usize, name: &str, state: &str| {
        FleetView::fetch(rig.node(k)).is_some_and(|f| f.member(name).is_some_and(|m| m.state == state))
    };
    wait_until("it has joined", || (0..2).all(|k| knows(k, "n2", "alive")));
    let mut bytes = [0; 1500];
    let (size, _) = overhears.recv_from(&mut bytes).unwrap();
    third.signal("-TERM");
    assert!(third.wait_for_exit().success());
    wait_until("it has left", || (0..2).all(|k| knows(k, "n2", "left")));
    let replay = || {
        for _ in 0..300 {
            overhears.send_to(&bytes[..size], rig.relay_address(0)).unwrap();
        }
    };
    replay();
    let refused = |k: usize, why: &str| {
        rig.node(k).metric(&format!("gw_fleet_refused{{reason=\"{why}\"}}")).unwrap_or_default()
    };
    // Who asks to join is told who is there, and is nobody for that.
    let joins = "gw_fleet_datagrams{kind=\"join\",way=\"in\"}";
    wait_until("replays are read", || rig.node(0).metric(joins) > Some(100.0));
    assert!((0..2).all(|k| knows(k, "n2", "left")));
    // Another key for the first alone.
    std::fs::write(&path, "cd".repeat(32)).unwrap();
    rig.node(0).reload(&rig.config_text(0, "n0"));
    wait_until("it is refused", || refused(1, "key") > 0.0);
    wait_until("it is given up", || knows(1, "n0", "dead"));
    assert!((0..2).all(|k| rig.node(k).get("/r", "").is_some_and(|m| m.status() == 200)));
    let before = refused(0, "key");
    replay();
    wait_until("they are under another key", || refused(0, "key") > before);
    rig.node(1).reload(&rig.config_text(1, "n1"));
    rig.wait_until_settled("both have it", SOON);
}

/// Nodes meet over IPv6, where the machine has it.
#[test]
fn a_fleet_meets_over_ipv6() {
    if UdpSocket::bind("[::1]:0").is_err() {
        return;
    }
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let address: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let node = |name: &str, seeds: &str| {
        let heard = address.clone();
        let text = format!(
            "[operator]\nlisten = \"127.0.0.1:0\"\n[fleet]\nname = \"six\"\nnode = \"{name}\"\n\
             listen = \"[::1]:0\"\nseeds = [{seeds}]\n{TIMES}\n{}",
            site(&servers.addresses)
        );
        Node::start_with_log_observer(&text, move |line| {
            if let Some((_, at)) = line.split_once("receives datagrams at ") {
                heard.lock().unwrap().get_or_insert(at.parse().expect("an address"));
            }
        })
    };
    let first = node("n0", "");
    wait_until("it says where it hears", || address.lock().unwrap().is_some());
    let seed = format!("\"{}\"", address.lock().unwrap().unwrap());
    let nodes = [first, node("n1", &seed)];
    wait_until("both have met", || {
        nodes.iter().all(|n| {
            FleetView::fetch(n).is_some_and(|f| f.size == 2 && f.is_settled && f.member("n1").is_some())
        })
    });
}
