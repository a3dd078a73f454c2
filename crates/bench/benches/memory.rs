//! Measures the program's memory while one long body is forwarded in each direction, and with thousands of
//! idle clients. `--bytes N` sets the length of the bodies (default 1 GB), `--clients N` the number of
//! clients (default 5,000).

use corkhollow_test_support::{read_message, response, spawn_raw_server, Node};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Instant;

const CHUNK_BYTES: usize = 1 << 16;

fn number_argument(name: &str, default: u64) -> u64 {
    let value = std::env::args().skip_while(|a| a != name).nth(1);
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Starts a server that reads a body of `body_bytes` bytes on PUT, sends one on `GET /long`, and sends 64
/// bytes otherwise.
fn start_server(body_bytes: u64) -> SocketAddr {
    spawn_raw_server(move |mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while stream.read(&mut byte).is_ok_and(|n| n == 1) {
            head.push(byte[0]);
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            let result = match &head[..4] {
                b"PUT " => {
                    let received = std::io::copy(&mut (&stream).take(body_bytes), &mut std::io::sink());
                    stream.write_all(&response("200 OK", "", received.unwrap_or(0).to_string().as_bytes()))
                }
                _ if head.starts_with(b"GET /long") => {
                    let mut result =
                        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {body_bytes}\r\n\r\n");
                    let (chunk, mut remaining) = (vec![b'x'; CHUNK_BYTES], body_bytes);
                    while remaining > 0 && result.is_ok() {
                        let n = remaining.min(CHUNK_BYTES as u64);
                        result = stream.write_all(&chunk[..n as usize]);
                        remaining -= n;
                    }
                    result
                }
                _ => stream.write_all(&response("200 OK", "", &[b'x'; 64])),
            };
            if result.is_err() {
                return;
            }
            head.clear();
        }
    })
}

fn send_short_request(stream: &mut TcpStream) {
    stream.write_all(b"GET /short HTTP/1.1\r\nHost: bench.example.org\r\n\r\n").expect("a request written");
    assert_eq!(read_message(stream).expect("an answer").status(), 200);
}

/// Sends or receives one body through the node. Returns the greatest growth of memory in bytes and the time
/// in seconds.
fn transfer(node: &Node, body_bytes: u64, is_upload: bool) -> (u64, f64) {
    let before = node.resident_bytes();
    let (mut peak, start) = (before, Instant::now());
    let mut client = node.connect();
    let mut chunk = vec![b'y'; CHUNK_BYTES];
    let mut transferred = 0;
    if is_upload {
        write!(client, "PUT /long HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}\r\n\r\n")
            .expect("a head");
    } else {
        client.write_all(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n").expect("a head");
    }
    let mut last_checked = 0;
    while transferred < body_bytes {
        let n = (body_bytes - transferred).min(CHUNK_BYTES as u64) as usize;
        if is_upload {
            client.write_all(&chunk[..n]).expect("a part of the body written");
            transferred += n as u64;
        } else {
            let n = client.read(&mut chunk).expect("a body");
            assert!(n > 0, "the body ended after {transferred} bytes");
            transferred += n as u64;
        }
        if transferred - last_checked > 4_000_000 {
            last_checked = transferred;
            peak = peak.max(node.resident_bytes());
        }
    }
    if is_upload {
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!(answer.body, body_bytes.to_string().into_bytes(), "the server received the whole body");
    }
    (peak.saturating_sub(before), start.elapsed().as_secs_f64())
}

fn main() {
    // Builds in release mode, so that no outdated build is measured.
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let build = ["build", "--release", "--locked", "-p", "corkhollow"];
    assert!(Command::new(cargo).args(build).status().expect("cargo").success());
    let (body_bytes, clients) =
        (number_argument("--bytes", 1_000_000_000), number_argument("--clients", 5_000));
    let node = Node::start_with_operator_file(&format!(
        "[limits]\ndescriptors = {}\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"one\"\nservers = [{{ address = \"{}\" }}]\n[[route]]\nname = \"all\"\npool = \"one\"\n",
        2 * clients + 2_000,
        start_server(body_bytes),
    ));
    send_short_request(&mut node.connect());
    println!("at the start: {:.1} MB", node.resident_bytes() as f64 / 1e6);
    for (description, is_upload) in [("from a server", false), ("to a server", true)] {
        let (growth, seconds) = transfer(&node, body_bytes, is_upload);
        let rate = body_bytes as f64 / 1e6 / seconds;
        println!(
            "{:.1} GB {description}: {:.2} MB more at most, {rate:.0} MB/s",
            body_bytes as f64 / 1e9,
            growth as f64 / 1e6
        );
    }
    let before = node.resident_bytes();
    let mut connections: Vec<_> = (0..clients).map(|_| node.connect()).collect();
    // Connections are accepted in order, so an answer to the last one shows that all are accepted.
    send_short_request(connections.last_mut().expect("a client"));
    let growth_silent = node.resident_bytes() - before;
    connections.iter_mut().for_each(send_short_request);
    let growth_after_answer = node.resident_bytes() - before;
    for (description, bytes) in
        [("that have said nothing", growth_silent), ("idle behind an answer", growth_after_answer)]
    {
        let kilobytes_per_client = bytes as f64 / clients as f64 / 1e3;
        println!(
            "{clients} clients {description}: {:.1} MB more, {kilobytes_per_client:.1} kB each",
            bytes as f64 / 1e6
        );
    }
}
