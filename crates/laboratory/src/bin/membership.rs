//! Plays the fleet's own view through one of some scripts, over seeds, and prints how it went.
//!
//!     cargo run --release -p corkhollow-laboratory --bin membership -- crash --nodes 60 --seeds 10

use clap::{Parser, ValueEnum};
use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_fleet::Extensions;
use corkhollow_laboratory::membership::{play, Outcome, Setting};

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Play {
    /// All start within a second, and nothing happens.
    Join,
    /// One is killed.
    Crash,
    /// Half is parted from half for 30 s.
    Halves,
    /// Three islands and one alone, for 30 s.
    Islands,
    /// Nine in ten are killed at once and start anew.
    Restart,
    /// One in ten stands still for 2 s in each 10 s.
    Stalls,
    /// One stands still for 10 s.
    Stall,
    /// Nothing but what the network does.
    Quiet,
}

#[derive(Parser)]
struct Arguments {
    /// What happens.
    play: Play,
    /// How many nodes.
    #[arg(long, default_value_t = 60)]
    nodes: usize,
    /// How many seeds are played.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// The first one.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// The part of datagrams that is lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// How long they take beyond 1 ms at the most, in milliseconds.
    #[arg(long, default_value_t = 2)]
    jitter: u64,
    /// How long it goes on after the last act, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// How late nodes come to their timers, in milliseconds.
    #[arg(long, default_value_t = 0)]
    late: u64,
    /// The largest datagram, in bytes.
    #[arg(long, default_value_t = 1200)]
    datagram: usize,
    /// Additions that are left out: local-health, dogpile, buddy, stalls.
    #[arg(long, value_delimiter = ',')]
    without: Vec<String>,
    /// Prints what was done and said, by time.
    #[arg(long)]
    timeline: bool,
}

/// When the first act is due: all have met by then.
const MET: u64 = 20_000;

fn script(a: &Arguments) -> Script {
    let n = a.nodes;
    let way = LinkFaults { loss: a.loss, delay: 1, jitter: a.jitter, ..LinkFaults::default() };
    let script = Script::new().at(0, Action::SetAllLinks(way));
    let part = |groups: Vec<Vec<usize>>| {
        Script::new()
            .at(0, Action::SetAllLinks(way))
            .at(MET, Action::Partition(groups))
            .at(MET + 30_000, Action::Heal)
    };
    match a.play {
        Play::Join => script,
        Play::Crash => script.at(MET, Action::Kill(n / 2)),
        Play::Halves => part(vec![(0..n / 2).collect(), (n / 2..n).collect()]),
        Play::Islands => part(vec![
            (0..n / 3).collect(),
            (n / 3..2 * n / 3).collect(),
            (2 * n / 3..n - 1).collect(),
            vec![n - 1],
        ]),
        Play::Restart => {
            let nine = || 1..n - n / 10;
            script.staggered(MET, 0, nine(), Action::Kill).staggered(MET + 200, 1, nine(), Action::Start)
        }
        Play::Stalls => (0..6).fold(script, |script, k| {
            script.staggered(MET + k * 10_000, 97, (0..n).step_by(10), |node| Action::Stall(node, 2_000))
        }),
        Play::Stall => script.at(MET, Action::Stall(n / 2, 10_000)),
        Play::Quiet => script.at(MET, Action::SetAllLinks(way)),
    }
}

fn main() {
    let a = Arguments::parse();
    let without = |what: &str| a.without.iter().any(|w| w == what);
    let additions = Extensions {
        local_health: !without("local-health"),
        dynamic_suspicion: !without("dogpile"),
        buddy_system: !without("buddy"),
        stall_compensation: !without("stalls"),
    };
    let script = script(&a);
    let started = std::time::Instant::now();
    let outcomes: Vec<Outcome> = (a.from..a.from + a.seeds)
        .map(|seed| {
            let setting = Setting {
                nodes: a.nodes,
                running: a.nodes,
                seed,
                datagram: a.datagram,
                additions,
                late: a.late,
                ..Setting::default()
            };
            let outcome = play(&setting, &script, a.seconds * 1_000);
            if a.timeline {
                outcome.timeline.iter().for_each(|line| println!("{line}"));
            }
            outcome
        })
        .collect();
    let times = |of: fn(&Outcome) -> Option<u64>| {
        let mut times: Vec<_> = outcomes.iter().filter_map(of).collect();
        times.sort_unstable();
        let at = |part: f64| times.get(((times.len().max(1) - 1) as f64 * part).round() as usize);
        let told = |part: f64| at(part).map_or("none".to_owned(), |ms| format!("{ms} ms"));
        let never = outcomes.len() - times.len();
        format!("{} (median), {} (p90), {} (worst), never {never}", told(0.5), told(0.9), told(1.0))
    };
    let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
    println!(
        "{:?} {} nodes, {} lost, {} seeds: all know who is there after {}; views equal after {}; \
         false alarms {}, deaths {} (longest {} ms); {:.0} bytes and {:.1} datagrams a node and second; {:.0} changes; {:.1} s",
        a.play,
        a.nodes,
        a.loss,
        a.seeds,
        times(|o| o.known),
        times(|o| o.settled),
        outcomes.iter().map(|o| o.false_alarms).sum::<usize>(),
        outcomes.iter().map(|o| o.false_deaths).sum::<usize>(),
        outcomes.iter().map(|o| o.longest_false).max().unwrap_or(0),
        mean(|o| o.bytes),
        mean(|o| o.datagrams),
        mean(|o| o.changes as f64),
        started.elapsed().as_secs_f64(),
    );
}
