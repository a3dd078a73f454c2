//! One run: everything is started, a script of faults is played under load, and what was seen is judged.

use crate::check::{check, Violation};
use crate::clients::Clients;
use crate::cluster::Cluster;
use crate::connection::Connection;
use crate::discovery::{AgentMode, Discovery, Listing};
use crate::faults::{Fault, Script, Size};
use crate::ledger::{Ledger, Records};
use crate::servers::{Behaviour, Servers};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Settles the script and all draws.
    pub seed: u64,
    /// Processes of the program.
    pub processes: usize,
    /// Clients of each.
    pub clients: usize,
    /// Servers that are listed from the start.
    pub servers: usize,
    /// Servers whose connections come up late.
    pub late_servers: usize,
    /// How long clients run.
    pub time: Duration,
}

/// What came of a run.
pub struct Report {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// All that was seen.
    pub records: Records,
    /// The script.
    pub script: Script,
    /// The last events of each process that ran at the end, where a rule was broken.
    pub events: Vec<(usize, String)>,
}

struct Run {
    cluster: Arc<Cluster>,
    servers: Arc<Servers>,
    discovery: Arc<Discovery>,
    ledger: Arc<Ledger>,
    /// By slot: a restart is under way, and another one has to wait for the next fault.
    restarting: Vec<AtomicBool>,
    /// By slot: how many outages of its agents overlap now.
    outages: Vec<AtomicU32>,
    options: Options,
}

/// Plays a seed.
///
/// # Errors
/// Where the system has no sockets for it.
pub fn run(options: Options) -> std::io::Result<Report> {
    let ledger = Arc::new(Ledger::new());
    let Options { seed, processes, servers, late_servers, time, .. } = options;
    let all = Servers::start(servers, late_servers, seed, ledger.clone())?;
    let discovery = Discovery::start(processes, all.addresses.clone(), servers, ledger.clone())?;
    let cluster = Cluster::new(processes, discovery.clone(), ledger.clone());
    let run = Arc::new(Run {
        cluster: cluster.clone(),
        servers: all,
        discovery,
        ledger: ledger.clone(),
        restarting: (0..processes).map(|_| AtomicBool::new(false)).collect(),
        outages: (0..processes).map(|_| AtomicU32::new(0)).collect(),
        options,
    });
    (0..processes).for_each(|slot| cluster.start(slot, false, None));
    wait_for_all(&cluster, processes);
    let clients = Clients::new(cluster.clone(), ledger.clone());
    let mut threads = Vec::new();
    for client in 0..processes * options.clients {
        let own = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ client as u64;
        threads.push(clients.begin(client % processes, own));
    }
    let script = Script::draw(seed, Size { slots: processes, servers, late: late_servers, time });
    let begun = ledger.now();
    let faults = play(&run, &script, begun);
    while ledger.now() < begun + time {
        cluster.inspect();
        thread::sleep(Duration::from_millis(250));
    }
    clients.stop();
    for thread in threads.into_iter().chain(faults) {
        let _ = thread.join();
    }
    cluster.inspect();
    let end = ledger.now();
    let broken = !check(&ledger.lock(), end).is_empty();
    let events = cluster.collect_self_reports(broken);
    let enders: Vec<_> = (0..processes)
        .map(|slot| {
            let cluster = cluster.clone();
            thread::spawn(move || cluster.terminate(slot))
        })
        .collect();
    enders.into_iter().for_each(|ender| drop(ender.join()));
    let records = ledger.lock().clone();
    Ok(Report { violations: check(&records, ledger.now()), records, script, events })
}

fn wait_for_all(cluster: &Cluster, processes: usize) {
    let up = |slot: usize| cluster.slots[slot].state() == crate::cluster::SlotState::Up;
    for _ in 0..1_000 {
        if (0..processes).all(up) {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn play(run: &Arc<Run>, script: &Script, begun: Duration) -> Vec<thread::JoinHandle<()>> {
    let play_one = |(at, fault): &(Duration, Fault)| {
        let (run, due, fault) = (run.clone(), begun + *at, *fault);
        thread::spawn(move || {
            thread::sleep(due.saturating_sub(run.ledger.now()));
            run.commit(fault);
        })
    };
    script.0.iter().map(play_one).collect()
}

impl Run {
    fn commit(&self, fault: Fault) {
        match fault {
            Fault::Restart { slot, hang_up_after } => self.restart(slot, hang_up_after, false),
            Fault::Kill { slot } => self.restart(slot, None, true),
            Fault::Reload { slot, broken } => self.cluster.reload(slot, broken),
            Fault::Pause { slot, time } => self.cluster.pause(slot, time),
            Fault::Misbehave { server, behaviour, time } => {
                self.servers.set_behaviour(server, behaviour);
                thread::sleep(time);
                self.servers.set_behaviour(server, Behaviour::Usual);
            }
            Fault::Drain { server, time } => {
                self.discovery.set(server, Listing::Leaving);
                thread::sleep(time);
                self.discovery.set(server, Listing::Absent);
                thread::sleep(Duration::from_millis(300));
                self.discovery.set(server, Listing::Active);
            }
            Fault::LateServer { number, time } => {
                let server = self.options.servers + number;
                self.discovery.set(server, Listing::Active);
                thread::sleep(time);
                self.servers.open(server, self.options.seed);
            }
            Fault::DiscoveryDown { slot, silent, time } => self.discovery_down(slot, silent, time),
            Fault::SilentWatch { slot } => self.discovery.silence_watches(slot),
            Fault::IdleFlood { slot, time } => self.flood(slot, time),
        }
    }

    fn restart(&self, slot: usize, hang_up_after: Option<Duration>, kills: bool) {
        if self.restarting[slot].swap(true, Ordering::SeqCst) {
            return;
        }
        match kills {
            true => self.cluster.kill(slot),
            false => self.cluster.terminate(slot),
        }
        let blind = self.outages[slot].load(Ordering::SeqCst) > 0;
        self.cluster.start(slot, blind, hang_up_after);
        self.restarting[slot].store(false, Ordering::SeqCst);
    }

    fn discovery_down(&self, slot: usize, silent: bool, time: Duration) {
        self.outages[slot].fetch_add(1, Ordering::SeqCst);
        self.discovery.set_mode(slot, if silent { AgentMode::Silent } else { AgentMode::Refuses });
        thread::sleep(time);
        if self.outages[slot].fetch_sub(1, Ordering::SeqCst) == 1 {
            self.discovery.set_mode(slot, AgentMode::Up);
        }
    }

    fn flood(&self, slot: usize, time: Duration) {
        let Some(address) = self.cluster.slots[slot].address() else { return };
        let process = self.cluster.process(slot);
        self.ledger.lock().crowded.insert(process);
        let idle: Vec<_> = (0..150).filter_map(|_| Connection::open(address)).collect();
        thread::sleep(time);
        drop(idle);
    }
}
