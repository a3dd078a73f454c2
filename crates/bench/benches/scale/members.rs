//! Measures membership at full size: some gateway processes among nodes that run only the same membership code.

use crate::load::{Client, LatencyMonitor};
use crate::node::Measurements;
use crate::process;
use corkhollow_fleet::{Config, Extensions, Timing};
use corkhollow_proxy::fleet::Fleet;
use corkhollow_test_support::{FleetView, Node};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const MS: u64 = 1_000_000;
/// How long to wait until all processes count the expected number of nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);

fn address(number: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 96, (number >> 7) as u8, (number & 0x7f) as u8 + 1), 0))
}

/// A node without traffic. When dropped it stops without announcing that it leaves, like a crashed machine.
struct MembershipNode {
    fleet: Fleet,
}

impl Drop for MembershipNode {
    fn drop(&mut self) {
        self.fleet.hand_over();
    }
}

fn start_member(number: u32, seeds: &[SocketAddr]) -> std::io::Result<(MembershipNode, SocketAddr)> {
    let socket = UdpSocket::bind(address(number))?;
    let address = socket.local_addr()?;
    let config = Config {
        fleet: "scale".to_owned(),
        name: format!("hollow-{number}"),
        zone: format!("zone-{}", number % 8),
        address,
        seeds: seeds.to_vec(),
        key: None,
        timing: Timing { probe_interval: 500 * MS, probe_timeout: 200 * MS, suspicion_timeout: 2_500 * MS },
        max_datagram_bytes: 1_200,
        extensions: Extensions::default(),
        initial_incarnation: 1,
    };
    Ok((MembershipNode { fleet: Fleet::start(config, socket, u64::from(number), None)? }, address))
}

/// Waits until all processes count `size` nodes and returns the time in seconds; infinity after the timeout.
fn wait_until_counted(nodes: &[Node], size: usize) -> f64 {
    let start = Instant::now();
    let all = || nodes.iter().all(|node| FleetView::fetch(node).is_some_and(|fleet| fleet.size == size));
    while !all() {
        if start.elapsed() > CONVERGENCE_TIMEOUT {
            return f64::INFINITY;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    start.elapsed().as_secs_f64()
}

/// Bytes that all processes have sent to other nodes.
fn bytes_sent(nodes: &[Node]) -> f64 {
    let of = |node: &Node| {
        let page = node.call_operator("GET", "/-/metrics").map(|m| m.body).unwrap_or_default();
        let page = String::from_utf8_lossy(&page).into_owned();
        let counts = page.lines().filter(|l| l.starts_with("gw_fleet_bytes{") && l.contains("way=\"out\""));
        counts.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>()
    };
    nodes.iter().map(of).sum()
}

/// Measures `size` nodes, of which `processes` are gateway processes. `text` is the rest of each process's
/// file; `host` is a host that it serves.
pub fn measure(
    size: usize,
    processes: usize,
    rest: Duration,
    text: &str,
    host: &str,
) -> std::io::Result<Measurements> {
    let mut measurements = Measurements::new();
    let mut record = |name: &str, value: f64| {
        measurements.insert(name.to_owned(), value);
    };
    let seeds =
        [UdpSocket::bind("127.96.127.1:0")?.local_addr()?, UdpSocket::bind("127.96.127.2:0")?.local_addr()?];
    let file = |k: usize| {
        let listen = seeds.get(k).map_or("127.0.0.1:0".to_owned(), SocketAddr::to_string);
        format!(
            "[fleet]\nname = \"scale\"\nnode = \"real-{k}\"\nlisten = \"{listen}\"\nseeds = [\"{}\", \"{}\"]\n{text}",
            seeds[0], seeds[1]
        )
    };
    let start = Instant::now();
    let nodes: Vec<_> = (0..processes).map(|k| Node::start_with_operator_file(&file(k))).collect();
    let mut members = Vec::new();
    for number in 0..(size - processes) as u32 {
        members.push(start_member(number, &seeds)?.0);
    }
    wait_until_counted(&nodes, size);
    record("all have joined after, s", start.elapsed().as_secs_f64());
    std::thread::sleep(Duration::from_secs(5));

    let count = nodes.len() as f64;
    let monitor = LatencyMonitor::start(Client::new(nodes[0].address, host, "/for-the-rest")?);
    let snapshot = || {
        let membership_cpu: f64 =
            nodes.iter().map(|node| process::thread_cpu_seconds(node.process_id(), "fleet")).sum();
        let total_cpu: f64 = nodes.iter().map(|node| process::cpu_seconds(node.process_id())).sum();
        (Instant::now(), membership_cpu, total_cpu, bytes_sent(&nodes))
    };
    let mut measure_phase = |phase: &str, seconds: Duration, event: &mut dyn FnMut()| {
        let before = snapshot();
        event();
        std::thread::sleep(seconds.saturating_sub(before.0.elapsed()));
        let after = snapshot();
        let node_seconds = (after.0 - before.0).as_secs_f64() * count;
        let (longest_wait, unserved) = monitor.longest_wait(before.0, after.0);
        record(&format!("{phase}: longest request, ms"), longest_wait * 1e3);
        record(&format!("{phase}: requests not served"), unserved as f64);
        record(&format!("{phase}: % of a core for the view"), 100.0 * (after.1 - before.1) / node_seconds);
        record(&format!("{phase}: % of a core in all"), 100.0 * (after.2 - before.2) / node_seconds);
        record(&format!("{phase}: bytes sent a node and second"), (after.3 - before.3) / node_seconds);
    };
    measure_phase("at rest", rest, &mut || ());
    let (mut joined_after, mut removed_after) = (0.0, 0.0);
    let mut extra_member = None;
    measure_phase("one joins", Duration::from_secs(10), &mut || {
        extra_member = start_member(900, &seeds).ok();
        joined_after = wait_until_counted(&nodes, size + 1);
    });
    measure_phase("one dies", Duration::from_secs(15), &mut || {
        extra_member = None;
        removed_after = wait_until_counted(&nodes, size);
    });
    let tenth = members.len() / 10;
    let (mut tenth_removed_after, mut rejoined_after) = (0.0, 0.0);
    measure_phase("a tenth dies at once", Duration::from_secs(25), &mut || {
        members.truncate(members.len() - tenth);
        tenth_removed_after = wait_until_counted(&nodes, size - tenth);
    });
    measure_phase("a tenth starts anew", Duration::from_secs(15), &mut || {
        for number in 1000..1000 + tenth as u32 {
            members.extend(start_member(number, &seeds).ok().map(|(member, _)| member));
        }
        rejoined_after = wait_until_counted(&nodes, size);
    });
    record("one joins: counted by all processes after, s", joined_after);
    record("one dies: counted by all processes after, s", removed_after);
    record("a tenth dies at once: counted by all processes after, s", tenth_removed_after);
    record("a tenth starts anew: counted by all processes after, s", rejoined_after);
    record(
        "memory of a process, MB",
        nodes.iter().map(|n| n.resident_bytes() as f64).sum::<f64>() / count / 1e6,
    );
    Ok(measurements)
}
