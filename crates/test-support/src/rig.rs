//! Runs several processes of the program whose gossip passes through relays, which inject faults per
//! direction between any two nodes. The fault scripts are those of the simulated nodes. Dropping the rig ends
//! all processes.

use crate::program::Node;
use corkhollow_faults::{Action, Network, Script};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A delayed datagram: due time, sequence number, destination node and bytes.
type DelayedDatagram = (Reverse<Instant>, Reverse<u64>, usize, Vec<u8>);
const MAX_DATAGRAM_BYTES: usize = 2_048;

#[derive(Default)]
struct DelayQueue {
    delayed: BinaryHeap<DelayedDatagram>,
    last_sequence: u64,
}

struct Shared {
    start: Instant,
    network: Mutex<Network>,
    /// The address at which each running node receives datagrams.
    node_addresses: Mutex<Vec<Option<SocketAddr>>>,
    relays: Vec<UdpSocket>,
    delay_queue: Mutex<DelayQueue>,
    timeline: Mutex<Vec<(Instant, String)>>,
    is_stopped: AtomicBool,
}

/// The processes and the network between them.
pub struct Rig {
    shared: Arc<Shared>,
    /// The nodes by index; none where not running.
    pub nodes: Vec<Option<Node>>,
    extra_config: Box<dyn Fn(usize) -> String>,
    /// Further lines of the table `[fleet]`.
    fleet_settings: String,
    seeds: Vec<usize>,
}

/// A node's view of its fleet, from its fleet page.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// The digest of the view.
    pub view_digest: String,
    /// Whether the node considers the view settled.
    pub is_settled: bool,
    /// The number of members that the node counts as present.
    pub size: usize,
    /// The node's ordinal among them.
    pub ordinal: usize,
    /// The members by name.
    pub members: Vec<Member>,
}

/// A member as a node reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The name.
    pub name: String,
    /// The state.
    pub state: String,
    /// The incarnation number.
    pub incarnation: u64,
    /// Whether it drains.
    pub is_draining: bool,
}

fn json_value<'j>(json: &'j str, key: &str) -> &'j str {
    let Some((_, rest)) = json.split_once(&format!("\"{key}\":")) else { panic!("no {key} in {json}") };
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim_matches('"')
}

impl FleetView {
    /// Fetches the view of a node; none where it does not answer or belongs to no fleet.
    pub fn fetch(node: &Node) -> Option<Self> {
        let answer = node.call_operator("GET", "/-/fleet").filter(|m| m.status() == 200)?;
        let json = String::from_utf8(answer.body).ok()?;
        let (head, members) = json.split_once("\"members\":[")?;
        let member = |json: &str| Member {
            name: json_value(json, "node").to_owned(),
            state: json_value(json, "state").to_owned(),
            incarnation: json_value(json, "incarnation").parse().unwrap(),
            is_draining: json_value(json, "drains") == "true",
        };
        Some(FleetView {
            view_digest: json_value(head, "view").to_owned(),
            is_settled: json_value(head, "settled") == "true",
            size: json_value(head, "size").parse().unwrap(),
            ordinal: json_value(head, "ordinal").parse().unwrap(),
            members: members.split('{').skip(1).map(member).collect(),
        })
    }

    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }
}

impl Rig {
    /// Creates relays for `count` nodes without starting any. `extra_config` gives the rest of each node's
    /// file, `fleet_settings` are further lines of its table `[fleet]`. All nodes get the same `seeds`.
    pub fn new(
        node_count: usize,
        seed: u64,
        seeds: &[usize],
        fleet_settings: &str,
        extra_config: impl Fn(usize) -> String + 'static,
    ) -> Self {
        let relays: Vec<_> = (0..node_count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let shared = Arc::new(Shared {
            start: Instant::now(),
            network: Mutex::new(Network::new(seed)),
            node_addresses: Mutex::new(vec![None; node_count]),
            relays,
            delay_queue: Mutex::default(),
            timeline: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        for to in 0..node_count {
            let shared = shared.clone();
            thread::spawn(move || shared.relay(to));
        }
        let delay_thread = shared.clone();
        thread::spawn(move || delay_thread.deliver_delayed());
        let nodes = (0..node_count).map(|_| None).collect();
        Rig {
            shared,
            nodes,
            extra_config: Box::new(extra_config),
            fleet_settings: fleet_settings.to_owned(),
            seeds: seeds.to_vec(),
        }
    }

    /// The address at which other nodes reach a node.
    pub fn relay_address(&self, index: usize) -> SocketAddr {
        self.shared.relays[index].local_addr().unwrap()
    }

    /// The operator's file of a node.
    pub fn config_text(&self, index: usize, name: &str) -> String {
        let seeds: Vec<_> =
            self.seeds.iter().map(|seed| format!("\"{}\"", self.relay_address(*seed))).collect();
        format!(
            "[operator]\nlisten = \"127.0.0.1:0\"\n[fleet]\nname = \"rig\"\nnode = \"{name}\"\nlisten = \"127.0.0.1:0\"\n\
             advertise = \"{}\"\nseeds = [{}]\n{}\n{}",
            self.relay_address(index),
            seeds.join(", "),
            self.fleet_settings,
            (self.extra_config)(index)
        )
    }

    /// Starts a node on its file alone and waits until its listeners are open.
    pub fn start(&mut self, index: usize) {
        let (shared, name) = (self.shared.clone(), format!("n{index}"));
        shared.record(format!("starting {name}"));
        let node = Node::start_with_log_observer(&self.config_text(index, &name), move |line| {
            if let Some((_, address)) = line.split_once("receives datagrams at ") {
                shared.node_addresses.lock().unwrap()[index] = address.parse().ok();
            }
            shared.record(format!("n{index}: {line}"));
        });
        self.nodes[index] = Some(node);
    }

    /// Starts these nodes one after the other.
    pub fn start_all(&mut self, indices: impl IntoIterator<Item = usize>) {
        indices.into_iter().for_each(|index| self.start(index));
    }

    /// A running node.
    ///
    /// # Panics
    /// If the node does not run.
    pub fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().expect("the node runs")
    }

    /// Applies an action. Waits for a node to start or leave, but not for a stall to end.
    pub fn apply(&mut self, action: &Action) {
        self.shared.record(action.to_string());
        let node_count = self.nodes.len();
        if Script::apply_to_network(action, &mut self.shared.network.lock().unwrap(), node_count) {
            return;
        }
        match *action {
            Action::Start(index) => self.start(index),
            Action::Kill(index) => {
                self.shared.node_addresses.lock().unwrap()[index] = None;
                self.nodes[index] = None;
            }
            Action::Leave(index) => {
                if let Some(mut node) = self.nodes[index].take() {
                    node.signal("-TERM");
                    let status = node.wait_for_exit();
                    assert!(status.success(), "n{index} ends with {status}");
                    self.shared.node_addresses.lock().unwrap()[index] = None;
                }
            }
            Action::Stall(index, duration_ms) => {
                let pid = self.node(index).process_id().to_string();
                self.node(index).signal("-STOP");
                let shared = self.shared.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(duration_ms));
                    // The process may have been killed meanwhile; then there is nothing to resume.
                    let _ = std::process::Command::new("kill").args(["-CONT", &pid]).status();
                    shared.record(format!("n{index} resumed"));
                });
            }
            _ => {}
        }
    }

    /// Runs a script to its end.
    pub fn run_script(&mut self, script: &Script) {
        let start = Instant::now();
        for (time_ms, action) in script.actions() {
            let due = start + Duration::from_millis(*time_ms);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.apply(action);
        }
        let end = start + Duration::from_millis(script.end());
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }

    /// The view of each running node.
    pub fn views(&self) -> Vec<Option<FleetView>> {
        self.nodes.iter().flatten().map(FleetView::fetch).collect()
    }

    /// Waits until all running nodes have the same view, with the right size. Returns how long that took.
    ///
    /// # Panics
    /// If it takes longer than `within`; the message holds the timeline.
    pub fn wait_until_agreed(&self, what: &str, within: Duration) -> Duration {
        self.wait_for_views(what, within, |_| true)
    }

    /// Waits until all running nodes have the same view, with the right size, and report it as settled.
    /// Returns how long that took.
    ///
    /// # Panics
    /// If it takes longer than `within`; the message holds the timeline.
    pub fn wait_until_settled(&self, what: &str, within: Duration) -> Duration {
        self.wait_for_views(what, within, |fleet| fleet.is_settled)
    }

    fn wait_for_views(&self, what: &str, within: Duration, accepts: impl Fn(&FleetView) -> bool) -> Duration {
        let start = Instant::now();
        let running = self.nodes.iter().flatten().count();
        loop {
            let views = self.views();
            let first = views.iter().flatten().next().map(|fleet| fleet.view_digest.clone());
            let is_agreed = |fleet: &Option<FleetView>| {
                fleet.as_ref().is_some_and(|f| {
                    accepts(f) && f.size == running && Some(&f.view_digest) == first.as_ref()
                })
            };
            if views.iter().all(is_agreed) {
                return start.elapsed();
            }
            if start.elapsed() > within {
                panic!("{what}: no agreement after {within:?}: {views:#?}\n{}", self.timeline().join("\n"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// The actions and the log lines of all nodes, in order of time, with the milliseconds since the start.
    pub fn timeline(&self) -> Vec<String> {
        let mut lines = self.shared.timeline.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let line = |(at, line): &(Instant, String)| {
            format!("{:>7} {line}", at.saturating_duration_since(self.shared.start).as_millis())
        };
        lines.iter().map(line).collect()
    }

    /// The number of timeline lines that contain `text`.
    pub fn count_timeline_lines(&self, text: &str) -> usize {
        self.timeline().iter().filter(|line| line.contains(text)).count()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        for relay in &self.shared.relays {
            // An empty datagram unblocks the relay's `recv_from`.
            let _ = relay.local_addr().and_then(|address| relay.send_to(&[], address));
        }
    }
}

impl Shared {
    fn record(&self, line: String) {
        self.timeline.lock().unwrap().push((Instant::now(), line));
    }

    /// Receives the datagrams to one node and forwards them as the network's faults allow.
    fn relay(&self, to: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while !self.is_stopped.load(Ordering::SeqCst) {
            let Ok((length, source)) = self.relays[to].recv_from(&mut buffer) else { continue };
            let from =
                self.node_addresses.lock().unwrap().iter().position(|address| *address == Some(source));
            // Datagrams from a test's own socket pass without faults.
            let delays_ms = match from {
                Some(from) => self.network.lock().unwrap().delivery_delays(from, to),
                None => vec![0],
            };
            for delay_ms in delays_ms {
                if delay_ms == 0 {
                    self.deliver(to, &buffer[..length]);
                } else {
                    let mut delay_queue = self.delay_queue.lock().unwrap();
                    delay_queue.last_sequence += 1;
                    let (due, sequence) =
                        (Instant::now() + Duration::from_millis(delay_ms), delay_queue.last_sequence);
                    delay_queue.delayed.push((
                        Reverse(due),
                        Reverse(sequence),
                        to,
                        buffer[..length].to_vec(),
                    ));
                }
            }
        }
    }

    fn deliver(&self, to: usize, bytes: &[u8]) {
        if let Some(address) = self.node_addresses.lock().unwrap()[to] {
            // The node may not be running.
            let _ = self.relays[to].send_to(bytes, address);
        }
    }

    fn deliver_delayed(&self) {
        while !self.is_stopped.load(Ordering::SeqCst) {
            let due = {
                let mut delay_queue = self.delay_queue.lock().unwrap();
                let now = Instant::now();
                delay_queue
                    .delayed
                    .peek()
                    .is_some_and(|first| first.0 .0 <= now)
                    .then(|| delay_queue.delayed.pop())
                    .flatten()
            };
            match due {
                Some((_, _, to, bytes)) => self.deliver(to, &bytes),
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
    }
}
