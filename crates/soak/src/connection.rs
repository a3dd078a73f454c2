//! A TCP connection that carries HTTP/1.1 messages, read with a deadline.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Larger than any message of the soak test.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// An HTTP message.
#[derive(Debug)]
pub struct Message {
    /// The first line and the headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte_at: Instant,
}

impl Message {
    /// The value of the first header of this name, which is not case-sensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }

    /// The status code of a response; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Why no message was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended before the first byte of a message.
    Closed,
    /// The connection ended within a message.
    Truncated,
    /// The deadline passed.
    TimedOut,
}

/// A connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    /// The stream.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    first_byte_at: Option<Instant>,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), first_byte_at: None }
    }

    /// Connects to an address.
    pub fn open(address: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok().map(Self::new)
    }

    /// Writes all bytes; false where that fails.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let _ = self.stream.set_write_timeout(Some(Duration::from_secs(5)));
        self.stream.write_all(bytes).is_ok()
    }

    /// Waits until bytes arrive or the connection ends; false where neither happens before the deadline.
    pub fn wait_for_activity(&mut self, deadline: Instant) -> bool {
        !self.buffer.is_empty() || !matches!(self.fill(deadline), Err(ReadError::TimedOut))
    }

    /// Reads the next message. With `may_end_at_close`, the body of a message without a length ends with the
    /// connection.
    pub fn read(&mut self, deadline: Instant, may_end_at_close: bool) -> Result<Message, ReadError> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill(deadline)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let first_byte_at = self.first_byte_at.unwrap_or_else(Instant::now);
        let mut message = Message { head, body: Vec::new(), first_byte_at };
        let length = message.header("content-length").and_then(|length| length.parse::<usize>().ok());
        let chunked = message.header("transfer-encoding").is_some();
        let ends_at_close = may_end_at_close && length.is_none() && !chunked;
        let mut consumed = end;
        if chunked {
            consumed = self.read_chunks(end, deadline, &mut message.body)?;
        } else if ends_at_close {
            while self.fill(deadline)? > 0 {}
            consumed = self.buffer.len();
            message.body = self.buffer[end..].to_vec();
        } else if let Some(length) = length {
            while self.buffer.len() < end + length {
                self.fill_more(deadline)?;
            }
            consumed = end + length;
            message.body = self.buffer[end..consumed].to_vec();
        }
        self.buffer.drain(..consumed);
        self.first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
        Ok(message)
    }

    fn read_chunks(
        &mut self,
        mut at: usize,
        deadline: Instant,
        body: &mut Vec<u8>,
    ) -> Result<usize, ReadError> {
        loop {
            let line = loop {
                if let Some(end) = self.buffer[at..].windows(2).position(|window| window == b"\r\n") {
                    break at + end;
                }
                self.fill_more(deadline)?;
            };
            let text = String::from_utf8_lossy(&self.buffer[at..line]).into_owned();
            let size = usize::from_str_radix(text.trim(), 16).map_err(|_| ReadError::Truncated)?;
            let data = line + 2;
            while self.buffer.len() < data + size + 2 {
                self.fill_more(deadline)?;
            }
            body.extend_from_slice(&self.buffer[data..data + size]);
            at = data + size + 2;
            if size == 0 {
                return Ok(at);
            }
        }
    }

    /// Reads more of an incomplete message; the end of the connection is an error.
    fn fill_more(&mut self, deadline: Instant) -> Result<usize, ReadError> {
        match self.fill(deadline) {
            Ok(0) => Err(ReadError::Truncated),
            other => other,
        }
    }

    /// Reads once into the buffer. At the end of the connection, `Ok(0)` if the buffer holds a complete head.
    fn fill(&mut self, deadline: Instant) -> Result<usize, ReadError> {
        let mut bytes = [0; 16 * 1024];
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(ReadError::TimedOut);
            }
            let _ = self.stream.set_read_timeout(Some(remaining.max(Duration::from_millis(1))));
            match self.stream.read(&mut bytes) {
                Ok(0) if self.buffer.is_empty() => return Err(ReadError::Closed),
                Ok(0) if self.buffer.windows(4).any(|window| window == b"\r\n\r\n") => return Ok(0),
                Ok(0) => return Err(ReadError::Truncated),
                Ok(count) => {
                    self.first_byte_at.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ReadError::TimedOut);
                }
                Err(_) if self.buffer.is_empty() => return Err(ReadError::Closed),
                Err(_) => return Err(ReadError::Truncated),
            }
        }
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
