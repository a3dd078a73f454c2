//! Measures one process with a generated configuration: its start, idle cost, requests and configuration
//! changes.

use crate::load::{measure_answer_times, Client, LatencyMonitor};
use crate::process;
use crate::stub_servers::StubServers;
use corkhollow_laboratory::scale::{Change, ConfigFrame, Counts, GeneratedConfig};
use corkhollow_test_support::Node;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// Measured values by name.
pub type Measurements = BTreeMap<String, f64>;

/// What to measure, and for how long.
#[derive(Clone)]
pub struct MeasurementOptions {
    pub changes: Vec<Change>,
    pub requests: usize,
    /// How long to measure the process without requests.
    pub rest: Duration,
    /// How long to wait until a change applies.
    pub change_timeout: Duration,
    /// Lines that are added to each pool.
    pub pool: String,
    pub seed: u64,
}

/// The head of the configuration file.
const FILE_HEAD: &str = "[operator]\nlisten = \"127.0.0.1:0\"\n[limits]\ndescriptors = 4096\n\
    [[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\n";

/// The host of a route's service.
fn host_of(config: &GeneratedConfig, route: usize) -> String {
    format!("{}.example.org", config.pools[config.routes[route].pool].name)
}

fn connect(address: SocketAddr, config: &GeneratedConfig, route: usize) -> Client {
    Client::new(address, &host_of(config, route), "/for-the-rest").expect("a connection to the node")
}

/// Waits until the log shows more than `before` reloads and returns how long that took; none after the timeout.
fn wait_for_reload(node: &Node, before: usize, timeout: Duration) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if count_reloads(node) > before {
            return Some(start.elapsed());
        }
        std::thread::sleep(Duration::from_micros(200));
    }
    None
}

fn count_reloads(node: &Node) -> usize {
    node.log.lock().map_or(0, |log| log.iter().filter(|line| line.contains("reloaded: ")).count())
}

/// Measures the program at this path.
pub fn measure(
    program: &Path,
    counts: Counts,
    servers: &StubServers,
    options: &MeasurementOptions,
) -> Measurements {
    let mut measurements = Measurements::new();
    let mut record = |name: &str, value: f64| {
        measurements.insert(name.to_owned(), value);
    };
    let mut config = GeneratedConfig::new(counts, options.seed);
    let frame = ConfigFrame {
        head: FILE_HEAD,
        pool: &options.pool,
        address: &|k| servers.addresses[k as usize % servers.addresses.len()],
    };
    let text = config.to_toml(&frame);
    record("file, MB", text.len() as f64 / 1e6);

    let file = std::env::temp_dir().join(format!("corkhollow-scale-{}.toml", std::process::id()));
    std::fs::write(&file, &text).expect("a file");
    let start = Instant::now();
    let check_output = Command::new(program).arg("check").arg(&file).output().expect("it runs");
    record("check, s", start.elapsed().as_secs_f64());
    assert!(check_output.status.success(), "{}", String::from_utf8_lossy(&check_output.stderr));
    let _ = std::fs::remove_file(&file);

    let start = Instant::now();
    let node = Node::start_program_with_log_observer(program, &text, |_| ());
    let last = config.routes.len() - 1;
    let (_, status) = connect(node.address, &config, last).send();
    record("first client after start, s", start.elapsed().as_secs_f64());
    assert_eq!(status, 200);

    std::thread::sleep(Duration::from_secs(1));
    let (cpu_before, start) = (process::cpu_seconds(node.process_id()), Instant::now());
    let (serving_before, checks) = (
        process::serving_cpu_seconds(node.process_id()),
        servers.counters.checks.load(std::sync::atomic::Ordering::Relaxed),
    );
    std::thread::sleep(options.rest);
    let idle_seconds = start.elapsed().as_secs_f64();
    record(
        "at rest, % of a core",
        100.0 * (process::cpu_seconds(node.process_id()) - cpu_before) / idle_seconds,
    );
    record(
        "at rest, % of a core, its serving thread",
        100.0 * (process::serving_cpu_seconds(node.process_id()) - serving_before) / idle_seconds,
    );
    let checks = servers.counters.checks.load(std::sync::atomic::Ordering::Relaxed) - checks;
    if !options.pool.is_empty() {
        record("checks a second", checks as f64 / idle_seconds);
        record(
            "connections at servers",
            servers.counters.connections.load(std::sync::atomic::Ordering::Relaxed) as f64,
        );
    }
    record("memory at rest, MB", node.resident_bytes() as f64 / 1e6);

    let start = Instant::now();
    let page = node.call_operator("GET", "/-/metrics").expect("it answers");
    record("the operator's page, ms", start.elapsed().as_secs_f64() * 1e3);
    record("the operator's page, KB", page.body.len() as f64 / 1e3);

    if options.requests > 0 {
        let direct = measure_answer_times(
            Client::new(servers.addresses[0], "direct", "/").expect("a server"),
            options.requests,
        );
        let cpu_before = process::cpu_seconds(node.process_id());
        for (which, route) in [("first", 0), ("last", last)] {
            let proxied = measure_answer_times(connect(node.address, &config, route), options.requests);
            for quantile in [0.5, 0.99, 0.999] {
                let added =
                    proxied.value_at_quantile(quantile) as f64 - direct.value_at_quantile(quantile) as f64;
                record(
                    &format!("added to a request of the {which} route, p{}, ms", 100.0 * quantile),
                    added / 1e3,
                );
            }
        }
        let cpu_per_request =
            (process::cpu_seconds(node.process_id()) - cpu_before) / (2.0 * options.requests as f64 + 200.0);
        record("processor time a request, us", 1e6 * cpu_per_request);
    }

    for (k, change) in options.changes.iter().enumerate() {
        config.apply(*change, 7 * k + 3);
        let text = config.to_toml(&frame);
        std::fs::write(node.config_path(), text).expect("a file");
        let monitors = [0, last].map(|route| LatencyMonitor::start(connect(node.address, &config, route)));
        std::thread::sleep(Duration::from_millis(1200));
        let before = (
            count_reloads(&node),
            process::serving_cpu_seconds(node.process_id()),
            process::cpu_seconds(node.process_id()),
        );
        process::reset_peak_memory(node.process_id());
        let changed_at = Instant::now();
        node.signal("-HUP");
        let apply_time = wait_for_reload(&node, before.0, options.change_timeout);
        // Includes deferred work of the change, which is done within the next second.
        std::thread::sleep(Duration::from_secs(1));
        let end = Instant::now();
        let change_name = format!("{change:?}").to_lowercase();
        let mut record = |name: &str, value: f64| record(&format!("{change_name} changed: {name}"), value);
        record("in force after, s", apply_time.map_or(f64::INFINITY, |t| t.as_secs_f64()));
        let quiet_start = changed_at - Duration::from_secs(1);
        let longest = |from, to| {
            monitors.iter().map(|monitor| monitor.longest_wait(from, to).0).fold(0.0, f64::max) * 1e3
        };
        record("longest request, ms", longest(changed_at, end));
        record("longest request of the second before, ms", longest(quiet_start, changed_at));
        let unserved: usize = monitors.iter().map(|monitor| monitor.longest_wait(quiet_start, end).1).sum();
        record("requests not served", unserved as f64);
        record("processor time, s", process::cpu_seconds(node.process_id()) - before.2);
        record("of it the serving thread's, s", process::serving_cpu_seconds(node.process_id()) - before.1);
        record("peak memory, MB", node.peak_resident_bytes() as f64 / 1e6);
        if apply_time.is_none() {
            break;
        }
    }
    record("memory after its changes, MB", node.resident_bytes() as f64 / 1e6);
    measurements
}
