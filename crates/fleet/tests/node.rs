//! Nodes under name conflicts and under replayed, corrupted and foreign datagrams.

use corkhollow_fleet::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn config(name: &str, port: u16, seeds: &[u16]) -> Config {
    Config {
        fleet: "perth".to_owned(),
        name: name.to_owned(),
        zone: "z".repeat(MAX_NAME_BYTES),
        address: address(port),
        seeds: seeds.iter().map(|port| address(*port)).collect(),
        key: Some([7; 32]),
        timing: Timing { probe_interval: 500 * MS, probe_timeout: 200 * MS, suspicion_timeout: 2_500 * MS },
        max_datagram_bytes: MIN_DATAGRAM_BYTES,
        extensions: Extensions::default(),
        initial_incarnation: 1,
    }
}

/// Nodes by port, on one clock and a network without faults.
struct Fleet {
    nodes: Vec<(u16, Node)>,
    now: Nanos,
    /// All datagrams sent so far.
    sent: Vec<Vec<u8>>,
    events: Vec<(u16, Event)>,
}

impl Fleet {
    fn new() -> Self {
        Fleet { nodes: Vec::new(), now: 1, sent: Vec::new(), events: Vec::new() }
    }

    fn start(&mut self, config: Config) {
        let port = config.address.port();
        self.nodes.push((port, Node::new(config, self.now, u64::from(port))));
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10 * MS;
            for index in 0..self.nodes.len() {
                let now = self.now;
                if now >= self.nodes[index].1.next_tick_at() {
                    self.nodes[index].1.tick(now);
                }
                let mut outbox = self.nodes[index].1.take_outbox();
                while let Some((to, bytes)) = outbox.datagrams.pop() {
                    self.sent.push(bytes.clone());
                    if let Some((_, node)) = self.nodes.iter_mut().find(|(port, _)| *port == to.port()) {
                        let _ = node.handle(now, &bytes);
                    }
                }
                let port = self.nodes[index].0;
                self.events.extend(outbox.events.into_iter().map(|event| (port, event)));
            }
        }
    }

    fn node(&self, port: u16) -> &Node {
        &self.nodes.iter().find(|(node_port, _)| *node_port == port).unwrap().1
    }
}

fn settled_fleet_of_two() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1]));
    fleet.start(config("b", 2, &[1]));
    fleet.run(3_000);
    assert!(fleet.node(1).is_settled(fleet.now) && fleet.node(2).is_settled(fleet.now));
    assert_eq!(fleet.node(2).group_position(), GroupPosition { ordinal: 1, size: 2 });
    fleet
}

/// The second process is refused at any address, and no other member sees a change.
#[test]
fn a_second_process_of_a_name_is_refused_while_the_first_runs() {
    let mut fleet = settled_fleet_of_two();
    fleet.events.clear();
    fleet.start(config("b", 3, &[1]));
    fleet.run(3_000);
    assert_eq!(fleet.node(3).status(), NodeStatus::Refused { by: address(2) });
    assert_eq!(fleet.node(2).status(), NodeStatus::Member);
    fleet.events.retain(|(port, event)| *port != 3 || matches!(event, Event::Refused(_)));
    assert_eq!(fleet.events, [(3, Event::Refused(address(2)))]);
    // The name is free again after the first process has ended.
    fleet.nodes.retain(|(port, _)| *port == 1);
    fleet.start(config("b", 4, &[1]));
    fleet.run(3_000);
    assert_eq!(fleet.node(4).status(), NodeStatus::Member);
    assert_eq!(fleet.node(1).group_position().size, 2);
    assert!(fleet.node(1).is_settled(fleet.now));
}

/// Both must not yield the name, and both must not keep it.
#[test]
fn of_two_processes_that_start_together_exactly_one_keeps_the_name() {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1]));
    fleet.run(1_000);
    fleet.start(config("b", 2, &[1]));
    fleet.start(config("b", 3, &[1]));
    fleet.run(5_000);
    let statuses = [2, 3].map(|port| fleet.node(port).status());
    assert_eq!(statuses.iter().filter(|status| **status == NodeStatus::Member).count(), 1, "{statuses:?}");
    assert_eq!(fleet.node(1).group_position().size, 2);
}

/// Both were members of separate fleets before they met: the one with the longer uptime keeps the name.
#[test]
fn of_two_members_that_meet_later_the_younger_yields_the_name() {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1]));
    fleet.run(1_000);
    fleet.start(config("c", 5, &[5]));
    fleet.start(config("a", 6, &[5]));
    fleet.run(2_000);
    assert_eq!(fleet.node(6).status(), NodeStatus::Member);
    let mut new_config = config("c", 5, &[5, 1]);
    new_config.zone = String::new();
    let now = fleet.now;
    fleet.nodes[1].1.reconfigure(now, &new_config);
    fleet.run(6_000);
    assert_eq!(fleet.node(1).status(), NodeStatus::Member);
    assert_eq!(fleet.node(6).status(), NodeStatus::Refused { by: address(1) });
}

/// A node that counted only itself would take all of a fleet-wide limit.
#[test]
fn a_node_that_has_heard_no_member_counts_its_seeds_as_present() {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1, 2, 3, 4]));
    fleet.run(5_000);
    assert_eq!(fleet.node(1).status(), NodeStatus::Member);
    assert_eq!(fleet.node(1).group_position().size, 4);
    assert!(!fleet.node(1).is_settled(fleet.now));
}

/// Old datagrams must not revive, suspect or remove a member.
#[test]
fn replayed_datagrams_change_no_state() {
    let mut fleet = settled_fleet_of_two();
    let now = fleet.now;
    fleet.nodes[1].1.leave(now);
    fleet.run(500);
    fleet.nodes.retain(|(port, _)| *port == 1);
    fleet.start(config("b", 2, &[1]));
    fleet.run(3_000);
    let before = fleet.node(1).snapshot(fleet.now);
    for bytes in std::mem::take(&mut fleet.sent) {
        let now = fleet.now;
        let _ = fleet.nodes[0].1.handle(now, &bytes);
        let _ = fleet.nodes[1].1.handle(now, &bytes);
    }
    fleet.run(2_000);
    let after = fleet.node(1).snapshot(fleet.now);
    let states = |snapshot: &Snapshot| {
        snapshot.members.iter().map(|member| (member.name.clone(), member.state)).collect::<Vec<_>>()
    };
    assert_eq!(states(&before), states(&after));
    assert_eq!(states(&after), [("a".to_owned(), MemberState::Alive), ("b".to_owned(), MemberState::Alive)]);
}

/// Two nodes that consider each other dead or left must not answer each other without end.
#[test]
fn answers_to_a_member_that_left_are_bounded() {
    let mut fleet = settled_fleet_of_two();
    let now = fleet.now;
    fleet.nodes[1].1.leave(now);
    fleet.run(500);
    fleet.nodes.truncate(1);
    let sent = fleet.sent.clone();
    let node = &mut fleet.nodes[0].1;
    let requests = |node: &Node| {
        node.stats().received[DatagramKind::Ping as usize].0
            + node.stats().received[DatagramKind::Join as usize].0
    };
    let (before, _) = (requests(node), node.take_outbox());
    for bytes in sent.iter().cycle().take(2_000) {
        let _ = node.handle(now, bytes);
    }
    // Pings and joins are answered; other datagrams get four answers at most.
    let request_count = (requests(node) - before) as usize;
    let answer_count = node.take_outbox().datagrams.len();
    assert!(
        request_count < 1_500 && answer_count <= request_count + 4,
        "{answer_count} answers to 2000 datagrams with {request_count} requests"
    );
}

#[test]
fn invalid_datagrams_are_rejected_with_their_error() {
    let mut fleet = settled_fleet_of_two();
    let datagram = fleet.sent.last().unwrap().clone();
    let now = fleet.now;
    let error_of = |change: fn(&mut Config), bytes: &[u8]| {
        let mut config = config("x", 9, &[]);
        change(&mut config);
        Node::new(config, now, 1).handle(now, bytes).unwrap_err()
    };
    assert_eq!(error_of(|config| config.fleet = "other".to_owned(), &datagram), DatagramError::OtherFleet);
    assert_eq!(error_of(|config| config.key = Some([8; 32]), &datagram), DatagramError::WrongKey);
    assert_eq!(error_of(|_| (), &datagram[..datagram.len() - 1]), DatagramError::WrongKey);
    assert_eq!(error_of(|config| config.key = None, &datagram), DatagramError::Malformed);
    assert_eq!(error_of(|_| (), &[0xc1; MAX_DATAGRAM_BYTES + 1]), DatagramError::Oversized);
    assert_eq!(error_of(|_| (), &[]), DatagramError::Malformed);
    let node = &mut fleet.nodes[0].1;
    let before = node.stats().rejected[DatagramError::Malformed as usize];
    assert!(node.handle(now, b"garbage").is_err());
    assert_eq!(node.stats().rejected[DatagramError::Malformed as usize], before + 1);
}

proptest! {
    // A fixed seed makes the test deterministic.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Corrupted datagrams must not make a node without a key panic, grow its table, or send too many or too
    /// large datagrams.
    #[test]
    fn corrupted_datagrams_do_no_harm(changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<u8>()), 1..60), length in any::<prop::sample::Index>()) {
        let mut fleet = Fleet::new();
        for (name, port) in [("a", 1), ("b", 2)] {
            fleet.start(Config { key: None, ..config(name, port, &[1]) });
        }
        fleet.run(1_500);
        let sent = fleet.sent.clone();
        let node = &mut fleet.nodes[0].1;
        for (datagram, position, mask) in changes {
            let mut bytes = datagram.get(&sent).clone();
            let index = position.index(bytes.len());
            bytes[index] ^= mask;
            let _ = node.handle(fleet.now, &bytes);
            let _ = node.handle(fleet.now, &bytes[..length.index(bytes.len())]);
            node.tick(fleet.now);
            let outbox = node.take_outbox();
            prop_assert!(outbox.datagrams.len() <= 80);
            prop_assert!(outbox.datagrams.iter().all(|(_, bytes)| bytes.len() <= MIN_DATAGRAM_BYTES));
        }
        prop_assert!(node.snapshot(fleet.now).members.len() <= 120);
    }
}
