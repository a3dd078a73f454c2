//! One run: everything is started, a script of faults is played under load, and what was seen is judged.

use crate::check::{check, Violation};
use crate::clients::Clients;
use crate::cluster::Cluster;
use crate::connection::Connection;
use crate::discovery::{AgentMode, Discovery, Listing};
use crate::faults::{Fault, Script, Size};
use crate::ledger::{Ledger, Records};
use crate::servers::{Mood, Servers};
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

struct Stage {
    cluster: Arc<Cluster>,
    servers: Arc<Servers>,
    discovery: Arc<Discovery>,
    ledger: Arc<Ledger>,
    /// By place: a restart is under way, and another one has to wait for the next fault.
    restarting: Vec<AtomicBool>,
    /// By place: how many outages of its agents overlap now.
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
    let stage = Arc::new(Stage {
        cluster: cluster.clone(),
        servers: all,
        discovery,
        ledger: ledger.clone(),
        restarting: (0..processes).map(|_| AtomicBool::new(false)).collect(),
        outages: (0..processes).map(|_| AtomicU32::new(0)).collect(),
        options,
    });
    (0..processes).for_each(|place| cluster.start(place, false, None));
    wait_for_all(&cluster, processes);
    let clients = Clients::new(cluster.clone(), ledger.clone());
    let mut threads = Vec::new();
    for client in 0..processes * options.clients {
        let own = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ client as u64;
        threads.push(clients.begin(client % processes, own));
    }
    let script = Script::draw(seed, Size { places: processes, servers, late: late_servers, time });
    let begun = ledger.now();
    let faults = play(&stage, &script, begun);
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
    let events = cluster.confess(broken);
    let enders: Vec<_> = (0..processes)
        .map(|place| {
            let cluster = cluster.clone();
            thread::spawn(move || cluster.terminate(place))
        })
        .collect();
    enders.into_iter().for_each(|ender| drop(ender.join()));
    let records = ledger.lock().clone();
    Ok(Report { violations: check(&records, ledger.now()), records, script, events })
}

fn wait_for_all(cluster: &Cluster, processes: usize) {
    let up = |place: usize| cluster.places[place].standing() == crate::cluster::Standing::Up;
    for _ in 0..1_000 {
        if (0..processes).all(up) {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn play(stage: &Arc<Stage>, script: &Script, begun: Duration) -> Vec<thread::JoinHandle<()>> {
    let play_one = |(at, fault): &(Duration, Fault)| {
        let (stage, due, fault) = (stage.clone(), begun + *at, *fault);
        thread::spawn(move || {
            thread::sleep(due.saturating_sub(stage.ledger.now()));
            stage.commit(fault);
        })
    };
    script.0.iter().map(play_one).collect()
}

impl Stage {
    fn commit(&self, fault: Fault) {
        match fault {
            Fault::Restart { place, hang_up_after } => self.restart(place, hang_up_after, false),
            Fault::Kill { place } => self.restart(place, None, true),
            Fault::Reload { place, broken } => self.cluster.reload(place, broken),
            Fault::Pause { place, time } => self.cluster.pause(place, time),
            Fault::Misbehave { server, mood, time } => {
                self.servers.set_mood(server, mood);
                thread::sleep(time);
                self.servers.set_mood(server, Mood::Usual);
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
            Fault::DiscoveryDown { place, silent, time } => self.discovery_down(place, silent, time),
            Fault::SilentWatch { place } => self.discovery.silence_watches(place),
            Fault::IdleFlood { place, time } => self.flood(place, time),
        }
    }

    fn restart(&self, place: usize, hang_up_after: Option<Duration>, kills: bool) {
        if self.restarting[place].swap(true, Ordering::SeqCst) {
            return;
        }
        match kills {
            true => self.cluster.kill(place),
            false => self.cluster.terminate(place),
        }
        let blind = self.outages[place].load(Ordering::SeqCst) > 0;
        self.cluster.start(place, blind, hang_up_after);
        self.restarting[place].store(false, Ordering::SeqCst);
    }

    fn discovery_down(&self, place: usize, silent: bool, time: Duration) {
        self.outages[place].fetch_add(1, Ordering::SeqCst);
        self.discovery.set_mode(place, if silent { AgentMode::Silent } else { AgentMode::Refuses });
        thread::sleep(time);
        if self.outages[place].fetch_sub(1, Ordering::SeqCst) == 1 {
            self.discovery.set_mode(place, AgentMode::Up);
        }
    }

    fn flood(&self, place: usize, time: Duration) {
        let Some(address) = self.cluster.places[place].address() else { return };
        let process = self.cluster.process(place);
        self.ledger.lock().crowded.insert(process);
        let idle: Vec<_> = (0..150).filter_map(|_| Connection::open(address)).collect();
        thread::sleep(time);
        drop(idle);
    }
}
