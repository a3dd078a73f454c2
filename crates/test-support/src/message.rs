//! HTTP/1.1 messages, parsed and written without an HTTP library.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::Duration;

/// An HTTP message as it was received.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line and the headers, including the blank line.
    pub head: String,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
    /// The whole body was received.
    pub is_complete: bool,
    /// How long the connection was idle before this request, measured from the server's previous reply; zero
    /// for the first request.
    pub idle_before: Duration,
}

impl Message {
    /// The status code of a response; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        lines.clone().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
    }
}

/// Reads one message; none where the connection ends before the end of the head.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            // A signal may interrupt a read that has a timeout; no bytes are lost.
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            _ => return None,
        }
    }
    let mut message = Message {
        head: String::from_utf8(head).ok()?,
        body: Vec::new(),
        is_complete: true,
        idle_before: Duration::ZERO,
    };
    if message.header("transfer-encoding").is_some() {
        let mut lines = BufReader::new(stream);
        loop {
            let mut line = String::new();
            let _ = lines.read_line(&mut line);
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { break message.is_complete = false };
            let mut chunk = vec![0; size + 2];
            if lines.read_exact(&mut chunk).is_err() {
                break message.is_complete = false;
            }
            message.body.extend(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length").and_then(|l| l.parse::<u64>().ok()) {
        let _ = stream.take(length).read_to_end(&mut message.body);
        message.is_complete = message.body.len() as u64 == length;
    }
    Some(message)
}

/// The bytes of a response with a `Content-Length`.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend(body);
    out
}
