//! Peers that read a long message slowly and steadily: none of them has stalled.

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than what the kernel holds of a message that is not read.
const MESSAGE_BYTES: usize = 24_000_000;
/// How long a peer reads at its rate, several times the stall timeout; then it reads as fast as it can.
const SLOW_TIME: Duration = Duration::from_secs(6);
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// How a peer reads: some bytes as fast as it can, then at a rate.
#[derive(Clone, Copy, Debug)]
struct Pace {
    fast_bytes: usize,
    bytes_per_second: usize,
}

const PACES: [Pace; 4] = [
    Pace { fast_bytes: 0, bytes_per_second: 150_000 },
    Pace { fast_bytes: 0, bytes_per_second: 300_000 },
    Pace { fast_bytes: 0, bytes_per_second: 600_000 },
    Pace { fast_bytes: 4_000_000, bytes_per_second: 600_000 },
];

/// Reads a head.
fn read_head(stream: &mut TcpStream) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("the head is whole");
        head.push(byte[0]);
    }
}

/// Reads a body of up to `bytes` at this pace; returns how many came.
fn read_body_at_pace(stream: &mut TcpStream, bytes: usize, pace: Pace) -> usize {
    let mut buffer = vec![0; 1 << 20];
    let (started, mut received) = (Instant::now(), 0);
    while received < bytes {
        let is_slow = received >= pace.fast_bytes && started.elapsed() < SLOW_TIME;
        let piece = pace.bytes_per_second * READ_INTERVAL.as_millis() as usize / 1_000;
        let limit = if is_slow { piece } else { buffer.len() };
        match stream.read(&mut buffer[..limit.min(bytes - received)]) {
            Ok(count @ 1..) => received += count,
            Ok(0) | Err(_) => break,
        }
        if is_slow {
            sleep(READ_INTERVAL);
        }
    }
    received
}

/// A listener on whose connections the kernel holds a small part of a message: a server that has all of it in its
/// kernel has to answer by the deadline.
fn listen_with_bounded_buffer() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1 << 20).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(8).unwrap();
    socket.into()
}

/// Starts a node whose stall timeout and deadlines are 2 s.
fn start_node(server: SocketAddr) -> Node {
    Node::start_with_operator_file(&format!(
        "[limits]\nstall_timeout = \"2s\"\n[[class]]\nname = \"all\"\neffect = \"unsafe\"\n\
         methods = [\"GET\", \"POST\"]\naim = \"1s\"\ndeadline = \"2s\"\n\
         [[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"main\"\n\
         servers = [{{ address = \"{server}\" }}]\n[[route]]\nname = \"all\"\npool = \"main\"\n"
    ))
}

/// Guards against an answer cut off by the node: a client that reads steadily was taken for stalled while the
/// kernel took no more of the answer, which lasts until a third of what it holds is read.
#[test]
fn a_client_that_reads_steadily_gets_all_of_a_long_answer() {
    let servers = Servers::new(1, |_, _| Reply::Send(response("200 OK", "", &vec![b'x'; MESSAGE_BYTES])));
    let node = start_node(servers.addresses[0]);
    std::thread::scope(|scope| {
        for pace in PACES {
            let node = &node;
            scope.spawn(move || {
                let mut client = node.connect();
                client.write_all(&get_request("/", "")).unwrap();
                read_head(&mut client);
                let received = read_body_at_pace(&mut client, MESSAGE_BYTES, pace);
                assert_eq!(received, MESSAGE_BYTES, "{pace:?}");
            });
        }
    });
}

/// The same for a server that reads a long request.
#[test]
fn a_server_that_reads_steadily_gets_all_of_a_long_request() {
    std::thread::scope(|scope| {
        for pace in PACES {
            scope.spawn(move || {
                let listener = listen_with_bounded_buffer();
                let node = start_node(listener.local_addr().unwrap());
                let server = scope.spawn(move || {
                    let mut stream = listener.accept().unwrap().0;
                    read_head(&mut stream);
                    let received = read_body_at_pace(&mut stream, MESSAGE_BYTES, pace);
                    let _ = stream.write_all(&response("200 OK", "Connection: close\r\n", b"received"));
                    received
                });
                let answer = node.post("/", &vec![b'x'; MESSAGE_BYTES]).expect("the client got no answer");
                assert_eq!(answer.status(), 200, "{pace:?}");
                assert_eq!(server.join().unwrap(), MESSAGE_BYTES);
            });
        }
    });
}
