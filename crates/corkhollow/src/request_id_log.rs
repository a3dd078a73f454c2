//! The request ids that processes on one listening socket have claimed: a file to which each of them appends.
//!
//! A process appends a record before it uses an id and then reads all records up to its own. The file system
//! orders the records, so of two processes that claim the same id one finds the other's record before its own.

use corkhollow_engine::{log, RequestKey, SharedIds};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// A record: the process and the key of the id, both `u64`, big endian.
const RECORD_BYTES: usize = 16;
/// The file grows no longer than this. Where files count as memory it is a part of the node's.
const MAX_FILE_BYTES: u64 = 2 << 20;
/// Records read in one call.
const RECORDS_PER_READ: usize = 256;

/// One process's access to the file.
pub struct RequestIdLog {
    file: File,
    /// Identifies the records of this process.
    process: u64,
    /// Everything before this offset has been read.
    offset: u64,
    /// Whether an error has been logged.
    has_failed: bool,
}

impl RequestIdLog {
    /// Creates the file with these ids, in place of an older one.
    pub fn create(path: &Path, claimed: &[RequestKey]) -> io::Result<Self> {
        let draft = path.with_extension(std::process::id().to_string());
        let process = process_number();
        let records: Vec<u8> = claimed.iter().flat_map(|key| encode(process, *key)).collect();
        let open = OpenOptions::new().read(true).append(true).create(true).mode(0o600).open(&draft);
        let created = open.and_then(|mut file| {
            file.set_len(0)?;
            file.write_all(&records)?;
            std::fs::rename(&draft, path)?;
            Ok(file)
        });
        let file = created.inspect_err(|_| {
            let _ = std::fs::remove_file(&draft);
        })?;
        Ok(RequestIdLog { file, process, offset: records.len() as u64, has_failed: false })
    }

    /// Opens the file that another process has created.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).append(true).open(path)?;
        Ok(RequestIdLog { file, process: process_number(), offset: 0, has_failed: false })
    }

    /// Appends a record and reads up to it; adds the keys of other processes to `others`.
    fn append_and_read(&mut self, key: RequestKey, others: &mut Vec<RequestKey>) -> io::Result<()> {
        if self.offset >= MAX_FILE_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        // One call, so that no other record comes in between.
        let written = self.file.write(&encode(self.process, key))?;
        if written != RECORD_BYTES {
            return Err(io::ErrorKind::WriteZero.into());
        }
        let mut bytes = [0; RECORD_BYTES * RECORDS_PER_READ];
        loop {
            let count = self.file.read_at(&mut bytes, self.offset)? / RECORD_BYTES;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            for record in bytes[..count * RECORD_BYTES].chunks_exact(RECORD_BYTES) {
                self.offset += RECORD_BYTES as u64;
                let (process, read_key) = decode(record);
                if process != self.process {
                    others.push(read_key);
                } else if read_key == key {
                    return Ok(());
                }
            }
        }
    }
}

impl SharedIds for RequestIdLog {
    fn claim(&mut self, key: RequestKey) -> Vec<RequestKey> {
        let mut others = Vec::new();
        if let Err(error) = self.append_and_read(key, &mut others) {
            if !std::mem::replace(&mut self.has_failed, true) {
                log(format_args!("cannot exchange request ids with the other process: {error}"));
            }
        }
        others
    }
}

/// A number that no other process that overlaps with this one uses. Process ids alone may be the same where each
/// process has a namespace of its own.
fn process_number() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let process = [u64::from(std::process::id()), since_epoch.as_nanos() as u64];
    corkhollow_plan::stable_hash(&process.map(u64::to_be_bytes).concat())
}

fn encode(process: u64, key: RequestKey) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[..8].copy_from_slice(&process.to_be_bytes());
    record[8..].copy_from_slice(&key.0.to_be_bytes());
    record
}

fn decode(record: &[u8]) -> (u64, RequestKey) {
    let number = |bytes: &[u8]| bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte));
    (number(&record[..8]), RequestKey(number(&record[8..])))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a request that runs at both processes of an upgrade.
    #[test]
    fn of_two_processes_that_claim_an_id_one_gets_the_claim_of_the_other() {
        let folder = std::env::temp_dir().join(format!("corkhollow-id-log-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("ids");
        let mut old = RequestIdLog::create(&path, &[RequestKey(1), RequestKey(2)]).unwrap();
        let mut new = RequestIdLog { process: old.process + 1, ..RequestIdLog::open(&path).unwrap() };
        assert_eq!(new.claim(RequestKey(3)), [RequestKey(1), RequestKey(2)]);
        assert_eq!(old.claim(RequestKey(3)), [RequestKey(3)]);
        assert_eq!(new.claim(RequestKey(4)), [RequestKey(3)]);
        assert_eq!(new.claim(RequestKey(4)), []);
        let many: Vec<_> = (10..2_000).map(RequestKey).collect();
        for key in &many {
            old.claim(*key);
        }
        assert_eq!(new.claim(RequestKey(5)), many);
        let _ = std::fs::remove_dir_all(folder);
    }
}
