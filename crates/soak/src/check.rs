//! The rules, held against a ledger.

use crate::ledger::{
    AttemptRecord, Effect, Outcome, ProcessRecord, Records, RequestRecord, StalledClient, Time, Treatment,
};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// What this side's own threads may be late, on a busy machine.
const HARNESS_SLACK: Duration = Duration::from_millis(120);
/// An answer may come so long after its time and only earn nothing.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// A server that drains gets nothing new after this.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Nothing begins so long after its client has left.
const LEFT_GRACE: Duration = Duration::from_millis(100);
/// The timeout announced to a server may exceed what its client has left by this.
const ANNOUNCED_SLACK: Duration = Duration::from_millis(150);
/// Servers know a key again for this long.
pub const KEY_WINDOW: Duration = Duration::from_millis(1_000);
/// Clients that stop in the middle of a request get their error or close within this.
const STALLED_WITHIN: Duration = Duration::from_secs(3);
/// A process that starts is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// New connections come for so long after SIGTERM.
const STILL_COME: Duration = Duration::from_millis(400);
/// The exit status of a process that has no handler for SIGTERM yet.
const ENDED_BY_SIGTERM: &str = "signal: 15 (SIGTERM)";
/// SIGKILL may come so long after SIGTERM: the longest deadline, 3 s, and 0.7 s more.
pub const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// Which rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer in time for each request.
    Answered,
    /// The answer is one that a server made for this request.
    OwnAnswer,
    /// No effect twice beyond its class.
    RunOnce,
    /// One attempt at a time.
    OneAtATime,
    /// Nothing new to a server that drains.
    Drained,
    /// Nothing begins for a client that has left.
    ClientLeft,
    /// The deadline announced to a server is what the client has left.
    AnnouncedDeadline,
    /// Clients that stop in the middle of a request are let go.
    StalledClient,
    /// Processes start, end as they are asked to, and do not crash.
    Process,
    /// A process has counted a broken rule of its own, or a panic.
    SelfReported,
}

/// A rule that was broken, with the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// What was seen.
    pub evidence: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.evidence)
    }
}

/// All violations in these records; `end` is when the run ended.
pub fn check(records: &Records, end: Time) -> Vec<Violation> {
    let index = Index::new(records);
    let mut found = Vec::new();
    for request in &records.requests {
        found.extend(check_answer(request, &index));
        found.extend(check_runs(request, &index));
        found.extend(check_one_at_a_time(request, &index));
        for attempt in index.attempts_of(request) {
            found.extend(check_attempt(request, attempt, records));
        }
    }
    found.extend(records.stalled.iter().filter_map(|client| check_stalled(client, &index, end)));
    found.extend(records.processes.iter().filter_map(|process| check_process(process, end)));
    let collect_self_reports = |text: &String| Violation { rule: Rule::SelfReported, evidence: text.clone() };
    found.extend(records.self_reports.iter().map(collect_self_reports));
    found
}

struct Index<'r> {
    attempts: HashMap<u64, Vec<&'r AttemptRecord>>,
    processes: HashMap<usize, &'r ProcessRecord>,
    records: &'r Records,
}

impl<'r> Index<'r> {
    fn new(records: &'r Records) -> Self {
        let mut attempts: HashMap<u64, Vec<&AttemptRecord>> = HashMap::new();
        for attempt in &records.attempts {
            attempts.entry(attempt.id).or_default().push(attempt);
        }
        for all in attempts.values_mut() {
            all.sort_by_key(|attempt| attempt.whole_at);
        }
        let processes = records.processes.iter().map(|process| (process.process, process)).collect();
        Index { attempts, processes, records }
    }

    fn attempts_of(&self, request: &RequestRecord) -> &[&'r AttemptRecord] {
        self.attempts.get(&request.id).map_or(&[], Vec::as_slice)
    }

    /// Whether the process was killed, without a chance to answer, before this time.
    fn killed_before(&self, process: usize, time: Time) -> bool {
        let killed = self.processes.get(&process).and_then(|process| process.killed_at);
        killed.is_some_and(|at| at <= time + HARNESS_SLACK)
    }

    fn terminated_at(&self, process: usize) -> Option<Time> {
        self.processes.get(&process).and_then(|process| process.terminated_at)
    }
}

fn violation(rule: Rule, request: &RequestRecord, index: &Index<'_>, what: &str) -> Option<Violation> {
    let attempts = index.attempts_of(request);
    Some(Violation { rule, evidence: format!("{what}: {request:?}; its attempts: {attempts:?}") })
}

fn check_answer(request: &RequestRecord, index: &Index<'_>) -> Option<Violation> {
    if index.killed_before(request.process, request.ended_at) {
        return None;
    }
    let latest = request.sent_at + request.patience + ANSWER_SLACK + HARNESS_SLACK;
    match request.outcome {
        Outcome::Answered { status: 200, own: false } => {
            violation(Rule::OwnAnswer, request, index, "an answer that is another request's")
        }
        Outcome::Answered { .. } if request.ended_at > latest => {
            violation(Rule::Answered, request, index, "answered late")
        }
        Outcome::Answered { .. } | Outcome::NotSent | Outcome::Left => None,
        Outcome::Silence => violation(Rule::Answered, request, index, "never answered"),
        Outcome::Cut => violation(Rule::Answered, request, index, "its answer was cut"),
        Outcome::Closed => check_close(request, index),
    }
}

/// A connection that ended without an answer: a close between requests may cross a request that was not read.
fn check_close(request: &RequestRecord, index: &Index<'_>) -> Option<Violation> {
    if !index.attempts_of(request).is_empty() {
        return violation(Rule::Answered, request, index, "sent on, and its connection closed");
    }
    let late = index.terminated_at(request.process).is_some_and(|at| request.connected_at > at + STILL_COME);
    let crowded = index.records.crowded.contains(&request.process);
    match request.reused || late || crowded {
        true => None,
        false => violation(Rule::Answered, request, index, "its new connection closed without an answer"),
    }
}

fn check_runs(request: &RequestRecord, index: &Index<'_>) -> Option<Violation> {
    let attempts = index.attempts_of(request);
    let mut ran = attempts.iter().filter(|attempt| attempt.treatment == Treatment::Ran);
    let first = ran.next()?;
    match request.effect {
        Effect::Safe => None,
        Effect::Unsafe if ran.next().is_some() => violation(Rule::RunOnce, request, index, "run twice"),
        Effect::Unsafe => None,
        Effect::Keyed => {
            let until = first.first_byte_at + KEY_WINDOW + HARNESS_SLACK;
            match ran.any(|later| later.first_byte_at > until) {
                true => violation(Rule::RunOnce, request, index, "run again after its window"),
                false => None,
            }
        }
    }
}

fn check_one_at_a_time(request: &RequestRecord, index: &Index<'_>) -> Option<Violation> {
    let overlap = index.attempts_of(request).windows(2).any(|pair| {
        let closed_at = pair[0].ended_at.unwrap_or(Time::MAX);
        pair[1].whole_at + HARNESS_SLACK < closed_at
    });
    match overlap {
        true => violation(Rule::OneAtATime, request, index, "two attempts open at once"),
        false => None,
    }
}

fn check_attempt(
    request: &RequestRecord,
    attempt: &AttemptRecord,
    records: &Records,
) -> impl Iterator<Item = Violation> {
    let evidence = |rule, what: &str| {
        Some(Violation { rule, evidence: format!("{what}: {attempt:?}; its request: {request:?}") })
    };
    let notified_draining = records.notified_draining.get(&(request.process, attempt.server));
    let drained =
        notified_draining.is_some_and(|at| attempt.first_byte_at > *at + DRAIN_GRACE + HARNESS_SLACK);
    let left =
        request.outcome == Outcome::Left && attempt.whole_at > request.ended_at + LEFT_GRACE + HARNESS_SLACK;
    let remaining = (request.sent_at + request.patience).saturating_sub(attempt.first_byte_at);
    let announced_more = attempt
        .announced_timeout
        .is_some_and(|announced| announced > remaining + ANNOUNCED_SLACK + HARNESS_SLACK);
    [
        drained.then(|| evidence(Rule::Drained, "sent to a server that drains")).flatten(),
        left.then(|| evidence(Rule::ClientLeft, "begun for a client that had left")).flatten(),
        announced_more
            .then(|| evidence(Rule::AnnouncedDeadline, "announced more time than is left"))
            .flatten(),
    ]
    .into_iter()
    .flatten()
}

fn check_stalled(client: &StalledClient, index: &Index<'_>, end: Time) -> Option<Violation> {
    let due = client.stopped_at + STALLED_WITHIN + HARNESS_SLACK;
    let freed_at = client.freed_at.unwrap_or(end);
    let ended = index.killed_before(client.process, due);
    let late = freed_at > due && !ended;
    let evidence = || format!("a client that stopped is held for over 3 s: {client:?}");
    late.then(|| Violation { rule: Rule::StalledClient, evidence: evidence() })
}

fn check_process(process: &ProcessRecord, end: Time) -> Option<Violation> {
    let fails =
        |what: &str| Some(Violation { rule: Rule::Process, evidence: format!("{what}: {process:?}") });
    // One that is asked to end before it has taken anything may end as the system does that: it has not crashed.
    let asked_in_its_start = process.terminated_at.is_some() && process.ready_at.is_none();
    let failure = process.failure.as_deref();
    let crashed = failure.is_some_and(|status| !(asked_in_its_start && status == ENDED_BY_SIGTERM));
    if crashed && process.killed_at.is_none() {
        return fails("it ended badly");
    }
    let asked_to_end = process.terminated_at.or(process.killed_at);
    if process.ended_at.is_some() && asked_to_end.is_none() {
        return fails("it ended by itself");
    }
    let gone_by = process.terminated_at.map(|at| at + KILL_AFTER + HARNESS_SLACK);
    if gone_by.is_some_and(|by| by < end && process.ended_at.is_none_or(|at| at > by)) {
        return fails("it did not end in time");
    }
    let ready_by = process.started_at + READY_WITHIN;
    let lived = asked_to_end.unwrap_or(end) > ready_by;
    match lived && !process.started_blind && process.ready_at.is_none_or(|at| at > ready_by) {
        true => fails("it was not ready in time"),
        false => None,
    }
}
