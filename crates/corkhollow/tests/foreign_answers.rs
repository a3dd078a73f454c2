//! Answers on a server's connection that belong to another request, or to none: no client gets them.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// A server's work for a request: its answer comes later than a second answer that it held back.
const WORK: Duration = Duration::from_millis(15);
/// How long after an answer the server writes it again.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(5);

fn answer_to(request: &Message) -> Vec<u8> {
    response("200 OK", "", request.header("x-request-id").unwrap_or("-").as_bytes())
}

/// Whether the next request has arrived.
fn is_readable(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let is_readable = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).unwrap();
    is_readable
}

/// Answers each request, and each second one once more if nothing waits on the connection. The kernel holds back
/// what the server writes while something before it is not acknowledged.
fn answer_twice(mut stream: TcpStream) {
    stream.set_nodelay(false).unwrap();
    let mut count = 0;
    while let Some(request) = read_message(&mut stream) {
        sleep(WORK);
        let _ = stream.write_all(&answer_to(&request));
        count += 1;
        if count % 2 == 0 {
            sleep(SECOND_ANSWER_DELAY);
            if !is_readable(&stream) {
                let _ = stream.write_all(&answer_to(&request));
            }
        }
    }
}

fn start_node(server: std::net::SocketAddr) -> (Node, Discovery) {
    let discovery = Discovery::new(vec![list_json(1, true, &[host_json("s-0", server, "active")])], true);
    let node = Node::start(discovery.address, &NodeOptions::default());
    node.wait_until_ready();
    (node, discovery)
}

/// Guards against an answer to another request: the server's kernel held a second answer back until the next
/// request acknowledged the first one.
#[test]
fn a_second_answer_is_not_given_to_the_next_request() {
    const REQUESTS: usize = 60;
    /// Longer than a connection rests before it is used again.
    const PAUSE: Duration = Duration::from_millis(13);
    let (node, _discovery) = start_node(spawn_raw_server(answer_twice));
    let mut client = node.connect();
    for number in 0..REQUESTS {
        let request = get_request("/safe/1", "");
        client.write_all(&request).unwrap();
        let answer = read_message(&mut client).expect("the request is answered");
        let sent_id = String::from_utf8(request).unwrap();
        let answered_id = String::from_utf8(answer.body).unwrap();
        assert!(
            sent_id.contains(&format!("X-Request-ID: {answered_id}\r\n")),
            "request {number}: {answered_id}"
        );
        sleep(PAUSE);
    }
}

/// Guards against an answer that is made for no request, or for another one: the server had not read all of the
/// request when it came. The rest of the request is not sent either, as the server would run it.
#[test]
fn an_answer_that_comes_before_the_end_of_the_request_is_not_passed_on() {
    /// Longer than what the node and the kernels take of a body that the server does not read.
    const BODY_BYTES: usize = 24_000_000;
    let (received_sender, received) = std::sync::mpsc::channel();
    let server = spawn_raw_server(move |mut stream| {
        let _ = stream.read_exact(&mut [0; 1_000]);
        let _ = stream.write_all(&response("200 OK", "", b"early"));
        let received = std::io::copy(&mut stream, &mut std::io::sink());
        let _ = received_sender.send(received.unwrap_or(0));
    });
    let (node, _discovery) = start_node(server);
    let answer = node.post("/once/1", &vec![b'x'; BODY_BYTES]).expect("the request is answered");
    assert!([502, 503].contains(&answer.status()), "{}", answer.head);
    let received = received.recv().unwrap();
    assert!(received < BODY_BYTES as u64 - 1_000, "the server has all of the request");
}
