//! Several processes of the program that hear each other through relays, which put faults between any two of them by direction.
//! The scripts are those that simulated nodes are played with. All that was started ends with the rig.

use crate::program::Node;
use corkhollow_faults::{Action, Network, Script};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A datagram on its way: when it is due, its place in the order, to whom, and what.
type OnItsWay = (Reverse<Instant>, Reverse<u64>, usize, Vec<u8>);
/// The longest datagram that is relayed.
const LONGEST: usize = 2_048;

#[derive(Default)]
struct Held {
    late: BinaryHeap<OnItsWay>,
    count: u64,
}

struct Shared {
    start: Instant,
    network: Mutex<Network>,
    /// Where each process really hears datagrams.
    real: Mutex<Vec<Option<SocketAddr>>>,
    relays: Vec<UdpSocket>,
    held: Mutex<Held>,
    timeline: Mutex<Vec<(Instant, String)>>,
    over: AtomicBool,
}

/// The processes and what is between them.
pub struct Rig {
    shared: Arc<Shared>,
    /// By number; none where it does not run.
    pub nodes: Vec<Option<Node>>,
    text: Box<dyn Fn(usize) -> String>,
    /// More lines for the table `[fleet]`.
    times: String,
    seeds: Vec<usize>,
}

/// What a node tells of its fleet, as far as tests look at it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The digest of its view.
    pub view: String,
    /// Whether it says that it has settled.
    pub settled: bool,
    /// How many it counts as there.
    pub size: usize,
    /// Its number among them.
    pub ordinal: usize,
    /// Members by name.
    pub members: Vec<Member>,
}

/// One member as a node tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub node: String,
    /// Its state.
    pub state: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it is being emptied.
    pub drains: bool,
}

fn value<'j>(json: &'j str, key: &str) -> &'j str {
    let Some((_, rest)) = json.split_once(&format!("\"{key}\":")) else { panic!("no {key} in {json}") };
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim_matches('"')
}

impl Fleet {
    /// Asks a node; none where it does not answer, or is in no fleet.
    pub fn of(node: &Node) -> Option<Self> {
        let answer = node.call_operator("GET", "/-/fleet").filter(|m| m.status() == 200)?;
        let json = String::from_utf8(answer.body).ok()?;
        let (head, members) = json.split_once("\"members\":[")?;
        let member = |json: &str| Member {
            node: value(json, "node").to_owned(),
            state: value(json, "state").to_owned(),
            incarnation: value(json, "incarnation").parse().unwrap(),
            drains: value(json, "drains") == "true",
        };
        Some(Fleet {
            view: value(head, "view").to_owned(),
            settled: value(head, "settled") == "true",
            size: value(head, "size").parse().unwrap(),
            ordinal: value(head, "ordinal").parse().unwrap(),
            members: members.split('{').skip(1).map(member).collect(),
        })
    }

    /// One member.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.node == name)
    }
}

impl Rig {
    /// Room for so many processes; none runs yet. `text` is the rest of each one's file, `times` are more lines for its table
    /// `[fleet]`. All are told the same seeds.
    pub fn new(
        count: usize,
        seed: u64,
        seeds: &[usize],
        times: &str,
        text: impl Fn(usize) -> String + 'static,
    ) -> Self {
        let relays: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let shared = Arc::new(Shared {
            start: Instant::now(),
            network: Mutex::new(Network::new(seed)),
            real: Mutex::new(vec![None; count]),
            relays,
            held: Mutex::default(),
            timeline: Mutex::default(),
            over: AtomicBool::new(false),
        });
        for to in 0..count {
            let shared = shared.clone();
            thread::spawn(move || shared.relay(to));
        }
        let late = shared.clone();
        thread::spawn(move || late.deliver_late());
        let nodes = (0..count).map(|_| None).collect();
        Rig { shared, nodes, text: Box::new(text), times: times.to_owned(), seeds: seeds.to_vec() }
    }

    /// Where the others reach a process.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.shared.relays[number].local_addr().unwrap()
    }

    /// The file of a process, under a name.
    pub fn file(&self, number: usize, name: &str) -> String {
        let seeds: Vec<_> = self.seeds.iter().map(|seed| format!("\"{}\"", self.address(*seed))).collect();
        format!(
            "[operator]\nlisten = \"127.0.0.1:0\"\n[fleet]\nname = \"rig\"\nnode = \"{name}\"\nlisten = \"127.0.0.1:0\"\n\
             advertise = \"{}\"\nseeds = [{}]\n{}\n{}",
            self.address(number),
            seeds.join(", "),
            self.times,
            (self.text)(number)
        )
    }

    /// Starts a process, with nothing but its file, and waits until it takes clients.
    pub fn start(&mut self, number: usize) {
        let (shared, name) = (self.shared.clone(), format!("n{number}"));
        shared.tell(format!("{name} is started"));
        let node = Node::start_with_log_observer(&self.file(number, &name), move |line| {
            if let Some((_, real)) = line.split_once("receives datagrams at ") {
                shared.real.lock().unwrap()[number] = real.parse().ok();
            }
            shared.tell(format!("n{number}: {line}"));
        });
        self.nodes[number] = Some(node);
    }

    /// Starts so many processes together, and waits until all take clients.
    pub fn start_all(&mut self, numbers: impl IntoIterator<Item = usize>) {
        numbers.into_iter().for_each(|number| self.start(number));
    }

    /// A running process.
    pub fn node(&self, number: usize) -> &Node {
        self.nodes[number].as_ref().expect("it runs")
    }

    /// Does one thing at once. What it takes to leave or start is waited for; a stall ends by itself.
    pub fn act(&mut self, act: &Action) {
        self.shared.tell(act.to_string());
        let count = self.nodes.len();
        if Script::apply_to_network(act, &mut self.shared.network.lock().unwrap(), count) {
            return;
        }
        match *act {
            Action::Start(number) => self.start(number),
            Action::Kill(number) => {
                self.shared.real.lock().unwrap()[number] = None;
                self.nodes[number] = None;
            }
            Action::Leave(number) => {
                if let Some(mut node) = self.nodes[number].take() {
                    node.signal("-TERM");
                    let status = node.wait_for_exit();
                    assert!(status.success(), "n{number} ends with {status}");
                    self.shared.real.lock().unwrap()[number] = None;
                }
            }
            Action::Stall(number, lasts) => {
                let pid = self.node(number).process_id().to_string();
                self.node(number).signal("-STOP");
                let shared = self.shared.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(lasts));
                    // One that was killed meanwhile is not there to go on.
                    let _ = std::process::Command::new("kill").args(["-CONT", &pid]).status();
                    shared.tell(format!("n{number} goes on"));
                });
            }
            _ => {}
        }
    }

    /// Plays a script from now on, to its end.
    pub fn play(&mut self, script: &Script) {
        let start = Instant::now();
        for (time, act) in script.actions() {
            let due = start + Duration::from_millis(*time);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            self.act(act);
        }
        let end = start + Duration::from_millis(script.end());
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }

    /// What each running process tells of its fleet.
    pub fn views(&self) -> Vec<Option<Fleet>> {
        self.nodes.iter().flatten().map(Fleet::of).collect()
    }

    /// Waits until all that run hold the same view, which is right; how long that took.
    ///
    /// # Panics
    /// With the timeline, where it takes longer than `within`.
    pub fn agrees(&self, what: &str, within: Duration) -> Duration {
        self.waits(what, within, |_| true)
    }

    /// Waits until all that run hold the same view, which is right, and say so; how long that took.
    ///
    /// # Panics
    /// With the timeline, where it takes longer than `within`.
    pub fn settles(&self, what: &str, within: Duration) -> Duration {
        self.waits(what, within, |fleet| fleet.settled)
    }

    fn waits(&self, what: &str, within: Duration, holds: impl Fn(&Fleet) -> bool) -> Duration {
        let start = Instant::now();
        let running = self.nodes.iter().flatten().count();
        loop {
            let views = self.views();
            let first = views.iter().flatten().next().map(|fleet| fleet.view.clone());
            let right = |fleet: &Option<Fleet>| {
                fleet
                    .as_ref()
                    .is_some_and(|f| holds(f) && f.size == running && Some(&f.view) == first.as_ref())
            };
            if views.iter().all(right) {
                return start.elapsed();
            }
            if start.elapsed() > within {
                panic!("{what}: not settled after {within:?}: {views:#?}\n{}", self.timeline().join("\n"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// What was done and what each process said, by time.
    pub fn timeline(&self) -> Vec<String> {
        let mut lines = self.shared.timeline.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let line = |(at, line): &(Instant, String)| {
            format!("{:>7} {line}", at.saturating_duration_since(self.shared.start).as_millis())
        };
        lines.iter().map(line).collect()
    }

    /// Lines of the timeline that hold these words.
    pub fn said(&self, words: &str) -> usize {
        self.timeline().iter().filter(|line| line.contains(words)).count()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        for relay in &self.shared.relays {
            // A word to itself, so that it looks.
            let _ = relay.local_addr().and_then(|address| relay.send_to(&[], address));
        }
    }
}

impl Shared {
    fn tell(&self, line: String) {
        self.timeline.lock().unwrap().push((Instant::now(), line));
    }

    /// Takes in what is sent to one process, and sends on what the network lets through.
    fn relay(&self, to: usize) {
        let mut buffer = [0; LONGEST];
        while !self.over.load(Ordering::SeqCst) {
            let Ok((length, source)) = self.relays[to].recv_from(&mut buffer) else { continue };
            let from = self.real.lock().unwrap().iter().position(|real| *real == Some(source));
            // What a test sends by itself comes through.
            let copies = match from {
                Some(from) => self.network.lock().unwrap().delivery_delays(from, to),
                None => vec![0],
            };
            for time in copies {
                if time == 0 {
                    self.deliver(to, &buffer[..length]);
                } else {
                    let mut held = self.held.lock().unwrap();
                    held.count += 1;
                    let (due, count) = (Instant::now() + Duration::from_millis(time), held.count);
                    held.late.push((Reverse(due), Reverse(count), to, buffer[..length].to_vec()));
                }
            }
        }
    }

    fn deliver(&self, to: usize, bytes: &[u8]) {
        if let Some(real) = self.real.lock().unwrap()[to] {
            // Nobody may be there.
            let _ = self.relays[to].send_to(bytes, real);
        }
    }

    fn deliver_late(&self) {
        while !self.over.load(Ordering::SeqCst) {
            let due = {
                let mut held = self.held.lock().unwrap();
                let now = Instant::now();
                held.late.peek().is_some_and(|first| first.0 .0 <= now).then(|| held.late.pop()).flatten()
            };
            match due {
                Some((_, _, to, bytes)) => self.deliver(to, &bytes),
                None => thread::sleep(Duration::from_millis(1)),
            }
        }
    }
}
