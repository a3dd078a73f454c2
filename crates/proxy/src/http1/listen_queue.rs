//! Reads from the kernel how many connections wait to be accepted.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::os::fd::AsFd;
use std::os::unix::fs::MetadataExt;
use tokio::net::TcpListener;

/// Positions of the fields in a line of `/proc/net/tcp` (Linux, Documentation/networking/proc_net_tcp.rst).
const STATE_FIELD: usize = 3;
const QUEUES_FIELD: usize = 4;
const INODE_FIELD: usize = 9;
/// The state of a listening socket in that table, which lists these first.
const LISTEN_STATE: &str = "0A";

/// A listening socket in the kernel's table of sockets.
#[derive(Debug)]
pub(super) struct ListenQueue {
    inode: String,
    table: &'static str,
}

impl ListenQueue {
    /// The queue of this listener; `None` if the listener cannot be identified.
    pub(super) fn of(listener: &TcpListener) -> Option<Self> {
        let table = match listener.local_addr().ok()?.is_ipv4() {
            true => "/proc/net/tcp",
            false => "/proc/net/tcp6",
        };
        let socket = File::from(listener.as_fd().try_clone_to_owned().ok()?);
        Some(ListenQueue { inode: socket.metadata().ok()?.ino().to_string(), table })
    }

    /// How many connections wait to be accepted; `None` if the kernel does not say.
    pub(super) fn length(&self) -> Option<usize> {
        let table = BufReader::new(File::open(self.table).ok()?);
        let lines = table.lines().skip(1).map_while(Result::ok);
        queue_length(lines, &self.inode)
    }
}

/// The queue length in the line with this inode, among the lines of listening sockets at the table's start.
pub(super) fn queue_length(lines: impl Iterator<Item = String>, inode: &str) -> Option<usize> {
    for line in lines {
        let fields: Vec<_> = line.split_ascii_whitespace().collect();
        if fields.get(STATE_FIELD) != Some(&LISTEN_STATE) {
            return None;
        }
        if fields.get(INODE_FIELD) == Some(&inode) {
            let (_, receive_queue) = fields.get(QUEUES_FIELD)?.split_once(':')?;
            return usize::from_str_radix(receive_queue, 16).ok();
        }
    }
    None
}
