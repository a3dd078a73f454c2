//! Single nodes against datagrams that nobody should send, and against their own doubles.

use corkhollow_fleet::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn config(name: &str, port: u16, seeds: &[u16]) -> Config {
    Config {
        fleet: "perth".to_owned(),
        name: name.to_owned(),
        zone: "z".repeat(MAX_NAME_BYTES),
        address: at(port),
        seeds: seeds.iter().map(|port| at(*port)).collect(),
        key: Some([7; 32]),
        timing: Timing { probe_interval: 500 * MS, probe_timeout: 200 * MS, suspicion_timeout: 2_500 * MS },
        max_datagram_bytes: MIN_DATAGRAM_BYTES,
        extensions: Extensions::default(),
        initial_incarnation: 1,
    }
}

/// Some nodes by port, on one clock, with a network that loses nothing.
struct Fleet {
    nodes: Vec<(u16, Node)>,
    now: Nanos,
    /// All that was sent.
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
            for k in 0..self.nodes.len() {
                let now = self.now;
                if now >= self.nodes[k].1.next_tick_at() {
                    self.nodes[k].1.tick(now);
                }
                let mut out = self.nodes[k].1.take_outbox();
                while let Some((to, bytes)) = out.datagrams.pop() {
                    self.sent.push(bytes.clone());
                    if let Some((_, node)) = self.nodes.iter_mut().find(|(port, _)| *port == to.port()) {
                        let _ = node.handle(now, &bytes);
                    }
                }
                let port = self.nodes[k].0;
                self.events.extend(out.events.into_iter().map(|event| (port, event)));
            }
        }
    }

    fn node(&self, port: u16) -> &Node {
        &self.nodes.iter().find(|(p, _)| *p == port).unwrap().1
    }
}

fn two() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1]));
    fleet.start(config("b", 2, &[1]));
    fleet.run(3_000);
    assert!(fleet.node(1).is_settled(fleet.now) && fleet.node(2).is_settled(fleet.now));
    assert_eq!(fleet.node(2).group_position(), GroupPosition { ordinal: 1, size: 2 });
    fleet
}

/// The later of two processes under one name is refused, wherever it starts, and nobody else sees a change.
#[test]
fn a_second_process_under_a_name_is_refused_while_the_first_is_there() {
    let mut fleet = two();
    fleet.events.clear();
    fleet.start(config("b", 3, &[1]));
    fleet.run(3_000);
    assert_eq!(fleet.node(3).status(), NodeStatus::Refused { by: at(2) });
    assert_eq!(fleet.node(2).status(), NodeStatus::Member);
    fleet.events.retain(|(port, event)| *port != 3 || matches!(event, Event::Refused(_)));
    assert_eq!(fleet.events, [(3, Event::Refused(at(2)))]);
    // Once the first is gone, its name is free.
    fleet.nodes.retain(|(port, _)| *port == 1);
    fleet.start(config("b", 4, &[1]));
    fleet.run(3_000);
    assert_eq!(fleet.node(4).status(), NodeStatus::Member);
    assert_eq!(fleet.node(1).group_position().size, 2);
    assert!(fleet.node(1).is_settled(fleet.now));
}

/// Two that begin in one instant must not both give way.
#[test]
fn of_two_that_start_together_one_stays() {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1]));
    fleet.run(1_000);
    fleet.start(config("b", 2, &[1]));
    fleet.start(config("b", 3, &[1]));
    fleet.run(5_000);
    let stands = [2, 3].map(|port| fleet.node(port).status());
    assert_eq!(stands.iter().filter(|s| **s == NodeStatus::Member).count(), 1, "{stands:?}");
    assert_eq!(fleet.node(1).group_position().size, 2);
}

/// Both were members before they met: the one that has been there for longer stays.
#[test]
fn of_two_that_meet_late_the_later_gives_way() {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1]));
    fleet.run(1_000);
    fleet.start(config("c", 5, &[5]));
    fleet.start(config("a", 6, &[5]));
    fleet.run(2_000);
    assert_eq!(fleet.node(6).status(), NodeStatus::Member);
    let mut meets = config("c", 5, &[5, 1]);
    meets.zone = String::new();
    let now = fleet.now;
    fleet.nodes[1].1.reconfigure(now, &meets);
    fleet.run(6_000);
    assert_eq!(fleet.node(1).status(), NodeStatus::Member);
    assert_eq!(fleet.node(6).status(), NodeStatus::Refused { by: at(1) });
}

/// Before it has heard from anybody, a node counts those that it was told of as there.
#[test]
fn a_node_that_has_heard_nobody_does_not_take_the_whole() {
    let mut fleet = Fleet::new();
    fleet.start(config("a", 1, &[1, 2, 3, 4]));
    fleet.run(5_000);
    assert_eq!(fleet.node(1).status(), NodeStatus::Member);
    assert_eq!(fleet.node(1).group_position().size, 4);
    assert!(!fleet.node(1).is_settled(fleet.now));
}

/// What was sent before, sent again at any time, changes nothing that is so by now.
#[test]
fn what_is_played_again_changes_nothing() {
    let mut fleet = two();
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
    let told = |s: &Snapshot| s.members.iter().map(|m| (m.name.clone(), m.state)).collect::<Vec<_>>();
    assert_eq!(told(&before), told(&after));
    assert_eq!(told(&after), [("a".to_owned(), MemberState::Alive), ("b".to_owned(), MemberState::Alive)]);
}

/// Two that hold each other for gone must not go on about it: what cannot be true is answered a few times a probe.
#[test]
fn answers_to_one_that_is_gone_are_bounded() {
    let mut fleet = two();
    let now = fleet.now;
    fleet.nodes[1].1.leave(now);
    fleet.run(500);
    fleet.nodes.truncate(1);
    let sent = fleet.sent.clone();
    let node = &mut fleet.nodes[0].1;
    let taken = |node: &Node| {
        node.stats().received[DatagramKind::Ping as usize].0
            + node.stats().received[DatagramKind::Join as usize].0
    };
    let (before, _) = (taken(node), node.take_outbox());
    for bytes in sent.iter().cycle().take(2_000) {
        let _ = node.handle(now, bytes);
    }
    // What is asked is answered; of the rest no more than four.
    let asked = (taken(node) - before) as usize;
    let answers = node.take_outbox().datagrams.len();
    assert!(asked < 1_500 && answers <= asked + 4, "{answers} answers to 2000 of which {asked} ask");
}

#[test]
fn strangers_are_turned_down_by_their_reason() {
    let mut fleet = two();
    let whole = fleet.sent.last().unwrap().clone();
    let now = fleet.now;
    let refused = |change: fn(&mut Config), bytes: &[u8]| {
        let mut config = config("x", 9, &[]);
        change(&mut config);
        Node::new(config, now, 1).handle(now, bytes).unwrap_err()
    };
    assert_eq!(refused(|c| c.fleet = "other".to_owned(), &whole), DatagramError::OtherFleet);
    assert_eq!(refused(|c| c.key = Some([8; 32]), &whole), DatagramError::WrongKey);
    assert_eq!(refused(|_| (), &whole[..whole.len() - 1]), DatagramError::WrongKey);
    assert_eq!(refused(|c| c.key = None, &whole), DatagramError::Malformed);
    assert_eq!(refused(|_| (), &[0xc1; MAX_DATAGRAM_BYTES + 1]), DatagramError::Oversized);
    assert_eq!(refused(|_| (), &[]), DatagramError::Malformed);
    let node = &mut fleet.nodes[0].1;
    let before = node.stats().rejected[DatagramError::Malformed as usize];
    assert!(node.handle(now, b"garbage").is_err());
    assert_eq!(node.stats().rejected[DatagramError::Malformed as usize], before + 1);
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, a node without a key neither ends nor grows beyond its bound, and answers with no more than it may.
    #[test]
    fn no_bytes_do_harm(flips in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<u8>()), 1..60), cut in any::<prop::sample::Index>()) {
        let mut fleet = Fleet::new();
        for (name, port) in [("a", 1), ("b", 2)] {
            fleet.start(Config { key: None, ..config(name, port, &[1]) });
        }
        fleet.run(1_500);
        let sent = fleet.sent.clone();
        let node = &mut fleet.nodes[0].1;
        for (which, place, with) in flips {
            let mut bytes = which.get(&sent).clone();
            let at = place.index(bytes.len());
            bytes[at] ^= with;
            let _ = node.handle(fleet.now, &bytes);
            let _ = node.handle(fleet.now, &bytes[..cut.index(bytes.len())]);
            node.tick(fleet.now);
            let out = node.take_outbox();
            prop_assert!(out.datagrams.len() <= 80);
            prop_assert!(out.datagrams.iter().all(|(_, bytes)| bytes.len() <= MIN_DATAGRAM_BYTES));
        }
        prop_assert!(node.snapshot(fleet.now).members.len() <= 120);
    }
}
