//! Simulates the membership protocol of many nodes over a faulty network. Clock and network are simulated;
//! the state machine is the one that the gateway runs, and the fault scripts also work with real processes.

use corkhollow_faults::{Action, Millis, Network, Script};
use corkhollow_fleet::{Config, Event, Extensions, MemberState, Nanos, Node, NodeStatus, Outbox, Timing};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// Interval at which the nodes' views are compared.
const CONVERGENCE_CHECK_INTERVAL: Nanos = 50 * MS;
/// Time in which a node can refute a suspicion after a stall or a partition; only later is its death counted
/// as false.
const REFUTATION_TIME: Nanos = 10_000 * MS;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// The greatest number of nodes.
    pub nodes: usize,
    /// The number of nodes that start at the beginning, each at a random time within `start_within`.
    pub running: usize,
    /// The time within which the first nodes start, in milliseconds.
    pub start_within: Millis,
    /// The nodes whose addresses all nodes are given.
    pub seeds: Vec<usize>,
    /// Seed of all random draws.
    pub seed: u64,
    /// The nodes' protocol timing.
    pub timing: Timing,
    /// The largest datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// The extensions of SWIM that are enabled.
    pub extensions: Extensions,
    /// The greatest random delay of timers, in milliseconds, as on a machine short of processor time.
    pub max_timer_delay: Millis,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        SimulationConfig {
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
            max_datagram_bytes: 1_200,
            extensions: Extensions::default(),
            max_timer_delay: 0,
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Time from the last action until all running nodes have the same correct view and keep it; none if they
    /// never do.
    pub converged_after: Option<Millis>,
    /// Time from the last action until all running nodes know which nodes run, though open suspicions may
    /// still differ.
    pub members_known_after: Option<Millis>,
    /// How often a node declared another one dead that was running, reachable and had had time to refute
    /// earlier suspicions.
    pub false_deaths: usize,
    /// How often a node suspected another one that was running, reachable and had not stalled within the last
    /// 2 s.
    pub false_suspicions: usize,
    /// The longest time that a running node was falsely held dead, in milliseconds.
    pub longest_false_death: Millis,
    /// Mean bytes sent per node and second, after the last action.
    pub bytes_per_second: f64,
    /// Mean datagrams sent per node and second, after the last action.
    pub datagrams_per_second: f64,
    /// The sum of all nodes' observed changes of member states.
    pub state_changes: u64,
    /// Actions of the script and events of the nodes in order of time, up to a bound.
    pub timeline: Vec<String>,
}

enum ScheduledEvent {
    Tick(usize, u64),
    Arrival(usize, Vec<u8>),
    ScriptAction(usize),
    Resume(usize, u32),
    Start(usize),
}

#[derive(Default)]
struct Slot {
    node: Option<Node>,
    /// Counts the processes of this slot, so that events scheduled for an earlier one are ignored.
    process_number: u32,
    /// Offset of the node's own clock; nodes' clocks are not synchronised.
    clock_offset: Nanos,
    /// The tick that is valid; earlier scheduled ticks are ignored.
    valid_tick: u64,
    queued: Vec<Vec<u8>>,
    is_stalled: bool,
    /// When the node started or last resumed from a stall.
    disturbed_at: Nanos,
    incarnation: u64,
}

struct Simulation {
    config: SimulationConfig,
    now: Nanos,
    slots: Vec<Slot>,
    queue: BinaryHeap<(Reverse<Nanos>, Reverse<u64>, usize)>,
    events: BTreeMap<usize, ScheduledEvent>,
    event_count: u64,
    network: Network,
    /// When a link was last blocked.
    last_blocked_at: Nanos,
    /// Whether a partition or blocked link is in effect.
    has_blocked_links: bool,
    rng: Pcg64Mcg,
    /// By observer and subject, since when the subject is falsely held dead.
    false_deaths_since: BTreeMap<(usize, usize), Nanos>,
    outcome: Outcome,
    /// Datagrams and bytes sent.
    sent: (u64, u64),
}

const MAX_TIMELINE_LINES: usize = 4_000;

fn address_of(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8 + 1], 7946))
}

fn node_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) * 250 + usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn name_of(node: usize) -> String {
    format!("n{node:04}")
}

/// Runs a script, and then continues for `then` milliseconds.
///
/// # Panics
/// An incarnation decreases.
pub fn simulate(config: &SimulationConfig, script: &Script, then: Millis) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let mut simulation = Simulation {
        now: 0,
        slots: (0..config.nodes).map(|_| Slot::default()).collect(),
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        event_count: 0,
        network: Network::new(config.seed ^ 0x5eed),
        last_blocked_at: 0,
        has_blocked_links: false,
        false_deaths_since: BTreeMap::new(),
        outcome: Outcome::default(),
        sent: (0, 0),
        config: config.clone(),
        rng: Pcg64Mcg::seed_from_u64(rng.next_u64()),
    };
    for node in 0..config.running {
        let at = rng.next_u64() % (config.start_within.max(1) * MS);
        simulation.schedule(at, ScheduledEvent::Start(node));
    }
    for (index, (time, _)) in script.actions().iter().enumerate() {
        simulation.schedule(time * MS, ScheduledEvent::ScriptAction(index));
    }
    let script_end = script.end().max(config.start_within) * MS;
    simulation.run(script, script_end, script_end + then * MS);
    simulation.outcome
}

impl Simulation {
    fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.event_count += 1;
        let event_id = self.event_count as usize;
        self.events.insert(event_id, event);
        self.queue.push((Reverse(at), Reverse(self.event_count), event_id));
    }

    fn run(&mut self, script: &Script, script_end: Nanos, end: Nanos) {
        let mut next_check = 0;
        let mut converged = None;
        let mut members_known = None;
        let mut sent_before = self.sent;
        while let Some((Reverse(at), _, event_id)) = self.queue.pop() {
            if at > end {
                break;
            }
            while next_check <= at {
                self.now = next_check;
                if next_check <= script_end {
                    sent_before = self.sent;
                }
                match next_check >= script_end && self.has_converged() {
                    true => converged = converged.or(Some(next_check)),
                    false => converged = None,
                }
                match next_check >= script_end && self.all_members_known() {
                    true => members_known = members_known.or(Some(next_check)),
                    false => members_known = None,
                }
                next_check += CONVERGENCE_CHECK_INTERVAL;
            }
            self.now = at;
            match self.events.remove(&event_id) {
                Some(ScheduledEvent::Tick(node, valid_tick)) if self.slots[node].valid_tick == valid_tick => {
                    self.tick(node)
                }
                Some(ScheduledEvent::Arrival(node, bytes)) => self.deliver(node, bytes),
                Some(ScheduledEvent::ScriptAction(index)) => self.run_action(&script.actions()[index].1),
                Some(ScheduledEvent::Resume(node, process_number))
                    if self.slots[node].process_number == process_number =>
                {
                    self.resume(node)
                }
                Some(ScheduledEvent::Start(node)) => self.start_node(node),
                _ => {}
            }
        }
        let seconds = (end - script_end) as f64 / 1e9 * self.config.running.max(1) as f64;
        self.outcome.bytes_per_second = (self.sent.1 - sent_before.1) as f64 / seconds;
        self.outcome.datagrams_per_second = (self.sent.0 - sent_before.0) as f64 / seconds;
        self.outcome.converged_after = converged.map(|at| at.saturating_sub(script_end) / MS);
        self.outcome.members_known_after = members_known.map(|at| at.saturating_sub(script_end) / MS);
        let unresolved: Vec<_> = self.false_deaths_since.keys().copied().collect();
        unresolved.into_iter().for_each(|observer_and_subject| self.end_false_death(observer_and_subject));
    }

    /// Whether all running nodes have the same correct view.
    fn has_converged(&self) -> bool {
        let running = || self.slots.iter().filter_map(|slot| slot.node.as_ref());
        let running_count = running().count();
        let mut views =
            running().map(|node| (node.status(), node.other_member_count() + 1, node.view_digest()));
        let first = views.next();
        first.is_none_or(|(status, size, view)| {
            status == NodeStatus::Member
                && size == running_count
                && views.all(|other| other == (status, size, view))
        })
    }

    fn all_members_known(&self) -> bool {
        let running = || self.slots.iter().filter_map(|slot| slot.node.as_ref());
        let running_count = running().count();
        let runs =
            |address: &SocketAddr| self.slots.get(node_index(*address)).is_some_and(|s| s.node.is_some());
        // Compares the counts first, as that is cheap.
        running()
            .all(|node| node.status() == NodeStatus::Member && node.other_member_count() + 1 == running_count)
            && running().all(|node| node.handover_state().1.iter().all(runs))
    }

    fn log(&mut self, line: impl FnOnce() -> String) {
        if self.outcome.timeline.len() < MAX_TIMELINE_LINES {
            let line = format!("{:>8} {}", self.now / MS, line());
            self.outcome.timeline.push(line);
        }
    }

    fn start_node(&mut self, node: usize) {
        let clock_offset = self.rng.next_u64() % (20 * 3_600_000 * MS);
        let seed = self.rng.next_u64();
        let simulation_config = &self.config;
        let config = Config {
            fleet: "lab".to_owned(),
            name: name_of(node),
            zone: String::new(),
            address: address_of(node),
            seeds: simulation_config.seeds.iter().map(|seed| address_of(*seed)).collect(),
            key: None,
            timing: simulation_config.timing,
            max_datagram_bytes: simulation_config.max_datagram_bytes,
            extensions: simulation_config.extensions,
            initial_incarnation: 1,
        };
        let slot = &mut self.slots[node];
        *slot = Slot {
            process_number: slot.process_number + 1,
            clock_offset,
            disturbed_at: self.now,
            ..Slot::default()
        };
        slot.node = Some(Node::new(config, self.now + clock_offset, seed));
        self.tick(node);
    }

    fn run_action(&mut self, action: &Action) {
        self.log(|| action.to_string());
        if Script::apply_to_network(action, &mut self.network, self.config.nodes) {
            let had_blocked_links = self.has_blocked_links;
            self.has_blocked_links = match action {
                Action::Partition(_) | Action::BlockLink(..) => true,
                Action::Heal => false,
                _ => had_blocked_links,
            };
            if had_blocked_links || self.has_blocked_links {
                self.last_blocked_at = self.now;
            }
            return;
        }
        match *action {
            Action::Start(node) => self.start_node(node),
            Action::Kill(node) => {
                self.slots[node] =
                    Slot { process_number: self.slots[node].process_number + 1, ..Slot::default() }
            }
            Action::Leave(node) => {
                let now = self.now + self.slots[node].clock_offset;
                if let Some(state_machine) = self.slots[node].node.as_mut() {
                    state_machine.leave(now);
                    let out = state_machine.take_outbox();
                    self.flush_outbox(node, out);
                }
                self.slots[node] =
                    Slot { process_number: self.slots[node].process_number + 1, ..Slot::default() };
            }
            Action::Stall(node, duration) if self.slots[node].node.is_some() => {
                self.slots[node].is_stalled = true;
                let process_number = self.slots[node].process_number;
                self.schedule(self.now + duration * MS, ScheduledEvent::Resume(node, process_number));
            }
            _ => {}
        }
    }

    fn resume(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        slot.is_stalled = false;
        slot.disturbed_at = self.now;
        // Datagrams that arrived meanwhile were queued in the socket.
        for bytes in std::mem::take(&mut slot.queued) {
            self.deliver(node, bytes);
        }
        self.tick(node);
    }

    fn tick(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        let Some(state_machine) = slot.node.as_mut().filter(|_| !slot.is_stalled) else { return };
        let now = self.now + slot.clock_offset;
        if now >= state_machine.next_tick_at() || slot.incarnation == 0 {
            state_machine.tick(now);
        }
        let next = state_machine.next_tick_at().saturating_sub(slot.clock_offset);
        let out = state_machine.take_outbox();
        self.flush_outbox(node, out);
        self.schedule_tick(node, next.max(self.now + MS));
    }

    fn schedule_tick(&mut self, node: usize, at: Nanos) {
        let delay = self.rng.next_u64() % (self.config.max_timer_delay * MS + 1);
        self.event_count += 1;
        let valid_tick = self.event_count;
        self.slots[node].valid_tick = valid_tick;
        self.schedule(at.saturating_add(delay), ScheduledEvent::Tick(node, valid_tick));
    }

    fn deliver(&mut self, node: usize, bytes: Vec<u8>) {
        let slot = &mut self.slots[node];
        let Some(state_machine) = slot.node.as_mut() else { return };
        if slot.is_stalled {
            // A socket's buffer is limited.
            if slot.queued.len() < 256 {
                slot.queued.push(bytes);
            }
            return;
        }
        let tick_before = state_machine.next_tick_at();
        let _ = state_machine.handle(self.now + slot.clock_offset, &bytes);
        let is_sooner = state_machine.next_tick_at() < tick_before;
        let out = state_machine.take_outbox();
        let next = state_machine.next_tick_at().saturating_sub(slot.clock_offset);
        self.flush_outbox(node, out);
        if is_sooner {
            self.schedule_tick(node, next.max(self.now));
        }
    }

    fn flush_outbox(&mut self, node: usize, out: Outbox) {
        for (to, bytes) in out.datagrams {
            assert!(bytes.len() <= self.config.max_datagram_bytes, "a datagram of {} bytes", bytes.len());
            self.sent.0 += 1;
            self.sent.1 += bytes.len() as u64;
            let to = node_index(to);
            for time in self.network.delivery_delays(node, to) {
                // Delivery takes at least 0.1 ms.
                self.schedule(self.now + time * MS + MS / 10, ScheduledEvent::Arrival(to, bytes.clone()));
            }
        }
        let slot = &mut self.slots[node];
        let incarnation = slot.node.as_ref().map_or(0, |node| node.handover_state().0);
        assert!(incarnation >= slot.incarnation, "an incarnation decreased");
        slot.incarnation = incarnation;
        for event in out.events {
            self.check_claim(node, &event);
            self.log(|| format!("{}: {event:?}", name_of(node)));
        }
    }

    /// Compares the state that a node reports for another one with its true state, and counts false alarms
    /// and deaths.
    fn check_claim(&mut self, observer: usize, event: &Event) {
        let Event::StateChanged { name, state, .. } = event else { return };
        let subject = name[1..].parse::<usize>().unwrap_or(usize::MAX);
        self.outcome.state_changes += 1;
        let observer_and_subject = (observer, subject);
        if *state == MemberState::Suspect {
            let is_awake = |node: usize| {
                self.slots.get(node).is_some_and(|slot| {
                    slot.node.is_some() && !slot.is_stalled && self.now > slot.disturbed_at + 2_000 * MS
                })
            };
            let is_reachable = !self.has_blocked_links
                && (self.last_blocked_at == 0 || self.now > self.last_blocked_at + REFUTATION_TIME);
            self.outcome.false_suspicions += usize::from(is_awake(subject) && is_reachable);
        }
        if *state != MemberState::Dead {
            return self.end_false_death(observer_and_subject);
        }
        let is_well = |node: usize| {
            self.slots.get(node).is_some_and(|slot| {
                slot.node.is_some() && !slot.is_stalled && self.now > slot.disturbed_at + REFUTATION_TIME
            })
        };
        let is_reachable = !self.has_blocked_links
            && (self.last_blocked_at == 0 || self.now > self.last_blocked_at + REFUTATION_TIME);
        if is_well(subject) && is_well(observer) && is_reachable {
            self.outcome.false_deaths += 1;
            self.false_deaths_since.insert(observer_and_subject, self.now);
        }
    }

    fn end_false_death(&mut self, observer_and_subject: (usize, usize)) {
        if let Some(since) = self.false_deaths_since.remove(&observer_and_subject) {
            self.outcome.longest_false_death = self.outcome.longest_false_death.max((self.now - since) / MS);
        }
    }
}
