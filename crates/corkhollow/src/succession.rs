//! Processes that serve the same clients find one another by files under locks, in a folder that they share. The
//! kernel lets go of a lock when its holder ends, however that comes about.

use corkhollow_balance::interface::Nanos;
use corkhollow_engine::log;
use corkhollow_operate::{Handover, Succession, LONGEST_HANDOVER};
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
/// Held by the newest process that came up beside another one.
const SUCCESSOR: &str = "corkhollow-successor";

/// The clients' listening socket, where the platform holds it and hands it down as the descriptor that
/// `GW_LISTEN_FD` names.
pub fn handed() -> io::Result<Option<TcpListener>> {
    let Ok(number) = std::env::var("GW_LISTEN_FD") else { return Ok(None) };
    if !number.parse::<i32>().is_ok_and(|n| n > 2) {
        let what =
            format!("GW_LISTEN_FD is `{number}`; allowed: the number of an open descriptor, from 3 on");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    }
    // In the words of systemd's protocol, which the crate speaks: it checks that this is a listening socket.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", &number);
    let listener = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let listener =
        listener.map_err(|e| io::Error::new(e.kind(), format!("GW_LISTEN_FD is `{number}`: {e}")))?;
    if let Some(listener) = &listener {
        listener.set_nonblocking(true)?;
    }
    Ok(listener)
}

/// What this process knows of the others.
pub struct Neighbours {
    mark_path: PathBuf,
    knowledge_path: PathBuf,
    joined: Instant,
    /// An older process holds the lock.
    older: Arc<AtomicBool>,
    /// This one's mark, as the file system numbers it.
    mark: Option<u64>,
}

impl Neighbours {
    /// Takes its place in the folder, behind the process that serves this address if there is one. Processes that serve
    /// others may use the same folder.
    pub fn join(folder: &Path, address: SocketAddr) -> io::Result<Self> {
        let path = |name: &str| folder.join(format!("{name}-{address}"));
        let open =
            |path: &Path| OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let serving = open(&path(SERVING))?;
        let mut neighbours = Neighbours {
            mark_path: path(SUCCESSOR),
            knowledge_path: path(KNOWLEDGE),
            joined: Instant::now(),
            older: Arc::default(),
            mark: None,
        };
        match serving.try_lock() {
            Ok(()) => {
                // Held until the process ends.
                std::mem::forget(serving);
                return Ok(neighbours);
            }
            Err(TryLockError::WouldBlock) => neighbours.older.store(true, Ordering::SeqCst),
            Err(TryLockError::Error(error)) => return Err(error),
        }
        // It is under its lock before anybody can find it.
        let own = path(&format!("{SUCCESSOR}-{}", std::process::id()));
        let mark = open(&own)?;
        mark.lock()?;
        neighbours.mark = Some(mark.metadata()?.ino());
        std::fs::rename(own, &neighbours.mark_path)?;
        std::mem::forget(mark);
        let older = neighbours.older.clone();
        let wait = move || {
            if serving.lock().is_ok() {
                std::mem::forget(serving);
            }
            older.store(false, Ordering::SeqCst);
        };
        std::thread::Builder::new().name("succession".to_owned()).spawn(wait)?;
        log(format_args!("another process serves; this one comes to its place"));
        Ok(neighbours)
    }

    /// Who is there now.
    pub fn now(&self) -> Succession {
        Succession { older: self.older.load(Ordering::SeqCst), newer: self.newer().unwrap_or(false) }
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

    /// What the older process has learnt, as written since this one joined, `now` on the clock of both. Whatever else is
    /// found there is passed over.
    pub fn told(&self, now: Nanos) -> Option<Handover> {
        let joined = now.saturating_sub(self.joined.elapsed().as_nanos() as Nanos);
        let file = File::open(&self.knowledge_path).ok()?;
        let mut bytes = Vec::new();
        file.take(LONGEST_HANDOVER as u64 + 1).read_to_end(&mut bytes).ok()?;
        Handover::decode(&bytes).ok().filter(|told| told.written_at().is_some_and(|at| at >= joined))
    }

    /// How long this process has been there.
    pub fn age(&self) -> Duration {
        self.joined.elapsed()
    }

    fn newer(&self) -> io::Result<bool> {
        let file = match File::open(&self.mark_path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(error) => return Err(error),
        };
        if Some(file.metadata()?.ino()) == self.mark {
            return Ok(false);
        }
        // A mark that nobody holds is that of a process that has gone.
        Ok(matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder() -> PathBuf {
        let folder = std::env::temp_dir().join(format!("corkhollow-succession-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    /// Locks go with the open file, so that one process can stand for two here.
    #[test]
    fn each_finds_the_others_and_learns_of_their_end() {
        let folder = folder();
        let [address, other] = ["127.0.0.1:1", "127.0.0.1:2"].map(|a| a.parse::<SocketAddr>().unwrap());
        let held = File::create(folder.join(format!("{SERVING}-{address}"))).unwrap();
        held.lock().unwrap();
        let second = Neighbours::join(&folder, address).unwrap();
        let stranger = Neighbours::join(&folder, other).unwrap();
        assert_eq!(stranger.now(), Succession::default(), "one that serves another address is no neighbour");
        assert_eq!(second.now(), Succession { older: true, newer: false });
        let first = Neighbours {
            mark_path: second.mark_path.clone(),
            knowledge_path: second.knowledge_path.clone(),
            joined: Instant::now(),
            older: Arc::default(),
            mark: None,
        };
        assert_eq!(first.now(), Succession { older: false, newer: true });
        drop(held);
        let start = std::time::Instant::now();
        while second.now() != Succession::default() {
            assert!(start.elapsed().as_secs() < 20, "the end of the older process goes unnoticed");
        }
        // A mark that is left behind says nothing.
        std::fs::write(folder.join("left"), b"").unwrap();
        std::fs::rename(folder.join("left"), &first.mark_path).unwrap();
        assert_eq!(first.now(), Succession::default());
        let _ = std::fs::remove_dir_all(folder);
    }
}
