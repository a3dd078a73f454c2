//! The bytes of client requests.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

fn next_request_id() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// A GET request with a unique request ID.
pub fn get_request(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\n{headers}\r\n", next_request_id())
        .into_bytes()
}

/// A POST request with a body and a unique request ID.
pub fn post_request(path: &str, body: &[u8]) -> Vec<u8> {
    let mut request = format!(
        "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: 2500\r\nContent-Length: {}\r\n\r\n",
        next_request_id(),
        body.len()
    )
    .into_bytes();
    request.extend(body);
    request
}

/// Closes the writing side of a connection.
pub fn half_close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Write);
}
