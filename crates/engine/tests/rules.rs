//! Each rule on sending, repeating and refusing requests.

use corkhollow_balance::interface::{Effect, Ending, Group, Nanos, Phase, Server, ServerId};
use corkhollow_engine::rules::{
    may_refuse, may_send, AttemptState, Denial, RequestState, RetryPolicy, SentAttempt,
};

const MS: Nanos = 1_000_000;
const NOW: Nanos = 1_000 * MS;

fn policy(effect: Effect, group: Group) -> RetryPolicy {
    RetryPolicy { effect, group, window: 500 * MS, hedging: false, max_attempts: 3 }
}

fn request_state(policy: RetryPolicy) -> RequestState {
    RequestState { policy, is_awaited: true, deadline: NOW + 1 }
}

fn server(id: u64, zone: u8) -> Server {
    Server { zone, cell: u16::from(zone), ..Server::warm(ServerId(id)) }
}

fn ended_attempt(ending: Ending, sent_at: Nanos) -> SentAttempt {
    SentAttempt { server: server(0, 0), sent_at, state: AttemptState::Ended(ending) }
}

#[test]
fn a_request_that_is_answered_or_past_its_deadline_gets_no_attempt() {
    let state = request_state(policy(Effect::Safe, Group::All));
    let check = |state| may_send(NOW, state, [].iter(), Some(&server(1, 0)));
    assert_eq!(check(state), Ok(()));
    assert_eq!(check(RequestState { is_awaited: false, ..state }), Err(Denial::RequestOver));
    assert_eq!(check(RequestState { deadline: NOW, ..state }), Err(Denial::OutOfTime));
}

#[test]
fn draining_removed_and_unknown_servers_get_no_attempt() {
    let state = request_state(policy(Effect::Safe, Group::All));
    for phase in [Phase::Draining, Phase::Removed] {
        let server = Server { phase, ..server(1, 0) };
        assert_eq!(may_send(NOW, state, [].iter(), Some(&server)), Err(Denial::ServerNotReady));
    }
    assert_eq!(may_send(NOW, state, [].iter(), None), Err(Denial::ServerNotReady));
}

#[test]
fn attempts_are_limited_and_only_hedging_allows_two_open_ones() {
    let state = request_state(policy(Effect::Safe, Group::All));
    let failed = ended_attempt(Ending::ConnectFailed, NOW);
    let open = SentAttempt { state: AttemptState::Open, ..failed };
    let check = |state, others: &[SentAttempt]| may_send(NOW, state, others.iter(), Some(&server(1, 0)));
    assert_eq!(check(state, &[failed; 2]), Ok(()));
    assert_eq!(check(state, &[failed; 3]), Err(Denial::TooManyAttempts));
    assert_eq!(check(state, &[open]), Err(Denial::AnotherAttemptOpen));
    let hedging = RequestState { policy: RetryPolicy { hedging: true, ..state.policy }, ..state };
    assert_eq!(check(hedging, &[open]), Ok(()));
}

/// Guards against running a request twice: only three endings prove that the server did not run it.
#[test]
fn a_request_that_may_have_run_is_repeated_only_if_its_effect_allows() {
    let same_zone = server(1, 0);
    for (ending, may_have_run) in [
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
        let check = |effect| {
            may_send(NOW, request_state(policy(effect, Group::All)), others.iter(), Some(&same_zone))
        };
        assert_eq!(check(Effect::Safe), Ok(()));
        assert_eq!(check(Effect::Keyed), Ok(()));
        assert_eq!(
            check(Effect::Unsafe),
            if may_have_run { Err(Denial::MayHaveRun) } else { Ok(()) },
            "{ending:?}"
        );
        assert_eq!(
            may_refuse(policy(Effect::Unsafe, Group::All), others.iter()),
            !may_have_run,
            "{ending:?}"
        );
        assert_eq!(
            may_refuse(policy(Effect::Keyed, Group::Zone), others.iter()),
            !may_have_run,
            "{ending:?}"
        );
        assert!(may_refuse(policy(Effect::Keyed, Group::All), others.iter()));
        assert!(may_refuse(policy(Effect::Safe, Group::All), others.iter()));
    }
}

/// Both the group and the window are those of the first attempt that may have run.
#[test]
fn keyed_requests_are_repeated_only_within_their_group_and_window() {
    let check = |group, now, others: &[SentAttempt], to: &Server| {
        let state = RequestState { deadline: Nanos::MAX, ..request_state(policy(Effect::Keyed, group)) };
        may_send(now, state, others.iter(), Some(to))
    };
    let (same_zone, other_zone) = (server(1, 0), server(2, 1));
    let others = [ended_attempt(Ending::ConnectFailed, NOW - 90 * MS), ended_attempt(Ending::Reset, NOW)];
    for (group, in_other_zone) in
        [(Group::All, Ok(())), (Group::Zone, Err(Denial::OtherGroup)), (Group::Cell, Err(Denial::OtherGroup))]
    {
        assert_eq!(check(group, NOW + 499 * MS, &others, &same_zone), Ok(()));
        assert_eq!(check(group, NOW + 499 * MS, &others, &other_zone), in_other_zone);
        assert_eq!(check(group, NOW + 500 * MS, &others, &same_zone), Err(Denial::WindowOver));
    }
    assert_eq!(
        check(Group::Zone, NOW + 900 * MS, &others[..1], &other_zone),
        Ok(()),
        "no attempt may have run"
    );
}
