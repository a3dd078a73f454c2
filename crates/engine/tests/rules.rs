//! The rules on requests under way, case by case.

use corkhollow_balance::interface::{Effect, Ending, Group, Nanos, Phase, Server, ServerId};
use corkhollow_engine::rules::{
    may_refuse, may_send, AttemptState, Denial, RequestState, RetryPolicy, SentAttempt,
};

const MS: Nanos = 1_000_000;
const NOW: Nanos = 1_000 * MS;

fn policy(effect: Effect, group: Group) -> RetryPolicy {
    RetryPolicy { effect, group, window: 500 * MS, hedging: false, max_attempts: 3 }
}

fn facts(policy: RetryPolicy) -> RequestState {
    RequestState { policy, is_awaited: true, deadline: NOW + 1 }
}

fn server(id: u64, zone: u8) -> Server {
    Server { zone, cell: u16::from(zone), ..Server::warm(ServerId(id)) }
}

fn ended_attempt(ending: Ending, sent_at: Nanos) -> SentAttempt {
    SentAttempt { server: server(0, 0), sent_at, state: AttemptState::Ended(ending) }
}

#[test]
fn a_request_that_is_over_or_out_of_time_gets_no_attempt() {
    let facts = facts(policy(Effect::Safe, Group::All));
    let ask = |facts| may_send(NOW, facts, [].iter(), Some(&server(1, 0)));
    assert_eq!(ask(facts), Ok(()));
    assert_eq!(ask(RequestState { is_awaited: false, ..facts }), Err(Denial::RequestOver));
    assert_eq!(ask(RequestState { deadline: NOW, ..facts }), Err(Denial::OutOfTime));
}

#[test]
fn servers_that_drain_or_are_unknown_get_nothing() {
    let facts = facts(policy(Effect::Safe, Group::All));
    for phase in [Phase::Draining, Phase::Removed] {
        let server = Server { phase, ..server(1, 0) };
        assert_eq!(may_send(NOW, facts, [].iter(), Some(&server)), Err(Denial::ServerNotReady));
    }
    assert_eq!(may_send(NOW, facts, [].iter(), None), Err(Denial::ServerNotReady));
}

#[test]
fn attempts_are_bounded_and_open_one_at_a_time_without_hedging() {
    let facts = facts(policy(Effect::Safe, Group::All));
    let failed = ended_attempt(Ending::ConnectFailed, NOW);
    let open = SentAttempt { state: AttemptState::Open, ..failed };
    let ask = |facts, others: &[SentAttempt]| may_send(NOW, facts, others.iter(), Some(&server(1, 0)));
    assert_eq!(ask(facts, &[failed; 2]), Ok(()));
    assert_eq!(ask(facts, &[failed; 3]), Err(Denial::TooManyAttempts));
    assert_eq!(ask(facts, &[open]), Err(Denial::AnotherAttemptOpen));
    let hedging = RequestState { policy: RetryPolicy { hedging: true, ..facts.policy }, ..facts };
    assert_eq!(ask(hedging, &[open]), Ok(()));
}

/// All endings that do not prove otherwise may have run, and so may what is open.
#[test]
fn what_may_have_run_is_repeated_as_its_effect_allows_only() {
    let near = server(1, 0);
    for (ending, ran) in [
        (Ending::Ok, true),
        (Ending::Error, true),
        (Ending::Rejected, true),
        (Ending::TimedOut, true),
        (Ending::Reset, true),
        (Ending::Cancelled, true),
        (Ending::Full, false),
        (Ending::ConnectFailed, false),
        (Ending::NotSent, false),
    ] {
        let others = [ended_attempt(ending, NOW - MS)];
        let ask = |effect| may_send(NOW, facts(policy(effect, Group::All)), others.iter(), Some(&near));
        assert_eq!(ask(Effect::Safe), Ok(()));
        assert_eq!(ask(Effect::Keyed), Ok(()));
        assert_eq!(ask(Effect::Unsafe), if ran { Err(Denial::MayHaveRun) } else { Ok(()) }, "{ending:?}");
        assert_eq!(may_refuse(policy(Effect::Unsafe, Group::All), others.iter()), !ran, "{ending:?}");
        assert_eq!(may_refuse(policy(Effect::Keyed, Group::Zone), others.iter()), !ran, "{ending:?}");
        assert!(may_refuse(policy(Effect::Keyed, Group::All), others.iter()));
        assert!(may_refuse(policy(Effect::Safe, Group::All), others.iter()));
    }
}

/// The window counts from the first attempt that may have run, and so does the group.
#[test]
fn keyed_requests_stay_in_their_group_and_window() {
    let ask = |group, now, others: &[SentAttempt], to: &Server| {
        let facts = RequestState { deadline: Nanos::MAX, ..facts(policy(Effect::Keyed, group)) };
        may_send(now, facts, others.iter(), Some(to))
    };
    let (near, far) = (server(1, 0), server(2, 1));
    let others = [ended_attempt(Ending::ConnectFailed, NOW - 90 * MS), ended_attempt(Ending::Reset, NOW)];
    for (group, elsewhere) in
        [(Group::All, Ok(())), (Group::Zone, Err(Denial::OtherGroup)), (Group::Cell, Err(Denial::OtherGroup))]
    {
        assert_eq!(ask(group, NOW + 499 * MS, &others, &near), Ok(()));
        assert_eq!(ask(group, NOW + 499 * MS, &others, &far), elsewhere);
        assert_eq!(ask(group, NOW + 500 * MS, &others, &near), Err(Denial::WindowOver));
    }
    assert_eq!(ask(Group::Zone, NOW + 900 * MS, &others[..1], &far), Ok(()), "none may have run");
}
