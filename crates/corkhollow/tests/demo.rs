//! The first minute: the demo serves, a server drains and one dies, and it ends by itself, leaving nothing behind.

use corkhollow_test_support::wait_until;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

#[test]
fn the_demo_serves_and_ends() {
    let args = ["demo", "--seconds", "15"];
    let output = Command::new(env!("CARGO_BIN_EXE_corkhollow")).args(args).output().expect("it runs");
    let said = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{said}\n{}", String::from_utf8_lossy(&output.stderr));
    for word in ["curl -i http://127.0.0.1:", "draining", "dead", "box-5"] {
        assert!(said.contains(word), "no {word}: {said}");
    }
    let last = said.lines().last().unwrap();
    let figures: Vec<u64> = last.split(' ').filter_map(|w| w.parse().ok()).collect();
    let [asked, served, refused, failed] = figures[..] else { panic!("{last}") };
    assert_eq!(asked, served + refused + failed, "one answer each: {last}");
    // What was in hand where a server died may fail; the rest is served.
    assert!(served > 500 && refused + failed < asked / 50, "{last}");
    let file = said.split("Its file: ").nth(1).unwrap().split(' ').next().unwrap();
    assert!(!std::path::Path::new(file).exists(), "{file} is left");
}

/// A demo under way; killed when dropped.
struct Demo {
    child: Child,
    out: BufReader<ChildStdout>,
    /// Where its program listens.
    address: SocketAddr,
    /// The program's file.
    file: PathBuf,
}

impl Demo {
    fn start() -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_corkhollow"));
        let mut child = command.arg("demo").stdout(Stdio::piped()).spawn().expect("it runs");
        let out = BufReader::new(child.stdout.take().unwrap());
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut demo = Demo { child, out, address: nowhere, file: PathBuf::new() };
        let mut line = String::new();
        while demo.file == Path::new("") {
            line.clear();
            assert!(demo.out.read_line(&mut line).unwrap() > 0, "it says where it listens");
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
        // A folder that nobody was left to remove.
        let _ = self.file.parent().map(std::fs::remove_dir_all);
    }
}

/// SIGTERM, and SIGHUP of a terminal that is closed, end it as Ctrl-C does: nothing of it is left.
#[test]
fn the_end_of_the_demo_is_the_end_of_its_program() {
    for signal in ["-TERM", "-HUP"] {
        let mut demo = Demo::start();
        assert!(Command::new("kill")
            .args([signal, &demo.child.id().to_string()])
            .status()
            .unwrap()
            .success());
        let last = demo.out.by_ref().lines().map_while(Result::ok).find(|line| line.starts_with("ended: "));
        assert!(last.is_some_and(|line| line.ends_with(" 0 failed")), "{signal}: it tells its end");
        assert!(demo.child.wait().unwrap().success());
        assert!(TcpStream::connect(demo.address).is_err(), "{signal}: its program goes on");
        assert!(!demo.file.exists(), "{signal}: {} is left", demo.file.display());
    }
}

/// Killed, it cannot end its program: that one ends by itself.
#[test]
fn a_program_ends_with_the_demo_that_is_killed() {
    let mut demo = Demo::start();
    demo.child.kill().unwrap();
    demo.child.wait().unwrap();
    wait_until("its program has ended", || TcpStream::connect(demo.address).is_err());
}

/// Ctrl-C goes to all of a terminal's processes: the program under the demo must not end before the clients' requests.
#[test]
fn an_interrupt_costs_no_request() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_corkhollow"));
    let mut demo = command.arg("demo").process_group(0).stdout(Stdio::piped()).spawn().expect("it runs");
    let mut lines = BufReader::new(demo.stdout.take().unwrap()).lines().map_while(Result::ok);
    lines.find(|line| line.contains(" s   requests ") && !line.contains("served 0 ")).expect("it serves");
    let group = format!("-{}", demo.id());
    assert!(Command::new("kill").args(["-INT", "--", &group]).status().unwrap().success());
    let last = lines.find(|line| line.starts_with("ended: ")).expect("it tells its end");
    assert!(last.ends_with(" 0 failed"), "{last}");
    assert!(demo.wait().unwrap().success());
}
