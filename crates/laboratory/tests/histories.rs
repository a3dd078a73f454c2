//! No history breaks a rule, and the rules see what is broken on purpose.

use corkhollow_laboratory::histories::{play, shortest, Fault};

const REQUESTS: u32 = 150;

#[test]
fn no_history_breaks_a_rule() {
    for crossings in [false, true] {
        let mut served = 0;
        for seed in 0..2_000 {
            let history = play(seed, Fault::None, crossings, REQUESTS);
            assert!(history.broken.is_none(), "{:?}", shortest(seed, Fault::None, crossings, REQUESTS));
            served += history.served;
        }
        assert!(crossings || served > 2_000 * REQUESTS / 3, "{served} served: the histories show little");
        assert!(served > 2_000 * REQUESTS / 5, "{served} served, with crossings: the histories show little");
    }
}

#[test]
fn what_is_broken_on_purpose_is_caught() {
    for (fault, word) in [
        (Fault::DrainIgnored, "drains"),
        (Fault::AnswerLost, "no answer"),
        (Fault::AnswerDoubled, "2 answers"),
        (Fault::UnsafeRepeated, "its effect"),
        (Fault::TimersLate, "after its time"),
        (Fault::BegunUnasked, "after its end"),
    ] {
        let crossings = fault == Fault::BegunUnasked;
        let play = |seed| play(seed, fault, crossings, REQUESTS);
        let caught: Vec<_> = (0..200).filter(|seed| play(*seed).broken.is_some()).collect();
        assert!(caught.len() >= 20, "{fault:?} is caught in {} of 200 histories", caught.len());
        let named = |seed: &u64| play(*seed).broken.is_some_and(|b| b.rule.contains(word));
        assert!(caught.iter().filter(|seed| named(seed)).count() >= 20, "{fault:?} is taken for another");
        let (requests, short) = shortest(caught[0], fault, crossings, REQUESTS).expect("it breaks a rule");
        assert!(requests <= REQUESTS && short.broken.is_some() && !short.last.is_empty());
    }
}

#[test]
fn the_same_seed_gives_the_same_history() {
    let digests: Vec<_> = (0..20).map(|seed| play(seed, Fault::None, true, REQUESTS).digest).collect();
    let again: Vec<_> = (0..20).map(|seed| play(seed, Fault::None, true, REQUESTS).digest).collect();
    assert_eq!(digests, again);
    assert!(digests.windows(2).all(|pair| pair[0] != pair[1]), "seeds do not tell histories apart");
}
