//! Golden files of the simulator's wire: a recorded session and the program's answers, byte for byte.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// The code of the action that writes to the log; the wording of its text is free.
const LOG: u8 = 120;
/// Bytes of a reply's header, its number of records and its length, and of one record.
const HEADER: usize = 8;
const RECORD: usize = 24;

/// The replies without the texts of log records.
fn without_log_texts(mut replies: &[u8]) -> Vec<u8> {
    let mut kept = Vec::new();
    while !replies.is_empty() {
        let word = |at: usize| u32::from_be_bytes(replies[at..at + 4].try_into().unwrap()) as usize;
        let (reply, rest) = replies.split_at(word(4));
        let (records, tail) = reply[HEADER..].split_at(RECORD * word(0));
        kept.extend(&reply[..4]);
        for record in records.chunks_exact(RECORD) {
            kept.extend(if record[0] == LOG { &record[..5] } else { record });
        }
        let has_log = records.chunks_exact(RECORD).any(|record| record[0] == LOG);
        kept.extend(if has_log { &[] } else { tail });
        replies = rest;
    }
    kept
}

#[test]
fn a_recorded_session_is_answered_with_the_same_bytes() {
    let input = std::fs::read(golden("session.in")).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_corkhollow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    let writer = std::thread::spawn(move || stdin.write_all(&input).unwrap());
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    assert!(output.status.success());
    let expected = std::fs::read(golden("session.out")).unwrap();
    assert!(without_log_texts(&expected).len() > 10_000);
    assert_eq!(without_log_texts(&output.stdout), without_log_texts(&expected));
}
