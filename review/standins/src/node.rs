//! The node under test: started by the command of the deploy file, ended with the stand-in.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A loopback address with a free port.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> std::io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find(|line| line.starts_with("run")).and_then(|line| line.split('"').nth(1));
    line.map(str::to_owned).ok_or_else(|| std::io::Error::other("the deploy file has no `run`"))
}

pub struct Node {
    child: Child,
    config: PathBuf,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

impl Node {
    /// Starts a node in `folder` and waits until `GET /up` says yes.
    pub fn start(
        root: &Path,
        folder: &Path,
        listen: SocketAddr,
        operator: SocketAddr,
        discovery: SocketAddr,
        config: &str,
    ) -> std::io::Result<Self> {
        let path = folder.join("config.json");
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        std::fs::write(&path, config)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(root)?)
            .current_dir(root)
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", listen.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_OPERATOR", operator.to_string())
            .env("GW_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(folder.join("node.log"))?)
            .spawn()?;
        // For `run.sh`, which ends the node if it is ended itself.
        if let Ok(pids) = std::env::var("REVIEW_PIDS") {
            std::fs::write(pids, child.id().to_string())?;
        }
        let mut node = Node { child, config: path, listen, operator };
        let start = Instant::now();
        while !get(listen, "/up").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200")) {
            if let Some(status) = node.child.try_wait()? {
                return Err(std::io::Error::other(format!("the node ended: {status}")));
            }
            if start.elapsed() > Duration::from_secs(20) {
                return Err(std::io::Error::other("the node is not ready after 20 s"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(node)
    }

    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        Command::new("/bin/kill").arg(name).arg(self.child.id().to_string()).status().map(drop)
    }

    /// Replaces the configuration file as a whole and sends SIGHUP.
    pub fn reload(&self, config: &str) -> std::io::Result<()> {
        let draft = self.config.with_extension("draft");
        std::fs::write(&draft, config)?;
        std::fs::rename(&draft, &self.config)?;
        self.signal("-HUP")
    }

    /// A figure of the operator's page.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let page = get(self.operator, "/-/metrics").ok()?;
        page.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// Resident memory in kB.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().trim_end_matches(" kB").parse().ok())
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One call on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Ends the whole run after a time: kills the node by its id and exits with 2.
pub struct Watchdog(Arc<AtomicBool>);

impl Watchdog {
    pub fn start(node: &Node, limit: Duration) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let (pid, is_done) = (node.child.id(), done.clone());
        thread::spawn(move || {
            let start = Instant::now();
            while start.elapsed() < limit {
                thread::sleep(Duration::from_millis(100));
                if is_done.load(Ordering::SeqCst) {
                    return;
                }
            }
            eprintln!("the run took too long");
            let _ = Command::new("/bin/kill").arg("-KILL").arg(pid.to_string()).status();
            std::process::exit(2);
        });
        Watchdog(done)
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Removes its folder when dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create(case: &str) -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
