//! Minimal servers, each with its own address, which share one thread and answer every request at once.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";
/// The longest request head that is accepted.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Counts over all servers.
#[derive(Default)]
pub struct Counters {
    pub requests: AtomicU64,
    pub checks: AtomicU64,
    pub connections: AtomicUsize,
}

/// The servers, which run until the process ends.
pub struct StubServers {
    pub addresses: Vec<SocketAddr>,
    pub counters: Arc<Counters>,
}

/// The loopback address of a server, from 127.64.0.1 on.
fn address(number: u32) -> SocketAddr {
    let seven_bits = |shift: u32| (number >> shift & 0x7f) as u8;
    SocketAddr::from((Ipv4Addr::new(127, 64 + seven_bits(14), seven_bits(7), seven_bits(0) + 1), 0))
}

impl StubServers {
    pub fn start(count: u32) -> std::io::Result<Self> {
        let bind = |number| {
            let listener = TcpListener::bind(address(number))?;
            listener.set_nonblocking(true)?;
            Ok((listener.local_addr()?, listener))
        };
        let (addresses, listeners): (Vec<_>, Vec<_>) =
            (0..count).map(bind).collect::<std::io::Result<Vec<_>>>()?.into_iter().unzip();
        let counters: Arc<Counters> = Arc::default();
        let shared = counters.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let serve = move || {
            runtime.block_on(async move {
                for listener in listeners {
                    let counters = shared.clone();
                    tokio::spawn(async move {
                        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                        while let Ok((stream, _)) = listener.accept().await {
                            tokio::spawn(serve_connection(stream, counters.clone()));
                        }
                    });
                }
                std::future::pending::<()>().await;
            });
        };
        std::thread::Builder::new().name("servers".to_owned()).spawn(serve)?;
        Ok(StubServers { addresses, counters })
    }
}

async fn serve_connection(mut stream: TcpStream, counters: Arc<Counters>) {
    counters.connections.fetch_add(1, Relaxed);
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    while stream.read_buf(&mut head).await.is_ok_and(|n| n > 0) && head.len() < MAX_HEAD_BYTES {
        // Requests have no bodies.
        while let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") {
            let is_check = head.starts_with(b"GET /up ");
            if is_check { &counters.checks } else { &counters.requests }.fetch_add(1, Relaxed);
            head.drain(..end + 4);
            if stream.write_all(RESPONSE).await.is_err() {
                return;
            }
        }
    }
    counters.connections.fetch_sub(1, Relaxed);
}
