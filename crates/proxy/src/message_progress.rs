//! Follows the framing of a request, to tell when its last byte has been seen.
//!
//! Until the last byte of a request is handed to the kernel, its server cannot have processed it, and even a request that is
//! not idempotent may be sent again. Once a client's last byte is on this machine, the time for its answer begins.

/// How the body of a request is framed (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
}

/// The part of a request that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The head, of whose blank line this many bytes have been seen.
    Head { blank_line_bytes: u8 },
    /// This much of a body with a length.
    Body { bytes_left: u64 },
    /// The size of a chunk.
    ChunkSize { bytes: u64 },
    /// The extensions of a chunk, up to the end of its line.
    ChunkExtensions { bytes: u64 },
    /// The data of a chunk and the line end behind it.
    ChunkData { bytes_left: u64 },
    /// The trailers, of whose blank line this many bytes have been seen.
    Trailers { blank_line_bytes: u8 },
    /// Nothing: the request is complete.
    End,
}

/// Length of the line end behind the data of a chunk.
const LINE_END_BYTES: u64 = 2;
/// Length of the line end before a blank line, and the blank line.
const BLANK_LINE_BYTES: u8 = 4;

/// Follows the bytes of one request.
#[derive(Clone, Copy, Debug)]
pub struct MessageProgress {
    framing: BodyFraming,
    next: Part,
    has_begun: bool,
}

impl MessageProgress {
    /// The progress of a request of which nothing has been seen.
    pub fn new(framing: BodyFraming) -> Self {
        MessageProgress { framing, next: Part::Head { blank_line_bytes: 0 }, has_begun: false }
    }

    /// The progress of a chunked request of which just the head has been seen.
    pub fn at_chunked_body() -> Self {
        MessageProgress { framing: BodyFraming::Chunked, next: Part::ChunkSize { bytes: 0 }, has_begun: true }
    }

    /// Whether the first byte has been seen.
    pub fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Whether head and body have been seen.
    pub fn is_complete(&self) -> bool {
        self.next == Part::End
    }

    /// Follows the next bytes.
    pub fn record(&mut self, mut bytes: &[u8]) {
        self.has_begun |= !bytes.is_empty();
        while let Some(first) = bytes.first() {
            let consumed;
            (self.next, consumed) = match self.next {
                Part::Head { blank_line_bytes } => {
                    (self.after_head_byte(match_blank_line(blank_line_bytes, *first)), 1)
                }
                Part::Body { bytes_left } => {
                    let consumed = bytes_left.min(bytes.len() as u64);
                    (body_part(bytes_left - consumed), consumed as usize)
                }
                Part::ChunkSize { bytes } => (after_size_byte(bytes, *first), 1),
                Part::ChunkExtensions { bytes } => (after_extension_byte(bytes, *first), 1),
                Part::ChunkData { bytes_left } => {
                    let consumed = bytes_left.min(bytes.len() as u64);
                    (chunk_data_part(bytes_left - consumed), consumed as usize)
                }
                Part::Trailers { blank_line_bytes } => {
                    let blank_line_bytes = match_blank_line(blank_line_bytes, *first);
                    let is_end = blank_line_bytes == BLANK_LINE_BYTES;
                    (if is_end { Part::End } else { Part::Trailers { blank_line_bytes } }, 1)
                }
                Part::End => return,
            };
            bytes = &bytes[consumed..];
        }
    }

    fn after_head_byte(&self, blank_line_bytes: u8) -> Part {
        match self.framing {
            _ if blank_line_bytes < BLANK_LINE_BYTES => Part::Head { blank_line_bytes },
            BodyFraming::Length(length) => body_part(length),
            BodyFraming::Chunked => Part::ChunkSize { bytes: 0 },
        }
    }
}

/// How many bytes of a line end and a blank line are seen with this byte, after `seen` bytes of them.
fn match_blank_line(seen: u8, byte: u8) -> u8 {
    match (byte, seen) {
        (b'\r', 2) => 3,
        (b'\r', _) => 1,
        (b'\n', 1) => 2,
        (b'\n', 3) => BLANK_LINE_BYTES,
        _ => 0,
    }
}

fn body_part(bytes_left: u64) -> Part {
    match bytes_left {
        0 => Part::End,
        _ => Part::Body { bytes_left },
    }
}

fn chunk_data_part(bytes_left: u64) -> Part {
    match bytes_left {
        0 => Part::ChunkSize { bytes: 0 },
        _ => Part::ChunkData { bytes_left },
    }
}

fn after_size_byte(bytes: u64, byte: u8) -> Part {
    match char::from(byte).to_digit(16) {
        Some(digit) => Part::ChunkSize { bytes: bytes.saturating_mul(16).saturating_add(u64::from(digit)) },
        None => after_extension_byte(bytes, byte),
    }
}

fn after_extension_byte(bytes: u64, byte: u8) -> Part {
    match (byte, bytes) {
        // The line end of the last chunk may already belong to the blank line.
        (b'\n', 0) => Part::Trailers { blank_line_bytes: 2 },
        (b'\n', _) => Part::ChunkData { bytes_left: bytes.saturating_add(LINE_END_BYTES) },
        _ => Part::ChunkExtensions { bytes },
    }
}
