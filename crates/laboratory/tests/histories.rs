//! Random histories of the engine have no violation, and injected errors are detected.

use corkhollow_laboratory::histories::{find_shortest_violation, run_history, Fault};

const REQUESTS_PER_HISTORY: u32 = 150;

#[test]
fn histories_without_faults_have_no_violation() {
    for races in [false, true] {
        let mut served = 0;
        for seed in 0..2_000 {
            let history = run_history(seed, Fault::None, races, REQUESTS_PER_HISTORY);
            assert!(
                history.violation.is_none(),
                "{:?}",
                find_shortest_violation(seed, Fault::None, races, REQUESTS_PER_HISTORY)
            );
            served += history.served;
        }
        assert!(races || served > 2_000 * REQUESTS_PER_HISTORY / 3, "only {served} requests served");
        assert!(served > 2_000 * REQUESTS_PER_HISTORY / 5, "only {served} requests served, races: {races}");
    }
}

#[test]
fn injected_faults_are_detected() {
    for (fault, expected) in [
        (Fault::DrainIgnored, "sent to a draining or removed server"),
        (Fault::AnswerLost, "no answer"),
        (Fault::AnswerDuplicated, "2 answers"),
        (Fault::UnsafeRepeated, "unsafe request"),
        (Fault::TimersLate, "after its deadline"),
        (Fault::SentUnchecked, "after its end"),
    ] {
        let races = fault == Fault::SentUnchecked;
        let run_history = |seed| run_history(seed, fault, races, REQUESTS_PER_HISTORY);
        let detected: Vec<_> = (0..200).filter(|seed| run_history(*seed).violation.is_some()).collect();
        assert!(detected.len() >= 20, "{fault:?} is detected in {} of 200 histories", detected.len());
        let is_expected_violation = |seed: &u64| {
            run_history(*seed).violation.is_some_and(|violation| violation.description.contains(expected))
        };
        assert!(
            detected.iter().filter(|seed| is_expected_violation(seed)).count() >= 20,
            "{fault:?} is detected as another violation"
        );
        let (requests, shortest) =
            find_shortest_violation(detected[0], fault, races, REQUESTS_PER_HISTORY).expect("a violation");
        assert!(
            requests <= REQUESTS_PER_HISTORY
                && shortest.violation.is_some()
                && !shortest.last_commands.is_empty()
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let digests: Vec<_> =
        (0..20).map(|seed| run_history(seed, Fault::None, true, REQUESTS_PER_HISTORY).digest).collect();
    let again: Vec<_> =
        (0..20).map(|seed| run_history(seed, Fault::None, true, REQUESTS_PER_HISTORY).digest).collect();
    assert_eq!(digests, again);
    assert!(digests.windows(2).all(|pair| pair[0] != pair[1]), "different seeds gave the same history");
}
