//! Measures fleets of gateway processes with default settings; `--processes 5,20,60` sets their sizes. The
//! first part measures how long the views take to converge after all processes start, one is killed, and a
//! partition into halves of 15 s heals, and the traffic and processor time of membership. The second part
//! compares eight processes in a fleet with eight separate ones over ten servers: requests sent to a cold
//! server, rates of tenants under overload, and how a ninth process joins.

use corkhollow_faults::Action;
use corkhollow_test_support::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long to wait until all views agree.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Processor time that a process has used, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11..13].iter().map(|field| field.parse::<f64>().unwrap_or(0.0)).sum();
    // Linux reports these values in ticks of 10 ms.
    ticks / 100.0
}

/// Bytes that a node has sent to other nodes.
fn fleet_bytes_sent(node: &Node) -> f64 {
    let page = node.call_operator("GET", "/-/metrics").expect("an answer").body;
    let page = String::from_utf8(page).expect("UTF-8");
    let counts = page.lines().filter(|l| l.starts_with("gw_fleet_bytes{") && l.contains("way=\"out\""));
    counts.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn total_bytes_and_cpu(rig: &Rig) -> (f64, f64) {
    let nodes = || rig.nodes.iter().flatten();
    (nodes().map(fleet_bytes_sent).sum(), nodes().map(|node| cpu_seconds(node.process_id())).sum())
}

/// Waits until all views agree and then until all nodes report that they are settled, and formats both times
/// in seconds.
fn convergence_times(rig: &Rig, event: &str) -> String {
    let agreed = rig.wait_until_agreed(event, CONVERGENCE_TIMEOUT).as_secs_f64();
    format!("{agreed:.2}, {:.2}", agreed + rig.wait_until_settled(event, CONVERGENCE_TIMEOUT).as_secs_f64())
}

/// Processes in the second part.
const NODE_COUNT: usize = 8;
/// Warm servers in the second part.
const WARM_SERVER_COUNT: usize = 10;
const CLIENTS_PER_NODE: usize = 2;

/// Returns the requests to a cold server in each half second after it is listed, and the requests to each
/// warm server in all that time, in ascending order.
fn measure_cold_server(in_a_fleet: bool) -> (Vec<usize>, Vec<usize>) {
    let respond = |_: usize, _: &Message| {
        std::thread::sleep(Duration::from_millis(4));
        ok_reply("fine")
    };
    let warm: Vec<_> = (0..WARM_SERVER_COUNT).map(|_| Servers::new(1, respond)).collect();
    let cold = Servers::new(1, respond);
    let warm_addresses: Vec<_> = warm.iter().map(|server| server.addresses[0]).collect();
    let folder = TempFolder::new(if in_a_fleet { "cold-fleet" } else { "cold-alone" });
    let list = folder.0.join("servers.toml");
    let write_list = |addresses: &[SocketAddr]| {
        let servers: String =
            addresses.iter().map(|address| format!("[[servers]]\naddress = \"{address}\"\n")).collect();
        std::fs::write(&list, servers).expect("a server list written");
    };
    write_list(&warm_addresses);
    let config = format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"boxes\"\nwatch = \"{}\"\n\
         cold_ramp = \"20s\"\n[[route]]\nname = \"all\"\npool = \"boxes\"\n",
        list.display()
    );
    let node_config = config.clone();
    let mut rig = Rig::new(NODE_COUNT, 1, &[0], "", move |_| node_config.clone());
    let mut separate_nodes = Vec::new();
    if in_a_fleet {
        rig.start_all(0..NODE_COUNT);
        rig.wait_until_agreed("joined", CONVERGENCE_TIMEOUT);
    } else {
        separate_nodes.extend((0..NODE_COUNT).map(|_| Node::start_with_operator_file(&config)));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let addresses = rig.nodes.iter().flatten().chain(&separate_nodes).map(|node| node.address);
    let clients: Vec<_> = addresses
        .flat_map(|address| [address; CLIENTS_PER_NODE])
        .map(|address| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(SeqCst) {
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
    write_list(&[&warm_addresses[..], &cold.addresses[..]].concat());
    wait_until("the cold server has a request", || cold.request_count() > 0);
    let start: Vec<_> = warm.iter().map(Servers::request_count).collect();
    let mut before = cold.request_count();
    let mut counts_per_half_second = Vec::new();
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(500));
        let now = cold.request_count();
        counts_per_half_second.push(now - before);
        before = now;
    }
    let mut warm_counts: Vec<_> =
        warm.iter().zip(start).map(|(server, before)| server.request_count() - before).collect();
    warm_counts.sort_unstable();
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    (counts_per_half_second, warm_counts)
}

/// Returns the requests served per second, under overload, of a tenant with a rate of 80 over all nodes and
/// of one with a rate above the capacity; and, for a fleet, the size that a ninth process counts and its
/// start time in milliseconds.
fn measure_tenants(in_a_fleet: bool) -> ([f64; 2], Option<(usize, u128)>) {
    // One request at a time, so each server has a capacity of 250 requests per second.
    let server = || {
        let one_at_a_time = Mutex::new(());
        Servers::new(1, move |_, _| {
            let _guard = one_at_a_time.lock();
            std::thread::sleep(Duration::from_millis(4));
            ok_reply("fine")
        })
    };
    let servers: Vec<_> = (0..WARM_SERVER_COUNT).map(|_| server()).collect();
    let server_entries: String = servers
        .iter()
        .flat_map(|server| &server.addresses)
        .map(|d| format!("{{ address = \"{d}\" }}, "))
        .collect();
    let config = format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[class]]\nname = \"read\"\neffect = \"safe\"\nmethods = [\"GET\"]\naim = \"30ms\"\ndeadline = \"500ms\"\n\
         [tenants]\ntenant = [{{ name = \"a\", rate = 80.0 }}, {{ name = \"b\", rate = 8000.0 }}]\n\
         [[pool]]\nname = \"boxes\"\nconcurrency = 1\nservers = [{server_entries}]\n[[route]]\nname = \"all\"\npool = \"boxes\"\n"
    );
    let node_config = config.clone();
    let mut rig = Rig::new(NODE_COUNT + 1, 1, &[0], "", move |_| node_config.clone());
    let mut separate_nodes = Vec::new();
    if in_a_fleet {
        rig.start_all(0..NODE_COUNT);
        rig.wait_until_agreed("joined", CONVERGENCE_TIMEOUT);
    } else {
        separate_nodes.extend((0..NODE_COUNT).map(|_| Node::start_with_operator_file(&config)));
    }
    let served: Arc<[AtomicUsize; 2]> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> =
        rig.nodes.iter().flatten().chain(&separate_nodes).map(|node| node.address).collect();
    let mut clients = Vec::new();
    for address in addresses {
        for client in 0..16 {
            let (served, stop) = (served.clone(), stop.clone());
            clients.push(std::thread::spawn(move || {
                let tenant = client % 2;
                let header = ["X-Tenant-Id: a\r\n", "X-Tenant-Id: b\r\n"][tenant];
                while !stop.load(SeqCst) {
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
        rig.start(NODE_COUNT);
        let elapsed_ms = start.elapsed().as_millis();
        (FleetView::fetch(rig.node(NODE_COUNT)).map_or(0, |fleet| fleet.size), elapsed_ms)
    });
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    (rates, ninth)
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let processes =
        arguments.iter().position(|a| a == "--processes").and_then(|index| arguments.get(index + 1));
    let counts: Vec<usize> = match processes {
        Some(list) => list.split(',').filter_map(|n| n.parse().ok()).collect(),
        None => vec![5, 20, 60],
    };
    println!("| processes | joined: equal, said, s | crash | healed | bytes a node and second | processor, ms a node and second |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for count in counts {
        let servers = Servers::new(2, |_, _| ok_reply("fine"));
        let server_entries: String =
            servers.addresses.iter().map(|d| format!("{{ address = \"{d}\" }}, ")).collect();
        let config = format!(
            "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"boxes\"\n\
             servers = [{server_entries}]\n[[route]]\nname = \"all\"\npool = \"boxes\"\n"
        );
        let mut rig = Rig::new(count, 1, &[0], "", move |_| config.clone());
        rig.start_all(0..count);
        let joined = convergence_times(&rig, "joined");
        rig.apply(&Action::Kill(count - 1));
        let crashed = convergence_times(&rig, "crashed");
        rig.apply(&Action::Partition(vec![(0..count / 2).collect(), (count / 2..count - 1).collect()]));
        std::thread::sleep(Duration::from_secs(15));
        rig.apply(&Action::Heal);
        let healed = convergence_times(&rig, "healed");
        let (before, start) = (total_bytes_and_cpu(&rig), Instant::now());
        std::thread::sleep(Duration::from_secs(10));
        let after = total_bytes_and_cpu(&rig);
        let node_seconds = start.elapsed().as_secs_f64() * (count - 1) as f64;
        println!(
            "| {count} | {joined} | {crashed} | {healed} | {:.0} | {:.2} |",
            (after.0 - before.0) / node_seconds,
            (after.1 - before.1) / node_seconds * 1e3,
        );
    }
    println!("\n{NODE_COUNT} processes, {WARM_SERVER_COUNT} warm servers and a cold one: what it gets in each half second");
    for in_a_fleet in [false, true] {
        let (counts_per_half_second, warm_counts) = measure_cold_server(in_a_fleet);
        let mode = if in_a_fleet { "in a fleet" } else { "each alone" };
        println!("{mode}: {counts_per_half_second:?}; the warm ones in 5 s: {warm_counts:?}");
    }
    println!("\nthe same, full: requests a second served of a tenant with a rate of 80 and of one with more than all");
    for in_a_fleet in [false, true] {
        let ([limited, other], ninth) = measure_tenants(in_a_fleet);
        let mode = if in_a_fleet { "in a fleet" } else { "each alone" };
        println!("{mode}: {limited:.0} and {other:.0}");
        if let Some((size, elapsed_ms)) = ninth {
            println!(
                "a ninth counts itself as one of {size} when it takes clients, {elapsed_ms} ms after its start"
            );
        }
    }
}
