//! Request ids that come again: a request must not run a second time under its id.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;

/// Longer than an answer that the node holds whole.
const LONG_ANSWER_BYTES: usize = 200_000;

/// Servers that write the first half of a long answer and the rest when `finish` has a message or its sender is
/// gone.
fn servers_with_long_answers(finish: Receiver<()>) -> Servers {
    let finish = std::sync::Arc::new(Mutex::new(finish));
    Servers::new(2, move |_, _| {
        let finish = finish.clone();
        Reply::Custom(Box::new(move |stream: &mut TcpStream| {
            let answer = response("200 OK", "", &vec![b'x'; LONG_ANSWER_BYTES]);
            let (first, rest) = answer.split_at(LONG_ANSWER_BYTES / 2);
            let _ = stream.write_all(first);
            let _ = finish.lock().unwrap().recv();
            let _ = stream.write_all(rest);
        }))
    })
}

fn send(node: &Node, request: &[u8]) -> TcpStream {
    let mut client = node.connect();
    client.write_all(request).unwrap();
    client
}

/// Guards against a request that runs twice: its id was free again when its long answer began.
#[test]
fn an_id_is_rejected_while_its_answer_is_passed_on_and_after_it() {
    let (finish, finished) = channel();
    let servers = servers_with_long_answers(finished);
    let (node, _discovery) = Node::start_with_servers(&servers);
    let request = post_request("/once/1", b"body");
    let mut client = send(&node, &request);
    let mut first_byte = [0];
    client.peek(&mut first_byte).expect("the answer has begun");
    assert_eq!(node.send_raw(&request).unwrap().status(), 409);
    finish.send(()).unwrap();
    let answer = read_message(&mut client).unwrap();
    assert_eq!((answer.status(), answer.body.len()), (200, LONG_ANSWER_BYTES));
    assert_eq!(node.send_raw(&request).unwrap().status(), 409, "the answer is whole");
    assert_eq!(servers.request_count(), 1);
}

/// Guards against a request that runs twice: its id was free again when its client had left.
#[test]
fn an_id_is_rejected_after_its_client_has_left() {
    let (finish, finished) = channel();
    let unanswered = Servers::new(2, |_, _| Reply::NoAnswer);
    let half_answered = servers_with_long_answers(finished);
    for (servers, awaits_answer) in [(unanswered, false), (half_answered, true)] {
        let (node, _discovery) = Node::start_with_servers(&servers);
        let request = post_request("/once/1", b"body");
        let client = send(&node, &request);
        wait_until("the server has the request", || servers.request_count() == 1);
        if awaits_answer {
            client.peek(&mut [0]).expect("the answer has begun");
        }
        drop(client);
        wait_until("the request has ended", || node.metric("gw_outstanding") == Some(0.0));
        assert_eq!(node.send_raw(&request).unwrap().status(), 409, "awaits answer: {awaits_answer}");
        assert_eq!(servers.request_count(), 1, "awaits answer: {awaits_answer}");
    }
    drop(finish);
}

/// A request that no server has run may be sent again under its id.
#[test]
fn an_id_is_free_again_after_all_servers_turned_its_request_away() {
    let servers = Servers::new(2, |_, _| {
        Reply::Send(response("503 Service Unavailable", "X-Not-Processed: 1\r\n", b""))
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let request = post_request("/once/1", b"body");
    for _ in 0..2 {
        assert_eq!(node.send_raw(&request).unwrap().status(), 503);
    }
}

/// Guards against a request that runs twice: its id came again at the other process of an upgrade. The old
/// process has one request before the new one starts and another one after that.
#[test]
fn an_id_is_rejected_by_the_successor_of_the_process_that_has_it() {
    let (finish, finished) = channel::<()>();
    let finished = std::sync::Arc::new(Mutex::new(finished));
    let servers = Servers::new(2, move |_, message| {
        let finished = finished.clone();
        match message.head.starts_with("POST /once/") {
            true => Reply::Custom(Box::new(move |_| {
                let _ = finished.lock().unwrap().recv();
            })),
            false => ok_reply("fine"),
        }
    });
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("upgraded-ids");
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let start = || Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    let is_ready = |node: &Node| node.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200);
    let received_count = || {
        let requests = servers.requests.lock().unwrap();
        requests.iter().filter(|request| request.head.starts_with("POST /once/")).count()
    };

    let old = start();
    wait_until("the old process is ready", || is_ready(&old));
    let requests = [post_request("/once/1", b"body"), post_request("/once/2", b"body")];
    let _first_client = send(&old, &requests[0]);
    wait_until("the first request is at a server", || received_count() == 1);
    let mut second_client = send(&old, &get_request("/safe/1", ""));
    assert_eq!(read_message(&mut second_client).unwrap().status(), 200);
    let new = start();
    wait_until("the new process is ready", || is_ready(&new));
    second_client.write_all(&requests[1]).unwrap();
    wait_until("the second request is at a server", || received_count() == 2);

    old.signal("-TERM");
    wait_until("the new process accepts alone", || {
        let before = new.metric("gw_succeeded{service=\"safe\"}").unwrap_or(0.0);
        let answered = (0..10).filter(|_| new.get("/safe/1", "").is_some_and(|m| m.status() == 200)).count();
        answered == 10 && new.metric("gw_succeeded{service=\"safe\"}").unwrap_or(0.0) >= before + 10.0
    });
    for request in &requests {
        assert_eq!(new.send_raw(request).unwrap().status(), 409);
    }
    assert_eq!(received_count(), 2);
    drop(finish);
}
