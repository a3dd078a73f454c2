//! Servers that start, told by wall clocks that are right, ahead and behind.

mod common;

use common::*;
use corkhollow_balance::interface::*;
use std::collections::VecDeque;

/// A quarter of an hour: the clock of these tests begins at 1,000 s.
const FAR: Nanos = 900_000 * MS;
const STEP: Nanos = 10 * MS;
const TOOK: Nanos = 200 * MS;
const WARM: u8 = 4;

fn warm_bed() -> Bed {
    let mut bed = Bed::new(settings(Effect::Safe), servers(WARM), 4);
    play(&mut bed, 2_000 * MS);
    bed
}

/// Requests come each step for so long, and are answered so much later that all servers have some; the times of those that went to
/// servers which are not among the warm ones.
fn play(bed: &mut Bed, time: Nanos) -> Vec<(ServerId, Nanos)> {
    let (start, mut sends, mut open) = (bed.now, Vec::new(), VecDeque::new());
    while bed.now < start + time {
        bed.now += STEP;
        while let Some((id, to, _)) = open.pop_front_if(|(_, _, due)| *due <= bed.now) {
            bed.outcome(id, to, 0, TOOK, Ending::Ok);
        }
        let (id, actions) = bed.request();
        let Some(to) = sent(&actions, id) else { continue };
        open.push_back((id, to, bed.now + TOOK));
        if to >= server(WARM) {
            sends.push((to, bed.now - start));
        }
    }
    for (id, to, _) in open {
        bed.outcome(id, to, 0, TOOK, Ending::Ok);
    }
    sends
}

fn start_told(bed: &mut Bed, number: u8, started_at: Nanos) {
    bed.list(ListKind::Changes, vec![Server { started_at, ..Server::warm(server(number)) }]);
    bed.balancer.heard(bed.now);
}

/// However far the clock is off that tells of a start: the server has started since the list was heard without it, and gets what any
/// other one gets at that age, until it is warm.
#[test]
fn a_start_that_a_list_newly_tells_is_dated_by_when_it_was_told() {
    let sends = |told: fn(Nanos) -> Nanos| {
        let mut bed = warm_bed();
        bed.balancer.heard(bed.now);
        let now = bed.now;
        start_told(&mut bed, WARM, told(now));
        // The ramp lasts 8 s.
        play(&mut bed, 12_000 * MS)
    };
    let right = sends(|now| now);
    assert!(right.len() > 100, "it is used: {}", right.len());
    assert_eq!(sends(|now| now - FAR), right, "far behind");
    assert_eq!(sends(|now| now - 3_000 * MS), right, "three seconds behind");
    assert_eq!(sends(|now| now + FAR), right, "far ahead");
    assert_ne!(sends(|_| 0), right, "long ago");
}

/// A known server that starts anew is cold, also where its clock was set back meanwhile.
#[test]
fn a_restart_is_one_whichever_way_its_clock_was_set() {
    let sends = |told: fn(Nanos) -> Nanos| {
        let mut bed = warm_bed();
        let long_ago = bed.now - 60_000 * MS;
        start_told(&mut bed, WARM, long_ago);
        play(&mut bed, 10_000 * MS);
        bed.balancer.heard(bed.now);
        let now = bed.now;
        start_told(&mut bed, WARM, told(now));
        play(&mut bed, 2_000 * MS).len()
    };
    let (right, behind) = (sends(|now| now), sends(|now| now - FAR));
    assert_eq!(behind, right);
    assert!(
        sends(|now| now - 75_000 * MS) == right,
        "it is later by its own clock, and earlier than it was told before"
    );
}

/// Nothing bounds the starts in the first list but the wall clocks. Where ours was ahead when the process started, two starts that are
/// told before they can have been show it, and the others are cold again.
#[test]
fn a_first_list_is_dated_anew_once_our_clock_is_seen_to_be_ahead() {
    let later = |told: fn(Nanos) -> Nanos| {
        let mut list = servers(WARM);
        let start = 1_000_000 * MS;
        list.push(Server { started_at: start - FAR, ..Server::warm(server(WARM)) });
        let mut bed = Bed::new(settings(Effect::Safe), list, 4);
        bed.balancer.heard(bed.now);
        play(&mut bed, 100 * MS);
        for number in [20, 21] {
            bed.balancer.heard(bed.now);
            let at = told(bed.now);
            start_told(&mut bed, number, at);
        }
        let of_first = |(to, _): &&(ServerId, Nanos)| *to == server(WARM);
        play(&mut bed, 1_000 * MS).iter().filter(of_first).count()
    };
    let (right, ahead) = (later(|now| now), later(|now| now - FAR));
    assert!(ahead * 2 < right, "{ahead} where our clock is ahead, {right} where it is right");
}
