//! Which requests are forwarded to a remote site, in scenarios that combine all limits.

use corkhollow_balance::interface::{Effect, Ending, Nanos};
use corkhollow_remote_site::circuit_breaker::CircuitState;
use corkhollow_remote_site::hops::{HopError, Hops};
use corkhollow_remote_site::site::{Candidate, ForwardingRules, NotForwarded, RemoteSite};
use corkhollow_remote_site::spillover::SpilloverLimits;
use proptest::prelude::*;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

fn rules() -> ForwardingRules {
    ForwardingRules {
        local_site: "depot".into(),
        remote_site: "head-office".into(),
        allowed_classes: vec![true, true, false],
        allowed_tenants: None,
        spillover_limits: SpilloverLimits { max_share: 1.0, max_rate_per_second: None, ramp: 2 * SECOND },
        max_concurrency: 100,
        max_hops: 2,
        same_idempotency_group: false,
        breaker_open_time: SECOND,
    }
}

fn candidate(hops: &Hops) -> Candidate<'_> {
    let (class, tenant, effect, remaining) = (0, u32::MAX, Effect::Safe, 2 * SECOND);
    Candidate { class, tenant, effect, remaining, hops, may_have_run: false, is_retry: false }
}

/// Returns a remote site that has received 1,000 arrivals a second for 4 s, and the current time.
fn spilling_site(rules: ForwardingRules) -> (RemoteSite, Nanos) {
    let mut site = RemoteSite::new(rules, 1);
    let mut now = SECOND;
    let no_hops = Hops::default();
    for _ in 0..4_000 {
        now += MILLISECOND;
        site.record_arrival(now, true, true);
        if site.try_forward(now, &candidate(&no_hops)).is_ok() {
            site.record_ending(now, Ending::Ok, 20 * MILLISECOND);
        }
    }
    assert!(site.status(now).spilling);
    (site, now)
}

#[test]
fn each_reason_not_to_forward_is_reported() {
    let no_hops = Hops::default();
    let (mut site, now) =
        spilling_site(ForwardingRules { allowed_tenants: Some(vec![7, u32::MAX]), ..rules() });
    let mut refusal = |candidate: &Candidate<'_>| site.try_forward(now, candidate).unwrap_err();
    assert_eq!(refusal(&Candidate { class: 2, ..candidate(&no_hops) }), NotForwarded::ClassNotAllowed);
    assert_eq!(refusal(&Candidate { class: 9, ..candidate(&no_hops) }), NotForwarded::ClassNotAllowed);
    assert_eq!(refusal(&Candidate { tenant: 8, ..candidate(&no_hops) }), NotForwarded::TenantNotAllowed);
    let through_remote = Hops::parse("head-office").unwrap();
    assert_eq!(
        refusal(&candidate(&through_remote)),
        NotForwarded::Hops(HopError::Loop("head-office".into()))
    );
    let at_max_hops = Hops::parse("a, b").unwrap();
    assert_eq!(refusal(&candidate(&at_max_hops)), NotForwarded::Hops(HopError::TooMany(2)));
    for effect in [Effect::Unsafe, Effect::Keyed] {
        assert_eq!(
            refusal(&Candidate { effect, may_have_run: true, ..candidate(&no_hops) }),
            NotForwarded::MayHaveRun
        );
    }
    let late = Candidate { remaining: 0, ..candidate(&no_hops) };
    assert_eq!(refusal(&late), NotForwarded::TooLate);
    assert_eq!(
        RemoteSite::new(rules(), 1).try_forward(now, &candidate(&no_hops)),
        Err(NotForwarded::NoOverload)
    );
}

#[test]
fn a_forwarded_request_carries_its_remaining_time_and_hops() {
    let (mut site, now) = spilling_site(rules());
    (0..100).for_each(|_| site.record_ping(80 * MILLISECOND));
    let hops = Hops::parse("outpost").unwrap();
    let forward = site.try_forward(now + SECOND, &candidate(&hops)).unwrap();
    assert_eq!(forward.hops.to_string(), "outpost, depot");
    assert!(
        (1_900 * MILLISECOND..=1_920 * MILLISECOND).contains(&forward.remaining),
        "{}",
        forward.remaining
    );
    let no_hops = Hops::default();
    assert_eq!(
        site.try_forward(now + SECOND, &Candidate { remaining: 80 * MILLISECOND, ..candidate(&no_hops) }),
        Err(NotForwarded::TooLate)
    );
}

/// A lost link is probed with one safe request at a time; once the circuit closes, the rate ramps up again.
#[test]
fn a_lost_link_is_probed_and_then_ramps_up_again() {
    let no_hops = Hops::default();
    let (mut site, mut now) = spilling_site(rules());
    let before = site.status(now).rate_per_second;
    site.on_link_lost(now);
    assert_eq!(site.try_forward(now, &candidate(&no_hops)), Err(NotForwarded::CircuitOpen));
    now += 2 * SECOND;
    for _ in 0..3 {
        site.record_arrival(now, true, true);
        assert_eq!(
            site.try_forward(now, &Candidate { effect: Effect::Unsafe, ..candidate(&no_hops) }),
            Err(NotForwarded::CircuitOpen)
        );
        assert!(site.try_forward(now, &candidate(&no_hops)).is_ok());
        assert_eq!(
            site.try_forward(now, &candidate(&no_hops)),
            Err(NotForwarded::CircuitOpen),
            "one at a time"
        );
        now += 100 * MILLISECOND;
        site.record_ending(now, Ending::Ok, 100 * MILLISECOND);
        (0..200).for_each(|_| site.record_arrival(now, true, true));
    }
    assert_eq!(site.status(now).circuit, CircuitState::Closed);
    // 5,000 clients waited for the link.
    let forwarded = (0..5_000).filter(|_| site.try_forward(now, &candidate(&no_hops)).is_ok()).count();
    assert!(forwarded <= 4, "{forwarded} at the same moment");
    assert!(site.status(now).rate_per_second < before / 2.0);
}

/// A remote site that turns slow without errors gets fewer concurrent requests.
#[test]
fn a_slow_remote_site_gets_fewer_requests() {
    let no_hops = Hops::default();
    let (mut site, mut now) = spilling_site(rules());
    let mut max_in_flight = 0;
    for latency in [400 * MILLISECOND, 4 * SECOND, 40 * SECOND] {
        let mut in_flight: Vec<Nanos> = Vec::new();
        max_in_flight = 0;
        for step in 0..3_000 {
            now += MILLISECOND;
            site.record_arrival(now, true, true);
            in_flight.retain(|due| {
                let has_ended = *due <= now;
                if has_ended {
                    // Clients give up after 600 ms.
                    let in_time = latency < 600 * MILLISECOND;
                    site.record_ending(
                        now,
                        if in_time { Ending::Ok } else { Ending::TimedOut },
                        latency.min(600 * MILLISECOND),
                    );
                }
                !has_ended
            });
            if site
                .try_forward(now, &Candidate { remaining: 600 * MILLISECOND, ..candidate(&no_hops) })
                .is_ok()
            {
                in_flight.push(now + latency.min(600 * MILLISECOND));
            }
            if step > 2_000 {
                max_in_flight = max_in_flight.max(in_flight.len());
            }
        }
        in_flight.iter().for_each(|_| site.record_ending(now, Ending::Cancelled, 0));
    }
    assert!(max_in_flight <= 3, "{max_in_flight} in flight to a remote site that takes 40 s");
}

proptest! {
    /// No unsafe request that may have run is forwarded, the concurrency limit holds, and the count of
    /// requests in flight is right.
    #[test]
    fn forwarding_rules_hold_for_any_events(
        events in prop::collection::vec((0u8..8, 0u64..400, any::<bool>(), any::<bool>()), 1..400)
    ) {
        let no_hops = Hops::default();
        let mut site = RemoteSite::new(ForwardingRules { max_concurrency: 10, ..rules() }, 5);
        let (mut now, mut in_flight) = (SECOND, 0u32);
        for (event, wait_ms, flag, is_safe) in events {
            now += wait_ms * MILLISECOND;
            let effect = if is_safe { Effect::Safe } else { Effect::Unsafe };
            match event {
                0..=3 => {
                    site.record_arrival(now, true, flag);
                    let candidate =
                        Candidate { effect, may_have_run: flag, is_retry: flag, ..candidate(&no_hops) };
                    let circuit = site.status(now).circuit;
                    if site.try_forward(now, &candidate).is_ok() {
                        in_flight += 1;
                        prop_assert!(effect == Effect::Safe || (!flag && circuit == CircuitState::Closed));
                        prop_assert!(circuit != CircuitState::Open);
                    }
                }
                4 | 5 if in_flight > 0 => {
                    in_flight -= 1;
                    site.record_ending(
                        now,
                        if flag { Ending::Ok } else { Ending::TimedOut },
                        wait_ms * MILLISECOND
                    );
                }
                6 if in_flight > 0 => {
                    in_flight -= 1;
                    site.record_ending(now, if flag { Ending::Full } else { Ending::Cancelled }, 0);
                }
                7 if flag => site.on_link_lost(now),
                _ => site.record_ping(wait_ms * MILLISECOND / 10),
            }
            prop_assert_eq!(site.status(now).in_flight, in_flight);
            prop_assert!(in_flight <= 10);
        }
    }
}
