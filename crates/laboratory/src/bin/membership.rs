//! Simulates the membership protocol with one of several fault scripts over many seeds and prints statistics.
//!
//!     cargo run --release -p corkhollow-laboratory --bin membership -- crash --nodes 60 --seeds 10

use clap::{Parser, ValueEnum};
use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_fleet::Extensions;
use corkhollow_laboratory::membership::{simulate, Outcome, SimulationConfig};

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Scenario {
    /// All nodes start within a second.
    Join,
    /// One node is killed.
    Crash,
    /// The two halves of the nodes are partitioned for 30 s.
    Halves,
    /// Three groups and a single node are partitioned for 30 s.
    Islands,
    /// Nine in ten nodes are killed at once and start again.
    Restart,
    /// One in ten nodes stalls for 2 s in each 10 s.
    Stalls,
    /// One node stalls for 10 s.
    Stall,
    /// Only the faults of the network.
    Quiet,
}

#[derive(Parser)]
struct Arguments {
    /// Scenario to simulate.
    scenario: Scenario,
    /// Number of nodes.
    #[arg(long, default_value_t = 60)]
    nodes: usize,
    /// Number of seeds.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Fraction of datagrams that is lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Greatest delay of datagrams beyond 1 ms, in milliseconds.
    #[arg(long, default_value_t = 2)]
    jitter: u64,
    /// Time to simulate after the last action, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Greatest delay of timers, in milliseconds.
    #[arg(long = "late", default_value_t = 0)]
    max_timer_delay_ms: u64,
    /// Largest datagram, in bytes.
    #[arg(long = "datagram", default_value_t = 1200)]
    max_datagram_bytes: usize,
    /// Extensions to disable: local-health, dogpile, buddy, stalls.
    #[arg(long, value_delimiter = ',')]
    without: Vec<String>,
    /// Print the actions and events in order of time.
    #[arg(long)]
    timeline: bool,
}

/// Time of the first action, when all nodes have joined.
const JOIN_MS: u64 = 20_000;

fn script(arguments: &Arguments) -> Script {
    let nodes = arguments.nodes;
    let faults =
        LinkFaults { loss: arguments.loss, delay: 1, jitter: arguments.jitter, ..LinkFaults::default() };
    let script = Script::new().at(0, Action::SetAllLinks(faults));
    let partition = |groups: Vec<Vec<usize>>| {
        Script::new()
            .at(0, Action::SetAllLinks(faults))
            .at(JOIN_MS, Action::Partition(groups))
            .at(JOIN_MS + 30_000, Action::Heal)
    };
    match arguments.scenario {
        Scenario::Join => script,
        Scenario::Crash => script.at(JOIN_MS, Action::Kill(nodes / 2)),
        Scenario::Halves => partition(vec![(0..nodes / 2).collect(), (nodes / 2..nodes).collect()]),
        Scenario::Islands => partition(vec![
            (0..nodes / 3).collect(),
            (nodes / 3..2 * nodes / 3).collect(),
            (2 * nodes / 3..nodes - 1).collect(),
            vec![nodes - 1],
        ]),
        Scenario::Restart => {
            let restarted = || 1..nodes - nodes / 10;
            script.staggered(JOIN_MS, 0, restarted(), Action::Kill).staggered(
                JOIN_MS + 200,
                1,
                restarted(),
                Action::Start,
            )
        }
        Scenario::Stalls => (0..6).fold(script, |script, k| {
            script.staggered(JOIN_MS + k * 10_000, 97, (0..nodes).step_by(10), |node| {
                Action::Stall(node, 2_000)
            })
        }),
        Scenario::Stall => script.at(JOIN_MS, Action::Stall(nodes / 2, 10_000)),
        Scenario::Quiet => script.at(JOIN_MS, Action::SetAllLinks(faults)),
    }
}

fn main() {
    let arguments = Arguments::parse();
    let is_disabled = |extension: &str| arguments.without.iter().any(|w| w == extension);
    let extensions = Extensions {
        local_health: !is_disabled("local-health"),
        dynamic_suspicion: !is_disabled("dogpile"),
        buddy_system: !is_disabled("buddy"),
        stall_compensation: !is_disabled("stalls"),
    };
    let script = script(&arguments);
    let started = std::time::Instant::now();
    let outcomes: Vec<Outcome> = (arguments.from..arguments.from + arguments.seeds)
        .map(|seed| {
            let config = SimulationConfig {
                nodes: arguments.nodes,
                running: arguments.nodes,
                seed,
                max_datagram_bytes: arguments.max_datagram_bytes,
                extensions,
                max_timer_delay: arguments.max_timer_delay_ms,
                ..SimulationConfig::default()
            };
            let outcome = simulate(&config, &script, arguments.seconds * 1_000);
            if arguments.timeline {
                outcome.timeline.iter().for_each(|line| println!("{line}"));
            }
            outcome
        })
        .collect();
    let times = |of: fn(&Outcome) -> Option<u64>| {
        let mut times: Vec<_> = outcomes.iter().filter_map(of).collect();
        times.sort_unstable();
        let at = |part: f64| times.get(((times.len().max(1) - 1) as f64 * part).round() as usize);
        let quantile = |part: f64| at(part).map_or("none".to_owned(), |ms| format!("{ms} ms"));
        let never = outcomes.len() - times.len();
        format!(
            "{} (median), {} (p90), {} (worst), never {never}",
            quantile(0.5),
            quantile(0.9),
            quantile(1.0)
        )
    };
    let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    println!(
        "{:?} {} nodes, {} lost, {} seeds: all know who is there after {}; views equal after {}; \
         false alarms {}, deaths {} (longest {} ms); {:.0} bytes and {:.1} datagrams a node and second; {:.0} changes; {:.1} s",
        arguments.scenario,
        arguments.nodes,
        arguments.loss,
        arguments.seeds,
        times(|outcome| outcome.members_known_after),
        times(|outcome| outcome.converged_after),
        outcomes.iter().map(|outcome| outcome.false_suspicions).sum::<usize>(),
        outcomes.iter().map(|outcome| outcome.false_deaths).sum::<usize>(),
        outcomes.iter().map(|outcome| outcome.longest_false_death).max().unwrap_or(0),
        mean(|outcome| outcome.bytes_per_second),
        mean(|outcome| outcome.datagrams_per_second),
        mean(|outcome| outcome.state_changes as f64),
        started.elapsed().as_secs_f64(),
    );
}
