//! The membership protocol over a faulty network, with fault scripts that also work with real processes.

use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_fleet::Extensions;
use corkhollow_laboratory::membership::{simulate, Outcome, SimulationConfig};

/// Time by which all nodes have joined.
const JOIN_MS: u64 = 15_000;

fn lossy_network(loss: f64) -> Action {
    Action::SetAllLinks(LinkFaults { loss, delay: 1, jitter: 5, ..LinkFaults::default() })
}

fn new_script() -> Script {
    Script::new().at(0, lossy_network(0.0))
}

/// Asserts that over several seeds all nodes converge in time and no node is falsely declared dead.
fn assert_converges(description: &str, nodes: usize, script: &Script, limit_ms: u64) {
    for seed in 1..=3 {
        let outcome = simulate(
            &SimulationConfig { nodes, running: nodes, seed, ..SimulationConfig::default() },
            script,
            limit_ms + 2_000,
        );
        let tail: Vec<_> = outcome.timeline.iter().rev().take(20).rev().collect();
        assert!(
            outcome.converged_after.is_some_and(|after| after <= limit_ms),
            "{description}, {nodes} nodes, seed {seed}: {:?} ms; {tail:#?}",
            outcome.converged_after
        );
        assert_eq!(outcome.false_deaths, 0, "{description}, {nodes} nodes, seed {seed}: {tail:#?}");
    }
}

/// The limits are those of `docs/design/fleet-view.md`.
#[test]
fn views_converge_after_joins_and_crashes() {
    for nodes in [2, 3, 7, 60] {
        assert_converges("joined", nodes, &new_script(), 2_000);
        assert_converges("crashed", nodes, &new_script().at(JOIN_MS, Action::Kill(nodes - 1)), 8_000);
        assert_converges("left", nodes, &new_script().at(JOIN_MS, Action::Leave(nodes - 1)), 1_500);
        // It returns under its name without any state, before or after it is declared dead.
        for pause in [200, 20_000] {
            let back = new_script().at(JOIN_MS, Action::Kill(1)).at(JOIN_MS + pause, Action::Start(1));
            assert_converges("returned", nodes, &back, 2_000);
        }
    }
    let restarted = || 1..54;
    let restart = new_script().staggered(JOIN_MS, 0, restarted(), Action::Kill).staggered(
        JOIN_MS + 500,
        10,
        restarted(),
        Action::Start,
    );
    assert_converges("nine in ten restarted", 60, &restart, 3_000);
    let crash_loop = new_script().staggered(JOIN_MS, 3_000, [5; 8], Action::Kill).staggered(
        JOIN_MS + 300,
        3_000,
        [5; 8],
        Action::Start,
    );
    assert_converges("one node crashes every 3 s", 20, &crash_loop, 2_000);
    let rolling_restart = new_script().staggered(JOIN_MS, 1_000, 0..9, Action::Leave).staggered(
        JOIN_MS + 400,
        1_000,
        0..9,
        Action::Start,
    );
    assert_converges("rolling restart", 9, &rolling_restart, 2_000);
}

/// After any partition is healed, all nodes have the same view again.
#[test]
fn views_converge_after_partitions() {
    let partitions: [(&str, usize, Vec<Vec<usize>>); 4] = [
        ("two halves", 60, vec![(0..30).collect(), (30..60).collect()]),
        ("three groups", 9, vec![vec![0, 1, 2], vec![3, 4, 5], vec![6, 7, 8]]),
        ("one node isolated", 7, vec![vec![0, 1, 2, 3, 4, 5], vec![6]]),
        ("all nodes isolated", 5, (0..5).map(|node| vec![node]).collect()),
    ];
    for (description, nodes, groups) in partitions {
        let partition = |from| new_script().at(from, Action::Partition(groups.clone()));
        assert_converges(description, nodes, &partition(JOIN_MS).at(JOIN_MS + 20_000, Action::Heal), 10_000);
        assert_converges(
            "partitioned for one second",
            nodes,
            &partition(JOIN_MS).at(JOIN_MS + 1_000, Action::Heal),
            10_000,
        );
        // The partition begins while nodes join.
        assert_converges(
            "partitioned while joining",
            nodes,
            &partition(300).at(20_000, Action::Heal),
            10_000,
        );
    }
    let late_joins = (30..60).fold(
        new_script().at(JOIN_MS, Action::Partition(vec![(0..30).collect(), (30..60).collect()])),
        |script, node| script.at(JOIN_MS + 200, Action::Kill(node)).at(JOIN_MS + 400, Action::Start(node)),
    );
    assert_converges(
        "half joins while partitioned",
        60,
        &late_joins.at(JOIN_MS + 20_000, Action::Heal),
        10_000,
    );
    let one_way = (0..7)
        .filter(|node| *node != 2)
        .fold(new_script(), |s, node| s.at(JOIN_MS, Action::BlockLink(2, node)));
    assert_converges(
        "one node that no other node hears",
        7,
        &one_way.at(JOIN_MS + 20_000, Action::Heal),
        10_000,
    );
}

/// With some links permanently blocked, indirect probes and gossip keep all nodes alive in all views.
#[test]
fn blocked_links_cause_no_deaths() {
    let one_way_blocks = new_script()
        .at(JOIN_MS, Action::BlockLink(1, 4))
        .at(JOIN_MS, Action::BlockLink(3, 0))
        .at(JOIN_MS + 30_000, lossy_network(0.0));
    assert_converges("two one-way blocked links", 7, &one_way_blocks, 1_000);
    let not_adjacent = |a: usize, b: usize| a.abs_diff(b) > 1;
    let pairs = (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| not_adjacent(*a, *b));
    let chain = pairs.fold(new_script(), |script, (a, b)| script.at(JOIN_MS, Action::BlockLink(a, b)));
    let chain = chain.at(JOIN_MS + 60_000, lossy_network(0.0));
    for seed in 1..=10 {
        let config = SimulationConfig { nodes: 5, running: 5, seed, ..SimulationConfig::default() };
        let outcome = simulate(&config, &chain, 10_000);
        let death_count = outcome.timeline.iter().filter(|line| line.contains("state: Dead")).count();
        assert_eq!(death_count, 0, "seed {seed}: {:#?}", outcome.timeline);
    }
}

/// After a partition is healed, each side receives claims that its own members are dead, and must not adopt
/// them.
#[test]
fn claims_from_a_partition_are_not_adopted_after_healing() {
    let halves = vec![(0..10).collect(), (10..20).collect()];
    let script = new_script().at(JOIN_MS, Action::Partition(halves)).at(JOIN_MS + 20_000, Action::Heal);
    for seed in 1..=5 {
        let config = SimulationConfig { nodes: 20, running: 20, seed, ..SimulationConfig::default() };
        let outcome = simulate(&config, &script, 10_000);
        let healed = outcome.timeline.iter().position(|line| line.ends_with(" healed")).unwrap();
        let in_first_half = |name: &str| name[1..5].parse::<usize>().unwrap() < 10;
        let is_own_side_death = |line: &&String| {
            let observer = line.split_whitespace().nth(1).unwrap();
            let subject = line.split('"').nth(1).unwrap_or("n9999");
            line.contains("state: Dead") && in_first_half(observer) == in_first_half(subject)
        };
        let own_side_deaths: Vec<_> = outcome.timeline[healed..].iter().filter(is_own_side_death).collect();
        assert!(own_side_deaths.is_empty(), "seed {seed}: {own_side_deaths:#?}");
    }
}

fn simulate_faults(config: &SimulationConfig, faults: LinkFaults, seconds: u64) -> Outcome {
    let script = new_script()
        .at(JOIN_MS, Action::SetAllLinks(faults))
        .at(JOIN_MS + seconds * 1_000, lossy_network(0.0));
    simulate(config, &script, 12_000)
}

/// Covers loss, duplication, reordering that delivers a `dead` claim after the node returned, and late timers.
#[test]
fn bad_networks_and_late_timers_cause_no_false_deaths() {
    let config = SimulationConfig { nodes: 40, running: 40, ..SimulationConfig::default() };
    let lossy_network = LinkFaults { loss: 0.1, delay: 1, jitter: 5, ..LinkFaults::default() };
    let slow_network = LinkFaults { loss: 0.0, delay: 0, jitter: 400, duplication: 0.3, blocked: false };
    for (description, config, faults) in [
        ("loss", config.clone(), lossy_network),
        ("delay", config.clone(), slow_network),
        ("late timers", SimulationConfig { max_timer_delay: 400, ..config.clone() }, lossy_network),
        ("256 bytes", SimulationConfig { max_datagram_bytes: 256, ..config.clone() }, lossy_network),
    ] {
        let outcome = simulate_faults(&config, faults, 120);
        assert_eq!(outcome.false_deaths, 0, "{description}: {:#?}", outcome.timeline);
        assert!(
            outcome.converged_after.is_some_and(|after| after < 10_000),
            "{description}: {:?}",
            outcome.converged_after
        );
    }
    let bad_network = LinkFaults { loss: 0.3, delay: 1, jitter: 2_000, duplication: 0.3, blocked: false };
    let reordered = new_script()
        .at(JOIN_MS, Action::SetAllLinks(bad_network))
        .staggered(JOIN_MS + 1_000, 7_000, [3, 9, 3], Action::Kill)
        .staggered(JOIN_MS + 4_000, 7_000, [3, 9, 3], Action::Start)
        .at(JOIN_MS + 30_000, self::lossy_network(0.0));
    let outcome = simulate(&config, &reordered, 12_000);
    assert!(outcome.converged_after.is_some_and(|after| after < 10_000), "{:?}", outcome.converged_after);
    assert!(outcome.longest_false_death < 5_000, "{} ms", outcome.longest_false_death);
}

/// A stalled node declares no other node dead and rejoins at once; stalls of 2 s cause no deaths at all.
#[test]
fn stalled_nodes_do_not_disturb_other_nodes() {
    let outcome =
        simulate(&SimulationConfig::default(), &new_script().at(JOIN_MS, Action::Stall(7, 10_000)), 5_000);
    assert!(outcome.converged_after.is_some_and(|after| after < 1_000), "{:?}", outcome.converged_after);
    let other_claims: Vec<_> = outcome
        .timeline
        .iter()
        .filter(|line| {
            (line.contains("state: Suspect") || line.contains("state: Dead")) && !line.contains("n0007")
        })
        .collect();
    assert!(other_claims.is_empty(), "{other_claims:#?}");
    assert_eq!(outcome.false_suspicions, 0);
    let script = (0..6).fold(new_script(), |script, k| {
        script.staggered(JOIN_MS + 10_000 * k, 97, (0..60).step_by(10), |node| Action::Stall(node, 2_000))
    });
    let outcome = simulate(&SimulationConfig::default(), &script, 5_000);
    let dead = outcome.timeline.iter().filter(|line| line.contains("state: Dead")).count();
    assert_eq!((dead, outcome.false_deaths), (0, 0));
}

/// Disabling any extension must cause clearly more false claims, at 45% loss or with timers up to 400 ms late.
#[test]
fn each_extension_reduces_false_claims() {
    let all = Extensions::default();
    let bad_network = LinkFaults { loss: 0.45, delay: 1, jitter: 2, ..LinkFaults::default() };
    let lossy_network = LinkFaults { loss: 0.1, ..bad_network };
    let sum = |extensions, max_timer_delay, faults: LinkFaults, of: fn(&Outcome) -> usize| -> usize {
        let outcome = |seed| {
            simulate_faults(
                &SimulationConfig { extensions, max_timer_delay, seed, ..SimulationConfig::default() },
                faults,
                60,
            )
        };
        (1..=2).map(|seed| of(&outcome(seed))).sum()
    };
    let deaths = |extensions| sum(extensions, 0, bad_network, |o| o.false_deaths);
    let alarms = |extensions| sum(extensions, 400, lossy_network, |o| o.false_suspicions);
    let deaths_with_all = deaths(all);
    for (description, extensions) in [
        ("dogpile", Extensions { dynamic_suspicion: false, ..all }),
        ("buddy", Extensions { buddy_system: false, ..all }),
    ] {
        let without = deaths(extensions);
        assert!(2 * without > 3 * deaths_with_all, "{description}: {without} against {deaths_with_all}");
    }
    let (quiet, alarms_without_local_health) =
        (alarms(all), alarms(Extensions { local_health: false, ..all }));
    assert!(
        alarms_without_local_health > 2 * quiet,
        "local health: {alarms_without_local_health} against {quiet}"
    );
    // All nodes stall together, as on one suspended machine; those that stopped first resume last.
    let common_stall =
        new_script().staggered(JOIN_MS, 20, 0..20, |node| Action::Stall(node, 10_095 - 25 * node as u64));
    let changes = |extensions| -> u64 {
        let simulate = |seed| {
            let config =
                SimulationConfig { nodes: 20, running: 20, seed, extensions, ..SimulationConfig::default() };
            simulate(&config, &common_stall, 5_000).state_changes - 380
        };
        (1..=5).map(simulate).sum()
    };
    let (changes_with_all, changes_without_compensation) =
        (changes(all), changes(Extensions { stall_compensation: false, ..all }));
    assert!(
        changes_without_compensation > 2 * changes_with_all,
        "stalls: {changes_without_compensation} against {changes_with_all}"
    );
}

/// A fleet whose seeds have all died goes on, and a fleet without a running seed forms as soon as one starts.
#[test]
fn seeds_are_needed_only_to_join() {
    let seeds_die = new_script()
        .at(JOIN_MS, Action::Kill(0))
        .at(JOIN_MS + 12_000, Action::Kill(5))
        .at(JOIN_MS + 20_000, Action::Start(5));
    // Node 5 finds no seed; the members that declared it dead find it.
    assert_converges("all seeds dead", 8, &seeds_die, 4_000);
    let config = SimulationConfig { nodes: 8, running: 8, seeds: vec![8], ..SimulationConfig::default() };
    let config = SimulationConfig { nodes: 9, ..config };
    let outcome = simulate(&config, &new_script().at(JOIN_MS, Action::Start(8)), 6_000);
    assert!(outcome.converged_after.is_some_and(|after| after < 5_000), "{:?}", outcome.converged_after);
}

/// The traffic of a node does not grow with the fleet, and the same seed gives the same run.
#[test]
fn traffic_per_node_does_not_grow_with_the_fleet() {
    let quiet = |nodes| {
        let config = SimulationConfig { nodes, running: nodes, ..SimulationConfig::default() };
        simulate(&config, &new_script().at(JOIN_MS, lossy_network(0.0)), 10_000)
    };
    let (small, large) = (quiet(60), quiet(300));
    assert!(
        large.converged_after == Some(0) && large.bytes_per_second < 1.5 * small.bytes_per_second,
        "{} {}",
        large.bytes_per_second,
        small.bytes_per_second
    );
    assert_eq!(quiet(60).timeline, small.timeline);
}
