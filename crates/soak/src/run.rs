//! One run: starts everything, injects the scripted faults under load and checks the records.

use crate::check::{check, Violation};
use crate::clients::Clients;
use crate::cluster::Cluster;
use crate::connection::Connection;
use crate::discovery::{AgentMode, Discovery, Listing};
use crate::faults::{Fault, Script, ScriptSize};
use crate::records::{Recorder, Records};
use crate::servers::{Behaviour, Servers};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Determines the script and all random choices.
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// Clients per process.
    pub clients: usize,
    /// Servers listed from the start.
    pub servers: usize,
    /// Servers that accept connections late.
    pub late_servers: usize,
    /// How long clients run.
    pub duration: Duration,
}

/// The result of a run.
pub struct Report {
    /// The violated rules.
    pub violations: Vec<Violation>,
    /// All records.
    pub records: Records,
    /// The script of faults.
    pub script: Script,
    /// The event pages of the processes running at the end, by process number; only where a rule is violated.
    pub events: Vec<(usize, String)>,
}

struct Run {
    cluster: Arc<Cluster>,
    servers: Arc<Servers>,
    discovery: Arc<Discovery>,
    recorder: Arc<Recorder>,
    /// By slot: a restart is in progress; further ones are skipped.
    restarting: Vec<AtomicBool>,
    /// By slot: how many outages of its agents overlap.
    outages: Vec<AtomicU32>,
    options: RunOptions,
}

/// Runs the soak test once.
///
/// # Errors
/// Fails where the system has no sockets for the servers or agents.
pub fn run(options: RunOptions) -> std::io::Result<Report> {
    let recorder = Arc::new(Recorder::new());
    let RunOptions { seed, processes, servers, late_servers, duration, .. } = options;
    let server_group = Servers::start(servers, late_servers, seed, recorder.clone())?;
    let discovery = Discovery::start(processes, server_group.addresses.clone(), servers, recorder.clone())?;
    let cluster = Cluster::new(processes, discovery.clone(), recorder.clone());
    let run = Arc::new(Run {
        cluster: cluster.clone(),
        servers: server_group,
        discovery,
        recorder: recorder.clone(),
        restarting: (0..processes).map(|_| AtomicBool::new(false)).collect(),
        outages: (0..processes).map(|_| AtomicU32::new(0)).collect(),
        options,
    });
    (0..processes).for_each(|slot| cluster.start(slot, false, None));
    wait_until_all_up(&cluster, processes);
    let clients = Clients::new(cluster.clone(), recorder.clone());
    let mut threads = Vec::new();
    for client in 0..processes * options.clients {
        let client_seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ client as u64;
        threads.push(clients.start_client(client % processes, client_seed));
    }
    let script = Script::generate(seed, ScriptSize { slots: processes, servers, late_servers, duration });
    let start = recorder.now();
    let faults = schedule_faults(&run, &script, start);
    while recorder.now() < start + duration {
        cluster.inspect();
        thread::sleep(Duration::from_millis(250));
    }
    clients.stop();
    for thread in threads.into_iter().chain(faults) {
        let _ = thread.join();
    }
    cluster.inspect();
    let end = recorder.now();
    let has_violations = !check(&recorder.lock(), end).is_empty();
    let events = cluster.collect_self_reports(has_violations);
    let terminating_threads: Vec<_> = (0..processes)
        .map(|slot| {
            let cluster = cluster.clone();
            thread::spawn(move || cluster.terminate(slot))
        })
        .collect();
    terminating_threads.into_iter().for_each(|thread| drop(thread.join()));
    let records = recorder.lock().clone();
    Ok(Report { violations: check(&records, recorder.now()), records, script, events })
}

fn wait_until_all_up(cluster: &Cluster, processes: usize) {
    let up = |slot: usize| cluster.slots[slot].state() == crate::cluster::SlotState::Up;
    for _ in 0..1_000 {
        if (0..processes).all(up) {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn schedule_faults(run: &Arc<Run>, script: &Script, start: Duration) -> Vec<thread::JoinHandle<()>> {
    let schedule_fault = |(at, fault): &(Duration, Fault)| {
        let (run, due, fault) = (run.clone(), start + *at, *fault);
        thread::spawn(move || {
            thread::sleep(due.saturating_sub(run.recorder.now()));
            run.inject(fault);
        })
    };
    script.0.iter().map(schedule_fault).collect()
}

impl Run {
    fn inject(&self, fault: Fault) {
        match fault {
            Fault::Restart { slot, sighup_after } => self.restart(slot, sighup_after, false),
            Fault::Kill { slot } => self.restart(slot, None, true),
            Fault::Reload { slot, is_truncated } => self.cluster.reload(slot, is_truncated),
            Fault::Pause { slot, duration } => self.cluster.pause(slot, duration),
            Fault::Misbehave { server, behaviour, duration } => {
                self.servers.set_behaviour(server, behaviour);
                thread::sleep(duration);
                self.servers.set_behaviour(server, Behaviour::Normal);
            }
            Fault::Drain { server, duration } => {
                self.discovery.set_listing(server, Listing::Draining);
                thread::sleep(duration);
                self.discovery.set_listing(server, Listing::Absent);
                thread::sleep(Duration::from_millis(300));
                self.discovery.set_listing(server, Listing::Active);
            }
            Fault::LateServer { index, duration } => {
                let server = self.options.servers + index;
                self.discovery.set_listing(server, Listing::Active);
                thread::sleep(duration);
                self.servers.open(server, self.options.seed);
            }
            Fault::DiscoveryDown { slot, is_silent, duration } => {
                self.discovery_down(slot, is_silent, duration)
            }
            Fault::SilentWatch { slot } => self.discovery.silence_watches(slot),
            Fault::IdleFlood { slot, duration } => self.open_idle_connections(slot, duration),
        }
    }

    fn restart(&self, slot: usize, sighup_after: Option<Duration>, is_kill: bool) {
        if self.restarting[slot].swap(true, Ordering::SeqCst) {
            return;
        }
        match is_kill {
            true => self.cluster.kill(slot),
            false => self.cluster.terminate(slot),
        }
        let discovery_is_down = self.outages[slot].load(Ordering::SeqCst) > 0;
        self.cluster.start(slot, discovery_is_down, sighup_after);
        self.restarting[slot].store(false, Ordering::SeqCst);
    }

    fn discovery_down(&self, slot: usize, is_silent: bool, duration: Duration) {
        self.outages[slot].fetch_add(1, Ordering::SeqCst);
        self.discovery.set_mode(slot, if is_silent { AgentMode::Silent } else { AgentMode::Resets });
        thread::sleep(duration);
        if self.outages[slot].fetch_sub(1, Ordering::SeqCst) == 1 {
            self.discovery.set_mode(slot, AgentMode::Up);
        }
    }

    fn open_idle_connections(&self, slot: usize, duration: Duration) {
        let Some(address) = self.cluster.slots[slot].address() else { return };
        let process = self.cluster.process(slot);
        self.recorder.lock().flooded_processes.insert(process);
        let idle_connections: Vec<_> = (0..150).filter_map(|_| Connection::open(address)).collect();
        thread::sleep(duration);
        drop(idle_connections);
    }
}
