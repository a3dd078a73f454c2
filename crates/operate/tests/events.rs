//! Contents and capacity of the event log.

use corkhollow_balance::interface::Ending;
use corkhollow_operate::{ClientRequestId, Event, EventLog, Subject};

#[test]
fn event_lines_show_time_subject_and_reason() {
    let events = EventLog::default();
    let request = |number| Subject::Request { pool: "main".into(), number };
    events.record(1_500_000_000, request(7), Event::Received(ClientRequestId::new(b"9b1f\x00 e")));
    let sent = Event::AttemptSent { attempt: 0, server: "s-1".into(), hedge: false };
    events.record(1_500_000_999, request(7), sent);
    events.record(1_501_000_000, request(7), Event::AttemptEnded { attempt: 0, ending: Ending::Reset });
    events.record(1_501_000_000, request(7), Event::Denied("may-have-run"));
    events.record(1_501_000_000, request(7), Event::Answered("failed"));
    events.record(1_502_000_000, Subject::Connection(3), Event::Closed("leaving"));
    assert_eq!(
        events.render(),
        "1.500000 pool=main request=7 taken id=9b1f..e\n\
         1.500000 pool=main request=7 sent attempt=0 server=s-1 hedge=false\n\
         1.501000 pool=main request=7 ended attempt=0 as=Reset\n\
         1.501000 pool=main request=7 denied reason=may-have-run\n\
         1.501000 pool=main request=7 answered reason=failed\n\
         1.502000 connection=3 closed reason=leaving\n"
    );
}

#[test]
fn oldest_events_are_dropped_first() {
    let events = EventLog::default();
    (0..10_000).for_each(|at| events.record(at, Subject::Connection(at), Event::ClientLeft));
    let page = events.render();
    assert_eq!(page.lines().count(), 2_048);
    assert!(page.lines().next().unwrap().contains("connection=7952 "));
    assert!(page.ends_with("connection=9999 client-left\n"));
}

#[test]
fn long_client_request_ids_are_truncated() {
    assert_eq!(ClientRequestId::new(&[b'a'; 100]).to_string(), "a".repeat(32));
}
