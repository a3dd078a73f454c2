//! Reading HTTP/1.1 messages from a socket.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub first_line: String,
    /// The header lines.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }
}

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended before the first byte.
    Closed,
    /// The connection ended or was reset within the message.
    Broken,
    /// The read timeout of the socket has passed.
    TimedOut,
    /// It is no HTTP/1.1 message.
    Malformed,
}

/// A connection from which messages are read.
pub struct Reader {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte of the message that is read now came.
    pub first_byte_at: Option<Instant>,
}

impl Reader {
    /// Reads from a socket.
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new(), first_byte_at: None }
    }

    /// Bytes that were read and belong to no message yet.
    pub fn surplus(&self) -> &[u8] {
        &self.buffer
    }

    fn fill(&mut self) -> Result<(), ReadError> {
        let mut bytes = [0; 65536];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) if self.buffer.is_empty() && self.first_byte_at.is_none() => {
                    return Err(ReadError::Closed)
                }
                Ok(0) => return Err(ReadError::Broken),
                Ok(count) => {
                    self.first_byte_at.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&bytes[..count]);
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ReadError::TimedOut)
                }
                Err(_) if self.first_byte_at.is_none() => return Err(ReadError::Closed),
                Err(_) => return Err(ReadError::Broken),
            }
        }
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self) -> Result<Head, ReadError> {
        self.first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        if !first_line.contains("HTTP/1.") {
            return Err(ReadError::Malformed);
        }
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect();
        Ok(Head { first_line, headers })
    }

    fn take(&mut self, count: usize) -> Result<Vec<u8>, ReadError> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> Result<String, ReadError> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the body of a message with this head. Every part is given to `part` as it comes, which may end the
    /// reading by returning false.
    pub fn read_body(&mut self, head: &Head, mut part: impl FnMut(&[u8]) -> bool) -> Result<(), ReadError> {
        if head.is_chunked() {
            loop {
                let line = self.take_line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| ReadError::Malformed)?;
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(());
                }
                let data = self.take(size)?;
                if !part(&data) {
                    return Ok(());
                }
                self.take(2)?;
            }
        }
        let mut left = head.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0usize);
        while left > 0 {
            if self.buffer.is_empty() {
                self.fill()?;
            }
            let count = left.min(self.buffer.len());
            let data: Vec<u8> = self.buffer.drain(..count).collect();
            left -= count;
            if !part(&data) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Reads a message whole.
    pub fn read_message(&mut self) -> Result<(Head, Vec<u8>), ReadError> {
        let head = self.read_head()?;
        let mut body = Vec::new();
        self.read_body(&head, |part| {
            body.extend_from_slice(part);
            true
        })?;
        Ok((head, body))
    }
}
