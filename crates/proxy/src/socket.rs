//! A TCP connection shared between hyper, which reads and writes it, and the node, which observes its
//! traffic.

use crate::message_progress::{BodyFraming, MessageProgress};
use corkhollow_operate::IntCounter;
use memchr::memmem;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::net::RecvFlags;
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

/// Whether the process (EMFILE) or the system (ENFILE) is out of file descriptors.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(24 | 23))
}

/// A connection with what the node observes of its traffic.
#[derive(Debug)]
pub struct Socket {
    /// Borrowed for the duration of one call only.
    stream: RefCell<TcpStream>,
    /// When the first byte arrived since the node last cleared this.
    pub first_byte_at: Cell<Option<Instant>>,
    /// When bytes were last handed to hyper; at first, when the connection was made.
    pub last_received_at: Cell<Instant>,
    /// Whether bytes of the current message came after a pause of the peer.
    pub has_resumed: Cell<bool>,
    /// When the kernel was first found to hold no further bytes of the current message.
    awaited_since: Cell<Option<Instant>>,
    /// Whether bytes were read or written since the node last cleared this.
    pub had_traffic: Cell<bool>,
    /// Bytes written since the first byte of the current message arrived.
    pub written_bytes: Cell<u64>,
    /// Of the current request, on a connection to a server.
    write_progress: Cell<MessageProgress>,
    /// Whether the connection is one to a server.
    is_upstream: bool,
    /// Whether bytes of an answer arrived before the request was written.
    answered_early: Cell<bool>,
    /// When the last byte of the request was written.
    written_at: Cell<Option<Instant>>,
    /// Counts a request once its last byte is written.
    forwards: RefCell<Option<IntCounter>>,
    /// Whether hyper has nothing left to write.
    flushed: Cell<bool>,
    /// The rest of the node's own message, to be written before anything else of hyper's.
    own_message: RefCell<Vec<u8>>,
    /// The head of the current message as it was received.
    head: RefCell<Vec<u8>>,
    /// Bytes handed to hyper since the current message began.
    received: Cell<u64>,
    /// The offset in these bytes where the head ends, once known.
    head_end: Cell<Option<u64>>,
    /// The offset in these bytes where the kept head begins.
    head_start: Cell<u64>,
    /// The last bytes handed to hyper.
    received_tail: Cell<[u8; LAST_CHUNK.len()]>,
    /// Of the current request as it was handed to hyper, if it is chunked and its head is kept.
    chunked_progress: Cell<Option<MessageProgress>>,
    /// Bytes that the node has read before hyper asked for them.
    read_ahead: RefCell<Vec<u8>>,
    /// Whether what is read is acknowledged at once.
    pub acknowledges_reads: Cell<bool>,
    /// Whether the kernel has just been asked for unread bytes, and held none.
    is_checked: Cell<bool>,
}

/// How many bytes the kernel takes ahead of what it can send. By default it takes megabytes, and reports the socket
/// writable only when a third of them has left: a peer that reads slowly then seems to read nothing for minutes.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;

/// Between bytes of one message; anything shorter is the network's.
const MIN_PAUSE: Duration = Duration::from_millis(20);

const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// At least the longest accepted head; otherwise a `Content-Length` could go unnoticed behind the kept part.
const MAX_KEPT_HEAD_BYTES: usize = 16 * 1024;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// The end of a chunked body without trailers, with the line end of the chunk before it.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// At most this many unread bytes are looked at for the end of a chunked body.
const MAX_PEEKED_BYTES: u64 = 256 * 1024;

/// The last bytes of a tail and the bytes behind it.
fn shift_in<const LENGTH: usize>(tail: [u8; LENGTH], bytes: &[u8]) -> [u8; LENGTH] {
    let new = &bytes[bytes.len().saturating_sub(LENGTH)..];
    let mut shifted = tail;
    shifted.rotate_left(new.len() % LENGTH);
    shifted[LENGTH - new.len()..].copy_from_slice(new);
    shifted
}

impl Socket {
    /// A connection to a client.
    pub fn new(stream: TcpStream) -> Rc<Self> {
        Self::with_role(stream, false)
    }

    /// A connection to a server.
    pub fn new_upstream(stream: TcpStream) -> Rc<Self> {
        Self::with_role(stream, true)
    }

    fn with_role(stream: TcpStream, is_upstream: bool) -> Rc<Self> {
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Rc::new(Socket {
            stream: RefCell::new(stream),
            first_byte_at: Cell::new(None),
            last_received_at: Cell::new(Instant::now()),
            has_resumed: Cell::new(false),
            awaited_since: Cell::default(),
            had_traffic: Cell::new(true),
            written_bytes: Cell::default(),
            write_progress: Cell::new(MessageProgress::new(BodyFraming::Length(0))),
            is_upstream,
            answered_early: Cell::new(false),
            written_at: Cell::default(),
            forwards: RefCell::default(),
            flushed: Cell::new(true),
            own_message: RefCell::default(),
            head: RefCell::default(),
            received: Cell::default(),
            head_end: Cell::default(),
            head_start: Cell::default(),
            received_tail: Cell::default(),
            chunked_progress: Cell::default(),
            read_ahead: RefCell::default(),
            acknowledges_reads: Cell::default(),
            is_checked: Cell::default(),
        })
    }

    /// Records bytes that are handed to hyper, and keeps them while they belong to the head.
    fn record_received(&self, bytes: &[u8]) {
        self.had_traffic.set(true);
        let now = Instant::now();
        self.last_received_at.set(now);
        // While the node is late to read, the peer does not pause.
        let is_after_pause = self.awaited_since.take().is_some_and(|since| now - since >= MIN_PAUSE);
        self.has_resumed
            .set(self.first_byte_at.get().is_some() && (is_after_pause || self.has_resumed.get()));
        let mut head = self.head.borrow_mut();
        if self.first_byte_at.get().is_none() {
            let is_early = self.is_upstream && !self.is_request_written();
            self.answered_early.set(is_early || self.answered_early.get());
            self.first_byte_at.set(Some(now));
            self.written_bytes.set(0);
            head.clear();
            self.received.set(0);
            self.head_start.set(0);
            self.head_end.set(None);
            self.chunked_progress.set(None);
        }
        let (received_before, received_bytes) = (self.received.get(), bytes);
        self.received.set(received_before + bytes.len() as u64);
        self.received_tail.set(shift_in(self.received_tail.get(), bytes));
        // Empty lines may precede a head (RFC 9112, 2.2).
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let skipped =
            if head.is_empty() { bytes.iter().take_while(|byte| is_line_end(byte)).count() } else { 0 };
        self.head_start.set(self.head_start.get() + skipped as u64);
        let bytes = &bytes[skipped..];
        if !head.ends_with(HEAD_END) {
            let (room, searched) =
                (MAX_KEPT_HEAD_BYTES - head.len(), head.len().saturating_sub(HEAD_END.len() - 1));
            head.extend_from_slice(&bytes[..bytes.len().min(room)]);
            // The body is not kept: its text must not be taken for a header, and it would need memory.
            if let Some(end) = memmem::find(&head[searched..], HEAD_END) {
                head.truncate(searched + end + HEAD_END.len());
                let head_end = self.head_start.get() + head.len() as u64;
                self.head_end.set(self.head_end.get().or(Some(head_end)));
            }
        }
        drop(head);
        if !self.is_upstream {
            self.follow_chunked_body(received_before, received_bytes);
        }
    }

    /// Follows the framing of a chunked request in these bytes, ahead of which so many were received.
    fn follow_chunked_body(&self, received_before: u64, bytes: &[u8]) {
        let Some(head_end) = self.head_end.get() else { return };
        let head_bytes = head_end.saturating_sub(received_before);
        let body = bytes.get(head_bytes as usize..).unwrap_or_default();
        if body.is_empty() {
            return;
        }
        let is_beginning = received_before <= head_end;
        if is_beginning && self.head_contains("\ntransfer-encoding:") {
            self.chunked_progress.set(Some(MessageProgress::at_chunked_body()));
        }
        if let Some(mut progress) = self.chunked_progress.get() {
            progress.record(body);
            self.chunked_progress.set(Some(progress));
        }
    }

    /// Records that the kernel holds no further bytes.
    fn record_nothing_unread(&self) {
        if !self.is_upstream && self.first_byte_at.get().is_some() && self.awaited_since.get().is_none() {
            self.awaited_since.set(Some(Instant::now()));
        }
    }

    /// Ends the current request, whose body has the given length if known. Bytes already handed to hyper
    /// beyond that belong to the next request, which has begun then.
    pub fn end_request(&self, body_bytes: Option<u64>) {
        let message_bytes = self.head_end.get().zip(body_bytes).map(|(head, body)| head + body);
        let surplus =
            message_bytes.map_or(0, |message_bytes| self.received.get().saturating_sub(message_bytes));
        self.first_byte_at.set((surplus > 0).then(Instant::now));
        self.awaited_since.set(None);
        self.chunked_progress.set(None);
        self.head.borrow_mut().clear();
        self.received.set(surplus);
        self.head_start.set(surplus);
        self.head_end.set(None);
    }

    /// Whether the kept bytes begin with the head of a request with this method. They do not if the head began in
    /// the same read as the end of the previous request. A header line cannot be mistaken for the request line,
    /// because header names contain no space.
    pub fn has_head_start(&self, method: &str) -> bool {
        self.head.borrow().strip_prefix(method.as_bytes()).is_some_and(|rest| rest.starts_with(b" "))
    }

    /// Whether the kept bytes are the whole head of a request with this method.
    pub fn has_whole_head(&self, method: &str) -> bool {
        self.has_head_start(method) && self.head.borrow().ends_with(HEAD_END)
    }

    /// Whether the kept head contains the text, which must be lower case.
    pub fn head_contains(&self, text: &str) -> bool {
        let head = self.head.borrow().to_ascii_lowercase();
        head.windows(text.len()).any(|w| w == text.as_bytes())
    }

    /// Whether a line of the kept head ends with a bare line feed, which not all parsers accept as a line
    /// end.
    pub fn head_has_bare_line_feed(&self) -> bool {
        let head = self.head.borrow();
        memchr::memchr_iter(b'\n', &head).any(|k| k == 0 || head[k - 1] != b'\r')
    }

    /// Starts to track a request that is about to be written.
    pub fn begin_request(&self, framing: BodyFraming, forwards: IntCounter) {
        self.forwards.replace(Some(forwards));
        self.written_at.set(None);
        self.answered_early.set(false);
        self.write_progress.set(MessageProgress::new(framing));
        // Bytes received from here on belong to the answer.
        self.first_byte_at.set(None);
    }

    /// Whether the kernel has the last byte of the request: the server may have processed it then.
    pub fn is_request_written(&self) -> bool {
        self.write_progress.get().is_complete()
    }

    /// Whether bytes of an answer had arrived before the request was written: its server cannot have read all of
    /// it by then, and the answer is not one to it.
    pub fn was_answered_early(&self) -> bool {
        self.answered_early.get()
    }

    /// Notes whether bytes of an answer have arrived before the next byte of the request is written.
    ///
    /// # Errors
    /// If they have and nothing of the request is written yet: the connection cannot carry it.
    fn check_unread_before_write(&self) -> io::Result<()> {
        let is_checked = self.is_checked.take();
        if is_checked || !self.is_upstream || self.is_request_written() || !self.has_unread_bytes() {
            return Ok(());
        }
        self.answered_early.set(true);
        match self.write_progress.get().has_begun() {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::ConnectionReset, "bytes that no request asked for")),
        }
    }

    /// Acknowledges what has been read from a server, if the connection rests before it is reused. The kernel may
    /// delay that by 40 ms, and by default the server holds back what it writes until then: bytes that no request
    /// asked for would come with the next request.
    fn acknowledge(&self) {
        if self.acknowledges_reads.get() {
            let _ = socket2::SockRef::from(&*self.stream.borrow()).set_tcp_quickack(true);
        }
    }

    /// The time since the last byte of the request was written; `None` if it is not.
    pub fn time_since_written(&self) -> Option<Duration> {
        self.written_at.get().map(|at| at.elapsed())
    }

    /// Whether hyper has nothing left to write.
    pub fn has_flushed(&self) -> bool {
        self.flushed.get()
    }

    /// Writes a message between two of hyper's. Does nothing while hyper writes one, or while the previous
    /// such message is not written completely.
    pub fn write_own_message(&self, message: &[u8]) {
        let mut own_message = self.own_message.borrow_mut();
        if self.flushed.get() && own_message.is_empty() {
            // An error is ignored: hyper gets it with its next write.
            let written = self.stream.borrow().try_write(message).unwrap_or(0);
            self.had_traffic.set(true);
            own_message.extend_from_slice(&message[written..]);
        }
    }

    /// Writes the rest of the node's own message.
    fn poll_write_own_message(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut own_message = self.own_message.borrow_mut();
        while !own_message.is_empty() {
            let written = ready!(Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, &own_message))?;
            own_message.drain(..written);
        }
        Poll::Ready(Ok(()))
    }

    /// Shuts down writing and discards input until the peer closes or one of the timeouts has passed. Closing
    /// a socket with unread bytes resets the connection, and the reset may destroy the last answer before the
    /// peer has read it (RFC 9112, 9.6).
    pub async fn lingering_close(&self, silence_timeout: Duration, total_timeout: Duration) {
        let _ = socket2::SockRef::from(&*self.stream.borrow()).shutdown(std::net::Shutdown::Write);
        let mut bytes = [0; 4096];
        let read = async {
            loop {
                let mut buf = ReadBuf::new(&mut bytes);
                let next = poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buf));
                if !matches!(timeout(silence_timeout, next).await, Ok(Ok(()))) || buf.filled().is_empty() {
                    return;
                }
            }
        };
        let _ = timeout(total_timeout, read).await;
    }

    /// Completes when the peer has closed its side or the connection has failed. Hyper does not read on after
    /// a request until it is answered, and so would not notice. Bytes before the close are kept for hyper, up
    /// to a limit. Beyond the limit they are discarded and `overflowed` is set; without `overflowed` they
    /// stay unread, and a close behind them goes unnoticed.
    pub fn poll_peer_closed(&self, cx: &mut Context<'_>, overflowed: Option<&Cell<bool>>) -> Poll<()> {
        let mut bytes = [0; 4096];
        loop {
            let mut read_ahead = self.read_ahead.borrow_mut();
            let room = MAX_READ_AHEAD_BYTES - read_ahead.len();
            if room == 0 && overflowed.is_none() {
                return Poll::Pending;
            }
            let limit = if overflowed.is_some() { bytes.len() } else { room.min(bytes.len()) };
            let mut buf = ReadBuf::new(&mut bytes[..limit]);
            let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buf);
            let bytes_read = buf.filled();
            if ready!(read).is_err() || bytes_read.is_empty() || self.is_closed_behind_unread_bytes() {
                return Poll::Ready(());
            }
            read_ahead.extend_from_slice(&bytes_read[..bytes_read.len().min(room)]);
            if let Some(overflowed) = overflowed.filter(|_| bytes_read.len() > room) {
                overflowed.set(true);
            }
            // Hyper may have polled before these bytes arrived, and is not notified of them otherwise.
            cx.waker().wake_by_ref();
        }
    }

    /// Whether all of the current message, whose body has this length, has reached this machine: it has been
    /// read, or the kernel holds the rest of it. False if that is not known.
    pub fn has_received_message(&self, body_bytes: u64) -> bool {
        self.missing_bytes(body_bytes) == Some(0)
    }

    /// How many bytes of the current message, whose body has this length, have not reached this machine; `None` if that
    /// is not known.
    pub fn missing_bytes(&self, body_bytes: u64) -> Option<u64> {
        let arrived = self.received.get() + self.read_ahead.borrow().len() as u64 + self.unread_bytes();
        self.head_end.get().map(|head_end| (head_end + body_bytes).saturating_sub(arrived))
    }

    /// How many bytes of the current message have been handed to hyper.
    pub fn received_bytes(&self) -> u64 {
        self.received.get()
    }

    /// How many bytes the kernel holds unread; 0 if that is not known.
    pub fn unread_bytes(&self) -> u64 {
        rustix::io::ioctl_fionread(&*self.stream.borrow()).unwrap_or(0)
    }

    /// Whether all of the current message, whose body is chunked, has reached this machine. False if much is unread. Where
    /// its head was not kept, the end has to look like that of a chunked body without trailers; data may look like that, too,
    /// if the peer pauses just there.
    pub fn has_received_chunked_message(&self) -> bool {
        let unread_bytes = self.unread_bytes();
        if unread_bytes > MAX_PEEKED_BYTES {
            return false;
        }
        let mut unread = vec![0; unread_bytes as usize];
        if !unread.is_empty() {
            let peeked = rustix::net::recv(&*self.stream.borrow(), &mut unread[..], RecvFlags::PEEK);
            unread.truncate(peeked.map_or(0, |(count, _)| count));
        }
        let is_unbegun = self.head_end.get() == Some(self.received.get());
        let progress = self.chunked_progress.get().or(is_unbegun.then(MessageProgress::at_chunked_body));
        match progress {
            Some(mut progress) => {
                progress.record(&unread);
                progress.is_complete()
            }
            None => shift_in(self.received_tail.get(), &unread) == LAST_CHUNK,
        }
    }

    /// Whether the kernel holds unread bytes.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        socket2::SockRef::from(&*self.stream.borrow()).peek(&mut byte).is_ok_and(|n| n > 0)
    }

    /// Whether the peer has closed its side or the connection has failed, whatever is unread before that. Asks the
    /// kernel.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        match peeked {
            Ok(0) => true,
            Ok(_) => self.is_closed_behind_unread_bytes(),
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    fn is_closed_behind_unread_bytes(&self) -> bool {
        let stream = self.stream.borrow();
        let mut polled = [PollFd::new(&*stream, PollFlags::RDHUP)];
        let is_polled = rustix::event::poll(&mut polled, Some(&Timespec::default())).is_ok();
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        is_polled && polled[0].revents().intersects(closed)
    }

    /// Whether the connection can carry a request that is written at once: it is [quiet](Socket::is_quiet), and the kernel
    /// is not asked again before the first write.
    pub fn check_before_request(&self) -> bool {
        let is_quiet = self.is_quiet();
        self.is_checked.set(is_quiet);
        is_quiet
    }

    /// Whether there are no unread bytes and the peer has not closed. Asks the kernel, because the runtime
    /// may not have been notified yet of a close that would lose the next request.
    pub fn is_quiet(&self) -> bool {
        if !self.read_ahead.borrow().is_empty() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        let seen = socket2::SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        matches!(seen, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The I/O object of a [`Socket`] that hyper owns.
pub struct SocketIo(pub Rc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        // Tokio's stream knows from a short read that the kernel's buffer is empty, and saves a system call.
        let before = buf.filled().len();
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let limit = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead[..limit]);
            read_ahead.drain(..limit);
            if read_ahead.is_empty() {
                // Rarely used, so its memory is freed.
                *read_ahead = Vec::new();
            }
            self.0.record_received(&buf.filled()[before..]);
            return Poll::Ready(Ok(()));
        }
        let read = Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf);
        if read.is_pending() {
            self.0.record_nothing_unread();
        }
        ready!(read)?;
        let bytes_read = &buf.filled()[before..];
        if !bytes_read.is_empty() {
            self.0.record_received(bytes_read);
            self.0.acknowledge();
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
        ready!(self.0.poll_write_own_message(cx))?;
        self.0.check_unread_before_write()?;
        self.0.flushed.set(false);
        let written = ready!(Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, slices))?;
        self.0.had_traffic.set(true);
        self.0.written_bytes.set(self.0.written_bytes.get() + written as u64);
        let (mut write_progress, mut left) = (self.0.write_progress.get(), written);
        for slice in slices {
            let part = left.min(slice.len());
            write_progress.record(&slice[..part]);
            left -= part;
        }
        self.0.write_progress.set(write_progress);
        if write_progress.is_complete() {
            if let Some(forwards) = self.0.forwards.take() {
                forwards.inc();
                self.0.written_at.set(Some(Instant::now()));
            }
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.flushed.set(true);
        self.0.poll_write_own_message(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0.stream.borrow()).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod tests;
