//! The platform starts what `deploy/balancer.toml` names, and only this: one process, put in the shell's place by `exec`, linked
//! dynamically, that starts no other, has no Unix socket to come to and no file outside its own folder, and ends by SIGTERM with
//! every request answered. Each check is shown to fail on a planted violation of its kind.

use corkhollow_test_support::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::sync::Mutex;

/// A value of the deploy file, by its name.
fn told(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).unwrap();
    let start = format!("{name} = \"");
    let line = text.lines().find_map(|l| l.strip_prefix(&start)).expect("the deploy file names it");
    line.trim_end_matches('"').to_owned()
}

/// What starts the program, where the line ends in one process: `exec`, its path, its arguments, and nothing for the
/// shell to do besides.
fn started_by(run: &str) -> Result<(String, Vec<String>), String> {
    if let Some(c) = run.chars().find(|c| !(c.is_ascii_alphanumeric() || " /._-=".contains(*c))) {
        return Err(format!("`{run}`: `{c}` would have the shell do more than start one program"));
    }
    let words: Vec<_> = run.split_whitespace().map(str::to_owned).collect();
    match &words[..] {
        [exec, path, rest @ ..] if exec == "exec" => Ok((path.clone(), rest.to_vec())),
        _ => Err(format!("`{run}` leaves the shell in place: it has to begin with `exec`")),
    }
}

/// Whether what is built is what is run, from what the lock file names.
fn builds(build: &str, program: &str) -> Result<(), String> {
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

/// The dynamic linker that an ELF file of 64 bits asks for.
fn interpreter(file: &[u8]) -> Option<String> {
    let at = |from: usize, bytes: usize| {
        let part = file.get(from..from + bytes)?;
        Some(part.iter().rev().fold(0u64, |value, byte| value << 8 | u64::from(*byte)) as usize)
    };
    if file.get(..6)? != b"\x7fELF\x02\x01" {
        return None;
    }
    let (table, size, count) = (at(32, 8)?, at(54, 2)?, at(56, 2)?);
    let wanted = (0..count).map(|k| table + k * size).find(|header| at(*header, 4) == Some(3))?;
    let (from, length) = (at(wanted + 8, 8)?, at(wanted + 32, 8)?);
    let name = file.get(from..from + length)?;
    Some(String::from_utf8_lossy(name).trim_end_matches('\0').to_owned())
}

/// What a process has that the page does not let it have.
#[derive(Debug, Default, PartialEq)]
struct Beyond {
    children: Vec<String>,
    unix_sockets: Vec<String>,
    files: Vec<String>,
}

fn beyond(process: u32, folder: &Path) -> Beyond {
    let root = PathBuf::from(format!("/proc/{process}"));
    let mut found = Beyond::default();
    for task in std::fs::read_dir(root.join("task")).unwrap().flatten() {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        found.children.extend(children.split_whitespace().map(str::to_owned));
    }
    let unix = std::fs::read_to_string(root.join("net/unix")).unwrap();
    // A nameless pair is how the process wakes itself for signals; nobody else can come to it.
    let named = unix.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
    let unix: BTreeSet<_> =
        named.filter(|f| f.len() > 7 || f.get(3) == Some(&"00010000")).map(|f| f[6].to_owned()).collect();
    for open in std::fs::read_dir(root.join("fd")).unwrap().flatten() {
        let Ok(target) = std::fs::read_link(open.path()) else { continue };
        let name = target.to_string_lossy().into_owned();
        match name.strip_prefix("socket:[").and_then(|n| n.strip_suffix(']')) {
            Some(inode) if unix.contains(inode) => found.unix_sockets.push(name),
            Some(_) => {}
            None if name.starts_with('/') && name != "/dev/null" && !target.starts_with(folder) => {
                found.files.push(name);
            }
            None => {}
        }
    }
    found
}

/// Starts the program as `run` does, has requests under way, sends the signal, and lets servers answer. Returns what the
/// program had meanwhile, and how many requests were answered and how it ended.
fn played(name: &str, signal: &str) -> (Beyond, usize, bool) {
    let (go, gate) = mpsc::channel::<()>();
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
    let (_, arguments) = started_by(&told("run")).unwrap();
    let line = format!("exec \"$0\" {}", arguments.join(" "));
    let mut node =
        Node::start_deployed(&line, &folder.0, &platform_config(discovery.address, &NodeOptions::default()));
    node.wait_until_ready();
    let exe = std::fs::read_link(format!("/proc/{}/exe", node.process_id())).unwrap();
    assert_eq!(exe, std::fs::canonicalize(program_path()).unwrap(), "the shell is still there");
    for _ in 0..20 {
        assert_eq!(node.get("/safe/1", "").unwrap().status(), 200);
    }
    let mut open: Vec<_> = (0..4).map(|_| node.connect()).collect();
    for client in &mut open {
        client.write_all(&get_request("/safe/slow", "X-Timeout-Ms: 2900\r\n")).unwrap();
    }
    wait_until("they are under way", || node.metric("gw_outstanding") == Some(4.0));
    let mut had = beyond(node.process_id(), &folder.0);
    // What this process was started with, a log's file say, goes on to its children.
    let inherited = beyond(std::process::id(), &folder.0);
    had.files.retain(|f| !inherited.files.contains(f));
    had.unix_sockets.retain(|s| !inherited.unix_sockets.contains(s));
    node.signal(signal);
    for _ in 0..4 {
        let _ = go.send(());
    }
    let answered =
        open.iter_mut().filter_map(read_message).filter(|a| [200, 503].contains(&a.status())).count();
    (had, answered, node.wait_for_exit().success())
}

#[test]
fn the_deploy_file_starts_one_process() {
    let (program, arguments) = started_by(&told("run")).unwrap();
    assert_eq!((program.as_str(), &arguments[..]), ("target/release/corkhollow", &["run".to_owned()][..]));
    builds(&told("build"), &program).unwrap();
    let (adapter, _) = started_by(&told("sim")).unwrap();
    builds(&told("build"), &adapter).unwrap();
}

#[test]
fn lines_that_start_more_are_found() {
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
        assert!(started_by(line).is_err(), "`{line}` is taken for one process");
    }
    for build in ["cargo build --locked", "cargo build --release", "make"] {
        assert!(builds(build, "target/release/corkhollow").is_err(), "`{build}` passes");
    }
    assert!(builds("cargo build --release --locked", "target/debug/corkhollow").is_err());
}

#[test]
fn the_program_is_linked_dynamically() {
    let file = std::fs::read(program_path()).unwrap();
    let linker = interpreter(&file).expect("the program asks for no dynamic linker");
    assert!(linker.contains("ld-linux") || linker.contains("ld-musl"), "{linker}");
    // The same file as a static one has it: no header that names a linker.
    let mut planted = file.clone();
    let table = u64::from_le_bytes(planted[32..40].try_into().unwrap()) as usize;
    let count = usize::from(u16::from_le_bytes([planted[56], planted[57]]));
    for header in (0..count).map(|k| table + 56 * k) {
        if planted[header] == 3 {
            planted[header] = 0;
        }
    }
    assert_eq!(interpreter(&planted), None);
    assert_eq!(interpreter(b"#!/bin/sh\n"), None);
    assert_eq!(interpreter(&file[..100]), None);
}

#[test]
fn it_keeps_to_itself_and_ends_with_every_request_answered() {
    let (had, answered, in_order) = played("kept", "-TERM");
    assert_eq!(had, Beyond::default());
    assert_eq!(answered, 4, "requests under way were lost");
    assert!(in_order, "it did not end in order");
}

/// What is killed loses what it has taken: the check has to see it.
#[test]
fn requests_that_are_lost_are_found() {
    let (_, answered, in_order) = played("killed", "-KILL");
    assert!(answered < 4 && !in_order, "{answered} answered by a process that was killed");
}

#[test]
fn children_unix_sockets_and_files_are_found() {
    let folder = TempFolder::new("deploy-planted");
    // A shell that stays and starts another program.
    let mut shell = Command::new("/bin/sh")
        .args(["-c", "sleep 60 & wait"])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait_until("it has a child", || !beyond(shell.id(), &folder.0).children.is_empty());
    for child in beyond(shell.id(), &folder.0).children {
        assert!(Command::new("kill").arg(child).status().unwrap().success());
    }
    shell.wait().unwrap();
    // This process stands for one with a Unix socket and a file elsewhere.
    let elsewhere = TempFolder::new("deploy-elsewhere");
    let path = elsewhere.0.join("socket");
    let _socket = std::os::unix::net::UnixListener::bind(&path).unwrap();
    let _file = std::fs::File::create(elsewhere.0.join("file")).unwrap();
    let _own = std::fs::File::create(folder.0.join("own")).unwrap();
    let had = beyond(std::process::id(), &folder.0);
    assert!(!had.unix_sockets.is_empty(), "{had:?}");
    assert!(had.files.iter().any(|f| f.ends_with("/file")), "{had:?}");
    assert!(!had.files.iter().any(|f| f.ends_with("/own")), "{had:?}");
}
