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

/// Settings of a platform configuration that tests vary.
pub struct NodeOptions {
    /// Memory limit.
    pub memory_mb: u64,
    /// Limit on file descriptors.
    pub max_sockets: u64,
    /// The server list of an earlier run, as JSON.
    pub known_servers_json: String,
    /// Idle timeout of persistent client connections.
    pub idle_timeout_ms: u64,
    /// The listening address of the operator interface.
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

/// A platform configuration with two request classes: `safe` and `once` (not repeatable).
pub fn platform_config(discovery: SocketAddr, options: &NodeOptions) -> String {
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
        options.operator_address,
        options.memory_mb,
        options.max_sockets,
        options.known_servers_json,
        class("safe", "pure"),
        class("once", "side_effect"),
        options.idle_timeout_ms * 1_000_000,
    )
}

/// A unique path for the configuration file of a node.
fn config_file_path(kind: &str) -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("corkhollow-{}-{}.{kind}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    std::env::temp_dir().join(name)
}

/// The path of the built program: the directory of the test's executable, or its parent if that is `deps`.
pub fn program_path() -> PathBuf {
    let mut path = std::env::current_exe().expect("the path of the test executable is known");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join("corkhollow")
}

fn parse_operator_address(line: &str) -> Option<SocketAddr> {
    line.split_once("operators call at ")?.1.parse().ok()
}

/// A running process of the program. Killed on drop.
pub struct Node {
    child: Child,
    config: PathBuf,
    /// The addresses of the listeners in an operator's file, by name.
    pub listeners: BTreeMap<String, SocketAddr>,
    /// The listening address; with an operator's file, that of the first listener by name.
    pub address: SocketAddr,
    /// The address of the operator interface, if it is enabled.
    pub operator_address: Option<SocketAddr>,
    /// The lines logged so far: all of them with an operator's file, otherwise those after the start.
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Node {
    /// Starts the program on a platform configuration and returns the process and the path of the file,
    /// without waiting.
    pub fn spawn(config: &str) -> (Child, PathBuf) {
        let path = config_file_path("json");
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new(program_path());
        command.arg("run");
        (command.env("GW_CONFIG", &path).stderr(Stdio::piped()).spawn().expect("the node starts"), path)
    }

    /// Starts a node and waits until it listens.
    pub fn start(discovery: SocketAddr, options: &NodeOptions) -> Self {
        let (child, config) = Self::spawn(&platform_config(discovery, options));
        Self::wait_until_listening(child, config, None)
    }

    /// Starts a node on this platform configuration and waits until it listens.
    pub fn start_with_platform_file(config: &str) -> Self {
        let (child, config) = Self::spawn(config);
        Self::wait_until_listening(child, config, None)
    }

    /// Starts a node on an inherited listening socket (`GW_LISTEN_FD`), with `folder` as its temporary
    /// directory, which nodes on the same socket share. Waits until its operator interface is open.
    pub fn start_with_listener(
        listener: &std::net::TcpListener,
        folder: &Path,
        discovery: SocketAddr,
        options: &NodeOptions,
    ) -> Self {
        let path = config_file_path("json");
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
        Self::wait_until_listening(child, path, Some(address))
    }

    /// Starts a node on an operator's file and a listening socket passed by systemd's socket activation
    /// protocol.
    pub fn start_socket_activated(
        listener: &std::net::TcpListener,
        folder: &Path,
        operator: &str,
        text: &str,
    ) -> Self {
        let path = config_file_path("toml");
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new("sh");
        let script =
            "export LISTEN_FDS=1 LISTEN_PID=$$; exec \"$0\" run --config \"$1\" --operator \"$2\" 3<&0 </dev/null";
        command.args(["-c", script]).arg(program_path()).arg(&path).arg(operator).env("TMPDIR", folder);
        let socket = std::os::fd::OwnedFd::from(listener.try_clone().unwrap());
        let child =
            command.stdin(Stdio::from(socket)).stderr(Stdio::piped()).spawn().expect("the node starts");
        Self::wait_until_listening(child, path, Some(listener.local_addr().unwrap()))
    }

    /// Starts a node with a shell command line of a deployment file, in which `$0` is the path of the
    /// program. `folder` is its temporary directory.
    pub fn start_deployed(line: &str, folder: &Path, config: &str) -> Self {
        let path = config_file_path("json");
        std::fs::write(&path, config).unwrap();
        let mut command = Command::new("/bin/sh");
        command.args(["-c", line]).arg(program_path()).env("GW_CONFIG", &path).env("TMPDIR", folder);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Self::wait_until_listening(command.spawn().expect("the node starts"), path, None)
    }

    fn wait_until_listening(mut child: Child, config: PathBuf, address: Option<SocketAddr>) -> Self {
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut operator_address = None;
        let address = loop {
            let line = lines.next().expect("the node logs its listening address").unwrap();
            operator_address = operator_address.or_else(|| parse_operator_address(&line));
            if let (Some(address), Some(_)) = (address, operator_address) {
                break address;
            }
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().unwrap();
            }
        };
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_writer = log.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| log_writer.lock().unwrap().push(line))
        });
        Node { child, config, listeners: BTreeMap::new(), address, operator_address, log }
    }

    /// Starts a node on an operator's file and waits until all listeners of the file are open.
    pub fn start_with_operator_file(text: &str) -> Self {
        Self::start_with_log_observer(text, |_| ())
    }

    /// Starts a node on an operator's file; `on_line` gets each line of its log, from the first.
    pub fn start_with_log_observer(text: &str, on_line: impl FnMut(&str) + Send + 'static) -> Self {
        Self::start_program_with_log_observer(&program_path(), text, on_line)
    }

    /// Like [`Node::start_with_log_observer`], with another executable.
    pub fn start_program_with_log_observer(
        program: &Path,
        text: &str,
        mut on_line: impl FnMut(&str) + Send + 'static,
    ) -> Self {
        let config = config_file_path("toml");
        std::fs::write(&config, text).unwrap();
        let mut command = Command::new(program);
        command.arg("run").arg("--config").arg(&config).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut listeners = BTreeMap::new();
        let mut operator_address = None;
        let mut log_lines = Vec::new();
        while listeners.len() < text.matches("[[listener]]").count() {
            let Some(Ok(line)) = lines.next() else {
                panic!("the node does not open its listeners: {log_lines:?}")
            };
            on_line(&line);
            if let Some((name, address)) = line.split_once(" listening on ") {
                let name = name.rsplit(' ').next().unwrap_or_default().to_owned();
                listeners.insert(name, address.parse().unwrap());
            }
            operator_address = operator_address.or_else(|| parse_operator_address(&line));
            log_lines.push(line);
        }
        let log = Arc::new(Mutex::new(log_lines));
        let log_writer = log.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| {
                on_line(&line);
                log_writer.lock().unwrap().push(line);
            });
        });
        let address = *listeners.values().next().unwrap();
        Node { child, config, listeners, address, operator_address, log }
    }

    /// The path of the configuration file.
    pub fn config_path(&self) -> &Path {
        &self.config
    }

    /// The process ID.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        self.status("VmRSS:")
    }

    /// Peak resident memory, in bytes.
    pub fn peak_resident_bytes(&self) -> u64 {
        self.status("VmHWM:")
    }

    /// A field of the process status, in bytes.
    pub fn status(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Starts a discovery service that lists these servers, and a node, and waits until the node is ready.
    pub fn start_with_servers(servers: &Servers) -> (Self, Discovery) {
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let node = Self::start(discovery.address, &NodeOptions::default());
        node.wait_until_ready();
        (node, discovery)
    }

    /// Waits until the node serves requests.
    pub fn wait_until_ready(&self) {
        wait_until("the node is ready", || self.get("/up", "").is_some_and(|m| m.status() == 200));
    }

    /// Opens a connection.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    /// Sends raw bytes on a new connection and reads the response.
    pub fn send_raw(&self, bytes: &[u8]) -> Option<Message> {
        let mut stream = self.connect();
        let _ = stream.write_all(bytes);
        read_message(&mut stream)
    }

    /// Sends a GET request on a new connection.
    pub fn get(&self, path: &str, headers: &str) -> Option<Message> {
        self.send_raw(&get_request(path, headers))
    }

    /// Sends a POST request on a new connection.
    pub fn post(&self, path: &str, body: &[u8]) -> Option<Message> {
        self.send_raw(&post_request(path, body))
    }

    /// Sends a request to the operator interface; none without a response.
    pub fn call_operator(&self, method: &str, path: &str) -> Option<Message> {
        let mut stream =
            TcpStream::connect(self.operator_address.expect("the operator interface is enabled")).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes()).ok()?;
        read_message(&mut stream)
    }

    /// The value of a metric, given its name with labels; none where it is not exported.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let page = self.metrics_page()?;
        page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// The lines of all metrics whose names begin like this and whose values are not 0.
    pub fn metrics_starting_with(&self, prefix: &str) -> Vec<String> {
        let page = self.metrics_page().unwrap_or_default();
        let is_wanted = |line: &&str| line.starts_with(prefix) && !line.ends_with(" 0");
        page.lines().filter(is_wanted).map(str::to_owned).collect()
    }

    fn metrics_page(&self) -> Option<String> {
        let page = self.call_operator("GET", "/-/metrics").filter(|m| m.status() == 200)?;
        String::from_utf8(page.body).ok()
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Waits until the log has at least `count` lines that contain `text`.
    pub fn wait_for_log(&self, text: &str, count: usize) {
        wait_until(text, || {
            self.log.lock().unwrap().iter().filter(|line| line.contains(text)).count() >= count
        });
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Waits until the process ends.
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
