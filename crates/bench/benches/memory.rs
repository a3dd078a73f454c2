//! The program's memory: while one long body passes each way, and while thousands of clients stand idle.
//! `--bytes N` sets the length of the bodies (1 GB), `--clients N` the number of clients (5,000).

use corkhollow_test_support::{read_message, response, spawn_raw_server, Node};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Instant;

const CHUNK: usize = 1 << 16;

fn argument(name: &str, default: u64) -> u64 {
    let value = std::env::args().skip_while(|a| a != name).nth(1);
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Takes all of a body, or sends one of this length, by the method that it is asked with.
fn server(long: u64) -> SocketAddr {
    spawn_raw_server(move |mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while stream.read(&mut byte).is_ok_and(|n| n == 1) {
            head.push(byte[0]);
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            let told = match &head[..4] {
                b"PUT " => {
                    let taken = std::io::copy(&mut (&stream).take(long), &mut std::io::sink());
                    stream.write_all(&response("200 OK", "", taken.unwrap_or(0).to_string().as_bytes()))
                }
                _ if head.starts_with(b"GET /long") => {
                    let mut out = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {long}\r\n\r\n");
                    let (chunk, mut left) = (vec![b'x'; CHUNK], long);
                    while left > 0 && out.is_ok() {
                        let n = left.min(CHUNK as u64);
                        out = stream.write_all(&chunk[..n as usize]);
                        left -= n;
                    }
                    out
                }
                _ => stream.write_all(&response("200 OK", "", &[b'x'; 64])),
            };
            if told.is_err() {
                return;
            }
            head.clear();
        }
    })
}

fn ask(stream: &mut TcpStream) {
    stream.write_all(b"GET /short HTTP/1.1\r\nHost: bench.example.org\r\n\r\n").expect("it takes requests");
    assert_eq!(read_message(stream).expect("an answer").status(), 200);
}

/// Passes one body each way; what memory grew by at most, in bytes, and how long it took, in seconds.
fn pass(node: &Node, long: u64, up: bool) -> (u64, f64) {
    let before = node.resident_bytes();
    let (mut most, start) = (before, Instant::now());
    let mut client = node.connect();
    let mut chunk = vec![b'y'; CHUNK];
    let mut done = 0;
    if up {
        write!(client, "PUT /long HTTP/1.1\r\nHost: a\r\nContent-Length: {long}\r\n\r\n").expect("a head");
    } else {
        client.write_all(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n").expect("a head");
    }
    let mut looked = 0;
    while done < long {
        let n = (long - done).min(CHUNK as u64) as usize;
        if up {
            client.write_all(&chunk[..n]).expect("it takes the body");
            done += n as u64;
        } else {
            let n = client.read(&mut chunk).expect("a body");
            assert!(n > 0, "cut after {done}");
            done += n as u64;
        }
        if done - looked > 4_000_000 {
            looked = done;
            most = most.max(node.resident_bytes());
        }
    }
    if up {
        let answer = read_message(&mut client).expect("an answer");
        assert_eq!(answer.body, long.to_string().into_bytes(), "all of it came");
    }
    (most.saturating_sub(before), start.elapsed().as_secs_f64())
}

fn main() {
    // The program is built here, as it is for service: a bench of an old one would say nothing.
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let build = ["build", "--release", "--locked", "-p", "corkhollow"];
    assert!(Command::new(cargo).args(build).status().expect("cargo").success());
    let (long, clients) = (argument("--bytes", 1_000_000_000), argument("--clients", 5_000));
    let node = Node::start_with_operator_file(&format!(
        "[limits]\ndescriptors = {}\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\
         [[pool]]\nname = \"one\"\nservers = [{{ address = \"{}\" }}]\n[[route]]\nname = \"all\"\npool = \"one\"\n",
        2 * clients + 2_000,
        server(long),
    ));
    ask(&mut node.connect());
    println!("at the start: {:.1} MB", node.resident_bytes() as f64 / 1e6);
    for (what, up) in [("from a server", false), ("to a server", true)] {
        let (more, seconds) = pass(&node, long, up);
        let rate = long as f64 / 1e6 / seconds;
        println!(
            "{:.1} GB {what}: {:.2} MB more at most, {rate:.0} MB/s",
            long as f64 / 1e9,
            more as f64 / 1e6
        );
    }
    let before = node.resident_bytes();
    let mut open: Vec<_> = (0..clients).map(|_| node.connect()).collect();
    // The last one is answered: all before it have been taken.
    ask(open.last_mut().expect("a client"));
    let silent = node.resident_bytes() - before;
    open.iter_mut().for_each(ask);
    let asked = node.resident_bytes() - before;
    for (what, bytes) in [("that have said nothing", silent), ("idle behind an answer", asked)] {
        let each = bytes as f64 / clients as f64 / 1e3;
        println!("{clients} clients {what}: {:.1} MB more, {each:.1} kB each", bytes as f64 / 1e6);
    }
}
