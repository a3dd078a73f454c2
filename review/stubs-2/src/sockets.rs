//! Queues of sockets that the standard library does not show. The number is that of Linux, on x86-64 and on arm64 alike.

use std::net::TcpStream;
use std::os::fd::AsRawFd;

const TIOCOUTQ: u64 = 0x5411;

extern "C" {
    fn ioctl(fd: i32, request: u64, value: *mut i32) -> i32;
}

/// How many bytes that were written to the connection the peer's machine has not acknowledged.
pub fn unacknowledged_bytes(socket: &impl AsRawFd) -> i32 {
    let mut bytes = 0;
    // SAFETY: the descriptor is open, and the request writes an int.
    unsafe { ioctl(socket.as_raw_fd(), TIOCOUTQ, &mut bytes) };
    bytes
}

/// Whether bytes, or the end of the stream, wait to be read.
pub fn is_readable(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let is_readable = stream.peek(&mut [0]).is_ok();
    let _ = stream.set_nonblocking(false);
    is_readable
}
