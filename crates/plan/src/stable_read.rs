//! Files that somebody may be writing while they are read.

use std::fs::Metadata;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// A file that never stands still is given up after so many tries.
const TRIES: usize = 20;

/// What changes with every write, as far as the system's clock is fine enough for that.
type State = (u64, u64, i64, i64);

fn state(meta: &Metadata) -> State {
    (meta.ino(), meta.len(), meta.mtime(), meta.mtime_nsec())
}

/// Reads a file that is the same before and after. What is no file, a pipe for one, is read as it comes.
///
/// # Errors
/// Where it cannot be read, or changes with each try.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    if !std::fs::metadata(path)?.is_file() {
        return std::fs::read(path);
    }
    read_by(|| std::fs::metadata(path).map(|meta| state(&meta)), || std::fs::read(path))
}

fn read_by(
    mut state: impl FnMut() -> io::Result<State>,
    mut read: impl FnMut() -> io::Result<Vec<u8>>,
) -> io::Result<Vec<u8>> {
    for _ in 0..TRIES {
        let before = state()?;
        let bytes = read()?;
        if state()? == before && before.1 == bytes.len() as u64 {
            return Ok(bytes);
        }
        std::thread::yield_now();
    }
    Err(io::Error::other("it changes while it is read"))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A pipe has no length and can be read once.
    #[test]
    fn what_is_no_file_is_read_as_it_comes() {
        use std::io::Write;
        use std::os::fd::AsRawFd;
        let (reader, mut writer) = std::io::pipe().unwrap();
        writer.write_all(b"some text").unwrap();
        drop(writer);
        let path = format!("/proc/self/fd/{}", reader.as_raw_fd());
        assert_eq!(read(Path::new(&path)).unwrap(), b"some text");
    }

    #[test]
    fn what_changes_is_read_again() {
        // Each read finds a byte more, until the fifth.
        let size = std::cell::Cell::new(0u64);
        let state = || Ok((1, size.get(), 0, 0));
        let grow = || {
            let read = vec![b'x'; size.get() as usize];
            size.set((size.get() + 1).min(5));
            Ok(read)
        };
        assert_eq!(read_by(state, grow).unwrap(), b"xxxxx");
        // Another file in its place, of the same length.
        let file = std::cell::Cell::new(0u64);
        let replaced = || {
            file.set((file.get() + 1).min(7));
            Ok(vec![b'x'])
        };
        assert!(read_by(|| Ok((file.get(), 1, 0, 0)), replaced).is_ok());
        assert_eq!(file.get(), 7);
        let never = std::cell::Cell::new(0);
        let always = || {
            never.set(never.get() + 1);
            Ok((1, 0, never.get(), 0))
        };
        assert!(read_by(always, || Ok(Vec::new())).unwrap_err().to_string().contains("changes"));
    }
}
