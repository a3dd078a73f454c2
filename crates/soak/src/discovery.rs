//! Discovery: one registry of servers, and for each slot two agents that publish it. The configuration of the
//! slot's process names one of them.

use crate::connection::Connection;
use crate::records::Recorder;
use corkhollow_test_support::{host_json, list_json};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// An idle watch gets an empty line at this interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// The interval at which watches check whether their agent is down or silenced.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a server in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Not listed.
    Absent,
    /// Listed as taking requests.
    Active,
    /// Listed as draining.
    Draining,
}

#[derive(Debug)]
struct Registry {
    version: u64,
    listings: Vec<Listing>,
    /// The server changed by each version from 2 on.
    changes: Vec<usize>,
}

/// How an agent treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    /// Answers calls.
    Up,
    /// Resets calls and ends its watches.
    Resets,
    /// Accepts calls without answering and ends its watches.
    Silent,
}

#[derive(Debug)]
struct Agent {
    mode: Mutex<AgentMode>,
    /// Watches with a lower index are silent but stay open.
    silenced_before: AtomicUsize,
    watch_count: AtomicUsize,
}

/// The registry and its agents.
pub struct Discovery {
    registry: Mutex<Registry>,
    changed: Condvar,
    servers: Vec<SocketAddr>,
    agents: Vec<[Agent; 2]>,
    /// The addresses of the two agents of each slot.
    pub agent_addresses: Vec<[SocketAddr; 2]>,
    /// The number of the process in each slot.
    pub processes: Vec<AtomicUsize>,
    recorder: Arc<Recorder>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Starts the agents of `slots` slots. The first `listed` servers are listed as active.
    pub fn start(
        slots: usize,
        servers: Vec<SocketAddr>,
        listed: usize,
        recorder: Arc<Recorder>,
    ) -> std::io::Result<Arc<Self>> {
        let listing = |server| if server < listed { Listing::Active } else { Listing::Absent };
        let agent = || Agent {
            mode: Mutex::new(AgentMode::Up),
            silenced_before: AtomicUsize::new(0),
            watch_count: AtomicUsize::new(0),
        };
        let mut listeners = Vec::new();
        for _ in 0..slots {
            listeners.push([TcpListener::bind("127.0.0.1:0")?, TcpListener::bind("127.0.0.1:0")?]);
        }
        let mut agent_addresses = Vec::new();
        for [first, second] in &listeners {
            agent_addresses.push([first.local_addr()?, second.local_addr()?]);
        }
        let discovery = Arc::new(Discovery {
            registry: Mutex::new(Registry {
                version: 1,
                listings: (0..servers.len()).map(listing).collect(),
                changes: Vec::new(),
            }),
            changed: Condvar::new(),
            servers,
            agents: (0..slots).map(|_| [agent(), agent()]).collect(),
            agent_addresses,
            processes: (0..slots).map(|_| AtomicUsize::new(usize::MAX)).collect(),
            recorder,
        });
        for (slot, pair) in listeners.into_iter().enumerate() {
            for (agent_index, listener) in pair.into_iter().enumerate() {
                let discovery = discovery.clone();
                thread::spawn(move || discovery.listen(slot, agent_index, &listener));
            }
        }
        Ok(discovery)
    }

    /// Changes the state of a server.
    pub fn set_listing(&self, server: usize, listing: Listing) {
        let mut registry = lock(&self.registry);
        registry.version += 1;
        registry.listings[server] = listing;
        registry.changes.push(server);
        drop(registry);
        self.changed.notify_all();
    }

    /// Changes how the agents of a slot treat calls.
    pub fn set_mode(&self, slot: usize, mode: AgentMode) {
        for agent in &self.agents[slot] {
            *lock(&agent.mode) = mode;
        }
        self.changed.notify_all();
    }

    /// Silences all open watches of a slot.
    pub fn silence_watches(&self, slot: usize) {
        for agent in &self.agents[slot] {
            agent.silenced_before.store(agent.watch_count.load(Ordering::SeqCst), Ordering::SeqCst);
        }
    }

    fn listen(self: Arc<Self>, slot: usize, agent_index: usize, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let discovery = self.clone();
            let process = self.processes[slot].load(Ordering::SeqCst);
            thread::spawn(move || discovery.serve(slot, agent_index, process, Connection::new(stream)));
        }
    }

    fn serve(&self, slot: usize, agent_index: usize, process: usize, mut connection: Connection) {
        let Ok(call) = connection.read(Instant::now() + Duration::from_secs(10), false) else { return };
        let agent = &self.agents[slot][agent_index];
        loop {
            match *lock(&agent.mode) {
                AgentMode::Up => break,
                AgentMode::Resets => return connection.reset(),
                AgentMode::Silent => {}
            }
            if connection.wait_for_activity(Instant::now() + POLL_INTERVAL) {
                return;
            }
        }
        let watch = agent.watch_count.fetch_add(1, Ordering::SeqCst);
        let since =
            call.head.split_once("since=").and_then(|(_, rest)| rest.split([' ', '&']).next()?.parse().ok());
        if connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
            self.push_changes(agent, watch, process, since, &mut connection);
        }
    }

    /// Sends the list, then changes and heartbeats, until the watch ends.
    fn push_changes(
        &self,
        agent: &Agent,
        watch: usize,
        process: usize,
        since: Option<u64>,
        connection: &mut Connection,
    ) {
        let mut sent_version = since;
        let mut last_sent_at = Instant::now();
        loop {
            let registry = lock(&self.registry);
            let (registry, _) = self
                .changed
                .wait_timeout_while(registry, POLL_INTERVAL, |registry| {
                    sent_version == Some(registry.version)
                })
                .unwrap_or_else(PoisonError::into_inner);
            let update =
                (sent_version != Some(registry.version)).then(|| self.list_update(&registry, sent_version));
            let (version, listings) = (registry.version, registry.listings.clone());
            drop(registry);
            if *lock(&agent.mode) != AgentMode::Up {
                return;
            }
            if agent.silenced_before.load(Ordering::SeqCst) > watch {
                // Keep the watch open and silent until the process closes it.
                let _ = connection.wait_for_activity(Instant::now() + Duration::from_secs(60));
                return;
            }
            let line = match update {
                Some(update) => update,
                None if last_sent_at.elapsed() >= HEARTBEAT_INTERVAL => String::new(),
                None => continue,
            };
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if !connection.write(chunk.as_bytes()) {
                return;
            }
            last_sent_at = Instant::now();
            if sent_version != Some(version) {
                self.record_notified(process, &listings);
                sent_version = Some(version);
            }
        }
    }

    fn list_update(&self, registry: &Registry, sent_version: Option<u64>) -> String {
        let entry = |server: usize| {
            let health = match registry.listings[server] {
                Listing::Active => "active",
                Listing::Draining => "leaving",
                Listing::Absent => "left",
            };
            host_json(&format!("s-{server}"), self.servers[server], health)
        };
        match sent_version.filter(|sent_version| *sent_version >= 1 && *sent_version <= registry.version) {
            Some(sent_version) => {
                let mut changed: Vec<_> = registry.changes[sent_version as usize - 1..].to_vec();
                changed.sort_unstable();
                changed.dedup();
                let entries: Vec<_> = changed.into_iter().map(entry).collect();
                list_json(registry.version, false, &entries)
            }
            None => {
                let listed = (0..self.servers.len()).filter(|s| registry.listings[*s] != Listing::Absent);
                list_json(registry.version, true, &listed.map(entry).collect::<Vec<_>>())
            }
        }
    }

    fn record_notified(&self, process: usize, listings: &[Listing]) {
        let now = self.recorder.now();
        let mut records = self.recorder.lock();
        for (server, listing) in listings.iter().enumerate() {
            match listing {
                Listing::Active => drop(records.notified_draining.remove(&(process, server))),
                _ => drop(records.notified_draining.entry((process, server)).or_insert(now)),
            }
        }
    }
}
