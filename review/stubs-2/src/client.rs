//! Clients as the protocol page describes them.

use crate::http::{Head, ReadError, Reader};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Connects to the gateway.
pub fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Waits for an answer until a time.
pub fn read_answer(reader: &mut Reader, until: Instant) -> Result<(Head, Vec<u8>), ReadError> {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    reader.stream.set_read_timeout(Some(left)).map_err(|_| ReadError::Broken)?;
    reader.read_message()
}
