//! The processes of the program. Each runs in a slot, which keeps its address over restarts.

use crate::connection::Connection;
use crate::discovery::Discovery;
use crate::records::{ProcessRecord, Recorder, Timestamp};
use corkhollow_test_support::{get_request, platform_config, Node, NodeOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors that a process may hold.
pub const MAX_DESCRIPTORS: u64 = 128;
/// Far more than a start takes.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Words in the log that only a fault of the program writes.
const FAULT_MARKERS: [&str; 3] = ["panicked", "this is a fault", "internal error"];

/// Whether clients may connect to the process in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// No process accepts clients.
    Down,
    /// The process accepts clients.
    Up,
    /// SIGTERM was sent at this time.
    Terminating(Timestamp),
}

#[derive(Debug)]
struct RunningProcess {
    child: Child,
    process: usize,
    config: PathBuf,
    operator_address: Arc<Mutex<Option<SocketAddr>>>,
}

/// A place for one process at a time.
#[derive(Debug)]
pub struct Slot {
    running: Mutex<Option<RunningProcess>>,
    state: Mutex<SlotState>,
    address: Mutex<Option<SocketAddr>>,
    /// The index of the discovery agent that the configuration names.
    agent_index: AtomicUsize,
}

/// The slots and what their processes need.
pub struct Cluster {
    /// The slots by index.
    pub slots: Vec<Slot>,
    discovery: Arc<Discovery>,
    recorder: Arc<Recorder>,
    next_process: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Slot {
    /// The listening address of the process.
    pub fn address(&self) -> Option<SocketAddr> {
        *lock(&self.address)
    }

    /// Whether clients may connect.
    pub fn state(&self) -> SlotState {
        *lock(&self.state)
    }
}

impl Cluster {
    /// Creates empty slots.
    pub fn new(slots: usize, discovery: Arc<Discovery>, recorder: Arc<Recorder>) -> Arc<Self> {
        let slot = |_| Slot {
            running: Mutex::default(),
            state: Mutex::new(SlotState::Down),
            address: Mutex::default(),
            agent_index: AtomicUsize::new(0),
        };
        let slots = (0..slots).map(slot).collect();
        Arc::new(Cluster { slots, discovery, recorder, next_process: AtomicUsize::new(0) })
    }

    /// The number of the process in a slot.
    pub fn process(&self, slot: usize) -> usize {
        self.discovery.processes[slot].load(Ordering::SeqCst)
    }

    fn config(&self, slot: usize) -> String {
        let agent_index = self.slots[slot].agent_index.load(Ordering::SeqCst);
        let options = NodeOptions { max_sockets: MAX_DESCRIPTORS, memory_mb: 64, ..NodeOptions::default() };
        let keyed = r#""classes":[{"name":"keyed","aimNs":1000000000,"giveUpNs":3000000000,"worth":5.0,"effect":"token","group":"all","windowNs":1000000000},"#;
        let text = platform_config(self.discovery.agent_addresses[slot][agent_index], &options);
        let text = text.replace("\"classes\":[", keyed);
        match self.slots[slot].address() {
            Some(address) => {
                text.replacen("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""), 1)
            }
            None => text,
        }
    }

    /// Starts a process in an empty slot without waiting until it is ready. With `sighup_after`, sends it
    /// SIGHUP so long after it began to execute.
    pub fn start(self: &Arc<Self>, slot: usize, discovery_is_down: bool, sighup_after: Option<Duration>) {
        let process = self.next_process.fetch_add(1, Ordering::SeqCst);
        self.discovery.processes[slot].store(process, Ordering::SeqCst);
        let started_at = self.recorder.now();
        let (mut child, config) = Node::spawn(&self.config(slot));
        if let Some(after) = sighup_after {
            wait_until_executing(child.id());
            thread::sleep(after);
            signal(child.id(), "-HUP");
        }
        let lines = BufReader::new(child.stderr.take().expect("its standard error is a pipe")).lines();
        let operator_address = Arc::new(Mutex::new(None));
        let address = Arc::new(Mutex::new(self.slots[slot].address()));
        self.follow_log(process, lines, operator_address.clone(), address.clone());
        self.recorder.lock().processes.push(ProcessRecord {
            process,
            started_at,
            ready_at: None,
            started_without_discovery: discovery_is_down,
            terminated_at: None,
            killed_at: None,
            ended_at: None,
            failure: None,
        });
        *lock(&self.slots[slot].running) = Some(RunningProcess { child, process, config, operator_address });
        let cluster = self.clone();
        thread::spawn(move || cluster.wait_until_ready(slot, process, &address));
    }

    fn follow_log(
        &self,
        process: usize,
        lines: impl Iterator<Item = std::io::Result<String>> + Send + 'static,
        operator_address: Arc<Mutex<Option<SocketAddr>>>,
        address: Arc<Mutex<Option<SocketAddr>>>,
    ) {
        let recorder = self.recorder.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((_, address)) = line.split_once("operators call at ") {
                    *lock(&operator_address) = address.parse().ok();
                }
                if let Some((_, listening_address)) = line.split_once("listening on ") {
                    *lock(&address) = listening_address.parse().ok();
                }
                if FAULT_MARKERS.iter().any(|fault| line.contains(fault)) {
                    recorder.lock().self_reports.push(format!("process {process}: {line}"));
                }
            }
        });
    }

    fn wait_until_ready(&self, slot: usize, process: usize, address: &Mutex<Option<SocketAddr>>) {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT && self.process(slot) == process {
            if let Some(listening_address) = *lock(address) {
                if is_ready(listening_address) {
                    let now = self.recorder.now();
                    let mut records = self.recorder.lock();
                    let record = records.processes.iter_mut().find(|record| record.process == process);
                    record.expect("the process has a record").ready_at.get_or_insert(now);
                    drop(records);
                    *lock(&self.slots[slot].address) = Some(listening_address);
                    let mut state = lock(&self.slots[slot].state);
                    if *state == SlotState::Down && self.process(slot) == process {
                        *state = SlotState::Up;
                    }
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Stops the process in a slot with SIGSTOP for this time.
    pub fn pause(&self, slot: usize, duration: Duration) {
        // Resumes by process ID: meanwhile the process may be taken out of its slot to be terminated.
        let Some(pid) = lock(&self.slots[slot].running).as_ref().map(|running| running.child.id()) else {
            return;
        };
        signal(pid, "-STOP");
        thread::sleep(duration);
        if is_child(pid) {
            signal(pid, "-CONT");
        }
    }

    /// Reloads the process in a slot with a configuration that names the other agent, or with a truncated
    /// file.
    pub fn reload(&self, slot: usize, is_truncated: bool) {
        if !is_truncated {
            self.slots[slot].agent_index.fetch_xor(1, Ordering::SeqCst);
        }
        let text = self.config(slot);
        let text = if is_truncated { text[..text.len() / 2].to_owned() } else { text };
        if let Some(running) = &*lock(&self.slots[slot].running) {
            let _ = std::fs::write(&running.config, text);
            signal(running.child.id(), "-HUP");
        }
    }

    /// Sends SIGTERM to the process in a slot and waits for its end; kills it after `KILL_AFTER`.
    pub fn terminate(&self, slot: usize) {
        let Some(mut running) = lock(&self.slots[slot].running).take() else { return };
        let now = self.recorder.now();
        *lock(&self.slots[slot].state) = SlotState::Terminating(now);
        self.update_record(running.process, |record| record.terminated_at = Some(now));
        signal(running.child.id(), "-TERM");
        let start = Instant::now();
        let status = loop {
            if let Ok(Some(status)) = running.child.try_wait() {
                break Some(status);
            }
            if start.elapsed() > crate::check::KILL_AFTER {
                break None;
            }
            thread::sleep(Duration::from_millis(5));
        };
        let ended_at = self.recorder.now();
        let failure = match status {
            Some(status) if status.success() => None,
            Some(status) => Some(status.to_string()),
            None => Some("killed after its deadline".to_owned()),
        };
        let _ = running.child.kill();
        let _ = running.child.wait();
        self.record_end(slot, &running, ended_at, failure);
    }

    /// Kills the process in a slot.
    pub fn kill(&self, slot: usize) {
        let Some(mut running) = lock(&self.slots[slot].running).take() else { return };
        let now = self.recorder.now();
        self.update_record(running.process, |record| record.killed_at = Some(now));
        let _ = running.child.kill();
        let _ = running.child.wait();
        self.record_end(slot, &running, now, None);
    }

    fn record_end(
        &self,
        slot: usize,
        running: &RunningProcess,
        ended_at: Timestamp,
        failure: Option<String>,
    ) {
        *lock(&self.slots[slot].state) = SlotState::Down;
        self.update_record(running.process, |record| {
            record.ended_at = Some(ended_at);
            record.failure = failure;
        });
        let _ = std::fs::remove_file(&running.config);
    }

    fn update_record(&self, process: usize, update: impl FnOnce(&mut ProcessRecord)) {
        let mut records = self.recorder.lock();
        if let Some(record) = records.processes.iter_mut().find(|record| record.process == process) {
            update(record);
        }
    }

    /// Records processes that ended unasked, and those that hold more descriptors than their limit.
    pub fn inspect(&self) {
        for slot in &self.slots {
            let mut running = lock(&slot.running);
            let Some(running_process) = running.as_mut() else { continue };
            if let Ok(Some(status)) = running_process.child.try_wait() {
                let now = self.recorder.now();
                self.update_record(running_process.process, |record| {
                    record.ended_at = Some(now);
                    record.failure = Some(status.to_string());
                });
                *lock(&slot.state) = SlotState::Down;
                *running = None;
                continue;
            }
            let descriptors = std::fs::read_dir(format!("/proc/{}/fd", running_process.child.id()))
                .map_or(0, Iterator::count);
            if descriptors as u64 > MAX_DESCRIPTORS {
                let text = format!(
                    "process {}: {descriptors} descriptors of {MAX_DESCRIPTORS}",
                    running_process.process
                );
                self.recorder.lock().self_reports.push(text);
            }
        }
    }

    /// Records the rule violations that the processes count in their metrics; with `with_events`, returns
    /// their event pages.
    pub fn collect_self_reports(&self, with_events: bool) -> Vec<(usize, String)> {
        let mut pages = Vec::new();
        for slot in &self.slots {
            let running = lock(&slot.running).as_ref().map(|r| (r.process, *lock(&r.operator_address)));
            let Some((process, Some(operator_address))) = running else { continue };
            let page = fetch_page(operator_address, "/-/metrics").unwrap_or_default();
            let reports_fault = |line: &&str| {
                let violates_rule = line.starts_with("gw_rule_violations{") && !line.ends_with(" 0");
                let is_unexpected_denial = line.starts_with("gw_denied{at=\"send\"")
                    && !["request-over", "out-of-time", "too-many-attempts", "body-spent"]
                        .iter()
                        .any(|expected| line.contains(expected));
                violates_rule || is_unexpected_denial
            };
            for line in page.lines().filter(reports_fault) {
                self.recorder.lock().self_reports.push(format!("process {process}: {line}"));
            }
            if with_events {
                pages.push((process, fetch_page(operator_address, "/-/events").unwrap_or_default()));
            }
        }
        pages
    }
}

/// Waits until a process ignores SIGPIPE, which Rust's runtime sets up first. A signal sent earlier ends the
/// process before the program can handle it.
fn wait_until_executing(pid: u32) {
    const SIGPIPE: u64 = 1 << 12;
    let ignored = || {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("SigIgn:"))?;
        u64::from_str_radix(line.trim(), 16).ok()
    };
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) && ignored().is_none_or(|set| set & SIGPIPE == 0) {
        thread::yield_now();
    }
}

/// Whether the process of this ID is a child of this one. IDs of ended processes may be reused.
fn is_child(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let parent = status.lines().find_map(|line| line.strip_prefix("PPid:")?.trim().parse::<u32>().ok());
    parent == Some(std::process::id())
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").args([name, &pid.to_string()]).status();
}

fn is_ready(address: SocketAddr) -> bool {
    let Some(mut connection) = Connection::open(address) else { return false };
    let until = Instant::now() + Duration::from_secs(2);
    connection.write(&get_request("/up", ""))
        && connection.read(until, false).is_ok_and(|m| m.status() == 200)
}

fn fetch_page(address: SocketAddr, path: &str) -> Option<String> {
    let mut connection = Connection::open(address)?;
    connection.write(&get_request(path, "Connection: close\r\n"));
    let answer = connection.read(Instant::now() + Duration::from_secs(2), true).ok()?;
    String::from_utf8(answer.body).ok()
}
