//! One TCP connection with HTTP/1.1 messages on it, read with a bound on time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest message that anybody here sends.
const MAX_MESSAGE: usize = 8 << 20;

/// A message with its body.
#[derive(Debug)]
pub struct Message {
    /// Its first line and headers.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte: Instant,
}

impl Message {
    /// The first header of this name, in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Why no message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection ended before its first byte.
    Closed,
    /// It ended in the middle.
    Cut,
    /// The time was up.
    TimeOut,
}

/// A connection and what has been read of it.
#[derive(Debug)]
pub struct Connection {
    /// The stream.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    first_byte: Option<Instant>,
}

impl Connection {
    /// Over an accepted stream.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), first_byte: None }
    }

    /// To an address.
    pub fn open(address: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok().map(Self::new)
    }

    /// Writes all of it.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let _ = self.stream.set_write_timeout(Some(Duration::from_secs(5)));
        self.stream.write_all(bytes).is_ok()
    }

    /// Waits until something comes or the connection ends; false where neither does in time.
    pub fn stirs(&mut self, until: Instant) -> bool {
        !self.buffer.is_empty() || !matches!(self.fill(until), Err(NoMessage::TimeOut))
    }

    /// Reads the next message; one without a length ends with the connection, where that is allowed.
    pub fn read(&mut self, until: Instant, endless: bool) -> Result<Message, NoMessage> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill(until)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let first_byte = self.first_byte.unwrap_or_else(Instant::now);
        let mut message = Message { head, body: Vec::new(), first_byte };
        let length = message.header("content-length").and_then(|length| length.parse::<usize>().ok());
        let chunked = message.header("transfer-encoding").is_some();
        let until_end = endless && length.is_none() && !chunked;
        let mut taken = end;
        if chunked {
            taken = self.read_chunks(end, until, &mut message.body)?;
        } else if until_end {
            while self.fill(until)? > 0 {}
            taken = self.buffer.len();
            message.body = self.buffer[end..].to_vec();
        } else if let Some(length) = length {
            while self.buffer.len() < end + length {
                self.fill_more(until)?;
            }
            taken = end + length;
            message.body = self.buffer[end..taken].to_vec();
        }
        self.buffer.drain(..taken);
        self.first_byte = (!self.buffer.is_empty()).then(Instant::now);
        Ok(message)
    }

    fn read_chunks(&mut self, mut at: usize, until: Instant, body: &mut Vec<u8>) -> Result<usize, NoMessage> {
        loop {
            let line = loop {
                if let Some(end) = self.buffer[at..].windows(2).position(|window| window == b"\r\n") {
                    break at + end;
                }
                self.fill_more(until)?;
            };
            let text = String::from_utf8_lossy(&self.buffer[at..line]).into_owned();
            let size = usize::from_str_radix(text.trim(), 16).map_err(|_| NoMessage::Cut)?;
            let data = line + 2;
            while self.buffer.len() < data + size + 2 {
                self.fill_more(until)?;
            }
            body.extend_from_slice(&self.buffer[data..data + size]);
            at = data + size + 2;
            if size == 0 {
                return Ok(at);
            }
        }
    }

    /// Reads more of a message that has begun: its end is a cut.
    fn fill_more(&mut self, until: Instant) -> Result<usize, NoMessage> {
        match self.fill(until) {
            Ok(0) => Err(NoMessage::Cut),
            other => other,
        }
    }

    /// Reads what comes next. The end of the connection is `Ok(0)` behind the beginning of a message.
    fn fill(&mut self, until: Instant) -> Result<usize, NoMessage> {
        let mut bytes = [0; 16 * 1024];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.buffer.len() > MAX_MESSAGE {
                return Err(NoMessage::TimeOut);
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            match self.stream.read(&mut bytes) {
                Ok(0) if self.buffer.is_empty() => return Err(NoMessage::Closed),
                Ok(0) if self.buffer.windows(4).any(|window| window == b"\r\n\r\n") => return Ok(0),
                Ok(0) => return Err(NoMessage::Cut),
                Ok(count) => {
                    self.first_byte.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(count);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(NoMessage::TimeOut);
                }
                Err(_) if self.buffer.is_empty() => return Err(NoMessage::Closed),
                Err(_) => return Err(NoMessage::Cut),
            }
        }
    }

    /// Ends it with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
