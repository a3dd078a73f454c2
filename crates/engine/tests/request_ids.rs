//! How long a request's id is taken.

mod common;

use common::TestMessage;
use corkhollow_balance::interface::{
    Ending, ListKind, Nanos, Request, RequestId, Server, ServerId, Settings,
};
use corkhollow_engine::{AttemptId, Command, Requests, ID_RETENTION};

const MS: Nanos = 1_000_000;
const TIMEOUT: Nanos = 800 * MS;
/// The client's id in all tests.
const ID: u32 = 7;

type TestRequests = Requests<u32, TestMessage, ()>;

/// One server, and settings that do not allow cancelling: an attempt stays open when its client leaves.
fn new_requests() -> TestRequests {
    let settings = Settings { cancel: false, ..Settings::single_class(300 * MS, TIMEOUT) };
    let mut requests = Requests::new(0, settings, 1).unwrap();
    requests.on_server_list(0, ListKind::Full, vec![Server::warm(ServerId(1))], &mut Vec::new());
    requests
}

/// Submits a request; returns the attempt that it is sent with, or `None` if its id is taken.
fn submit(requests: &mut TestRequests, now: Nanos) -> Option<AttemptId> {
    let mut commands = Vec::new();
    requests.submit(now, Some(ID), Request::new(0, now + TIMEOUT), TestMessage, &mut commands)?;
    let attempt = commands.iter().find_map(|command| match command {
        Command::Send { id, .. } => Some(*id),
        _ => None,
    });
    Some(attempt.expect("the request is sent"))
}

/// Submits a request that is answered at once; returns its number.
fn submit_answered(requests: &mut TestRequests) -> RequestId {
    let attempt = submit(requests, 0).expect("the id is new");
    assert!(requests.on_answer(0, attempt, (), &mut Vec::new()));
    attempt.request
}

/// Guards against an id that is forgotten during a long answer: passing it on may take any time.
#[test]
fn an_id_is_taken_until_some_time_after_its_answer_was_passed_on() {
    let mut requests = new_requests();
    let request = submit_answered(&mut requests);
    let delivered_at = 20 * ID_RETENTION;
    assert!(submit(&mut requests, delivered_at).is_none());
    requests.on_delivery_ended(delivered_at, request);
    assert!(submit(&mut requests, delivered_at + ID_RETENTION - 1).is_none());
    assert!(submit(&mut requests, delivered_at + ID_RETENTION).is_some());
}

#[test]
fn an_id_is_taken_for_some_time_after_its_client_has_left() {
    let mut requests = new_requests();
    let attempt = submit(&mut requests, 0).unwrap();
    requests.on_client_left(100 * MS, attempt.request, &mut Vec::new());
    requests.on_attempt_ended(200 * MS, attempt, Ending::Reset, &mut Vec::new());
    assert!(submit(&mut requests, ID_RETENTION).is_none());
    assert!(submit(&mut requests, 200 * MS + ID_RETENTION).is_some());
}

#[test]
fn an_id_is_free_at_once_if_no_attempt_can_have_run() {
    let mut requests = new_requests();
    let attempt = submit(&mut requests, 0).unwrap();
    requests.on_client_left(100 * MS, attempt.request, &mut Vec::new());
    requests.on_attempt_ended(200 * MS, attempt, Ending::NotSent, &mut Vec::new());
    assert!(submit(&mut requests, 200 * MS).is_some());
}
