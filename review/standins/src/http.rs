//! A small HTTP/1.1 message reader.

use std::io::{self, Read};

/// A message head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing tells.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Status code of an answer.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages one after the other from a stream.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: Read> Reader<R> {
    pub fn new(stream: R) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// Bytes that were read beyond the last message.
    pub fn surplus(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads more bytes; `Ok(0)` at the end of the stream.
    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Moves up to `length` bytes into `body`; false if the stream ends before.
    fn take_bytes(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() && self.fill()? == 0 {
                return Ok(false);
            }
            let count = left.min(self.buffer.len());
            body.extend(self.buffer.drain(..count));
            left -= count;
        }
        Ok(true)
    }

    /// Reads a message head; `None` if the stream ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start_line) = self.take_line()? else { return Ok(None) };
        let mut message = Message { start_line, ..Message::default() };
        loop {
            let line = self.take_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message; with neither length nor chunks, an answer's body lasts until the stream ends. An
    /// error on the way leaves what has come, and `is_whole` false.
    pub fn body(&mut self, message: &mut Message, is_answer: bool) -> io::Result<()> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|v| v.to_lowercase().contains("chunked"));
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        let mut body = Vec::new();
        let whole = (|| -> io::Result<bool> {
            if is_chunked {
                loop {
                    let Some(line) = self.take_line()? else { return Ok(false) };
                    let size = line.split(';').next().unwrap_or_default().trim();
                    let size = usize::from_str_radix(size, 16)
                        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                    if size == 0 {
                        // Trailers end with an empty line.
                        loop {
                            match self.take_line()? {
                                Some(line) if line.is_empty() => return Ok(true),
                                Some(_) => {}
                                None => return Ok(false),
                            }
                        }
                    }
                    if !self.take_bytes(size, &mut body)? || self.take_line()?.is_none() {
                        return Ok(false);
                    }
                }
            }
            match length {
                Some(length) => self.take_bytes(length, &mut body),
                None if is_answer => {
                    while self.fill()? > 0 {}
                    body.append(&mut self.buffer);
                    Ok(true)
                }
                None => Ok(true),
            }
        })();
        message.body = body;
        message.is_whole = *whole.as_ref().unwrap_or(&false);
        whole.map(drop)
    }

    /// Reads a whole message.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message, is_answer)?;
        Ok(Some(message))
    }
}
