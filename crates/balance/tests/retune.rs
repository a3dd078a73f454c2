//! Other settings take over under way: open requests keep their rules, and nothing is forgotten.

mod common;

use common::*;
use corkhollow_balance::interface::*;

fn sent(actions: &[Action]) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

fn ends(bed: &mut Bed, id: RequestId, server: ServerId, attempt: u8, ending: Ending) -> Vec<Action> {
    bed.feed(Event::Outcome {
        request: id,
        server,
        attempt,
        finished: ending == Ending::Ok,
        took: 10 * MS,
        ending,
        spent: false,
        report: None,
    })
}

fn again(bed: &mut Bed, class: u16) -> (RequestId, Vec<Action>) {
    let (id, request) = bed.draft();
    (id, bed.feed(Event::Request(Request { class, ..request })))
}

#[test]
fn an_open_request_keeps_its_effect_and_its_attempts() {
    for (old, new) in [(Effect::Unsafe, Effect::Safe), (Effect::Safe, Effect::Unsafe)] {
        let mut bed = Bed::new(settings(old), servers(8), 1);
        let (id, actions) = bed.request();
        let first = sent(&actions)[0];
        let few = Settings { max_attempts: 1, ..settings(new) };
        let now = bed.now;
        let places = bed.balancer.retune(now, few, &[Some(0)]).unwrap();
        assert_eq!(places, [1], "other rules are another class");
        let actions = ends(&mut bed, id, first, 0, Ending::Reset);
        // What may have run goes again only where the request was taken as safe; the new limit of one attempt is not its.
        assert_eq!(sent(&actions).len(), usize::from(old == Effect::Safe), "{old:?} to {new:?}: {actions:?}");
        let (id, actions) = again(&mut bed, places[0]);
        let server = sent(&actions)[0];
        let actions = ends(&mut bed, id, server, 0, Ending::ConnectFailed);
        assert!(sent(&actions).is_empty(), "more attempts than the new settings allow: {actions:?}");
        // One whose head was read before still names the old place.
        let (id, actions) = again(&mut bed, 0);
        let server = sent(&actions)[0];
        let actions = ends(&mut bed, id, server, 0, Ending::Reset);
        assert!(sent(&actions).is_empty(), "{actions:?}");
    }
}

#[test]
fn what_is_known_of_servers_stays() {
    let mut bed = Bed::new(settings(Effect::Safe), servers(3), 1);
    let (id, actions) = bed.request();
    let bad = sent(&actions)[0];
    ends(&mut bed, id, bad, 0, Ending::Error);
    let now = bed.now;
    assert_eq!(bed.balancer.census(now), (3, 1));
    let places = bed.balancer.retune(now, settings(Effect::Safe), &[Some(0)]).unwrap();
    assert_eq!(places, [0], "the same class keeps its place");
    assert_eq!(bed.balancer.census(now), (3, 1));
    for _ in 0..20 {
        let (_, actions) = bed.request();
        assert!(!sent(&actions).contains(&bad));
    }
}

#[test]
fn settings_that_cannot_be_acted_on_change_nothing() {
    let mut bed = Bed::new(settings(Effect::Safe), servers(3), 1);
    let now = bed.now;
    for broken in [
        Settings { max_attempts: 0, ..settings(Effect::Safe) },
        Settings { classes: Vec::new(), ..settings(Effect::Safe) },
    ] {
        assert!(bed.balancer.retune(now, broken, &[Some(0)]).is_err());
        let (id, actions) = bed.request();
        let first = sent(&actions)[0];
        assert_eq!(sent(&ends(&mut bed, id, first, 0, Ending::ConnectFailed)).len(), 1);
    }
}

/// Classes that come and go must not fill memory, nor may a place change under an open request.
#[test]
fn places_are_used_again_once_nothing_goes_by_them() {
    let class = |aim: Nanos| {
        let mut settings = settings(Effect::Safe);
        settings.classes[0].aim = aim;
        settings
    };
    let mut bed = Bed::new(class(100 * MS), servers(3), 1);
    let (open, actions) = bed.request();
    let server = sent(&actions)[0];
    let mut most = 0;
    for k in 1..200 {
        bed.now += 20_000 * MS;
        let now = bed.now;
        let place = bed.balancer.retune(now, class((100 + k) * MS), &[None]).unwrap()[0];
        assert_ne!(place, 0, "the place of an open request");
        most = most.max(place);
    }
    assert!(most < 10, "{most}");
    bed.now += 20_000 * MS;
    ends(&mut bed, open, server, 0, Ending::Ok);
    let now = bed.now;
    assert_eq!(bed.balancer.retune(now, class(7 * MS), &[None]).unwrap(), [0]);
}
