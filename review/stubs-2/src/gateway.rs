//! The gateway's process, started with the command of the deploy file.

use crate::http::Reader;
use crate::record::note;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A class of requests in the settings.
#[derive(Clone, Copy)]
pub struct Class {
    /// Its name, the first part of the path.
    pub name: &'static str,
    /// `pure`, `token` or `side_effect`.
    pub effect: &'static str,
    /// The aim.
    pub aim_ms: u64,
    /// The deadline.
    pub give_up_ms: u64,
    /// For `token`: the servers that drop repeats.
    pub group: &'static str,
    /// For `token`: for how long.
    pub window_ms: u64,
}

/// The classes of the site `perth-warnings`.
pub const SITE_CLASSES: [Class; 3] = [
    Class { name: "status", effect: "pure", aim_ms: 250, give_up_ms: 600, group: "all", window_ms: 5000 },
    Class { name: "gauges", effect: "pure", aim_ms: 600, give_up_ms: 1500, group: "all", window_ms: 5000 },
    Class {
        name: "acknowledge",
        effect: "side_effect",
        aim_ms: 600,
        give_up_ms: 2500,
        group: "all",
        window_ms: 5000,
    },
];

/// What cases vary of the configuration.
pub struct Options {
    /// The memory limit.
    pub memory_mb: u64,
    /// The limit on descriptors.
    pub sockets: u64,
    /// The classes.
    pub classes: Vec<Class>,
    /// Time to establish a connection to a server.
    pub connect_timeout_ms: u64,
    /// Second copies allowed.
    pub second_copies: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            memory_mb: 192,
            sockets: 1024,
            classes: SITE_CLASSES.to_vec(),
            connect_timeout_ms: 120,
            second_copies: true,
        }
    }
}

fn config(options: &Options, listen: SocketAddr, operator: SocketAddr, discovery: SocketAddr) -> String {
    let classes: Vec<_> = options
        .classes
        .iter()
        .map(|c| {
            format!(
                r#"{{"name":"{}","aimNs":{},"giveUpNs":{},"worth":5.0,"lateWorth":0.0,"effect":"{}","group":"{}","windowNs":{},"stream":false}}"#,
                c.name, c.aim_ms * 1_000_000, c.give_up_ms * 1_000_000, c.effect, c.group, c.window_ms * 1_000_000,
            )
        })
        .collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","operator":"{operator}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":null,
"settings":{{"groupSize":1,"ordinal":0,"registryMode":"automatic","zone":0,"zones":["belmont"],"skus":["std-1"],
"classes":[{}],"weightSource":"nominal",
"caps":{{"cancelling":true,"connIdleNs":10000000000,"connectTimeoutNs":{},"maxAttempts":3,"maxStreams":1,
"maxRetryAfterNs":2000000000,"mayProbe":false,"peers":false,"retryAfter":true,"secondCopies":{}}},
"guarantees":{{"answerSlackNs":16000000,"askWithinNs":10000000000,"coldFrom":0.14,"fallNs":2000000000,
"rampTimeNs":23000000000,"stopSendingWithinNs":250000000,"tipMultiple":3.0}}}}}}"#,
        options.memory_mb,
        options.sockets,
        classes.join(","),
        options.connect_timeout_ms * 1_000_000,
        options.second_copies,
    )
}

/// An address on loopback whose port is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

/// The processes that were started, by their ids. They are children of this process and waited for by nobody else.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, and waits until they have ended.
pub fn kill_all() {
    if let Ok(mut started) = STARTED.lock() {
        for id in started.drain(..) {
            // SAFETY: both take integers, and waitpid(2) no place for the status; the process is a child.
            unsafe {
                kill(id as i32, 9);
                waitpid(id as i32, std::ptr::null_mut(), 0);
            }
        }
    }
}

/// A process of the gateway. Killed on drop.
pub struct Gateway {
    child: Child,
    folder: PathBuf,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators call.
    pub operator: SocketAddr,
}

impl Gateway {
    /// Starts the gateway and waits until `GET /up` answers 200.
    pub fn start(options: &Options, discovery: SocketAddr) -> Self {
        let root = std::env::var("ROOT").unwrap_or_else(|_| crate::cannot_run("ROOT is not set"));
        let run = std::env::var("RUN").unwrap_or_else(|_| crate::cannot_run("RUN is not set"));
        let folder =
            PathBuf::from(std::env::var("FOLDER").unwrap_or_else(|_| crate::cannot_run("FOLDER is not set")));
        let (address, operator) = (free_address(), free_address());
        let path = folder.join("config.json");
        std::fs::write(&path, config(options, address, operator, discovery)).expect("the folder is writable");
        let log = std::fs::File::create(folder.join("gateway.log")).expect("the folder is writable");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("GW_CONFIG", &path)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", address.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child =
            child.unwrap_or_else(|error| crate::cannot_run(&format!("the gateway does not start: {error}")));
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
            let ids: String = started.iter().map(|id| format!("{id}\n")).collect();
            let _ = std::fs::write(folder.join("processes"), ids);
        }
        let mut gateway = Gateway { child, folder, address, operator };
        let started_at = Instant::now();
        while !gateway.is_up() {
            if started_at.elapsed() > Duration::from_secs(20) || gateway.has_ended() {
                crate::cannot_run("the gateway is not ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        note("the gateway is ready");
        gateway
    }

    fn is_up(&self) -> bool {
        self.call(self.address, "GET", "/up").is_some_and(|(status, _)| status == 200)
    }

    /// Makes one call and returns status and body.
    pub fn call(&self, to: SocketAddr, method: &str, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let request = format!("{method} {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        let (head, body) = Reader::new(stream).read_message().ok()?;
        Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Copies the last lines of the gateway's log to the record.
    pub fn note_log(&self) {
        let log = std::fs::read_to_string(self.folder.join("gateway.log")).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(20)..]
            .iter()
            .for_each(|line| note(&format!("gateway's log: {line}")));
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|id| *id != self.child.id());
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}
