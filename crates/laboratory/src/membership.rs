//! Many nodes keep one view over a network that fails them: simulated clock and network, the production state machine, the
//! scripts that real processes are played with too.

use corkhollow_faults::{Action, Millis, Network, Script};
use corkhollow_fleet::{Config, Event, Extensions, MemberState, Nanos, Node, NodeStatus, Outbox, Timing};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// How often it is looked whether all have one view.
const LOOK: Nanos = 50 * MS;
/// One that stood still, or that somebody could not reach, is not wrongly held dead before it had this long to object.
const AMENDS: Nanos = 10_000 * MS;

/// What is played.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Names there may be.
    pub nodes: usize,
    /// Those that run from the start, each beginning at a time of its own within `start_within`.
    pub running: usize,
    /// In milliseconds.
    pub start_within: Millis,
    /// Nodes that the others know from the start.
    pub seeds: Vec<usize>,
    /// Settles the rest.
    pub seed: u64,
    /// The nodes' times.
    pub timing: Timing,
    /// Their datagrams, in bytes.
    pub datagram: usize,
    /// What they do beside plain SWIM.
    pub additions: Extensions,
    /// Nodes come to their timers late by up to so much, in milliseconds: a machine short of processor time.
    pub late: Millis,
}

impl Default for Setting {
    fn default() -> Self {
        Setting {
            nodes: 60,
            running: 60,
            start_within: 1_000,
            seeds: vec![0],
            seed: 1,
            timing: Timing {
                probe_interval: 500 * MS,
                probe_timeout: 200 * MS,
                suspicion_timeout: 2_500 * MS,
            },
            datagram: 1_200,
            additions: Extensions::default(),
            late: 0,
        }
    }
}

/// How it went.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// From the last act on, in milliseconds, until all that run have one view that is right, and keep it; none where they
    /// never had.
    pub settled: Option<Millis>,
    /// From the last act on, until all that run know who is there, though suspicions may be under way for which views differ.
    pub known: Option<Millis>,
    /// How often a node gave one up that ran, was heard by it, and had had time to object to all before.
    pub false_deaths: usize,
    /// How often a node held one for suspect that ran and that nothing had kept from answering for long.
    pub false_alarms: usize,
    /// The longest that one was so held for dead, in milliseconds.
    pub longest_false: Millis,
    /// Bytes that a node sent a second, on average, after the last act.
    pub bytes: f64,
    /// Datagrams that it sent a second.
    pub datagrams: f64,
    /// Changes of state that all nodes saw in all.
    pub changes: u64,
    /// What was done and what the nodes said, by time, up to a bound.
    pub timeline: Vec<String>,
}

enum Due {
    Tick(usize, u64),
    Arrival(usize, Vec<u8>),
    Act(usize),
    GoOn(usize, u32),
    Begin(usize),
}

#[derive(Default)]
struct Slot {
    node: Option<Node>,
    /// Told apart from what was due to an earlier process in its place.
    life: u32,
    /// Nodes' clocks have nothing in common.
    ahead: Nanos,
    /// The one timer that counts.
    turn: u64,
    waiting: Vec<Vec<u8>>,
    stalled: bool,
    /// When it last stood still or began.
    shaken: Nanos,
    incarnation: u64,
}

struct Play {
    setting: Setting,
    now: Nanos,
    slots: Vec<Slot>,
    queue: BinaryHeap<(Reverse<Nanos>, Reverse<u64>, usize)>,
    dues: BTreeMap<usize, Due>,
    count: u64,
    network: Network,
    /// When some direction was last cut.
    cut_until: Nanos,
    parted: bool,
    rng: Pcg64Mcg,
    /// By observer and subject, since when it is held dead wrongly.
    wrongs: BTreeMap<(usize, usize), Nanos>,
    outcome: Outcome,
    sent: (u64, u64),
}

/// The most lines of a timeline.
const LINES: usize = 4_000;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8 + 1], 7946))
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) * 250 + usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn name(node: usize) -> String {
    format!("n{node:04}")
}

/// Plays a script, and then on for so many milliseconds.
///
/// # Panics
/// Where an incarnation goes back.
pub fn play(setting: &Setting, script: &Script, then: Millis) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(setting.seed);
    let mut play = Play {
        now: 0,
        slots: (0..setting.nodes).map(|_| Slot::default()).collect(),
        queue: BinaryHeap::new(),
        dues: BTreeMap::new(),
        count: 0,
        network: Network::new(setting.seed ^ 0x5eed),
        cut_until: 0,
        parted: false,
        wrongs: BTreeMap::new(),
        outcome: Outcome::default(),
        sent: (0, 0),
        setting: setting.clone(),
        rng: Pcg64Mcg::seed_from_u64(rng.next_u64()),
    };
    for node in 0..setting.running {
        let at = rng.next_u64() % (setting.start_within.max(1) * MS);
        play.due(at, Due::Begin(node));
    }
    for (k, (time, _)) in script.actions().iter().enumerate() {
        play.due(time * MS, Due::Act(k));
    }
    let over = script.end().max(setting.start_within) * MS;
    play.run(script, over, over + then * MS);
    play.outcome
}

impl Play {
    fn due(&mut self, at: Nanos, what: Due) {
        self.count += 1;
        let key = self.count as usize;
        self.dues.insert(key, what);
        self.queue.push((Reverse(at), Reverse(self.count), key));
    }

    fn run(&mut self, script: &Script, over: Nanos, end: Nanos) {
        let mut look = 0;
        let mut settled = None;
        let mut known = None;
        let mut before = self.sent;
        while let Some((Reverse(at), _, key)) = self.queue.pop() {
            if at > end {
                break;
            }
            while look <= at {
                self.now = look;
                if look <= over {
                    before = self.sent;
                }
                match look >= over && self.agreed() {
                    true => settled = settled.or(Some(look)),
                    false => settled = None,
                }
                match look >= over && self.all_known() {
                    true => known = known.or(Some(look)),
                    false => known = None,
                }
                look += LOOK;
            }
            self.now = at;
            match self.dues.remove(&key) {
                Some(Due::Tick(node, turn)) if self.slots[node].turn == turn => self.tick(node),
                Some(Due::Arrival(node, bytes)) => self.arrive(node, bytes),
                Some(Due::Act(k)) => self.act(&script.actions()[k].1),
                Some(Due::GoOn(node, life)) if self.slots[node].life == life => self.go_on(node),
                Some(Due::Begin(node)) => self.begin(node),
                _ => {}
            }
        }
        let seconds = (end - over) as f64 / 1e9 * self.setting.running.max(1) as f64;
        self.outcome.bytes = (self.sent.1 - before.1) as f64 / seconds;
        self.outcome.datagrams = (self.sent.0 - before.0) as f64 / seconds;
        self.outcome.settled = settled.map(|at| at.saturating_sub(over) / MS);
        self.outcome.known = known.map(|at| at.saturating_sub(over) / MS);
        let open: Vec<_> = self.wrongs.keys().copied().collect();
        open.into_iter().for_each(|pair| self.amend(pair));
    }

    /// Whether all that run have one view, and it is right.
    fn agreed(&self) -> bool {
        let running = || self.slots.iter().filter_map(|slot| slot.node.as_ref());
        let count = running().count();
        let mut views =
            running().map(|node| (node.status(), node.other_member_count() + 1, node.view_digest()));
        let first = views.next();
        first.is_none_or(|(standing, size, view)| {
            standing == NodeStatus::Member
                && size == count
                && views.all(|other| other == (standing, size, view))
        })
    }

    fn all_known(&self) -> bool {
        let running = || self.slots.iter().filter_map(|slot| slot.node.as_ref());
        let count = running().count();
        let runs = |address: &SocketAddr| self.slots.get(number(*address)).is_some_and(|s| s.node.is_some());
        // Counts first: they tell most that do not know, and cost nothing.
        running().all(|node| node.status() == NodeStatus::Member && node.other_member_count() + 1 == count)
            && running().all(|node| node.handover_state().1.iter().all(runs))
    }

    fn tell(&mut self, line: impl FnOnce() -> String) {
        if self.outcome.timeline.len() < LINES {
            let line = format!("{:>8} {}", self.now / MS, line());
            self.outcome.timeline.push(line);
        }
    }

    fn begin(&mut self, node: usize) {
        let ahead = self.rng.next_u64() % (20 * 3_600_000 * MS);
        let seed = self.rng.next_u64();
        let setting = &self.setting;
        let config = Config {
            fleet: "lab".to_owned(),
            name: name(node),
            zone: String::new(),
            address: address(node),
            seeds: setting.seeds.iter().map(|seed| address(*seed)).collect(),
            key: None,
            timing: setting.timing,
            max_datagram_bytes: setting.datagram,
            extensions: setting.additions,
            initial_incarnation: 1,
        };
        let slot = &mut self.slots[node];
        *slot = Slot { life: slot.life + 1, ahead, shaken: self.now, ..Slot::default() };
        slot.node = Some(Node::new(config, self.now + ahead, seed));
        self.tick(node);
    }

    fn act(&mut self, act: &Action) {
        self.tell(|| act.to_string());
        if Script::apply_to_network(act, &mut self.network, self.setting.nodes) {
            let was = self.parted;
            self.parted = match act {
                Action::Partition(_) | Action::BlockLink(..) => true,
                Action::Heal => false,
                _ => was,
            };
            if was || self.parted {
                self.cut_until = self.now;
            }
            return;
        }
        match *act {
            Action::Start(node) => self.begin(node),
            Action::Kill(node) => {
                self.slots[node] = Slot { life: self.slots[node].life + 1, ..Slot::default() }
            }
            Action::Leave(node) => {
                let now = self.now + self.slots[node].ahead;
                if let Some(leaving) = self.slots[node].node.as_mut() {
                    leaving.leave(now);
                    let out = leaving.take_outbox();
                    self.carry_out(node, out);
                }
                self.slots[node] = Slot { life: self.slots[node].life + 1, ..Slot::default() };
            }
            Action::Stall(node, lasts) if self.slots[node].node.is_some() => {
                self.slots[node].stalled = true;
                let life = self.slots[node].life;
                self.due(self.now + lasts * MS, Due::GoOn(node, life));
            }
            _ => {}
        }
    }

    fn go_on(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        slot.stalled = false;
        slot.shaken = self.now;
        // What came meanwhile waited in its socket.
        for bytes in std::mem::take(&mut slot.waiting) {
            self.arrive(node, bytes);
        }
        self.tick(node);
    }

    fn tick(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        let Some(machine) = slot.node.as_mut().filter(|_| !slot.stalled) else { return };
        let now = self.now + slot.ahead;
        if now >= machine.next_tick_at() || slot.incarnation == 0 {
            machine.tick(now);
        }
        let next = machine.next_tick_at().saturating_sub(slot.ahead);
        let out = machine.take_outbox();
        self.carry_out(node, out);
        self.wake(node, next.max(self.now + MS));
    }

    fn wake(&mut self, node: usize, at: Nanos) {
        let late = self.rng.next_u64() % (self.setting.late * MS + 1);
        self.count += 1;
        let turn = self.count;
        self.slots[node].turn = turn;
        self.due(at.saturating_add(late), Due::Tick(node, turn));
    }

    fn arrive(&mut self, node: usize, bytes: Vec<u8>) {
        let slot = &mut self.slots[node];
        let Some(machine) = slot.node.as_mut() else { return };
        if slot.stalled {
            // A socket holds only so much.
            if slot.waiting.len() < 256 {
                slot.waiting.push(bytes);
            }
            return;
        }
        let before = machine.next_tick_at();
        let _ = machine.handle(self.now + slot.ahead, &bytes);
        let sooner = machine.next_tick_at() < before;
        let out = machine.take_outbox();
        let next = machine.next_tick_at().saturating_sub(slot.ahead);
        self.carry_out(node, out);
        if sooner {
            self.wake(node, next.max(self.now));
        }
    }

    fn carry_out(&mut self, node: usize, out: Outbox) {
        for (to, bytes) in out.datagrams {
            assert!(bytes.len() <= self.setting.datagram, "a datagram of {} bytes", bytes.len());
            self.sent.0 += 1;
            self.sent.1 += bytes.len() as u64;
            let to = number(to);
            for time in self.network.delivery_delays(node, to) {
                // No network is quicker than a tenth of a millisecond.
                self.due(self.now + time * MS + MS / 10, Due::Arrival(to, bytes.clone()));
            }
        }
        let slot = &mut self.slots[node];
        let incarnation = slot.node.as_ref().map_or(0, |node| node.handover_state().0);
        assert!(incarnation >= slot.incarnation, "an incarnation went back");
        slot.incarnation = incarnation;
        for event in out.events {
            self.hear(node, &event);
            self.tell(|| format!("{}: {event:?}", name(node)));
        }
    }

    /// Holds what a node says of another against what is so.
    fn hear(&mut self, observer: usize, event: &Event) {
        let Event::StateChanged { name, state, .. } = event else { return };
        let subject = name[1..].parse::<usize>().unwrap_or(usize::MAX);
        self.outcome.changes += 1;
        let pair = (observer, subject);
        if *state == MemberState::Suspect {
            let awake = |node: usize| {
                self.slots.get(node).is_some_and(|slot| {
                    slot.node.is_some() && !slot.stalled && self.now > slot.shaken + 2_000 * MS
                })
            };
            let heard = !self.parted && (self.cut_until == 0 || self.now > self.cut_until + AMENDS);
            self.outcome.false_alarms += usize::from(awake(subject) && heard);
        }
        if *state != MemberState::Dead {
            return self.amend(pair);
        }
        let well = |node: usize| {
            self.slots
                .get(node)
                .is_some_and(|slot| slot.node.is_some() && !slot.stalled && self.now > slot.shaken + AMENDS)
        };
        let heard = !self.parted && (self.cut_until == 0 || self.now > self.cut_until + AMENDS);
        if well(subject) && well(observer) && heard {
            self.outcome.false_deaths += 1;
            self.wrongs.insert(pair, self.now);
        }
    }

    fn amend(&mut self, pair: (usize, usize)) {
        if let Some(since) = self.wrongs.remove(&pair) {
            self.outcome.longest_false = self.outcome.longest_false.max((self.now - since) / MS);
        }
    }
}
