//! The processes of the program: started, signalled, ended and started anew, each in a slot with an address of its own.

use crate::connection::Connection;
use crate::discovery::Discovery;
use crate::ledger::{Ledger, ProcessRecord, Time};
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
pub const DESCRIPTORS: u64 = 128;
/// Far more than a start takes.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
/// Words in the log that only a fault of the program writes.
const FAULTS: [&str; 3] = ["panicked", "this is a fault", "internal error"];

/// How a slot stands for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Nothing there takes clients.
    Down,
    /// It takes clients.
    Up,
    /// SIGTERM was sent then.
    Leaving(Time),
}

#[derive(Debug)]
struct Running {
    child: Child,
    process: usize,
    config: PathBuf,
    operator: Arc<Mutex<Option<SocketAddr>>>,
}

/// A slot of a process.
#[derive(Debug)]
pub struct Slot {
    running: Mutex<Option<Running>>,
    state: Mutex<SlotState>,
    address: Mutex<Option<SocketAddr>>,
    /// Which of its two agents its configuration names.
    side: AtomicUsize,
}

/// All slots.
pub struct Cluster {
    /// By number.
    pub slots: Vec<Slot>,
    discovery: Arc<Discovery>,
    ledger: Arc<Ledger>,
    next_process: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Slot {
    /// Where its process listens.
    pub fn address(&self) -> Option<SocketAddr> {
        *lock(&self.address)
    }

    /// How it stands.
    pub fn state(&self) -> SlotState {
        *lock(&self.state)
    }
}

impl Cluster {
    /// So many empty slots.
    pub fn new(slots: usize, discovery: Arc<Discovery>, ledger: Arc<Ledger>) -> Arc<Self> {
        let slot = |_| Slot {
            running: Mutex::default(),
            state: Mutex::new(SlotState::Down),
            address: Mutex::default(),
            side: AtomicUsize::new(0),
        };
        let slots = (0..slots).map(slot).collect();
        Arc::new(Cluster { slots, discovery, ledger, next_process: AtomicUsize::new(0) })
    }

    /// The number of the process in a slot.
    pub fn process(&self, slot: usize) -> usize {
        self.discovery.processes[slot].load(Ordering::SeqCst)
    }

    fn config(&self, slot: usize) -> String {
        let side = self.slots[slot].side.load(Ordering::SeqCst);
        let options = NodeOptions { max_sockets: DESCRIPTORS, memory_mb: 64, ..NodeOptions::default() };
        let keyed = r#""classes":[{"name":"keyed","aimNs":1000000000,"giveUpNs":3000000000,"worth":5.0,"effect":"token","group":"all","windowNs":1000000000},"#;
        let text = platform_config(self.discovery.agent_addresses[slot][side], &options);
        let text = text.replace("\"classes\":[", keyed);
        match self.slots[slot].address() {
            Some(address) => {
                text.replacen("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""), 1)
            }
            None => text,
        }
    }

    /// Starts a process in an empty slot, and waits until it is up where `waits`; a SIGHUP follows the start after this time.
    pub fn start(self: &Arc<Self>, slot: usize, blind: bool, hang_up_after: Option<Duration>) {
        let process = self.next_process.fetch_add(1, Ordering::SeqCst);
        self.discovery.processes[slot].store(process, Ordering::SeqCst);
        let started_at = self.ledger.now();
        let (mut child, config) = Node::spawn(&self.config(slot));
        if let Some(after) = hang_up_after {
            wait_until_it_runs(child.id());
            thread::sleep(after);
            signal(child.id(), "-HUP");
        }
        let lines = BufReader::new(child.stderr.take().expect("its standard error is a pipe")).lines();
        let operator = Arc::new(Mutex::new(None));
        let address = Arc::new(Mutex::new(self.slots[slot].address()));
        self.follow_log(process, lines, operator.clone(), address.clone());
        self.ledger.lock().processes.push(ProcessRecord {
            process,
            started_at,
            ready_at: None,
            started_blind: blind,
            terminated_at: None,
            killed_at: None,
            ended_at: None,
            failure: None,
        });
        *lock(&self.slots[slot].running) = Some(Running { child, process, config, operator });
        let cluster = self.clone();
        thread::spawn(move || cluster.wait_until_up(slot, process, &address));
    }

    fn follow_log(
        &self,
        process: usize,
        lines: impl Iterator<Item = std::io::Result<String>> + Send + 'static,
        operator: Arc<Mutex<Option<SocketAddr>>>,
        address: Arc<Mutex<Option<SocketAddr>>>,
    ) {
        let ledger = self.ledger.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((_, calls)) = line.split_once("operators call at ") {
                    *lock(&operator) = calls.parse().ok();
                }
                if let Some((_, listens)) = line.split_once("listening on ") {
                    *lock(&address) = listens.parse().ok();
                }
                if FAULTS.iter().any(|fault| line.contains(fault)) {
                    ledger.lock().self_reports.push(format!("process {process}: {line}"));
                }
            }
        });
    }

    fn wait_until_up(&self, slot: usize, process: usize, address: &Mutex<Option<SocketAddr>>) {
        let begun = Instant::now();
        while begun.elapsed() < STARTS_WITHIN && self.process(slot) == process {
            if let Some(listens) = *lock(address) {
                if is_up(listens) {
                    let now = self.ledger.now();
                    let mut records = self.ledger.lock();
                    let record = records.processes.iter_mut().find(|record| record.process == process);
                    record.expect("it was written down").ready_at.get_or_insert(now);
                    drop(records);
                    *lock(&self.slots[slot].address) = Some(listens);
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

    /// Has the process in a slot stand still for this time, whatever other signals it gets meanwhile.
    pub fn pause(&self, slot: usize, time: Duration) {
        // By its id: it may be taken out of its slot while it stands still, and end there.
        let Some(id) = lock(&self.slots[slot].running).as_ref().map(|running| running.child.id()) else {
            return;
        };
        signal(id, "-STOP");
        thread::sleep(time);
        if is_child(id) {
            signal(id, "-CONT");
        }
    }

    /// Replaces the configuration of a slot by one that names its other agent, or by half of a file.
    pub fn reload(&self, slot: usize, broken: bool) {
        if !broken {
            self.slots[slot].side.fetch_xor(1, Ordering::SeqCst);
        }
        let text = self.config(slot);
        let text = if broken { text[..text.len() / 2].to_owned() } else { text };
        if let Some(running) = &*lock(&self.slots[slot].running) {
            let _ = std::fs::write(&running.config, text);
            signal(running.child.id(), "-HUP");
        }
    }

    /// Tells the process in a slot to end, and waits until it has, or kills it when it may be.
    pub fn terminate(&self, slot: usize) {
        let Some(mut running) = lock(&self.slots[slot].running).take() else { return };
        let now = self.ledger.now();
        *lock(&self.slots[slot].state) = SlotState::Leaving(now);
        self.note(running.process, |record| record.terminated_at = Some(now));
        signal(running.child.id(), "-TERM");
        let begun = Instant::now();
        let status = loop {
            if let Ok(Some(status)) = running.child.try_wait() {
                break Some(status);
            }
            if begun.elapsed() > crate::check::KILL_AFTER {
                break None;
            }
            thread::sleep(Duration::from_millis(5));
        };
        let ended_at = self.ledger.now();
        let failure = match status {
            Some(status) if status.success() => None,
            Some(status) => Some(status.to_string()),
            None => Some("it had to be killed".to_owned()),
        };
        let _ = running.child.kill();
        let _ = running.child.wait();
        self.forget(slot, &running, ended_at, failure);
    }

    /// Kills the process in a slot.
    pub fn kill(&self, slot: usize) {
        let Some(mut running) = lock(&self.slots[slot].running).take() else { return };
        let now = self.ledger.now();
        self.note(running.process, |record| record.killed_at = Some(now));
        let _ = running.child.kill();
        let _ = running.child.wait();
        self.forget(slot, &running, now, None);
    }

    fn forget(&self, slot: usize, running: &Running, ended_at: Time, failure: Option<String>) {
        *lock(&self.slots[slot].state) = SlotState::Down;
        self.note(running.process, |record| {
            record.ended_at = Some(ended_at);
            record.failure = failure;
        });
        let _ = std::fs::remove_file(&running.config);
    }

    fn note(&self, process: usize, note: impl FnOnce(&mut ProcessRecord)) {
        let mut records = self.ledger.lock();
        if let Some(record) = records.processes.iter_mut().find(|record| record.process == process) {
            note(record);
        }
    }

    /// Looks whether processes have ended unasked, and whether they hold more descriptors than they may.
    pub fn inspect(&self) {
        for slot in &self.slots {
            let mut running = lock(&slot.running);
            let Some(all) = running.as_mut() else { continue };
            if let Ok(Some(status)) = all.child.try_wait() {
                let now = self.ledger.now();
                self.note(all.process, |record| {
                    record.ended_at = Some(now);
                    record.failure = Some(status.to_string());
                });
                *lock(&slot.state) = SlotState::Down;
                *running = None;
                continue;
            }
            let held = std::fs::read_dir(format!("/proc/{}/fd", all.child.id())).map_or(0, Iterator::count);
            if held as u64 > DESCRIPTORS {
                let text = format!("process {}: {held} descriptors of {DESCRIPTORS}", all.process);
                self.ledger.lock().self_reports.push(text);
            }
        }
    }

    /// Asks each process for the rules that it has seen itself break; with `events`, also for its events.
    pub fn collect_self_reports(&self, events: bool) -> Vec<(usize, String)> {
        let mut pages = Vec::new();
        for slot in &self.slots {
            let running = lock(&slot.running).as_ref().map(|r| (r.process, *lock(&r.operator)));
            let Some((process, Some(operator))) = running else { continue };
            let page = call(operator, "/-/metrics").unwrap_or_default();
            let bad = |line: &&str| {
                let rules = line.starts_with("gw_rule_violations{") && !line.ends_with(" 0");
                let denied = line.starts_with("gw_denied{at=\"send\"")
                    && !["request-over", "out-of-time", "too-many-attempts", "body-spent"]
                        .iter()
                        .any(|expected| line.contains(expected));
                rules || denied
            };
            for line in page.lines().filter(bad) {
                self.ledger.lock().self_reports.push(format!("process {process}: {line}"));
            }
            if events {
                pages.push((process, call(operator, "/-/events").unwrap_or_default()));
            }
        }
        pages
    }
}

/// Waits until a process has begun to run its own code: Rust's runtime has it ignore SIGPIPE before anything else. What is sent before
/// that meets a process that the system is still making, about 1 ms, and no program can keep it from ending that.
fn wait_until_it_runs(id: u32) {
    const SIGPIPE: u64 = 1 << 12;
    let ignored = || {
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("SigIgn:"))?;
        u64::from_str_radix(line.trim(), 16).ok()
    };
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(2) && ignored().is_none_or(|set| set & SIGPIPE == 0) {
        thread::yield_now();
    }
}

/// Whether a process of this id is a child of this one: an id may be free again, or another's.
fn is_child(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let parent = status.lines().find_map(|line| line.strip_prefix("PPid:")?.trim().parse::<u32>().ok());
    parent == Some(std::process::id())
}

fn signal(id: u32, name: &str) {
    let _ = Command::new("kill").args([name, &id.to_string()]).status();
}

fn is_up(address: SocketAddr) -> bool {
    let Some(mut connection) = Connection::open(address) else { return false };
    let until = Instant::now() + Duration::from_secs(2);
    connection.write(&get_request("/up", ""))
        && connection.read(until, false).is_ok_and(|m| m.status() == 200)
}

fn call(address: SocketAddr, path: &str) -> Option<String> {
    let mut connection = Connection::open(address)?;
    connection.write(&get_request(path, "Connection: close\r\n"));
    let answer = connection.read(Instant::now() + Duration::from_secs(2), true).ok()?;
    String::from_utf8(answer.body).ok()
}
