//! The program on an operator's file, before ordinary HTTP/1.1 servers: what passes, what is answered by itself, and
//! what happens when either side misbehaves.

mod bodies;
mod messages;
mod pools;

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

fn server_list(dials: &[SocketAddr]) -> String {
    dials.iter().map(|d| format!("{{ address = \"{d}\" }}, ")).collect()
}

/// A site of one listener and one pool; `listener`, `pool` and `routes` are further lines.
fn site(dials: &[SocketAddr], listener: &str, pool: &str, routes: &str) -> String {
    let servers = server_list(dials);
    format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n{listener}\n\
         [[pool]]\nname = \"boxes\"\nservers = [{servers}]\n{pool}\n{routes}\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n"
    )
}

fn plain(dials: &[SocketAddr]) -> Node {
    Node::start_with_operator_file(&site(dials, "", "", ""))
}

/// What comes back until the connection ends.
fn whole(node: &Node, bytes: &[u8]) -> String {
    let mut stream = node.connect();
    stream.write_all(bytes).unwrap();
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

fn asked(request: &str) -> Vec<u8> {
    format!("{request}\r\nHost: a.org\r\n\r\n").into_bytes()
}
