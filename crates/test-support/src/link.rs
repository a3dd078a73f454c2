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
pub struct Way {
    /// Each byte comes out this much later.
    pub delay: Duration,
    /// And, drawn for each piece, up to this much later still. Bytes keep their order.
    pub jitter: Duration,
    /// Part of the bytes that is lost; which ones is drawn.
    pub loss: f64,
    /// Bytes a second.
    pub pace: Option<u64>,
    /// What happens once this many bytes have gone in.
    pub end: Option<(u64, End)>,
}

/// How a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Both peers see an orderly end.
    Close,
    /// Both peers see a reset.
    Cut,
    /// Nothing passes any more either way, and nobody is told.
    Silence,
}

/// What one connection is in for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ways {
    /// From the one that connects.
    pub there: Way,
    /// To the one that connects.
    pub back: Way,
}

/// What holds for all of a link's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Each goes its scripted ways.
    Up,
    /// Nothing passes, until it is up again.
    Silent,
    /// Those that are there are reset, and so is each new one.
    Cut,
}

/// The bytes of one way, apart from any socket.
struct Passage {
    way: Way,
    taken: u64,
    due: Duration,
    draw: Pcg64,
}

impl Passage {
    fn new(way: Way, seed: u64) -> Self {
        Passage { way, taken: 0, due: Duration::ZERO, draw: Pcg64::seed_from_u64(seed) }
    }

    fn lost(&mut self) -> bool {
        (self.draw.next_u64() as f64) < self.way.loss * u64::MAX as f64
    }

    /// What comes out of these bytes, which went in at this time, and when; and whether the way ends behind them.
    fn take(&mut self, at: Duration, bytes: &[u8]) -> (Vec<(Duration, Vec<u8>)>, Option<End>) {
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
        let piece = self.way.pace.map_or(bytes.len(), |pace| pace.div_ceil(PIECES) as usize).max(1);
        let mut out = Vec::new();
        for part in bytes.chunks(piece) {
            if let Some(pace) = self.way.pace {
                self.due += Duration::from_secs_f64(part.len() as f64 / pace.max(1) as f64);
            }
            let mut kept = part.to_vec();
            if self.way.loss > 0.0 {
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
    state: watch::Sender<State>,
}

impl Link {
    /// A link whose script gets the number of the connection, from 0. The seed settles what is drawn.
    pub fn new(to: SocketAddr, seed: u64, script: impl Fn(usize) -> Ways + Send + 'static) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (state, follow) = watch::channel(State::Up);
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
    pub fn plain(to: SocketAddr) -> Self {
        Link::new(to, 0, |_| Ways::default())
    }

    /// Changes what holds for all its connections.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }
}

async fn gone(state: &mut watch::Receiver<State>) {
    while state.changed().await.is_ok() {}
}

async fn until(state: &mut watch::Receiver<State>, wanted: impl FnMut(&State) -> bool) {
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
    ways: Ways,
    seed: u64,
    mut state: watch::Receiver<State>,
) {
    let Ok(mut far) = TcpStream::connect(to).await else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let end = {
        let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
        let there = carry(near_read, far_write, Passage::new(ways.there, seed), state.clone());
        let back = carry(far_read, near_write, Passage::new(ways.back, !seed), state.clone());
        tokio::select! {
            end = both(there, back) => end,
            () = until(&mut state, |s| *s == State::Cut) => End::Cut,
        }
    };
    match end {
        End::Close => {}
        End::Cut => {
            reset(&near);
            reset(&far);
        }
        End::Silence => until(&mut state, |s| *s == State::Cut).await,
    }
}

/// Both ways to their orderly ends, or the first that ends in another manner.
async fn both(
    there: impl std::future::Future<Output = io::Result<Option<End>>>,
    back: impl std::future::Future<Output = io::Result<Option<End>>>,
) -> End {
    let told = |end: io::Result<Option<End>>| match end {
        Ok(None) => Ok(()),
        Ok(Some(end)) => Err(end),
        Err(_) => Err(End::Cut),
    };
    let ends = tokio::try_join!(async { told(there.await) }, async { told(back.await) });
    ends.err().unwrap_or(End::Close)
}

/// Carries the bytes of one way until its peer ends it (none) or its script does.
async fn carry(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut passage: Passage,
    mut state: watch::Receiver<State>,
) -> io::Result<Option<End>> {
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
        until(&mut state, |s| *s == State::Up).await;
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

    fn out(way: Way, cuts: usize) -> Vec<u8> {
        let bytes: Vec<u8> = (0..=255).cycle().take(4096).collect();
        let mut passage = Passage::new(way, 7);
        bytes.chunks(cuts).flat_map(|part| passage.take(Duration::ZERO, part).0).flat_map(|p| p.1).collect()
    }

    /// The same bytes are lost however they were cut into pieces.
    #[test]
    fn loss_is_drawn_by_byte() {
        let lossy = Way { loss: 0.1, ..Way::default() };
        let whole = out(lossy, 4096);
        assert!((3500..3800).contains(&whole.len()), "{}", whole.len());
        for cuts in [1, 7, 1000] {
            assert_eq!(out(lossy, cuts), whole);
        }
        assert_eq!(out(Way::default(), 100).len(), 4096);
    }

    #[test]
    fn bytes_come_late_in_order_and_at_their_pace() {
        let second = Duration::from_secs(1);
        let mut slow = Passage::new(Way { delay: 2 * second, pace: Some(1), ..Way::default() }, 1);
        let (pieces, _) = slow.take(second, b"abc");
        let due: Vec<_> = pieces.iter().map(|p| (p.0.as_secs(), p.1[0])).collect();
        assert_eq!(due, [(4, b'a'), (5, b'b'), (6, b'c')]);
        let way = Way { delay: second, jitter: second, ..Way::default() };
        let mut shaky = Passage::new(way, 1);
        let due: Vec<_> = (0..50).map(|k| shaky.take(Duration::from_millis(k * 10), b"x").0[0].0).collect();
        assert!(due.is_sorted() && due[0] >= second && due[49] <= Duration::from_millis(2490), "{due:?}");
        assert!(due.windows(2).any(|w| w[1] - w[0] > Duration::from_millis(20)), "it is drawn: {due:?}");
    }

    #[test]
    fn a_way_ends_behind_its_last_byte() {
        let mut passage = Passage::new(Way { end: Some((5, End::Cut)), ..Way::default() }, 1);
        assert_eq!(passage.take(Duration::ZERO, b"abc"), (vec![(Duration::ZERO, b"abc".to_vec())], None));
        let (pieces, end) = passage.take(Duration::ZERO, b"defg");
        assert_eq!((pieces[0].1.as_slice(), end), (&b"de"[..], Some(End::Cut)));
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
        let ends = [End::Close, End::Cut];
        let link = Link::new(echo(), 1, move |n| Ways {
            back: Way { end: Some((2, ends[n])), ..Way::default() },
            ..Ways::default()
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
        let link = Link::plain(echo());
        let mut stream = connect(&link);
        let mut byte = [0];
        stream.write_all(b"a").unwrap();
        stream.read_exact(&mut byte).unwrap();
        link.set(State::Silent);
        stream.write_all(b"b").unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        assert!(stream.read(&mut byte).is_err(), "nothing passes");
        link.set(State::Up);
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.read_exact(&mut byte).unwrap();
        assert_eq!(byte, *b"b");
        link.set(State::Cut);
        assert!(stream.read(&mut byte).is_err(), "a reset");
        let mut other = connect(&link);
        assert!(other.read(&mut byte).is_err(), "and for new ones");
    }
}
