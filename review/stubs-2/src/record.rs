//! The case's record: what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

fn record() -> &'static (Instant, Mutex<File>) {
    RECORD.get_or_init(|| {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        (Instant::now(), Mutex::new(File::create(path).expect("the record can be written")))
    })
}

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    record().0.elapsed().as_secs_f64() * 1e3
}

/// Writes a line to the record and to standard output.
pub fn note(text: &str) {
    let line = format!("{:10.1} {text}\n", now_ms());
    print!("{line}");
    if let Ok(mut file) = record().1.lock() {
        let _ = file.write_all(line.as_bytes());
    }
}
