//! Processes that keep a view of each other, as many as `--processes 5,20,60` says: how long their views take to be equal and right
//! after all start, one is killed, and half is cut off from half for 15 s; what they send, and the processor time that they take.
//! With the file's own defaults.

use corkhollow_faults::Act;
use corkhollow_standin::*;
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
    let page = node.call("GET", "/-/metrics").expect("it answers").body;
    let page = String::from_utf8(page).expect("text");
    let counts = page.lines().filter(|l| l.starts_with("gw_fleet_bytes{") && l.contains("way=\"out\""));
    counts.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn sums(rig: &Rig) -> (f64, f64) {
    let nodes = || rig.nodes.iter().flatten();
    (nodes().map(sent).sum(), nodes().map(|node| processor(node.id())).sum())
}

/// How long it takes until all views are equal and right, and until all nodes say that they have settled.
fn both(rig: &Rig, what: &str) -> String {
    let agreed = rig.agrees(what, WITHIN).as_secs_f64();
    format!("{agreed:.2}, {:.2}", agreed + rig.settles(what, WITHIN).as_secs_f64())
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
        let servers = Servers::new(2, |_, _| ok("fine"));
        let dials: String = servers.dials.iter().map(|d| format!("{{ address = \"{d}\" }}, ")).collect();
        let site = format!(
            "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"boxes\"\n\
             servers = [{dials}]\n[[route]]\nname = \"all\"\npool = \"boxes\"\n"
        );
        let mut rig = Rig::new(count, 1, &[0], "", move |_| site.clone());
        rig.start_all(0..count);
        let joined = both(&rig, "joined");
        rig.act(&Act::Kill(count - 1));
        let crashed = both(&rig, "crashed");
        rig.act(&Act::Part(vec![(0..count / 2).collect(), (count / 2..count - 1).collect()]));
        std::thread::sleep(Duration::from_secs(15));
        rig.act(&Act::Heal);
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
}
