//! A TCP relay that injects network faults: delay, jitter, loss, limited bandwidth, resets and black holes.
//!
//! Faults apply to the bytes that leave the relay. Connecting is not delayed, and lost bytes are never
//! retransmitted: to emulate TCP over a lossy path, use `delay` and `jitter`.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Limit of the buffered bytes in one direction of a connection; beyond it the relay stops reading.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// A direction with limited bandwidth forwards at most this many pieces a second.
const MAX_PIECES_PER_SECOND: u64 = 50;

/// The faults in one direction of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectionFaults {
    /// Added latency.
    pub delay: Duration,
    /// Upper bound of a random latency added per read. Bytes stay in order.
    pub jitter: Duration,
    /// Fraction of the bytes that is dropped, at random.
    pub loss_ratio: f64,
    /// Bandwidth limit; none is unlimited.
    pub bytes_per_second: Option<u64>,
    /// Ends the link in this manner after this many bytes.
    pub end: Option<(u64, LinkEnd)>,
}

/// How a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// Both peers see an orderly close.
    Close,
    /// Both peers see a reset.
    Reset,
    /// Neither direction passes bytes any more, and the connections stay open.
    Blackhole,
}

/// The faults of one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionFaults {
    /// From the connecting peer to the server.
    pub to_server: DirectionFaults,
    /// From the server to the connecting peer.
    pub to_client: DirectionFaults,
}

/// The state that applies to all connections of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Connections follow their scripts.
    Up,
    /// No bytes pass until the link is up again.
    Blackholed,
    /// Existing and new connections are reset.
    Reset,
}

/// The fault state of one direction, independent of sockets.
struct DirectionState {
    faults: DirectionFaults,
    bytes_taken: u64,
    due_at: Duration,
    rng: Pcg64,
}

impl DirectionState {
    fn new(faults: DirectionFaults, seed: u64) -> Self {
        DirectionState { faults, bytes_taken: 0, due_at: Duration::ZERO, rng: Pcg64::seed_from_u64(seed) }
    }

    fn is_byte_lost(&mut self) -> bool {
        (self.rng.next_u64() as f64) < self.faults.loss_ratio * u64::MAX as f64
    }

    /// Applies the faults to bytes read at time `now`: the pieces to forward with the times when they are
    /// due, and the end of the link if its byte limit is reached.
    fn schedule(&mut self, now: Duration, bytes: &[u8]) -> (Vec<(Duration, Vec<u8>)>, Option<LinkEnd>) {
        let (remaining, mut end) = match self.faults.end {
            Some((limit, end)) => (limit.saturating_sub(self.bytes_taken), Some(end)),
            None => (u64::MAX, None),
        };
        let bytes = &bytes[..bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX))];
        if (bytes.len() as u64) < remaining {
            end = None;
        }
        self.bytes_taken += bytes.len() as u64;
        let jitter = match self.faults.jitter.as_nanos() as u64 {
            0 => Duration::ZERO,
            max_nanos => Duration::from_nanos(self.rng.next_u64() % max_nanos),
        };
        self.due_at = self.due_at.max(now + self.faults.delay + jitter);
        let piece = self
            .faults
            .bytes_per_second
            .map_or(bytes.len(), |pace| pace.div_ceil(MAX_PIECES_PER_SECOND) as usize)
            .max(1);
        let mut forwarded_bytes = Vec::new();
        for part in bytes.chunks(piece) {
            if let Some(pace) = self.faults.bytes_per_second {
                self.due_at += Duration::from_secs_f64(part.len() as f64 / pace.max(1) as f64);
            }
            let mut kept_bytes = part.to_vec();
            if self.faults.loss_ratio > 0.0 {
                kept_bytes.retain(|_| !self.is_byte_lost());
            }
            if !kept_bytes.is_empty() {
                forwarded_bytes.push((self.due_at, kept_bytes));
            }
        }
        (forwarded_bytes, end)
    }
}

/// A relay to one server. Its connections end when it is dropped.
pub struct Link {
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The number of connections accepted.
    pub connections: Arc<AtomicUsize>,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Starts a relay. The script gets the index of each connection, from 0. `seed` determines jitter and
    /// loss.
    pub fn new(
        to: SocketAddr,
        seed: u64,
        script: impl Fn(usize) -> ConnectionFaults + Send + 'static,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (state, state_receiver) = watch::channel(LinkState::Up);
        let connections = Arc::new(AtomicUsize::new(0));
        let connection_count = connections.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let listener = TcpListener::from_std(listener).unwrap();
                let mut link_state = state_receiver.clone();
                loop {
                    let accepted = tokio::select! {
                        accepted = listener.accept() => accepted,
                        // The link was dropped.
                        _ = link_dropped(&mut link_state) => return,
                    };
                    if let Ok((client, _)) = accepted {
                        let number = connection_count.fetch_add(1, Ordering::SeqCst);
                        let seed = seed ^ (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                        tokio::spawn(relay_connection(
                            client,
                            to,
                            script(number),
                            seed,
                            state_receiver.clone(),
                        ));
                    }
                }
            });
        });
        Link { address, connections, state }
    }

    /// A relay without faults while it is up.
    pub fn transparent(to: SocketAddr) -> Self {
        Link::new(to, 0, |_| ConnectionFaults::default())
    }

    /// Changes the state of all connections.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn link_dropped(state: &mut watch::Receiver<LinkState>) {
    while state.changed().await.is_ok() {}
}

async fn wait_for_state(state: &mut watch::Receiver<LinkState>, wanted: impl FnMut(&LinkState) -> bool) {
    if state.wait_for(wanted).await.is_err() {
        pending::<()>().await;
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn relay_connection(
    mut client: TcpStream,
    to: SocketAddr,
    faults: ConnectionFaults,
    seed: u64,
    mut state: watch::Receiver<LinkState>,
) {
    let Ok(mut server) = TcpStream::connect(to).await else { return reset(&client) };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let end = {
        let ((client_read, client_write), (server_read, server_write)) = (client.split(), server.split());
        let to_server =
            forward(client_read, server_write, DirectionState::new(faults.to_server, seed), state.clone());
        let to_client =
            forward(server_read, client_write, DirectionState::new(faults.to_client, !seed), state.clone());
        tokio::select! {
            end = forward_both(to_server, to_client) => end,
            () = wait_for_state(&mut state, |s| *s == LinkState::Reset) => LinkEnd::Reset,
        }
    };
    match end {
        LinkEnd::Close => {}
        LinkEnd::Reset => {
            reset(&client);
            reset(&server);
        }
        LinkEnd::Blackhole => wait_for_state(&mut state, |s| *s == LinkState::Reset).await,
    }
}

/// Runs both directions until both are closed, or until the first one that ends otherwise.
async fn forward_both(
    to_server: impl std::future::Future<Output = io::Result<Option<LinkEnd>>>,
    to_client: impl std::future::Future<Output = io::Result<Option<LinkEnd>>>,
) -> LinkEnd {
    let to_result = |end: io::Result<Option<LinkEnd>>| match end {
        Ok(None) => Ok(()),
        Ok(Some(end)) => Err(end),
        Err(_) => Err(LinkEnd::Reset),
    };
    let ends = tokio::try_join!(async { to_result(to_server.await) }, async { to_result(to_client.await) });
    ends.err().unwrap_or(LinkEnd::Close)
}

/// Forwards one direction until its sender closes it (none) or its script ends the link.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut direction: DirectionState,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<Option<LinkEnd>> {
    let start = Instant::now();
    let mut queue: VecDeque<(Duration, Vec<u8>)> = VecDeque::new();
    let (mut buffered_bytes, mut input_ended, mut end) = (0, false, None);
    let mut buffer = vec![0; 16 * 1024];
    loop {
        if input_ended && queue.is_empty() {
            if end.is_none() {
                to.shutdown().await?;
            }
            return Ok(end);
        }
        wait_for_state(&mut state, |s| *s == LinkState::Up).await;
        let due_at = start + queue.front().map_or(Duration::ZERO, |piece| piece.0);
        tokio::select! {
            read = from.read(&mut buffer), if !input_ended && buffered_bytes < MAX_BUFFERED_BYTES => {
                let n = read?;
                let (pieces, link_end) = direction.schedule(start.elapsed(), &buffer[..n]);
                buffered_bytes += pieces.iter().map(|p| p.1.len()).sum::<usize>();
                queue.extend(pieces);
                (input_ended, end) = (n == 0 || link_end.is_some(), link_end);
            }
            () = sleep_until(due_at), if !queue.is_empty() => {
                if let Some((_, bytes)) = queue.pop_front() {
                    buffered_bytes -= bytes.len();
                    to.write_all(&bytes).await?;
                }
            }
            _ = state.changed() => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    fn forwarded_bytes(faults: DirectionFaults, read_size: usize) -> Vec<u8> {
        let bytes: Vec<u8> = (0..=255).cycle().take(4096).collect();
        let mut direction = DirectionState::new(faults, 7);
        bytes
            .chunks(read_size)
            .flat_map(|part| direction.schedule(Duration::ZERO, part).0)
            .flat_map(|p| p.1)
            .collect()
    }

    /// Loss is drawn per byte, so it does not depend on the sizes of the reads.
    #[test]
    fn loss_does_not_depend_on_read_sizes() {
        let lossy = DirectionFaults { loss_ratio: 0.1, ..DirectionFaults::default() };
        let whole = forwarded_bytes(lossy, 4096);
        assert!((3500..3800).contains(&whole.len()), "{}", whole.len());
        for read_size in [1, 7, 1000] {
            assert_eq!(forwarded_bytes(lossy, read_size), whole);
        }
        assert_eq!(forwarded_bytes(DirectionFaults::default(), 100).len(), 4096);
    }

    #[test]
    fn delayed_bytes_keep_their_order_and_bandwidth() {
        let second = Duration::from_secs(1);
        let mut slow = DirectionState::new(
            DirectionFaults { delay: 2 * second, bytes_per_second: Some(1), ..DirectionFaults::default() },
            1,
        );
        let (pieces, _) = slow.schedule(second, b"abc");
        let due_at: Vec<_> = pieces.iter().map(|p| (p.0.as_secs(), p.1[0])).collect();
        assert_eq!(due_at, [(4, b'a'), (5, b'b'), (6, b'c')]);
        let faults = DirectionFaults { delay: second, jitter: second, ..DirectionFaults::default() };
        let mut jittery = DirectionState::new(faults, 1);
        let due_at: Vec<_> =
            (0..50).map(|k| jittery.schedule(Duration::from_millis(k * 10), b"x").0[0].0).collect();
        assert!(
            due_at.is_sorted() && due_at[0] >= second && due_at[49] <= Duration::from_millis(2490),
            "{due_at:?}"
        );
        assert!(due_at.windows(2).any(|w| w[1] - w[0] > Duration::from_millis(20)), "no jitter: {due_at:?}");
    }

    #[test]
    fn a_direction_ends_after_its_byte_limit() {
        let mut direction = DirectionState::new(
            DirectionFaults { end: Some((5, LinkEnd::Reset)), ..DirectionFaults::default() },
            1,
        );
        assert_eq!(
            direction.schedule(Duration::ZERO, b"abc"),
            (vec![(Duration::ZERO, b"abc".to_vec())], None)
        );
        let (pieces, end) = direction.schedule(Duration::ZERO, b"defg");
        assert_eq!((pieces[0].1.as_slice(), end), (&b"de"[..], Some(LinkEnd::Reset)));
    }

    fn start_echo_server() -> SocketAddr {
        crate::spawn_raw_server(|mut stream| {
            let mut buffer = [0; 64];
            while let Ok(n @ 1..) = stream.read(&mut buffer) {
                if stream.write_all(&buffer[..n]).is_err() {
                    return;
                }
            }
        })
    }

    fn connect(link: &Link) -> std::net::TcpStream {
        let stream = std::net::TcpStream::connect(link.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream
    }

    #[test]
    fn close_and_reset_reach_the_client() {
        let ends = [LinkEnd::Close, LinkEnd::Reset];
        let link = Link::new(start_echo_server(), 1, move |n| ConnectionFaults {
            to_client: DirectionFaults { end: Some((2, ends[n])), ..DirectionFaults::default() },
            ..ConnectionFaults::default()
        });
        let mut closed_stream = connect(&link);
        closed_stream.write_all(b"abc").unwrap();
        let mut seen = Vec::new();
        closed_stream.read_to_end(&mut seen).unwrap();
        assert_eq!(seen, b"ab");
        let mut reset_stream = connect(&link);
        reset_stream.write_all(b"abc").unwrap();
        let kind = reset_stream.read_to_end(&mut Vec::new()).unwrap_err().kind();
        assert_eq!(kind, io::ErrorKind::ConnectionReset);
    }

    /// Bytes sent while the link is black-holed arrive when it is up again.
    #[test]
    fn black_hole_delays_bytes_and_reset_ends_connections() {
        let link = Link::transparent(start_echo_server());
        let mut stream = connect(&link);
        let mut byte = [0];
        stream.write_all(b"a").unwrap();
        stream.read_exact(&mut byte).unwrap();
        link.set_state(LinkState::Blackholed);
        stream.write_all(b"b").unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        assert!(stream.read(&mut byte).is_err(), "no bytes pass");
        link.set_state(LinkState::Up);
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"b");
        link.set_state(LinkState::Reset);
        assert!(stream.read(&mut byte).is_err(), "the connection is reset");
        let mut other = connect(&link);
        assert!(other.read(&mut byte).is_err(), "a new connection is reset");
    }
}
