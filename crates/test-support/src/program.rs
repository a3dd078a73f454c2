//! Starts and controls processes of the program under test.

use crate::clients::{get_request, post_request};
use crate::discovery::Discovery;
use crate::message::{read_message, Message};
use crate::servers::Servers;
use crate::{wait_until, WAIT_TIMEOUT};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// What a platform configuration says.
pub struct NodeOptions {
    /// Its memory limit.
    pub memory_mb: u64,
    /// Its limit on descriptors.
    pub max_sockets: u64,
    /// The list of servers that it had, as JSON.
    pub known_servers_json: String,
    /// How long a kept connection lives.
    pub idle_timeout_ms: u64,
    /// Where operators call.
    pub operator_address: &'static str,
}

impl Default for NodeOptions {
    fn default() -> Self {
        NodeOptions {
            memory_mb: 192,
            max_sockets: 1024,
            known_servers_json: String::from("null"),
            idle_timeout_ms: 10_000,
            operator_address: "127.0.0.1:0",
        }
    }
}

/// A platform configuration with a class `safe` and a class `once`.
pub fn platform_config(discovery: SocketAddr, o: &NodeOptions) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aimNs":1000000000,"giveUpNs":3000000000,"worth":5.0,"effect":"{effect}","group":"all","windowNs":1000000000}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","operator":"{}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},
        "settings":{{"groupSize":1,"ordinal":0,"registryMode":"automatic","zone":0,"zones":["a"],"skus":["std"],
        "classes":[{},{}],
        "caps":{{"cancelling":true,"connIdleNs":{},"connectTimeoutNs":120000000,"maxAttempts":3,
        "maxRetryAfterNs":2000000000,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":false}},
        "guarantees":{{"coldFrom":0.14,"fallNs":2000000000,"rampTimeNs":23000000000,"tipMultiple":3.0}}}}}}"#,
        o.operator_address,
        o.memory_mb,
        o.max_sockets,
        o.known_servers_json,
        class("safe", "pure"),
        class("once", "side_effect"),
        o.idle_timeout_ms * 1_000_000,
    )
}

/// A file of its own for each program.
fn path(kind: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("corkhollow-{}-{}.{kind}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    std::env::temp_dir().join(name)
}

/// The program under test: beside the test that runs, in the folder that cargo builds into.
pub fn program_path() -> PathBuf {
    let mut path = std::env::current_exe().expect("the test knows where it is");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join("corkhollow")
}

fn calls_at(line: &str) -> Option<SocketAddr> {
    line.split_once("operators call at ")?.1.parse().ok()
}

/// A node of its own, from the built program.
pub struct Node {
    child: Child,
    config: PathBuf,
    /// Where each listener of an operator's file listens, by its name.
    pub listeners: BTreeMap<String, SocketAddr>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where operators call, if they may.
    pub operator_address: Option<SocketAddr>,
    /// What it has logged.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Node {
    /// Runs the program on this platform configuration; where its file is.
    pub fn spawn(config: &str) -> (Child, PathBuf) {
        let path = path("json");
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new(program_path());
        command.arg("run");
        (command.env("GW_CONFIG", &path).stderr(Stdio::piped()).spawn().expect("the node starts"), path)
    }

    /// Starts it and waits until it listens.
    pub fn start(discovery: SocketAddr, options: &NodeOptions) -> Self {
        let (child, config) = Self::spawn(&platform_config(discovery, options));
        Self::started(child, config, None)
    }

    /// Starts it on this platform configuration and waits until it listens.
    pub fn start_with_platform_file(config: &str) -> Self {
        let (child, config) = Self::spawn(config);
        Self::started(child, config, None)
    }

    /// The program on a listening socket that it is handed, with a folder that it has in common with others on the same
    /// socket. Waits until it says where operators call.
    pub fn start_with_listener(
        listener: &std::net::TcpListener,
        folder: &Path,
        discovery: SocketAddr,
        options: &NodeOptions,
    ) -> Self {
        let path = path("json");
        let address = listener.local_addr().unwrap();
        let text = platform_config(discovery, options)
            .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""));
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" run 3<&0 </dev/null"]).arg(program_path());
        command.env("GW_CONFIG", &path).env("GW_LISTEN_FD", "3").env("TMPDIR", folder);
        let socket = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
        let child =
            command.stdin(Stdio::from(socket)).stderr(Stdio::piped()).spawn().expect("the node starts");
        Self::started(child, path, Some(address))
    }

    /// The program on an operator's file and on a listening socket that it gets by systemd's protocol.
    pub fn start_socket_activated(
        listener: &std::net::TcpListener,
        folder: &Path,
        operator: &str,
        text: &str,
    ) -> Self {
        let path = path("toml");
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new("sh");
        let script =
            "export LISTEN_FDS=1 LISTEN_PID=$$; exec \"$0\" run --config \"$1\" --operator \"$2\" 3<&0 </dev/null";
        command.args(["-c", script]).arg(program_path()).arg(&path).arg(operator).env("TMPDIR", folder);
        let socket = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
        let child =
            command.stdin(Stdio::from(socket)).stderr(Stdio::piped()).spawn().expect("the node starts");
        Self::started(child, path, Some(listener.local_addr().unwrap()))
    }

    /// The program as a deploy file starts it: its line, given to a shell, with the program's path put in for its `$0`.
    /// The folder is the only one that it may write to.
    pub fn start_deployed(line: &str, folder: &Path, config: &str) -> Self {
        let path = path("json");
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new("/bin/sh");
        command.args(["-c", line]).arg(program_path()).env("GW_CONFIG", &path).env("TMPDIR", folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Self::started(command.spawn().expect("the node starts"), path, None)
    }

    fn started(mut child: Child, config: PathBuf, address: Option<SocketAddr>) -> Self {
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut operator_address = None;
        let address = loop {
            let line = lines.next().expect("the node says where it listens").unwrap();
            operator_address = operator_address.or_else(|| calls_at(&line));
            if let (Some(address), Some(_)) = (address, operator_address) {
                break address;
            }
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().unwrap();
            }
        };
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines_of = log.clone();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|l| lines_of.lock().unwrap().push(l)));
        Node { child, config, listeners: BTreeMap::new(), address, operator_address, log }
    }

    /// The program on an operator's file, listening on as many listeners as the file has.
    pub fn start_with_operator_file(text: &str) -> Self {
        Self::start_with_log_observer(text, |_| ())
    }

    /// The same; each line that it logs is told at once, from the first on.
    pub fn start_with_log_observer(text: &str, heard: impl FnMut(&str) + Send + 'static) -> Self {
        Self::start_program_with_log_observer(&program_path(), text, heard)
    }

    /// The same by a program that stands elsewhere.
    pub fn start_program_with_log_observer(
        program: &Path,
        text: &str,
        mut heard: impl FnMut(&str) + Send + 'static,
    ) -> Self {
        let config = path("toml");
        std::fs::write(&config, text).unwrap();
        let mut command = Command::new(program);
        command.arg("run").arg("--config").arg(&config).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut listeners = BTreeMap::new();
        let mut operator_address = None;
        let mut said = Vec::new();
        while listeners.len() < text.matches("[[listener]]").count() {
            let Some(Ok(line)) = lines.next() else { panic!("it does not listen: {said:?}") };
            heard(&line);
            if let Some((name, address)) = line.split_once(" listening on ") {
                let name = name.rsplit(' ').next().unwrap_or_default().to_owned();
                listeners.insert(name, address.parse().unwrap());
            }
            operator_address = operator_address.or_else(|| calls_at(&line));
            said.push(line);
        }
        let log = Arc::new(Mutex::new(said));
        let lines_of = log.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| {
                heard(&line);
                lines_of.lock().unwrap().push(line);
            });
        });
        let address = *listeners.values().next().unwrap();
        Node { child, config, listeners, address, operator_address, log }
    }

    /// The file that it reads.
    pub fn config_path(&self) -> &Path {
        &self.config
    }

    /// Its process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.status("VmRSS:")
    }

    /// The most resident memory that it has had, in bytes.
    pub fn peak_resident_bytes(&self) -> u64 {
        self.status("VmHWM:")
    }

    fn status(&self, figure: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix(figure)).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// A node that has taken in these servers.
    pub fn start_with_servers(servers: &Servers) -> (Self, Discovery) {
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let node = Self::start(discovery.address, &NodeOptions::default());
        node.wait_until_ready();
        (node, discovery)
    }

    /// Waits until it takes clients.
    pub fn wait_until_ready(&self) {
        wait_until("the node is ready", || self.get("/up", "").is_some_and(|m| m.status() == 200));
    }

    /// A new connection to it.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    /// Sends raw bytes on a new connection and reads the answer.
    pub fn send_raw(&self, bytes: &[u8]) -> Option<Message> {
        let mut stream = self.connect();
        let _ = stream.write_all(bytes);
        read_message(&mut stream)
    }

    /// A request without a body, on a new connection.
    pub fn get(&self, path: &str, headers: &str) -> Option<Message> {
        self.send_raw(&get_request(path, headers))
    }

    /// A request with a body, on a new connection.
    pub fn post(&self, path: &str, body: &[u8]) -> Option<Message> {
        self.send_raw(&post_request(path, body))
    }

    /// Calls the operator's address; none where nothing is answered.
    pub fn call_operator(&self, method: &str, path: &str) -> Option<Message> {
        let mut stream = TcpStream::connect(self.operator_address.expect("operators may call")).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes()).ok()?;
        read_message(&mut stream)
    }

    /// One of its figures, by its name and labels; none where it is not shown.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let page = self.call_operator("GET", "/-/metrics").filter(|m| m.status() == 200)?;
        let page = String::from_utf8(page.body).ok()?;
        page.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Replaces the file of its configuration and tells it so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Waits until its log has this many lines that hold these words.
    pub fn wait_for_log(&self, words: &str, count: usize) {
        wait_until(words, || self.log.lock().unwrap().iter().filter(|l| l.contains(words)).count() >= count);
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
