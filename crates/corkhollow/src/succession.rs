//! Coordination of processes that share a listening socket, by file locks in a common folder. The kernel
//! releases a lock when its holder exits, even after a crash.

use corkhollow_balance::interface::Nanos;
use corkhollow_engine::log;
use corkhollow_operate::{Handover, Succession, MAX_HANDOVER_BYTES};
use std::cell::Cell;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Lock file held by the serving process.
const SERVING_LOCK: &str = "corkhollow-serving";
/// The handover that the serving process writes for its successor.
const HANDOVER_FILE: &str = "corkhollow-knowledge";
/// The request ids that processes have claimed while they overlap.
const REQUEST_ID_FILE: &str = "corkhollow-request-ids";
/// Lock file held by the successor until the serving process has exited; further successors queue for it.
const SUCCESSOR_LOCK: &str = "corkhollow-successor";
/// SD_LISTEN_FDS_START of systemd's protocol.
const FIRST_SYSTEMD_FD: u32 = 3;

/// The inherited listening sockets: one from the platform, whose descriptor is in `GW_LISTEN_FD`, or any
/// number from a service manager by systemd's protocol (sd_listen_fds(3)).
pub fn inherited_listeners() -> io::Result<Vec<TcpListener>> {
    if let Ok(number) = std::env::var("GW_LISTEN_FD") {
        if !number.parse::<i32>().is_ok_and(|n| n > 2) {
            let message =
                format!("GW_LISTEN_FD is `{number}`; allowed: the number of an open descriptor, 3 or higher");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        // Translated to systemd's protocol: `listenfd` then also checks that this is a listening socket.
        std::env::remove_var("LISTEN_PID");
        std::env::set_var("LISTEN_FDS", "1");
        std::env::set_var("LISTEN_FDS_FIRST_FD", &number);
        return take_listeners(|_| format!("GW_LISTEN_FD is `{number}`"));
    }
    take_listeners(|index| format!("LISTEN_FDS: descriptor {}", FIRST_SYSTEMD_FD + index as u32))
}

fn take_listeners(describe: impl Fn(usize) -> String) -> io::Result<Vec<TcpListener>> {
    let mut inherited = listenfd::ListenFd::from_env();
    let mut listeners = Vec::with_capacity(inherited.len());
    for index in 0..inherited.len() {
        let result = inherited.take_tcp_listener(index).and_then(|listener| {
            listener.as_ref().map(|l| l.set_nonblocking(true)).transpose()?;
            Ok(listener)
        });
        listeners.extend(result.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", describe(index))))?);
    }
    Ok(listeners)
}

/// This process's position among the processes that share its listening sockets.
pub struct SuccessionLocks {
    handover_path: PathBuf,
    /// Where the processes exchange the ids of requests.
    pub request_ids_path: PathBuf,
    successor_lock_path: PathBuf,
    /// When this process joined, or left the queue of successors.
    turn_started_at: Cell<Instant>,
    state: Arc<LockState>,
}

/// Which locks are held; updated by the thread that waits for them.
#[derive(Default)]
struct LockState {
    /// Another process holds the serving lock.
    has_predecessor: AtomicBool,
    /// This process still waits for the successor lock.
    is_queued: AtomicBool,
    /// This process holds the successor lock.
    holds_successor_lock: AtomicBool,
}

impl SuccessionLocks {
    /// Takes the serving lock for `address`, or queues as a successor if another process holds it. Processes
    /// that serve other addresses may use the same folder.
    pub fn join(folder: &Path, address: SocketAddr) -> io::Result<Self> {
        let path = |name: &str| folder.join(format!("{name}-{address}"));
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false).mode(0o600);
        let serving = options.open(path(SERVING_LOCK))?;
        let successor = options.open(path(SUCCESSOR_LOCK))?;
        let locks = SuccessionLocks {
            handover_path: path(HANDOVER_FILE),
            request_ids_path: path(REQUEST_ID_FILE),
            successor_lock_path: path(SUCCESSOR_LOCK),
            turn_started_at: Cell::new(Instant::now()),
            state: Arc::default(),
        };
        match serving.try_lock() {
            Ok(()) => {
                // Keeps the lock until the process exits.
                std::mem::forget(serving);
                return Ok(locks);
            }
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) => return Err(error),
        }
        let state = locks.state.clone();
        state.has_predecessor.store(true, Ordering::SeqCst);
        state.is_queued.store(true, Ordering::SeqCst);
        // A shared lock: processes that only test whether the lock is held take a shared one for a moment.
        if successor.try_lock_shared().is_err() {
            log(format_args!("another successor is already waiting; queued behind it"));
        }
        let _ = successor.unlock();
        std::thread::Builder::new().name("succession".to_owned()).spawn(move || {
            // The successor lock is taken first and released last, so that successors take over in order.
            let locked = successor.lock();
            state.holds_successor_lock.store(locked.is_ok(), Ordering::SeqCst);
            state.is_queued.store(false, Ordering::SeqCst);
            log(format_args!("another process is serving; this process is its successor"));
            if serving.lock().is_ok() {
                std::mem::forget(serving);
            }
            state.has_predecessor.store(false, Ordering::SeqCst);
            state.holds_successor_lock.store(false, Ordering::SeqCst);
            drop(successor);
        })?;
        Ok(locks)
    }

    /// Which other processes there are now.
    pub fn succession(&self) -> Succession {
        let LockState { has_predecessor, is_queued, holds_successor_lock } = &*self.state;
        let [has_predecessor, is_queued, holds_successor_lock] =
            [has_predecessor, is_queued, holds_successor_lock].map(|flag| flag.load(Ordering::SeqCst));
        // While there is a predecessor, the successor lock is held by this process or by one before it in the
        // queue.
        let has_successor =
            !has_predecessor && !holds_successor_lock && self.is_successor_lock_held().unwrap_or(false);
        Succession { has_predecessor, has_successor, is_queued }
    }

    /// Atomically writes the handover file, readable by its owner only.
    pub fn write_handover(&self, handover: &Handover) -> io::Result<()> {
        let bytes = handover.encode().map_err(io::Error::other)?;
        let draft = self.handover_path.with_extension(std::process::id().to_string());
        let open = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&draft);
        let written = open.and_then(|mut file| file.write_all(&bytes));
        written.and_then(|()| std::fs::rename(&draft, &self.handover_path)).inspect_err(|_| {
            let _ = std::fs::remove_file(&draft);
        })
    }

    /// Reads the predecessor's handover, with its times converted to this process's clock, which shows `now`.
    /// None if there is no valid handover written since this process's turn started. The age is the file
    /// system's: a wall clock step affects one reading only, since the file is rewritten several times a
    /// second.
    pub fn read_handover(&self, now: Nanos) -> Option<Handover> {
        let turn_started_at = now.saturating_sub(self.turn_started_at.get().elapsed().as_nanos() as Nanos);
        let file = File::open(&self.handover_path).ok()?;
        let age = file.metadata().ok()?.modified().ok()?.elapsed().ok()?;
        let written_at = now.saturating_sub(age.as_nanos() as Nanos);
        // The folder may be writable by others: ignores files of other users.
        if file.metadata().ok()?.uid() != std::fs::metadata("/proc/self").ok()?.uid() {
            return None;
        }
        let mut bytes = Vec::new();
        file.take(MAX_HANDOVER_BYTES as u64 + 1).read_to_end(&mut bytes).ok()?;
        let handover =
            Handover::decode(&bytes).ok().filter(|handover| handover.oldest_written_at().is_some())?;
        (written_at >= turn_started_at).then(|| handover.rebased_to(written_at))
    }

    /// Starts this process's turn: handovers written earlier are ignored from here on.
    pub fn start_turn(&self) {
        self.turn_started_at.set(Instant::now());
    }

    /// Time since this process joined or its turn started.
    pub fn turn_age(&self) -> Duration {
        self.turn_started_at.get().elapsed()
    }

    fn is_successor_lock_held(&self) -> io::Result<bool> {
        let file = match File::open(&self.successor_lock_path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(error) => return Err(error),
        };
        Ok(matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder() -> PathBuf {
        let name = std::thread::current().name().unwrap_or_default().replace("::", "-");
        let folder = std::env::temp_dir().join(format!("corkhollow-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn wait_until(what: &str, condition: impl Fn() -> bool) {
        let start = Instant::now();
        while !condition() {
            assert!(start.elapsed().as_secs() < 20, "{what}");
            std::thread::yield_now();
        }
    }

    const ALONE: Succession = Succession { has_predecessor: false, has_successor: false, is_queued: false };

    /// File locks belong to the open file, so one process can simulate several.
    #[test]
    fn successors_take_over_in_order() {
        let folder = folder();
        let [address, other] = ["127.0.0.1:1", "127.0.0.1:2"].map(|a| a.parse::<SocketAddr>().unwrap());
        let lock_file = |of: SocketAddr| File::create(folder.join(format!("{SERVING_LOCK}-{of}"))).unwrap();
        let serving_lock = lock_file(address);
        serving_lock.lock().unwrap();
        let first = SuccessionLocks {
            handover_path: folder.join("none"),
            request_ids_path: folder.join("none"),
            successor_lock_path: folder.join(format!("{SUCCESSOR_LOCK}-{address}")),
            turn_started_at: Cell::new(Instant::now()),
            state: Arc::default(),
        };
        assert_eq!(first.succession(), ALONE);
        let second = SuccessionLocks::join(&folder, address).unwrap();
        let unrelated = SuccessionLocks::join(&folder, other).unwrap();
        assert_eq!(unrelated.succession(), ALONE, "a process on another address is unrelated");
        wait_until("the second becomes the successor", || {
            second.succession() == Succession { has_predecessor: true, ..ALONE }
        });
        wait_until("the first has a successor", || {
            first.succession() == Succession { has_successor: true, ..ALONE }
        });
        let third = SuccessionLocks::join(&folder, address).unwrap();
        assert_eq!(third.succession(), Succession { has_predecessor: true, is_queued: true, ..ALONE });
        assert_eq!(second.succession(), Succession { has_predecessor: true, ..ALONE });
        assert_eq!([&first, &second, &third].map(|n| n.succession().limit_share()).iter().sum::<f64>(), 1.0);
        drop(serving_lock);
        wait_until("the third becomes the successor", || {
            third.succession() == Succession { has_predecessor: true, ..ALONE }
        });
        wait_until("the second serves and has a successor", || {
            second.succession() == Succession { has_successor: true, ..ALONE }
        });
        let _ = std::fs::remove_dir_all(folder);
    }

    #[test]
    fn files_left_by_exited_processes_are_ignored() {
        let folder = folder().join("left");
        std::fs::create_dir_all(&folder).unwrap();
        let address: SocketAddr = "127.0.0.1:3".parse().unwrap();
        for name in [SERVING_LOCK, SUCCESSOR_LOCK, HANDOVER_FILE] {
            std::fs::write(folder.join(format!("{name}-{address}")), b"left").unwrap();
        }
        let alone = SuccessionLocks::join(&folder, address).unwrap();
        assert_eq!(alone.succession(), ALONE);
        assert!(alone.read_handover(u64::MAX).is_none());
        let _ = std::fs::remove_dir_all(folder);
    }
}
