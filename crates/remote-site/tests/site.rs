//! What goes to a far site and what stays, over whole stories.

use corkhollow_balance::interface::{Effect, Ending, Nanos};
use corkhollow_remote_site::breaker::Gate;
use corkhollow_remote_site::hops::{HopError, Hops};
use corkhollow_remote_site::site::{Ask, Rules, Site, Stays};
use corkhollow_remote_site::spill::Most;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn rules() -> Rules {
    Rules {
        own: "depot".into(),
        name: "head-office".into(),
        classes: vec![true, true, false],
        tenants: None,
        most: Most { share: 1.0, rate: None, ramp: 2 * S },
        concurrency: 100,
        hops: 2,
        same_group: false,
        pause: S,
    }
}

fn ask(hops: &Hops) -> Ask<'_> {
    let (class, tenant, effect, left) = (0, u32::MAX, Effect::Safe, 2 * S);
    Ask { class, tenant, effect, left, hops, may_have_run: false, again: false }
}

/// A site to which requests go already, at a thousand a second, and the time.
fn going(rules: Rules) -> (Site, Nanos) {
    let mut site = Site::new(rules, 1);
    let mut now = S;
    let none = Hops::default();
    for _ in 0..4_000 {
        now += MS;
        site.arrived(now, true, true);
        if site.offer(now, &ask(&none)).is_ok() {
            site.ended(now, Ending::Ok, 20 * MS);
        }
    }
    assert!(site.standing(now).going);
    (site, now)
}

#[test]
fn each_reason_to_stay_is_given() {
    let none = Hops::default();
    let (mut site, now) = going(Rules { tenants: Some(vec![7, u32::MAX]), ..rules() });
    let mut stays = |ask: &Ask<'_>| site.offer(now, ask).unwrap_err();
    assert_eq!(stays(&Ask { class: 2, ..ask(&none) }), Stays::Class);
    assert_eq!(stays(&Ask { class: 9, ..ask(&none) }), Stays::Class);
    assert_eq!(stays(&Ask { tenant: 8, ..ask(&none) }), Stays::Tenant);
    let back = Hops::parse("head-office").unwrap();
    assert_eq!(stays(&ask(&back)), Stays::Hops(HopError::Loop("head-office".into())));
    let far = Hops::parse("a, b").unwrap();
    assert_eq!(stays(&ask(&far)), Stays::Hops(HopError::TooMany(2)));
    for effect in [Effect::Unsafe, Effect::Keyed] {
        assert_eq!(stays(&Ask { effect, may_have_run: true, ..ask(&none) }), Stays::MayHaveRun);
    }
    let late = Ask { left: 0, ..ask(&none) };
    assert_eq!(stays(&late), Stays::Late);
    assert_eq!(Site::new(rules(), 1).offer(now, &ask(&none)), Err(Stays::Served));
}

#[test]
fn a_request_travels_with_what_is_left() {
    let (mut site, now) = going(rules());
    (0..100).for_each(|_| site.pinged(80 * MS));
    let hops = Hops::parse("outpost").unwrap();
    let goes = site.offer(now + S, &ask(&hops)).unwrap();
    assert_eq!(goes.hops.to_string(), "outpost, depot");
    assert!((1_900 * MS..=1_920 * MS).contains(&goes.left), "{}", goes.left);
    let none = Hops::default();
    assert_eq!(site.offer(now + S, &Ask { left: 80 * MS, ..ask(&none) }), Err(Stays::Late));
}

/// A lost link is tried with safe requests only, one at a time; then it begins anew, slowly.
#[test]
fn a_lost_link_comes_back_in_order() {
    let none = Hops::default();
    let (mut site, mut now) = going(rules());
    let before = site.standing(now).rate;
    site.lost(now);
    assert_eq!(site.offer(now, &ask(&none)), Err(Stays::Broken));
    now += 2 * S;
    for _ in 0..3 {
        site.arrived(now, true, true);
        assert_eq!(site.offer(now, &Ask { effect: Effect::Unsafe, ..ask(&none) }), Err(Stays::Broken));
        assert!(site.offer(now, &ask(&none)).is_ok());
        assert_eq!(site.offer(now, &ask(&none)), Err(Stays::Broken), "one at a time");
        now += 100 * MS;
        site.ended(now, Ending::Ok, 100 * MS);
        (0..200).for_each(|_| site.arrived(now, true, true));
    }
    assert_eq!(site.standing(now).gate, Gate::Closed);
    // 5,000 clients have waited.
    let went = (0..5_000).filter(|_| site.offer(now, &ask(&none)).is_ok()).count();
    assert!(went <= 4, "{went} at one moment");
    assert!(site.standing(now).rate < before / 2.0);
}

/// A far site that turns slow without an error is given less, and never what its clients' time does not allow.
#[test]
fn a_slow_far_site_gets_less() {
    let none = Hops::default();
    let (mut site, mut now) = going(rules());
    let mut most = 0;
    for slow in [400 * MS, 4 * S, 40 * S] {
        let mut out: Vec<Nanos> = Vec::new();
        most = 0;
        for step in 0..3_000 {
            now += MS;
            site.arrived(now, true, true);
            out.retain(|due| {
                let over = *due <= now;
                if over {
                    // Their clients wait 600 ms.
                    let in_time = slow < 600 * MS;
                    site.ended(now, if in_time { Ending::Ok } else { Ending::TimedOut }, slow.min(600 * MS));
                }
                !over
            });
            if site.offer(now, &Ask { left: 600 * MS, ..ask(&none) }).is_ok() {
                out.push(now + slow.min(600 * MS));
            }
            if step > 2_000 {
                most = most.max(out.len());
            }
        }
        out.iter().for_each(|_| site.ended(now, Ending::Cancelled, 0));
    }
    assert!(most <= 3, "{most} out at a far site that takes 40 s");
}

proptest! {
    /// Whatever happens: no unsafe request that may have run goes, nor more at once than allowed, and the count of
    /// what is out is right.
    #[test]
    fn the_rules_hold(events in prop::collection::vec((0u8..8, 0u64..400, any::<bool>(), any::<bool>()), 1..400)) {
        let none = Hops::default();
        let mut site = Site::new(Rules { concurrency: 10, ..rules() }, 5);
        let (mut now, mut out) = (S, 0u32);
        for (kind, wait, flag, other) in events {
            now += wait * MS;
            let effect = if other { Effect::Safe } else { Effect::Unsafe };
            match kind {
                0..=3 => {
                    site.arrived(now, true, flag);
                    let asked = Ask { effect, may_have_run: flag, again: flag, ..ask(&none) };
                    let gate = site.standing(now).gate;
                    if site.offer(now, &asked).is_ok() {
                        out += 1;
                        prop_assert!(effect == Effect::Safe || (!flag && gate == Gate::Closed));
                        prop_assert!(gate != Gate::Open);
                    }
                }
                4 | 5 if out > 0 => {
                    out -= 1;
                    site.ended(now, if flag { Ending::Ok } else { Ending::TimedOut }, wait * MS);
                }
                6 if out > 0 => {
                    out -= 1;
                    site.ended(now, if flag { Ending::Full } else { Ending::Cancelled }, 0);
                }
                7 if flag => site.lost(now),
                _ => site.pinged(wait * MS / 10),
            }
            prop_assert_eq!(site.standing(now).out, out);
            prop_assert!(out <= 10);
        }
    }
}
