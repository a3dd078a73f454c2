//! Servers that write an answer slowly: it is not cut off.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the client waits; all answers take longer.
const TIMEOUT: Duration = Duration::from_millis(600);
const PIECES: usize = 4;

/// How a server writes an answer.
#[derive(Clone, Copy, Debug)]
struct Pace {
    is_chunked: bool,
    piece_bytes: usize,
    /// Before each piece.
    pause: Duration,
}

/// Longer than an answer is held back, and shorter; pieces that are held whole, and longer ones.
const PAUSES: [Duration; 2] = [Duration::from_millis(350), Duration::from_millis(180)];
const PIECE_BYTES: [usize; 2] = [1_000, 30_000];

impl Pace {
    fn write(self, stream: &mut TcpStream) {
        let framing = match self.is_chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", PIECES * self.piece_bytes),
        };
        let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes());
        for _ in 0..PIECES {
            sleep(self.pause);
            let piece = vec![b'x'; self.piece_bytes];
            let _ = match self.is_chunked {
                true => write!(stream, "{:x}\r\n", piece.len())
                    .and_then(|()| stream.write_all(&piece))
                    .and_then(|()| stream.write_all(b"\r\n")),
                false => stream.write_all(&piece),
            };
        }
        if self.is_chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
    }
}

fn request(path: &str) -> Vec<u8> {
    let headers = format!("X-Timeout-Ms: {}\r\n", TIMEOUT.as_millis());
    let get = String::from_utf8(get_request(path, &headers)).unwrap();
    match path.starts_with("/once") {
        true => {
            get.replace("GET ", "POST ").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n").into_bytes()
        }
        false => get.into_bytes(),
    }
}

/// Sends a request to a node whose servers write all answers at this pace, and checks that it gets a whole one.
fn check_answer(path: &str, pace: Pace) {
    let servers = Servers::new(3, move |_, _| Reply::Custom(Box::new(move |stream| pace.write(stream))));
    let (node, _discovery) = Node::start_with_servers(&servers);
    let sent_at = Instant::now();
    let answer = node.send_raw(&request(path)).expect("the request is answered");
    let what = format!("{path}, {pace:?}, after {:?}", sent_at.elapsed());
    assert_eq!((answer.status(), answer.body.len()), (200, PIECES * pace.piece_bytes), "{what}");
    assert!(answer.is_complete, "{what}");
    if path.starts_with("/once") {
        assert_eq!(servers.request_count(), 1, "{what}");
    }
}

/// Guards against an answer cut off by the node: it counted as broken when it stood still for 250 ms, and was given
/// up at the client's deadline although it was arriving.
#[test]
fn a_slow_answer_is_passed_on_whole() {
    std::thread::scope(|scope| {
        for path in ["/safe/1", "/once/1"] {
            for is_chunked in [true, false] {
                for pause in PAUSES {
                    for piece_bytes in PIECE_BYTES {
                        let pace = Pace { is_chunked, piece_bytes, pause };
                        scope.spawn(move || check_answer(path, pace));
                    }
                }
            }
        }
    });
}

/// A stall costs a request that may be repeated little time.
#[test]
fn a_short_answer_that_stands_still_is_had_from_another_server() {
    for is_chunked in [true, false] {
        let stalled = Pace { is_chunked, piece_bytes: 1_000, pause: Duration::from_secs(5) };
        let servers = Servers::new(2, move |index, _| match index {
            0 => Reply::Custom(Box::new(move |stream| stalled.write(stream))),
            _ => ok_reply("fine"),
        });
        let (node, _discovery) = Node::start_with_servers(&servers);
        let sent_at = Instant::now();
        assert_eq!(node.send_raw(&request("/safe/1")).unwrap().body, b"fine");
        assert!(sent_at.elapsed() < TIMEOUT, "{:?}", sent_at.elapsed());
    }
}

/// The client can tell that an answer is not whole.
#[test]
fn an_answer_that_breaks_off_after_it_was_passed_on_is_not_complete() {
    let servers = Servers::new(1, |_, _| {
        Reply::Custom(Box::new(|stream| {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
            sleep(TIMEOUT * 2);
        }))
    });
    let (node, _discovery) = Node::start_with_servers(&servers);
    let answer = node.send_raw(&request("/once/1")).expect("the answer has begun");
    assert!(answer.status() == 200 && !answer.is_complete);
}
