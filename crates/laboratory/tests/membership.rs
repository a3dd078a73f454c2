//! The fleet's own view over a network that fails it: the same scripts that real processes are played with.

use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_fleet::Extensions;
use corkhollow_laboratory::membership::{play, Outcome, Setting};

/// All have met by then.
const MET: u64 = 15_000;

fn lossy(loss: f64) -> Action {
    Action::SetAllLinks(LinkFaults { loss, delay: 1, jitter: 5, ..LinkFaults::default() })
}

fn begun() -> Script {
    Script::new().at(0, lossy(0.0))
}

/// Plays it over seeds; all have to settle in time, and none may ever be given up without cause.
fn settles(what: &str, nodes: usize, script: &Script, within: u64) {
    for seed in 1..=3 {
        let outcome =
            play(&Setting { nodes, running: nodes, seed, ..Setting::default() }, script, within + 2_000);
        let tail: Vec<_> = outcome.timeline.iter().rev().take(20).rev().collect();
        assert!(
            outcome.settled.is_some_and(|after| after <= within),
            "{what}, {nodes} nodes, seed {seed}: {:?} ms; {tail:#?}",
            outcome.settled
        );
        assert_eq!(outcome.false_deaths, 0, "{what}, {nodes} nodes, seed {seed}: {tail:#?}");
    }
}

/// Times as they stand in `docs/design/fleet-view.md`.
#[test]
fn views_settle_after_joins_and_crashes() {
    for nodes in [2, 3, 7, 60] {
        settles("joined", nodes, &begun(), 2_000);
        settles("crashed", nodes, &begun().at(MET, Action::Kill(nodes - 1)), 8_000);
        settles("left", nodes, &begun().at(MET, Action::Leave(nodes - 1)), 1_500);
        // Under its name, with nothing, before and after it is given up.
        for pause in [200, 20_000] {
            let back = begun().at(MET, Action::Kill(1)).at(MET + pause, Action::Start(1));
            settles("came back", nodes, &back, 2_000);
        }
    }
    let nine = || 1..54;
    let anew =
        begun().staggered(MET, 0, nine(), Action::Kill).staggered(MET + 500, 10, nine(), Action::Start);
    settles("nine in ten anew", 60, &anew, 3_000);
    let again = begun().staggered(MET, 3_000, [5; 8], Action::Kill).staggered(
        MET + 300,
        3_000,
        [5; 8],
        Action::Start,
    );
    settles("one that crashes every 3 s", 20, &again, 2_000);
    let rolling =
        begun().staggered(MET, 1_000, 0..9, Action::Leave).staggered(MET + 400, 1_000, 0..9, Action::Start);
    settles("rolled", 9, &rolling, 2_000);
}

/// Whatever the islands: each goes on, and once healed all have one view again.
#[test]
fn views_settle_after_cuts() {
    let islands: [(&str, usize, Vec<Vec<usize>>); 4] = [
        ("half against half", 60, vec![(0..30).collect(), (30..60).collect()]),
        ("three islands", 9, vec![vec![0, 1, 2], vec![3, 4, 5], vec![6, 7, 8]]),
        ("an island of one", 7, vec![vec![0, 1, 2, 3, 4, 5], vec![6]]),
        ("each alone", 5, (0..5).map(|node| vec![node]).collect()),
    ];
    for (what, nodes, groups) in islands {
        let part = |from| begun().at(from, Action::Partition(groups.clone()));
        settles(what, nodes, &part(MET).at(MET + 20_000, Action::Heal), 10_000);
        settles("and but for a moment", nodes, &part(MET).at(MET + 1_000, Action::Heal), 10_000);
        // While they join.
        settles("from the start", nodes, &part(300).at(20_000, Action::Heal), 10_000);
    }
    let late = (30..60).fold(
        begun().at(MET, Action::Partition(vec![(0..30).collect(), (30..60).collect()])),
        |script, node| script.at(MET + 200, Action::Kill(node)).at(MET + 400, Action::Start(node)),
    );
    settles("half joins while cut off", 60, &late.at(MET + 20_000, Action::Heal), 10_000);
    let one_way =
        (0..7).filter(|node| *node != 2).fold(begun(), |s, node| s.at(MET, Action::BlockLink(2, node)));
    settles("one that nobody hears", 7, &one_way.at(MET + 20_000, Action::Heal), 10_000);
}

/// Some directions are cut and stay so: by others' probes and rumours all hold each other for there.
#[test]
fn a_view_holds_where_only_some_hear_each_other() {
    let one = begun()
        .at(MET, Action::BlockLink(1, 4))
        .at(MET, Action::BlockLink(3, 0))
        .at(MET + 30_000, lossy(0.0));
    settles("two one-way cuts", 7, &one, 1_000);
    let far = |a: usize, b: usize| a.abs_diff(b) > 1;
    let pairs = (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| far(*a, *b));
    let chain = pairs.fold(begun(), |script, (a, b)| script.at(MET, Action::BlockLink(a, b)));
    let chain = chain.at(MET + 60_000, lossy(0.0));
    for seed in 1..=10 {
        let setting = Setting { nodes: 5, running: 5, seed, ..Setting::default() };
        let outcome = play(&setting, &chain, 10_000);
        let told = outcome.timeline.iter().filter(|line| line.contains("state: Dead")).count();
        assert_eq!(told, 0, "seed {seed}: {:#?}", outcome.timeline);
    }
}

/// Once a cut is healed each side hears that its own members are dead, from those who gave them up: it must not believe that.
#[test]
fn a_healed_cut_takes_nobody_out() {
    let halves = vec![(0..10).collect(), (10..20).collect()];
    let script = begun().at(MET, Action::Partition(halves)).at(MET + 20_000, Action::Heal);
    for seed in 1..=5 {
        let setting = Setting { nodes: 20, running: 20, seed, ..Setting::default() };
        let outcome = play(&setting, &script, 10_000);
        let healed = outcome.timeline.iter().position(|line| line.ends_with(" healed")).unwrap();
        let side = |name: &str| name[1..5].parse::<usize>().unwrap() < 10;
        let own = |line: &&String| {
            let observer = line.split_whitespace().nth(1).unwrap();
            let subject = line.split('"').nth(1).unwrap_or("n9999");
            line.contains("state: Dead") && side(observer) == side(subject)
        };
        let shaken: Vec<_> = outcome.timeline[healed..].iter().filter(own).collect();
        assert!(shaken.is_empty(), "seed {seed}: {shaken:#?}");
    }
}

fn storm(setting: &Setting, way: LinkFaults, seconds: u64) -> Outcome {
    let script = begun().at(MET, Action::SetAllLinks(way)).at(MET + seconds * 1_000, lossy(0.0));
    play(setting, &script, 12_000)
}

/// Loss, doubles, delays that let a `dead` come after the return, late loops.
#[test]
fn nobody_is_given_up_for_a_bad_network_or_a_slow_machine() {
    let setting = Setting { nodes: 40, running: 40, ..Setting::default() };
    let lossy = LinkFaults { loss: 0.1, delay: 1, jitter: 5, ..LinkFaults::default() };
    let slow = LinkFaults { loss: 0.0, delay: 0, jitter: 400, duplication: 0.3, blocked: false };
    for (what, setting, way) in [
        ("loss", setting.clone(), lossy),
        ("delay", setting.clone(), slow),
        ("late loops", Setting { late: 400, ..setting.clone() }, lossy),
        ("256 bytes", Setting { datagram: 256, ..setting.clone() }, lossy),
    ] {
        let outcome = storm(&setting, way, 120);
        assert_eq!(outcome.false_deaths, 0, "{what}: {:#?}", outcome.timeline);
        assert!(outcome.settled.is_some_and(|after| after < 10_000), "{what}: {:?}", outcome.settled);
    }
    let bad = LinkFaults { loss: 0.3, delay: 1, jitter: 2_000, duplication: 0.3, blocked: false };
    let reordered = begun()
        .at(MET, Action::SetAllLinks(bad))
        .staggered(MET + 1_000, 7_000, [3, 9, 3], Action::Kill)
        .staggered(MET + 4_000, 7_000, [3, 9, 3], Action::Start)
        .at(MET + 30_000, self::lossy(0.0));
    let outcome = play(&setting, &reordered, 12_000);
    assert!(outcome.settled.is_some_and(|after| after < 10_000), "{:?}", outcome.settled);
    assert!(outcome.longest_false < 5_000, "{} ms", outcome.longest_false);
}

/// A process that stands still gives nobody up, and is back at once; where others stand still for 2 s, nothing is lost.
#[test]
fn those_that_stand_still_shake_nobody_elses_view() {
    let outcome = play(&Setting::default(), &begun().at(MET, Action::Stall(7, 10_000)), 5_000);
    assert!(outcome.settled.is_some_and(|after| after < 1_000), "{:?}", outcome.settled);
    let others: Vec<_> = outcome
        .timeline
        .iter()
        .filter(|line| {
            (line.contains("state: Suspect") || line.contains("state: Dead")) && !line.contains("n0007")
        })
        .collect();
    assert!(others.is_empty(), "{others:#?}");
    assert_eq!(outcome.false_alarms, 0);
    let script = (0..6).fold(begun(), |script, k| {
        script.staggered(MET + 10_000 * k, 97, (0..60).step_by(10), |node| Action::Stall(node, 2_000))
    });
    let outcome = play(&Setting::default(), &script, 5_000);
    let dead = outcome.timeline.iter().filter(|line| line.contains("state: Dead")).count();
    assert_eq!((dead, outcome.false_deaths), (0, 0));
}

/// Each of the additions is missed where it is left out: 45% of datagrams lost, or loops that are late by up to 400 ms.
#[test]
fn without_its_safeguards_it_gives_up_more() {
    let all = Extensions::default();
    let bad = LinkFaults { loss: 0.45, delay: 1, jitter: 2, ..LinkFaults::default() };
    let lossy = LinkFaults { loss: 0.1, ..bad };
    let sum = |additions, late, way: LinkFaults, of: fn(&Outcome) -> usize| -> usize {
        let outcome = |seed| storm(&Setting { additions, late, seed, ..Setting::default() }, way, 60);
        (1..=2).map(|seed| of(&outcome(seed))).sum()
    };
    let deaths = |additions| sum(additions, 0, bad, |o| o.false_deaths);
    let alarms = |additions| sum(additions, 400, lossy, |o| o.false_alarms);
    let fewest = deaths(all);
    for (what, additions) in [
        ("dogpile", Extensions { dynamic_suspicion: false, ..all }),
        ("buddy", Extensions { buddy_system: false, ..all }),
    ] {
        let without = deaths(additions);
        assert!(2 * without > 3 * fewest, "{what}: {without} against {fewest}");
    }
    let (quiet, doubtless) = (alarms(all), alarms(Extensions { local_health: false, ..all }));
    assert!(doubtless > 2 * quiet, "local health: {doubtless} against {quiet}");
    // A machine on which all of them run is held for a while: nobody knows that the others stood still too.
    // Those that stopped first go on last, a little later.
    let held = begun().staggered(MET, 20, 0..20, |node| Action::Stall(node, 10_095 - 25 * node as u64));
    let changes = |additions| -> u64 {
        let play = |seed| {
            let setting = Setting { nodes: 20, running: 20, seed, additions, ..Setting::default() };
            play(&setting, &held, 5_000).changes - 380
        };
        (1..=5).map(play).sum()
    };
    let (put_off, at_once) = (changes(all), changes(Extensions { stall_compensation: false, ..all }));
    assert!(at_once > 2 * put_off, "stalls: {at_once} against {put_off}");
}

/// Names that all seeds have gone from; and seeds that were dead from the start, until one comes.
#[test]
fn seeds_are_needed_only_to_meet() {
    let gone =
        begun().at(MET, Action::Kill(0)).at(MET + 12_000, Action::Kill(5)).at(MET + 20_000, Action::Start(5));
    // Nobody is left to welcome it but by the seeds that it was told: it is found by those that gave it up.
    settles("all seeds dead, members known", 8, &gone, 4_000);
    let setting = Setting { nodes: 8, running: 8, seeds: vec![8], ..Setting::default() };
    let setting = Setting { nodes: 9, ..setting };
    let outcome = play(&setting, &begun().at(MET, Action::Start(8)), 6_000);
    assert!(outcome.settled.is_some_and(|after| after < 5_000), "{:?}", outcome.settled);
}

/// A larger fleet costs each node no more, and the same seed plays the same.
#[test]
fn what_it_costs_does_not_grow_with_the_fleet() {
    let quiet = |nodes| {
        let setting = Setting { nodes, running: nodes, ..Setting::default() };
        play(&setting, &begun().at(MET, lossy(0.0)), 10_000)
    };
    let (small, large) = (quiet(60), quiet(300));
    assert!(large.settled == Some(0) && large.bytes < 1.5 * small.bytes, "{} {}", large.bytes, small.bytes);
    assert_eq!(quiet(60).timeline, small.timeline);
}
