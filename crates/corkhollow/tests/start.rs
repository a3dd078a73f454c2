//! Signals to a process that is still starting.

use corkhollow_test_support::*;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Value on Linux.
const O_NONBLOCK: i32 = 0o4000;

/// A configuration file that is a named pipe: a starting process blocks on it until the test writes to it.
struct ConfigPipe {
    folder: TempFolder,
}

impl ConfigPipe {
    fn new(name: &str) -> Self {
        let folder = TempFolder::new(name);
        let pipe = ConfigPipe { folder };
        assert!(Command::new("mkfifo").arg(pipe.path()).status().unwrap().success());
        pipe
    }

    fn path(&self) -> std::path::PathBuf {
        self.folder.0.join("file")
    }

    /// Waits until a process has opened the pipe; it reads until the returned writer is dropped.
    fn wait_for_reader(&self) -> File {
        let mut writer = None;
        let started = Instant::now();
        while writer.is_none() {
            assert!(started.elapsed() < Duration::from_secs(20), "no process has opened the pipe");
            // Fails while no reader has the pipe open.
            writer = OpenOptions::new().write(true).custom_flags(O_NONBLOCK).open(self.path()).ok();
            thread::sleep(Duration::from_millis(1));
        }
        writer.unwrap()
    }
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

/// Whether the process logs that it listens before its log ends.
fn logs_listening(child: &mut Child) -> bool {
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    lines.map_while(Result::ok).any(|line| line.contains("listening on "))
}

/// SIGHUP before the configuration is read must neither kill the process nor keep it from starting.
#[test]
fn sighup_during_the_start_does_not_end_the_process() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let platform = platform_config(discovery.address, &NodeOptions::default());
    let operator_file = format!(
        "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"main\"\n\
         servers = [{{ address = \"{}\" }}]\n[[route]]\nname = \"all\"\npool = \"main\"\n",
        servers.addresses[0]
    );
    for (name, text) in [("platform", platform), ("operator", operator_file)] {
        let pipe = ConfigPipe::new(&format!("start-{name}"));
        let mut command = Command::new(program_path());
        match name {
            "platform" => command.arg("run").env("GW_CONFIG", pipe.path()),
            _ => command.args(["run", "--config"]).arg(pipe.path()),
        };
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut writer = pipe.wait_for_reader();
        for _ in 0..3 {
            signal(&child, "-HUP");
        }
        // Fails if the process has exited; the assertion below reports that.
        let _ = writer.write_all(text.as_bytes());
        drop(writer);
        let listening = logs_listening(&mut child);
        let _ = child.kill();
        let status = child.wait().unwrap();
        assert!(listening, "{name}: the process does not listen; it ended with {status:?}");
    }
}

/// No request was accepted yet: there is nothing to wait for.
#[test]
fn sigterm_during_the_start_ends_the_process_at_once() {
    let pipe = ConfigPipe::new("start-end");
    let mut child = Command::new(program_path()).arg("run").env("GW_CONFIG", pipe.path()).spawn().unwrap();
    let writer = pipe.wait_for_reader();
    signal(&child, "-TERM");
    let terminated_at = Instant::now();
    let status = loop {
        match child.try_wait().unwrap() {
            None if terminated_at.elapsed() < Duration::from_secs(5) => {
                thread::sleep(Duration::from_millis(2))
            }
            status => break status,
        }
    };
    drop(writer);
    let _ = child.kill();
    assert!(status.is_some(), "the process still waits for its configuration");
}
