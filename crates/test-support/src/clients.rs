//! Clients' requests.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A new id with every request.
fn id() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// The bytes of a request without a body, with an id of its own.
pub fn get_request(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\n{headers}\r\n", id()).into_bytes()
}

/// The bytes of a request with a body, with an id of its own.
pub fn post_request(path: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: 2500\r\nContent-Length: {}\r\n\r\n",
        id(),
        body.len()
    )
    .into_bytes();
    out.extend(body);
    out
}

/// Ends the writing side only.
pub fn half_close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}
