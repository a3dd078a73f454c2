//! Golden files of what operators type and of the files that two versions share.

use corkhollow_test_support::*;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;

/// Compares with the bytes that are kept under `tests/golden`.
fn assert_golden(name: &str, bytes: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let kept = std::fs::read(&path).unwrap();
    assert!(kept == bytes, "{name} differs from:\n{}\nnow:\n{}", kept.escape_ascii(), bytes.escape_ascii());
}

fn help(command: &str) -> String {
    let args: &[&str] = if command.is_empty() { &["--help"] } else { &[command, "--help"] };
    let output =
        Command::new(env!("CARGO_BIN_EXE_corkhollow")).args(args).output().expect("the program runs");
    assert!(output.status.success());
    String::from_utf8(output.stdout).unwrap()
}

/// The usage line, and the names of commands, arguments and options with their placeholders; descriptions are left out.
fn names(help: &str) -> String {
    let usage = help.lines().filter(|line| line.starts_with("Usage: "));
    let sections = ["Commands:", "Arguments:", "Options:"];
    let mut within = false;
    let listed = help.lines().filter(|line| {
        if !line.starts_with(' ') && !line.is_empty() {
            within = sections.contains(line);
        }
        within && (line.starts_with("  ") && !line.starts_with("          "))
    });
    let name = |line: &str| line.trim_start().split("  ").next().unwrap_or_default().to_owned();
    usage.map(str::to_owned).chain(listed.map(name)).map(|line| format!("{line}\n")).collect()
}

#[test]
fn commands_keep_their_names_and_options() {
    let mut all = names(&help(""));
    for command in ["run", "check", "explain", "demo", "fleet", "reference"] {
        all.push_str(&format!("\n{command}\n{}", names(&help(command))));
    }
    assert_golden("commands.txt", all.as_bytes());
    // Hidden from the help text.
    let output = Command::new(env!("CARGO_BIN_EXE_corkhollow"))
        .args(["run", "--until-stdin-ends", "--config", "/none"])
        .output();
    let error = String::from_utf8(output.unwrap().stderr).unwrap();
    assert!(!error.contains("unexpected argument"), "{error}");
}

/// A successor of another version looks for these files.
#[test]
fn processes_on_one_socket_share_files_of_the_same_names() {
    let servers = Servers::new(1, |_, _| ok_reply("fine"));
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new("golden");
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let start = || Node::start_with_listener(&socket, &folder.0, discovery.address, &NodeOptions::default());
    let old = start();
    wait_until("the first process is ready", || {
        old.call_operator("GET", "/-/ready").is_some_and(|m| m.status() == 200)
    });
    let new = start();
    let names = [
        format!("corkhollow-knowledge-{address}"),
        format!("corkhollow-serving-{address}"),
        format!("corkhollow-successor-{address}"),
    ];
    wait_until("the shared files are there", || names.iter().all(|name| folder.0.join(name).exists()));
    wait_until("the hand-over is written", || {
        std::fs::read(folder.0.join(&names[0]))
            .is_ok_and(|bytes| bytes.starts_with(b"corkhollow-handover 1\n"))
    });
    drop(new);
}
