//! Rules for the process that `deploy/balancer.toml` starts: a single one, which replaces the shell by
//! `exec`, is linked dynamically, starts no other, has no Unix socket others could reach and no file outside
//! its folder, and at SIGTERM ends with every request answered. Each check is also run on a violation of its
//! rule, which it must detect.

use corkhollow_test_support::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::sync::Mutex;

/// The value of a key of the deploy file.
fn deploy_value(key: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).unwrap();
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|l| l.strip_prefix(&prefix)).expect("the deploy file has the key");
    line.trim_end_matches('"').to_owned()
}

/// Parses a line that starts a single process: `exec`, the program's path and its arguments, without other
/// work for the shell. Returns the path and the arguments.
fn parse_exec_line(line: &str) -> Result<(String, Vec<String>), String> {
    if let Some(c) = line.chars().find(|c| !(c.is_ascii_alphanumeric() || " /._-=".contains(*c))) {
        return Err(format!("`{line}`: `{c}` would have the shell do more than start one program"));
    }
    let words: Vec<_> = line.split_whitespace().map(str::to_owned).collect();
    match &words[..] {
        [exec, path, rest @ ..] if exec == "exec" => Ok((path.clone(), rest.to_vec())),
        _ => Err(format!("`{line}` leaves the shell in place: it has to begin with `exec`")),
    }
}

/// Checks that the build line makes `program`, in release mode and with the locked dependencies.
fn check_build_line(build: &str, program: &str) -> Result<(), String> {
    let words: BTreeSet<_> = build.split_whitespace().collect();
    for word in ["cargo", "build", "--release", "--locked"] {
        if !words.contains(word) {
            return Err(format!("`{build}` has no `{word}`"));
        }
    }
    match program.strip_prefix("target/release/") {
        Some("corkhollow" | "corkhollow-adapter") => Ok(()),
        _ => Err(format!("`{build}` does not make `{program}`")),
    }
}

/// The dynamic linker that a 64-bit little-endian ELF file names in its program headers.
fn elf_interpreter(file: &[u8]) -> Option<String> {
    let read_integer = |offset: usize, bytes: usize| {
        let field = file.get(offset..offset + bytes)?;
        Some(field.iter().rev().fold(0u64, |value, byte| value << 8 | u64::from(*byte)) as usize)
    };
    if file.get(..6)? != b"\x7fELF\x02\x01" {
        return None;
    }
    let (table, entry_size, count) = (read_integer(32, 8)?, read_integer(54, 2)?, read_integer(56, 2)?);
    let interpreter_header =
        (0..count).map(|k| table + k * entry_size).find(|header| read_integer(*header, 4) == Some(3))?;
    let (offset, length) =
        (read_integer(interpreter_header + 8, 8)?, read_integer(interpreter_header + 32, 8)?);
    let name = file.get(offset..offset + length)?;
    Some(String::from_utf8_lossy(name).trim_end_matches('\0').to_owned())
}

/// What a process has although the rules do not allow it.
#[derive(Debug, Default, PartialEq)]
struct Violations {
    children: Vec<String>,
    unix_sockets: Vec<String>,
    files: Vec<String>,
}

/// Finds a process's children, the Unix sockets others can reach, and its open files outside of `folder`.
fn find_violations(process: u32, folder: &Path) -> Violations {
    let root = PathBuf::from(format!("/proc/{process}"));
    let mut found = Violations::default();
    for task in std::fs::read_dir(root.join("task")).unwrap().flatten() {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        found.children.extend(children.split_whitespace().map(str::to_owned));
    }
    let unix_table = std::fs::read_to_string(root.join("net/unix")).unwrap();
    // An unnamed socket pair, with which the process wakes itself for signals, cannot be reached by others.
    let rows = unix_table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let reachable_inodes: BTreeSet<_> =
        rows.filter(|f| f.len() > 7 || f.get(3) == Some(&"00010000")).map(|f| f[6].to_owned()).collect();
    for descriptor in std::fs::read_dir(root.join("fd")).unwrap().flatten() {
        let Ok(target) = std::fs::read_link(descriptor.path()) else { continue };
        let name = target.to_string_lossy().into_owned();
        match name.strip_prefix("socket:[").and_then(|n| n.strip_suffix(']')) {
            Some(inode) if reachable_inodes.contains(inode) => found.unix_sockets.push(name),
            Some(_) => {}
            None if name.starts_with('/') && name != "/dev/null" && !target.starts_with(folder) => {
                found.files.push(name);
            }
            None => {}
        }
    }
    found
}

/// Starts the program by the deploy file's line, sends the signal while requests are under way, and lets the
/// servers answer. Returns the violations found meanwhile, the number of answered requests, and whether the
/// process exited with success.
fn run_until_signal(name: &str, signal: &str) -> (Violations, usize, bool) {
    let (release, gate) = mpsc::channel::<()>();
    let gate = Mutex::new(gate);
    let servers = Servers::new(2, move |_, m| match m.head.contains("/safe/slow") {
        true => {
            let _ = gate.lock().unwrap().recv();
            ok_reply("slow")
        }
        false => ok_reply("fine"),
    });
    let discovery = Discovery::new(vec![servers.list_json(1)], true);
    let folder = TempFolder::new(&format!("deploy-{name}"));
    let (_, arguments) = parse_exec_line(&deploy_value("run")).unwrap();
    let line = format!("exec \"$0\" {}", arguments.join(" "));
    let mut node =
        Node::start_deployed(&line, &folder.0, &platform_config(discovery.address, &NodeOptions::default()));
    node.wait_until_ready();
    let exe = std::fs::read_link(format!("/proc/{}/exe", node.process_id())).unwrap();
    assert_eq!(exe, std::fs::canonicalize(program_path()).unwrap(), "the shell was not replaced");
    for _ in 0..20 {
        assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    }
    let mut clients: Vec<_> = (0..4).map(|_| node.connect()).collect();
    for client in &mut clients {
        client.write_all(&get_request("/safe/slow", "X-Timeout-Ms: 2900\r\n")).unwrap();
    }
    wait_until("the slow requests are under way", || node.metric("gw_outstanding") == Some(4.0));
    let mut violations = find_violations(node.process_id(), &folder.0);
    // Descriptors that this process inherited, such as a log file, are passed on to its children.
    let inherited = find_violations(std::process::id(), &folder.0);
    violations.files.retain(|f| !inherited.files.contains(f));
    violations.unix_sockets.retain(|s| !inherited.unix_sockets.contains(s));
    node.signal(signal);
    for _ in 0..4 {
        let _ = release.send(());
    }
    let answered =
        clients.iter_mut().filter_map(read_message).filter(|a| [200, 503].contains(&a.status())).count();
    (violations, answered, node.wait_for_exit().success())
}

#[test]
fn the_deploy_file_builds_and_starts_one_process() {
    let (program, arguments) = parse_exec_line(&deploy_value("run")).unwrap();
    assert_eq!((program.as_str(), &arguments[..]), ("target/release/corkhollow", &["run".to_owned()][..]));
    check_build_line(&deploy_value("build"), &program).unwrap();
    let (adapter, _) = parse_exec_line(&deploy_value("sim")).unwrap();
    check_build_line(&deploy_value("build"), &adapter).unwrap();
}

#[test]
fn lines_that_start_more_than_one_process_are_rejected() {
    let planted = [
        "target/release/corkhollow run",
        "exec target/release/corkhollow run & exec target/release/corkhollow run",
        "target/release/helper; exec target/release/corkhollow run",
        "exec target/release/corkhollow run | logger",
        "exec $(which corkhollow) run",
        "exec `which corkhollow` run",
        "exec",
        "",
    ];
    for line in planted {
        assert!(parse_exec_line(line).is_err(), "`{line}` is accepted as one process");
    }
    for build in ["cargo build --locked", "cargo build --release", "make"] {
        assert!(check_build_line(build, "target/release/corkhollow").is_err(), "`{build}` is accepted");
    }
    assert!(check_build_line("cargo build --release --locked", "target/debug/corkhollow").is_err());
}

#[test]
fn the_program_is_linked_dynamically() {
    let file = std::fs::read(program_path()).unwrap();
    let linker = elf_interpreter(&file).expect("the program names no dynamic linker");
    assert!(linker.contains("ld-linux") || linker.contains("ld-musl"), "{linker}");
    // The same file without a program header of an interpreter, as in a static program.
    let mut static_file = file.clone();
    let table = u64::from_le_bytes(static_file[32..40].try_into().unwrap()) as usize;
    let count = usize::from(u16::from_le_bytes([static_file[56], static_file[57]]));
    for header in (0..count).map(|k| table + 56 * k) {
        if static_file[header] == 3 {
            static_file[header] = 0;
        }
    }
    assert_eq!(elf_interpreter(&static_file), None);
    assert_eq!(elf_interpreter(b"#!/bin/sh\n"), None);
    assert_eq!(elf_interpreter(&file[..100]), None);
}

#[test]
fn the_process_breaks_no_rule_and_answers_every_request_before_it_ends() {
    let (violations, answered, is_success) = run_until_signal("kept", "-TERM");
    assert_eq!(violations, Violations::default());
    assert_eq!(answered, 4, "requests under way were lost");
    assert!(is_success, "the process did not exit with success");
}

/// A killed process loses its requests, which the check has to detect.
#[test]
fn lost_requests_are_detected() {
    let (_, answered, is_success) = run_until_signal("killed", "-KILL");
    assert!(answered < 4 && !is_success, "{answered} answered by a process that was killed");
}

#[test]
fn children_unix_sockets_and_files_are_detected() {
    let folder = TempFolder::new("deploy-planted");
    // A shell that starts another program and waits for it.
    let mut shell = Command::new("/bin/sh")
        .args(["-c", "sleep 60 & wait"])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait_until("the shell has a child", || !find_violations(shell.id(), &folder.0).children.is_empty());
    for child in find_violations(shell.id(), &folder.0).children {
        assert!(Command::new("kill").arg(child).status().unwrap().success());
    }
    shell.wait().unwrap();
    // This process has a Unix socket and a file outside of the folder.
    let elsewhere = TempFolder::new("deploy-elsewhere");
    let path = elsewhere.0.join("socket");
    let _socket = std::os::unix::net::UnixListener::bind(&path).unwrap();
    let _file = std::fs::File::create(elsewhere.0.join("file")).unwrap();
    let _own = std::fs::File::create(folder.0.join("own")).unwrap();
    let violations = find_violations(std::process::id(), &folder.0);
    assert!(!violations.unix_sockets.is_empty(), "{violations:?}");
    assert!(violations.files.iter().any(|f| f.ends_with("/file")), "{violations:?}");
    assert!(!violations.files.iter().any(|f| f.ends_with("/own")), "{violations:?}");
}
