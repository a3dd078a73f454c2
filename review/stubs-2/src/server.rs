//! Servers as the protocol page describes them.

use crate::http::{Head, ReadError, Reader};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// What a server does with a connection of the gateway, until it ends.
pub trait Behaviour: Send + Sync + 'static {
    /// Serves one connection. `server` is the server's index.
    fn serve(&self, server: usize, stream: TcpStream);
}

impl<F: Fn(usize, TcpStream) + Send + Sync + 'static> Behaviour for F {
    fn serve(&self, server: usize, stream: TcpStream) {
        self(server, stream)
    }
}

/// Starts a server with a thread for each connection, and returns its address. Its connections have the system's
/// default options.
pub fn start(server: usize, behaviour: Arc<dyn Behaviour>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            thread::spawn(move || behaviour.serve(server, stream));
        }
    });
    address
}

/// A request that a server has received whole.
pub struct Received {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub first_byte_at: Instant,
}

impl Received {
    /// Its `X-Request-ID`.
    pub fn id(&self) -> &str {
        self.head.get("x-request-id").unwrap_or("-")
    }
}

/// Reads the next request on a connection.
pub fn read_request(reader: &mut Reader) -> Result<Received, ReadError> {
    let (head, body) = reader.read_message()?;
    let first_byte_at = reader.first_byte_at.unwrap_or_else(Instant::now);
    Ok(Received { head, body, first_byte_at })
}

/// Writes an answer.
pub fn answer(mut stream: &TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}
