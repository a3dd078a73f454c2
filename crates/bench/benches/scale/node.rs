//! One process before a configuration of some size: its start, its rest, its requests, its changes.

use crate::hollow::Hollow;
use crate::load::{timed, Client, Watch};
use crate::process;
use corkhollow_laboratory::scale::{Change, ConfigFrame, Counts, GeneratedConfig};
use corkhollow_test_support::Node;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// Figures by their names.
pub type Figures = BTreeMap<String, f64>;

/// What is measured, and for how long.
#[derive(Clone)]
pub struct Measured {
    pub changes: Vec<Change>,
    pub requests: usize,
    /// How long it rests.
    pub rest: Duration,
    /// A change that is not in force after this is given up.
    pub longest: Duration,
    /// Lines for each pool.
    pub pool: String,
    pub seed: u64,
}

const HEAD: &str = "[operator]\nlisten = \"127.0.0.1:0\"\n[limits]\ndescriptors = 4096\n\
    [[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\n";

/// A request that this route takes: the last one of its service, which every service has.
fn host_of(site: &GeneratedConfig, route: usize) -> String {
    format!("{}.example.org", site.pools[site.routes[route].pool].name)
}

fn client(address: SocketAddr, site: &GeneratedConfig, route: usize) -> Client {
    Client::new(address, &host_of(site, route), "/for-the-rest").expect("it takes clients")
}

/// Waits until the node's log has one line more of those that tell of a reload; how long that took.
fn reloaded(node: &Node, before: usize, longest: Duration) -> Option<Duration> {
    let begun = Instant::now();
    while begun.elapsed() < longest {
        if reloads(node) > before {
            return Some(begun.elapsed());
        }
        std::thread::sleep(Duration::from_micros(200));
    }
    None
}

fn reloads(node: &Node) -> usize {
    node.log.lock().map_or(0, |log| log.iter().filter(|line| line.contains("reloaded: ")).count())
}

/// Plays a program of this path.
pub fn play(program: &Path, counts: Counts, servers: &Hollow, told: &Measured) -> Figures {
    let mut figures = Figures::new();
    let mut put = |name: &str, figure: f64| {
        figures.insert(name.to_owned(), figure);
    };
    let mut site = GeneratedConfig::new(counts, told.seed);
    let frame = ConfigFrame {
        head: HEAD,
        pool: &told.pool,
        address: &|k| servers.addresses[k as usize % servers.addresses.len()],
    };
    let text = site.to_toml(&frame);
    put("file, MB", text.len() as f64 / 1e6);

    let file = std::env::temp_dir().join(format!("corkhollow-scale-{}.toml", std::process::id()));
    std::fs::write(&file, &text).expect("a file");
    let begun = Instant::now();
    let checked = Command::new(program).arg("check").arg(&file).output().expect("it runs");
    put("check, s", begun.elapsed().as_secs_f64());
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
    let _ = std::fs::remove_file(&file);

    let begun = Instant::now();
    let node = Node::start_program_with_log_observer(program, &text, |_| ());
    let last = site.routes.len() - 1;
    let (_, status) = client(node.address, &site, last).ask();
    put("first client after start, s", begun.elapsed().as_secs_f64());
    assert_eq!(status, 200);

    std::thread::sleep(Duration::from_secs(1));
    let (spent, begun) = (process::processor(node.process_id()), Instant::now());
    let (serving, checks) =
        (process::serving(node.process_id()), servers.seen.checks.load(std::sync::atomic::Ordering::Relaxed));
    std::thread::sleep(told.rest);
    let rested = begun.elapsed().as_secs_f64();
    put("at rest, % of a core", 100.0 * (process::processor(node.process_id()) - spent) / rested);
    put(
        "at rest, % of a core, its serving thread",
        100.0 * (process::serving(node.process_id()) - serving) / rested,
    );
    let checks = servers.seen.checks.load(std::sync::atomic::Ordering::Relaxed) - checks;
    if !told.pool.is_empty() {
        put("checks a second", checks as f64 / rested);
        put(
            "connections at servers",
            servers.seen.connections.load(std::sync::atomic::Ordering::Relaxed) as f64,
        );
    }
    put("memory at rest, MB", node.resident_bytes() as f64 / 1e6);

    let begun = Instant::now();
    let page = node.call_operator("GET", "/-/metrics").expect("it answers");
    put("the operator's page, ms", begun.elapsed().as_secs_f64() * 1e3);
    put("the operator's page, KB", page.body.len() as f64 / 1e3);

    if told.requests > 0 {
        let direct =
            timed(Client::new(servers.addresses[0], "direct", "/").expect("a server"), told.requests);
        let spent = process::processor(node.process_id());
        for (which, route) in [("first", 0), ("last", last)] {
            let through = timed(client(node.address, &site, route), told.requests);
            for quantile in [0.5, 0.99, 0.999] {
                let added =
                    through.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64;
                put(
                    &format!("added to a request of the {which} route, p{}, ms", 100.0 * quantile),
                    added / 1e3,
                );
            }
        }
        let each = (process::processor(node.process_id()) - spent) / (2.0 * told.requests as f64 + 200.0);
        put("processor time a request, us", 1e6 * each);
    }

    for (k, change) in told.changes.iter().enumerate() {
        site.apply(*change, 7 * k + 3);
        let text = site.to_toml(&frame);
        std::fs::write(node.config_path(), text).expect("a file");
        let watch = [0, last].map(|route| Watch::start(client(node.address, &site, route)));
        std::thread::sleep(Duration::from_millis(1200));
        let before =
            (reloads(&node), process::serving(node.process_id()), process::processor(node.process_id()));
        process::forget_peak(node.process_id());
        let told_at = Instant::now();
        node.signal("-HUP");
        let taken = reloaded(&node, before.0, told.longest);
        // What is put off, and what the change leaves behind, falls into the second behind it.
        std::thread::sleep(Duration::from_secs(1));
        let over = Instant::now();
        let what = format!("{change:?}").to_lowercase();
        let mut put = |name: &str, figure: f64| put(&format!("{what} changed: {name}"), figure);
        put("in force after, s", taken.map_or(f64::INFINITY, |t| t.as_secs_f64()));
        let quiet = told_at - Duration::from_secs(1);
        let longest = |from, to| watch.iter().map(|w| w.longest(from, to).0).fold(0.0, f64::max) * 1e3;
        put("longest request, ms", longest(told_at, over));
        put("longest request of the second before, ms", longest(quiet, told_at));
        let lost: usize = watch.iter().map(|w| w.longest(quiet, over).1).sum();
        put("requests not served", lost as f64);
        put("processor time, s", process::processor(node.process_id()) - before.2);
        put("of it the serving thread's, s", process::serving(node.process_id()) - before.1);
        put("peak memory, MB", node.peak_resident_bytes() as f64 / 1e6);
        if taken.is_none() {
            break;
        }
    }
    put("memory after its changes, MB", node.resident_bytes() as f64 / 1e6);
    figures
}
