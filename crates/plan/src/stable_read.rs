//! Reading files that another process may be writing.

use std::fs::Metadata;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

const MAX_READ_ATTEMPTS: usize = 20;

/// Inode, length and modification time of a file, which change with every write unless two writes fall into one tick
/// of the file system's clock.
type FileState = (u64, u64, i64, i64);

fn file_state(meta: &Metadata) -> FileState {
    (meta.ino(), meta.len(), meta.mtime(), meta.mtime_nsec())
}

/// Reads a file, and reads it again if it has changed meanwhile. Pipes and other special files are read once.
///
/// # Errors
/// If the file cannot be read, or changes during every attempt.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    if !std::fs::metadata(path)?.is_file() {
        return std::fs::read(path);
    }
    read_until_unchanged(|| std::fs::metadata(path).map(|meta| file_state(&meta)), || std::fs::read(path))
}

fn read_until_unchanged(
    mut state: impl FnMut() -> io::Result<FileState>,
    mut read: impl FnMut() -> io::Result<Vec<u8>>,
) -> io::Result<Vec<u8>> {
    for _ in 0..MAX_READ_ATTEMPTS {
        let before = state()?;
        let bytes = read()?;
        if state()? == before && before.1 == bytes.len() as u64 {
            return Ok(bytes);
        }
        std::thread::yield_now();
    }
    Err(io::Error::other("the file changes while it is read"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pipe_is_read_once() {
        use std::io::Write;
        use std::os::fd::AsRawFd;
        let (reader, mut writer) = std::io::pipe().unwrap();
        writer.write_all(b"some text").unwrap();
        drop(writer);
        let path = format!("/proc/self/fd/{}", reader.as_raw_fd());
        assert_eq!(read(Path::new(&path)).unwrap(), b"some text");
    }

    #[test]
    fn a_file_that_changes_is_read_again() {
        // The file grows by a byte with each read, up to five bytes.
        let size = std::cell::Cell::new(0u64);
        let state = || Ok((1, size.get(), 0, 0));
        let grow = || {
            let read = vec![b'x'; size.get() as usize];
            size.set((size.get() + 1).min(5));
            Ok(read)
        };
        assert_eq!(read_until_unchanged(state, grow).unwrap(), b"xxxxx");
        // The file is replaced by another one of the same length.
        let inode = std::cell::Cell::new(0u64);
        let replaced = || {
            inode.set((inode.get() + 1).min(7));
            Ok(vec![b'x'])
        };
        assert!(read_until_unchanged(|| Ok((inode.get(), 1, 0, 0)), replaced).is_ok());
        assert_eq!(inode.get(), 7);
        let modified_at = std::cell::Cell::new(0);
        let keeps_changing = || {
            modified_at.set(modified_at.get() + 1);
            Ok((1, 0, modified_at.get(), 0))
        };
        assert!(read_until_unchanged(keeps_changing, || Ok(Vec::new()))
            .unwrap_err()
            .to_string()
            .contains("changes"));
    }
}
