//! The deadline of a request whose body is streamed: it counts from the end of the body.

use corkhollow_balance::interface::{ListKind, Nanos, Request, Server, ServerId, Settings};
use corkhollow_engine::{Command, FinalAnswer, RequestMessage, Requests, UploadDeadline};
use std::cell::Cell;
use std::rc::Rc;

const MS: Nanos = 1_000_000;
const TIMEOUT: Nanos = 800 * MS;
/// When a body counts as stalled, far behind the timeout.
const STALLED_AT: Nanos = 40_000 * MS;
/// How exact the answer must be.
const TOLERANCE: Nanos = MS;

/// A message whose body ends when the test says so.
#[derive(Clone, Default)]
struct StreamedMessage {
    ended_at: Rc<Cell<Option<Nanos>>>,
}

impl RequestMessage for StreamedMessage {
    fn is_body_consumed(&self) -> bool {
        false
    }
    fn upload_deadline(&self, _: Nanos, timeout: Nanos) -> Option<UploadDeadline> {
        Some(match self.ended_at.get() {
            Some(at) => UploadDeadline { at: at + timeout, is_final: true },
            None => UploadDeadline { at: STALLED_AT, is_final: false },
        })
    }
}

/// Submits a request whose body ends at `ended_at` and which no server answers; returns when it is answered.
fn answered_at(ended_at: Nanos) -> Nanos {
    let settings = Settings::single_class(300 * MS, TIMEOUT);
    let mut requests = Requests::<u32, _, ()>::new(0, settings, 1).unwrap();
    let mut commands = Vec::new();
    requests.on_server_list(0, ListKind::Full, vec![Server::warm(ServerId(1))], &mut commands);
    let message = StreamedMessage::default();
    let request = Request { has_streaming_body: true, ..Request::new(0, TIMEOUT) };
    requests.submit(0, None, request, message.clone(), &mut commands).unwrap();
    loop {
        let now = requests.next_timer().expect("the request has a timer");
        if now >= ended_at {
            message.ended_at.set(Some(ended_at));
        }
        requests.fire_timers(now, &mut commands);
        let answer = commands.drain(..).find_map(|command| match command {
            Command::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        if let Some(answer) = answer {
            assert_eq!(answer, FinalAnswer::Failed { timed_out: true });
            return now;
        }
    }
}

/// Guards against an answer that comes many seconds late: a body that ended after the first timer had no timer for
/// the deadline that follows from its end.
#[test]
fn a_request_times_out_a_fixed_time_after_its_body_ended() {
    for ended_at in [0, 30 * MS, 790 * MS, 810 * MS, 1_234 * MS, 9_876 * MS] {
        let deadline = ended_at + TIMEOUT;
        let answered_at = answered_at(ended_at);
        assert!((deadline..=deadline + TOLERANCE).contains(&answered_at), "{ended_at}: {answered_at}");
    }
}
