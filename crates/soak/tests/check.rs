//! Each rule catches what breaks it, and lets pass what the terms allow.

use corkhollow_soak::check::{check, Rule};
use corkhollow_soak::ledger::{
    AttemptRecord, Effect, Outcome, ProcessRecord, Records, RequestRecord, StalledClient, Time, Treatment,
};
use std::time::Duration;

const END: Time = Duration::from_secs(60);

fn ms(time: u64) -> Time {
    Duration::from_millis(time)
}

fn request(outcome: Outcome, ended_at: u64) -> RequestRecord {
    RequestRecord {
        id: 7,
        process: 0,
        effect: Effect::Unsafe,
        connected_at: ms(900),
        reused: false,
        sent_at: ms(1_000),
        patience: ms(500),
        ended_at: ms(ended_at),
        outcome,
    }
}

fn served() -> RequestRecord {
    request(Outcome::Answered { status: 200, own: true }, 1_020)
}

fn attempt(whole_at: u64, ended_at: u64) -> AttemptRecord {
    AttemptRecord {
        id: 7,
        server: 3,
        first_byte_at: ms(whole_at),
        whole_at: ms(whole_at),
        ended_at: Some(ms(ended_at)),
        announced_timeout: Some(ms(490)),
        treatment: Treatment::Ran,
    }
}

fn process() -> ProcessRecord {
    ProcessRecord {
        process: 0,
        started_at: ms(0),
        ready_at: Some(ms(50)),
        started_blind: false,
        terminated_at: Some(ms(50_000)),
        killed_at: None,
        ended_at: Some(ms(50_700)),
        failure: None,
    }
}

fn records(request: RequestRecord, attempts: Vec<AttemptRecord>) -> Records {
    Records { requests: vec![request], attempts, processes: vec![process()], ..Records::default() }
}

fn broken(records: &Records) -> Vec<Rule> {
    check(records, END).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_request_that_is_served_breaks_nothing() {
    assert_eq!(broken(&records(served(), vec![attempt(1_005, 1_015)])), []);
}

#[test]
fn answers_are_there_in_time_and_the_requests_own() {
    let late = request(Outcome::Answered { status: 504, own: false }, 2_200);
    assert_eq!(broken(&records(late, vec![])), [Rule::Answered]);
    let refused = request(Outcome::Answered { status: 503, own: false }, 1_400);
    assert_eq!(broken(&records(refused, vec![])), []);
    for outcome in [Outcome::Silence, Outcome::Cut] {
        assert_eq!(broken(&records(request(outcome, 4_000), vec![])), [Rule::Answered], "{outcome:?}");
    }
    let other = request(Outcome::Answered { status: 200, own: false }, 1_020);
    assert_eq!(broken(&records(other, vec![attempt(1_005, 1_015)])), [Rule::OwnAnswer]);
}

#[test]
fn a_close_may_cross_a_request_on_a_kept_connection_that_nobody_has_read() {
    let closed = request(Outcome::Closed, 1_010);
    assert_eq!(broken(&records(closed.clone(), vec![])), [Rule::Answered], "on a new connection");
    let reused = RequestRecord { reused: true, ..closed.clone() };
    assert_eq!(broken(&records(reused.clone(), vec![])), []);
    assert_eq!(broken(&records(reused, vec![attempt(1_005, 1_008)])), [Rule::Answered], "it was read");
    let mut killed = records(closed.clone(), vec![attempt(1_005, 1_008)]);
    killed.processes[0].killed_at = Some(ms(1_009));
    assert_eq!(broken(&killed), []);
    let mut crowded = records(closed, vec![]);
    crowded.crowded.insert(0);
    assert_eq!(broken(&crowded), []);
}

#[test]
fn effects_come_once_and_attempts_one_at_a_time() {
    let twice = vec![attempt(1_005, 1_010), attempt(1_200, 1_210)];
    assert_eq!(broken(&records(served(), twice.clone())), [Rule::RunOnce]);
    let with = |effect| RequestRecord { effect, ..served() };
    assert_eq!(broken(&records(with(Effect::Keyed), twice.clone())), []);
    assert_eq!(broken(&records(with(Effect::Safe), twice.clone())), []);
    let mut turned_away = twice.clone();
    turned_away[0].treatment = Treatment::TurnedAway;
    assert_eq!(broken(&records(served(), turned_away)), []);
    let mut patient = RequestRecord { patience: ms(3_000), ..with(Effect::Keyed) };
    patient.ended_at = ms(2_300);
    let forgotten = vec![attempt(1_005, 1_010), attempt(2_200, 2_210)];
    assert_eq!(broken(&records(patient, forgotten)), [Rule::RunOnce]);
    let overlapping = vec![attempt(1_005, 1_400), attempt(1_200, 1_210)];
    assert_eq!(broken(&records(with(Effect::Safe), overlapping)), [Rule::OneAtATime]);
}

#[test]
fn attempts_keep_to_drains_to_clients_and_to_deadlines() {
    let mut drained = records(served(), vec![attempt(1_005, 1_015)]);
    drained.notified_draining.insert((0, 3), ms(500));
    assert_eq!(broken(&drained), [Rule::Drained]);
    drained.notified_draining.insert((0, 3), ms(800));
    assert_eq!(broken(&drained), []);
    let left = request(Outcome::Left, 1_010);
    let late = AttemptRecord { announced_timeout: None, ..attempt(1_300, 1_310) };
    assert_eq!(broken(&records(left.clone(), vec![late])), [Rule::ClientLeft]);
    assert_eq!(broken(&records(left, vec![attempt(1_100, 1_110)])), []);
    let generous = AttemptRecord { announced_timeout: Some(ms(500)), ..attempt(1_300, 1_310) };
    let slow = request(Outcome::Answered { status: 200, own: true }, 1_320);
    assert_eq!(broken(&records(slow, vec![generous])), [Rule::AnnouncedDeadline]);
}

#[test]
fn stalled_clients_are_let_go() {
    let stalled =
        |freed_at| StalledClient { process: 0, stopped_in: "its head", stopped_at: ms(1_000), freed_at };
    let with = |client| Records { stalled: vec![client], ..Records::default() };
    assert_eq!(broken(&with(stalled(Some(ms(3_900))))), []);
    assert_eq!(broken(&with(stalled(Some(ms(4_500))))), [Rule::StalledClient]);
    assert_eq!(broken(&with(stalled(None))), [Rule::StalledClient]);
}

#[test]
fn processes_start_and_end_as_they_are_told() {
    let with = |process| Records { processes: vec![process], ..Records::default() };
    assert_eq!(broken(&with(process())), []);
    let crashed = ProcessRecord { failure: Some("signal: 1".into()), terminated_at: None, ..process() };
    let alone = ProcessRecord { terminated_at: None, ..process() };
    let slow_end = ProcessRecord { ended_at: Some(ms(54_000)), ..process() };
    let slow_start = ProcessRecord { ready_at: Some(ms(11_000)), ..process() };
    for bad in [crashed, alone, slow_end, slow_start.clone()] {
        assert_eq!(broken(&with(bad.clone())), [Rule::Process], "{bad:?}");
    }
    assert_eq!(broken(&with(ProcessRecord { started_blind: true, ..slow_start })), []);
    let ended_by_signal = ProcessRecord { failure: Some("signal: 15 (SIGTERM)".into()), ..process() };
    assert_eq!(broken(&with(ended_by_signal.clone())), [Rule::Process], "it was ready");
    let (terminated_at, ended_at) = (Some(ms(2)), Some(ms(8)));
    let in_its_start = ProcessRecord { ready_at: None, terminated_at, ended_at, ..ended_by_signal };
    assert_eq!(broken(&with(in_its_start.clone())), []);
    let hung_up = ProcessRecord { failure: Some("signal: 1 (SIGHUP)".into()), ..in_its_start };
    assert_eq!(broken(&with(hung_up)), [Rule::Process]);
    let self_reported = Records { self_reports: vec!["a panic".into()], ..Records::default() };
    assert_eq!(broken(&self_reported), [Rule::SelfReported]);
}
