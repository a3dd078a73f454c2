//! Checks the records of a run against the rules.

use crate::records::{
    AttemptRecord, Effect, Outcome, ProcessRecord, Records, RequestRecord, StalledClient, Timestamp,
    Treatment,
};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Delay that the threads of the soak test may add on a busy machine.
const HARNESS_SLACK: Duration = Duration::from_millis(120);
/// Tolerated delay of a response after the request's deadline.
const LATE_ANSWER_TOLERANCE: Duration = Duration::from_millis(500);
/// No attempt may begin later than this after the process was told that the server drains.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// No attempt may begin later than this after the client left.
const CLIENT_LEFT_GRACE: Duration = Duration::from_millis(100);
/// Tolerated excess of the timeout announced to a server over the client's remaining time.
const ANNOUNCED_TIMEOUT_TOLERANCE: Duration = Duration::from_millis(150);
/// Servers recognize a repeated idempotency key for this long.
pub const IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(1_000);
/// Stalled clients must get an error or be disconnected within this time.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// A started process must be ready within this time.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long new connections reach a process after SIGTERM; later ones may be closed unanswered.
const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(400);
/// Exit status of a process that gets SIGTERM before it installs a handler.
const SIGTERM_EXIT_STATUS: &str = "signal: 15 (SIGTERM)";
/// Earliest SIGKILL after SIGTERM: the longest deadline of 3 s and 0.7 s more.
pub const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one complete response in time.
    AnsweredInTime,
    /// A successful response belongs to the request.
    AnswerMatchesRequest,
    /// No request is executed more often than its effect allows.
    ExecutedOnce,
    /// Attempts of a request do not overlap.
    OneAttemptAtATime,
    /// A draining server gets no new attempts.
    NoAttemptWhileDraining,
    /// No attempt begins for a client that has left.
    NoAttemptAfterClientLeft,
    /// The timeout announced to a server does not exceed the client's remaining time.
    AnnouncedDeadline,
    /// Stalled clients are disconnected.
    StalledClientReleased,
    /// Processes become ready, end when asked to, and do not crash.
    ProcessLifecycle,
    /// No process reports a fault of its own in its log or metrics, or exceeds its descriptors.
    SelfReported,
}

/// A violated rule with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// What was observed.
    pub evidence: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.evidence)
    }
}

/// All violations in these records. `end` is the end of the run.
pub fn check(records: &Records, end: Timestamp) -> Vec<Violation> {
    let index = RecordIndex::new(records);
    let mut violations = Vec::new();
    for request in &records.requests {
        violations.extend(check_answer(request, &index));
        violations.extend(check_executions(request, &index));
        violations.extend(check_one_at_a_time(request, &index));
        for attempt in index.attempts_of(request) {
            violations.extend(check_attempt(request, attempt, records));
        }
    }
    violations.extend(records.stalled_clients.iter().filter_map(|client| check_stalled(client, &index, end)));
    violations.extend(records.processes.iter().filter_map(|process| check_process(process, end)));
    let self_report_violation =
        |text: &String| Violation { rule: Rule::SelfReported, evidence: text.clone() };
    violations.extend(records.self_reports.iter().map(self_report_violation));
    violations
}

struct RecordIndex<'r> {
    attempts: HashMap<u64, Vec<&'r AttemptRecord>>,
    processes: HashMap<usize, &'r ProcessRecord>,
    records: &'r Records,
}

impl<'r> RecordIndex<'r> {
    fn new(records: &'r Records) -> Self {
        let mut attempts: HashMap<u64, Vec<&AttemptRecord>> = HashMap::new();
        for attempt in &records.attempts {
            attempts.entry(attempt.id).or_default().push(attempt);
        }
        for request_attempts in attempts.values_mut() {
            request_attempts.sort_by_key(|attempt| attempt.received_at);
        }
        let processes = records.processes.iter().map(|process| (process.process, process)).collect();
        RecordIndex { attempts, processes, records }
    }

    fn attempts_of(&self, request: &RequestRecord) -> &[&'r AttemptRecord] {
        self.attempts.get(&request.id).map_or(&[], Vec::as_slice)
    }

    /// Whether the process was killed by this time, and so may not have answered.
    fn killed_before(&self, process: usize, time: Timestamp) -> bool {
        let killed = self.processes.get(&process).and_then(|process| process.killed_at);
        killed.is_some_and(|at| at <= time + HARNESS_SLACK)
    }

    fn terminated_at(&self, process: usize) -> Option<Timestamp> {
        self.processes.get(&process).and_then(|process| process.terminated_at)
    }
}

fn violation(rule: Rule, request: &RequestRecord, index: &RecordIndex<'_>, what: &str) -> Option<Violation> {
    let attempts = index.attempts_of(request);
    Some(Violation { rule, evidence: format!("{what}: {request:?}; its attempts: {attempts:?}") })
}

fn check_answer(request: &RequestRecord, index: &RecordIndex<'_>) -> Option<Violation> {
    if index.killed_before(request.process, request.ended_at) {
        return None;
    }
    let latest = request.sent_at + request.timeout + LATE_ANSWER_TOLERANCE + HARNESS_SLACK;
    match request.outcome {
        Outcome::Answered { status: 200, is_own: false } => {
            violation(Rule::AnswerMatchesRequest, request, index, "answer belongs to another request")
        }
        Outcome::Answered { .. } if request.ended_at > latest => {
            violation(Rule::AnsweredInTime, request, index, "answered late")
        }
        Outcome::Answered { .. } | Outcome::NotSent | Outcome::ClientLeft => None,
        Outcome::NoAnswer => violation(Rule::AnsweredInTime, request, index, "never answered"),
        Outcome::Truncated => violation(Rule::AnsweredInTime, request, index, "answer truncated"),
        Outcome::Closed => check_close(request, index),
    }
}

/// Checks a connection that ended without a response. Closing a reused connection may race with a new
/// request, which is allowed if no attempt was made.
fn check_close(request: &RequestRecord, index: &RecordIndex<'_>) -> Option<Violation> {
    if !index.attempts_of(request).is_empty() {
        return violation(
            Rule::AnsweredInTime,
            request,
            index,
            "attempted, then its connection closed without an answer",
        );
    }
    let is_late = index
        .terminated_at(request.process)
        .is_some_and(|at| request.connected_at > at + CONNECTIONS_AFTER_SIGTERM);
    let is_flooded = index.records.flooded_processes.contains(&request.process);
    match request.connection_reused || is_late || is_flooded {
        true => None,
        false => violation(Rule::AnsweredInTime, request, index, "new connection closed without an answer"),
    }
}

fn check_executions(request: &RequestRecord, index: &RecordIndex<'_>) -> Option<Violation> {
    let attempts = index.attempts_of(request);
    let mut executions = attempts.iter().filter(|attempt| attempt.treatment == Treatment::Executed);
    let first = executions.next()?;
    match request.effect {
        Effect::Safe => None,
        Effect::Unsafe if executions.next().is_some() => {
            violation(Rule::ExecutedOnce, request, index, "executed twice")
        }
        Effect::Unsafe => None,
        Effect::Keyed => {
            let window_end = first.first_byte_at + IDEMPOTENCY_WINDOW + HARNESS_SLACK;
            match executions.any(|later| later.first_byte_at > window_end) {
                true => violation(
                    Rule::ExecutedOnce,
                    request,
                    index,
                    "executed again after the idempotency window",
                ),
                false => None,
            }
        }
    }
}

fn check_one_at_a_time(request: &RequestRecord, index: &RecordIndex<'_>) -> Option<Violation> {
    let has_overlap = index.attempts_of(request).windows(2).any(|pair| {
        let closed_at = pair[0].ended_at.unwrap_or(Timestamp::MAX);
        pair[1].received_at + HARNESS_SLACK < closed_at
    });
    match has_overlap {
        true => violation(Rule::OneAttemptAtATime, request, index, "overlapping attempts"),
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
    let sent_while_draining =
        notified_draining.is_some_and(|at| attempt.first_byte_at > *at + DRAIN_GRACE + HARNESS_SLACK);
    let begun_after_client_left = request.outcome == Outcome::ClientLeft
        && attempt.received_at > request.ended_at + CLIENT_LEFT_GRACE + HARNESS_SLACK;
    let remaining = (request.sent_at + request.timeout).saturating_sub(attempt.first_byte_at);
    let exceeds_remaining = attempt
        .announced_timeout
        .is_some_and(|announced| announced > remaining + ANNOUNCED_TIMEOUT_TOLERANCE + HARNESS_SLACK);
    [
        sent_while_draining
            .then(|| evidence(Rule::NoAttemptWhileDraining, "attempt sent to a draining server"))
            .flatten(),
        begun_after_client_left
            .then(|| evidence(Rule::NoAttemptAfterClientLeft, "attempt begun after the client left"))
            .flatten(),
        exceeds_remaining
            .then(|| evidence(Rule::AnnouncedDeadline, "announced timeout exceeds the remaining time"))
            .flatten(),
    ]
    .into_iter()
    .flatten()
}

fn check_stalled(client: &StalledClient, index: &RecordIndex<'_>, end: Timestamp) -> Option<Violation> {
    let deadline = client.stalled_at + STALLED_CLIENT_TIMEOUT + HARNESS_SLACK;
    let released_at = client.released_at.unwrap_or(end);
    let was_killed = index.killed_before(client.process, deadline);
    let is_late = released_at > deadline && !was_killed;
    let evidence = || format!("stalled client held for over 3 s: {client:?}");
    is_late.then(|| Violation { rule: Rule::StalledClientReleased, evidence: evidence() })
}

fn check_process(process: &ProcessRecord, end: Timestamp) -> Option<Violation> {
    let process_violation = |what: &str| {
        Some(Violation { rule: Rule::ProcessLifecycle, evidence: format!("{what}: {process:?}") })
    };
    // SIGTERM during the start may end the process before it installs a handler.
    let terminated_during_start = process.terminated_at.is_some() && process.ready_at.is_none();
    let failure = process.failure.as_deref();
    let crashed = failure.is_some_and(|status| !(terminated_during_start && status == SIGTERM_EXIT_STATUS));
    if crashed && process.killed_at.is_none() {
        return process_violation("failure exit status");
    }
    let asked_to_end = process.terminated_at.or(process.killed_at);
    if process.ended_at.is_some() && asked_to_end.is_none() {
        return process_violation("ended unasked");
    }
    let end_deadline = process.terminated_at.map(|at| at + KILL_AFTER + HARNESS_SLACK);
    if end_deadline.is_some_and(|by| by < end && process.ended_at.is_none_or(|at| at > by)) {
        return process_violation("did not end in time");
    }
    let ready_deadline = process.started_at + READY_TIMEOUT;
    let should_be_ready = asked_to_end.unwrap_or(end) > ready_deadline;
    match should_be_ready
        && !process.started_without_discovery
        && process.ready_at.is_none_or(|at| at > ready_deadline)
    {
        true => process_violation("not ready in time"),
        false => None,
    }
}
