//! Signals that come while a process is starting.

use corkhollow_test_support::*;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// `O_NONBLOCK` of Linux.
const NO_WAIT: i32 = 0o4000;

/// A configuration that is a pipe: the process waits in the middle of its start until a test writes the file into it.
struct SlowFile {
    folder: TempFolder,
}

impl SlowFile {
    fn new(name: &str) -> Self {
        let folder = TempFolder::new(name);
        let file = SlowFile { folder };
        assert!(Command::new("mkfifo").arg(file.path()).status().unwrap().success());
        file
    }

    fn path(&self) -> std::path::PathBuf {
        self.folder.0.join("file")
    }

    /// Waits until a process reads it; it reads on until what this returns is dropped.
    fn wait_for_reader(&self) -> File {
        let mut writer = None;
        let begun = Instant::now();
        while writer.is_none() {
            assert!(begun.elapsed() < Duration::from_secs(20), "the file is not read");
            // Without waiting: that fails as long as it is not read.
            writer = OpenOptions::new().write(true).custom_flags(NO_WAIT).open(self.path()).ok();
            thread::sleep(Duration::from_millis(1));
        }
        writer.unwrap()
    }
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

fn listens(child: &mut Child) -> bool {
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    lines.map_while(Result::ok).any(|line| line.contains("listening on "))
}

/// SIGHUP before the process has read its file: there is nothing to take over yet. It starts with the file, and does not die of
/// the signal.
#[test]
fn a_signal_to_reload_during_the_start_ends_no_process() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let platform = platform_config(discovery.address, &NodeOptions::default());
    let site = format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"main\"\n\
         servers = [{{ address = \"{}\" }}]\n[[route]]\nname = \"all\"\npool = \"main\"\n",
        servers.addresses[0]
    );
    for (name, text) in [("platform", platform), ("site", site)] {
        let file = SlowFile::new(&format!("start-{name}"));
        let mut command = Command::new(program_path());
        match name {
            "platform" => command.arg("run").env("GW_CONFIG", file.path()),
            _ => command.args(["run", "--config"]).arg(file.path()),
        };
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut writer = file.wait_for_reader();
        for _ in 0..3 {
            signal(&child, "-HUP");
        }
        // A process that has ended reads nothing more, and its log ends with it.
        let _ = writer.write_all(text.as_bytes());
        drop(writer);
        let listening = listens(&mut child);
        let _ = child.kill();
        let ended = child.wait().unwrap();
        assert!(listening, "{name}: it does not listen; it has ended with {ended:?}");
    }
}

/// SIGTERM there ends the process at once: it has taken nothing.
#[test]
fn a_signal_to_end_during_the_start_ends_the_process() {
    let file = SlowFile::new("start-end");
    let mut child = Command::new(program_path()).arg("run").env("GW_CONFIG", file.path()).spawn().unwrap();
    let writer = file.wait_for_reader();
    signal(&child, "-TERM");
    let begun = Instant::now();
    let ended = loop {
        match child.try_wait().unwrap() {
            None if begun.elapsed() < Duration::from_secs(5) => thread::sleep(Duration::from_millis(2)),
            ended => break ended,
        }
    };
    drop(writer);
    let _ = child.kill();
    assert!(ended.is_some(), "it still waits for its file");
}
