//! A server that restarts between the choice of it and the first byte of a request is another process.

mod common;

use common::TestMessage;
use corkhollow_balance::interface::{ListKind, Nanos, Request, Server, ServerId, Settings};
use corkhollow_engine::rules::Denial;
use corkhollow_engine::{AttemptId, Command, Requests};

const MS: Nanos = 1_000_000;
const TIMEOUT: Nanos = 800 * MS;
const SERVER: ServerId = ServerId(1);

fn sent_attempt(commands: &[Command<TestMessage, ()>]) -> Option<AttemptId> {
    commands.iter().find_map(|command| match command {
        Command::Send { id, .. } => Some(*id),
        _ => None,
    })
}

/// Guards against work that goes to a process that has just started as if it were the one before: its slow start is
/// not counted.
#[test]
fn an_attempt_does_not_begin_at_a_server_that_has_restarted_since_it_was_chosen() {
    let settings = Settings::single_class(300 * MS, TIMEOUT);
    let mut requests = Requests::<u32, _, ()>::new(0, settings, 1).unwrap();
    let mut commands = Vec::new();
    let list = |requests: &mut Requests<_, _, _>, started_at| {
        let servers = vec![Server { started_at, ..Server::warm(SERVER) }];
        requests.on_server_list(MS, ListKind::Changes, servers, &mut Vec::new());
    };
    list(&mut requests, 0);
    requests.submit(MS, None, Request::new(0, TIMEOUT), TestMessage, &mut commands).unwrap();
    let attempt = sent_attempt(&commands).expect("the request is sent");
    assert_eq!(requests.may_begin(MS, attempt), Ok(()));
    list(&mut requests, 0);
    assert_eq!(requests.may_begin(MS, attempt), Ok(()), "the list names the same process");
    list(&mut requests, MS);
    assert_eq!(requests.may_begin(MS, attempt), Err(Denial::ServerNotReady));
}
