//! Each rule detects its violation and accepts what the specification allows.

use corkhollow_soak::check::{check, Rule};
use corkhollow_soak::records::{
    AttemptRecord, Effect, Outcome, ProcessRecord, Records, RequestRecord, StalledClient, Timestamp,
    Treatment,
};
use std::time::Duration;

const END: Timestamp = Duration::from_secs(60);

fn ms(time: u64) -> Timestamp {
    Duration::from_millis(time)
}

fn request(outcome: Outcome, ended_at: u64) -> RequestRecord {
    RequestRecord {
        id: 7,
        process: 0,
        effect: Effect::Unsafe,
        connected_at: ms(900),
        connection_reused: false,
        sent_at: ms(1_000),
        timeout: ms(500),
        ended_at: ms(ended_at),
        outcome,
    }
}

fn answered_request() -> RequestRecord {
    request(Outcome::Answered { status: 200, is_own: true }, 1_020)
}

fn attempt(received_at: u64, ended_at: u64) -> AttemptRecord {
    AttemptRecord {
        id: 7,
        server: 3,
        first_byte_at: ms(received_at),
        received_at: ms(received_at),
        ended_at: Some(ms(ended_at)),
        announced_timeout: Some(ms(490)),
        treatment: Treatment::Executed,
    }
}

fn process() -> ProcessRecord {
    ProcessRecord {
        process: 0,
        started_at: ms(0),
        ready_at: Some(ms(50)),
        started_without_discovery: false,
        terminated_at: Some(ms(50_000)),
        killed_at: None,
        ended_at: Some(ms(50_700)),
        failure: None,
    }
}

fn records(request: RequestRecord, attempts: Vec<AttemptRecord>) -> Records {
    Records { requests: vec![request], attempts, processes: vec![process()], ..Records::default() }
}

fn violated_rules(records: &Records) -> Vec<Rule> {
    check(records, END).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn an_answered_request_violates_no_rule() {
    assert_eq!(violated_rules(&records(answered_request(), vec![attempt(1_005, 1_015)])), []);
}

#[test]
fn answers_must_be_timely_and_match_their_request() {
    let late = request(Outcome::Answered { status: 504, is_own: false }, 2_200);
    assert_eq!(violated_rules(&records(late, vec![])), [Rule::AnsweredInTime]);
    let refused = request(Outcome::Answered { status: 503, is_own: false }, 1_400);
    assert_eq!(violated_rules(&records(refused, vec![])), []);
    for outcome in [Outcome::NoAnswer, Outcome::Truncated] {
        assert_eq!(
            violated_rules(&records(request(outcome, 4_000), vec![])),
            [Rule::AnsweredInTime],
            "{outcome:?}"
        );
    }
    let other = request(Outcome::Answered { status: 200, is_own: false }, 1_020);
    assert_eq!(violated_rules(&records(other, vec![attempt(1_005, 1_015)])), [Rule::AnswerMatchesRequest]);
}

#[test]
fn a_close_is_allowed_only_on_a_reused_connection_without_attempts() {
    let closed = request(Outcome::Closed, 1_010);
    assert_eq!(
        violated_rules(&records(closed.clone(), vec![])),
        [Rule::AnsweredInTime],
        "on a new connection"
    );
    let reused = RequestRecord { connection_reused: true, ..closed.clone() };
    assert_eq!(violated_rules(&records(reused.clone(), vec![])), []);
    assert_eq!(
        violated_rules(&records(reused, vec![attempt(1_005, 1_008)])),
        [Rule::AnsweredInTime],
        "an attempt was made"
    );
    let mut killed = records(closed.clone(), vec![attempt(1_005, 1_008)]);
    killed.processes[0].killed_at = Some(ms(1_009));
    assert_eq!(violated_rules(&killed), []);
    let mut flooded = records(closed, vec![]);
    flooded.flooded_processes.insert(0);
    assert_eq!(violated_rules(&flooded), []);
}

#[test]
fn unsafe_requests_execute_once_and_attempts_do_not_overlap() {
    let twice = vec![attempt(1_005, 1_010), attempt(1_200, 1_210)];
    assert_eq!(violated_rules(&records(answered_request(), twice.clone())), [Rule::ExecutedOnce]);
    let with = |effect| RequestRecord { effect, ..answered_request() };
    assert_eq!(violated_rules(&records(with(Effect::Keyed), twice.clone())), []);
    assert_eq!(violated_rules(&records(with(Effect::Safe), twice.clone())), []);
    let mut rejected = twice.clone();
    rejected[0].treatment = Treatment::Rejected;
    assert_eq!(violated_rules(&records(answered_request(), rejected)), []);
    let mut long_request = RequestRecord { timeout: ms(3_000), ..with(Effect::Keyed) };
    long_request.ended_at = ms(2_300);
    let after_window = vec![attempt(1_005, 1_010), attempt(2_200, 2_210)];
    assert_eq!(violated_rules(&records(long_request, after_window)), [Rule::ExecutedOnce]);
    let overlapping = vec![attempt(1_005, 1_400), attempt(1_200, 1_210)];
    assert_eq!(violated_rules(&records(with(Effect::Safe), overlapping)), [Rule::OneAttemptAtATime]);
}

#[test]
fn attempts_respect_drains_departed_clients_and_deadlines() {
    let mut drained = records(answered_request(), vec![attempt(1_005, 1_015)]);
    drained.notified_draining.insert((0, 3), ms(500));
    assert_eq!(violated_rules(&drained), [Rule::NoAttemptWhileDraining]);
    drained.notified_draining.insert((0, 3), ms(800));
    assert_eq!(violated_rules(&drained), []);
    let left = request(Outcome::ClientLeft, 1_010);
    let late = AttemptRecord { announced_timeout: None, ..attempt(1_300, 1_310) };
    assert_eq!(violated_rules(&records(left.clone(), vec![late])), [Rule::NoAttemptAfterClientLeft]);
    assert_eq!(violated_rules(&records(left, vec![attempt(1_100, 1_110)])), []);
    let excessive_timeout = AttemptRecord { announced_timeout: Some(ms(500)), ..attempt(1_300, 1_310) };
    let slow = request(Outcome::Answered { status: 200, is_own: true }, 1_320);
    assert_eq!(violated_rules(&records(slow, vec![excessive_timeout])), [Rule::AnnouncedDeadline]);
}

#[test]
fn stalled_clients_must_be_released() {
    let stalled = |released_at| StalledClient {
        process: 0,
        stalled_in: "request head",
        stalled_at: ms(1_000),
        released_at,
    };
    let with = |client| Records { stalled_clients: vec![client], ..Records::default() };
    assert_eq!(violated_rules(&with(stalled(Some(ms(3_900))))), []);
    assert_eq!(violated_rules(&with(stalled(Some(ms(4_500))))), [Rule::StalledClientReleased]);
    assert_eq!(violated_rules(&with(stalled(None))), [Rule::StalledClientReleased]);
}

#[test]
fn processes_must_become_ready_and_end_as_asked() {
    let with = |process| Records { processes: vec![process], ..Records::default() };
    assert_eq!(violated_rules(&with(process())), []);
    let crashed = ProcessRecord { failure: Some("signal: 1".into()), terminated_at: None, ..process() };
    let ended_unasked = ProcessRecord { terminated_at: None, ..process() };
    let slow_end = ProcessRecord { ended_at: Some(ms(54_000)), ..process() };
    let slow_start = ProcessRecord { ready_at: Some(ms(11_000)), ..process() };
    for violating in [crashed, ended_unasked, slow_end, slow_start.clone()] {
        assert_eq!(violated_rules(&with(violating.clone())), [Rule::ProcessLifecycle], "{violating:?}");
    }
    assert_eq!(violated_rules(&with(ProcessRecord { started_without_discovery: true, ..slow_start })), []);
    let ended_by_sigterm = ProcessRecord { failure: Some("signal: 15 (SIGTERM)".into()), ..process() };
    assert_eq!(violated_rules(&with(ended_by_sigterm.clone())), [Rule::ProcessLifecycle], "it was ready");
    let (terminated_at, ended_at) = (Some(ms(2)), Some(ms(8)));
    let during_start = ProcessRecord { ready_at: None, terminated_at, ended_at, ..ended_by_sigterm };
    assert_eq!(violated_rules(&with(during_start.clone())), []);
    let ended_by_sighup = ProcessRecord { failure: Some("signal: 1 (SIGHUP)".into()), ..during_start };
    assert_eq!(violated_rules(&with(ended_by_sighup)), [Rule::ProcessLifecycle]);
    let self_reported = Records { self_reports: vec!["a panic".into()], ..Records::default() };
    assert_eq!(violated_rules(&self_reported), [Rule::SelfReported]);
}
