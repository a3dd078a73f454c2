//! A link between two peers that does to their bytes what networks do: delay, loss, a slow pace, a cut, silence.
//!
//! What is scripted is what comes out of the far end. Connecting itself is the kernel's and takes no time, and bytes
//! that are lost are lost for good: a link that repairs them is one that delays them.

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

/// Bytes that are on their way at once, in one direction of one connection; more are not read.
const UNDERWAY: usize = 256 * 1024;
/// A link with a pace passes this many pieces a second at most.
const PIECES: u64 = 50;

/// What becomes of the bytes that go one way.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectionFaults {
    /// Each byte comes out this much later.
    pub delay: Duration,
    /// And, drawn for each piece, up to this much later still. Bytes keep their order.
    pub jitter: Duration,
    /// Part of the bytes that is lost; which ones is drawn.
    pub loss_ratio: f64,
    /// Bytes a second.
    pub bytes_per_second: Option<u64>,
    /// What happens once this many bytes have gone in.
    pub end: Option<(u64, LinkEnd)>,
}

/// How a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// Both peers see an orderly end.
    Close,
    /// Both peers see a reset.
    Reset,
    /// Nothing passes any more either way, and nobody is told.
    Blackhole,
}

/// What one connection is in for.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionFaults {
    /// From the one that connects.
    pub to_server: DirectionFaults,
    /// To the one that connects.
    pub to_client: DirectionFaults,
}

/// What holds for all of a link's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Each goes its scripted ways.
    Up,
    /// Nothing passes, until it is up again.
    Blackholed,
    /// Those that are there are reset, and so is each new one.
    Reset,
}

/// The bytes of one way, apart from any socket.
struct Passage {
    way: DirectionFaults,
    taken: u64,
    due: Duration,
    draw: Pcg64,
}

impl Passage {
    fn new(way: DirectionFaults, seed: u64) -> Self {
        Passage { way, taken: 0, due: Duration::ZERO, draw: Pcg64::seed_from_u64(seed) }
    }

    fn lost(&mut self) -> bool {
        (self.draw.next_u64() as f64) < self.way.loss_ratio * u64::MAX as f64
    }

    /// What comes out of these bytes, which went in at this time, and when; and whether the way ends behind them.
    fn take(&mut self, at: Duration, bytes: &[u8]) -> (Vec<(Duration, Vec<u8>)>, Option<LinkEnd>) {
        let (room, mut end) = match self.way.end {
            Some((limit, end)) => (limit.saturating_sub(self.taken), Some(end)),
            None => (u64::MAX, None),
        };
        let bytes = &bytes[..bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX))];
        if (bytes.len() as u64) < room {
            end = None;
        }
        self.taken += bytes.len() as u64;
        let jitter = match self.way.jitter.as_nanos() as u64 {
            0 => Duration::ZERO,
            most => Duration::from_nanos(self.draw.next_u64() % most),
        };
        self.due = self.due.max(at + self.way.delay + jitter);
        let piece =
            self.way.bytes_per_second.map_or(bytes.len(), |pace| pace.div_ceil(PIECES) as usize).max(1);
        let mut out = Vec::new();
        for part in bytes.chunks(piece) {
            if let Some(pace) = self.way.bytes_per_second {
                self.due += Duration::from_secs_f64(part.len() as f64 / pace.max(1) as f64);
            }
            let mut kept = part.to_vec();
            if self.way.loss_ratio > 0.0 {
                kept.retain(|_| !self.lost());
            }
            if !kept.is_empty() {
                out.push((self.due, kept));
            }
        }
        (out, end)
    }
}

/// A link to one server. Dropped, it lets go of all its connections.
pub struct Link {
    /// Where its near end listens.
    pub address: SocketAddr,
    /// Connections so far.
    pub connections: Arc<AtomicUsize>,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// A link whose script gets the number of the connection, from 0. The seed settles what is drawn.
    pub fn new(
        to: SocketAddr,
        seed: u64,
        script: impl Fn(usize) -> ConnectionFaults + Send + 'static,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (state, follow) = watch::channel(LinkState::Up);
        let connections = Arc::new(AtomicUsize::new(0));
        let count = connections.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let listener = TcpListener::from_std(listener).unwrap();
                let mut over = follow.clone();
                loop {
                    let accepted = tokio::select! {
                        accepted = listener.accept() => accepted,
                        // The link has been dropped.
                        _ = gone(&mut over) => return,
                    };
                    if let Ok((near, _)) = accepted {
                        let number = count.fetch_add(1, Ordering::SeqCst);
                        let seed = seed ^ (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                        tokio::spawn(connection(near, to, script(number), seed, follow.clone()));
                    }
                }
            });
        });
        Link { address, connections, state }
    }

    /// A link that passes all as it comes, for as long as it is up.
    pub fn transparent(to: SocketAddr) -> Self {
        Link::new(to, 0, |_| ConnectionFaults::default())
    }

    /// Changes what holds for all its connections.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn gone(state: &mut watch::Receiver<LinkState>) {
    while state.changed().await.is_ok() {}
}

async fn until(state: &mut watch::Receiver<LinkState>, wanted: impl FnMut(&LinkState) -> bool) {
    if state.wait_for(wanted).await.is_err() {
        pending::<()>().await;
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(
    mut near: TcpStream,
    to: SocketAddr,
    ways: ConnectionFaults,
    seed: u64,
    mut state: watch::Receiver<LinkState>,
) {
    let Ok(mut far) = TcpStream::connect(to).await else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let end = {
        let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
        let there = carry(near_read, far_write, Passage::new(ways.to_server, seed), state.clone());
        let back = carry(far_read, near_write, Passage::new(ways.to_client, !seed), state.clone());
        tokio::select! {
            end = both(there, back) => end,
            () = until(&mut state, |s| *s == LinkState::Reset) => LinkEnd::Reset,
        }
    };
    match end {
        LinkEnd::Close => {}
        LinkEnd::Reset => {
            reset(&near);
            reset(&far);
        }
        LinkEnd::Blackhole => until(&mut state, |s| *s == LinkState::Reset).await,
    }
}

/// Both ways to their orderly ends, or the first that ends in another manner.
async fn both(
    there: impl std::future::Future<Output = io::Result<Option<LinkEnd>>>,
    back: impl std::future::Future<Output = io::Result<Option<LinkEnd>>>,
) -> LinkEnd {
    let told = |end: io::Result<Option<LinkEnd>>| match end {
        Ok(None) => Ok(()),
        Ok(Some(end)) => Err(end),
        Err(_) => Err(LinkEnd::Reset),
    };
    let ends = tokio::try_join!(async { told(there.await) }, async { told(back.await) });
    ends.err().unwrap_or(LinkEnd::Close)
}

/// Carries the bytes of one way until its peer ends it (none) or its script does.
async fn carry(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut passage: Passage,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<Option<LinkEnd>> {
    let start = Instant::now();
    let mut queue: VecDeque<(Duration, Vec<u8>)> = VecDeque::new();
    let (mut underway, mut over, mut end) = (0, false, None);
    let mut buffer = vec![0; 16 * 1024];
    loop {
        if over && queue.is_empty() {
            if end.is_none() {
                to.shutdown().await?;
            }
            return Ok(end);
        }
        until(&mut state, |s| *s == LinkState::Up).await;
        let due = start + queue.front().map_or(Duration::ZERO, |piece| piece.0);
        tokio::select! {
            read = from.read(&mut buffer), if !over && underway < UNDERWAY => {
                let n = read?;
                let (pieces, ended) = passage.take(start.elapsed(), &buffer[..n]);
                underway += pieces.iter().map(|p| p.1.len()).sum::<usize>();
                queue.extend(pieces);
                (over, end) = (n == 0 || ended.is_some(), ended);
            }
            () = sleep_until(due), if !queue.is_empty() => {
                if let Some((_, bytes)) = queue.pop_front() {
                    underway -= bytes.len();
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

    fn out(way: DirectionFaults, cuts: usize) -> Vec<u8> {
        let bytes: Vec<u8> = (0..=255).cycle().take(4096).collect();
        let mut passage = Passage::new(way, 7);
        bytes.chunks(cuts).flat_map(|part| passage.take(Duration::ZERO, part).0).flat_map(|p| p.1).collect()
    }

    /// The same bytes are lost however they were cut into pieces.
    #[test]
    fn loss_is_drawn_by_byte() {
        let lossy = DirectionFaults { loss_ratio: 0.1, ..DirectionFaults::default() };
        let whole = out(lossy, 4096);
        assert!((3500..3800).contains(&whole.len()), "{}", whole.len());
        for cuts in [1, 7, 1000] {
            assert_eq!(out(lossy, cuts), whole);
        }
        assert_eq!(out(DirectionFaults::default(), 100).len(), 4096);
    }

    #[test]
    fn bytes_come_late_in_order_and_at_their_pace() {
        let second = Duration::from_secs(1);
        let mut slow = Passage::new(
            DirectionFaults { delay: 2 * second, bytes_per_second: Some(1), ..DirectionFaults::default() },
            1,
        );
        let (pieces, _) = slow.take(second, b"abc");
        let due: Vec<_> = pieces.iter().map(|p| (p.0.as_secs(), p.1[0])).collect();
        assert_eq!(due, [(4, b'a'), (5, b'b'), (6, b'c')]);
        let way = DirectionFaults { delay: second, jitter: second, ..DirectionFaults::default() };
        let mut shaky = Passage::new(way, 1);
        let due: Vec<_> = (0..50).map(|k| shaky.take(Duration::from_millis(k * 10), b"x").0[0].0).collect();
        assert!(due.is_sorted() && due[0] >= second && due[49] <= Duration::from_millis(2490), "{due:?}");
        assert!(due.windows(2).any(|w| w[1] - w[0] > Duration::from_millis(20)), "it is drawn: {due:?}");
    }

    #[test]
    fn a_way_ends_behind_its_last_byte() {
        let mut passage =
            Passage::new(DirectionFaults { end: Some((5, LinkEnd::Reset)), ..DirectionFaults::default() }, 1);
        assert_eq!(passage.take(Duration::ZERO, b"abc"), (vec![(Duration::ZERO, b"abc".to_vec())], None));
        let (pieces, end) = passage.take(Duration::ZERO, b"defg");
        assert_eq!((pieces[0].1.as_slice(), end), (&b"de"[..], Some(LinkEnd::Reset)));
    }

    fn echo() -> SocketAddr {
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
    fn ends_are_seen_as_they_are() {
        let ends = [LinkEnd::Close, LinkEnd::Reset];
        let link = Link::new(echo(), 1, move |n| ConnectionFaults {
            to_client: DirectionFaults { end: Some((2, ends[n])), ..DirectionFaults::default() },
            ..ConnectionFaults::default()
        });
        let mut closed = connect(&link);
        closed.write_all(b"abc").unwrap();
        let mut seen = Vec::new();
        closed.read_to_end(&mut seen).unwrap();
        assert_eq!(seen, b"ab");
        let mut cut = connect(&link);
        cut.write_all(b"abc").unwrap();
        let kind = cut.read_to_end(&mut Vec::new()).unwrap_err().kind();
        assert_eq!(kind, io::ErrorKind::ConnectionReset);
    }

    /// What was sent into the silence comes out when it ends.
    #[test]
    fn silence_holds_and_a_cut_resets() {
        let link = Link::transparent(echo());
        let mut stream = connect(&link);
        let mut byte = [0];
        stream.write_all(b"a").unwrap();
        stream.read_exact(&mut byte).unwrap();
        link.set_state(LinkState::Blackholed);
        stream.write_all(b"b").unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        assert!(stream.read(&mut byte).is_err(), "nothing passes");
        link.set_state(LinkState::Up);
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"b");
        link.set_state(LinkState::Reset);
        assert!(stream.read(&mut byte).is_err(), "a reset");
        let mut other = connect(&link);
        assert!(other.read(&mut byte).is_err(), "and for new ones");
    }
}
