//! Processes that keep a view of each other, as many as `--processes 5,20,60` says: how long their views take to be equal and right
//! after all start, one is killed, and half is cut off from half for 15 s; what they send, and the processor time that they take.
//! With the file's own defaults. Then eight processes over ten servers, with a fleet and without: what a server that comes into the
//! list cold gets from all of them, what a tenant over its rate gets where there is not enough for all, and what a ninth counts as.

use corkhollow_faults::Action;
use corkhollow_test_support::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WITHIN: Duration = Duration::from_secs(60);

/// Processor time that a process has had, in seconds.
fn processor(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("it runs");
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|field| field.parse::<f64>().unwrap_or(0.0)).sum();
    // Hundredths of a second, on every Linux.
    ticks / 100.0
}

/// Bytes that a node has sent.
fn sent(node: &Node) -> f64 {
    let page = node.call_operator("GET", "/-/metrics").expect("it answers").body;
    let page = String::from_utf8(page).expect("text");
    let counts = page.lines().filter(|l| l.starts_with("gw_fleet_bytes{") && l.contains("way=\"out\""));
    counts.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn sums(rig: &Rig) -> (f64, f64) {
    let nodes = || rig.nodes.iter().flatten();
    (nodes().map(sent).sum(), nodes().map(|node| processor(node.process_id())).sum())
}

/// How long it takes until all views are equal and right, and until all nodes say that they have settled.
fn both(rig: &Rig, what: &str) -> String {
    let agreed = rig.wait_until_agreed(what, WITHIN).as_secs_f64();
    format!("{agreed:.2}, {:.2}", agreed + rig.wait_until_settled(what, WITHIN).as_secs_f64())
}

/// Processes and servers of the second part, and clients at each process.
const NODES: usize = 8;
const SERVERS: usize = 10;
const CLIENTS: usize = 2;

/// Requests that a cold server gets in each half second after it has come, from all processes, and those that each of the
/// others got in all that time, the least first.
fn cold(in_a_fleet: bool) -> (Vec<usize>, Vec<usize>) {
    let work = |_: usize, _: &Message| {
        std::thread::sleep(Duration::from_millis(4));
        ok_reply("fine")
    };
    let warm: Vec<_> = (0..SERVERS).map(|_| Servers::new(1, work)).collect();
    let cold = Servers::new(1, work);
    let dials: Vec<_> = warm.iter().map(|server| server.addresses[0]).collect();
    let folder = TempFolder::new(if in_a_fleet { "cold-fleet" } else { "cold-alone" });
    let list = folder.0.join("servers.toml");
    let write = |dials: &[SocketAddr]| {
        let servers: String = dials.iter().map(|d| format!("[[servers]]\naddress = \"{d}\"\n")).collect();
        std::fs::write(&list, servers).expect("the folder can be written");
    };
    write(&dials);
    let site = format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"boxes\"\nwatch = \"{}\"\n\
         cold_ramp = \"20s\"\n[[route]]\nname = \"all\"\npool = \"boxes\"\n",
        list.display()
    );
    let own = site.clone();
    let mut rig = Rig::new(NODES, 1, &[0], "", move |_| own.clone());
    let mut alone = Vec::new();
    if in_a_fleet {
        rig.start_all(0..NODES);
        rig.wait_until_agreed("joined", WITHIN);
    } else {
        alone.extend((0..NODES).map(|_| Node::start_with_operator_file(&site)));
    }
    let over = Arc::new(AtomicBool::new(false));
    let addresses = rig.nodes.iter().flatten().chain(&alone).map(|node| node.address);
    let clients: Vec<_> = addresses
        .flat_map(|address| [address; CLIENTS])
        .map(|address| {
            let over = over.clone();
            std::thread::spawn(move || {
                while !over.load(SeqCst) {
                    let stream = std::net::TcpStream::connect(address).ok();
                    let _ = stream.and_then(|mut stream| {
                        std::io::Write::write_all(&mut stream, &get_request("/", "")).ok()?;
                        read_message(&mut stream)
                    });
                    std::thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    write(&[&dials[..], &cold.addresses[..]].concat());
    wait_until("the cold server is known", || cold.request_count() > 0);
    let start: Vec<_> = warm.iter().map(Servers::request_count).collect();
    let mut before = cold.request_count();
    let mut halves = Vec::new();
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(500));
        let now = cold.request_count();
        halves.push(now - before);
        before = now;
    }
    let mut others: Vec<_> =
        warm.iter().zip(start).map(|(server, before)| server.request_count() - before).collect();
    others.sort_unstable();
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    (halves, others)
}

/// Requests a second that are served of a tenant whose rate is 80 over all nodes, and of another one with more than all, while both
/// ask for more than there is; and what a ninth process counts as when it first takes clients, and after how many milliseconds.
fn tenants(in_a_fleet: bool) -> ([f64; 2], Option<(usize, u128)>) {
    // One at a time: each server does 250 a second.
    let server = || {
        let turn = Mutex::new(());
        Servers::new(1, move |_, _| {
            let _turn = turn.lock();
            std::thread::sleep(Duration::from_millis(4));
            ok_reply("fine")
        })
    };
    let servers: Vec<_> = (0..SERVERS).map(|_| server()).collect();
    let dials: String = servers
        .iter()
        .flat_map(|server| &server.addresses)
        .map(|d| format!("{{ address = \"{d}\" }}, "))
        .collect();
    let site = format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\nmethods = [\"GET\"]\naim = \"30ms\"\ndeadline = \"500ms\"\n\
         [tenants]\ntenant = [{{ name = \"a\", rate = 80.0 }}, {{ name = \"b\", rate = 8000.0 }}]\n\
         [[pool]]\nname = \"boxes\"\nconcurrency = 1\nservers = [{dials}]\n[[route]]\nname = \"all\"\npool = \"boxes\"\n"
    );
    let own = site.clone();
    let mut rig = Rig::new(NODES + 1, 1, &[0], "", move |_| own.clone());
    let mut alone = Vec::new();
    if in_a_fleet {
        rig.start_all(0..NODES);
        rig.wait_until_agreed("joined", WITHIN);
    } else {
        alone.extend((0..NODES).map(|_| Node::start_with_operator_file(&site)));
    }
    let served: Arc<[AtomicUsize; 2]> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = rig.nodes.iter().flatten().chain(&alone).map(|node| node.address).collect();
    let mut clients = Vec::new();
    for address in addresses {
        for client in 0..16 {
            let (served, over) = (served.clone(), over.clone());
            clients.push(std::thread::spawn(move || {
                let tenant = client % 2;
                let header = ["X-Tenant-Id: a\r\n", "X-Tenant-Id: b\r\n"][tenant];
                while !over.load(SeqCst) {
                    let stream = std::net::TcpStream::connect(address).ok();
                    let answer = stream.and_then(|mut stream| {
                        std::io::Write::write_all(&mut stream, &get_request("/", header)).ok()?;
                        read_message(&mut stream)
                    });
                    match answer.map(|m| m.status()) {
                        Some(200) => drop(served[tenant].fetch_add(1, SeqCst)),
                        _ => std::thread::sleep(Duration::from_millis(10)),
                    }
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    let before = [0, 1].map(|k| served[k].load(SeqCst));
    std::thread::sleep(Duration::from_secs(10));
    let rates = [0, 1].map(|k| (served[k].load(SeqCst) - before[k]) as f64 / 10.0);
    let ninth = in_a_fleet.then(|| {
        let start = Instant::now();
        rig.start(NODES);
        let took = start.elapsed().as_millis();
        (FleetView::fetch(rig.node(NODES)).map_or(0, |fleet| fleet.size), took)
    });
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    (rates, ninth)
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let given = arguments.iter().position(|a| a == "--processes").and_then(|at| arguments.get(at + 1));
    let counts: Vec<usize> = match given {
        Some(list) => list.split(',').filter_map(|n| n.parse().ok()).collect(),
        None => vec![5, 20, 60],
    };
    println!("| processes | joined: equal, said, s | crash | healed | bytes a node and second | processor, ms a node and second |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for count in counts {
        let servers = Servers::new(2, |_, _| ok_reply("fine"));
        let dials: String = servers.addresses.iter().map(|d| format!("{{ address = \"{d}\" }}, ")).collect();
        let site = format!(
            "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"boxes\"\n\
             servers = [{dials}]\n[[route]]\nname = \"all\"\npool = \"boxes\"\n"
        );
        let mut rig = Rig::new(count, 1, &[0], "", move |_| site.clone());
        rig.start_all(0..count);
        let joined = both(&rig, "joined");
        rig.apply(&Action::Kill(count - 1));
        let crashed = both(&rig, "crashed");
        rig.apply(&Action::Partition(vec![(0..count / 2).collect(), (count / 2..count - 1).collect()]));
        std::thread::sleep(Duration::from_secs(15));
        rig.apply(&Action::Heal);
        let healed = both(&rig, "healed");
        let (before, start) = (sums(&rig), Instant::now());
        std::thread::sleep(Duration::from_secs(10));
        let after = sums(&rig);
        let node_seconds = start.elapsed().as_secs_f64() * (count - 1) as f64;
        println!(
            "| {count} | {joined} | {crashed} | {healed} | {:.0} | {:.2} |",
            (after.0 - before.0) / node_seconds,
            (after.1 - before.1) / node_seconds * 1e3,
        );
    }
    println!("\n{NODES} processes, {SERVERS} warm servers and a cold one: what it gets in each half second");
    for in_a_fleet in [false, true] {
        let (halves, others) = cold(in_a_fleet);
        let how = if in_a_fleet { "in a fleet" } else { "each alone" };
        println!("{how}: {halves:?}; the warm ones in 5 s: {others:?}");
    }
    println!("\nthe same, full: requests a second served of a tenant with a rate of 80 and of one with more than all");
    for in_a_fleet in [false, true] {
        let ([limited, other], ninth) = tenants(in_a_fleet);
        let how = if in_a_fleet { "in a fleet" } else { "each alone" };
        println!("{how}: {limited:.0} and {other:.0}");
        if let Some((size, took)) = ninth {
            println!(
                "a ninth counts itself as one of {size} when it takes clients, {took} ms after its start"
            );
        }
    }
}
