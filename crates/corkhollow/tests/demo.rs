//! The demo: it serves requests while one server drains and one dies, and leaves no process or file behind.

use corkhollow_test_support::wait_until;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

#[test]
fn the_demo_serves_and_removes_its_files_at_the_end() {
    let args = ["demo", "--seconds", "15"];
    let output =
        Command::new(env!("CARGO_BIN_EXE_corkhollow")).args(args).output().expect("cannot start the demo");
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{stdout}\n{}", String::from_utf8_lossy(&output.stderr));
    for expected in ["curl -i http://127.0.0.1:", "draining", "dead", "box-5"] {
        assert!(stdout.contains(expected), "no {expected}: {stdout}");
    }
    let summary = stdout.lines().last().unwrap();
    let counts: Vec<u64> = summary.split(' ').filter_map(|w| w.parse().ok()).collect();
    let [sent, served, refused, failed] = counts[..] else { panic!("{summary}") };
    assert_eq!(sent, served + refused + failed, "not every request has one outcome: {summary}");
    // Requests in flight on the server that dies may fail.
    assert!(served > 500 && refused + failed < sent / 50, "{summary}");
    let file = stdout.split("Its file: ").nth(1).unwrap().split(' ').next().unwrap();
    assert!(!std::path::Path::new(file).exists(), "{file} was not removed");
}

/// A running demo; killed when dropped.
struct Demo {
    child: Child,
    stdout: BufReader<ChildStdout>,
    /// Where its gateway process listens.
    address: SocketAddr,
    /// The gateway's configuration file.
    file: PathBuf,
}

impl Demo {
    fn start() -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corkhollow"));
        let mut child = command.arg("demo").stdout(Stdio::piped()).spawn().expect("cannot start the demo");
        let stdout = BufReader::new(child.stdout.take().unwrap());
        let unknown_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut demo = Demo { child, stdout, address: unknown_address, file: PathBuf::new() };
        let mut line = String::new();
        while demo.file == Path::new("") {
            line.clear();
            assert!(
                demo.stdout.read_line(&mut line).unwrap() > 0,
                "the demo ended before it printed its address and file"
            );
            if let Some((_, rest)) = line.split_once("listens on http://") {
                demo.address = rest.split('/').next().unwrap().parse().unwrap();
            }
            if let Some((_, file)) = line.split_once("Its file: ") {
                demo.file = PathBuf::from(file.split(' ').next().unwrap());
            }
        }
        assert!(TcpStream::connect(demo.address).is_ok() && demo.file.exists());
        demo
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // A killed demo does not remove its folder.
        let _ = self.file.parent().map(std::fs::remove_dir_all);
    }
}

/// Either signal (SIGHUP comes when the terminal closes) has the effect of Ctrl-C: no process and no file is
/// left.
#[test]
fn sigterm_and_sighup_end_the_demo_and_its_gateway() {
    for signal in ["-TERM", "-HUP"] {
        let mut demo = Demo::start();
        assert!(Command::new("kill")
            .args([signal, &demo.child.id().to_string()])
            .status()
            .unwrap()
            .success());
        let summary =
            demo.stdout.by_ref().lines().map_while(Result::ok).find(|line| line.starts_with("ended: "));
        assert!(
            summary.is_some_and(|line| line.ends_with(" 0 failed")),
            "{signal}: no summary without failed requests"
        );
        assert!(demo.child.wait().unwrap().success());
        assert!(TcpStream::connect(demo.address).is_err(), "{signal}: the gateway still runs");
        assert!(!demo.file.exists(), "{signal}: {} was not removed", demo.file.display());
    }
}

/// A killed demo cannot end its gateway process, which has to notice by itself.
#[test]
fn the_gateway_of_a_killed_demo_exits() {
    let mut demo = Demo::start();
    demo.child.kill().unwrap();
    demo.child.wait().unwrap();
    wait_until("the gateway has exited", || TcpStream::connect(demo.address).is_err());
}

/// Ctrl-C signals every process of the terminal's foreground group: the gateway must not exit before the
/// clients' requests are answered.
#[test]
fn ctrl_c_fails_no_request() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corkhollow"));
    let mut demo =
        command.arg("demo").process_group(0).stdout(Stdio::piped()).spawn().expect("cannot start the demo");
    let mut lines = BufReader::new(demo.stdout.take().unwrap()).lines().map_while(Result::ok);
    lines
        .find(|line| line.contains(" s   requests ") && !line.contains("served 0 "))
        .expect("a line with served requests");
    let group = format!("-{}", demo.id());
    assert!(Command::new("kill").args(["-INT", "--", &group]).status().unwrap().success());
    let summary = lines.find(|line| line.starts_with("ended: ")).expect("a summary at the end");
    assert!(summary.ends_with(" 0 failed"), "{summary}");
    assert!(demo.wait().unwrap().success());
}
