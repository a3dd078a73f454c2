//! Discovery: one registry of servers, and for each slot of a process two agents that push it, of which one is in force.

use crate::connection::Connection;
use crate::ledger::Ledger;
use corkhollow_test_support::{host_json, list_json};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// While nothing changes, an empty line comes this often.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// How often watches look whether they have been silenced or ended.
const LOOK: Duration = Duration::from_millis(50);

/// A server as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Not at all.
    Absent,
    /// It takes requests.
    Active,
    /// It drains.
    Leaving,
}

#[derive(Debug)]
struct State {
    version: u64,
    listings: Vec<Listing>,
    /// Changes by version, from the first one on.
    changes: Vec<usize>,
}

/// What an agent does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    /// It answers.
    Up,
    /// It resets calls, and has ended its watches.
    Refuses,
    /// It takes calls and says nothing; its watches have ended.
    Silent,
}

#[derive(Debug)]
struct Agent {
    mode: Mutex<AgentMode>,
    /// Watches opened before this one say nothing any more, and stay.
    silenced: AtomicUsize,
    watches: AtomicUsize,
}

/// The registry and its agents.
pub struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
    servers: Vec<SocketAddr>,
    agents: Vec<[Agent; 2]>,
    /// Where the agents of each slot listen.
    pub agent_addresses: Vec<[SocketAddr; 2]>,
    /// The process that runs in each slot.
    pub processes: Vec<AtomicUsize>,
    ledger: Arc<Ledger>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Agents for so many slots; the first servers are listed.
    pub fn start(
        slots: usize,
        servers: Vec<SocketAddr>,
        listed: usize,
        ledger: Arc<Ledger>,
    ) -> std::io::Result<Arc<Self>> {
        let listing = |server| if server < listed { Listing::Active } else { Listing::Absent };
        let agent = || Agent {
            mode: Mutex::new(AgentMode::Up),
            silenced: AtomicUsize::new(0),
            watches: AtomicUsize::new(0),
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
            state: Mutex::new(State {
                version: 1,
                listings: (0..servers.len()).map(listing).collect(),
                changes: Vec::new(),
            }),
            changed: Condvar::new(),
            servers,
            agents: (0..slots).map(|_| [agent(), agent()]).collect(),
            agent_addresses,
            processes: (0..slots).map(|_| AtomicUsize::new(usize::MAX)).collect(),
            ledger,
        });
        for (slot, pair) in listeners.into_iter().enumerate() {
            for (side, listener) in pair.into_iter().enumerate() {
                let discovery = discovery.clone();
                thread::spawn(move || discovery.listen(slot, side, &listener));
            }
        }
        Ok(discovery)
    }

    /// Lists a server so from here on.
    pub fn set(&self, server: usize, listing: Listing) {
        let mut state = lock(&self.state);
        state.version += 1;
        state.listings[server] = listing;
        state.changes.push(server);
        drop(state);
        self.changed.notify_all();
    }

    /// Sets what the agents of a slot do.
    pub fn set_mode(&self, slot: usize, mode: AgentMode) {
        for agent in &self.agents[slot] {
            *lock(&agent.mode) = mode;
        }
        self.changed.notify_all();
    }

    /// Silences all watches of a slot that are open now.
    pub fn silence_watches(&self, slot: usize) {
        for agent in &self.agents[slot] {
            agent.silenced.store(agent.watches.load(Ordering::SeqCst), Ordering::SeqCst);
        }
    }

    fn listen(self: Arc<Self>, slot: usize, side: usize, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let discovery = self.clone();
            let process = self.processes[slot].load(Ordering::SeqCst);
            thread::spawn(move || discovery.serve(slot, side, process, Connection::new(stream)));
        }
    }

    fn serve(&self, slot: usize, side: usize, process: usize, mut connection: Connection) {
        let Ok(call) = connection.read(Instant::now() + Duration::from_secs(10), false) else { return };
        let agent = &self.agents[slot][side];
        loop {
            match *lock(&agent.mode) {
                AgentMode::Up => break,
                AgentMode::Refuses => return connection.reset(),
                AgentMode::Silent => {}
            }
            if connection.stirs(Instant::now() + LOOK) {
                return;
            }
        }
        let watch = agent.watches.fetch_add(1, Ordering::SeqCst);
        let since =
            call.head.split_once("since=").and_then(|(_, rest)| rest.split([' ', '&']).next()?.parse().ok());
        if connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
            self.push(agent, watch, process, since, &mut connection);
        }
    }

    /// Says the list, then changes and heartbeats, until the watch ends.
    fn push(
        &self,
        agent: &Agent,
        watch: usize,
        process: usize,
        since: Option<u64>,
        connection: &mut Connection,
    ) {
        let mut notified = since;
        let mut said_at = Instant::now();
        loop {
            let state = lock(&self.state);
            let (state, _) = self
                .changed
                .wait_timeout_while(state, LOOK, |state| notified == Some(state.version))
                .unwrap_or_else(PoisonError::into_inner);
            let news = (notified != Some(state.version)).then(|| self.words(&state, notified));
            let (version, listings) = (state.version, state.listings.clone());
            drop(state);
            if *lock(&agent.mode) != AgentMode::Up {
                return;
            }
            if agent.silenced.load(Ordering::SeqCst) > watch {
                // It stays open and says nothing, until its process ends it.
                let _ = connection.stirs(Instant::now() + Duration::from_secs(60));
                return;
            }
            let line = match news {
                Some(news) => news,
                None if said_at.elapsed() >= HEARTBEAT => String::new(),
                None => continue,
            };
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if !connection.write(chunk.as_bytes()) {
                return;
            }
            said_at = Instant::now();
            if notified != Some(version) {
                self.note_notified(process, &listings);
                notified = Some(version);
            }
        }
    }

    fn words(&self, state: &State, notified: Option<u64>) -> String {
        let entry = |server: usize| {
            let health = match state.listings[server] {
                Listing::Active => "active",
                Listing::Leaving => "leaving",
                Listing::Absent => "left",
            };
            host_json(&format!("s-{server}"), self.servers[server], health)
        };
        match notified.filter(|notified| *notified >= 1 && *notified <= state.version) {
            Some(notified) => {
                let mut changed: Vec<_> = state.changes[notified as usize - 1..].to_vec();
                changed.sort_unstable();
                changed.dedup();
                let entries: Vec<_> = changed.into_iter().map(entry).collect();
                list_json(state.version, false, &entries)
            }
            None => {
                let listed = (0..self.servers.len()).filter(|s| state.listings[*s] != Listing::Absent);
                list_json(state.version, true, &listed.map(entry).collect::<Vec<_>>())
            }
        }
    }

    fn note_notified(&self, process: usize, listings: &[Listing]) {
        let now = self.ledger.now();
        let mut records = self.ledger.lock();
        for (server, listing) in listings.iter().enumerate() {
            match listing {
                Listing::Active => drop(records.notified_draining.remove(&(process, server))),
                _ => drop(records.notified_draining.entry((process, server)).or_insert(now)),
            }
        }
    }
}
