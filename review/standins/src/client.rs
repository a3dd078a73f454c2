//! Requests of the platform's clients.

use crate::http::{Message, Reader};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request: `GET` without a body, `POST` with one of this length.
pub fn head(class: &str, id: &str, timeout_ms: u64, body_bytes: Option<usize>) -> String {
    let method = if body_bytes.is_some() { "POST" } else { "GET" };
    let length = body_bytes.map_or(String::new(), |length| format!("Content-Length: {length}\r\n"));
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: swan-valley\r\nX-Timeout-Ms: {timeout_ms}\r\n{length}\r\n"
    )
}

/// Sends a request without a body on a connection of its own and reads the answer.
pub fn get(
    address: SocketAddr,
    class: &str,
    id: &str,
    timeout_ms: u64,
    wait: Duration,
) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(head(class, id, timeout_ms, None).as_bytes())?;
    let mut reader = Reader::new(stream);
    let Some(mut message) = reader.head()? else { return Ok(None) };
    let _ = reader.body(&mut message, true);
    Ok(Some(message))
}
