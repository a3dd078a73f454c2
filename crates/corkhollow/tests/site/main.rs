//! The program with an operator's file, in front of HTTP/1.1 servers: forwarding, answers of its own, and invalid or
//! hostile clients and servers.

mod bodies;
mod messages;
mod pools;

use corkhollow_test_support::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

fn server_list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(|address| format!("{{ address = \"{address}\" }}, ")).collect()
}

/// A file of one listener, one pool and a route to it; `listener`, `pool` and `routes` are inserted as further
/// lines.
fn config(addresses: &[SocketAddr], listener: &str, pool: &str, routes: &str) -> String {
    let servers = server_list(addresses);
    format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n{listener}\n\
         [[pool]]\nname = \"boxes\"\nservers = [{servers}]\n{pool}\n{routes}\n\
         [[route]]\nname = \"all\"\npool = \"boxes\"\n"
    )
}

fn start_with_default_config(addresses: &[SocketAddr]) -> Node {
    Node::start_with_operator_file(&config(addresses, "", "", ""))
}

/// Sends these bytes and reads until the connection ends.
fn send_and_read_to_end(node: &Node, bytes: &[u8]) -> String {
    let mut stream = node.connect();
    stream.write_all(bytes).unwrap();
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

/// A request without a body, from its request line and any further header lines.
fn request_bytes(head: &str) -> Vec<u8> {
    format!("{head}\r\nHost: a.org\r\n\r\n").into_bytes()
}
