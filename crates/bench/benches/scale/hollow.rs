//! Hollow servers: as many addresses as there are servers, one thread for all. Each answers every request at once.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";
/// The longest head that is read.
const HEAD: usize = 8 << 10;

/// What all servers have seen.
#[derive(Default)]
pub struct Seen {
    pub requests: AtomicU64,
    pub checks: AtomicU64,
    pub connections: AtomicUsize,
}

/// The servers; they go on until the process ends.
pub struct Hollow {
    pub addresses: Vec<SocketAddr>,
    pub seen: Arc<Seen>,
}

/// An address of its own on loopback, 127.64.0.1 and on.
fn address(number: u32) -> SocketAddr {
    let part = |shift: u32| (number >> shift & 0x7f) as u8;
    SocketAddr::from((Ipv4Addr::new(127, 64 + part(14), part(7), part(0) + 1), 0))
}

impl Hollow {
    pub fn start(count: u32) -> std::io::Result<Self> {
        let open = |number| {
            let listener = TcpListener::bind(address(number))?;
            listener.set_nonblocking(true)?;
            Ok((listener.local_addr()?, listener))
        };
        let (addresses, listeners): (Vec<_>, Vec<_>) =
            (0..count).map(open).collect::<std::io::Result<Vec<_>>>()?.into_iter().unzip();
        let seen: Arc<Seen> = Arc::default();
        let shared = seen.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let serve = move || {
            runtime.block_on(async move {
                for listener in listeners {
                    let seen = shared.clone();
                    tokio::spawn(async move {
                        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                        while let Ok((stream, _)) = listener.accept().await {
                            tokio::spawn(answer(stream, seen.clone()));
                        }
                    });
                }
                std::future::pending::<()>().await;
            });
        };
        std::thread::Builder::new().name("servers".to_owned()).spawn(serve)?;
        Ok(Hollow { addresses, seen })
    }
}

async fn answer(mut stream: TcpStream, seen: Arc<Seen>) {
    seen.connections.fetch_add(1, Relaxed);
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    while stream.read_buf(&mut head).await.is_ok_and(|n| n > 0) && head.len() < HEAD {
        // No body comes with what is asked here.
        while let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") {
            let check = head.starts_with(b"GET /up ");
            if check { &seen.checks } else { &seen.requests }.fetch_add(1, Relaxed);
            head.drain(..end + 4);
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }
    seen.connections.fetch_sub(1, Relaxed);
}
