//! One TCP connection, shared between hyper and the node: hyper reads and writes it, the node asks what has
//! gone over it.

use corkhollow_operate::IntCounter;
use memchr::memmem;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Whether descriptors are used up, for the process (EMFILE) or for the system (ENFILE).
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(24 | 23))
}

/// A connection and what the node has to know of it.
#[derive(Debug)]
pub struct Socket {
    /// Lent to hyper for the length of one call.
    stream: RefCell<TcpStream>,
    /// When the first of what has come since the node last cleared this came.
    pub first_byte_at: Cell<Option<Instant>>,
    /// Something has gone either way since the node last cleared this.
    pub had_traffic: Cell<bool>,
    outgoing: Cell<Outgoing>,
    /// When the request was out whole.
    written_at: Cell<Option<Instant>>,
    /// Counts a request once it is out whole.
    forwards: RefCell<Option<IntCounter>>,
    /// Hyper has handed over all that it has to write.
    flushed: Cell<bool>,
    /// What is to go out before anything else of hyper's: one message at most.
    said: RefCell<Vec<u8>>,
    first: RefCell<Vec<u8>>,
    /// How much has been handed to hyper since the first byte of the request under way, and where its head ends there, once that is
    /// known.
    received: Cell<u64>,
    head_end: Cell<Option<u64>>,
    /// Where what is kept of that begins.
    first_at: Cell<u64>,
    /// What the node has read before hyper wanted it.
    ahead: RefCell<Vec<u8>>,
}

/// How much is read ahead of hyper.
const AHEAD: usize = 16 * 1024;

/// How much of what comes first is kept as it came: no less than the longest head, or a length could hide there.
const FIRST: usize = 16 * 1024;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// How much of a request has been handed to the kernel. A request of which it does not have the last byte
/// cannot have run, and only that proves that an unsafe one may be sent again.
#[derive(Clone, Copy, Debug, Default)]
struct Outgoing {
    /// How many bytes of the blank line that ends a head have just gone by.
    blank: u8,
    body_left: u64,
}

impl Outgoing {
    fn whole(&self) -> bool {
        self.blank == 4 && self.body_left == 0
    }

    fn note(&mut self, bytes: &[u8]) {
        let mut at = 0;
        // The head ends with its blank line; whatever follows is body, and only that counts down `body_left`.
        while at < bytes.len() && self.blank < 4 {
            self.blank = match (bytes[at], self.blank) {
                (b'\r', 2) => 3,
                (b'\r', _) => 1,
                (b'\n', 1) => 2,
                (b'\n', 3) => 4,
                _ => 0,
            };
            at += 1;
        }
        self.body_left = self.body_left.saturating_sub((bytes.len() - at) as u64);
    }
}

impl Socket {
    pub fn new(stream: TcpStream) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        Rc::new(Socket {
            stream: RefCell::new(stream),
            first_byte_at: Cell::new(None),
            had_traffic: Cell::new(true),
            outgoing: Cell::default(),
            written_at: Cell::default(),
            forwards: RefCell::default(),
            flushed: Cell::new(true),
            said: RefCell::default(),
            first: RefCell::default(),
            received: Cell::default(),
            head_end: Cell::default(),
            first_at: Cell::default(),
            ahead: RefCell::default(),
        })
    }

    fn hear(&self, bytes: &[u8]) {
        self.had_traffic.set(true);
        let mut first = self.first.borrow_mut();
        if self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(Instant::now()));
            first.clear();
            self.received.set(0);
            self.first_at.set(0);
            self.head_end.set(None);
        }
        self.received.set(self.received.get() + bytes.len() as u64);
        if !first.ends_with(HEAD_END) {
            let (room, seen) = (FIRST - first.len(), first.len().saturating_sub(HEAD_END.len() - 1));
            first.extend_from_slice(&bytes[..bytes.len().min(room)]);
            // Only the head is kept: a body may say what it likes, and memory is short.
            if let Some(end) = memmem::find(&first[seen..], HEAD_END) {
                first.truncate(seen + end + HEAD_END.len());
                let head_end = self.first_at.get() + first.len() as u64;
                self.head_end.set(self.head_end.get().or(Some(head_end)));
            }
        }
    }

    /// A request with a body of this length, where that is known, is over: what comes next is another's. What came behind it in one
    /// piece is in hyper's hands already, and is the beginning of that one.
    pub fn end_request(&self, body: Option<u64>) {
        let whole = self.head_end.get().zip(body).map(|(head, body)| head + body);
        let behind = whole.map_or(0, |whole| self.received.get().saturating_sub(whole));
        self.first_byte_at.set((behind > 0).then(Instant::now));
        self.first.borrow_mut().clear();
        self.received.set(behind);
        self.first_at.set(behind);
        self.head_end.set(None);
    }

    /// Whether what came first is the whole head of a request with this method. It is not where the head, or the
    /// beginning of it, came behind the request before; a later line cannot begin like this, for no header's name
    /// has a space in it.
    pub fn has_whole_head(&self, method: &str) -> bool {
        let first = self.first.borrow();
        let line = first.strip_prefix(method.as_bytes()).is_some_and(|rest| rest.starts_with(b" "));
        line && first.ends_with(HEAD_END)
    }

    /// Whether this, in small letters, stands in what came first.
    pub fn head_contains(&self, text: &str) -> bool {
        let first = self.first.borrow().to_ascii_lowercase();
        first.windows(text.len()).any(|w| w == text.as_bytes())
    }

    /// Whether a line of the head that came first ends with a bare line feed, which not all take for an end.
    pub fn head_has_bare_line_feed(&self) -> bool {
        let first = self.first.borrow();
        memchr::memchr_iter(b'\n', &first).any(|k| k == 0 || first[k - 1] != b'\r')
    }

    /// A request with a body of this length is about to be written.
    pub fn begin_request(&self, body: u64, forwards: IntCounter) {
        self.forwards.replace(Some(forwards));
        self.written_at.set(None);
        self.outgoing.set(Outgoing { body_left: body, ..Outgoing::default() });
        // What comes from here on is the answer.
        self.first_byte_at.set(None);
    }

    /// The kernel has the last byte of the request: from here on it may have run.
    pub fn is_request_written(&self) -> bool {
        self.outgoing.get().whole()
    }

    /// How long ago the request was out whole; none where it isn't.
    pub fn time_since_written(&self) -> Option<Duration> {
        self.written_at.get().map(|at| at.elapsed())
    }

    /// Hyper has nothing left to write.
    pub fn has_flushed(&self) -> bool {
        self.flushed.get()
    }

    /// Writes a message of its own between two of hyper's; nothing where hyper is in the middle of one, or where the
    /// peer has not even taken the message before.
    pub fn write_between(&self, message: &[u8]) {
        let mut said = self.said.borrow_mut();
        if self.flushed.get() && said.is_empty() {
            // What fails here fails for hyper too.
            let n = self.stream.borrow().try_write(message).unwrap_or(0);
            self.had_traffic.set(true);
            said.extend_from_slice(&message[n..]);
        }
    }

    /// Writes the rest of what was said.
    fn poll_said(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut said = self.said.borrow_mut();
        while !said.is_empty() {
            let n = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, &said))?;
            said.drain(..n);
        }
        Poll::Ready(Ok(()))
    }

    /// Ends this side and throws away what still comes, until the peer ends its own, is silent for so long or goes on
    /// for too long: a close with bytes unread is a reset, which may take the last answer with it (RFC 9112, 9.6).
    pub async fn lingering_close(&self, silent: Duration, longest: Duration) {
        let _ = socket2::SockRef::from(&*self.stream.borrow()).shutdown(std::net::Shutdown::Write);
        let mut bytes = [0; 4096];
        let read = async {
            loop {
                let mut buf = ReadBuf::new(&mut bytes);
                let next = poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buf));
                if !matches!(timeout(silent, next).await, Ok(Ok(()))) || buf.filled().is_empty() {
                    return;
                }
            }
        };
        let _ = timeout(longest, read).await;
    }

    /// Ends when the peer has ended its side or the connection has broken. What comes before that is kept for hyper, which
    /// reads nothing more behind a request that it has read until that one is answered, and so sees no end behind it. What
    /// is too much to keep is thrown away where it `spills`, and told of; elsewhere it stays where it is, and so does
    /// the end behind it.
    pub fn poll_peer_closed(&self, cx: &mut Context<'_>, spills: Option<&Cell<bool>>) -> Poll<()> {
        let mut bytes = [0; 4096];
        loop {
            let mut ahead = self.ahead.borrow_mut();
            let room = AHEAD - ahead.len();
            if room == 0 && spills.is_none() {
                return Poll::Pending;
            }
            let most = if spills.is_some() { bytes.len() } else { room.min(bytes.len()) };
            let mut buf = ReadBuf::new(&mut bytes[..most]);
            let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buf);
            let came = buf.filled();
            if ready!(read).is_err() || came.is_empty() {
                return Poll::Ready(());
            }
            ahead.extend_from_slice(&came[..came.len().min(room)]);
            if let Some(spills) = spills.filter(|_| came.len() > room) {
                spills.set(true);
            }
            // Hyper may have asked just before this came, and would not ask again.
            cx.waker().wake_by_ref();
        }
    }

    /// Something has come that nobody has read, as far as the kernel knows.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        socket2::SockRef::from(&*self.stream.borrow()).peek(&mut byte).is_ok_and(|n| n > 0)
    }

    /// The peer has ended its side or the connection has broken, and there is nothing to read before that. This asks the kernel itself.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match socket2::SockRef::from(&*self.stream.borrow()).peek(&mut byte) {
            Ok(count) => count == 0 && self.ahead.borrow().is_empty(),
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// Nothing has come and the peer has not closed. This asks the kernel itself: what the runtime knows may
    /// be older than a close that would lose the next request.
    pub fn is_quiet(&self) -> bool {
        if !self.ahead.borrow().is_empty() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        let seen = socket2::SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The side of a [`Socket`] that hyper holds.
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        // The stream's own read knows when a short one has emptied the kernel's buffer, and spares the next.
        let before = buf.filled().len();
        let mut ahead = self.0.ahead.borrow_mut();
        if !ahead.is_empty() {
            let most = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..most]);
            ahead.drain(..most);
            if ahead.is_empty() {
                // It is rare: no connection keeps memory for it.
                *ahead = Vec::new();
            }
            self.0.hear(&buf.filled()[before..]);
            return Poll::Ready(Ok(()));
        }
        ready!(Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf))?;
        let came = &buf.filled()[before..];
        if !came.is_empty() {
            self.0.hear(came);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.0.poll_said(cx))?;
        self.0.flushed.set(false);
        let n = ready!(Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, slices))?;
        self.0.had_traffic.set(true);
        let (mut outgoing, mut left) = (self.0.outgoing.get(), n);
        for slice in slices {
            let part = left.min(slice.len());
            outgoing.note(&slice[..part]);
            left -= part;
        }
        self.0.outgoing.set(outgoing);
        if outgoing.whole() {
            if let Some(forwards) = self.0.forwards.take() {
                forwards.inc();
                self.0.written_at.set(Some(Instant::now()));
            }
        }
        Poll::Ready(Ok(n))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.flushed.set(true);
        self.0.poll_said(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0.stream.borrow()).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Neither an unwritten head nor an unwritten body has gone out whole, however the bytes are cut.
    #[test]
    fn a_request_is_out_with_its_last_byte_and_not_before() {
        for body in [&b""[..], b"body\r\n\r\nwith a blank line"] {
            let request = [&b"POST / HTTP/1.1\r\nA: b\r\n\r\n"[..], body].concat();
            for step in 1..=request.len() {
                let mut out = Outgoing { body_left: body.len() as u64, ..Outgoing::default() };
                for (k, part) in request.chunks(step).enumerate() {
                    assert!(!out.whole(), "{} of {} bytes", k * step, request.len());
                    out.note(part);
                }
                assert!(out.whole(), "all of {} bytes, {step} at a time", request.len());
            }
        }
    }

    /// A kept connection that its server has closed is noticed without the runtime's having been told.
    #[tokio::test]
    async fn a_close_ends_the_quiet() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = Socket::new(TcpStream::connect(listener.local_addr().unwrap()).await.unwrap());
        let peer = listener.accept().unwrap().0;
        assert!(socket.is_quiet());
        drop(peer);
        let start = std::time::Instant::now();
        while socket.is_quiet() {
            assert!(start.elapsed().as_secs() < 20, "the close never came");
        }
    }

    /// What is said between two messages comes out there, whole, also where the peer takes little at a time; in the
    /// middle of a message nothing is said.
    #[tokio::test]
    async fn what_is_said_stands_between_messages() {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = Socket::new(TcpStream::connect(listener.local_addr().unwrap()).await.unwrap());
        let peer = listener.accept().unwrap().0;
        peer.set_nonblocking(true).unwrap();
        let mut peer = TcpStream::from_std(peer).unwrap();
        let mut io = SocketIo(socket.clone());
        let long = vec![b'a'; 32 << 20];
        socket.write_between(&long);
        socket.write_between(b"too much");
        assert!(!socket.said.borrow().is_empty(), "the kernel took all of it");
        let write = async {
            io.write_all(b"bbb").await.unwrap();
            socket.write_between(b"in the middle");
            io.write_all(b"bbb").await.unwrap();
            io.flush().await.unwrap();
            socket.write_between(b"cc");
            drop(io);
            drop(socket);
        };
        let mut seen = Vec::new();
        let (_, read) = tokio::join!(write, peer.read_to_end(&mut seen));
        read.unwrap();
        assert!(seen[..long.len()] == long[..] && &seen[long.len()..] == b"bbbbbbcc", "{} bytes", seen.len());
    }
}
