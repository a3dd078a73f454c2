//! What the recorder keeps of requests and connections.

use corkhollow_balance::interface::Ending;
use corkhollow_operate::{ClientRequestId, Event, EventLog, Subject};

#[test]
fn events_are_lines_that_tell_time_subject_and_reason() {
    let recorder = EventLog::default();
    let request = |number| Subject::Request { pool: "main".into(), number };
    recorder.record(1_500_000_000, request(7), Event::Received(ClientRequestId::new(b"9b1f\x00 e")));
    let sent = Event::AttemptSent { attempt: 0, server: "s-1".into(), hedge: false };
    recorder.record(1_500_000_999, request(7), sent);
    recorder.record(1_501_000_000, request(7), Event::AttemptEnded { attempt: 0, ending: Ending::Reset });
    recorder.record(1_501_000_000, request(7), Event::Denied("may-have-run"));
    recorder.record(1_501_000_000, request(7), Event::Answered("failed"));
    recorder.record(1_502_000_000, Subject::Connection(3), Event::Closed("leaving"));
    assert_eq!(
        recorder.render(),
        "1.500000 pool=main request=7 taken id=9b1f..e\n\
         1.500000 pool=main request=7 sent attempt=0 server=s-1 hedge=false\n\
         1.501000 pool=main request=7 ended attempt=0 as=Reset\n\
         1.501000 pool=main request=7 denied reason=may-have-run\n\
         1.501000 pool=main request=7 answered reason=failed\n\
         1.502000 connection=3 closed reason=leaving\n"
    );
}

#[test]
fn the_oldest_events_go_first() {
    let recorder = EventLog::default();
    (0..10_000).for_each(|at| recorder.record(at, Subject::Connection(at), Event::ClientLeft));
    let page = recorder.render();
    assert_eq!(page.lines().count(), 2_048);
    assert!(page.lines().next().unwrap().contains("connection=7952 "));
    assert!(page.ends_with("connection=9999 client-left\n"));
}

#[test]
fn long_ids_are_cut() {
    assert_eq!(ClientRequestId::new(&[b'a'; 100]).to_string(), "a".repeat(32));
}
