//! The fleet's own view at full size: some real processes among hollow nodes, which run the same code without traffic.

use crate::load::{Client, Watch};
use crate::node::Figures;
use crate::process;
use corkhollow_fleet::{Config, Extensions, Timing};
use corkhollow_proxy::fleet::Fleet;
use corkhollow_test_support::{FleetView as Told, Node};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const MS: u64 = 1_000_000;
const LONGEST: Duration = Duration::from_secs(120);

fn address(number: u32) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 96, (number >> 7) as u8, (number & 0x7f) as u8 + 1), 0))
}

/// A node without traffic; it leaves without a word when it is dropped, as if its machine had gone.
struct Member {
    fleet: Fleet,
}

impl Drop for Member {
    fn drop(&mut self) {
        self.fleet.hand_over();
    }
}

fn member(number: u32, seeds: &[SocketAddr]) -> std::io::Result<(Member, SocketAddr)> {
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
    Ok((Member { fleet: Fleet::start(config, socket, u64::from(number), None)? }, address))
}

/// How long it takes until all real processes count so many.
fn counted(nodes: &[Node], size: usize) -> f64 {
    let begun = Instant::now();
    let all = || nodes.iter().all(|node| Told::fetch(node).is_some_and(|fleet| fleet.size == size));
    while !all() {
        if begun.elapsed() > LONGEST {
            return f64::INFINITY;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    begun.elapsed().as_secs_f64()
}

/// Bytes that the processes have sent to other nodes.
fn sent(nodes: &[Node]) -> f64 {
    let of = |node: &Node| {
        let page = node.call_operator("GET", "/-/metrics").map(|m| m.body).unwrap_or_default();
        let page = String::from_utf8_lossy(&page).into_owned();
        let counts = page.lines().filter(|l| l.starts_with("gw_fleet_bytes{") && l.contains("way=\"out\""));
        counts.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>()
    };
    nodes.iter().map(of).sum()
}

/// Plays so many nodes, of which so many are processes. `text` is the rest of each process's file; `host` is one whose requests it
/// serves.
pub fn play(
    size: usize,
    processes: usize,
    rest: Duration,
    text: &str,
    host: &str,
) -> std::io::Result<Figures> {
    let mut figures = Figures::new();
    let mut put = |name: &str, figure: f64| {
        figures.insert(name.to_owned(), figure);
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
    let begun = Instant::now();
    let nodes: Vec<_> = (0..processes).map(|k| Node::start_with_operator_file(&file(k))).collect();
    let mut members = Vec::new();
    for number in 0..(size - processes) as u32 {
        members.push(member(number, &seeds)?.0);
    }
    counted(&nodes, size);
    put("all have joined after, s", begun.elapsed().as_secs_f64());
    std::thread::sleep(Duration::from_secs(5));

    let count = nodes.len() as f64;
    let watch = Watch::start(Client::new(nodes[0].address, host, "/for-the-rest")?);
    let now = || {
        let thread: f64 = nodes.iter().map(|node| process::threads(node.process_id(), "fleet")).sum();
        let all: f64 = nodes.iter().map(|node| process::processor(node.process_id())).sum();
        (Instant::now(), thread, all, sent(&nodes))
    };
    let mut over = |what: &str, seconds: Duration, act: &mut dyn FnMut()| {
        let before = now();
        act();
        std::thread::sleep(seconds.saturating_sub(before.0.elapsed()));
        let after = now();
        let time = (after.0 - before.0).as_secs_f64() * count;
        let (longest, lost) = watch.longest(before.0, after.0);
        put(&format!("{what}: longest request, ms"), longest * 1e3);
        put(&format!("{what}: requests not served"), lost as f64);
        put(&format!("{what}: % of a core for the view"), 100.0 * (after.1 - before.1) / time);
        put(&format!("{what}: % of a core in all"), 100.0 * (after.2 - before.2) / time);
        put(&format!("{what}: bytes sent a node and second"), (after.3 - before.3) / time);
    };
    over("at rest", rest, &mut || ());
    let (mut joined, mut gone) = (0.0, 0.0);
    let mut more = None;
    over("one joins", Duration::from_secs(10), &mut || {
        more = member(900, &seeds).ok();
        joined = counted(&nodes, size + 1);
    });
    over("one dies", Duration::from_secs(15), &mut || {
        more = None;
        gone = counted(&nodes, size);
    });
    let tenth = members.len() / 10;
    let (mut lost, mut back) = (0.0, 0.0);
    over("a tenth dies at once", Duration::from_secs(25), &mut || {
        members.truncate(members.len() - tenth);
        lost = counted(&nodes, size - tenth);
    });
    over("a tenth starts anew", Duration::from_secs(15), &mut || {
        for number in 1000..1000 + tenth as u32 {
            members.extend(member(number, &seeds).ok().map(|(member, _)| member));
        }
        back = counted(&nodes, size);
    });
    put("one joins: counted by all processes after, s", joined);
    put("one dies: counted by all processes after, s", gone);
    put("a tenth dies at once: counted by all processes after, s", lost);
    put("a tenth starts anew: counted by all processes after, s", back);
    put(
        "memory of a process, MB",
        nodes.iter().map(|n| n.resident_bytes() as f64).sum::<f64>() / count / 1e6,
    );
    Ok(figures)
}
