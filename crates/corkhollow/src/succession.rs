//! Processes that serve the same clients find one another by files under locks, in a folder that they share. The
//! kernel lets go of a lock when its holder ends, however that comes about.

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

/// Held by the process that serves, and by each that has come to its place.
const SERVING: &str = "corkhollow-serving";
/// What the process that serves has learnt, for the one that comes to its place.
const KNOWLEDGE: &str = "corkhollow-knowledge";
/// Held by the one that comes to its place, until that one has gone; another one waits for it.
const SUCCESSOR: &str = "corkhollow-successor";
/// The first descriptor that systemd hands down.
const FIRST: u32 = 3;

/// The listening sockets that somebody else holds and hands down: the platform the clients' one, as the descriptor that
/// `GW_LISTEN_FD` names; a service manager any number of them, by systemd's protocol (sd_listen_fds(3)).
pub fn handed() -> io::Result<Vec<TcpListener>> {
    if let Ok(number) = std::env::var("GW_LISTEN_FD") {
        if !number.parse::<i32>().is_ok_and(|n| n > 2) {
            let what =
                format!("GW_LISTEN_FD is `{number}`; allowed: the number of an open descriptor, from 3 on");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
        }
        // In the words of systemd's protocol, which the crate speaks: it checks that this is a listening socket.
        std::env::remove_var("LISTEN_PID");
        std::env::set_var("LISTEN_FDS", "1");
        std::env::set_var("LISTEN_FDS_FIRST_FD", &number);
        return inherit(|_| format!("GW_LISTEN_FD is `{number}`"));
    }
    inherit(|at| format!("LISTEN_FDS: descriptor {}", FIRST + at as u32))
}

fn inherit(what: impl Fn(usize) -> String) -> io::Result<Vec<TcpListener>> {
    let mut from = listenfd::ListenFd::from_env();
    let mut all = Vec::with_capacity(from.len());
    for at in 0..from.len() {
        let taken = from.take_tcp_listener(at).and_then(|listener| {
            listener.as_ref().map(|l| l.set_nonblocking(true)).transpose()?;
            Ok(listener)
        });
        all.extend(taken.map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", what(at))))?);
    }
    Ok(all)
}

/// What this process knows of the others.
pub struct Neighbours {
    knowledge_path: PathBuf,
    successor_path: PathBuf,
    /// When it joined, or its turn came.
    joined: Cell<Instant>,
    place: Arc<Place>,
}

/// Which locks this process holds, as the thread that waits for them tells it.
#[derive(Default)]
struct Place {
    /// An older process holds the one of the process that serves.
    older: AtomicBool,
    /// An older process holds the successors'.
    waits: AtomicBool,
    /// This one holds the successors'.
    succeeds: AtomicBool,
}

impl Neighbours {
    /// Takes its place in the folder, behind the process that serves this address if there is one. Processes that serve
    /// others may use the same folder.
    pub fn join(folder: &Path, address: SocketAddr) -> io::Result<Self> {
        let path = |name: &str| folder.join(format!("{name}-{address}"));
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false).mode(0o600);
        let serving = options.open(path(SERVING))?;
        let successor = options.open(path(SUCCESSOR))?;
        let neighbours = Neighbours {
            knowledge_path: path(KNOWLEDGE),
            successor_path: path(SUCCESSOR),
            joined: Cell::new(Instant::now()),
            place: Arc::default(),
        };
        match serving.try_lock() {
            Ok(()) => {
                // Held until the process ends.
                std::mem::forget(serving);
                return Ok(neighbours);
            }
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) => return Err(error),
        }
        let place = neighbours.place.clone();
        place.older.store(true, Ordering::SeqCst);
        place.waits.store(true, Ordering::SeqCst);
        // Only processes that look whether the lock is held keep it from this one, each for a moment.
        if successor.try_lock_shared().is_err() {
            log(format_args!("another process has come to its place; this one waits for its turn"));
        }
        let _ = successor.unlock();
        std::thread::Builder::new().name("succession".to_owned()).spawn(move || {
            // In this order: nobody passes by the one whose turn it is.
            let first = successor.lock();
            place.succeeds.store(first.is_ok(), Ordering::SeqCst);
            place.waits.store(false, Ordering::SeqCst);
            log(format_args!("another process serves; this one comes to its place"));
            if serving.lock().is_ok() {
                std::mem::forget(serving);
            }
            place.older.store(false, Ordering::SeqCst);
            place.succeeds.store(false, Ordering::SeqCst);
            drop(successor);
        })?;
        Ok(neighbours)
    }

    /// Who is there now.
    pub fn now(&self) -> Succession {
        let Place { older, waits, succeeds } = &*self.place;
        let [older, waits, succeeds] = [older, waits, succeeds].map(|b| b.load(Ordering::SeqCst));
        // While an older one is there, the lock is this one's, or that of the one whose turn is before.
        let newer = !older && !succeeds && self.newer().unwrap_or(false);
        Succession { has_predecessor: older, has_successor: newer, is_queued: waits }
    }

    /// Writes down what this process has learnt, whole or not at all, for its owner alone.
    pub fn tell(&self, handover: &Handover) -> io::Result<()> {
        let bytes = handover.encode().map_err(io::Error::other)?;
        let draft = self.knowledge_path.with_extension(std::process::id().to_string());
        let open = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&draft);
        let written = open.and_then(|mut file| file.write_all(&bytes));
        written.and_then(|()| std::fs::rename(&draft, &self.knowledge_path)).inspect_err(|_| {
            let _ = std::fs::remove_file(&draft);
        })
    }

    /// What the older process has learnt, as written since this one joined, on this one's clock, where it is `now`. Whatever else is
    /// found there is passed over. The file's age is the file system's: it is written anew several times a second, and a clock that is
    /// set in between costs one of these times.
    pub fn told(&self, now: Nanos) -> Option<Handover> {
        let joined = now.saturating_sub(self.joined.get().elapsed().as_nanos() as Nanos);
        let file = File::open(&self.knowledge_path).ok()?;
        let age = file.metadata().ok()?.modified().ok()?.elapsed().ok()?;
        let written_at = now.saturating_sub(age.as_nanos() as Nanos);
        // In a folder that others may write to, only what this user has written counts.
        if file.metadata().ok()?.uid() != std::fs::metadata("/proc/self").ok()?.uid() {
            return None;
        }
        let mut bytes = Vec::new();
        file.take(MAX_HANDOVER_BYTES as u64 + 1).read_to_end(&mut bytes).ok()?;
        let handover =
            Handover::decode(&bytes).ok().filter(|handover| handover.oldest_written_at().is_some())?;
        (written_at >= joined).then(|| handover.rebased_to(written_at))
    }

    /// Its turn has come: what has been told before is nobody's.
    pub fn begin(&self) {
        self.joined.set(Instant::now());
    }

    /// How long this process has been there, or has had its turn.
    pub fn age(&self) -> Duration {
        self.joined.get().elapsed()
    }

    /// Whether a process holds the successors' lock.
    fn newer(&self) -> io::Result<bool> {
        let file = match File::open(&self.successor_path) {
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

    fn wait(what: &str, condition: impl Fn() -> bool) {
        let start = Instant::now();
        while !condition() {
            assert!(start.elapsed().as_secs() < 20, "{what}");
            std::thread::yield_now();
        }
    }

    const ALONE: Succession = Succession { has_predecessor: false, has_successor: false, is_queued: false };

    /// Locks go with the open file, so that one process can stand for several here.
    #[test]
    fn each_finds_the_others_and_has_its_turn() {
        let folder = folder();
        let [address, other] = ["127.0.0.1:1", "127.0.0.1:2"].map(|a| a.parse::<SocketAddr>().unwrap());
        let serving = |of: SocketAddr| File::create(folder.join(format!("{SERVING}-{of}"))).unwrap();
        let held = serving(address);
        held.lock().unwrap();
        let first = Neighbours {
            knowledge_path: folder.join("none"),
            successor_path: folder.join(format!("{SUCCESSOR}-{address}")),
            joined: Cell::new(Instant::now()),
            place: Arc::default(),
        };
        assert_eq!(first.now(), ALONE);
        let second = Neighbours::join(&folder, address).unwrap();
        let stranger = Neighbours::join(&folder, other).unwrap();
        assert_eq!(stranger.now(), ALONE, "one that serves another address is no neighbour");
        wait("the second's turn", || second.now() == Succession { has_predecessor: true, ..ALONE });
        wait("the first hears of it", || first.now() == Succession { has_successor: true, ..ALONE });
        let third = Neighbours::join(&folder, address).unwrap();
        assert_eq!(third.now(), Succession { has_predecessor: true, is_queued: true, ..ALONE });
        assert_eq!(second.now(), Succession { has_predecessor: true, ..ALONE });
        assert_eq!([&first, &second, &third].map(|n| n.now().limit_share()).iter().sum::<f64>(), 1.0);
        drop(held);
        wait("the third's turn", || third.now() == Succession { has_predecessor: true, ..ALONE });
        wait("the second serves, and hears of the third", || {
            second.now() == Succession { has_successor: true, ..ALONE }
        });
        let _ = std::fs::remove_dir_all(folder);
    }

    /// What processes that have gone have left says nothing.
    #[test]
    fn files_that_are_left_behind_mean_nothing() {
        let folder = folder().join("left");
        std::fs::create_dir_all(&folder).unwrap();
        let address: SocketAddr = "127.0.0.1:3".parse().unwrap();
        for name in [SERVING, SUCCESSOR, KNOWLEDGE] {
            std::fs::write(folder.join(format!("{name}-{address}")), b"left").unwrap();
        }
        let alone = Neighbours::join(&folder, address).unwrap();
        assert_eq!(alone.now(), ALONE);
        assert!(alone.told(u64::MAX).is_none());
        let _ = std::fs::remove_dir_all(folder);
    }
}
